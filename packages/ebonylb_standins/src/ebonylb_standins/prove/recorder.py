"""Recorder of the events of one run."""

import time
from typing import TypeVar

from ..histories.events import Event

EventT = TypeVar("EventT", bound=Event)


def now_ms() -> float:
    """Return the monotonic time, which all processes of the machine share."""
    return time.monotonic() * 1000


class Recorder:
    """Collects the events of a run in the order in which they are reported."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def record(
        self, kind: type[EventT], *values: object, at_ms: float | None = None
    ) -> EventT:
        """Append an event with the current or a given time and return it."""
        event = kind(now_ms() if at_ms is None else at_ms, *values)
        self.events.append(event)
        return event

    def sorted_events(self) -> list[Event]:
        """Return all events sorted by time; equal times keep their order."""
        return sorted(self.events, key=lambda event: event.at_ms)
