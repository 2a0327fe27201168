"""The duties of an entry VM on the users' platform, without its connections."""

from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from ..batches import (
    BatchOwnership,
    BatchProgressView,
    BatchRepository,
    BatchService,
    ItemPlacement,
    ItemRunner,
)
from ..batches.rows import PROGRESS_TABLE
from ..edges import Clock, Metrics
from ..edges.row_store import RowStore
from ..edges.server_port import ServerPort
from ..fleet import ServerDirectory, ServerSelector
from ..fleet.selector import Locality
from ..forwarding import Forwarder
from ..forwarding.strikes import TABLE as STRIKES_TABLE
from ..forwarding.strikes import CrashStrikes
from ..orders import OrderController, OrderLeases
from ..orders.leases import TABLE as ORDERS_TABLE
from ..routes import RouteTable
from ..storage.feed_pause import MAX_FEED_PAUSE_MS, feed_pause_ms
from ..storage.follower import TableFollower, TableReader
from ..storage.store_time import StoreTime
from .site_settings import Bounds


@dataclass(frozen=True, slots=True)
class SiteDependencies:
    """What the duties meet.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    port : ServerPort
        Backend servers.
    """

    store: RowStore
    server_port: ServerPort
    clock: Clock
    metrics: Metrics


@dataclass(frozen=True, slots=True)
class EntryVmIdentity:
    """Name of an entry VM, random text of its start, and where it is."""

    name: str
    incarnation: str
    locality: Locality


class SiteComponents:
    """All duties, and the followers of the tables that they share.

    Parameters
    ----------
    identity : Identity
        This entry VM.
    outside : Outside
        Store, servers, clock and metrics.
    bounds : Bounds
        Agreed time limits.
    row_bytes : int
        Largest row value that the store takes.
    """

    def __init__(
        self,
        identity: EntryVmIdentity,
        dependencies: SiteDependencies,
        bounds: Bounds,
        row_bytes: int,
    ) -> None:
        self.identity = identity
        self.dependencies = dependencies
        self.bounds = bounds
        clock, metrics = dependencies.clock, dependencies.metrics
        self.store_time = StoreTime(clock)
        self.routes = RouteTable()
        self.directory = ServerDirectory(clock)
        self.selector = ServerSelector(self.directory, clock, identity.locality)
        self.strikes = CrashStrikes(dependencies.store, clock)
        self.forwarder = Forwarder(
            self.routes,
            self.directory,
            self.selector,
            dependencies.server_port,
            self.strikes,
            clock,
            metrics,
        )
        self.build_orders()
        self.build_batches(row_bytes)

    def build_orders(self) -> None:
        """Build the duty of weight orders."""
        dependencies = self.dependencies
        self.order_leases = OrderLeases(
            dependencies.store,
            dependencies.clock,
            self.identity.name,
            self.identity.incarnation,
            self.bounds.lease_ms,
        )
        self.order_controller = OrderController(
            self.identity.name,
            self.routes,
            self.directory,
            self.order_leases,
            dependencies.server_port,
            dependencies.clock,
            dependencies.metrics,
        )

    def build_batches(self, row_bytes: int) -> None:
        """Build the duty of batches."""
        dependencies = self.dependencies
        clock, metrics = dependencies.clock, dependencies.metrics
        self.progress_view = BatchProgressView(clock, self.store_time)
        self.progress_follower = self.make_follower(PROGRESS_TABLE, self.progress_view)
        self.placement = ItemPlacement(self.directory, self.selector, clock)
        repository = BatchRepository(dependencies.store, row_bytes, self.store_time)
        self.batch_ownership = BatchOwnership(
            self.identity.name,
            self.identity.incarnation,
            self.routes,
            self.progress_view,
            self.progress_follower,
            repository,
            ItemRunner(
                self.placement, self.directory, dependencies.server_port, clock, metrics
            ),
            clock,
            metrics,
            self.bounds.result_retention_ms,
        )
        self.batch_service = BatchService(
            self.batch_ownership, self.routes, self.progress_view, repository, clock
        )

    def make_follower(
        self,
        table: str,
        reader: TableReader,
        max_pause_ms: float = MAX_FEED_PAUSE_MS,
    ) -> TableFollower:
        """Return a follower of a table, slower in a site of many servers."""
        servers = self.directory.servers
        return TableFollower(
            self.dependencies.store,
            self.dependencies.clock,
            table,
            reader,
            self.store_time,
            lambda: feed_pause_ms(len(servers), max_pause_ms),
        )

    def background_coroutines(self) -> list[Coroutine[Any, Any, None]]:
        """Return what has to run for the life of the process."""
        followers = (
            self.progress_follower,
            self.make_follower(ORDERS_TABLE, self.order_leases),
            self.make_follower(STRIKES_TABLE, self.strikes),
        )
        return [
            *(follower.run() for follower in followers),
            self.order_controller.run(),
            self.batch_ownership.watch(),
            self.directory.drop_missing_periodically(),
        ]
