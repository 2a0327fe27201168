"""Clock that tests move on by hand."""

import asyncio

from ebonylb.interfaces import Clock


class ManualClock(Clock):
    """Time that only `sleep_ms` and the test change.

    Parameters
    ----------
    now : float
        Milliseconds.
    """

    def __init__(self, now: float = 0.0) -> None:
        self.now = now

    def monotonic_ms(self) -> float:
        """Return the time set by the test."""
        return self.now

    def wall_ms(self) -> int:
        """Return the time set by the test."""
        return int(self.now)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Move the time on at once."""
        self.now += duration_ms
        await asyncio.sleep(0)
