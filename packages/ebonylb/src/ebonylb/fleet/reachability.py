"""Whether this entry VM can open connections to any backend server.

Failures of single requests do not tell a crashed server from a partition between this
entry VM and all servers. A check does: it opens connections to servers of all services.
"""

import asyncio
import logging
import random
from collections.abc import Callable

from ..interfaces import Clock
from ..interfaces.server_client import ServerActivity, ServerClient
from .directory import ServerDirectory
from .loop_delay import LoopDelay
from .model import ListedServer

logger = logging.getLogger(__name__)

# A reachable server accepts a connection within about 30 ms, also in other regions.
CONNECT_TIMEOUT_MS = 200.0
# The server that answered last is tried first. Others are tried when it has not
# accepted a connection by then.
FIRST_CONNECT_MS = 80.0
MAX_OTHER_SERVERS = 4
# Least time between the end of a successful check and the start of the next one.
MIN_CHECK_INTERVAL_MS = 500.0
# A request that no server accepts is answered by the result of a check of this age.
MAX_RESULT_AGE_MS = 200.0
# Interval between checks while no server is reachable.
RECHECK_INTERVAL_MS = 500.0
# Requests are in progress and no server has sent a byte for this time.
MAX_SILENCE_MS = 600.0
WATCH_INTERVAL_MS = 200.0
# A check during which the process paused for longer is repeated: its timeouts may have
# expired although connections had been accepted. A process that always pauses has to
# accept the last result.
MAX_PAUSE_MS = 100.0
MAX_PAUSED_CHECKS = 3


class ServerReachability:
    """Checks on suspicion whether any backend server is reachable.

    Parameters
    ----------
    directory : ServerDirectory
        Listed servers.
    server_client : ServerClient
        Opens connections to servers.
    activity : ServerActivity
        Time of the last byte from any server.
    clock : Clock
        Source of time.

    Attributes
    ----------
    cut_off : asyncio.Event
        Set while the last check has found no reachable server.
    in_progress : int
        Number of requests to servers in progress.
    last_connected : str
        Name of the server that has last accepted a connection or a request.
    listeners : list of callable
        Called after each change of `is_cut_off`.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        server_client: ServerClient,
        activity: ServerActivity,
        clock: Clock,
    ) -> None:
        self.directory = directory
        self.server_client = server_client
        self.activity = activity
        self.clock = clock
        self.cut_off = asyncio.Event()
        self.in_progress = 0
        self.busy_since_ms = 0.0
        self.last_connected = ""
        self.loop_delay = LoopDelay(clock)
        self.checked_ms = -1e12
        self.changed_ms = 0.0
        self.suspicion = asyncio.Event()
        self.check_task: asyncio.Task[bool] | None = None
        self.listeners: list[Callable[[], None]] = []

    @property
    def is_cut_off(self) -> bool:
        """Whether the last check found no reachable server."""
        return self.cut_off.is_set()

    async def wait_cut_off(self) -> None:
        """Wait until this entry VM is cut off from all servers."""
        await self.cut_off.wait()

    def begin_request(self) -> None:
        """Record a request to a server; silence counts from the first one."""
        if not self.in_progress:
            self.busy_since_ms = self.clock.monotonic_ms()
        self.in_progress += 1

    def end_request(self) -> None:
        """Record the end of a request."""
        self.in_progress -= 1

    def suspect(self) -> None:
        """Have the connections checked soon, since one has failed."""
        self.suspicion.set()

    def is_silent(self) -> bool:
        """Return whether all servers are silent although requests are in progress."""
        silent_since_ms = max(
            self.activity.last_received_ms, self.busy_since_ms, self.checked_ms
        )
        now = self.clock.monotonic_ms()
        return self.in_progress > 0 and now - silent_since_ms >= MAX_SILENCE_MS

    def suspect_unless_heard(self) -> None:
        """Have the connections checked soon unless a server has sent a byte just now.

        For hints from elsewhere, which tell nothing of this entry VM's connections.
        """
        if not self.has_heard_within(MAX_SILENCE_MS):
            self.suspect()

    def has_heard_within(self, duration_ms: float) -> bool:
        """Return whether any server has sent a byte within a duration."""
        age_ms = self.clock.monotonic_ms() - self.activity.last_received_ms
        return age_ms < duration_ms

    async def watch(self) -> None:
        """Check on suspicion, and repeatedly while cut off, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(WATCH_INTERVAL_MS / 1000):
                    await self.suspicion.wait()
            except TimeoutError:
                if not self.is_cut_off and not self.is_silent():
                    continue
            self.suspicion.clear()
            interval_ms = (
                RECHECK_INTERVAL_MS if self.is_cut_off else MIN_CHECK_INTERVAL_MS
            )
            waited_ms = self.clock.monotonic_ms() - self.checked_ms
            await self.clock.sleep_ms(max(0.0, interval_ms - waited_ms))
            await self.check()

    async def check(self) -> bool:
        """Return whether any server accepts a connection now.

        Concurrent callers share one check.
        """
        if self.check_task is None or self.check_task.done():
            self.check_task = asyncio.create_task(self.run_check())
        return await asyncio.shield(self.check_task)

    async def check_unless_recent(self) -> bool:
        """Return the result of a check that is not older than `MAX_RESULT_AGE_MS`."""
        if self.clock.monotonic_ms() - self.checked_ms < MAX_RESULT_AGE_MS:
            return not self.is_cut_off
        return await self.check()

    async def run_check(self) -> bool:
        """Open connections until one is accepted, and record the result."""
        for _ in range(MAX_PAUSED_CHECKS):
            servers = self.choose_servers()
            async with self.loop_delay.measure():
                reachable = not servers or await self.is_any_reachable(servers)
            if reachable or self.loop_delay.longest_ms <= MAX_PAUSE_MS:
                break
        self.checked_ms = self.clock.monotonic_ms()
        self.set_cut_off(not reachable, servers)
        return reachable

    def choose_servers(self) -> list[ListedServer]:
        """Return the server that answered last, and random others."""
        listed = self.directory.servers
        others = [name for name in listed if name != self.last_connected]
        names = random.sample(others, min(MAX_OTHER_SERVERS, len(others)))
        if self.last_connected in listed:
            names.insert(0, self.last_connected)
        return [listed[name] for name in names]

    async def is_any_reachable(self, servers: list[ListedServer]) -> bool:
        """Return whether any of the servers accepts a connection in time."""
        first, *others = servers
        running = {asyncio.create_task(self.connect(first))}
        timeout_s = FIRST_CONNECT_MS / 1000
        try:
            done, running = await asyncio.wait(running, timeout=timeout_s)
            running |= {asyncio.create_task(self.connect(other)) for other in others}
            while True:
                if any(task.result() for task in done):
                    return True
                if not running:
                    return False
                done, running = await asyncio.wait(
                    running, return_when=asyncio.FIRST_COMPLETED
                )
        finally:
            for task in running:
                task.cancel()

    async def connect(self, server: ListedServer) -> bool:
        """Return whether a server accepts a connection in time."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                reachable = await self.server_client.is_reachable(server.endpoint)
        except TimeoutError:
            return False
        if reachable:
            self.last_connected = server.name
        return reachable

    def set_cut_off(self, cut_off: bool, servers: list[ListedServer]) -> None:
        """Record the result of a check; a change is logged and reported."""
        if cut_off == self.is_cut_off:
            return
        now = self.clock.monotonic_ms()
        if cut_off:
            self.cut_off.set()
            logger.warning(
                "no backend server is reachable",
                extra={
                    "tried": [server.name for server in servers],
                    "silent_ms": round(now - self.activity.last_received_ms),
                    "in_progress": self.in_progress,
                },
            )
        else:
            logger.warning(
                "backend servers are reachable again",
                extra={
                    "server": self.last_connected,
                    "cut_off_ms": round(now - self.changed_ms),
                },
            )
            self.directory.forget_failures()
            self.cut_off.clear()
        self.changed_ms = now
        for listener in self.listeners:
            listener()
