"""Estimate of the monotonic clock of the platform's store."""

from ..interfaces import Clock

# Highest assumed difference in speed between the clocks of the store and an entry VM.
MAX_DRIFT = 1e-3
# A response that differs by more is from a store whose clock has been set.
MAX_DELAY_MS = 10_000.0


class StoreTime:
    """Time of the store, which all entry VMs share regardless of their own clocks.

    A response shows a time that is too early by its delay, which grows with the load of
    the store and of this machine. The least delayed one of the last seconds counts, so
    that the error is usually a few milliseconds.

    Parameters
    ----------
    clock : Clock
        Measures the time since the last response.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.offset_ms: float | None = None
        self.recorded_ms = 0.0

    def record(self, store_ms: float) -> None:
        """Record the time from a response; 0 means that the response has none."""
        if not store_ms:
            return
        now = self.clock.monotonic_ms()
        observed_ms = store_ms - now
        if self.offset_ms is not None:
            lowest_ms = self.offset_ms - MAX_DRIFT * (now - self.recorded_ms)
            if lowest_ms - MAX_DELAY_MS < observed_ms < lowest_ms:
                return
        self.offset_ms, self.recorded_ms = observed_ms, now

    def now_ms(self) -> float:
        """Return the store's current time, or 0 before its first response."""
        if self.offset_ms is None:
            return 0.0
        return self.clock.monotonic_ms() + self.offset_ms

    def now_or_local_ms(self) -> float:
        """Return the store's current time, or that of the local clock if unknown."""
        return self.now_ms() or self.clock.monotonic_ms()

    def age_ms(self, written_ms: float) -> float:
        """Return the age of something written at a store time, or 0 if unknown."""
        now = self.now_ms()
        return max(0.0, now - written_ms) if now and written_ms else 0.0
