"""Routes: which service runs a request, and under which limits."""

from .model import Configuration, EngineShape, Route, RouteKind, ServiceSpec, Target
from .table import RouteTable, choose_target

__all__ = [
    "Configuration",
    "EngineShape",
    "Route",
    "RouteKind",
    "RouteTable",
    "ServiceSpec",
    "Target",
    "choose_target",
]
