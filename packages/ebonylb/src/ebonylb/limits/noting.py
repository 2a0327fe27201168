"""Client that notes which limits servers name in their responses."""

from result import Ok, Result

from ..interfaces.server_client import (
    OrderResponse,
    ServerAddress,
    ServerClient,
    ServerReport,
    ServerRequest,
    ServerResponse,
    VersionOrder,
)
from ..outcomes import StepError
from .registry import LimitRegistry


class LimitNotingClient(ServerClient):
    """Client that records the limits of servers and what is sent to them.

    All senders of requests and orders use one such client, so that each request counts.

    Parameters
    ----------
    client : ServerClient
        Connections to the servers.
    registry : LimitRegistry
        Registry to update.
    """

    def __init__(self, client: ServerClient, registry: LimitRegistry) -> None:
        self.client = client
        self.registry = registry

    async def open(
        self, server: ServerAddress, request: ServerRequest
    ) -> Result[ServerResponse, StepError]:
        """Send a request and return its response once the head has arrived."""
        self.registry.record_sent(server)
        opened = await self.client.open(server, request)
        if isinstance(opened, Ok):
            head = opened.ok_value.head
            # Another server at the address speaks for itself only.
            if not head.wrong_server:
                self.registry.record(server, head.limit_per_s)
        return opened

    async def read_report(
        self, server: ServerAddress
    ) -> Result[ServerReport, StepError]:
        """Read the state of a model server."""
        self.registry.record_sent(server)
        report = await self.client.read_report(server)
        if isinstance(report, Ok):
            self.registry.record(server, report.ok_value.limit_per_s)
        return report

    async def send_order(
        self, server: ServerAddress, order: VersionOrder
    ) -> Result[OrderResponse, StepError]:
        """Send an order and return the response."""
        self.registry.record_sent(server)
        response = await self.client.send_order(server, order)
        if isinstance(response, Ok):
            self.registry.record(server, response.ok_value.limit_per_s)
        return response

    async def is_reachable(self, server: ServerAddress) -> bool:
        """Return whether the server accepts a connection."""
        return await self.client.is_reachable(server)
