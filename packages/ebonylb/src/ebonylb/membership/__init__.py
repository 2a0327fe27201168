"""Membership: entry VMs, heartbeats, digests and ownership of shards."""

from .controller import LocalState, Membership
from .incarnation import new_incarnation
from .view import ShardReport

__all__ = ["LocalState", "Membership", "ShardReport", "new_incarnation"]
