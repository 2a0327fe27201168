"""Abstract interfaces of the outside systems.

The rest of the program depends on these classes only; adapters implement them.
"""

from .clock import Clock
from .metrics import Metrics
from .model_engine import (
    EngineChunk,
    EngineStatus,
    GenerateRequest,
    LoadOrder,
    ModelEngine,
)
from .object_store import ObjectStore
from .plain_service import CallRequest, CallResponse, PlainService
from .table_service import Check, Committed, Conflict, Row, TableService, Write
from .vm_list import VmEntry, VmKind, VmList, VmState
from .weight_store import WeightStore, WeightVersion

__all__ = [
    "CallRequest",
    "CallResponse",
    "Check",
    "Clock",
    "Committed",
    "Conflict",
    "EngineChunk",
    "EngineStatus",
    "GenerateRequest",
    "LoadOrder",
    "Metrics",
    "ModelEngine",
    "ObjectStore",
    "PlainService",
    "Row",
    "TableService",
    "VmEntry",
    "VmKind",
    "VmList",
    "VmState",
    "WeightStore",
    "WeightVersion",
    "Write",
]
