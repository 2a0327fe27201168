"""Trace of the decisions on recent requests, for ``ebonyctl explain``."""

from collections import OrderedDict
from dataclasses import dataclass

from ..interfaces import Clock

MAX_TRACED_REQUESTS = 2_000  # requests; bounds the memory to about 2 MB


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision on a request.

    Parameters
    ----------
    at_ms : int
        Unix time of the decision in milliseconds.
    step : str
        Stage that took the decision, such as ``"route"``.
    detail : str
        Decision and its reason.
    """

    at_ms: int
    step: str
    detail: str


class RequestTrace:
    """Bounded store of the decisions that this entry VM took on the latest requests."""

    def __init__(self, clock: Clock, max_requests: int = MAX_TRACED_REQUESTS) -> None:
        self.clock = clock
        self.max_requests = max_requests
        self.decisions_by_request: OrderedDict[str, list[Decision]] = OrderedDict()

    def record(self, request_id: str, step: str, detail: str) -> None:
        """Record a decision; at the limit, the oldest request is dropped."""
        if request_id not in self.decisions_by_request:
            if len(self.decisions_by_request) >= self.max_requests:
                self.decisions_by_request.popitem(last=False)
            self.decisions_by_request[request_id] = []
        self.decisions_by_request[request_id].append(
            Decision(self.clock.wall_ms(), step, detail)
        )

    def explain(self, request_id: str) -> list[Decision]:
        """Return the decisions on a request and its attempts, oldest first."""
        matching = [
            decision
            for traced_id, decisions in self.decisions_by_request.items()
            if traced_id == request_id or traced_id.startswith(request_id + ".")
            for decision in decisions
        ]
        return sorted(matching, key=lambda decision: decision.at_ms)
