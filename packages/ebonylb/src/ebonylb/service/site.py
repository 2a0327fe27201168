"""Composition of an entry VM on the users' platform."""

import asyncio
import contextlib
import functools
import gc
import logging
import signal
from collections.abc import Callable

import aiohttp
from aiohttp import web
from result import Result

from ..adapters.clock import SystemClock
from ..adapters.connections import StrictConnector
from ..adapters.http_server import DiscreetServer, IncompleteHeads
from ..adapters.memory_metrics import InMemoryMetrics
from ..adapters.origin_http import HttpOriginClient, OriginHandler
from ..adapters.relay_http import HttpRelayClient, RelayHandler
from ..customers import KeyChanges
from ..fleet.selector import Locality
from ..interfaces.row_store import StoredRow
from ..outcomes import new_token
from ..platform import wire_names
from ..platform.control_plane import HttpControlPlane, trace_lateness
from ..platform.ingress import MAX_HEADER_BYTES, Ingress
from ..platform.request_reading import MAX_BODY_BYTES, make_request
from ..platform.row_decoding import (
    decode_configuration,
    decode_server,
    decode_weight_version,
    is_configuration,
    is_weight_version,
)
from ..platform.servers import HttpServerClient, trace_connections
from ..platform.sockets import create_keepalive_socket
from ..platform.store import PlatformRowStore
from ..storage.feed_pause import MAX_LISTING_PAUSE_MS, MIN_FEED_PAUSE_MS
from ..tasks import cancel_and_wait, run_supervised
from ..telemetry.bounded_logs import BoundedLineHandler
from .caller_drain import CallerDrain
from .duty_components import DutyPlan
from .entry_vm_state import describe_state
from .held_bytes import HeldBytes
from .listeners import Listeners
from .memory_watch import MemoryWatch
from .metrics_handler import MetricsHandler
from .readiness import Readiness
from .reload import SettingsReload
from .site_components import BackgroundTask, SiteComponents
from .site_dependencies import EntryVmIdentity, SiteDependencies
from .site_settings import SiteSettings
from .table_readers import OperatorReader, ServerReader
from .uploads import Uploads

logger = logging.getLogger(__name__)

ReadSettings = Callable[[], Result[SiteSettings, str]]

# Less than the 10 s after which backend servers close an idle connection.
SERVER_KEEPALIVE_S = 8.0
# More than the longest idle time after which callers still reuse a connection.
CALLER_KEEPALIVE_S = 60.0
# After SIGTERM the balancer stops sending after two checks, made once a second.
BALANCER_GRACE_MS = 2_600
# Time left before SIGKILL, so that the process exits by itself. Requests may be cut off
# only in the last sixth of the grace period, which is 8 s by default.
EXIT_MARGIN_MS = 1_300
# Part of the grace period for bodies that are still arriving. The rest suffices to end
# the process on a busy machine.
UPLOAD_GRACE_SHARE = 0.6
# A caller's body with its headers, as another entry VM passes them on.
MAX_RELAYED_BYTES = MAX_BODY_BYTES + 1_048_576
# Part of the memory limit for heads of requests that are incomplete. A head takes twice
# its bytes.
HEADS_SHARE = 0.06
# For requests still in progress when the servers close; the default of aiohttp is 60 s.
LAST_REQUESTS_TIMEOUT_S = 0.3
# For the last writes of usage counts, out of the time left before SIGKILL.
LAST_WRITES_TIMEOUT_S = 0.5


def decode_operator_row(row: StoredRow) -> object | None:
    """Return the configuration or named version in a row, None for other rows."""
    if is_configuration(row):
        return decode_configuration(row.value)
    if is_weight_version(row):
        return decode_weight_version(row)
    return None


class SiteService:
    """Entry VM on the users' platform.

    Parameters
    ----------
    settings : SiteSettings
        Identity, addresses and limits of this entry VM.
    read_settings : callable
        Reads the settings file again.
    """

    def __init__(self, settings: SiteSettings, read_settings: ReadSettings) -> None:
        self.settings = settings
        self.read_settings = read_settings
        self.clock = SystemClock()
        self.incarnation = new_token()[:16]
        self.metrics = InMemoryMetrics()
        self.stop_requested = asyncio.Event()
        self.exit_stack = contextlib.AsyncExitStack()
        self.tasks: list[asyncio.Task[None]] = []
        self.log_handler: BoundedLineHandler | None = None

    async def start(self) -> None:
        """Build the components, start following the store, and listen."""
        store_session = await self.open_session()
        server_session = await self.open_session(
            trace_connections(), wire_names.REQUEST_ID
        )
        relay_session = await self.open_session(trace_connections())
        self.store = PlatformRowStore(store_session, self.settings.store_address)
        self.held = HeldBytes(
            self.clock,
            self.metrics,
            self.settings.memory_bytes,
            self.read_idle_timeout_ms,
        )
        self.server_client = HttpServerClient(server_session, self.held)
        self.components = self.build_components(
            SiteDependencies(
                self.store,
                self.server_client,
                server_session.connector.activity,
                HttpRelayClient(relay_session, self.held),
                HttpOriginClient(await self.open_session()),
                self.clock,
                self.metrics,
                await self.open_control_plane(),
                self.held,
            )
        )
        self.key_changes = KeyChanges(self.clock)
        self.components.routes.observers.append(self.key_changes.observe)
        self.readiness = Readiness(self.components.routes, self.clock)
        self.readiness.standby = self.components.standby
        self.uploads = Uploads()
        self.reload = SettingsReload(
            self.settings, self.read_settings, self.apply_settings, self.clock
        )
        self.memory_watch = MemoryWatch(
            self.settings.memory_bytes, self.read_gauges, self.clock
        )
        self.start_background_tasks(
            self.create_platform_followers()
            | self.components.background_tasks()
            | {
                "settings": self.reload.run,
                "idle callers": self.held.disconnect_idle,
                "memory": self.memory_watch.run,
            }
        )
        await self.listen()
        logger.info(
            "entry VM started",
            extra={
                "incarnation": self.incarnation,
                "failure_domain": self.settings.failure_domain,
                "region": self.settings.region,
            },
        )

    def build_components(self, dependencies: SiteDependencies) -> SiteComponents:
        """Return the components that the settings describe."""
        settings = self.settings
        locality = Locality(settings.failure_domain, settings.region, settings.regions)
        return SiteComponents(
            EntryVmIdentity(
                settings.name, self.incarnation, locality, settings.relay_address
            ),
            dependencies,
            settings.bounds,
            settings.row_bytes,
            DutyPlan(settings.duties, settings.duty_calls_per_s),
        )

    def start_background_tasks(self, tasks: dict[str, BackgroundTask]) -> None:
        """Start tasks that are restarted if they fail."""
        for name, run in tasks.items():
            supervised = run_supervised(
                name, run, lambda: self.metrics.incr("tasks.failed")
            )
            self.tasks.append(asyncio.create_task(supervised))

    async def open_session(
        self, tracing: aiohttp.TraceConfig | None = None, id_header: str = ""
    ) -> aiohttp.ClientSession:
        """Open an HTTP session for outgoing requests.

        Parameters
        ----------
        id_header : str
            Header in which servers repeat the id of a request; empty if they don't.
        """
        connector = StrictConnector(
            id_header,
            limit=0,
            keepalive_timeout=SERVER_KEEPALIVE_S,
            socket_factory=create_keepalive_socket,
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
            trace_configs=[tracing] if tracing else None,
        )
        # By default aiohttp resends requests with idempotent methods if a reused
        # connection was closed. Only the route decides whether a request may run again.
        session._retry_connection = False
        return await self.exit_stack.enter_async_context(session)

    async def open_control_plane(self) -> HttpControlPlane | None:
        """Return the client of the platform's API; None if no duty needs it."""
        settings = self.settings
        if not settings.control_plane_address or not settings.duties:
            return None
        session = await self.open_session(trace_lateness(self.clock))
        return HttpControlPlane(session, settings.control_plane_address, self.clock)

    def create_platform_followers(self) -> dict[str, BackgroundTask]:
        """Create the followers of the tables of operators, trainers and servers.

        Readiness depends on them. Returns the functions that run them, by name.
        """
        components = self.components
        operator_reader = OperatorReader(
            decode_operator_row,
            components.routes,
            components.order_controller.set_target_version,
            components.revocation_bound.record_view,
        )
        server_reader = ServerReader(decode_server, components.directory)
        followers = [
            components.make_follower(
                wire_names.OPERATOR_TABLE, operator_reader, MIN_FEED_PAUSE_MS
            ),
            components.make_follower(
                wire_names.SERVERS_TABLE, server_reader, MAX_LISTING_PAUSE_MS
            ),
        ]
        self.readiness.followers = [*followers, components.progress_follower]
        if components.scaling is not None:
            components.scaling.followers = list(self.readiness.followers)
        return {f"follow {follower.table}": follower.run for follower in followers}

    def read_idle_timeout_ms(self) -> float:
        """Return the time after which a caller that takes nothing is disconnected."""
        configuration = self.components.routes.configuration
        return configuration.idle_timeout_ms if configuration else float("inf")

    def apply_settings(self, settings: SiteSettings) -> None:
        """Apply settings that changed while the process runs."""
        self.settings = settings
        self.store.set_address(settings.store_address)

    def read_gauges(self) -> dict[str, float]:
        """Return the current values of the gauges by name."""
        components = self.components
        unfinished_counts = (
            holder.batch.header.total - holder.progress.listed
            for holder in components.batch_ownership.holders.values()
        )
        bound = components.revocation_bound
        view_age = {"customers.view_age_ms": bound.age_ms()} if bound.has_view else {}
        return view_age | {
            "requests.in_progress": self.readiness.in_progress,
            "configuration.version": components.routes.version,
            "batches.held": len(components.batch_ownership.holders),
            "batches.unfinished_items": sum(unfinished_counts),
            "batches.items_waiting": len(components.placement.waiting),
            "servers.listed": len(components.directory.servers),
            "rows.unreadable": components.count_unreadable_rows(),
            "servers.cut_off": float(components.reachability.is_cut_off),
            "store.calls": self.store.call_count,
            "store.lost": float(not self.readiness.is_store_current()),
            "logs.dropped": self.log_handler.dropped_count if self.log_handler else 0,
            **components.holder_shares.gauges(),
            **components.admission.admission.gauges(),
            **self.held.gauges(),
            **(components.duties.read_gauges() if components.duties else {}),
        }

    async def listen(self) -> None:
        """Listen for callers, readiness checks and metrics requests."""
        ingress = Ingress(
            self.components.forwarder,
            self.components.batch_service,
            self.readiness,
            self.clock,
            self.uploads,
            self.components.key_check,
            self.held,
        )
        metrics_handler = MetricsHandler(
            self.metrics,
            lambda: self.read_gauges() | self.memory_watch.gauges(),
            lambda: describe_state(self.components, self.key_changes),
            self.components.explainer.explain,
        )
        self.relay_handler = RelayHandler(
            self.components.relay_receiver.serve, self.held
        )
        self.origin_handler = OriginHandler(self.components.stream_origins)
        heads = IncompleteHeads(
            HEADS_SHARE * self.settings.memory_bytes or float("inf")
        )
        listeners = Listeners(
            self.readiness,
            lambda name, run: self.start_background_tasks({name: run}),
            self.clock,
        )
        for handler, address, max_bytes in (
            (ingress.handle, self.settings.caller_address, MAX_BODY_BYTES),
            (ingress.handle_ready, self.settings.ready_address, MAX_BODY_BYTES),
            (metrics_handler.handle, self.settings.metrics_address, MAX_BODY_BYTES),
            (self.handle_relayed, self.settings.relay_address, MAX_RELAYED_BYTES),
        ):
            if not address:
                continue
            server = DiscreetServer(
                handler,
                self.components.key_check.may_get_keys,
                heads,
                request_factory=functools.partial(make_request, max_bytes=max_bytes),
                handler_cancellation=True,
                keepalive_timeout=CALLER_KEEPALIVE_S,
                access_log=None,
                auto_decompress=False,
                max_line_size=MAX_HEADER_BYTES,
                max_field_size=MAX_HEADER_BYTES,
            )
            runner = web.ServerRunner(server, shutdown_timeout=LAST_REQUESTS_TIMEOUT_S)
            await runner.setup()
            self.exit_stack.push_async_callback(runner.cleanup)
            if handler == ingress.handle:
                self.caller_drain = CallerDrain(
                    runner, self.readiness, self.uploads, self.clock
                )
            await listeners.open(runner, address, handler == ingress.handle)

    async def handle_relayed(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond to a request of another entry VM."""
        if self.origin_handler.handles(request):
            return await self.origin_handler.handle(request)
        self.readiness.in_progress += 1
        try:
            return await self.relay_handler.handle(request)
        finally:
            self.readiness.in_progress -= 1

    async def shutdown(self) -> None:
        """Refuse new connections, release batches and finish requests."""
        began_ms = self.clock.monotonic_ms()
        logger.info(
            "entry VM leaving", extra={"in_progress": self.readiness.in_progress}
        )
        self.readiness.leaving = True
        self.components.order_controller.leaving = True
        self.components.relay_receiver.leaving = True
        if self.components.duties is not None:
            self.components.duties.leave()
        self.tasks.append(
            asyncio.create_task(self.components.stream_origins.hand_over())
        )
        limit_ms = self.settings.bounds.grace_ms - EXIT_MARGIN_MS
        self.components.last_requests.begin(
            began_ms + BALANCER_GRACE_MS, began_ms + limit_ms
        )
        try:
            async with asyncio.timeout(limit_ms / 1000):
                await asyncio.gather(
                    self.components.announcement.withdraw(),
                    self.components.batch_ownership.leave(),
                )
                elapsed_ms = self.clock.monotonic_ms() - began_ms
                await self.clock.sleep_ms(max(0, BALANCER_GRACE_MS - elapsed_ms))
                await self.caller_drain.stop_listening()
                await self.caller_drain.finish_requests(
                    began_ms + self.settings.bounds.grace_ms * UPLOAD_GRACE_SHARE,
                    began_ms + limit_ms,
                )
        except TimeoutError:
            logger.warning(
                "shutdown timed out with requests in progress",
                extra={"in_progress": self.readiness.in_progress},
            )
        await self.store_last_counts()

    async def store_last_counts(self) -> None:
        """Store the usage counts that are left, if any."""
        if self.components.duties is None:
            return
        try:
            async with asyncio.timeout(LAST_WRITES_TIMEOUT_S):
                await self.components.duties.finish()
        except TimeoutError:
            logger.warning("shutdown timed out with usage counts not stored")

    async def close(self) -> None:
        """Stop all tasks and close all connections."""
        await cancel_and_wait(self.tasks)
        await self.exit_stack.aclose()
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
        # What the start has made lives as long as the process. Full collections, which
        # hold up the event loop, need not look at it again.
        gc.collect()
        gc.freeze()
        loop.add_signal_handler(signal.SIGHUP, service.reload.signal_received.set)
        await service.stop_requested.wait()
        await service.shutdown()
    finally:
        await service.close()
