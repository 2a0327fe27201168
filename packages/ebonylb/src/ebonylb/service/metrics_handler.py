"""HTTP handler that serves the metrics and the state of an entry VM."""

from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

from ..adapters.memory_metrics import InMemoryMetrics

METRICS_PATH = "/metrics"
STATE_PATH = "/state"

GaugeReader = Callable[[], dict[str, float]]
StateReader = Callable[[], dict[str, Any]]


class MetricsHandler:
    """Handles requests on the metrics address.

    Parameters
    ----------
    metrics : InMemoryMetrics
        Collected metrics.
    read_gauges : callable
        Returns the current values of the gauges by name.
    read_state : callable
        Returns the document for operators, which contains no key.
    """

    def __init__(
        self,
        metrics: InMemoryMetrics,
        read_gauges: GaugeReader,
        read_state: StateReader,
    ) -> None:
        self.metrics = metrics
        self.read_gauges = read_gauges
        self.read_state = read_state

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Return the metrics page or the state, or status 404 for any other path."""
        if request.path == STATE_PATH:
            return web.Response(
                body=msgspec.json.encode(self.read_state()),
                content_type="application/json",
            )
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        for name, value in self.read_gauges().items():
            self.metrics.gauge(name, value)
        return web.Response(text=self.metrics.render())
