"""The steady clock of the platform's store, as known here between its answers."""

from ..edges import Clock


class StoreTime:
    """Time of the store, which all entry VMs share whatever their own clocks say.

    Its error is the delay of the store's last answer, some tens of milliseconds.

    Parameters
    ----------
    clock : Clock
        Counts the time since the last answer.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.offset_ms: float | None = None

    def record(self, store_ms: float) -> None:
        """Take over the time in an answer; 0 means that it had none."""
        if store_ms:
            self.offset_ms = store_ms - self.clock.monotonic_ms()

    def now_ms(self) -> float:
        """Return the store's present time, or 0 before its first answer."""
        if self.offset_ms is None:
            return 0.0
        return self.clock.monotonic_ms() + self.offset_ms

    def age_ms(self, written_ms: float) -> float:
        """Return how long ago something was written; 0 when that is not known."""
        now = self.now_ms()
        return max(0.0, now - written_ms) if now and written_ms else 0.0
