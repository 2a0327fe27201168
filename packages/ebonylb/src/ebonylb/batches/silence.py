"""Limit of the silence of a run, judged by what its server does otherwise."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import replace

from ..fleet import ListedServer, ServerDirectory
from ..interfaces import Clock
from ..outcomes import StepError
from .placement import ItemPlacement, ItemRequirements

# Until its first event, a run may wait in the server's queue.
START_TIMEOUT_MS = 800.0
# After the first event, a silence is suspicious from this many median gaps between
# events on, but not before the minimum.
STALL_TIMEOUT_GAPS = 8.0
MIN_STALL_TIMEOUT_MS = 400.0
# A run on a server that sends events to other runs waits no longer than this. Its
# connection may be silent for good, while new ones work.
MAX_SILENCE_MS = 2_500.0
CHECK_INTERVAL_S = 0.1


class RunMovedError(Exception):
    """The run moves to another server, although this server did not fail."""


class RunSilence:
    """Watches one run on one server and ends it when it should wait elsewhere.

    A run that is silent on a live server waits in its queue or was preempted. It is
    ended only if another server has a free slot for it: each cut costs the prompt that
    was read, and a place in the queue. If the server is silent to all runs, while its
    peers are not, it is taken for lost.

    Parameters
    ----------
    server : ListedServer
        Server of the run.
    need : ItemRequirements
        Requirements of the item.
    """

    def __init__(
        self,
        placement: ItemPlacement,
        directory: ServerDirectory,
        clock: Clock,
        server: ListedServer,
        need: ItemRequirements,
    ) -> None:
        self.placement = placement
        self.directory = directory
        self.condition = directory.condition(server.name)
        self.clock = clock
        self.server = server
        self.need = need
        self.last_sign_ms = clock.monotonic_ms()
        self.has_events = False
        self.is_server_lost = False

    def record_sign(self) -> None:
        """Record that the response's head or an event has arrived."""
        now = self.clock.monotonic_ms()
        self.last_sign_ms = self.condition.last_sign_ms = now

    def record_event(self) -> None:
        """Record an event, after which the run no longer waits in a queue."""
        self.has_events = True
        self.record_sign()

    def timeout_ms(self) -> float:
        """Return the silence from which on the run may be ended."""
        if not self.has_events:
            return START_TIMEOUT_MS
        gap_ms = self.placement.selector.median_gap_ms(self.need.service)
        return max(MIN_STALL_TIMEOUT_MS, STALL_TIMEOUT_GAPS * gap_ms)

    def should_end(self) -> bool:
        """Return whether the run should leave its server now."""
        now = self.clock.monotonic_ms()
        timeout_ms = self.timeout_ms()
        silence_ms = now - self.last_sign_ms
        if silence_ms < timeout_ms:
            return False
        # A run that has not begun may wait behind work of other entry VMs, unless other
        # runs have failed there.
        has_evidence = self.has_events or self.condition.is_backing_off(now)
        server_silence_ms = now - max(self.condition.last_sign_ms, self.last_sign_ms)
        if has_evidence and server_silence_ms >= timeout_ms and self.has_live_peer():
            self.is_server_lost = True
            return True
        return silence_ms >= MAX_SILENCE_MS or self.has_better_place()

    def has_live_peer(self) -> bool:
        """Return whether another server has sent anything a moment ago.

        Where all are silent, they are busy with the work of other entry VMs, or this
        entry VM has lost its network. Leaving one for another gains nothing.
        """
        earliest_ms = self.clock.monotonic_ms() - START_TIMEOUT_MS
        return any(
            server.name != self.server.name
            and self.directory.condition(server.name).last_sign_ms > earliest_ms
            for server in self.directory.ready(self.need.service)
        )

    def has_better_place(self) -> bool:
        """Return whether another server surely has a free slot for the item.

        A server that is silent to runs of this entry VM may be full of others.
        """
        other = self.placement.choose(replace(self.need, avoid=self.server.name))
        if other is None:
            return False
        condition = self.directory.condition(other.name)
        sign_age_ms = self.clock.monotonic_ms() - condition.last_sign_ms
        return not condition.own_requests or sign_age_ms < START_TIMEOUT_MS

    @contextlib.asynccontextmanager
    async def limit(self, step: str) -> AsyncIterator[None]:
        """Limit the silence of the run inside the context.

        Raises
        ------
        StepError
            The server is lost.
        RunMovedError
            The run waits on a live server, and another one has a free slot, or its
            connection may be silent for good.
        """
        loop = asyncio.get_running_loop()

        def check() -> None:
            nonlocal timer
            if self.should_end():
                timeout.reschedule(loop.time())
            else:
                timer = loop.call_later(CHECK_INTERVAL_S, check)

        timer = loop.call_later(CHECK_INTERVAL_S, check)
        try:
            async with asyncio.timeout(None) as timeout:
                yield
        except TimeoutError as error:
            if not timeout.expired():
                raise
            if self.is_server_lost:
                raise StepError(
                    step, self.server.name, "silent for too long"
                ) from error
            raise RunMovedError from error
        finally:
            timer.cancel()
