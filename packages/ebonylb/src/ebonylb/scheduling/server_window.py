"""Adaptive limit of concurrent requests on one server."""

from collections import deque
from collections.abc import Iterable
from statistics import median

ADAPT_INTERVAL_MS = 500
BASELINE_HISTORY_MS = 60_000
SLOW_GAP_RATIO = 3.0
SLOW_DETECTION_MS = 1_000
PROBE_INTERVAL_MS = 1_000
MIN_GROWTH_GAP_RATIO = 1.3
# Growth stops at this fraction of the maximum gap ratio. Between both ratios the size
# does not change.
GROWTH_GAP_FRACTION = 0.75
# A baseline interval needs at least this fraction of the running requests. Doubling a
# batch multiplies the gaps by 1 (twice the tokens/s) to 2 (the same tokens/s), so gaps
# are compared over one doubling at most.
MIN_COMPARED_LOAD = 0.5
# Maximum growth per interval as a fraction of the size. Growth by one request at a time
# would take 21 s from 8 to 50, which is longer than many steps of a trainer.
MAX_GROWTH = 0.2
SHRINK_FACTOR = 0.8
MAX_GAP_SAMPLES = 512  # per interval; more would not change the median


class ServerWindow:
    """Concurrency window of one server, adapted to gaps that its owner observes.

    For engines a gap is the time between chunks per token; for plain services it is
    the service time. Both are in milliseconds.

    Parameters
    ----------
    initial_size, max_size : int
        Initial and maximum size in requests.
    max_gap_ratio : float
        Ratio of gap to baseline above which the window shrinks.
    now_ms : float
        Time of creation.
    adapt_interval_ms : float
        Interval of the adaptation; all other intervals scale with it.
    """

    def __init__(
        self,
        initial_size: int,
        max_size: int,
        max_gap_ratio: float,
        now_ms: float,
        adapt_interval_ms: float = ADAPT_INTERVAL_MS,
    ) -> None:
        self.size = min(initial_size, max_size)
        self.max_size = max_size
        self.max_gap_ratio = max_gap_ratio
        self.growth_gap_ratio = max(
            MIN_GROWTH_GAP_RATIO, GROWTH_GAP_FRACTION * max_gap_ratio
        )
        self.adapt_interval_ms = adapt_interval_ms
        self.time_scale = adapt_interval_ms / ADAPT_INTERVAL_MS
        self.gaps_ms: deque[float] = deque(maxlen=MAX_GAP_SAMPLES)
        self.baseline_samples: deque[tuple[float, int, float]] = deque()
        self.gap_ms: float | None = None
        self.last_adapted_ms = now_ms
        self.above_since_ms: float | None = None
        self.slow = False
        self.last_probed_ms = now_ms
        self.size_before_slow = self.size
        self.max_running = 0

    def record_gap(self, gap_ms: float) -> None:
        """Record a token gap or service time."""
        self.gaps_ms.append(gap_ms)

    def record_running(self, running: int) -> None:
        """Record the number of running requests after a dispatch."""
        self.max_running = max(self.max_running, running)

    def baseline_gap_ms(self, running: int) -> float | None:
        """Return the lowest median gap of the last minute at a similar load.

        Intervals with fewer than half of the running requests are ignored: their
        gaps show how fast a small batch is, not whether this one is too large.
        """
        min_running = MIN_COMPARED_LOAD * running
        return min(
            (gap_ms for _, n, gap_ms in self.baseline_samples if n >= min_running),
            default=None,
        )

    def adapt(
        self,
        now_ms: float,
        peer_gap_ms: float | None,
        silences_ms: Iterable[float] = (),
        running: int = 0,
    ) -> None:
        """Adapt the window if the interval since the last adaptation has passed.

        Parameters
        ----------
        now_ms : float
            Current time.
        peer_gap_ms : float or None
            Median of the other servers' `gap_ms`; None when there is none.
        silences_ms : iterable of float
            Time since the last chunk of each running request. A time longer than
            the current gap counts as an observation, because a stalled server
            produces no others.
        running : int
            Number of requests running now.
        """
        if now_ms - self.last_adapted_ms < self.adapt_interval_ms:
            return
        self.last_adapted_ms = now_ms
        current_gap_ms = self.gap_ms or 0.0
        observed_gaps_ms = [
            *self.gaps_ms,
            *(s for s in silences_ms if s > current_gap_ms),
        ]
        self.gaps_ms.clear()
        max_running, self.max_running = max(self.max_running, running), 0
        if observed_gaps_ms:
            self.gap_ms = median(observed_gaps_ms)
            self.baseline_samples.append((now_ms, max_running, self.gap_ms))
        history_ms = BASELINE_HISTORY_MS * self.time_scale
        while (
            self.baseline_samples and now_ms - self.baseline_samples[0][0] > history_ms
        ):
            self.baseline_samples.popleft()
        self.update_slow_state(now_ms, peer_gap_ms, bool(observed_gaps_ms))
        if not self.slow and observed_gaps_ms:
            self.resize(max_running)

    @property
    def lost_capacity(self) -> int:
        """Number of requests by which the slow state has reduced the window.

        The shard's digest subtracts it from the free capacity. Otherwise the other
        servers of the shard would get all of that load while other shards are free.
        """
        return self.size_before_slow - self.size if self.slow else 0

    def is_probe_due(self, launched_ms: float, now_ms: float) -> bool:
        """Return whether a slow server may get its next request.

        An idle server looks the least loaded. Without a minimum interval it would
        get a request as soon as the previous one was hedged on another server.
        """
        return now_ms - launched_ms >= PROBE_INTERVAL_MS * self.time_scale

    def resize(self, max_running: int) -> None:
        """Shrink the window on long gaps; grow it if it was full and gaps are short."""
        baseline_ms, gap_ms = self.baseline_gap_ms(max_running), self.gap_ms
        if baseline_ms is None or gap_ms is None:
            return
        if gap_ms > self.max_gap_ratio * baseline_ms:
            self.size = max(1, int(self.size * SHRINK_FACTOR))
        elif max_running >= self.size and gap_ms < self.growth_gap_ratio * baseline_ms:
            headroom = (self.growth_gap_ratio - gap_ms / baseline_ms) / (
                self.growth_gap_ratio - 1
            )
            step = max(1, int(MAX_GROWTH * headroom * self.size))
            self.size = min(self.max_size, self.size + step)

    def leave_slow_state(self) -> None:
        """Leave the slow state with half of the window from before it."""
        self.slow = False
        self.above_since_ms = None
        self.size = max(2, self.size_before_slow // 2)

    def update_slow_state(
        self, now_ms: float, peer_gap_ms: float | None, has_observations: bool
    ) -> None:
        """Enter or leave the slow state by comparison with the other servers."""
        if peer_gap_ms is None and self.slow:  # no other server to compare with
            self.leave_slow_state()
        if self.gap_ms is None or peer_gap_ms is None:
            return
        is_above = self.gap_ms > SLOW_GAP_RATIO * peer_gap_ms
        if self.slow:
            if (
                now_ms - self.last_probed_ms >= PROBE_INTERVAL_MS * self.time_scale
                and has_observations
            ):
                self.last_probed_ms = now_ms
                if not is_above:
                    self.leave_slow_state()
            return
        if not is_above:
            self.above_since_ms = None
        elif self.above_since_ms is None:
            self.above_since_ms = now_ms
        elif now_ms - self.above_since_ms >= SLOW_DETECTION_MS * self.time_scale:
            self.slow = True
            self.last_probed_ms = now_ms
            self.size_before_slow = self.size
            self.size = 1
