"""In-process backend servers on the running loop's clock, without a network."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from result import Err, Ok, Result

from ebonylb.interfaces import Clock
from ebonylb.interfaces.server_client import (
    ModelVersion,
    OrderResponse,
    ResponseHead,
    ServerAddress,
    ServerClient,
    ServerLoad,
    ServerReport,
    ServerRequest,
    ServerResponse,
    StreamEvent,
    VersionOrder,
)
from ebonylb.outcomes import StepError

from .prefill import ChunkedPrefill

WEIGHT_LOAD_MS = 900.0  # duration of a weight load on the users' engines
QUEUE_CHECK_MS = 2.0
EVENT_INTERVAL_MS = 33.0  # 44 tokens of 0.75 ms
SEAL = (("Seal", "1"),)


@dataclass
class FakeServer:
    """One backend server.

    Attributes
    ----------
    slowdown : float
        Factor on the duration of work.
    mode : str
        ``"serves"``, ``"dark"`` (does not respond), ``"refuses"`` (full),
        ``"half-refuses"`` (full, and the body of the refusal never arrives),
        ``"resets"`` (breaks the connection after starting to run the request),
        ``"crashes"`` (the same, and then ``"absent"``), ``"fails"`` (500) or
        ``"absent"`` (accepts no connection).
    loading : dict of str to float
        Start in ms of the weight load, by model.
    max_running : int
        Highest number of requests that held slots at once.
    received_requests : list of ServerRequest
        Requests that arrived.
    started_request_ids : list of str
        Ids of the requests that the server started to run.
    orders : list of (float, VersionOrder)
        Time in ms and content of each weight order.
    queues : bool
        Whether requests beyond its slots wait in order of arrival instead of being
        refused.
    says_leaving : bool
        Whether all its responses state that it leaves.
    software_version : str
        Version of its software, which the list shows. Events of versions other than
        ``"v1"`` name it in their data.
    limit_per_s : float or None
        Limit that all its responses name; None for none.
    prefill : ChunkedPrefill or None
        Processes prompts; None for an engine whose prompts take no time.
    event_interval_ms : float
        Time between two events.
    """

    name: str
    slots: int = 16
    slowdown: float = 1.0
    mode: str = "serves"
    versions: dict[str, int] = field(default_factory=dict)
    loading: dict[str, float] = field(default_factory=dict)
    running: int = 0
    max_running: int = 0
    accepted_orders: int = 0
    received_requests: list[ServerRequest] = field(default_factory=list)
    started_request_ids: list[str] = field(default_factory=list)
    orders: list[tuple[float, VersionOrder]] = field(default_factory=list)
    queues: bool = False
    queue: list[ServerRequest] = field(default_factory=list)
    says_leaving: bool = False
    software_version: str = "v1"
    limit_per_s: float | None = None
    prefill: ChunkedPrefill | None = None
    event_interval_ms: float = EVENT_INTERVAL_MS


@dataclass
class PlannedResponse:
    """Response that the servers give to a request.

    Attributes
    ----------
    events : int
        Number of streamed events; 0 for a plain response.
    work_ms : float
        Duration of a plain request.
    status : int
        Status of the response.
    prompt_tokens : int
        Length of the prompt.
    prompt : str
        Prompts of the same name are alike and are processed once; empty for others.
    """

    events: int = 0
    work_ms: float = 20.0
    status: int = 200
    prompt_tokens: int = 0
    prompt: str = ""


def event_data(request_id: str, number: int) -> str:
    """Return the data of an event, which does not depend on the server."""
    return f"{request_id}.{number}"


class FakeServerResponse(ServerResponse):
    """Response of a `FakeServer`, which holds a slot until it is closed."""

    def __init__(
        self,
        port: "FakeServers",
        server: FakeServer,
        request: ServerRequest,
        planned: PlannedResponse,
        head: ResponseHead,
    ) -> None:
        self.port = port
        self.server = server
        self.request = request
        self.planned = planned
        self.head = head
        self.holds_slot = not head.not_run
        self.is_generating = False
        if self.holds_slot:
            server.running += 1
            server.max_running = max(server.max_running, server.running)

    async def body(self) -> bytes:
        """Return the whole body and free the slot."""
        self.close()
        if self.server.mode == "half-refuses":
            await self.port.clock.sleep_ms(3_600_000)
        return b"body of " + self.request.request_id.encode()

    async def events(self) -> AsyncIterator[StreamEvent]:
        """Yield the remaining events at the server's speed."""
        model = self.port.model_of(self.request)
        version = self.head.weight_version
        first = (self.request.resume_after or 0) + 1
        crashes_after = self.port.crashing_targets.get(self.request.target)
        await self.process_prompt()
        for number in range(first, self.planned.events + 1):
            await self.generate_event()
            if number - first == crashes_after:
                self.server.mode = "absent"
            while self.server.mode == "dark":
                await self.port.clock.sleep_ms(100)
            if self.server.mode in ("resets", "absent"):
                self.close()
                raise StepError("stream", self.server.name, "connection reset")
            current = self.server.versions.get(model, 0)
            changed = current if current != version else None
            version = current
            data = event_data(self.request.request_id, number)
            if self.server.software_version != "v1":
                data += f"@{self.server.software_version}"
            self.port.record_event(self.request.request_id)
            yield StreamEvent(number, data, changed)
        self.close()

    async def process_prompt(self) -> None:
        """Wait until the engine has processed the prompt."""
        if self.server.prefill is not None:
            await self.server.prefill.process(
                self.planned.prompt, self.planned.prompt_tokens, self.server.slowdown
            )
            if self.holds_slot:
                self.is_generating = True
                self.server.prefill.generating += 1

    async def generate_event(self) -> None:
        """Wait until the engine has generated the tokens of an event."""
        duration_ms = self.server.event_interval_ms * self.server.slowdown
        if self.server.prefill is None:
            await self.port.clock.sleep_ms(duration_ms)
        else:
            await self.server.prefill.generate(duration_ms)

    async def raw_events(self) -> AsyncIterator[tuple[int, bytes]]:
        """Yield the remaining events as numbered bytes."""
        async for event in self.events():
            data = f"data: {event.data}\n" if "@" in event.data else ""
            yield event.number, f"id: {event.number}\n{data}\n".encode()

    def close(self) -> None:
        """Free the slot if it is held."""
        if self.holds_slot:
            self.holds_slot = False
            self.server.running -= 1
        if self.is_generating:
            self.is_generating = False
            self.server.prefill.generating -= 1


class FakeServers(ServerClient):
    """All backend servers of a site.

    Attributes
    ----------
    planned_responses : dict of str to PlannedResponse
        Responses by request id.
    default_response : PlannedResponse
        Response to other requests, a plain one unless it is replaced.
    models : dict of str to str
        Models by request id; other requests are for model ``"m"``.
    report_count : int
        Number of requested server reports.
    crashing_targets : dict of str to int
        Number of events after which a request crashes the server that runs it, by its
        path; 0 for a crash before the first event.
    started_at_ms : dict of str to float
        Time at which a server first started to run each request, by request id.
    first_event_ms, last_event_ms : dict of str to float
        Time of the first and the latest event by request id.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.servers: dict[str, FakeServer] = {}
        self.planned_responses: dict[str, PlannedResponse] = {}
        self.default_response = PlannedResponse()
        self.models: dict[str, str] = {}
        self.report_count = 0
        self.crashing_targets: dict[str, int] = {}
        self.started_at_ms: dict[str, float] = {}
        self.first_event_ms: dict[str, float] = {}
        self.last_event_ms: dict[str, float] = {}

    def record_event(self, request_id: str) -> None:
        """Record the time of an event that a server has generated."""
        now = self.clock.monotonic_ms()
        self.first_event_ms.setdefault(request_id, now)
        self.last_event_ms[request_id] = now

    def add(self, server: FakeServer) -> FakeServer:
        """Add a server and return it."""
        self.servers[server.name] = server
        return server

    def model_of(self, request: ServerRequest) -> str:
        """Return the model of a request."""
        return self.models.get(request.request_id, "m")

    async def open(
        self, server: ServerAddress, request: ServerRequest
    ) -> Result[ServerResponse, StepError]:
        """Run or refuse the request according to the server's mode."""
        target = self.servers[server.name]
        await self.clock.sleep_ms(1.0)
        if target.mode == "absent":
            return Err(StepError("open", server.name, "refused", False))
        request.progress.connected = True
        target.received_requests.append(request)
        if target.mode == "dark":
            await self.clock.sleep_ms(3_600_000)
        planned = self.planned_responses.get(request.request_id, self.default_response)
        model = self.model_of(request)
        if target.queues and planned.events:
            await self.wait_for_slot(target, request)
        refuses = target.mode in ("refuses", "half-refuses") or model in target.loading
        if refuses or (planned.events and target.running >= target.slots):
            head = ResponseHead(
                503,
                (),
                not_run=True,
                load=self.load_of(target),
                leaving=target.says_leaving,
                limit_per_s=target.limit_per_s,
            )
            return Ok(FakeServerResponse(self, target, request, planned, head))
        target.started_request_ids.append(request.request_id)
        now = self.clock.monotonic_ms()
        self.started_at_ms.setdefault(request.request_id, now)
        if target.mode == "crashes" or self.crashing_targets.get(request.target) == 0:
            target.mode = "absent"
            return Err(StepError("open", server.name, "connection reset"))
        if target.mode == "resets":
            return Err(StepError("open", server.name, "connection reset"))
        if not planned.events:
            target.running += 1
            try:
                await self.clock.sleep_ms(planned.work_ms * target.slowdown)
            finally:
                target.running -= 1
        status = 500 if target.mode == "fails" else planned.status
        version = target.versions.get(model)
        if planned.events and (request.resume_after or 0) >= planned.events:
            version = None  # no event is left to generate, so no weights are used
        head = ResponseHead(
            status,
            SEAL,
            seal=f"seal of {request.request_id}",
            load=self.load_of(target),
            weight_version=version,
            leaving=target.says_leaving,
            limit_per_s=target.limit_per_s,
        )
        return Ok(FakeServerResponse(self, target, request, planned, head))

    async def wait_for_slot(self, server: FakeServer, request: ServerRequest) -> None:
        """Wait in a server's queue until the request is first and a slot is free."""
        server.queue.append(request)
        try:
            while server.queue[0] is not request or server.running >= server.slots:
                await self.clock.sleep_ms(QUEUE_CHECK_MS)
        finally:
            server.queue.remove(request)

    def load_of(self, server: FakeServer) -> ServerLoad:
        """Return the load that a server reports."""
        return ServerLoad(
            server.running, len(server.queue), server.slots, server.slowdown
        )

    async def read_report(
        self, server: ServerAddress
    ) -> Result[ServerReport, StepError]:
        """Return a server's state, or an error when it does not respond."""
        target = self.servers[server.name]
        self.report_count += 1
        if target.mode in ("dark", "absent"):
            await self.clock.sleep_ms(1_000)
            return Err(StepError("report", server.name, "no response"))
        models = tuple(ModelVersion(m, v) for m, v in target.versions.items())
        report = ServerReport(
            bool(target.loading),
            target.accepted_orders,
            models,
            target.says_leaving,
            target.limit_per_s,
        )
        return Ok(report)

    async def send_order(
        self, server: ServerAddress, order: VersionOrder
    ) -> Result[OrderResponse, StepError]:
        """Accept or refuse a weight order as the users' engines do."""
        target = self.servers[server.name]
        target.orders.append((self.clock.monotonic_ms(), order))
        status = self.handle_order(target, order)
        return Ok(OrderResponse(status, target.says_leaving, target.limit_per_s))

    def handle_order(self, target: FakeServer, order: VersionOrder) -> int:
        """Start a weight load, if it is allowed, and return the status."""
        if target.loading or order.accepted_orders not in (
            None,
            target.accepted_orders,
        ):
            return 409
        if target.versions.get(order.model) == order.version:
            return 200
        target.accepted_orders += 1
        target.loading[order.model] = self.clock.monotonic_ms()
        asyncio.get_running_loop().call_later(
            WEIGHT_LOAD_MS / 1000, self.finish_load, target, order
        )
        return 202

    def finish_load(self, server: FakeServer, order: VersionOrder) -> None:
        """Switch a model to its loaded version."""
        server.loading.pop(order.model, None)
        server.versions[order.model] = order.version

    async def is_reachable(self, server: ServerAddress) -> bool:
        """Return whether a server accepts connections."""
        return self.servers[server.name].mode not in ("dark", "absent")
