"""Decisions taken for recent requests, kept for ``ebonyctl explain``."""

from collections import OrderedDict
from dataclasses import dataclass

from ..interfaces import Clock

TRACE_CAPACITY = 2_000  # requests; bounds the memory to about 2 MB


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision.

    Parameters
    ----------
    at_ms : int
        Unix time in milliseconds.
    step : str
        Where it was taken, such as ``"route"``.
    detail : str
        What was decided, and why.
    """

    at_ms: int
    step: str
    detail: str


class RequestTrace:
    """Ring of the latest requests' decisions on this entry VM."""

    def __init__(self, clock: Clock, capacity: int = TRACE_CAPACITY) -> None:
        self.clock = clock
        self.capacity = capacity
        self.requests: OrderedDict[str, list[Decision]] = OrderedDict()

    def note(self, request_id: str, step: str, detail: str) -> None:
        """Record a decision; the oldest request is dropped when the ring is full."""
        if request_id not in self.requests:
            if len(self.requests) >= self.capacity:
                self.requests.popitem(last=False)
            self.requests[request_id] = []
        self.requests[request_id].append(Decision(self.clock.wall_ms(), step, detail))

    def explain(self, request_id: str) -> list[Decision]:
        """Return the decisions of a request and of its attempts, oldest first."""
        found = [
            decision
            for known, decisions in self.requests.items()
            if known == request_id or known.startswith(request_id + ".")
            for decision in decisions
        ]
        return sorted(found, key=lambda decision: decision.at_ms)
