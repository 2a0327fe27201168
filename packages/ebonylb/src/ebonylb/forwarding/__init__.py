"""Single requests of callers: attempts, second copies, deadlines and refusals."""

from .forwarder import Forwarder
from .messages import CallerAnswer, CallerRequest, CallerStream

__all__ = ["CallerAnswer", "CallerRequest", "CallerStream", "Forwarder"]
