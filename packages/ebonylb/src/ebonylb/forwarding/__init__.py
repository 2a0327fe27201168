"""Forwarding of single requests: attempts, hedging, deadlines and refusals."""

from .forwarder import Forwarder
from .messages import CallerRequest, CallerResponse, CallerStream
from .request_state import RequestState

__all__ = [
    "CallerRequest",
    "CallerResponse",
    "CallerStream",
    "Forwarder",
    "RequestState",
]
