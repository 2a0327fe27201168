"""HTTP server whose errors do not repeat what callers sent."""

import logging
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
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

    __slots__ = ()

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


class DiscreetServer(web.Server):
    """Server of `DiscreetRequestHandler` connections.

    Parameters
    ----------
    handler : callable
        Responds to requests.
    hides_content : callable
        Returns whether requests may contain secrets now.
    options : dict
        Further options of `web.Server`.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        hides_content: Callable[[], bool],
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self.hides_content = hides_content

    def __call__(self) -> RequestHandler:
        """Return the handler of a new connection."""
        return DiscreetRequestHandler(self, loop=self._loop, **self._kwargs)
