"""Decisions taken for recent requests, kept for ``ebonyctl explain``."""

from collections import OrderedDict
from dataclasses import dataclass

from ..edges import Clock

MAX_TRACED_REQUESTS = 2_000  # requests; bounds the memory to about 2 MB


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

    def __init__(self, clock: Clock, max_requests: int = MAX_TRACED_REQUESTS) -> None:
        self.clock = clock
        self.max_requests = max_requests
        self.decisions_by_request: OrderedDict[str, list[Decision]] = OrderedDict()

    def record(self, request_id: str, step: str, detail: str) -> None:
        """Record a decision; the oldest request is dropped when the ring is full."""
        if request_id not in self.decisions_by_request:
            if len(self.decisions_by_request) >= self.max_requests:
                self.decisions_by_request.popitem(last=False)
            self.decisions_by_request[request_id] = []
        self.decisions_by_request[request_id].append(
            Decision(self.clock.wall_ms(), step, detail)
        )

    def explain(self, request_id: str) -> list[Decision]:
        """Return the decisions of a request and of its attempts, oldest first."""
        matching = [
            decision
            for traced_id, decisions in self.decisions_by_request.items()
            if traced_id == request_id or traced_id.startswith(request_id + ".")
            for decision in decisions
        ]
        return sorted(matching, key=lambda decision: decision.at_ms)
