"""Clock that tests move on by hand."""

import asyncio

from ebonylb.edges import Clock


class ManualClock(Clock):
    """Time that only `sleep_ms` and the test change.

    Parameters
    ----------
    now_ms : float
        Milliseconds.
    """

    def __init__(self, now_ms: float = 0.0) -> None:
        self.now_ms = now_ms

    def monotonic_ms(self) -> float:
        """Return the time set by the test."""
        return self.now_ms

    def wall_ms(self) -> int:
        """Return the time set by the test."""
        return int(self.now_ms)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Move the time on at once."""
        self.now_ms += duration_ms
        await asyncio.sleep(0)
