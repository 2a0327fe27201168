"""Requests between entry VMs over HTTP.

The request is one msgpack value in the body of a POST. The response is a sequence of
frames, each with its length in four bytes: first the head as a msgpack value, then the
body, or each event of a stream, and at last an empty frame. Without that frame the
response broke off.

Values of fields may hold bytes that are no UTF-8, which a msgpack text cannot hold.
Such a byte is sent as a character of the last plane of Unicode; those characters
themselves are sent as their bytes.
"""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from typing import TypeVar

import aiohttp
import msgspec
from aiohttp import web
from result import Err, Ok, Result

from ..interfaces.relay import RelayClient, RelayedRequest
from ..interfaces.server_client import (
    ResponseHead,
    ServerAddress,
    ServerResponse,
    StreamEvent,
)
from ..outcomes import DECODING_ERRORS, StepError
from ..relay.receiver import RelayedAnswer
from ..service.held_bytes import HeldBytes
from ..service.incoming_bodies import LARGE_BYTES, IncomingBody
from .connections import accepts_connection
from .http import NOT_SENT_ERRORS, TRANSPORT_ERRORS, describe_error
from .response_heads import check_decoded_head

RelayedMessage = TypeVar("RelayedMessage", RelayedRequest, ResponseHead)

RELAY_PATH = "/relay"
# An entry VM accepts a connection within about 30 ms, also in other regions.
CONNECT_TIMEOUT_S = 0.2
LENGTH_BYTES = 4
MAX_HEAD_BYTES = 1_048_576
# A body of the largest size, and an event of any size that a server may send.
MAX_FRAME_BYTES = 33_554_432

# Python's `surrogateescape` decodes a byte that is no UTF-8 to this plus the byte.
SURROGATE_OFFSET = 0xDC00
SENT_OFFSET = 0x10FF00
ESCAPED_BYTES = range(0x80, 0x100)
ESCAPES = {SURROGATE_OFFSET + byte: SENT_OFFSET + byte for byte in ESCAPED_BYTES} | {
    SENT_OFFSET + byte: "".join(
        chr(SENT_OFFSET + part) for part in chr(SENT_OFFSET + byte).encode()
    )
    for byte in ESCAPED_BYTES
}
SURROGATES = {SENT_OFFSET + byte: SURROGATE_OFFSET + byte for byte in ESCAPED_BYTES}

encoder = msgspec.msgpack.Encoder()
request_decoder = msgspec.msgpack.Decoder(RelayedRequest)
head_decoder = msgspec.msgpack.Decoder(ResponseHead)


def escape(value: str) -> str:
    """Return a value of a field as text without surrogates."""
    return value.translate(ESCAPES)


def unescape(value: str) -> str:
    """Return the value that `escape` got."""
    data = value.translate(SURROGATES).encode("utf-8", "surrogateescape")
    return data.decode("utf-8", "surrogateescape")


def change_values(
    message: RelayedMessage, change: Callable[[str], str]
) -> RelayedMessage:
    """Return a message whose values beyond ASCII are changed."""
    if all(value.isascii() for _, value in message.headers):
        return message
    headers = tuple((name, change(value)) for name, value in message.headers)
    return replace(message, headers=headers)


def encode(message: RelayedRequest | ResponseHead) -> bytes:
    """Return the bytes of a message."""
    return encoder.encode(change_values(message, escape))


def make_frame(data: bytes) -> bytes:
    """Return data with its length."""
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class RelayResponse(ServerResponse):
    """Response of another entry VM that is still being received."""

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        peer: str,
        head: ResponseHead,
        first_event: int,
        held: HeldBytes | None,
    ) -> None:
        self.response = response
        self.peer = peer
        self.head = head
        self.first_event = first_event
        self.held = held

    async def read_frame(self, incoming: IncomingBody | None) -> bytes:
        """Return the next frame; raise `StepError` if the response broke off."""
        wait = incoming.wait_to_read_on if incoming else None
        try:
            return await read_frame(self.response, MAX_FRAME_BYTES, wait)
        except TRANSPORT_ERRORS as error:
            raise StepError("relay.read", self.peer, describe_error(error)) from error

    def receive(self) -> contextlib.AbstractContextManager[IncomingBody | None]:
        """Count what is received; None if it is not bounded."""
        if self.held is None:
            return contextlib.nullcontext()
        length = self.response.content_length
        return self.held.receive(self.close, math.inf if length is None else length)

    async def body(self) -> bytes:
        """Read the complete body, which is one frame or none."""
        with self.receive() as incoming:
            data = await self.read_frame(incoming)
            if data and await self.read_frame(None):
                raise StepError("relay.read", self.peer, "body of several frames")
            return data

    async def raw_events(self) -> AsyncIterator[tuple[int, bytes]]:
        """Iterate over complete events as (number, bytes as sent)."""
        number = self.first_event
        with self.receive() as incoming:
            while block := await self.read_frame(incoming):
                yield number, block
                number += 1

    def events(self) -> AsyncIterator[StreamEvent]:
        """Items of batches are not relayed, so that nobody decodes these events."""
        raise NotImplementedError

    def close(self) -> None:
        """Close the connection unless the response was read to its end."""
        if not self.response.closed:
            self.response.close()


async def read_frame(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    wait_to_read_on: Callable[[int], Awaitable[None]] | None = None,
) -> bytes:
    """Return one frame; raise `ValueError` if it is too large or incomplete.

    Parameters
    ----------
    wait_to_read_on : callable or None
        Called with the number of bytes read so far, before more are read.
    """
    try:
        length = int.from_bytes(await response.content.readexactly(LENGTH_BYTES), "big")
    except asyncio.IncompleteReadError as error:
        raise ValueError("the response broke off") from error
    if length > max_bytes:
        raise ValueError(f"frame of {length} bytes")
    chunks, size = [], 0
    while size < length:
        chunk = await response.content.read(length - size)
        if not chunk:
            raise ValueError("the response broke off")
        chunks.append(chunk)
        size += len(chunk)
        if wait_to_read_on is not None:
            await wait_to_read_on(size)
    return b"".join(chunks)


class HttpRelayClient(RelayClient):
    """Client of other entry VMs over persistent connections.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Owned by the caller; must be traced like that of `HttpServerClient`.
    held : HeldBytes or None
        Bounds the bodies that are held; None for no bound.
    """

    def __init__(
        self, session: aiohttp.ClientSession, held: HeldBytes | None = None
    ) -> None:
        self.session = session
        self.held = held

    async def open(
        self, entry_vm: ServerAddress, request: RelayedRequest
    ) -> Result[ServerResponse, StepError]:
        """Pass a request on and return the response once its head has arrived."""
        try:
            response = await self.session.post(
                f"http://{entry_vm.address}{RELAY_PATH}",
                data=encode(request),
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=CONNECT_TIMEOUT_S
                ),
                trace_request_ctx=request.progress,
            )
            head = await self.read_head(response)
        except TRANSPORT_ERRORS as error:
            may_have_run = not isinstance(error, NOT_SENT_ERRORS)
            cause = describe_error(error)
            return Err(StepError("relay.open", entry_vm.name, cause, may_have_run))
        first_event = (request.resume_after or 0) + 1
        return Ok(RelayResponse(response, entry_vm.name, head, first_event, self.held))

    async def is_reachable(self, entry_vm: ServerAddress) -> bool:
        """Return whether an entry VM accepts a connection."""
        return await accepts_connection(entry_vm.address, CONNECT_TIMEOUT_S)

    async def read_head(self, response: aiohttp.ClientResponse) -> ResponseHead:
        """Return the head; otherwise close the response and raise `ValueError`."""
        try:
            if response.status != 200:
                raise ValueError(f"HTTP status {response.status}")
            head = head_decoder.decode(await read_frame(response, MAX_HEAD_BYTES))
            head = change_values(head, unescape)
            check_decoded_head(head.status, head.headers)
            return head
        except DECODING_ERRORS as error:
            response.close()
            raise ValueError(f"malformed head: {error}") from error
        except BaseException:
            response.close()
            raise


class RelayHandler:
    """Handler of requests from other entry VMs.

    Parameters
    ----------
    serve : callable
        Runs a request and returns its answer.
    held : HeldBytes or None
        Bounds the bodies that are held; None for no bound.
    """

    def __init__(
        self,
        serve: Callable[[RelayedRequest], Awaitable[RelayedAnswer]],
        held: HeldBytes | None = None,
    ) -> None:
        self.serve = serve
        self.held = held

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond to one request."""
        if request.path != RELAY_PATH or request.method != "POST":
            return web.Response(status=404)
        try:
            decoded = request_decoder.decode(await request.read())
        except DECODING_ERRORS as error:
            return web.Response(status=400, text=str(error))
        answer = await self.serve(change_values(decoded, unescape))
        if answer.chunks is not None:
            return await self.send_stream(request, answer)
        return await self.send_answer(request, answer)

    async def send_answer(
        self, request: web.BaseRequest, answer: RelayedAnswer
    ) -> web.StreamResponse:
        """Send a plain answer; a large body is held once, until it is taken."""
        head, end = make_frame(encode(answer.head)), make_frame(b"")
        size = len(answer.body).to_bytes(LENGTH_BYTES, "big") if answer.body else b""
        if len(answer.body) < LARGE_BYTES:
            return web.Response(body=b"".join((head, size, answer.body, end)))
        response = web.StreamResponse()
        response.content_length = len(head + size + end) + len(answer.body)
        body = memoryview(answer.body)
        with self.held.hold(len(body)) if self.held else contextlib.nullcontext():
            await response.prepare(request)
            await response.write(head + size)
            for start in range(0, len(body), LARGE_BYTES):
                await response.write(body[start : start + LARGE_BYTES])
            await response.write(end)
            await response.write_eof()
        return response

    async def send_stream(
        self, request: web.BaseRequest, answer: RelayedAnswer
    ) -> web.StreamResponse:
        """Send the events of a stream; a broken one ends without its last frame."""
        assert answer.chunks is not None
        response = web.StreamResponse()
        response.enable_chunked_encoding()
        try:
            await response.prepare(request)
            await response.write(make_frame(encode(answer.head)))
            async for chunk in answer.chunks:
                await response.write(make_frame(chunk))
        except StepError as error:
            if request.transport is not None:
                request.transport.abort()
            raise asyncio.CancelledError from error
        finally:
            await answer.chunks.aclose()
            answer.abandon()
        await response.write(make_frame(b""))
        await response.write_eof()
        return response
