"""Load, speed and failures of a backend server, as observed by this entry VM."""

import math
from dataclasses import dataclass, field

from ..interfaces.server_client import ServerLoad

# The load caused by other entry VMs is known only from responses. It decays to zero
# within this time, because an item runs on an engine for about a second.
LOAD_REPORT_DECAY_MS = 1_500
# Backoff after a failure; it doubles with each consecutive failure.
INITIAL_BACKOFF_MS = 250
MAX_BACKOFF_MS = 4_000
# Time constant of the average gap. Neighbours on the same machine slow a server down
# for about 600 ms at a time, which must not mark it as a slow server.
GAP_TIME_CONSTANT_MS = 1_000.0
# Time constant of the recent gap, about three events. It is short because the recent
# gap has to follow such disturbances.
RECENT_GAP_TIME_CONSTANT_MS = 120.0
# The recent gap is ignored when older than this: a disturbance lasts about 600 ms.
RECENT_GAP_TTL_MS = 400.0
# The usual gap follows shorter gaps fast and longer ones slowly. It is that of the
# server's own speed: neighbours disturb it for 600 ms at a time, a seventh of the time.
USUAL_GAP_RISE_MS = 10_000.0
USUAL_GAP_FALL_MS = 300.0
# Servers of one service differ in speed by a third. One whose usual gap is longer than
# the median by more than this factor was slowed down and may have recovered.
MAX_USUAL_SLOWNESS = 1.6
# Weights of the newest observation in the other moving averages.
DURATION_WEIGHT = 0.2
FAILURE_WEIGHT = 0.15
# An observed slowness is ignored after this time, so that a server that has recovered
# gets work again.
SLOWNESS_TTL_MS = 2_500
# A server that reports at least this slowdown is slow itself: disturbances by its
# neighbours slow it down 2.5 times.
MIN_SLOW_SERVER_SLOWDOWN = 2.6
# A server that refused an item for lack of slots gets no more items than it ran then
# for this time. Long outputs of other entry VMs hold their slots for seconds.
REFUSAL_TTL_MS = 500.0
# Half-life of the share of failed requests.
FAILURE_HALF_LIFE_MS = 4_000


@dataclass(slots=True)
class ServerCondition:
    """Load, speed and failures of one incarnation of a server.

    Attributes
    ----------
    own_requests : int
        Requests of this entry VM in progress on the server.
    other_requests : float
        Requests of other entry VMs at the time of the last load report.
    load_reported_ms : float
        Monotonic time of the last load report.
    slowdown : float
        Duration of work relative to its normal duration, as last reported.
    gap_ms : float or None
        Average time between stream events.
    gap_updated_ms : float
        Monotonic time of the last change of `gap_ms` and `recent_gap_ms`.
    recent_gap_ms : float
        Average time between the last few stream events.
    usual_gap_ms : float or None
        Time between stream events while no neighbour disturbs the server; kept while
        it has no streams.
    duration_ms : float or None
        Average duration of a plain request.
    failure_share : float
        Moving average of failed requests, from 0 to 1, at its last update.
    failure_share_updated_ms : float
        Monotonic time of the last change of `failure_share`.
    consecutive_failures : int
        Failures since the last success, at most 8.
    backoff_until_ms : float
        Monotonic time before which the server gets no new work, unless there is no
        other server.
    model_refused_until_ms : dict of str to float
        Monotonic time, by model, before which items of the model are not sent to this
        server because it refused one.
    refused_ms : float
        Monotonic time at which it last refused an item.
    own_at_refusal : int
        Requests of this entry VM in progress there, without the refused one.
    last_sign_ms : float
        Monotonic time of the last head or event of a stream from the server.
    versions : dict of str to int
        Weight versions, by model, seen in responses or loaded by this entry VM's
        orders.
    """

    own_requests: int = 0
    other_requests: float = 0.0
    load_reported_ms: float = -1e12
    slowdown: float = 1.0
    gap_ms: float | None = None
    gap_updated_ms: float = -1e12
    recent_gap_ms: float = 0.0
    usual_gap_ms: float | None = None
    duration_ms: float | None = None
    failure_share: float = 0.0
    failure_share_updated_ms: float = 0.0
    consecutive_failures: int = 0
    backoff_until_ms: float = -1e12
    model_refused_until_ms: dict[str, float] = field(default_factory=dict)
    refused_ms: float = -1e12
    own_at_refusal: int = 0
    last_sign_ms: float = -1e12
    versions: dict[str, int] = field(default_factory=dict)

    def load(self, now_ms: float) -> float:
        """Return the estimated number of requests in progress on the server."""
        age = max(0.0, now_ms - self.load_reported_ms)
        return self.own_requests + self.other_requests * max(
            0.0, 1.0 - age / LOAD_REPORT_DECAY_MS
        )

    def record_load(self, load: ServerLoad, now_ms: float) -> None:
        """Record a reported load.

        Reported requests beyond this entry VM's own belong to other entry VMs.
        """
        self.other_requests = max(0.0, load.running + load.waiting - self.own_requests)
        self.load_reported_ms = now_ms
        self.slowdown = load.slowdown

    def record_refusal(self, now_ms: float) -> None:
        """Record that the server refused an item, which still counts as in progress."""
        self.refused_ms = now_ms
        self.own_at_refusal = max(0, self.own_requests - 1)

    def was_refused(self, now_ms: float) -> bool:
        """Return whether one more item was refused a moment ago."""
        recent = now_ms - self.refused_ms < REFUSAL_TTL_MS
        return recent and self.own_requests >= self.own_at_refusal

    def record_gap(self, gap_ms: float, median_gap_ms: float, now_ms: float) -> None:
        """Record the time between two events of a stream.

        The averages are weighted by time and not by the number of events, because many
        streams on one server report the same disturbance.
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
        self.update_usual_gap(gap_ms, span)
        self.gap_updated_ms = now_ms

    def update_usual_gap(self, gap_ms: float, span_ms: float) -> None:
        """Add a gap to the asymmetric average of the server's own speed."""
        if self.usual_gap_ms is None:
            self.usual_gap_ms = gap_ms
        is_longer = gap_ms > self.usual_gap_ms
        time_constant_ms = USUAL_GAP_RISE_MS if is_longer else USUAL_GAP_FALL_MS
        weight = 1 - math.exp(-span_ms / time_constant_ms)
        self.usual_gap_ms += weight * (gap_ms - self.usual_gap_ms)

    def record_success(self, now_ms: float, duration_ms: float | None = None) -> None:
        """Record a complete response, with its duration for a plain request."""
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
        """Record a failure; the backoff doubles with each consecutive one."""
        backoff_ms = min(
            MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2**self.consecutive_failures
        )
        self.consecutive_failures = min(self.consecutive_failures + 1, 8)
        self.backoff_until_ms = now_ms + backoff_ms
        self.update_failure_share(1.0, now_ms)

    def forget_failures(self) -> None:
        """Forget all failures, which were not the server's own."""
        self.consecutive_failures = 0
        self.backoff_until_ms = -1e12
        self.failure_share = 0.0

    def update_failure_share(self, outcome: float, now_ms: float) -> None:
        """Add an outcome to the moving average: 1 for a failure, 0 for a success."""
        decayed_share = self.decayed_failure_share(now_ms)
        self.failure_share = decayed_share + FAILURE_WEIGHT * (outcome - decayed_share)
        self.failure_share_updated_ms = now_ms

    def decayed_failure_share(self, now_ms: float) -> float:
        """Return the share of failed requests, decayed since its last update."""
        age = max(0.0, now_ms - self.failure_share_updated_ms)
        return self.failure_share * 0.5 ** (age / FAILURE_HALF_LIFE_MS)

    def apply_reported_slowdown(self, median_gap_ms: float, now_ms: float) -> bool:
        """Set the gaps from the reported slowdown.

        Returns
        -------
        bool
            Whether the server itself is slow, and not only disturbed by neighbours.
        """
        if self.slowdown < MIN_SLOW_SERVER_SLOWDOWN:
            if self.gap_ms is not None:
                self.recent_gap_ms = median_gap_ms * self.slowdown
            return False
        self.gap_ms = self.recent_gap_ms = median_gap_ms * self.slowdown
        self.gap_updated_ms = now_ms
        return True

    def recent_slowness(self, median_gap_ms: float, now_ms: float) -> float:
        """Return the recent gap relative to the median, at least 1.

        It is 1 when there is no recent observation.
        """
        if self.gap_ms is None or now_ms - self.gap_updated_ms > RECENT_GAP_TTL_MS:
            return 1.0
        return max(1.0, self.recent_gap_ms / median_gap_ms)

    def was_slow(self, median_gap_ms: float, limit: float) -> bool:
        """Return whether the average gap was above `limit` times the median."""
        return self.gap_ms is not None and self.gap_ms > limit * median_gap_ms

    def has_recent_gap(self, now_ms: float) -> bool:
        """Return whether events of a stream have arrived lately."""
        return now_ms - self.gap_updated_ms <= RECENT_GAP_TTL_MS

    def expected_gap_ms(self, median_gap_ms: float, now_ms: float) -> float:
        """Return the average gap, or what is usual if there is no recent observation.

        That is the median of the service for a server that was never observed, or that
        was slowed down and may have recovered.
        """
        if self.gap_ms is not None and now_ms - self.gap_updated_ms <= SLOWNESS_TTL_MS:
            return self.gap_ms
        usual_gap_ms = self.usual_gap_ms
        if usual_gap_ms is None or usual_gap_ms > MAX_USUAL_SLOWNESS * median_gap_ms:
            return median_gap_ms
        return usual_gap_ms

    def slowness(self, median_gap_ms: float, now_ms: float) -> float:
        """Return the expected gap relative to the median, at least 1."""
        return max(1.0, self.expected_gap_ms(median_gap_ms, now_ms) / median_gap_ms)

    def is_backing_off(self, now_ms: float) -> bool:
        """Return whether the server is in backoff after a failure or refusal."""
        return now_ms < self.backoff_until_ms
