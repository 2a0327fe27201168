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
from .gate import LimitGate
from .registry import LimitRegistry


class LimitNotingClient(ServerClient):
    """Client that records the limits of servers and what is sent to them.

    All senders of requests and orders use one such client, so that each request counts.

    Parameters
    ----------
    client : ServerClient
        Connections to the servers.
    gate : LimitGate
        Is charged for reports and orders. Requests are reserved by their senders.
    registry : LimitRegistry
        Registry to update.
    """

    def __init__(
        self, client: ServerClient, gate: LimitGate, registry: LimitRegistry
    ) -> None:
        self.client = client
        self.gate = gate
        self.registry = registry

    def record_sent(self, server: ServerAddress) -> float:
        """Record that something is sent to a server and return the time."""
        self.registry.record_sent(server)
        return self.registry.clock.monotonic_ms()

    async def open(
        self, server: ServerAddress, request: ServerRequest
    ) -> Result[ServerResponse, StepError]:
        """Send a request and return its response once the head has arrived."""
        sent_ms = self.record_sent(server)
        opened = await self.client.open(server, request)
        if isinstance(opened, Ok):
            head = opened.ok_value.head
            # Another server at the address speaks for itself only.
            if not head.wrong_server:
                self.registry.record(server, head.limit_per_s, sent_ms)
        return opened

    async def read_report(
        self, server: ServerAddress
    ) -> Result[ServerReport, StepError]:
        """Read the state of a model server."""
        self.gate.charge(server)
        sent_ms = self.record_sent(server)
        report = await self.client.read_report(server)
        if isinstance(report, Ok):
            self.registry.record(server, report.ok_value.limit_per_s, sent_ms)
        return report

    async def send_order(
        self, server: ServerAddress, order: VersionOrder
    ) -> Result[OrderResponse, StepError]:
        """Send an order and return the response."""
        self.gate.charge(server)
        sent_ms = self.record_sent(server)
        response = await self.client.send_order(server, order)
        if isinstance(response, Ok):
            self.registry.record(server, response.ok_value.limit_per_s, sent_ms)
        return response

    async def is_reachable(self, server: ServerAddress) -> bool:
        """Return whether the server accepts a connection."""
        return await self.client.is_reachable(server)
