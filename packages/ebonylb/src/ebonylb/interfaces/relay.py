"""Interface for requests that another entry VM sends to a backend server."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from result import Result

from ..outcomes import StepError
from ..routes import Route
from .server_client import ServerAddress, ServerRequest, ServerResponse


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayedRequest(ServerRequest):
    """Request of a caller that one entry VM passes on to another one.

    The entry VM that received it has chosen the service, by its own configuration. The
    other one chooses the servers.

    Parameters
    ----------
    entry_vm : str
        Name of the entry VM that passes it on.
    host, path : str
        Host and path as the caller sent them.
    route : Route
        Route of the request. Its attempts are those that the other entry VM may use.
    service : str
        Service that runs the request.
    stream_id : str
        Id of the caller's request that brought the first event of the stream.
    software_version : str or None
        Only version of the servers' software on which the stream may go on.
    spare_slots : int
        Free slots that each server should keep for other requests.
    counts_crashes : bool
        Whether servers that crash while they run the request count against it.
    customer : str
        Name of the customer to whom the request belongs; empty where there is none,
        and from entry VMs of earlier versions of this program.
    """

    entry_vm: str
    host: str
    path: str
    route: Route
    service: str
    stream_id: str = ""
    software_version: str | None = None
    spare_slots: int = 0
    counts_crashes: bool = True
    customer: str = ""


class RelayClient(ABC):
    """Client that passes requests on to other entry VMs."""

    @abstractmethod
    async def open(
        self, entry_vm: ServerAddress, request: RelayedRequest
    ) -> Result[ServerResponse, StepError]:
        """Pass a request on and return the response once its head has arrived.

        The error has ``may_have_run=False`` only if no byte of the request was sent.
        """

    @abstractmethod
    async def is_reachable(self, entry_vm: ServerAddress) -> bool:
        """Return whether an entry VM accepts a connection."""
