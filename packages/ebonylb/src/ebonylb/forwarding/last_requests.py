"""Requests that a leaving entry VM still accepts."""

from ..interfaces import Clock
from ..outcomes import Outcome, Refusal

# Short, because another entry VM accepts the request immediately.
RETRY_ELSEWHERE_MS = 50.0
LEAVING = Refusal(
    Outcome.NOT_RUN,
    "leaving",
    "this entry VM may stop before the request ends; send it to another one",
    RETRY_ELSEWHERE_MS,
)


class LastRequests:
    """Decides which requests are accepted while this entry VM leaves.

    The balancer sends new connections for a while, during which all requests are
    accepted. Later requests arrive on kept connections. One of those is accepted if its
    deadline passes before requests are cut off, since it has its final response by
    then. Any other one could be cut off while a server runs it.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    accepts_all_until_ms : float
        Monotonic time until which all requests are accepted.
    cut_off_ms : float
        Monotonic time at which requests that still run are cut off.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.accepts_all_until_ms = float("inf")
        self.cut_off_ms = float("inf")

    def begin(self, accepts_all_until_ms: float, cut_off_ms: float) -> None:
        """Set the times once this entry VM leaves."""
        self.accepts_all_until_ms = accepts_all_until_ms
        self.cut_off_ms = cut_off_ms

    def accepts(self, deadline_at_ms: float) -> bool:
        """Return whether a request with this deadline, on the same clock, may begin."""
        return (
            self.clock.monotonic_ms() < self.accepts_all_until_ms
            or deadline_at_ms <= self.cut_off_ms
        )
