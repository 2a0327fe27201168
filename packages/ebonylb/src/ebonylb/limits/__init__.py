"""Request limits that backend servers name, shared by all entry VMs."""

from .demand import ServiceDemand
from .gate import LimitGate
from .noting import LimitNotingClient
from .registry import LimitRegistry
from .shares import LimitShares

__all__ = [
    "LimitGate",
    "LimitNotingClient",
    "LimitRegistry",
    "LimitShares",
    "ServiceDemand",
]
