"""What this entry VM has observed of one backend server."""

import math
from dataclasses import dataclass, field

from ..edges.server_port import ServerLoad

# Load that other entry VMs cause is known from answers only and is forgotten at this
# rate; an engine's item lasts about a second.
LOAD_REPORT_DECAY_MS = 1_500
# A server that failed is tried again after this, doubled with each further failure.
INITIAL_BACKOFF_MS = 250
MAX_BACKOFF_MS = 4_000
# Time constant of the average gap. Neighbours on the same machine slow a server for
# some 600 ms at a time, which should not look like a slow server.
GAP_TIME_CONSTANT_MS = 1_000.0
# Time constant of the pace, which follows just these disturbances: about three events.
RECENT_GAP_TIME_CONSTANT_MS = 120.0
# A pace is forgotten after this: a disturbance lasts some 600 ms.
RECENT_GAP_TTL_MS = 400.0
# Weight of the newest observation in the other moving averages.
DURATION_WEIGHT = 0.2
FAILURE_WEIGHT = 0.15
# An observed slowness counts for this long and then fades, so that a server that has
# recovered gets work again.
SLOWNESS_TTL_MS = 2_500
# A server that reports this slowdown is slow itself: its neighbours slow it 2.5 times.
MIN_SLOW_SERVER_SLOWDOWN = 2.6
# Share of failed requests fades with this half-life.
FAILURE_HALF_LIFE_MS = 4_000


@dataclass(slots=True)
class ServerCondition:
    """Load, speed and failures of one incarnation of a server.

    Attributes
    ----------
    own_requests : int
        Requests of this entry VM in progress there.
    other_requests : float
        Requests of other entry VMs at the time of the last report.
    slowdown : float
        Duration of work relative to the usual one, as last reported.
    gap_ms : float or None
        Average time between stream events.
    recent_gap_ms : float
        Time between the last few stream events.
    duration_ms : float or None
        Average duration of a plain request.
    failure_share : float
        Recent share of failed requests, from 0 to 1.
    backoff_until_ms : float
        No new work before, unless there is no other server.
    versions : dict of str to int
        Weight versions seen in answers or caused by own orders.
    """

    own_requests: int = 0
    other_requests: float = 0.0
    load_reported_ms: float = -1e12
    slowdown: float = 1.0
    gap_ms: float | None = None
    gap_updated_ms: float = -1e12
    recent_gap_ms: float = 0.0
    duration_ms: float | None = None
    failure_share: float = 0.0
    failure_share_updated_ms: float = 0.0
    consecutive_failures: int = 0
    backoff_until_ms: float = -1e12
    model_refused_until_ms: dict[str, float] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)

    def load(self, now_ms: float) -> float:
        """Return the estimated number of requests in progress there."""
        age = max(0.0, now_ms - self.load_reported_ms)
        return self.own_requests + self.other_requests * max(
            0.0, 1.0 - age / LOAD_REPORT_DECAY_MS
        )

    def record_load(self, load: ServerLoad, now_ms: float) -> None:
        """Take over a reported load; what is not ours belongs to other entry VMs."""
        self.other_requests = max(0.0, load.running + load.waiting - self.own_requests)
        self.load_reported_ms = now_ms
        self.slowdown = load.slowdown

    def record_gap(self, gap_ms: float, median_gap_ms: float, now_ms: float) -> None:
        """Take over the time between two events of a stream.

        The average moves with time and not with the number of events: many streams
        on one server report the same disturbance.
        """
        if self.gap_ms is None or now_ms - self.gap_updated_ms > SLOWNESS_TTL_MS:
            self.gap_ms = self.recent_gap_ms = median_gap_ms
            self.gap_updated_ms = now_ms - gap_ms
        span = min(gap_ms, now_ms - self.gap_updated_ms)
        self.gap_ms += (1 - math.exp(-span / GAP_TIME_CONSTANT_MS)) * (
            gap_ms - self.gap_ms
        )
        self.recent_gap_ms += (1 - math.exp(-span / RECENT_GAP_TIME_CONSTANT_MS)) * (
            gap_ms - self.recent_gap_ms
        )
        self.gap_updated_ms = now_ms

    def record_success(self, now_ms: float, duration_ms: float | None = None) -> None:
        """Take over a whole answer."""
        self.consecutive_failures = 0
        self.backoff_until_ms = -1e12
        self.update_failure_share(0.0, now_ms)
        if duration_ms is not None:
            average_ms = self.duration_ms
            self.duration_ms = (
                duration_ms
                if average_ms is None
                else average_ms + DURATION_WEIGHT * (duration_ms - average_ms)
            )

    def record_failure(self, now_ms: float) -> None:
        """Take over a failure; the server rests for a while that doubles."""
        backoff_ms = min(
            MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2**self.consecutive_failures
        )
        self.consecutive_failures = min(self.consecutive_failures + 1, 8)
        self.backoff_until_ms = now_ms + backoff_ms
        self.update_failure_share(1.0, now_ms)

    def update_failure_share(self, outcome: float, now_ms: float) -> None:
        """Move the average of failures towards one outcome."""
        decayed_share = self.decayed_failure_share(now_ms)
        self.failure_share = decayed_share + FAILURE_WEIGHT * (outcome - decayed_share)
        self.failure_share_updated_ms = now_ms

    def decayed_failure_share(self, now_ms: float) -> float:
        """Return the share of failures, faded by its age."""
        age = max(0.0, now_ms - self.failure_share_updated_ms)
        return self.failure_share * 0.5 ** (age / FAILURE_HALF_LIFE_MS)

    def apply_reported_slowdown(self, median_gap_ms: float, now_ms: float) -> bool:
        """Take over a reported slowdown; tell whether the server itself is slow."""
        if self.slowdown < MIN_SLOW_SERVER_SLOWDOWN:
            if self.gap_ms is not None:
                self.recent_gap_ms = median_gap_ms * self.slowdown
            return False
        self.gap_ms = self.recent_gap_ms = median_gap_ms * self.slowdown
        self.gap_updated_ms = now_ms
        return True

    def recent_slowness(self, median_gap_ms: float, now_ms: float) -> float:
        """Return the present pace relative to the usual one; 1 when it is unknown."""
        if self.gap_ms is None or now_ms - self.gap_updated_ms > RECENT_GAP_TTL_MS:
            return 1.0
        return max(1.0, self.recent_gap_ms / median_gap_ms)

    def was_slow(self, median_gap_ms: float, limit: float) -> bool:
        """Tell whether the server was slow when it was last observed."""
        return self.gap_ms is not None and self.gap_ms > limit * median_gap_ms

    def slowness(self, median_gap_ms: float, now_ms: float) -> float:
        """Return the gap relative to the usual one; 1 when nothing recent is known."""
        if self.gap_ms is None or now_ms - self.gap_updated_ms > SLOWNESS_TTL_MS:
            return 1.0
        return max(1.0, self.gap_ms / median_gap_ms)

    def is_backing_off(self, now_ms: float) -> bool:
        """Tell whether the server should get no work now."""
        return now_ms < self.backoff_until_ms
