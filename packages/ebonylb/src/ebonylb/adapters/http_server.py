"""HTTP server whose errors do not repeat what callers sent."""

import logging
import math
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler

logger = logging.getLogger(__name__)


class CallerHttpRequest(web.BaseRequest):
    """Request whose body is forgotten once it is answered."""

    def forget_body(self) -> None:
        """Drop what was read of the body, and what has arrived of the rest."""
        self._read_bytes = None
        if self.content.exception() is None:
            self.content.read_nowait()


class DiscreetRequestHandler(RequestHandler):
    """Connection whose parser errors name the kind of error only.

    The errors of aiohttp quote up to 100 bytes of a malformed or oversized header, in
    the response and in the log. The header may be the one with a secret key.
    """

    __slots__ = ("body", "head_bytes")

    def __init__(self, manager: "DiscreetServer", **options: Any) -> None:
        super().__init__(manager, **options)
        self.body: StreamReader | None = None
        self.head_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, and count what belongs to no complete head yet."""
        request_count = self._request_count
        is_head = self.body is None or self.body.is_eof()
        super().data_received(data)
        if self._request_count != request_count:
            self.body = self._messages[-1][1]
            self.count_head(0)
        elif is_head:
            self.count_head(self.head_bytes + len(data))

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response, and forget the body of the request and its own.

        The connection refers to both until its next request.
        """
        sent = await super().finish_response(request, resp, start_time)
        if isinstance(request, CallerHttpRequest):
            request.forget_body()
        if isinstance(resp, web.Response):
            resp.body = None
        return sent

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the connection."""
        self.count_head(0)
        super().connection_lost(exc)

    def count_head(self, size: int) -> None:
        """Count another number of bytes of a head that is incomplete."""
        if size != self.head_bytes and self._manager is not None:
            self.head_bytes, change = size, size - self.head_bytes
            self._manager.heads.count(self, change)

    def abort(self) -> None:
        """Close the connection at once, without an answer."""
        if self.transport is not None:
            self.transport.abort()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Respond to a request that caused an error, and close the connection."""
        if isinstance(exc, HttpProcessingError) and self._manager.hides_content():
            kind = type(exc).__name__
            logger.info("malformed request", extra={"status": status, "error": kind})
            response = web.Response(status=status, text=f"malformed request: {kind}")
            response.force_close()
            return response
        return super().handle_error(request, status, exc, message)


class IncompleteHeads:
    """Bounds what connections have sent of heads that are incomplete.

    Above the bound, the connections are closed that sent the first bytes of such a head
    before all others.

    Parameters
    ----------
    limit_bytes : float
        Bytes of all of them together.
    """

    def __init__(self, limit_bytes: float = math.inf) -> None:
        self.limit_bytes = limit_bytes
        self.total = 0
        self.connections: dict[DiscreetRequestHandler, None] = {}

    def count(self, connection: DiscreetRequestHandler, change: int) -> None:
        """Count bytes of a connection, whose own number has changed already."""
        self.total += change
        if connection.head_bytes:
            self.connections.setdefault(connection)
        else:
            self.connections.pop(connection, None)
        while self.total > self.limit_bytes:
            oldest = next(iter(self.connections))
            logger.warning(
                "connection closed whose head is incomplete",
                extra={"head_bytes": oldest.head_bytes, "all_bytes": self.total},
            )
            oldest.abort()
            oldest.count_head(0)


class DiscreetServer(web.Server):
    """Server of `DiscreetRequestHandler` connections.

    Parameters
    ----------
    handler : callable
        Responds to requests.
    hides_content : callable
        Returns whether requests may contain secrets now.
    heads : IncompleteHeads
        Counts what all servers of the process receive of heads.
    options : dict
        Further options of `web.Server`.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        hides_content: Callable[[], bool],
        heads: IncompleteHeads,
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self.hides_content = hides_content
        self.heads = heads

    def __call__(self) -> RequestHandler:
        """Return the handler of a new connection."""
        return DiscreetRequestHandler(self, loop=self._loop, **self._kwargs)
