"""Connections of the HTTP clients that never mistake one response for another.

The connections of aiohttp are more lenient in five cases. A response without a length
ends with its connection, and a connection that is reset also ends it. Bytes that arrive
while a connection is idle are taken as the response to the next request. Interim
responses, and what frames a body, may come without end. Bytes that frame no body close
the connection, but the body's reader goes on waiting. Heads that are none by the
grammar are accepted.
"""

import asyncio
import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception

from ..interfaces.server_client import ServerActivity
from .response_heads import HeadCheck, MalformedHeadError

# Bytes that a connection accepts without a byte of a body: the head of a response with
# its interim responses, or chunk extensions and trailers.
MAX_BYTES_WITHOUT_BODY = 65_536


class StrictConnection(ResponseHandler):
    """Connection that never uses a broken response, or one that nobody asked for.

    Parameters
    ----------
    activity : ServerActivity
        Records when bytes arrive.

    Attributes
    ----------
    bytes_without_body : int
        Number of bytes received since the last byte of a body.
    head_check : HeadCheck
        Check of the head of the current response.
    """

    bytes_without_body = 0

    def __init__(
        self, loop: asyncio.AbstractEventLoop, activity: ServerActivity
    ) -> None:
        super().__init__(loop)
        self.activity = activity
        self.head_check = HeadCheck()

    def set_response_params(self, **options: object) -> None:
        """Prepare for the response to the next request."""
        self.bytes_without_body = 0
        self.head_check = HeadCheck()
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and abort the connection if they are no response."""
        self.activity.last_received_ms = self._loop.time() * 1000
        try:
            self.head_check.feed(data)
        except MalformedHeadError as error:
            self.fail(aiohttp.ClientPayloadError(str(error)))
            return
        body, body_bytes = self.read_progress()
        super().data_received(data)
        error = self.exception()
        if error is not None:
            self.fail_body(body, "malformed body", error)
        if self.read_progress() != (body, body_bytes):
            self.bytes_without_body = 0
            return
        self.bytes_without_body += len(data)
        if self.bytes_without_body <= MAX_BYTES_WITHOUT_BODY:
            return
        error = aiohttp.ClientPayloadError("response without an end")
        if self._payload is not None and not self._payload.is_eof():
            set_exception(self._payload, error)
        self.fail(error)

    def fail(self, error: aiohttp.ClientError) -> None:
        """End the wait for a response with an error, and abort the connection."""
        transport = self.transport
        self.set_exception(error)
        if transport is not None:
            transport.abort()

    def read_progress(self) -> tuple[object, int]:
        """Return the body that is being received and its number of bytes so far."""
        body = self._payload
        return body, getattr(body, "total_bytes", 0)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an unfinished body if the connection was not closed in order."""
        if exc is not None:
            self.fail_body(self._payload, "connection lost in the body", exc)
        super().connection_lost(exc)

    def fail_body(
        self, body: aiohttp.StreamReader | None, message: str, cause: BaseException
    ) -> None:
        """End the wait of a body's reader with an error, unless the body is whole."""
        if body is not None and not body.is_eof() and body.exception() is None:
            error = aiohttp.ClientPayloadError(f"{message}: {cause}")
            set_exception(body, error, cause)

    def is_connected(self) -> bool:
        """Return whether the connection may be used for a next request.

        That is not the case once bytes have arrived that no request asked for.
        """
        return super().is_connected() and not self.should_close


async def accepts_connection(address: str, timeout_s: float) -> bool:
    """Return whether a server at ``ip:port`` accepts a connection in time."""
    try:
        host, port = address.rsplit(":", 1)
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError, ValueError, OverflowError):
        return False
    writer.close()
    return True


class StrictConnector(aiohttp.TCPConnector):
    """Connector that opens `StrictConnection` objects.

    It accepts the parameters of `aiohttp.TCPConnector` and must be created in a
    running event loop.

    Attributes
    ----------
    activity : ServerActivity
        Time of the last byte on any connection.
    """

    def __init__(self, **options: object) -> None:
        super().__init__(**options)
        self.activity = ServerActivity()
        self._factory = functools.partial(
            StrictConnection, asyncio.get_running_loop(), self.activity
        )
