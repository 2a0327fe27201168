"""Data model of a backend server, used by routing and scheduling."""

from dataclasses import dataclass
from enum import StrEnum

from ..interfaces import VmKind


class ServerState(StrEnum):
    """State of a backend server as seen by this entry VM."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Immutable description of a backend server.

    Parameters
    ----------
    name : str
        Unique name, which a replacement keeps.
    kind : VmKind
        Model engine or plain service.
    service : str
        Service that it runs.
    address : str
        ``ip:port`` of its HTTP interface.
    failure_domain, region : str
        Location of the server.
    incarnation : str
        Changes with each start or replacement.
    state : ServerState
        Only a live server gets new work.
    """

    name: str
    kind: VmKind
    service: str
    address: str
    failure_domain: str
    region: str
    incarnation: str
    state: ServerState = ServerState.LIVE
