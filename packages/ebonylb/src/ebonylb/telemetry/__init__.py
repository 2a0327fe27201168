"""Logs and request traces."""

from .logs import configure_logs
from .trace import Decision, RequestTrace

__all__ = ["Decision", "RequestTrace", "configure_logs"]
