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
MAX_END_BYTES = 3


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

    Attributes
    ----------
    pending : list of bytes
        Chunks of an event that is not complete.
    pending_bytes : int
        Number of bytes in them.
    """

    def __init__(self, step: str, peer: str) -> None:
        self.step = step
        self.peer = peer
        self.pending: list[bytes] = []
        self.pending_bytes = 0
        self.ignored_bytes = 0

    def feed(self, chunk: bytes) -> list[tuple[StreamEvent, bytes]]:
        """Add bytes and return the events that they complete, each with its bytes.

        Raises
        ------
        StepError
            An event cannot be decoded, or it or the comments before it are larger than
            `MAX_EVENT_BYTES`.
        """
        self.pending.append(chunk)
        self.pending_bytes += len(chunk)
        if self.pending_bytes + self.ignored_bytes > MAX_EVENT_BYTES:
            raise StepError(self.step, self.peer, "event without an end")
        if len(self.pending) > 1 and not self.may_end_in_last():
            return []
        return self.take_events(b"".join(self.pending))

    def may_end_in_last(self) -> bool:
        """Return whether an event may end in the last chunk.

        Earlier ones are not searched again, so that the time grows with the bytes.
        """
        last = self.pending[-1]
        before = b"".join(self.pending[-MAX_END_BYTES:-1])[1 - MAX_END_BYTES :]
        return EVENT_END.search(before + last) is not None

    def take_events(self, buffer: bytes) -> list[tuple[StreamEvent, bytes]]:
        """Decode the complete events in a buffer, and keep its rest."""
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
        rest = buffer[start:]
        self.pending, self.pending_bytes = [rest] if rest else [], len(rest)
        return events

    def finish(self) -> None:
        """Raise `StepError` if the stream ended within an event."""
        if b"".join(self.pending).strip():
            raise StepError(self.step, self.peer, "stream ended within an event")
