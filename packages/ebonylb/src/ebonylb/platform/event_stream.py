"""Decoder of the event streams that model servers send.

A line of the format `text/event-stream` ends with CR LF, LF or CR and with nothing
else, and an event ends with an empty line.
"""

import re

from ..interfaces.server_client import StreamEvent
from ..outcomes import StepError
from . import wire_names

WEIGHT_VERSION_FIELD = wire_names.WEIGHT_VERSION.lower()
# Further fields of the format; a line without a name is a comment, or empty.
IGNORED_FIELDS = frozenset({"", "event", "retry"})
# No event of these servers is larger.
MAX_EVENT_BYTES = 1_000_000


# Two line ends in a row. CR LF is one line end: CR is a whole one only before CR.
EVENT_END = re.compile(rb"\n(?:\n|\r\n?)|\r\r\n?")


def find_event_end(buffer: bytes, start: int = 0) -> int:
    """Return the end of the first complete event with its blank line, or 0.

    Nothing behind that event is searched, so that many small events in one buffer take
    a time that grows with their number only.
    """
    found = EVENT_END.search(buffer, start)
    return found.end() if found else 0


def decode_event(block: bytes, step: str, peer: str) -> StreamEvent | None:
    """Return the event in a block of lines; None for a comment.

    A line that is no part of the format is not skipped: it shows that the server sends
    something else, such as the text of an error.

    Raises
    ------
    StepError
        The event has no valid number, the block is not valid text, or it has a line
        that is no part of an event stream.
    """
    number: int | None = None
    version: int | None = None
    data: list[str] = []
    try:
        # `str.splitlines` would also split the text at U+2028 and other separators.
        for line in block.splitlines():
            field, _, value = line.decode().partition(":")
            value = value.removeprefix(" ")
            if field == "id":
                number = int(value)
            elif field == "data":
                data.append(value)
            elif field.lower() == WEIGHT_VERSION_FIELD:
                version = int(value)
            elif field not in IGNORED_FIELDS:
                raise ValueError("a line that is no part of an event stream")
    except ValueError as error:
        raise StepError(step, peer, f"unreadable event: {error}") from error
    if number is None:
        if data:
            raise StepError(step, peer, "event without a number")
        return None
    return StreamEvent(number, "\n".join(data), version)


class EventDecoder:
    """Decoder that splits received bytes into complete events.

    Parameters
    ----------
    step, peer : str
        Step and peer of raised errors.
    """

    def __init__(self, step: str, peer: str) -> None:
        self.step = step
        self.peer = peer
        self.buffer = b""
        self.ignored_bytes = 0

    def feed(self, chunk: bytes) -> list[tuple[StreamEvent, bytes]]:
        """Add bytes and return the events that they complete, each with its bytes.

        Raises
        ------
        StepError
            An event cannot be decoded, or it or the comments before it are larger than
            `MAX_EVENT_BYTES`.
        """
        buffer = self.buffer + chunk
        if len(buffer) + self.ignored_bytes > MAX_EVENT_BYTES:
            raise StepError(self.step, self.peer, "event without an end")
        events = []
        start = 0
        while end := find_event_end(buffer, start):
            block, start = buffer[start:end], end
            event = decode_event(block, self.step, self.peer)
            if event is None:
                self.ignored_bytes += len(block)
                continue
            self.ignored_bytes = 0
            events.append((event, block))
        self.buffer = buffer[start:]
        return events

    def finish(self) -> None:
        """Raise `StepError` if the stream ended within an event."""
        if self.buffer.strip():
            raise StepError(self.step, self.peer, "stream ended within an event")
