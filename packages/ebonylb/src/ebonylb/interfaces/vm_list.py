"""Interface of the platform's list of VMs, which lags behind their actual state."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from result import Result

from ..outcomes import StepError


class VmKind(StrEnum):
    """Kind of process that runs on a VM."""

    ENTRY_VM = "entry_vm"
    ENGINE = "engine"
    PLAIN = "plain"


class VmState(StrEnum):
    """State of a VM in the list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class VmEntry:
    """Entry of one VM.

    Parameters
    ----------
    name : str
        Unique name; a replacement keeps it.
    kind : VmKind
        Kind of process on the VM.
    service : str
        Service of a backend server; empty for an entry VM.
    address : str
        ``ip:port``; the peer address of an entry VM, the HTTP address of a backend
        server.
    failure_domain, region : str
        Location of the VM.
    incarnation : str
        Changes with each start or replacement.
    state : VmState
        Whether the VM is live or leaving.
    """

    name: str
    kind: VmKind
    service: str
    address: str
    failure_domain: str
    region: str
    incarnation: str
    state: VmState


class VmList(ABC):
    """Client of the VM list."""

    @abstractmethod
    async def entries(self) -> Result[list[VmEntry], StepError]:
        """Read the current list."""
