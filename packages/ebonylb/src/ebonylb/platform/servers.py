"""HTTP client of backend servers."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import msgspec
from multidict import CIMultiDict
from result import Err, Ok, Result
from yarl import URL

from ..adapters.http import NOT_SENT_ERRORS, describe_error
from ..interfaces.server_client import (
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
from ..outcomes import StepError
from . import wire_names
from .event_stream import EventDecoder

WRONG_SERVER_STATUS = 421
# A reachable server accepts a connection within about 30 ms, also in other regions.
CONNECT_TIMEOUT_S = 0.6
CONTROL_TIMEOUT_S = 1.0
NORMAL_SLOWDOWN_PERCENT = 100  # load header of a server on an undisturbed machine


class WireModel(msgspec.Struct):
    """Model in a report; `Version` is the version of its weights."""

    Name: str
    Version: int = 0


class WireReport(msgspec.Struct):
    """State of a server; `Sequence` counts the orders accepted since its start."""

    Busy: bool = False
    Sequence: int = 0
    Models: list[WireModel] = []


def decode_load(text: str | None) -> ServerLoad | None:
    """Return the load in a header; None if the header is missing or malformed."""
    if text is None:
        return None
    try:
        values = [int(part) for part in text.split(",")]
    except ValueError:
        return None
    if len(values) < 3:
        return None
    slowdown = values[3] / NORMAL_SLOWDOWN_PERCENT if len(values) > 3 else 1.0
    return ServerLoad(values[0], values[1], values[2], slowdown)


def decode_head(response: aiohttp.ClientResponse) -> ResponseHead:
    """Return the status and the headers of a response as the internal type."""
    headers = response.headers
    version = headers.get(wire_names.WEIGHT_VERSION, "")
    return ResponseHead(
        status=response.status,
        headers=tuple(
            (name, value)
            for name, value in headers.items()
            if name.lower() not in wire_names.HOP_BY_HOP_HEADERS
        ),
        not_run=wire_names.NOT_RUN in headers or response.status == WRONG_SERVER_STATUS,
        wrong_server=response.status == WRONG_SERVER_STATUS,
        seal=headers.get(wire_names.SEAL),
        load=decode_load(headers.get(wire_names.SERVER_LOAD)),
        weight_version=int(version) if version.isdigit() else None,
    )


class HttpServerResponse(ServerResponse):
    """Response that is read from an open connection."""

    def __init__(self, response: aiohttp.ClientResponse, peer: str) -> None:
        self.response = response
        self.peer = peer
        self.head = decode_head(response)

    async def body(self) -> bytes:
        """Read the complete body."""
        try:
            return await self.response.read()
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise StepError("server.body", self.peer, describe_error(error)) from error

    async def decode_events(self) -> AsyncIterator[tuple[StreamEvent, bytes]]:
        """Iterate over the decoded events, each with its bytes."""
        decoder = EventDecoder("server.stream", self.peer)
        try:
            async for chunk in self.response.content.iter_any():
                for event in decoder.feed(chunk):
                    yield event
        except (aiohttp.ClientError, OSError) as error:
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


class HttpServerClient(ServerClient):
    """Client of backend servers over persistent connections.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Owned by the caller; must not add default headers.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def open(
        self, server: ServerAddress, request: ServerRequest
    ) -> Result[ServerResponse, StepError]:
        """Send a request and return its response.

        A response with the id of another request is an error and closes the
        connection.
        """
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        try:
            response = await self.session.request(
                request.method,
                URL(f"http://{server.address}{request.target}", encoded=True),
                headers=self.build_headers(server, request),
                data=request.body or None,
                timeout=timeout,
                allow_redirects=False,
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            may_have_run = not isinstance(error, NOT_SENT_ERRORS)
            return Err(
                StepError(
                    "server.open", server.name, describe_error(error), may_have_run
                )
            )
        echoed = response.headers.get(wire_names.REQUEST_ID)
        head = decode_head(response)
        if echoed != request.request_id and not (head.not_run and echoed is None):
            response.close()
            return Err(
                StepError(
                    "server.open",
                    server.name,
                    f"response to request {echoed} instead of {request.request_id}",
                )
            )
        return Ok(HttpServerResponse(response, server.name))

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
        status, body = response.ok_value
        if status != 200:
            return Err(StepError("server.report", server.name, f"HTTP status {status}"))
        try:
            report = msgspec.json.decode(body, type=WireReport)
        except msgspec.MsgspecError as error:
            return Err(StepError("server.report", server.name, str(error)))
        models = tuple(ModelVersion(m.Name, m.Version) for m in report.Models)
        return Ok(ServerReport(report.Busy, report.Sequence, models))

    async def send_order(
        self, server: ServerAddress, order: VersionOrder
    ) -> Result[int, StepError]:
        """Send an order and return the status of the response."""
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
        return response if isinstance(response, Err) else Ok(response.ok_value[0])

    async def send_control_request(
        self,
        step: str,
        server: ServerAddress,
        method: str,
        path: str,
        data: bytes | None = None,
    ) -> Result[tuple[int, bytes], StepError]:
        """Send a control request to one incarnation and return status and body."""
        headers = {wire_names.EXPECT_INSTANCE: server.name}
        if data is not None:
            headers["Content-Type"] = "application/json"
        try:
            async with self.session.request(
                method,
                f"http://{server.address}{path}",
                headers=headers,
                data=data,
                timeout=aiohttp.ClientTimeout(
                    total=CONTROL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
                ),
            ) as response:
                return Ok((response.status, await response.read()))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            may_have_run = not isinstance(error, NOT_SENT_ERRORS)
            return Err(
                StepError(step, server.name, describe_error(error), may_have_run)
            )

    async def is_reachable(self, server: ServerAddress) -> bool:
        """Return whether the server accepts a connection."""
        host, port = server.address.rsplit(":", 1)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True
