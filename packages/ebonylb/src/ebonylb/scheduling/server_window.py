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
GROWTH_GAP_FRACTION = 0.75  # of the gap limit; a window between both stays as it is
# A batch twice as large has gaps between 1 (twice the tokens/s) and 2 times as long
# (the same tokens/s), so gaps are compared over one doubling.
MIN_COMPARED_LOAD = 0.5
# Largest growth per interval; one request at a time takes 21 s from 8 to 50, which is
# longer than many steps of a trainer.
MAX_GROWTH = 0.2
SHRINK_FACTOR = 0.8
MAX_GAP_SAMPLES = 512  # gaps kept per adaptation; more would not change the median


class ServerWindow:
    """Window of one server, from the owner's own observations.

    The observations are gaps between chunks per token for engines, and service
    times for plain services, in milliseconds.

    Parameters
    ----------
    start, largest : int
        First and largest size in requests.
    gap_limit : float
        Multiple of the base above which the window shrinks.
    now_ms : float
        Time of creation.
    adapt_ms : float
        Interval of the adaptation.
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

    def observe(self, gap_ms: float) -> None:
        """Record one token gap or service time."""
        self.gaps_ms.append(gap_ms)

    def record_running(self, running: int) -> None:
        """Record the number of running requests after a dispatch."""
        self.max_running = max(self.max_running, running)

    def baseline_gap_ms(self, running: int) -> float | None:
        """Return the lowest interval median of the last minute at a similar load.

        Intervals with less than half of the running requests do not count: their
        gaps tell how fast a small batch is, not whether this one is too large.
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
        """Adapt the window when its interval has passed.

        Parameters
        ----------
        now_ms : float
            Current time.
        peers_ms : float or None
            Median of the other servers' `gap_ms`; None when there is none.
        silences_ms : iterable of float
            Age of the last chunk of each running request. One that is larger than
            the present gap counts as an observation, because a stalled server
            produces no other.
        running : int
            Requests that run now.
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
        """Part of the window that a slow server gave up.

        The shard's digest counts it as used. Otherwise the other servers of the
        shard would take all of that load while other shards have room.
        """
        return self.size_before_slow - self.size if self.slow else 0

    def is_probe_due(self, launched_ms: float, now_ms: float) -> bool:
        """Tell whether a slow server may get its next request.

        An empty server looks the least loaded, so without a pace it would get a
        request as soon as the previous one was copied elsewhere.
        """
        return now_ms - launched_ms >= PROBE_INTERVAL_MS * self.time_scale

    def resize(self, max_running: int) -> None:
        """Shrink on long gaps; grow when the window was the limit."""
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
        """Leave the slow state with half of the former window."""
        self.slow = False
        self.above_since_ms = None
        self.size = max(2, self.size_before_slow // 2)

    def update_slow_state(
        self, now_ms: float, peer_gap_ms: float | None, has_observations: bool
    ) -> None:
        """Enter or leave the slow state by comparison with the peers."""
        if peer_gap_ms is None and self.slow:  # nothing left to compare it with
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
