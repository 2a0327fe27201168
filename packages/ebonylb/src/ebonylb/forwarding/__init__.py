"""Forwarding of single requests: attempts, hedging, deadlines and refusals."""

from .forwarder import Forwarder
from .messages import CallerRequest, CallerResponse, CallerStream

__all__ = ["CallerRequest", "CallerResponse", "CallerStream", "Forwarder"]
