"""HTTP handler that serves the metrics of an entry VM."""

from collections.abc import Callable

from aiohttp import web

from ..adapters.memory_metrics import InMemoryMetrics

METRICS_PATH = "/metrics"

GaugeReader = Callable[[], dict[str, float]]


class MetricsHandler:
    """Handles requests on the metrics address.

    Parameters
    ----------
    metrics : InMemoryMetrics
        Collected metrics.
    read_gauges : callable
        Returns the current values of the gauges by name.
    """

    def __init__(self, metrics: InMemoryMetrics, read_gauges: GaugeReader) -> None:
        self.metrics = metrics
        self.read_gauges = read_gauges

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Return the metrics page, or status 404 for any other path."""
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        for name, value in self.read_gauges().items():
            self.metrics.gauge(name, value)
        return web.Response(text=self.metrics.render())
