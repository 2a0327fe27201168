"""Request limits that backend servers name in their responses."""

from .noting import LimitNotingClient
from .registry import LimitRegistry

__all__ = ["LimitNotingClient", "LimitRegistry"]
