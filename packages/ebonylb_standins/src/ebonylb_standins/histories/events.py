"""Events of a recorded history, one JSON line each.

The order of the events in a history is a total order, on which the checkers here
rely. The field `at_ms` is for readers; checks of time limits in `prove` use it too.
"""

from pathlib import Path

import msgspec


class Event(msgspec.Struct, tag=True, omit_defaults=True, frozen=True):
    """Base of all events."""

    at_ms: float


class CallSent(Event):
    """A caller sent a request.

    Requests with the same party, key and body ask for the same work. A request
    without a key is a work of its own.
    """

    request_id: str
    party: str
    key: str
    body: str
    non_idempotent: bool = True


class CallRan(Event):
    """A backend server started to run the body of a request."""

    party: str
    request_id: str
    body: str
    answer: str


class CallDeclined(Event):
    """A backend server declined a request without running any of it."""

    request_id: str


class CallAnswered(Event):
    """A caller received a response."""

    request_id: str
    answer: str


class CallRefused(Event):
    """A caller received a refusal."""

    request_id: str
    outcome: str
    reason: str = ""


class TokensProduced(Event):
    """An engine generated a piece of text; `text` is unique in the history."""

    text: str
    version: int


class VersionPublished(Event):
    """An entry VM confirmed a new weight version to the trainer that published it."""

    trainer: str
    version: int


class StepOpened(Event):
    """A trainer opened a session of a step and listed the slots that it already has."""

    trainer: str
    step: int
    session: int
    acknowledged: tuple[int, ...]
    slots: int
    trainer_version: int
    staleness_bound: int


class Segment(msgspec.Struct, frozen=True):
    """Part of a delivered sample and the weight version that it names."""

    text: str
    version: int


class SampleDelivered(Event):
    """A sample line was sent on the stream of a session and reached the trainer.

    The event is placed at the time of sending. A version that is confirmed while the
    line is on the network comes after the staleness check of the line.
    """

    trainer: str
    step: int
    session: int
    slot: int
    segments: tuple[Segment, ...]


class SlotFailed(Event):
    """A trainer read that a slot failed and gets no sample."""

    trainer: str
    step: int
    session: int
    slot: int


class StepEnded(Event):
    """A trainer read the end line of a session."""

    trainer: str
    step: int
    session: int


AnyEvent = (
    CallSent
    | CallRan
    | CallDeclined
    | CallAnswered
    | CallRefused
    | TokensProduced
    | VersionPublished
    | StepOpened
    | SampleDelivered
    | SlotFailed
    | StepEnded
)


def write_history(path: str, events: list[Event]) -> None:
    """Write events to a file as JSON lines."""
    lines = b"".join(msgspec.json.encode(event) + b"\n" for event in events)
    Path(path).write_bytes(lines)


def read_history(path: str) -> list[Event]:
    """Return the events of a file of JSON lines.

    Raises
    ------
    msgspec.DecodeError
        A line is not valid JSON or not an event.
    """
    decoder = msgspec.json.Decoder(AnyEvent)
    return [decoder.decode(line) for line in Path(path).read_bytes().splitlines()]
