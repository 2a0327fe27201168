"""HTTP server with TLS and a timeout for slow request headers."""

import asyncio
import ssl
from contextlib import AsyncExitStack

from aiohttp import web
from aiohttp.typedefs import Handler

from ..settings import Limits, Tls
from .admission import Admission
from .http_messages import BODY_TIMEOUT_MS

SWEEP_INTERVAL_S = 0.5
CLOSE_TIMEOUT_S = 1.0  # connections still open after a shutdown carry no request


class HttpServer:
    """Serves the routes on one address.

    Parameters
    ----------
    address : str
        ``ip:port``; port 0 picks a free one, see `bound_address`.
    routes : list of aiohttp.web.AbstractRouteDef
        Routes of all interfaces.
    admission : Admission
        Middleware that admits or refuses requests for work.
    limits : Limits
        Maximum body size and header timeout.
    tls : Tls or None
        Certificate and private key; None serves plain HTTP.

    Attributes
    ----------
    bound_address : str
        ``ip:port`` on which the server listens.
    """

    def __init__(
        self,
        address: str,
        routes: list[web.RouteDef],
        admission: Admission,
        limits: Limits,
        tls: Tls | None,
    ) -> None:
        self.address = address
        self.routes = routes
        self.admission = admission
        self.limits = limits
        self.tls = tls
        self.connections_with_header: set[object] = set()
        self.stack = AsyncExitStack()
        self.bound_address = address

    async def start(self) -> None:
        """Listen on the address and start to close slow connections."""
        application = web.Application(
            middlewares=[self.record_connection, self.admission.middleware],
            client_max_size=self.limits.body_bytes,
        )
        application[BODY_TIMEOUT_MS] = float(self.limits.header_timeout_ms)
        application.add_routes(self.routes)
        self.runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=CLOSE_TIMEOUT_S,
        )
        await self.runner.setup()
        self.stack.push_async_callback(self.runner.cleanup)
        host, port = self.address.rsplit(":", 1)
        site = web.TCPSite(
            self.runner, host, int(port), ssl_context=tls_context(self.tls)
        )
        await site.start()
        bound_host, bound_port = self.runner.addresses[0][:2]
        self.bound_address = f"{bound_host}:{bound_port}"
        sweeper = asyncio.create_task(self.close_slow_connections(), name="http-sweep")
        self.stack.callback(sweeper.cancel)

    async def close(self) -> None:
        """Stop listening and close idle connections."""
        await self.stack.aclose()

    @web.middleware
    async def record_connection(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Record that a connection has sent a complete request header."""
        self.connections_with_header.add(request.protocol)
        return await handler(request)

    async def close_slow_connections(self) -> None:
        """Close connections that do not send a complete request header in time."""
        first_seen_s: dict[object, float] = {}
        loop = asyncio.get_running_loop()
        timeout_s = self.limits.header_timeout_ms / 1000
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now_s = loop.time()
            open_connections = set(self.runner.server.connections)
            self.connections_with_header &= open_connections
            first_seen_s = {c: first_seen_s.get(c, now_s) for c in open_connections}
            for connection, opened_s in first_seen_s.items():
                if (
                    connection not in self.connections_with_header
                    and now_s - opened_s > timeout_s
                ):
                    connection.force_close()
                    if connection.transport is not None:
                        connection.transport.abort()


def tls_context(tls: Tls | None) -> ssl.SSLContext | None:
    """Build the server-side TLS context; return None for plain HTTP."""
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate, tls.private_key)
    return context
