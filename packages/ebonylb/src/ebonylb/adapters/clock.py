"""Clock of the operating system."""

import asyncio
import time

from ..edges import Clock


class SystemClock(Clock):
    """Time of this machine and sleeps of the running event loop."""

    def monotonic_ms(self) -> float:
        """Return a time that never goes back, in milliseconds."""
        return time.monotonic() * 1000

    def wall_ms(self) -> int:
        """Return Unix time in milliseconds."""
        return time.time_ns() // 1_000_000

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait for a duration in milliseconds."""
        await asyncio.sleep(duration_ms / 1000)

    def boot_ms(self) -> float:
        """Return a monotonic time that also counts suspension, in milliseconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000
