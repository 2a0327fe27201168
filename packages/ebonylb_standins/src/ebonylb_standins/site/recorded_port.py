"""Client of one entry VM that records what it sends and which limits it is named."""

from result import Ok, Result

from ebonylb.interfaces import Clock
from ebonylb.interfaces.server_client import (
    OrderResponse,
    ServerAddress,
    ServerClient,
    ServerReport,
    ServerRequest,
    ServerResponse,
    VersionOrder,
)
from ebonylb.outcomes import StepError

from .limit_rule import Sending, Sighting


class RecordedPort(ServerClient):
    """Client that records sendings and sightings for the checker of the rule LIMIT.

    Parameters
    ----------
    client : ServerClient
        Connections to the servers.
    entry_vm : str
        Name of the entry VM that uses this client.
    """

    def __init__(self, client: ServerClient, entry_vm: str, clock: Clock) -> None:
        self.client = client
        self.entry_vm = entry_vm
        self.clock = clock
        self.sendings: list[Sending] = []
        self.sightings: list[Sighting] = []

    def record_sending(self, server: ServerAddress) -> None:
        """Record that something is sent to a server."""
        now = self.clock.monotonic_ms()
        self.sendings.append(Sending(now, server.name, self.entry_vm))

    def record_sighting(self, server: ServerAddress, limit_per_s: float | None) -> None:
        """Record the limit in a response."""
        now = self.clock.monotonic_ms()
        self.sightings.append(Sighting(now, server.name, self.entry_vm, limit_per_s))

    async def open(
        self, server: ServerAddress, request: ServerRequest
    ) -> Result[ServerResponse, StepError]:
        """Send a request and return its response once the head has arrived."""
        self.record_sending(server)
        opened = await self.client.open(server, request)
        if isinstance(opened, Ok):
            self.record_sighting(server, opened.ok_value.head.limit_per_s)
        return opened

    async def read_report(
        self, server: ServerAddress
    ) -> Result[ServerReport, StepError]:
        """Read the state of a model server."""
        self.record_sending(server)
        report = await self.client.read_report(server)
        if isinstance(report, Ok):
            self.record_sighting(server, report.ok_value.limit_per_s)
        return report

    async def send_order(
        self, server: ServerAddress, order: VersionOrder
    ) -> Result[OrderResponse, StepError]:
        """Send an order and return the response."""
        self.record_sending(server)
        response = await self.client.send_order(server, order)
        if isinstance(response, Ok):
            self.record_sighting(server, response.ok_value.limit_per_s)
        return response

    async def is_reachable(self, server: ServerAddress) -> bool:
        """Return whether the server accepts a connection."""
        return await self.client.is_reachable(server)
