"""Listed backend servers, their observed condition, and the selection among them."""

from .condition import ServerCondition
from .cost import ServerCost
from .departure_noting import DepartureNotingClient
from .directory import ServerDirectory
from .model import ListedServer, ServerStage
from .reachability import ServerReachability
from .reachability_noting import ReachabilityNotingClient
from .selector import ServerSelector, distance_of
from .sending_limits import NoSendingLimits, SendingLimits

__all__ = [
    "DepartureNotingClient",
    "ListedServer",
    "NoSendingLimits",
    "ReachabilityNotingClient",
    "SendingLimits",
    "ServerCondition",
    "ServerCost",
    "ServerDirectory",
    "ServerReachability",
    "ServerSelector",
    "ServerStage",
    "distance_of",
]
