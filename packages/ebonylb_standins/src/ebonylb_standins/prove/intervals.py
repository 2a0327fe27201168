"""Intervals during which faults were active."""

from dataclasses import dataclass

from ..histories.events import Event
from .events import FaultBegan, FaultEnded


@dataclass(frozen=True)
class Interval:
    """One fault with its start and end."""

    fault: str
    targets: tuple[str, ...]
    begin_ms: float
    end_ms: float

    def is_active_at(self, at_ms: float) -> bool:
        """Return whether the fault is active at a time."""
        return self.begin_ms <= at_ms <= self.end_ms


def fault_intervals(events: list[Event]) -> list[Interval]:
    """Return the intervals of all faults; one that never ended has no upper bound."""
    ended_faults, open_faults = [], []
    for event in events:
        if isinstance(event, FaultBegan):
            open_faults.append(event)
        elif isinstance(event, FaultEnded):
            for began in open_faults:
                if (began.fault, began.targets) == (event.fault, event.targets):
                    open_faults.remove(began)
                    fault_targets = (began.fault, began.targets)
                    ended_faults.append(
                        Interval(*fault_targets, began.at_ms, event.at_ms)
                    )
                    break
    for began in open_faults:
        ended_faults.append(
            Interval(began.fault, began.targets, began.at_ms, float("inf"))
        )
    return ended_faults


def overlapping(
    intervals: list[Interval], begin_ms: float, end_ms: float
) -> list[Interval]:
    """Return the intervals that overlap the time between `begin_ms` and `end_ms`."""
    return [i for i in intervals if i.begin_ms <= end_ms and i.end_ms >= begin_ms]
