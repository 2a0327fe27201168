"""Composition of an entry VM on the users' platform."""

import asyncio
import contextlib
import logging
import signal
from collections.abc import Callable, Coroutine
from typing import Any

import aiohttp
from aiohttp import web
from result import Result

from ..adapters.clock import SystemClock
from ..adapters.metrics_page import PageMetrics
from ..edges.row_store import StoredRow
from ..fleet.selector import Locality
from ..outcomes import new_token
from ..platform import names
from ..platform.ingress import MOST_HEADER_BYTES, Ingress, make_request
from ..platform.listing import (
    decode_configuration,
    decode_named_version,
    decode_server,
    is_configuration,
    is_named_version,
)
from ..platform.servers import HttpServerPort
from ..platform.sockets import silence_aware_socket
from ..platform.store import PlatformRowStore
from ..storage.feed_pause import MAX_LISTING_PAUSE_MS, MIN_FEED_PAUSE_MS
from ..tasks import cancel_and_wait
from ..telemetry.bounded_logs import BoundedLineHandler
from .duties import Identity, Outside, SiteDuties
from .metrics_page import MetricsPage
from .operator_table import OperatorReader, ServerReader
from .readiness import Readiness
from .reload import SettingsReload
from .site_settings import SiteSettings
from .uploads import Uploads

logger = logging.getLogger(__name__)

ReadSettings = Callable[[], Result[SiteSettings, str]]

# Below the idle time of 10 s after which backend servers close a connection.
KEPT_CONNECTION_S = 8.0
# Above the longest idle time after which callers still reuse a connection.
CALLER_IDLE_S = 60.0
# After SIGTERM the balancer needs two of its checks, one a second, to stop sending.
BALANCER_GRACE_MS = 2_600
# Before SIGKILL, so that the process ends by itself. A request may only be cut off in
# the last sixth of the grace (8 s today).
EXIT_MARGIN_MS = 1_300
# Share of the grace for bodies that are still arriving; the rest is enough to end the
# process on a busy machine.
UPLOAD_SHARE = 0.6
# Requests still in progress then get this long; the library's own default is a minute.
LAST_REQUESTS_S = 0.3


def decode_operator_row(row: StoredRow) -> object | None:
    """Return what a row of the operator's table says."""
    if is_configuration(row):
        return decode_configuration(row.value)
    if is_named_version(row):
        return decode_named_version(row)
    return None


class SiteService:
    """One entry VM on the users' platform.

    Parameters
    ----------
    settings : SiteSettings
        Identity and addresses.
    read_settings : callable
        Reads the settings again.
    """

    def __init__(self, settings: SiteSettings, read_settings: ReadSettings) -> None:
        self.settings = settings
        self.read_settings = read_settings
        self.clock = SystemClock()
        self.incarnation = new_token()[:16]
        self.metrics = PageMetrics()
        self.stop_requested = asyncio.Event()
        self.resources = contextlib.AsyncExitStack()
        self.tasks: list[asyncio.Task[None]] = []
        self.log_handler: BoundedLineHandler | None = None

    async def start(self) -> None:
        """Build everything, listen, and begin to follow the store."""
        store_session = await self.open_session()
        server_session = await self.open_session()
        self.store = PlatformRowStore(store_session, self.settings.store_address)
        self.port = HttpServerPort(server_session)
        place = Locality(
            self.settings.failure_domain, self.settings.region, self.settings.regions
        )
        self.duties = SiteDuties(
            Identity(self.settings.name, self.incarnation, place),
            Outside(self.store, self.port, self.clock, self.metrics),
            self.settings.bounds,
            self.settings.row_bytes,
        )
        self.readiness = Readiness(self.duties.routes, self.clock)
        self.uploads = Uploads()
        self.reload = SettingsReload(
            self.settings, self.read_settings, self.take_settings, self.clock
        )
        for work in (*self.follow_platform(), *self.duties.work(), self.reload.run()):
            self.tasks.append(asyncio.create_task(work))
        await self.listen()
        logger.info(
            "entry VM started",
            extra={
                "incarnation": self.incarnation,
                "failure_domain": self.settings.failure_domain,
                "region": self.settings.region,
            },
        )

    async def open_session(self) -> aiohttp.ClientSession:
        """Open a session for outgoing requests."""
        connector = aiohttp.TCPConnector(
            limit=0,
            keepalive_timeout=KEPT_CONNECTION_S,
            socket_factory=silence_aware_socket,
            use_dns_cache=False,
        )
        session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            skip_auto_headers=(
                "User-Agent",
                "Accept",
                "Accept-Encoding",
                "Content-Type",
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            raise_for_status=False,
        )
        # The library sends idempotent methods again by itself when a kept connection
        # was closed. Whether a request may run again is decided by its route only.
        session._retry_connection = False
        return await self.resources.enter_async_context(session)

    def follow_platform(self) -> list[Coroutine[Any, Any, None]]:
        """Follow what the operator, trainers and servers write.

        Returns the work of the followers, which the readiness depends on.
        """
        duties = self.duties
        operator = OperatorReader(
            decode_operator_row, duties.routes, duties.orders.set_target_version
        )
        servers = ServerReader(decode_server, duties.directory)
        followers = [
            duties.follower(names.OPERATOR_TABLE, operator, MIN_FEED_PAUSE_MS),
            duties.follower(names.SERVERS_TABLE, servers, MAX_LISTING_PAUSE_MS),
        ]
        self.readiness.followers = [*followers, duties.board_follower]
        return [follower.run() for follower in followers]

    def take_settings(self, settings: SiteSettings) -> None:
        """Take over settings that changed while the process runs."""
        self.settings = settings
        self.store.move_to(settings.store_address)

    def sample(self) -> dict[str, float]:
        """Return the gauges of the metrics page."""
        duties = self.duties
        unfinished = (
            holder.batch.header.total - holder.progress.listed
            for holder in duties.custody.holders.values()
        )
        return {
            "requests.in_progress": self.readiness.in_progress,
            "configuration.version": duties.routes.version,
            "batches.held": len(duties.custody.holders),
            "batches.unfinished_items": sum(unfinished),
            "batches.items_waiting": len(duties.placement.waiters),
            "servers.listed": len(duties.directory.servers),
            "store.calls": self.store.calls,
            "store.lost": float(not self.readiness.is_store_current()),
            "logs.dropped": self.log_handler.dropped_count if self.log_handler else 0,
        }

    async def listen(self) -> None:
        """Listen for callers and for the balancer."""
        ingress = Ingress(
            self.duties.forwarder,
            self.duties.batches,
            self.readiness,
            self.clock,
            self.uploads,
        )
        page = MetricsPage(self.metrics, self.sample)
        for handler, address in (
            (ingress.handle, self.settings.caller_address),
            (ingress.handle_ready, self.settings.ready_address),
            (page.handle, self.settings.metrics_address),
        ):
            if not address:
                continue
            server = web.Server(
                handler,
                request_factory=make_request,
                handler_cancellation=True,
                keepalive_timeout=CALLER_IDLE_S,
                access_log=None,
                auto_decompress=False,
                max_line_size=MOST_HEADER_BYTES,
                max_field_size=MOST_HEADER_BYTES,
            )
            runner = web.ServerRunner(server, shutdown_timeout=LAST_REQUESTS_S)
            await runner.setup()
            self.resources.push_async_callback(runner.cleanup)
            host, port = address.rsplit(":", 1)
            await web.TCPSite(runner, host, int(port), backlog=512).start()

    async def shutdown(self) -> None:
        """Leave: refuse connections, give batches up, finish requests."""
        began = self.clock.monotonic_ms()
        logger.info(
            "entry VM leaving", extra={"in_progress": self.readiness.in_progress}
        )
        self.readiness.leaving = True
        self.duties.orders.leaving = True
        limit = self.settings.bounds.grace_ms - EXIT_MARGIN_MS
        try:
            async with asyncio.timeout(limit / 1000):
                await self.duties.custody.leave()
                passed = self.clock.monotonic_ms() - began
                await self.clock.sleep_ms(max(0, BALANCER_GRACE_MS - passed))
                uploads_end = began + self.settings.bounds.grace_ms * UPLOAD_SHARE
                while self.readiness.in_progress:
                    if (
                        not self.uploads.ended
                        and self.clock.monotonic_ms() > uploads_end
                    ):
                        count = self.uploads.end()
                        logger.info("late bodies refused", extra={"count": count})
                    await self.clock.sleep_ms(20)
        except TimeoutError:
            logger.warning(
                "left with requests in progress",
                extra={"in_progress": self.readiness.in_progress},
            )

    async def close(self) -> None:
        """Stop all tasks and close all connections."""
        await cancel_and_wait(self.tasks)
        await self.resources.aclose()
        logger.info("entry VM stopped")


async def run_site(
    settings: SiteSettings,
    read_settings: ReadSettings,
    log_handler: BoundedLineHandler | None = None,
) -> None:
    """Run an entry VM until SIGTERM or SIGINT."""
    service = SiteService(settings, read_settings)
    service.log_handler = log_handler
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, service.stop_requested.set)
    try:
        await service.start()
        loop.add_signal_handler(signal.SIGHUP, service.reload.signalled.set)
        await service.stop_requested.wait()
        await service.shutdown()
    finally:
        await service.close()
