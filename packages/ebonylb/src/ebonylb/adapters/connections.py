"""Connections of the HTTP clients that never mistake one response for another.

The connections of aiohttp are more lenient in six cases. A response without a length
ends with its connection, and a connection that is reset also ends it. Bytes that arrive
while a connection is idle are taken as the response to the next request. The response
to another request is taken as that to the current one. Interim responses, and what
frames a body, may come without end. Bytes that frame no body close the connection, but
the body's reader goes on waiting. Heads that are none by the grammar are accepted.
"""

import asyncio
import contextlib
import functools
from collections import deque
from collections.abc import Iterator

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception
from aiohttp.http import RawResponseMessage
from aiohttp.tracing import Trace

from ..interfaces.server_client import ServerActivity
from .response_heads import FIRST_FINAL_STATUS, HeadCheck, MalformedHeadError

# Bytes that a connection accepts without a byte of a body: the head of a response with
# its interim responses, or chunk extensions and trailers.
MAX_BYTES_WITHOUT_BODY = 65_536
# A second copy of a response comes before the response to the next request on its
# connection. The others are a margin.
REMEMBERED_REQUESTS = 16


class StrictConnection(ResponseHandler):
    """Connection that never uses a broken response, or one that nobody asked for.

    Parameters
    ----------
    activity : ServerActivity
        Records when bytes arrive.
    id_header : str
        Header that identifies the request of a response; empty if none does.

    Attributes
    ----------
    bytes_without_body : int
        Number of bytes received since the last byte of a body.
    head_check : HeadCheck
        Check of the head of the current response.
    recent_ids : deque of (str or None)
        Ids of the last requests on this connection; None for one without an id.
    """

    bytes_without_body = 0

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        activity: ServerActivity,
        id_header: str = "",
    ) -> None:
        super().__init__(loop)
        self.activity = activity
        self.id_header = id_header
        self.head_check = HeadCheck()
        self.recent_ids: deque[str | None] = deque(maxlen=REMEMBERED_REQUESTS)

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

    def feed_data(
        self, data: tuple[RawResponseMessage, aiohttp.StreamReader], size: int = 0
    ) -> None:
        """Pass a response on to its reader, or abort the connection.

        The response to another request says nothing of the current one, which its
        server may be running. Only the end of the connection ends that run: the
        response may have arrived whole, and the connection would be idle again.
        """
        if self.id_header and self.exception() is None:
            message, _ = data
            received_id = message.headers.get(self.id_header)
            if (
                message.code >= FIRST_FINAL_STATUS
                and received_id != self.recent_ids[-1]
            ):
                cause = (
                    f"response to request {received_id} instead of "
                    f"{self.recent_ids[-1] or 'one without an id'}"
                )
                self.fail(aiohttp.ClientPayloadError(cause))
        if self.exception() is None:
            super().feed_data(data, size)

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

    Parameters
    ----------
    id_header : str
        Header with the id of a request, which servers repeat in the response. Two
        requests with one id, or without an id, are not sent on one connection soon
        after each other: a late copy of the first response would be taken as the
        second one. Empty if the servers of this connector send no copies.

    Attributes
    ----------
    activity : ServerActivity
        Time of the last byte on any connection.
    """

    def __init__(self, id_header: str = "", **options: object) -> None:
        super().__init__(**options)
        self.id_header = id_header
        self.activity = ServerActivity()
        self._factory = functools.partial(
            StrictConnection, asyncio.get_running_loop(), self.activity, id_header
        )

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Return a connection, kept or new, that may carry a request."""
        if not self.id_header:
            return await super().connect(req, traces, timeout)
        request_id = req.headers.get(self.id_header)
        with self.hide_carriers(req.connection_key, request_id):
            connection = await super().connect(req, traces, timeout)
        connection.protocol.recent_ids.append(request_id)
        return connection

    @contextlib.contextmanager
    def hide_carriers(
        self, key: aiohttp.client_reqrep.ConnectionKey, request_id: str | None
    ) -> Iterator[None]:
        """Take idle connections that have carried an id out of the pool for a while.

        They return with the times of their last use, since servers close connections
        that are idle too long.
        """
        idle = self._conns.get(key, ())
        hidden = [entry for entry in idle if request_id in entry[0].recent_ids]
        for entry in hidden:
            idle.remove(entry)
        try:
            yield
        finally:
            if self.closed:
                for connection, _ in hidden:
                    connection.close()
            elif hidden:
                self._conns[key].extendleft(reversed(hidden))
