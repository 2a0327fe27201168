"""Forwarding of single requests: attempts, hedging, deadlines and refusals."""

from .direct_pool import DirectPool
from .failover import FailoverRuns
from .forwarder import Forwarder
from .messages import CallerRequest, CallerResponse, CallerStream
from .request_log import RequestLog
from .request_runs import RequestRuns
from .request_state import RequestState
from .server_pool import ServerPool

__all__ = [
    "CallerRequest",
    "CallerResponse",
    "CallerStream",
    "DirectPool",
    "FailoverRuns",
    "Forwarder",
    "RequestLog",
    "RequestRuns",
    "RequestState",
    "ServerPool",
]
