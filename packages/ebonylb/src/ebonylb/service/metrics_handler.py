"""HTTP handler of the metrics address: metrics, state and explanations."""

from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

from ..adapters.memory_metrics import InMemoryMetrics
from ..explain import Explanation, Question

METRICS_PATH = "/metrics"
EXPLAIN_PATH = "/explain"
STATE_PATH = "/state"

GaugeReader = Callable[[], dict[str, float]]
StateReader = Callable[[], dict[str, Any]]
Explain = Callable[[Question], Explanation]


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
    explain : callable or None
        Explains where a request would be placed; None if that is not offered.
    """

    def __init__(
        self,
        metrics: InMemoryMetrics,
        read_gauges: GaugeReader,
        read_state: StateReader,
        explain: Explain | None = None,
    ) -> None:
        self.metrics = metrics
        self.read_gauges = read_gauges
        self.read_state = read_state
        self.explain = explain

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Return the page of a path, or status 404 if there is none."""
        if request.path == EXPLAIN_PATH and self.explain is not None:
            return self.handle_explain(request, self.explain)
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

    def handle_explain(
        self, request: web.BaseRequest, explain: Explain
    ) -> web.Response:
        """Return the explanation of a placement as JSON."""
        if request.method != "GET":
            return web.Response(status=405)
        try:
            question = msgspec.convert(dict(request.query), Question, strict=False)
        except msgspec.ValidationError as error:
            return make_json_response(400, {"message": str(error)})
        return make_json_response(200, explain(question).to_json())


def make_json_response(status: int, document: dict[str, object]) -> web.Response:
    """Return a response with a JSON document."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(document),
        content_type="application/json",
    )
