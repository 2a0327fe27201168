"""Listed backend servers, their observed condition, and the selection among them."""

from .condition import ServerCondition
from .directory import ServerDirectory
from .model import ListedServer, ServerStage
from .selector import ServerSelector, distance_of

__all__ = [
    "ListedServer",
    "ServerCondition",
    "ServerDirectory",
    "ServerSelector",
    "ServerStage",
    "distance_of",
]
