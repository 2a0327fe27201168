"""Reading of request bodies, with an early end at shutdown."""

import asyncio
from collections.abc import Awaitable, Callable


class Uploads:
    """Reads request bodies until a leaving process ends all waits for them.

    A request whose body has not arrived has not run. Ending the wait tells its caller
    so in time to send the request to another entry VM, and a caller that never finishes
    a body cannot delay the process until the end of its grace period.
    """

    def __init__(self) -> None:
        self.timeouts: set[asyncio.Timeout] = set()
        self.waits_ended = False

    async def read(self, read_body: Callable[[], Awaitable[bytes]]) -> bytes:
        """Read and return a body.

        Raises
        ------
        TimeoutError
            The process ended the wait before the body had arrived.
        """
        now = asyncio.get_running_loop().time()
        async with asyncio.timeout_at(now if self.waits_ended else None) as timeout:
            self.timeouts.add(timeout)
            try:
                return await read_body()
            finally:
                self.timeouts.discard(timeout)

    def end_waits(self) -> int:
        """End all current and future waits; return the number of current ones."""
        self.waits_ended = True
        now = asyncio.get_running_loop().time()
        for timeout in self.timeouts:
            timeout.reschedule(now)
        return len(self.timeouts)
