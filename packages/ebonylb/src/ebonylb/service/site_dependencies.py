"""What the components of an entry VM on the users' platform are built from."""

from dataclasses import dataclass, field

from ..fleet.selector import Locality
from ..interfaces import Clock, Metrics
from ..interfaces.control_plane import ControlPlane
from ..interfaces.memory import MemoryBudget, UnlimitedMemory
from ..interfaces.relay import RelayClient
from ..interfaces.row_store import RowStore
from ..interfaces.server_client import ServerActivity, ServerClient
from ..interfaces.stream_origins import OriginClient


@dataclass(frozen=True, slots=True)
class SiteDependencies:
    """Interfaces through which the components reach the world outside the process.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    server_client : ServerClient
        Backend servers.
    server_activity : ServerActivity
        What the connections of `server_client` receive.
    relay_client : RelayClient
        Other entry VMs, to which requests are passed on.
    origin_client : OriginClient
        Other entry VMs, with which the origins of streams are shared.
    clock : Clock
        Source of time.
    metrics : Metrics
        Destination of counters, gauges and durations.
    control_plane : ControlPlane or None
        The platform's API; None if there are no duties towards it.
    memory : MemoryBudget
        Memory of the process.
    """

    store: RowStore
    server_client: ServerClient
    server_activity: ServerActivity
    relay_client: RelayClient
    origin_client: OriginClient
    clock: Clock
    metrics: Metrics
    control_plane: ControlPlane | None = None
    memory: MemoryBudget = field(default_factory=UnlimitedMemory)


@dataclass(frozen=True, slots=True)
class EntryVmIdentity:
    """Name and location of an entry VM, and the random token of this process start.

    Parameters
    ----------
    relay_address : str
        ``ip:port`` for requests of other entry VMs; empty if it accepts none.
    """

    name: str
    incarnation: str
    locality: Locality
    relay_address: str = ""
