"""Client that notes which servers say in their responses that they leave."""

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
from .directory import ServerDirectory


class DepartureNotingClient(ServerClient):
    """Client that records in the directory which servers say that they leave.

    All senders of requests and orders use one such client, so that a departure learned
    by one of them holds for all.

    Parameters
    ----------
    client : ServerClient
        Connections to the servers.
    directory : ServerDirectory
        Directory to update.
    """

    def __init__(self, client: ServerClient, directory: ServerDirectory) -> None:
        self.client = client
        self.directory = directory

    async def open(
        self, server: ServerAddress, request: ServerRequest
    ) -> Result[ServerResponse, StepError]:
        """Send a request and return its response once the head has arrived."""
        opened = await self.client.open(server, request)
        if isinstance(opened, Ok):
            head = opened.ok_value.head
            # Another server at the address speaks for itself only.
            if head.leaving and not head.wrong_server:
                self.directory.record_departure(server)
        return opened

    async def read_report(
        self, server: ServerAddress
    ) -> Result[ServerReport, StepError]:
        """Read the state of a model server."""
        report = await self.client.read_report(server)
        if isinstance(report, Ok) and report.ok_value.leaving:
            self.directory.record_departure(server)
        return report

    async def send_order(
        self, server: ServerAddress, order: VersionOrder
    ) -> Result[OrderResponse, StepError]:
        """Send an order and return the response."""
        response = await self.client.send_order(server, order)
        if isinstance(response, Ok) and response.ok_value.leaving:
            self.directory.record_departure(server)
        return response

    async def is_reachable(self, server: ServerAddress) -> bool:
        """Return whether the server accepts a connection."""
        return await self.client.is_reachable(server)
