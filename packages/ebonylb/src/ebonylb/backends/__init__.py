"""Backend servers: registry, leaving marks and probes."""

from .listing import VmListPoller
from .marks import MarkTable
from .model import BackendServer, ServerState
from .registry import BackendRegistry, Probe
from .spread import MarkPropagator

__all__ = [
    "BackendRegistry",
    "BackendServer",
    "MarkPropagator",
    "MarkTable",
    "Probe",
    "ServerState",
    "VmListPoller",
]
