"""Listed backend servers, their observed condition, and the selection among them."""

from .choice import ServerSelector, distance_of
from .condition import ServerCondition
from .directory import ServerDirectory
from .model import ListedServer, ServerStage

__all__ = [
    "ListedServer",
    "ServerCondition",
    "ServerDirectory",
    "ServerSelector",
    "ServerStage",
    "distance_of",
]
