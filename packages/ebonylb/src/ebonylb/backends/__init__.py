"""Backend servers: registry, leaving marks and probes."""

from .mark_propagation import MarkPropagator
from .marks import MarkTable
from .model import BackendServer, ServerState
from .registry import BackendRegistry, Probe
from .vm_list_poller import VmListPoller

__all__ = [
    "BackendRegistry",
    "BackendServer",
    "MarkPropagator",
    "MarkTable",
    "Probe",
    "ServerState",
    "VmListPoller",
]
