"""Entry of a backend server in the platform's server list."""

from dataclasses import dataclass
from enum import StrEnum

from ..interfaces.server_client import ModelVersion, ServerAddress


class ServerStage(StrEnum):
    """Stage of a server: a leaving server takes no new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedServer:
    """Listed properties of one backend server.

    Parameters
    ----------
    name : str
        Unique name.
    service : str
        Service that the server runs.
    address : str
        ``ip:port``.
    failure_domain : str
        Failure domain that the server runs in.
    stage : ServerStage
        Whether the server takes new work.
    slots : int
        Maximum number of concurrent requests.
    cold_ms : float
        Remaining time for which the server is slow after its start.
    models : tuple of ModelVersion
        Weight versions in the list, which lag behind the versions on the server.
    started_ms : int or None
        Unix time of the server's start, which differs between incarnations of one
        name.
    software_version : str
        Version of the server's software; versions have no order. A stream that began
        on one version cannot be continued on another.
    reclaimable : bool
        Whether the platform may take the server back at any time, with those of the
        same kind in its failure domain.
    leaves_in_ms : float or None
        Remaining time of a leaving server as listed, if it is known.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    stage: ServerStage
    slots: int = 1
    cold_ms: float = 0
    models: tuple[ModelVersion, ...] = ()
    started_ms: int | None = None
    software_version: str = ""
    reclaimable: bool = False
    leaves_in_ms: float | None = None

    @property
    def endpoint(self) -> ServerAddress:
        """Name and address to send requests to."""
        return ServerAddress(self.name, self.address, self.started_ms)

    def version_of(self, model: str) -> int:
        """Return the listed weight version of a model, or 0 if there is none."""
        return next((m.version for m in self.models if m.model == model), 0)
