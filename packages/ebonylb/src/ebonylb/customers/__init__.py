"""Customers, identified by their keys, and the bound on honouring revoked keys."""

from .batch_access import EVERY_BATCH, BatchAccess
from .key_changes import KeyChanges, count_keys
from .key_check import KeyCheck
from .revocation_bound import RevocationBound

__all__ = [
    "EVERY_BATCH",
    "BatchAccess",
    "KeyChanges",
    "KeyCheck",
    "RevocationBound",
    "count_keys",
]
