"""Clock that tests advance manually."""

import asyncio

from ebonylb.interfaces import Clock


class ManualClock(Clock):
    """Clock that only `sleep_ms` and the test advance.

    Parameters
    ----------
    now_ms : float
        Initial time.
    """

    def __init__(self, now_ms: float = 0.0) -> None:
        self.now_ms = now_ms

    def monotonic_ms(self) -> float:
        """Return the current time."""
        return self.now_ms

    def wall_ms(self) -> int:
        """Return the same time as `monotonic_ms`, in whole milliseconds."""
        return int(self.now_ms)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Advance the time at once and yield to other tasks."""
        self.now_ms += duration_ms
        await asyncio.sleep(0)
