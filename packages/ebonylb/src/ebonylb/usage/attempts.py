"""Beginnings of requests on servers, as the attempts of this entry VM show them."""

from dataclasses import dataclass

from result import Err, Result

from ..fleet import ListedServer
from ..fleet.selector import ROUND_TRIP_MS, distance_of
from ..forwarding.direct_pool import DirectPool
from ..interfaces import Clock
from ..interfaces.server_client import ServerRequest, ServerResponse
from ..outcomes import StepError
from .agreed_time import AgreedTime
from .window_counts import WindowCounts

# A server that does not run a request says so within a few milliseconds. A request
# without an answer for this time counts as begun, so that the counts of its window are
# complete when they are summed.
ASSUMED_BEGUN_MS = 1_500.0


@dataclass(slots=True, eq=False)
class OpenAttempt:
    """Attempt whose server has not answered yet.

    Parameters
    ----------
    begun_ms : float
        Monotonic time at which the request reaches the server.
    """

    request: ServerRequest
    begun_ms: float


def has_begun(opened: Result[ServerResponse, StepError]) -> bool:
    """Return whether a server began a request, or may have begun it."""
    if isinstance(opened, Err):
        return opened.err_value.may_have_run
    return not opened.ok_value.head.not_run


class UsageCounter:
    """Counts the requests of customers that the servers of this entry VM begin.

    Parameters
    ----------
    counts : WindowCounts
        Destination of the counts.
    agreed_time : AgreedTime
        Translates times.
    clock : Clock
        Source of time.

    Attributes
    ----------
    open_attempts : set of OpenAttempt
        Attempts without an outcome that are not counted yet.
    unsettled : list of OpenAttempt
        Attempts to count once the true time is settled.
    """

    def __init__(
        self, counts: WindowCounts, agreed_time: AgreedTime, clock: Clock
    ) -> None:
        self.counts = counts
        self.agreed_time = agreed_time
        self.clock = clock
        self.open_attempts: set[OpenAttempt] = set()
        self.unsettled: list[OpenAttempt] = []

    def start(self, request: ServerRequest, round_trip_ms: float) -> OpenAttempt:
        """Return the attempt to send a request now."""
        begun_ms = self.clock.monotonic_ms() + round_trip_ms / 2
        attempt = OpenAttempt(request, begun_ms)
        self.open_attempts.add(attempt)
        return attempt

    def end(self, attempt: OpenAttempt, begun: bool) -> None:
        """Count an attempt if its server began the request, unless it is counted."""
        if attempt not in self.open_attempts:
            return
        self.open_attempts.discard(attempt)
        if begun:
            self.unsettled.append(attempt)
            self.count_settled()

    def count_settled(self) -> None:
        """Count what has begun, if its true time is known."""
        if self.agreed_time.is_settled():
            self.count_begun()

    def count_begun(self) -> None:
        """Count what has begun, by the true time as far as it is known."""
        begun, self.unsettled = self.unsettled, []
        for attempt in begun:
            self.count(attempt)

    def count(self, attempt: OpenAttempt) -> None:
        """Count the request of an attempt, unless it has been counted."""
        self.counts.begin(
            attempt.request.request_id,
            attempt.request.customer,
            self.agreed_time.true_ms(attempt.begun_ms),
        )

    def count_unanswered(self) -> None:
        """Count the requests that servers must have begun, since they are silent."""
        before_ms = self.clock.monotonic_ms() - ASSUMED_BEGUN_MS
        for attempt in list(self.open_attempts):
            if attempt.begun_ms <= before_ms and attempt.request.progress.connected:
                self.end(attempt, begun=True)
        self.count_settled()


class CountingPool(DirectPool):
    """Backend servers; the requests that they begin are counted.

    Attributes
    ----------
    usage : UsageCounter or None
        Counts the requests; set once, None if nothing is counted.
    """

    usage: UsageCounter | None = None

    async def send(
        self, server: ListedServer, request: ServerRequest
    ) -> Result[ServerResponse, StepError]:
        """Send a request and return its response once the head has arrived."""
        if self.usage is None or not request.customer:
            return await super().send(server, request)
        distance = distance_of(self.selector.locality, server.failure_domain)
        attempt = self.usage.start(request, ROUND_TRIP_MS[distance])
        try:
            opened = await super().send(server, request)
        except BaseException:
            # Cancelled: the caller left, or another server was faster.
            self.usage.end(attempt, request.progress.connected)
            raise
        self.usage.end(attempt, has_begun(opened))
        return opened
