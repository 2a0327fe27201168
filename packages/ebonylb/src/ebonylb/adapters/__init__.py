"""Adapters to the outside systems, one module per interface.

HTTP adapters use a session that the caller owns and closes. Default headers of that
session, such as ``X-Failure-Domain`` in tests, are sent with every request. The
session's connector should have no connection limit, because waiting for a free
connection counts as a connect failure.
"""

from .clock import SystemClock
from .metrics import NullMetrics, StatsdMetrics
from .model_engine import HttpModelEngine
from .object_store import HttpObjectStore
from .plain_service import HttpPlainService
from .table_service import HttpTableService
from .vm_list import HttpVmList
from .weight_store import HttpWeightStore

__all__ = [
    "HttpModelEngine",
    "HttpObjectStore",
    "HttpPlainService",
    "HttpTableService",
    "HttpVmList",
    "HttpWeightStore",
    "NullMetrics",
    "StatsdMetrics",
    "SystemClock",
]
