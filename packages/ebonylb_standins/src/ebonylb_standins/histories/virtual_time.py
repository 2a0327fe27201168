"""An event loop whose time passes only when nothing is ready to run.

Histories of minutes take moments, and the same seed gives the same order.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from ebonylb.edges import Clock

ResultT = TypeVar("ResultT")


class JumpingSelector(selectors.SelectSelector):
    """Selector that moves the loop's time on instead of waiting."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Return at once; a loop without timers has nothing to wait for."""
        if timeout is None:
            raise RuntimeError("deadlock: every task waits and no timer is set")
        self.now_s += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time, without input and output."""

    def __init__(self) -> None:
        self.jumping_selector = JumpingSelector()
        super().__init__(self.jumping_selector)

    def time(self) -> float:
        """Return virtual seconds."""
        return self.jumping_selector.now_s


class LoopClock(Clock):
    """Clock of the running loop."""

    def monotonic_ms(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time() * 1000

    def wall_ms(self) -> int:
        """Return the loop's time; histories need no date."""
        return int(self.monotonic_ms())

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait on the loop's time."""
        await asyncio.sleep(duration_ms / 1000)


def run_virtual(scenario: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a scenario on virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(scenario)
