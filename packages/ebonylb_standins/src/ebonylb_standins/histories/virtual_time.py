"""Event loop on virtual time, which advances only when no task is ready to run.

Simulations of minutes finish in seconds, and one seed always gives the same order.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from ebonylb.interfaces import Clock

ResultT = TypeVar("ResultT")


class JumpingSelector(selectors.SelectSelector):
    """Selector that advances the loop's time instead of waiting."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Advance the time by `timeout` and return no events.

        Raises
        ------
        RuntimeError
            No timer is set, so that the loop would wait forever.
        """
        if timeout is None:
            raise RuntimeError("deadlock: every task waits and no timer is set")
        self.now_s += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time; it has no I/O."""

    def __init__(self) -> None:
        self.jumping_selector = JumpingSelector()
        super().__init__(self.jumping_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.jumping_selector.now_s


class LoopClock(Clock):
    """Clock that reads the time of the running event loop."""

    def monotonic_ms(self) -> float:
        """Return the loop's time in milliseconds."""
        return asyncio.get_running_loop().time() * 1000

    def wall_ms(self) -> int:
        """Return the loop's time; no simulation depends on the date."""
        return int(self.monotonic_ms())

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep for a duration of the loop's time."""
        await asyncio.sleep(duration_ms / 1000)


def run_virtual(scenario: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine on virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(scenario)
