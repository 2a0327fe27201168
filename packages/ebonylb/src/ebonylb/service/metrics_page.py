"""Address on which an entry VM serves its metrics."""

from collections.abc import Callable

from aiohttp import web

from ..adapters.memory_metrics import InMemoryMetrics

PATH = "/metrics"

Sample = Callable[[], dict[str, float]]


class MetricsPage:
    """Handler of the metrics address.

    Parameters
    ----------
    metrics : InMemoryMetrics
        What was measured.
    sample : callable
        Gauges as of now.
    """

    def __init__(self, metrics: InMemoryMetrics, sample: Sample) -> None:
        self.metrics = metrics
        self.sample = sample

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Return the page."""
        if request.path != PATH:
            return web.Response(status=404)
        for name, value in self.sample().items():
            self.metrics.gauge(name, value)
        return web.Response(text=self.metrics.render())
