"""Estimate of the monotonic clock of the platform's store."""

from ..interfaces import Clock


class StoreTime:
    """Time of the store, which all entry VMs share regardless of their own clocks.

    Its error is the delay of the store's last response, some tens of milliseconds.

    Parameters
    ----------
    clock : Clock
        Measures the time since the last response.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.offset_ms: float | None = None

    def record(self, store_ms: float) -> None:
        """Record the time from a response; 0 means that the response has none."""
        if store_ms:
            self.offset_ms = store_ms - self.clock.monotonic_ms()

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
