"""Rollout of weight versions to engines under leases."""

from .duty import WeightRollout
from .lease import Lease
from .rollout import ShardRef
from .versions import CurrentVersions

__all__ = ["CurrentVersions", "Lease", "ShardRef", "WeightRollout"]
