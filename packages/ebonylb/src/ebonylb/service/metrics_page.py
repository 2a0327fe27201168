"""Address on which an entry VM serves its metrics."""

from collections.abc import Callable

from aiohttp import web

from ..adapters.metrics_page import PageMetrics

METRICS_PATH = "/metrics"

GaugeReader = Callable[[], dict[str, float]]


class MetricsHandler:
    """Handler of the metrics address.

    Parameters
    ----------
    metrics : PageMetrics
        What was measured.
    sample : callable
        Gauges as of now.
    """

    def __init__(self, metrics: PageMetrics, read_gauges: GaugeReader) -> None:
        self.metrics = metrics
        self.read_gauges = read_gauges

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Return the page."""
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        for name, value in self.read_gauges().items():
            self.metrics.gauge(name, value)
        return web.Response(text=self.metrics.render())
