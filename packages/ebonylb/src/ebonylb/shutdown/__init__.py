"""Lifecycle and graceful shutdown of this entry VM."""

from .lifecycle import EntryVmLifecycle
from .sequence import ShutdownStages, StageKind, StageReport, shutdown

__all__ = [
    "EntryVmLifecycle",
    "ShutdownStages",
    "StageKind",
    "StageReport",
    "shutdown",
]
