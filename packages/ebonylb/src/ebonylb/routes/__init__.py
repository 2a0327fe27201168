"""Routes, which map requests to services and set their limits."""

from .model import (
    Configuration,
    Customer,
    EngineShape,
    Route,
    RouteKind,
    ScalingSpec,
    ServiceSpec,
    Target,
)
from .table import RouteTable, choose_target

__all__ = [
    "Configuration",
    "Customer",
    "EngineShape",
    "Route",
    "RouteKind",
    "RouteTable",
    "ScalingSpec",
    "ServiceSpec",
    "Target",
    "choose_target",
]
