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
        self.waiting: set[asyncio.Timeout] = set()
        self.ended = False

    async def read(self, read_body: Callable[[], Awaitable[bytes]]) -> bytes:
        """Return a body.

        Raises
        ------
        TimeoutError
            The process leaves before the body has arrived.
        """
        now = asyncio.get_running_loop().time()
        async with asyncio.timeout_at(now if self.ended else None) as limit:
            self.waiting.add(limit)
            try:
                return await read_body()
            finally:
                self.waiting.discard(limit)

    def end(self) -> int:
        """End all waits, now and later; return how many requests still waited."""
        self.ended = True
        now = asyncio.get_running_loop().time()
        for limit in self.waiting:
            limit.reschedule(now)
        return len(self.waiting)
