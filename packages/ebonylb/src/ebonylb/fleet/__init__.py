"""Backend servers as the platform lists them, and how well each one serves."""

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
