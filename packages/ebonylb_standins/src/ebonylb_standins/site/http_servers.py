"""Stand-ins for the HTTP backend servers of the users' platform."""

import asyncio
import json
import time
from collections import Counter, deque
from dataclasses import dataclass, field
from random import Random

from aiohttp import web

EVENT_INTERVAL_S = 0.02
WEIGHT_LOAD_S = 0.4
MAX_KEPT_HEADERS = 1_000


SCORING_PREFIX = "/score/"
# Path segment of scoring requests that fail on each server.
UNSCORABLE = "unscorable"


def scoring_id(item_id: str) -> str:
    """Return the id of an item's scoring request."""
    return f"score-{item_id}"


def seal_of(request_id: str) -> str:
    """Return the seal of a response, which is the same on each server."""
    return f"seal.{request_id}"


def event_text(request_id: str, number: int) -> str:
    """Return the data of an event, which does not depend on the server.

    It has separators that end no line of an event stream.
    """
    return f"{request_id}/\u2028\x85{number}"


@dataclass
class ReceivedOrder:
    """Weight order received, kept to check that orders come from one holder at a time.

    Attributes
    ----------
    at_s : float
        Loop time of arrival.
    status : int
        Status of the response.
    """

    at_s: float
    holder: str
    fence: int
    status: int


@dataclass
class HttpServer:
    """One backend server.

    Attributes
    ----------
    run_counts : Counter of str
        Number of runs by request id.
    arrivals : list of (float, str)
        Loop time in seconds and request id of each request.
    received_headers : deque of dict of str to str
        Headers of the last requests that arrived, with lower-case names.
    identities : dict of str to set of (str, str)
        ``Authorization`` and ``Ebonylb-Tenant`` headers of the requests that arrived,
        by request id; empty texts for missing headers.
    begun_ms : dict of str to float
        Wall clock time at which a request first began to run, by request id.
    refused_request_ids : set of str
        Requests that were refused without running.
    text_ended_s : dict of str to float
        Loop time at which the last event of an item was made, by the item's id.
    fault : str
        ``""``, ``"reset"`` (runs the request and breaks the connection), ``"shed"``
        (refuses) or ``"cut"`` (ends the response early).
    says_leaving : bool
        Whether all its responses state that it leaves.
    limit_per_s : float or None
        Limit that all its responses name; None for none.
    software_version : str
        Version of its software, which its row names.
    stream_parts : list of (str, int, str)
        Id, number of the first event and software version of each stream. The id is
        that of the request whose stream a caller takes up.
    work_s : float
        Duration of a plain request.
    lost_response_share : float
        Share, from 0 to 1, of plain requests that run and whose response is lost.
    """

    name: str
    service: str
    models: tuple[str, ...] = ()
    slots: int = 8
    versions: dict[str, int] = field(default_factory=dict)
    run_counts: Counter[str] = field(default_factory=Counter)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    received_headers: deque[dict[str, str]] = field(
        default_factory=lambda: deque(maxlen=MAX_KEPT_HEADERS)
    )
    identities: dict[str, set[tuple[str, str]]] = field(default_factory=dict)
    begun_ms: dict[str, float] = field(default_factory=dict)
    orders: list[ReceivedOrder] = field(default_factory=list)
    refused_request_ids: set[str] = field(default_factory=set)
    text_ended_s: dict[str, float] = field(default_factory=dict)
    running: int = 0
    accepted_orders: int = 0
    loading: bool = False
    fault: str = ""
    says_leaving: bool = False
    limit_per_s: float | None = None
    software_version: str = "v1"
    stream_parts: list[tuple[str, int, str]] = field(default_factory=list)
    work_s: float = 0.01
    lost_response_share: float = 0.0
    random: Random = field(default_factory=lambda: Random(1))

    def __post_init__(self) -> None:
        """Set every model to version 1."""
        self.versions = dict.fromkeys(self.models, 1)

    def build_app(self) -> web.Application:
        """Return the web application that serves this server's paths."""
        app = web.Application()
        app.on_response_prepare.append(self.describe_itself)
        app.router.add_get("/api/report", self.handle_report)
        app.router.add_post("/api/order", self.handle_order)
        app.router.add_route("*", "/{path:.*}", self.handle_request)
        return app

    async def describe_itself(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """State in a response that this server leaves, and its limit, if any."""
        if self.limit_per_s is not None:
            response.headers["Server-Limit"] = f"{self.limit_per_s:g}"
        if self.says_leaving:
            response.headers["Server-Leaving"] = "1"

    def registration_row(self, address: str, zone: str, state: str = "ready") -> bytes:
        """Return the value of the row with which the server registers in the store."""
        fields = {
            "Service": self.service,
            "Address": address,
            "Zone": zone,
            "Version": self.software_version,
            "Slots": self.slots,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": 1_700_000_000_000,
            "Models": [{"Name": m, "Version": v} for m, v in self.versions.items()],
        }
        return json.dumps(fields).encode()

    def is_for_another_server(self, request: web.Request) -> bool:
        """Return whether the request names another server as its target."""
        expected = request.headers.get("Ebonylb-Expect-Instance")
        return expected is not None and expected != self.name

    def load_headers(self) -> dict[str, str]:
        """Return the header that reports the current load."""
        return {"Ebonylb-Server-Load": f"{self.running},0,{self.slots},100"}

    async def handle_report(self, request: web.Request) -> web.Response:
        """Respond with the state: loading, accepted orders and model versions."""
        if self.is_for_another_server(request):
            return web.Response(status=421)
        models = [{"Name": m, "Version": v} for m, v in self.versions.items()]
        state = {
            "Busy": self.loading,
            "Sequence": self.accepted_orders,
            "Models": models,
        }
        return web.json_response(state)

    async def handle_order(self, request: web.Request) -> web.Response:
        """Accept a weight order, or refuse it when it is stale or a load is running."""
        body = await request.json()
        now = asyncio.get_running_loop().time()
        status = 202
        if self.is_for_another_server(request):
            status = 421
        elif (
            self.loading
            or body.get("Expected", self.accepted_orders) != self.accepted_orders
        ):
            status = 409
        elif self.versions.get(body["Model"]) == body["Version"]:
            status = 200
        self.orders.append(ReceivedOrder(now, body["Holder"], body["Fence"], status))
        if status == 202:
            self.accepted_orders += 1
            self.loading = True
            loop = asyncio.get_running_loop()
            loop.call_later(
                WEIGHT_LOAD_S, self.finish_load, body["Model"], body["Version"]
            )
        return web.Response(status=status)

    def finish_load(self, model: str, version: int) -> None:
        """Switch a model to its loaded version."""
        self.loading = False
        self.versions[model] = version

    async def handle_request(self, request: web.Request) -> web.StreamResponse:
        """Run a plain request or stream an item, subject to the configured fault."""
        request_id = request.headers.get("Ebonylb-Request-Id", "")
        headers = {"Ebonylb-Request-Id": request_id, **self.load_headers()}
        body = await request.read()
        self.received_headers.append(
            {name.lower(): value for name, value in request.headers.items()}
        )
        identity = [
            request.headers.get(n, "") for n in ("Authorization", "Ebonylb-Tenant")
        ]
        self.identities.setdefault(request_id, set()).add((identity[0], identity[1]))
        self.arrivals.append((asyncio.get_running_loop().time(), request_id))
        if self.is_for_another_server(request):
            headers["Ebonylb-Not-Executed"] = "1"
            return web.Response(status=421, headers=headers)
        if self.fault == "shed" or self.running >= self.slots:
            self.refused_request_ids.add(request_id)
            headers["Ebonylb-Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
        self.run_counts[request_id] += 1
        self.begun_ms.setdefault(request_id, time.time() * 1_000)
        headers["Ebonylb-Response-Seal"] = seal_of(request_id)
        self.running += 1
        try:
            if self.models:
                return await self.stream_events(request, request_id, headers)
            await asyncio.sleep(self.work_s)
            if self.fault == "reset" or self.random.random() < self.lost_response_share:
                request.transport.abort()
                raise asyncio.CancelledError
            if request.path.startswith(f"{SCORING_PREFIX}{UNSCORABLE}/"):
                return web.Response(status=500, headers=headers)
            response_body = f"{request_id}:".encode() + body
            if self.fault == "cut":
                return await self.send_truncated(request, headers, response_body)
            return web.Response(body=response_body, headers=headers)
        finally:
            self.running -= 1

    async def send_truncated(
        self, request: web.Request, headers: dict[str, str], response_body: bytes
    ) -> web.StreamResponse:
        """Send a response that is shorter than its declared length."""
        response = web.StreamResponse(headers=headers)
        response.content_length = len(response_body) + 100
        await response.prepare(request)
        await response.write(response_body)
        request.transport.abort()
        raise asyncio.CancelledError

    async def stream_events(
        self, request: web.Request, request_id: str, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Stream the events of an item; the last segment of the path is their count."""
        model = request.headers.get("Ebonylb-Model", "")
        total = int(request.path.rsplit("/", 1)[-1])
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        stream_id = request.headers.get("Resumes") or request_id
        self.stream_parts.append((stream_id, first, self.software_version))
        version = self.versions[model]
        if first <= total:
            headers["Ebonylb-Weight-Versions"] = str(version)
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for number in range(first, total + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            if self.fault in ("reset", "cut") and number == total // 2:
                await response.write(f"id: {number}\nda".encode())
                request.transport.abort()
                raise asyncio.CancelledError
            version_line = ""
            if self.versions[model] != version:
                version = self.versions[model]
                version_line = f"ebonylb-weight-versions: {version}\n"
            if number == total:
                now_s = asyncio.get_running_loop().time()
                self.text_ended_s.setdefault(request_id, now_s)
            text = event_text(request_id, number)
            block = f"{version_line}id: {number}\ndata: {text}\n\n"
            await response.write(block.encode())
        await response.write_eof()
        return response
