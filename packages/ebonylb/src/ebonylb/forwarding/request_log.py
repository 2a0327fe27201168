"""Log lines and metrics of the end of single requests."""

import logging

from ..interfaces import Clock, Metrics
from ..routes import RouteTable
from .messages import CallerResponse, CallerStream
from .request_state import RequestState

logger = logging.getLogger(__name__)


class RequestLog:
    """Logs how single requests ended.

    Parameters
    ----------
    routes : RouteTable
        Configuration in force.
    clock : Clock
        Source of time.
    metrics : Metrics
        Receiver of counters and durations.
    """

    def __init__(self, routes: RouteTable, clock: Clock, metrics: Metrics) -> None:
        self.routes = routes
        self.clock = clock
        self.metrics = metrics

    def elapsed_ms(self, state: RequestState) -> float:
        """Return the time since a request arrived."""
        return self.clock.monotonic_ms() - state.request.received_ms

    def log_abandoned(self, state: RequestState) -> None:
        """Log a request whose caller disconnected; its runs are cancelled."""
        if state.relayed_for:
            message = "relayed request abandoned"
        else:
            self.metrics.incr("forward.abandoned")
            message = "request abandoned by its caller"
        logger.info(
            message,
            extra={
                "request_id": state.request.request_id,
                "relayed_for": state.relayed_for or None,
                "route": state.route.name,
                "service": state.service,
                "servers": state.sent_to,
                "causes": state.all_causes(),
                "elapsed_ms": round(self.elapsed_ms(state), 1),
            },
        )

    def log_end(
        self, state: RequestState, response: CallerResponse | CallerStream
    ) -> None:
        """Log the outcome of a request in a single line."""
        refusal = getattr(response, "refusal", None)
        elapsed_ms = self.elapsed_ms(state)
        if state.relayed_for:
            self.metrics.incr(f"relay.status.{response.status}")
            message = "relayed request ended"
        else:
            self.metrics.incr(f"forward.status.{response.status}")
            self.metrics.timing_ms("forward.duration", elapsed_ms)
            message = "request ended"
        logger.info(
            message,
            extra={
                "request_id": state.request.request_id,
                "relayed_for": state.relayed_for or None,
                "route": state.route.name,
                "configuration": self.routes.version,
                "service": state.service,
                "status": response.status,
                "reason": refusal.reason if refusal else None,
                "servers": state.sent_to,
                "causes": state.all_causes(),
                "elapsed_ms": round(elapsed_ms, 1),
                "left_ms": round(state.deadline_at_ms - self.clock.monotonic_ms()),
            },
        )
