"""Single requests of callers: attempts, second copies, deadlines and refusals."""

from .forwarder import Forwarder
from .messages import CallerRequest, CallerResponse, CallerStream
