"""Time as the decisions see it."""

from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of time; tests replace it to control durations."""

    @abstractmethod
    def monotonic_ms(self) -> float:
        """Return a time that never goes back, in milliseconds."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return Unix time in milliseconds, for display and audit rows only."""

    @abstractmethod
    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait for a duration in milliseconds."""

    def boot_ms(self) -> float:
        """Return a monotonic time that also counts suspension, in milliseconds."""
        return self.monotonic_ms()
