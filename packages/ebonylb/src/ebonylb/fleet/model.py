"""A backend server as it is listed."""

from dataclasses import dataclass
from enum import StrEnum

from ..edges.server_port import ModelVersion, ServerAddress


class ServerStage(StrEnum):
    """Whether a server takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedServer:
    """One backend server.

    Parameters
    ----------
    name : str
        Unique name.
    service : str
        Service that it runs.
    address : str
        ``ip:port``.
    failure_domain : str
        Where it is.
    stage : ServerStage
        Whether it takes new work.
    slots : int
        Requests that it runs at once.
    cold_ms : float
        Time for which it is still slow after its start.
    models : tuple of ModelVersion
        Weights that it has listed; lags behind the server.
    started_ms : int or None
        Unix time of its start; tells incarnations of one name apart.
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

    @property
    def endpoint(self) -> ServerAddress:
        """Name and address for requests."""
        return ServerAddress(self.name, self.address)

    def version_of(self, model: str) -> int:
        """Return the listed weight version of a model; 0 when it has none."""
        return next((m.version for m in self.models if m.model == model), 0)
