"""HTTP client of backend servers."""

import contextlib
import math
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from types import SimpleNamespace

import aiohttp
import msgspec
from multidict import CIMultiDict
from result import Err, Ok, Result
from yarl import URL

from ..adapters.connections import accepts_connection
from ..adapters.http import (
    MAX_BODY_BYTES,
    NOT_SENT_ERRORS,
    TRANSPORT_ERRORS,
    describe_error,
    read_body,
)
from ..interfaces.server_client import (
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
from ..outcomes import DECODING_ERRORS, StepError
from ..service.held_bytes import HeldBytes
from ..service.incoming_bodies import IncomingBody, NoRoomError
from . import wire_names
from .event_stream import EventDecoder
from .numbers import parse_count, parse_rate
from .value_types import Count

WRONG_SERVER_STATUS = 421
# A reachable server accepts a connection within about 30 ms, also in other regions.
CONNECT_TIMEOUT_S = 0.6
CONTROL_TIMEOUT_S = 1.0
# A report or a response to an order of more bytes is no response.
MAX_CONTROL_BODY_BYTES = 1_048_576
EVENT_STREAM_TYPE = "text/event-stream"
NORMAL_SLOWDOWN_PERCENT = 100  # load header of a server on an undisturbed machine


async def record_connection(
    session: aiohttp.ClientSession, context: SimpleNamespace, params: object
) -> None:
    """Record that a request has got its connection, new or kept."""
    if context.trace_request_ctx is not None:
        context.trace_request_ctx.connected = True


def trace_connections() -> aiohttp.TraceConfig:
    """Return the tracing that a session of `HttpServerClient` needs."""
    tracing = aiohttp.TraceConfig()
    tracing.on_connection_create_end.append(record_connection)
    tracing.on_connection_reuseconn.append(record_connection)
    return tracing


class WireModel(msgspec.Struct):
    """Model in a report; `Version` is the version of its weights."""

    Name: str
    Version: Count = 0


class WireReport(msgspec.Struct):
    """State of a server; `Sequence` counts the orders accepted since its start."""

    Busy: bool = False
    Sequence: Count = 0
    Models: list[WireModel] = []


@dataclass(frozen=True, slots=True)
class ControlResponse:
    """Response to a control request, and what its server states about itself."""

    status: int
    body: bytes
    leaving: bool
    limit_per_s: float | None


def decode_load(text: str | None) -> ServerLoad | None:
    """Return the load in a header; None if the header is missing or malformed."""
    values = [parse_count(part.strip()) for part in (text or "").split(",")]
    if len(values) < 3 or None in values:
        return None
    slowdown = values[3] / NORMAL_SLOWDOWN_PERCENT if len(values) > 3 else 1.0
    return ServerLoad(values[0], values[1], values[2], slowdown)


def says_leaving(headers: Mapping[str, str]) -> bool:
    """Return whether a response states that its server leaves."""
    return headers.get(wire_names.SERVER_LEAVING, "").strip() == "1"


def decode_head(response: aiohttp.ClientResponse) -> ResponseHead:
    """Return the status and the headers of a response as the internal type."""
    headers = response.headers
    return ResponseHead(
        status=response.status,
        headers=tuple(
            (str(name), value)
            for name, value in headers.items()
            if name.lower() not in wire_names.HOP_BY_HOP_HEADERS
        ),
        not_run=wire_names.NOT_RUN in headers or response.status == WRONG_SERVER_STATUS,
        wrong_server=response.status == WRONG_SERVER_STATUS,
        seal=headers.get(wire_names.SEAL),
        load=decode_load(headers.get(wire_names.SERVER_LOAD)),
        weight_version=parse_count(headers.get(wire_names.WEIGHT_VERSION)),
        leaving=says_leaving(headers),
        limit_per_s=parse_rate(headers.get(wire_names.SERVER_LIMIT)),
    )


def is_event_stream(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response has the type of event streams, or names none."""
    named = "Content-Type" in response.headers
    return not named or response.content_type == EVENT_STREAM_TYPE


class HttpServerResponse(ServerResponse):
    """Response that is read from an open connection."""

    def __init__(
        self, response: aiohttp.ClientResponse, peer: str, held: HeldBytes | None
    ) -> None:
        self.response = response
        self.peer = peer
        self.held = held
        self.head = decode_head(response)

    def receive(
        self, stated_bytes: float
    ) -> contextlib.AbstractContextManager[IncomingBody | None]:
        """Count what is received; None if it is not bounded."""
        if self.held is None:
            return contextlib.nullcontext()
        return self.held.receive(self.close, stated_bytes)

    async def body(self) -> bytes:
        """Read the complete body; wait while too much is held."""
        length = self.response.content_length
        try:
            with self.receive(math.inf if length is None else length) as incoming:
                wait = incoming.wait_to_read_on if incoming else None
                return await read_body(self.response, MAX_BODY_BYTES, wait)
        except TRANSPORT_ERRORS as error:
            raise StepError("server.body", self.peer, describe_error(error)) from error

    async def decode_events(self) -> AsyncIterator[tuple[StreamEvent, bytes]]:
        """Iterate over the decoded events, each with its bytes."""
        if not is_event_stream(self.response):
            cause = f"a response of type {self.response.content_type}"
            raise StepError("server.stream", self.peer, cause)
        decoder = EventDecoder("server.stream", self.peer)
        try:
            with self.receive(math.inf) as incoming:
                async for chunk in self.response.content.iter_any():
                    for event in decoder.feed(chunk):
                        yield event
                    if incoming is not None:
                        await incoming.wait_to_read_on(decoder.pending_bytes)
        except (aiohttp.ClientError, OSError, NoRoomError) as error:
            raise StepError(
                "server.stream", self.peer, describe_error(error)
            ) from error
        decoder.finish()

    async def events(self) -> AsyncIterator[StreamEvent]:
        """Iterate over the decoded events."""
        async for event, _ in self.decode_events():
            yield event

    async def raw_events(self) -> AsyncIterator[tuple[int, bytes]]:
        """Iterate over (number, bytes as sent) of the events, for forwarding."""
        async for event, block in self.decode_events():
            yield event.number, block

    def close(self) -> None:
        """Close the connection unless the response was read to its end."""
        if not self.response.closed:
            self.response.close()


def build_url(server: ServerAddress, target: str) -> URL:
    """Return the URL of a path at a server.

    Raises
    ------
    OverflowError
        The port is out of range, so that nothing can be sent.
    """
    try:
        url = URL(f"http://{server.address}{target}", encoded=True)
        # An encoded URL is not checked before its parts are read.
        if not url.port:
            raise ValueError("no port")
    except ValueError as error:
        raise OverflowError(str(error)) from error
    return url


class HttpServerClient(ServerClient):
    """Client of backend servers over persistent connections.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Owned by the caller; must not add default headers, must be traced with
        `trace_connections`, and its `StrictConnector` must know the header of request
        ids, so that a response to another request is an error.
    held : HeldBytes or None
        Bounds the bodies that are held; None for no bound.
    """

    def __init__(
        self, session: aiohttp.ClientSession, held: HeldBytes | None = None
    ) -> None:
        self.session = session
        self.held = held

    async def open(
        self, server: ServerAddress, request: ServerRequest
    ) -> Result[ServerResponse, StepError]:
        """Send a request and return its response."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        try:
            response = await self.session.request(
                request.method,
                build_url(server, request.target),
                headers=self.build_headers(server, request),
                data=request.body or None,
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=request.progress,
            )
        except TRANSPORT_ERRORS as error:
            may_have_run = not isinstance(error, NOT_SENT_ERRORS)
            return Err(
                StepError(
                    "server.open", server.name, describe_error(error), may_have_run
                )
            )
        return Ok(HttpServerResponse(response, server.name, self.held))

    def build_headers(
        self, server: ServerAddress, request: ServerRequest
    ) -> CIMultiDict[str]:
        """Return the headers to send with a request."""
        headers = CIMultiDict(
            (name, value)
            for name, value in request.headers
            if name.lower() not in wire_names.ADAPTER_SET_HEADERS
            and name.lower() not in wire_names.HOP_BY_HOP_HEADERS - {"host"}
        )
        headers[wire_names.REQUEST_ID] = request.request_id
        headers[wire_names.DEADLINE] = str(max(1, int(request.deadline_ms)))
        headers[wire_names.EXPECT_INSTANCE] = server.name
        if request.resume_after is not None:
            headers[wire_names.LAST_EVENT] = str(request.resume_after)
        if not request.body and request.method in ("POST", "PUT"):
            headers["Content-Length"] = "0"
        return headers

    async def read_report(
        self, server: ServerAddress
    ) -> Result[ServerReport, StepError]:
        """Read the state of a model server."""
        response = await self.send_control_request(
            "server.report", server, "GET", wire_names.REPORT_PATH
        )
        if isinstance(response, Err):
            return response
        response = response.ok_value
        if response.status != 200:
            cause = f"HTTP status {response.status}"
            return Err(StepError("server.report", server.name, cause))
        try:
            report = msgspec.json.decode(response.body, type=WireReport)
        except DECODING_ERRORS as error:
            return Err(StepError("server.report", server.name, str(error)))
        models = tuple(ModelVersion(m.Name, m.Version) for m in report.Models)
        return Ok(
            ServerReport(
                report.Busy,
                report.Sequence,
                models,
                response.leaving,
                response.limit_per_s,
            )
        )

    async def send_order(
        self, server: ServerAddress, order: VersionOrder
    ) -> Result[OrderResponse, StepError]:
        """Send an order and return the response."""
        body = {
            "Operation": "Version",
            "Model": order.model,
            "Version": order.version,
            "Mode": order.mode,
            "Holder": order.holder,
            "Fence": order.fence,
        }
        if order.accepted_orders is not None:
            body["Expected"] = order.accepted_orders
        response = await self.send_control_request(
            "server.order",
            server,
            "POST",
            wire_names.ORDER_PATH,
            data=msgspec.json.encode(body),
        )
        if isinstance(response, Err):
            return response
        response = response.ok_value
        return Ok(
            OrderResponse(response.status, response.leaving, response.limit_per_s)
        )

    async def send_control_request(
        self,
        step: str,
        server: ServerAddress,
        method: str,
        path: str,
        data: bytes | None = None,
    ) -> Result[ControlResponse, StepError]:
        """Send a control request, which has no id, to one incarnation."""
        headers = {wire_names.EXPECT_INSTANCE: server.name}
        if data is not None:
            headers["Content-Type"] = "application/json"
        try:
            async with self.session.request(
                method,
                build_url(server, path),
                headers=headers,
                data=data,
                timeout=aiohttp.ClientTimeout(
                    total=CONTROL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
                ),
            ) as response:
                body = await read_body(response, MAX_CONTROL_BODY_BYTES)
                leaving = (
                    says_leaving(response.headers)
                    and response.status != WRONG_SERVER_STATUS
                )
                limit_per_s = parse_rate(response.headers.get(wire_names.SERVER_LIMIT))
                return Ok(ControlResponse(response.status, body, leaving, limit_per_s))
        except TRANSPORT_ERRORS as error:
            may_have_run = not isinstance(error, NOT_SENT_ERRORS)
            return Err(
                StepError(step, server.name, describe_error(error), may_have_run)
            )

    async def is_reachable(self, server: ServerAddress) -> bool:
        """Return whether the server accepts a connection."""
        return await accepts_connection(server.address, CONNECT_TIMEOUT_S)
