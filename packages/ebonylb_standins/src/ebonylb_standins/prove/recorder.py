"""Total order of everything that one run saw."""

import time
from typing import TypeVar

from ..histories.events import Event

EventT = TypeVar("EventT", bound=Event)


def now_ms() -> float:
    """Return the monotonic time that all processes of the machine share."""
    return time.monotonic() * 1000


class Recorder:
    """Collects events in the order in which they are reported."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def record(
        self, kind: type[EventT], *values: object, at_ms: float | None = None
    ) -> EventT:
        """Append an event of now, or of a given time."""
        event = kind(now_ms() if at_ms is None else at_ms, *values)
        self.events.append(event)
        return event

    def sorted_events(self) -> list[Event]:
        """Return all events by time; events of one time keep their order."""
        return sorted(self.events, key=lambda event: event.at_ms)
