"""Client that notes what its connections tell about the reachability of servers."""

import asyncio
from collections.abc import AsyncIterator

from result import Err, Ok, Result

from ..interfaces.server_client import (
    OrderResponse,
    ServerAddress,
    ServerClient,
    ServerReport,
    ServerRequest,
    ServerResponse,
    StreamEvent,
    VersionOrder,
)
from ..outcomes import StepError
from .reachability import ServerReachability

# Three times what a connection takes across regions.
SLOW_CONNECT_S = 0.1


class NotedResponse(ServerResponse):
    """Response that counts as a request in progress until it is closed."""

    def __init__(
        self, response: ServerResponse, reachability: ServerReachability
    ) -> None:
        self.response = response
        self.reachability = reachability
        self.head = response.head
        self.is_open = True

    async def body(self) -> bytes:
        """Read the complete body."""
        return await self.response.body()

    def events(self) -> AsyncIterator[StreamEvent]:
        """Iterate over the decoded events."""
        return self.response.events()

    def raw_events(self) -> AsyncIterator[tuple[int, bytes]]:
        """Iterate over complete events as (number, bytes as sent)."""
        return self.response.raw_events()

    def close(self) -> None:
        """Abandon the response unless it was read to its end."""
        if self.is_open:
            self.is_open = False
            self.reachability.end_request()
        self.response.close()


class ReachabilityNotingClient(ServerClient):
    """Client that reports slow, failed and broken connections.

    Parameters
    ----------
    client : ServerClient
        Connections to the servers.
    reachability : ServerReachability
        Receives the reports.
    """

    def __init__(self, client: ServerClient, reachability: ServerReachability) -> None:
        self.client = client
        self.reachability = reachability

    async def open(
        self, server: ServerAddress, request: ServerRequest
    ) -> Result[ServerResponse, StepError]:
        """Send a request and return its response once the head has arrived."""

        def check_connection() -> None:
            if not request.progress.connected:
                self.reachability.suspect()

        loop = asyncio.get_running_loop()
        timer = loop.call_later(SLOW_CONNECT_S, check_connection)
        self.reachability.begin_request()
        opened: Result[ServerResponse, StepError] | None = None
        try:
            opened = await self.client.open(server, request)
        finally:
            timer.cancel()
            if not isinstance(opened, Ok):
                self.reachability.end_request()
        if isinstance(opened, Err):
            self.reachability.suspect()
            return opened
        self.reachability.last_connected = server.name
        return Ok(NotedResponse(opened.ok_value, self.reachability))

    async def read_report(
        self, server: ServerAddress
    ) -> Result[ServerReport, StepError]:
        """Read the state of a model server."""
        report = await self.client.read_report(server)
        if isinstance(report, Err):
            self.reachability.suspect()
        return report

    async def send_order(
        self, server: ServerAddress, order: VersionOrder
    ) -> Result[OrderResponse, StepError]:
        """Send an order and return the response."""
        response = await self.client.send_order(server, order)
        if isinstance(response, Err):
            self.reachability.suspect()
        return response

    async def is_reachable(self, server: ServerAddress) -> bool:
        """Return whether the server accepts a connection."""
        return await self.client.is_reachable(server)
