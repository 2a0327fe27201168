"""Routes, which map requests to services and set their limits."""

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
