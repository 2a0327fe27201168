"""Strikes against requests that were running on servers when these crashed."""

from .fingerprint import fingerprint, home_shard
from .run_registry import RunRegistry
from .strike_registry import MAX_STRIKES, StrikeRegistry
from .strike_table import StrikeTable

__all__ = [
    "MAX_STRIKES",
    "RunRegistry",
    "StrikeRegistry",
    "StrikeTable",
    "fingerprint",
    "home_shard",
]
