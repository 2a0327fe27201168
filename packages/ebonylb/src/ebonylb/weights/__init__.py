"""Rollout of weight versions to engines under leases."""

from .lease import Lease
from .shard_rollout import ShardRef
from .versions import CurrentVersions
from .weight_rollout import WeightRollout

__all__ = ["CurrentVersions", "Lease", "ShardRef", "WeightRollout"]
