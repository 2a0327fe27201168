"""Clock that uses the operating system's time."""

import asyncio
import time

from ..interfaces import Clock


class SystemClock(Clock):
    """Clock with the time of this machine and the sleep of the running event loop."""

    def monotonic_ms(self) -> float:
        """Return a monotonic time in milliseconds."""
        return time.monotonic() * 1000

    def wall_ms(self) -> int:
        """Return the Unix time in milliseconds."""
        return time.time_ns() // 1_000_000

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep for a duration in milliseconds."""
        await asyncio.sleep(duration_ms / 1000)

    def boot_ms(self) -> float:
        """Return a monotonic time that includes suspension, in milliseconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000
