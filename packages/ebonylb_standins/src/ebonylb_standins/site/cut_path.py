"""Path of one entry VM to all backend servers, which can be cut."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from enum import Enum, auto

from result import Err, Ok, Result

from ebonylb.interfaces import Clock
from ebonylb.interfaces.server_client import (
    OrderResponse,
    ServerActivity,
    ServerAddress,
    ServerClient,
    ServerReport,
    ServerRequest,
    ServerResponse,
    StreamEvent,
    VersionOrder,
)
from ebonylb.outcomes import StepError

# Timeout of a new connection, as in the client of the entry VM process.
CONNECT_TIMEOUT_MS = 600.0
# The kernel gives an open connection up when its bytes stay unacknowledged this long.
USER_TIMEOUT_MS = 3_000.0


class PathState(Enum):
    """State of the path: what becomes of open connections, and of new ones.

    `HANG`: open ones are silent, new ones time out. `RESET`: open ones are reset when
    the cut begins, new ones time out. `REFUSE`: open ones live on, new ones are
    refused.
    """

    SOUND = auto()
    HANG = auto()
    RESET = auto()
    REFUSE = auto()


class CutPathResponse(ServerResponse):
    """Response whose bytes arrive only while its connection is alive."""

    def __init__(self, path: "CutPath", server: str, response: ServerResponse) -> None:
        self.path = path
        self.server = server
        self.response = response
        self.head = response.head
        self.resets = path.resets
        self.is_open = True

    async def body(self) -> bytes:
        """Return the whole body."""
        body = await self.response.body()
        await self.path.deliver(self.server, self.resets)
        self.keep_connection()
        return body

    async def events(self) -> AsyncIterator[StreamEvent]:
        """Yield the events that get through."""
        async for event in self.response.events():
            await self.path.deliver(self.server, self.resets)
            yield event
        self.keep_connection()

    async def raw_events(self) -> AsyncIterator[tuple[int, bytes]]:
        """Yield the numbered bytes of the events that get through."""
        async for number, block in self.response.raw_events():
            await self.path.deliver(self.server, self.resets)
            yield number, block
        self.keep_connection()

    def keep_connection(self) -> None:
        """Keep the connection for a next request."""
        if self.is_open:
            self.is_open = False
            self.path.kept[self.server] += 1

    def close(self) -> None:
        """Close the connection unless the response has ended."""
        self.is_open = False
        self.response.close()


class CutPath(ServerClient):
    """Client of one entry VM whose path to all servers can be cut.

    Attributes
    ----------
    state : PathState
        Changed by `cut` and `heal`.
    kept : Counter of str
        Number of idle open connections to each server.
    resets : int
        Number of times that all open connections were reset.
    checked_connections : int
        Number of connections that were opened only to check that a server accepts one.
    activity : ServerActivity
        Time of the last byte that got through.
    """

    def __init__(self, client: ServerClient, clock: Clock) -> None:
        self.client = client
        self.clock = clock
        self.state = PathState.SOUND
        self.kept: Counter[str] = Counter()
        self.resets = 0
        self.checked_connections = 0
        self.activity = ServerActivity()
        self.healed = asyncio.Event()

    def cut(self, state: PathState) -> None:
        """Cut the path."""
        self.state = state
        self.healed.clear()
        if state is PathState.RESET:
            self.resets += 1
            self.kept.clear()

    def heal(self) -> None:
        """Let all connections work again."""
        self.state = PathState.SOUND
        self.healed.set()

    async def pass_through(self, server: str, resets: int) -> None:
        """Wait until a connection of the time of `resets` lets bytes through."""
        if self.state is PathState.HANG:
            try:
                async with asyncio.timeout(USER_TIMEOUT_MS / 1000):
                    await self.healed.wait()
            except TimeoutError as error:
                raise StepError("stream", server, "connection timed out") from error
        if resets != self.resets:
            raise StepError("stream", server, "connection reset")

    async def deliver(self, server: str, resets: int) -> None:
        """Receive a byte, once the connection lets it through."""
        await self.pass_through(server, resets)
        self.activity.last_received_ms = self.clock.monotonic_ms()

    async def connect(self, server: str) -> bool:
        """Open a connection and return whether that succeeded."""
        if self.state in (PathState.HANG, PathState.RESET):
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                    await self.healed.wait()
            except TimeoutError:
                return False
        return self.state is PathState.SOUND

    async def open(
        self, server: ServerAddress, request: ServerRequest
    ) -> Result[ServerResponse, StepError]:
        """Send a request over a kept or a new connection."""
        if self.kept[server.name]:
            self.kept[server.name] -= 1
            request.progress.connected = True
        elif not await self.connect(server.name):
            return Err(StepError("open", server.name, "no connection", False))
        resets = self.resets
        try:
            await self.pass_through(server.name, resets)
            opened = await self.client.open(server, request)
            await self.deliver(server.name, resets)
        except StepError as error:
            return Err(error)
        if isinstance(opened, Err):
            return opened
        return Ok(CutPathResponse(self, server.name, opened.ok_value))

    async def read_report(
        self, server: ServerAddress
    ) -> Result[ServerReport, StepError]:
        """Read the state of a model server over a new connection."""
        if not await self.connect(server.name):
            return Err(StepError("report", server.name, "no connection", False))
        return await self.client.read_report(server)

    async def send_order(
        self, server: ServerAddress, order: VersionOrder
    ) -> Result[OrderResponse, StepError]:
        """Send an order over a new connection."""
        if not await self.connect(server.name):
            return Err(StepError("order", server.name, "no connection", False))
        return await self.client.send_order(server, order)

    async def is_reachable(self, server: ServerAddress) -> bool:
        """Return whether the server accepts a connection."""
        self.checked_connections += 1
        return await self.connect(server.name) and await self.client.is_reachable(
            server
        )
