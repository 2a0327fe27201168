"""Bodies of requests that are still arriving."""

import asyncio
from collections.abc import Awaitable, Callable


class Uploads:
    """Waits for bodies, until a leaving process ends the wait for all of them.

    A request whose body has not arrived has not run. Ending the wait gives its caller
    that answer in time to send it elsewhere, and a caller that never finishes a body
    cannot hold the process to the end of its grace.
    """

    def __init__(self) -> None:
        self.timeouts: set[asyncio.Timeout] = set()
        self.waits_ended = False

    async def read(self, read_body: Callable[[], Awaitable[bytes]]) -> bytes:
        """Return a body.

        Raises
        ------
        TimeoutError
            The process leaves before the body has arrived.
        """
        now = asyncio.get_running_loop().time()
        async with asyncio.timeout_at(now if self.waits_ended else None) as timeout:
            self.timeouts.add(timeout)
            try:
                return await read_body()
            finally:
                self.timeouts.discard(timeout)

    def end_waits(self) -> int:
        """End all waits, now and later; return how many requests still waited."""
        self.waits_ended = True
        now = asyncio.get_running_loop().time()
        for timeout in self.timeouts:
            timeout.reschedule(now)
        return len(self.timeouts)
