"""Listening sockets, opened as soon as their addresses can be used."""

import functools
import logging
from collections.abc import Awaitable, Callable

from aiohttp import web

from ..interfaces import Clock
from .readiness import Readiness

logger = logging.getLogger(__name__)

RETRY_INTERVAL_MS = 100.0
BACKLOG = 512


class Listeners:
    """Opens the listening sockets of this process.

    An address may be in use for a moment, by a process that is still ending, or may not
    be assigned to the machine yet. It is tried again, since a process that ended for it
    would meet the same at its next start. The other sockets do not wait for it.

    Parameters
    ----------
    readiness : Readiness
        Is told whether callers can connect.
    start_task : callable
        Starts a background task with a name.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        readiness: Readiness,
        start_task: Callable[[str, Callable[[], Awaitable[None]]], None],
        clock: Clock,
    ) -> None:
        self.readiness = readiness
        self.start_task = start_task
        self.clock = clock

    async def open(
        self, runner: web.ServerRunner, address: str, is_for_callers: bool = False
    ) -> None:
        """Listen on an address, or start to try again until that is possible.

        Parameters
        ----------
        runner : web.ServerRunner
            Server of the connections.
        address : str
            ``ip:port`` to listen on.
        is_for_callers : bool
            Whether this entry VM is not ready without it.
        """
        error = await self.try_open(runner, address)
        if error is None:
            return
        logger.error(
            "address cannot be used yet", extra={"address": address, "cause": error}
        )
        if is_for_callers:
            self.readiness.is_listening = False
        retry = functools.partial(self.retry, runner, address, is_for_callers)
        self.start_task(f"listen on {address}", retry)

    async def try_open(self, runner: web.ServerRunner, address: str) -> str | None:
        """Listen on an address; return the cause if that fails."""
        host, port = address.rsplit(":", 1)
        site = web.TCPSite(runner, host, int(port), backlog=BACKLOG)
        try:
            await site.start()
        except OSError as error:
            await site.stop()
            return str(error)
        return None

    async def retry(
        self, runner: web.ServerRunner, address: str, is_for_callers: bool
    ) -> None:
        """Try to listen at an interval, until it works or this entry VM leaves."""
        while not self.readiness.leaving:
            await self.clock.sleep_ms(RETRY_INTERVAL_MS)
            if await self.try_open(runner, address) is not None:
                continue
            logger.info("listening", extra={"address": address})
            if is_for_callers:
                self.readiness.is_listening = True
            return
