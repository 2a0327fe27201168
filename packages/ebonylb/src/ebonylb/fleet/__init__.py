"""Backend servers as the platform lists them, and how well each one serves."""

from .choice import ServerChoice, distance_of
from .condition import ServerCondition
from .directory import ServerDirectory
from .model import ListedServer, ServerStage

__all__ = [
    "ListedServer",
    "ServerChoice",
    "ServerCondition",
    "ServerDirectory",
    "ServerStage",
    "distance_of",
]
