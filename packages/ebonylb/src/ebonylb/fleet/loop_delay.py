"""Longest pause of the event loop, which makes timeouts expire before their time."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from ..interfaces import Clock

SAMPLE_INTERVAL_MS = 20.0


class LoopDelay:
    """Measures by how much the event loop runs its timers late.

    After a pause, a timeout may end a wait although what it waited for has arrived.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    longest_ms : float
        Longest delay in the last `measure` context.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.longest_ms = 0.0

    @contextlib.asynccontextmanager
    async def measure(self) -> AsyncIterator[None]:
        """Measure inside the context."""
        self.longest_ms = 0.0
        sampling = asyncio.create_task(self.sample())
        started_ms = self.clock.monotonic_ms()
        # The first sample must begin before the pause that it is to measure.
        await asyncio.sleep(0)
        try:
            yield
        finally:
            sampling.cancel()
            self.record(self.clock.monotonic_ms() - max(started_ms, self.sampled_ms))

    async def sample(self) -> None:
        """Sleep for short intervals and record how late each one ended."""
        while True:
            self.sampled_ms = self.clock.monotonic_ms()
            await self.clock.sleep_ms(SAMPLE_INTERVAL_MS)
            self.record(self.clock.monotonic_ms() - self.sampled_ms)

    def record(self, interval_ms: float) -> None:
        """Record an interval between two samples."""
        self.longest_ms = max(self.longest_ms, interval_ms - SAMPLE_INTERVAL_MS)
