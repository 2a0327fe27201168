"""Composition of an entry VM on the users' platform."""

import asyncio
import contextlib
import logging
import signal

import aiohttp
from aiohttp import web

from ..adapters.clock import SystemClock
from ..adapters.metrics import NullMetrics
from ..batches import (
    BatchBoard,
    BatchDuty,
    BatchRepository,
    ItemPlacement,
    ItemRunner,
)
from ..batches.rows import PROGRESS_TABLE
from ..edges.row_store import StoredRow
from ..fleet import ServerChoice, ServerDirectory
from ..fleet.choice import Place
from ..forwarding import Forwarder
from ..forwarding.strikes import TABLE as STRIKES_TABLE
from ..forwarding.strikes import CrashStrikes
from ..orders import OrderDuty, OrderLedger
from ..orders.ledger import TABLE as ORDERS_TABLE
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
from ..routes import RouteTable
from ..storage.follower import TableFollower, TableReader
from .operator_table import OperatorReader, ServerReader
from .readiness import Readiness
from .site_settings import SiteSettings

logger = logging.getLogger(__name__)

# Below the idle time of 10 s after which backend servers close a connection.
KEPT_CONNECTION_S = 8.0
# Above the longest idle time after which callers still reuse a connection.
CALLER_IDLE_S = 60.0
# After SIGTERM the balancer needs two of its checks, one a second, to stop sending.
BALANCER_GRACE_MS = 2_600
# Before SIGKILL, so that the process ends by itself.
EXIT_MARGIN_MS = 1_200
MISSING_CHECK_MS = 200


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
    """

    def __init__(self, settings: SiteSettings) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.incarnation = new_token()[:16]
        self.metrics = NullMetrics()
        self.stop_requested = asyncio.Event()
        self.resources = contextlib.AsyncExitStack()
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Build everything, listen, and begin to follow the store."""
        bounds = self.settings.bounds
        store_session = await self.open_session()
        server_session = await self.open_session()
        self.store = PlatformRowStore(store_session, self.settings.store_address)
        self.port = HttpServerPort(server_session)
        self.routes = RouteTable()
        self.directory = ServerDirectory(self.clock)
        place = Place(
            self.settings.failure_domain, self.settings.region, self.settings.regions
        )
        choice = ServerChoice(self.directory, self.clock, place)
        self.strikes = CrashStrikes(self.store, self.clock)
        self.forwarder = Forwarder(
            self.routes,
            self.directory,
            choice,
            self.port,
            self.strikes,
            self.clock,
            self.metrics,
        )
        self.ledger = OrderLedger(
            self.store,
            self.clock,
            self.settings.name,
            self.incarnation,
            bounds.lease_ms,
        )
        self.orders = OrderDuty(
            self.settings.name,
            self.routes,
            self.directory,
            self.ledger,
            self.port,
            self.clock,
            self.metrics,
        )
        self.readiness = Readiness(self.routes, self.clock)
        self.board = BatchBoard(self.clock)
        board_follower = self.follow(PROGRESS_TABLE, self.board)
        placement = ItemPlacement(self.directory, choice, self.clock)
        self.batches = BatchDuty(
            self.settings.name,
            self.incarnation,
            self.routes,
            self.board,
            board_follower,
            BatchRepository(self.store, self.settings.row_bytes),
            ItemRunner(placement, self.directory, self.port, self.clock, self.metrics),
            self.clock,
            self.metrics,
            bounds.result_retention_ms,
        )
        operator = OperatorReader(
            decode_operator_row, self.routes, self.orders.name_version
        )
        servers = ServerReader(decode_server, self.directory)
        self.readiness.followers = [
            self.follow(names.OPERATOR_TABLE, operator),
            self.follow(names.SERVERS_TABLE, servers),
            board_follower,
        ]
        self.follow(ORDERS_TABLE, self.ledger)
        self.follow(STRIKES_TABLE, self.strikes)
        for work in (self.orders.run(), self.batches.watch(), self.drop_missing()):
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

    def follow(self, table: str, reader: TableReader) -> TableFollower:
        """Start to follow a table."""
        follower = TableFollower(self.store, self.clock, table, reader)
        self.tasks.append(asyncio.create_task(follower.run()))
        return follower

    async def drop_missing(self) -> None:
        """Drop servers that did not return after an outage of the list."""
        while True:
            await self.clock.sleep_ms(MISSING_CHECK_MS)
            self.directory.drop_missing()

    async def listen(self) -> None:
        """Listen for callers and for the balancer."""
        ingress = Ingress(self.forwarder, self.batches, self.readiness, self.clock)
        for handler, address, idle_s in (
            (ingress.handle, self.settings.caller_address, CALLER_IDLE_S),
            (ingress.handle_ready, self.settings.ready_address, CALLER_IDLE_S),
        ):
            server = web.Server(
                handler,
                request_factory=make_request,
                handler_cancellation=True,
                keepalive_timeout=idle_s,
                access_log=None,
                auto_decompress=False,
                max_line_size=MOST_HEADER_BYTES,
                max_field_size=MOST_HEADER_BYTES,
            )
            runner = web.ServerRunner(server)
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
        self.orders.leaving = True
        limit = self.settings.bounds.grace_ms - EXIT_MARGIN_MS
        try:
            async with asyncio.timeout(limit / 1000):
                await self.batches.leave()
                passed = self.clock.monotonic_ms() - began
                await self.clock.sleep_ms(max(0, BALANCER_GRACE_MS - passed))
                while self.readiness.in_progress:
                    await self.clock.sleep_ms(20)
        except TimeoutError:
            logger.warning(
                "left with requests in progress",
                extra={"in_progress": self.readiness.in_progress},
            )

    async def close(self) -> None:
        """Stop all tasks and close all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.resources.aclose()
        logger.info("entry VM stopped")


async def run_site(settings: SiteSettings) -> None:
    """Run an entry VM until SIGTERM or SIGINT."""
    service = SiteService(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, service.stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, logger.info, "settings file changed")
    try:
        await service.start()
        await service.stop_requested.wait()
        await service.shutdown()
    finally:
        await service.close()
