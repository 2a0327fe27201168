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
from ..fleet import ServerDirectory, ServerSelector
from ..fleet.selector import Locality
from ..forwarding import Forwarder
from ..forwarding.strikes import TABLE as STRIKES_TABLE
from ..forwarding.strikes import CrashStrikes
from ..interfaces import Clock, Metrics
from ..interfaces.row_store import RowStore
from ..interfaces.server_client import ServerClient
from ..orders import OrderController, OrderLeases
from ..orders.leases import TABLE as ORDERS_TABLE
from ..routes import RouteTable
from ..storage.feed_pause import MAX_FEED_PAUSE_MS, feed_pause_ms
from ..storage.follower import TableFollower, TableReader
from ..storage.store_time import StoreTime
from .site_settings import Bounds


@dataclass(frozen=True, slots=True)
class Outside:
    """What the duties meet.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    port : ServerClient
        Backend servers.
    """

    store: RowStore
    port: ServerClient
    clock: Clock
    metrics: Metrics


@dataclass(frozen=True, slots=True)
class Identity:
    """Name of an entry VM, random text of its start, and where it is."""

    name: str
    incarnation: str
    place: Locality


class SiteDuties:
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
        self, identity: Identity, outside: Outside, bounds: Bounds, row_bytes: int
    ) -> None:
        self.identity = identity
        self.outside = outside
        self.bounds = bounds
        clock, metrics = outside.clock, outside.metrics
        self.store_time = StoreTime(clock)
        self.routes = RouteTable()
        self.directory = ServerDirectory(clock)
        self.choice = ServerSelector(self.directory, clock, identity.place)
        self.strikes = CrashStrikes(outside.store, clock)
        self.forwarder = Forwarder(
            self.routes,
            self.directory,
            self.choice,
            outside.port,
            self.strikes,
            clock,
            metrics,
        )
        self.build_orders()
        self.build_batches(row_bytes)

    def build_orders(self) -> None:
        """Build the duty of weight orders."""
        outside = self.outside
        self.ledger = OrderLeases(
            outside.store,
            outside.clock,
            self.identity.name,
            self.identity.incarnation,
            self.bounds.lease_ms,
        )
        self.orders = OrderController(
            self.identity.name,
            self.routes,
            self.directory,
            self.ledger,
            outside.port,
            outside.clock,
            outside.metrics,
        )

    def build_batches(self, row_bytes: int) -> None:
        """Build the duty of batches."""
        outside = self.outside
        clock, metrics = outside.clock, outside.metrics
        self.board = BatchProgressView(clock, self.store_time)
        self.board_follower = self.follower(PROGRESS_TABLE, self.board)
        self.placement = ItemPlacement(self.directory, self.choice, clock)
        repository = BatchRepository(outside.store, row_bytes, self.store_time)
        self.custody = BatchOwnership(
            self.identity.name,
            self.identity.incarnation,
            self.routes,
            self.board,
            self.board_follower,
            repository,
            ItemRunner(self.placement, self.directory, outside.port, clock, metrics),
            clock,
            metrics,
            self.bounds.result_retention_ms,
        )
        self.batches = BatchService(
            self.custody, self.routes, self.board, repository, clock
        )

    def follower(
        self,
        table: str,
        reader: TableReader,
        longest_pace_ms: float = MAX_FEED_PAUSE_MS,
    ) -> TableFollower:
        """Return a follower of a table, slower in a site of many servers."""
        servers = self.directory.servers
        return TableFollower(
            self.outside.store,
            self.outside.clock,
            table,
            reader,
            self.store_time,
            lambda: feed_pause_ms(len(servers), longest_pace_ms),
        )

    def work(self) -> list[Coroutine[Any, Any, None]]:
        """Return what has to run for the life of the process."""
        shared = (
            self.board_follower,
            self.follower(ORDERS_TABLE, self.ledger),
            self.follower(STRIKES_TABLE, self.strikes),
        )
        return [
            *(follower.run() for follower in shared),
            self.orders.run(),
            self.custody.watch(),
            self.directory.drop_missing_periodically(),
        ]
