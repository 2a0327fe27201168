"""Interface of the clock."""

from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of time; tests replace it to control the passage of time."""

    @abstractmethod
    def monotonic_ms(self) -> float:
        """Return a monotonic time in milliseconds."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return the Unix time in milliseconds, for display and audit rows only."""

    @abstractmethod
    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep for a duration in milliseconds."""

    def boot_ms(self) -> float:
        """Return a monotonic time that includes suspension, in milliseconds."""
        return self.monotonic_ms()
