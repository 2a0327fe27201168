"""Backend servers on the clock of the running loop, reached without a network."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from result import Err, Ok, Result

from ebonylb.interfaces import Clock
from ebonylb.interfaces.server_client import (
    ModelVersion,
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

LOAD_MS = 900.0  # a change of weights takes this long on the users' engines
EVENT_MS = 33.0  # 44 tokens of 0.75 ms
SEAL = (("Seal", "1"),)


@dataclass
class FakeServer:
    """One backend server.

    Attributes
    ----------
    slowdown : float
        Duration of work relative to the usual one.
    mode : str
        ``"serves"``, ``"dark"`` (silent), ``"refuses"`` (full), ``"resets"`` (breaks
        the connection after it began to run), ``"crashes"`` (the same, and then it is
        absent), ``"fails"`` (500) or ``"absent"`` (accepts no connection).
    sent : list of ServerRequest
        Requests that arrived.
    ran : list of str
        Ids of the requests that it began to run.
    """

    name: str
    slots: int = 16
    slowdown: float = 1.0
    mode: str = "serves"
    versions: dict[str, int] = field(default_factory=dict)
    loading: dict[str, float] = field(default_factory=dict)
    running: int = 0
    most_running: int = 0
    accepted_orders: int = 0
    sent: list[ServerRequest] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    orders: list[tuple[float, VersionOrder]] = field(default_factory=list)


@dataclass
class Output:
    """What the servers make of a request.

    Attributes
    ----------
    events : int
        Length of its stream; 0 for a plain answer.
    work_ms : float
        Duration of a plain request.
    status : int
        Status of its answer.
    """

    events: int = 0
    work_ms: float = 20.0
    status: int = 200


def event_data(request_id: str, number: int) -> str:
    """Return the data of an event."""
    return f"{request_id}.{number}"


class FakeAnswer(ServerResponse):
    """Answer of a `FakeServer`."""

    def __init__(
        self,
        port: "FakeServers",
        server: FakeServer,
        request: ServerRequest,
        output: Output,
        head: ResponseHead,
    ) -> None:
        self.port = port
        self.server = server
        self.request = request
        self.output = output
        self.head = head
        self.occupies = not head.not_run
        if self.occupies:
            server.running += 1
            server.most_running = max(server.most_running, server.running)

    async def body(self) -> bytes:
        """Return the whole body."""
        self.close()
        return b"body of " + self.request.request_id.encode()

    async def events(self) -> AsyncIterator[StreamEvent]:
        """Make events at the server's speed."""
        model = self.port.model_of(self.request)
        version = self.head.weight_version
        first = (self.request.resume_after or 0) + 1
        for number in range(first, self.output.events + 1):
            await self.port.clock.sleep_ms(EVENT_MS * self.server.slowdown)
            while self.server.mode == "dark":
                await self.port.clock.sleep_ms(100)
            if self.server.mode in ("resets", "absent"):
                self.close()
                raise StepError("stream", self.server.name, "connection reset")
            current = self.server.versions.get(model, 0)
            changed = current if current != version else None
            version = current
            yield StreamEvent(
                number, event_data(self.request.request_id, number), changed
            )
        self.close()

    async def raw_events(self) -> AsyncIterator[tuple[int, bytes]]:
        """Make events as bytes."""
        async for event in self.events():
            yield event.number, f"id: {event.number}\n\n".encode()

    def close(self) -> None:
        """Free the slot."""
        if self.occupies:
            self.occupies = False
            self.server.running -= 1


class FakeServers(ServerClient):
    """All servers of a site.

    Parameters
    ----------
    clock : Clock
        Source of time.
    outputs : dict of str to Output
        By request id; others are plain answers.

    Attributes
    ----------
    reports : int
        Reports that were asked for.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.servers: dict[str, FakeServer] = {}
        self.outputs: dict[str, Output] = {}
        self.models: dict[str, str] = {}
        self.reports = 0

    def add(self, server: FakeServer) -> FakeServer:
        """Add a server."""
        self.servers[server.name] = server
        return server

    def model_of(self, request: ServerRequest) -> str:
        """Return the model of a request."""
        return self.models.get(request.request_id, "m")

    async def open(
        self, server: ServerAddress, request: ServerRequest
    ) -> Result[ServerResponse, StepError]:
        """Answer as the server's mode says."""
        target = self.servers[server.name]
        await self.clock.sleep_ms(1.0)
        if target.mode == "absent":
            return Err(StepError("open", server.name, "refused", False))
        target.sent.append(request)
        if target.mode == "dark":
            await self.clock.sleep_ms(3_600_000)
        output = self.outputs.get(request.request_id, Output())
        model = self.model_of(request)
        refuses = target.mode == "refuses" or model in target.loading
        if refuses or (output.events and target.running >= target.slots):
            head = ResponseHead(503, (), not_run=True, load=self.load_of(target))
            return Ok(FakeAnswer(self, target, request, output, head))
        target.ran.append(request.request_id)
        if target.mode == "crashes":
            target.mode = "absent"
            return Err(StepError("open", server.name, "connection reset"))
        if target.mode == "resets":
            return Err(StepError("open", server.name, "connection reset"))
        if not output.events:
            target.running += 1
            try:
                await self.clock.sleep_ms(output.work_ms * target.slowdown)
            finally:
                target.running -= 1
        status = 500 if target.mode == "fails" else output.status
        version = target.versions.get(model)
        if output.events and (request.resume_after or 0) >= output.events:
            version = None  # nothing is left that weights could make
        head = ResponseHead(
            status,
            SEAL,
            sealed=True,
            load=self.load_of(target),
            weight_version=version,
        )
        return Ok(FakeAnswer(self, target, request, output, head))

    def load_of(self, server: FakeServer) -> ServerLoad:
        """Return the load that a server reports."""
        return ServerLoad(server.running, 0, server.slots, server.slowdown)

    async def read_report(
        self, server: ServerAddress
    ) -> Result[ServerReport, StepError]:
        """Return the state of a server."""
        target = self.servers[server.name]
        self.reports += 1
        if target.mode in ("dark", "absent"):
            await self.clock.sleep_ms(1_000)
            return Err(StepError("report", server.name, "no answer"))
        models = tuple(ModelVersion(m, v) for m, v in target.versions.items())
        return Ok(ServerReport(bool(target.loading), target.accepted_orders, models))

    async def send_order(
        self, server: ServerAddress, order: VersionOrder
    ) -> Result[int, StepError]:
        """Take an order as the users' engines do."""
        target = self.servers[server.name]
        target.orders.append((self.clock.monotonic_ms(), order))
        if target.loading or order.accepted_orders not in (
            None,
            target.accepted_orders,
        ):
            return Ok(409)
        if target.versions.get(order.model) == order.version:
            return Ok(200)
        target.accepted_orders += 1
        target.loading[order.model] = self.clock.monotonic_ms()
        asyncio.get_running_loop().call_later(
            LOAD_MS / 1000, self.finish_load, target, order
        )
        return Ok(202)

    def finish_load(self, server: FakeServer, order: VersionOrder) -> None:
        """Put new weights in place."""
        server.loading.pop(order.model, None)
        server.versions[order.model] = order.version

    async def is_reachable(self, server: ServerAddress) -> bool:
        """Tell whether a server accepts connections."""
        return self.servers[server.name].mode not in ("dark", "absent")
