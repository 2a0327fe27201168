"""Components of an entry VM on the users' platform, without network connections."""

from collections.abc import Callable, Coroutine
from typing import Any

from ..batches import (
    BatchMemory,
    BatchOwnership,
    BatchProgressView,
    BatchRepository,
    BatchService,
    HolderShares,
    ItemPlacement,
    ItemRunner,
    ItemScorer,
    LengthEstimate,
    OpenBatches,
    ScoringQueue,
)
from ..batches.rows import PROGRESS_TABLE
from ..customers import KeyCheck, RevocationBound
from ..explain import Explainer, ItemExplainer, RequestExplainer
from ..fleet import (
    DepartureNotingClient,
    ReachabilityNotingClient,
    ServerDirectory,
    ServerReachability,
    ServerSelector,
)
from ..forwarding import (
    FailoverRuns,
    Forwarder,
    RequestLog,
    RequestRuns,
)
from ..forwarding.last_requests import LastRequests
from ..forwarding.origin_peers import OriginPeers
from ..forwarding.origin_rows import OriginRows
from ..forwarding.stream_origins import StreamOrigins
from ..forwarding.strikes import TABLE as STRIKES_TABLE
from ..forwarding.strikes import CrashStrikes
from ..forwarding.version_history import VersionHistory
from ..interfaces.server_client import (
    ResponseHead,
    ServerAddress,
)
from ..leases import LeaseTable
from ..leases.table import TABLE as LEASES_TABLE
from ..limits import (
    LimitGate,
    LimitNotingClient,
    LimitRegistry,
    LimitShares,
    ServiceDemand,
)
from ..limits.shares import TABLE as LIMITS_TABLE
from ..orders import OrderController, OrderLeases
from ..relay import (
    Announcement,
    EntryVms,
    HelperProbes,
    RelayedRuns,
    RelayPool,
    RelayReceiver,
    Standby,
)
from ..relay.entry_vms import TABLE as ENTRY_VMS_TABLE
from ..routes import RouteTable
from ..scaling import ScalingDuties
from ..storage.feed_pause import MAX_FEED_PAUSE_MS, feed_pause_ms
from ..storage.follower import TableFollower, TableReader
from ..storage.store_time import StoreTime
from ..usage import CountingPool
from .admission_components import AdmissionComponents
from .duty_components import (
    SCALING_DUTY,
    DutyComponents,
    DutyDependencies,
    DutyPlan,
)
from .site_dependencies import EntryVmIdentity, SiteDependencies
from .site_settings import Bounds

# Entry VMs change seldom, and what they tell is confirmed by each relayed request. With
# these intervals the table costs few calls, whatever the number of entry VMs.
ENTRY_VMS_FEED_PAUSE_MS = 1_000.0
ENTRY_VMS_FEED_WAIT_MS = 10_000

BackgroundTask = Callable[[], Coroutine[Any, Any, None]]


class SiteComponents:
    """Forwarding, weight orders and batches, and the followers of their tables.

    Parameters
    ----------
    identity : EntryVmIdentity
        This entry VM.
    dependencies : SiteDependencies
        Store, servers, clock and metrics.
    bounds : Bounds
        Time limits agreed with the platform.
    row_bytes : int
        Maximum size of a row value in the store.
    duty_plan : DutyPlan or None
        Duties towards the platform; None if there are none.

    Attributes
    ----------
    duties : DutyComponents or None
        None without duties.
    readers : list of TableReader
        Readers of the followed tables.
    """

    def __init__(
        self,
        identity: EntryVmIdentity,
        dependencies: SiteDependencies,
        bounds: Bounds,
        row_bytes: int,
        duty_plan: DutyPlan | None = None,
    ) -> None:
        self.identity = identity
        self.dependencies = dependencies
        self.bounds = bounds
        clock = dependencies.clock
        self.readers: list[TableReader] = []
        self.store_time = StoreTime(clock)
        self.routes = RouteTable()
        self.revocation_bound = RevocationBound(
            clock, bounds.strict_revoke, bounds.revoke_ms, bounds.config_apply_ms
        )
        self.key_check = KeyCheck(
            self.routes, self.revocation_bound, dependencies.metrics
        )
        self.directory = ServerDirectory(clock)
        self.reachability = ServerReachability(
            self.directory,
            dependencies.server_client,
            dependencies.server_activity,
            clock,
        )
        self.build_limits()
        self.selector = ServerSelector(
            self.directory, clock, identity.locality, self.limit_gate
        )
        self.server_client = LimitNotingClient(
            DepartureNotingClient(
                ReachabilityNotingClient(dependencies.server_client, self.reachability),
                self.directory,
            ),
            self.limit_gate,
            self.limit_registry,
        )
        self.strikes = CrashStrikes(dependencies.store, clock)
        self.version_history = VersionHistory(
            identity.name, dependencies.store, clock, self.store_time, self.directory
        )
        self.build_entry_vms()
        self.stream_origins = StreamOrigins(
            OriginRows(dependencies.store, clock),
            OriginPeers(dependencies.origin_client, self.entry_vms.list_others, clock),
            clock,
            self.directory,
            self.version_history,
        )
        self.admission = AdmissionComponents(
            identity.name, dependencies, self.routes, self.store_time
        )
        self.build_forwarder()
        self.build_orders()
        self.build_batches(row_bytes)
        self.build_explainer()
        self.scaling = self.build_scaling(duty_plan)
        self.duties = self.build_duties(duty_plan)

    def build_limits(self) -> None:
        """Build the gate for limited servers and what it shares with other VMs."""
        store, clock = self.dependencies.store, self.dependencies.clock
        self.limit_registry = LimitRegistry(clock, self.store_time)
        self.limit_gate = LimitGate(
            self.identity.name,
            self.directory,
            self.store_time,
            self.limit_registry,
            ServiceDemand(clock),
        )
        self.limit_shares = LimitShares(
            self.identity.name,
            self.identity.incarnation,
            store,
            clock,
            self.store_time,
            self.limit_registry,
            self.limit_gate,
        )
        self.limit_gate.shares = self.limit_shares
        self.limit_shares.follower = self.make_follower(LIMITS_TABLE, self.limit_shares)

    def build_forwarder(self) -> None:
        """Build the forwarder of single requests."""
        clock, metrics = self.dependencies.clock, self.dependencies.metrics
        log = RequestLog(self.routes, clock, metrics)
        self.direct_pool = CountingPool(
            self.directory,
            self.selector,
            self.server_client,
            self.strikes,
            self.reachability,
        )
        self.relay_pool = RelayPool(
            self.identity.name,
            self.entry_vms,
            self.selector,
            self.dependencies.relay_client,
            self.helper_probes.probe_soon,
            self.note_relayed_answer,
        )
        self.direct_pool.room = self.relay_pool.room = self.admission.admission
        shared = (self.strikes, self.stream_origins, clock, metrics, log)
        runs = FailoverRuns(
            RequestRuns(self.direct_pool, *shared),
            RelayedRuns(self.relay_pool, *shared),
            self.reachability,
            metrics,
        )
        self.last_requests = LastRequests(clock)
        self.forwarder = Forwarder(
            self.routes,
            runs,
            self.strikes,
            clock,
            log,
            self.last_requests,
            self.admission.admission,
        )
        # Runs without failover: a relayed request is never passed on again.
        self.relay_receiver = RelayReceiver(
            RequestRuns(self.direct_pool, *shared),
            self.strikes,
            self.reachability,
            clock,
            log,
        )

    def note_relayed_answer(
        self, server: ServerAddress, head: ResponseHead, sent_ms: float
    ) -> None:
        """Note what a server says of itself in an answer through another entry VM."""
        if head.leaving:
            self.directory.record_departure(server)
        self.limit_registry.record(server, head.limit_per_s, sent_ms)

    def build_entry_vms(self) -> None:
        """Build what this entry VM knows of the others, and what it tells them."""
        self.entry_vms = EntryVms(self.identity.name, self.store_time)
        self.readers.append(self.entry_vms)
        self.entry_vms.listeners.append(self.reachability.suspect_unless_heard)
        self.standby = Standby(self.reachability, self.entry_vms)
        self.helper_probes = HelperProbes(
            self.entry_vms,
            self.dependencies.relay_client,
            self.reachability,
            self.dependencies.clock,
        )
        self.announcement = Announcement(
            self.identity.name,
            self.identity.incarnation,
            self.identity.locality.failure_domain,
            self.identity.relay_address,
            self.dependencies.store,
            self.dependencies.clock,
            self.store_time,
            self.entry_vms,
            TableFollower(
                self.dependencies.store,
                self.dependencies.clock,
                ENTRY_VMS_TABLE,
                self.entry_vms,
                self.store_time,
                lambda: ENTRY_VMS_FEED_PAUSE_MS,
                wait_ms=ENTRY_VMS_FEED_WAIT_MS,
            ),
            self.reachability,
        )

    def build_orders(self) -> None:
        """Build the controller of weight orders and its leases."""
        dependencies = self.dependencies
        self.leases = LeaseTable(
            dependencies.store,
            dependencies.clock,
            self.identity.name,
            self.identity.incarnation,
            self.bounds.lease_ms,
        )
        self.order_leases = OrderLeases(self.leases)
        self.order_controller = OrderController(
            self.identity.name,
            self.routes,
            self.directory,
            self.order_leases,
            self.server_client,
            dependencies.clock,
            dependencies.metrics,
            self.standby,
        )

    def build_batches(self, row_bytes: int) -> None:
        """Build the batch service and the components that it uses."""
        dependencies = self.dependencies
        clock, metrics = dependencies.clock, dependencies.metrics
        self.progress_view = BatchProgressView(clock, self.store_time)
        self.progress_follower = self.make_follower(
            PROGRESS_TABLE, self.progress_view, partitioned=True
        )
        self.holder_shares = HolderShares(
            self.identity.name,
            OpenBatches(self.routes, self.progress_view, self.progress_follower, clock),
            self.directory,
            clock,
            self.store_time,
            metrics,
        )
        self.placement = ItemPlacement(
            self.directory, self.selector, clock, self.holder_shares
        )
        repository = BatchRepository(dependencies.store, row_bytes, self.store_time)
        self.batch_ownership = BatchOwnership(
            self.identity.name,
            self.identity.incarnation,
            self.routes,
            self.progress_view,
            self.progress_follower,
            repository,
            ItemRunner(
                self.placement,
                self.directory,
                self.server_client,
                clock,
                metrics,
                ItemScorer(
                    self.forwarder, ScoringQueue(self.directory), clock, metrics
                ),
                LengthEstimate(self.routes),
            ),
            clock,
            metrics,
            self.bounds.result_retention_ms,
            self.standby,
            BatchMemory(dependencies.memory),
        )
        self.batch_service = BatchService(
            self.batch_ownership, self.routes, self.progress_view, repository, clock
        )

    def build_scaling(self, plan: DutyPlan | None) -> ScalingDuties | None:
        """Build the plans of servers; the followers of other tables are added later."""
        control_plane = self.dependencies.control_plane
        if control_plane is None or plan is None or SCALING_DUTY not in plan.duties:
            return None
        scaling = ScalingDuties(
            self.routes,
            self.progress_view,
            self.directory,
            control_plane,
            self.dependencies.clock,
            self.dependencies.metrics,
        )
        scaling.followers.append(self.progress_follower)
        return scaling

    def build_duties(self, plan: DutyPlan | None) -> DutyComponents | None:
        """Build the duties towards the platform, if there are any."""
        dependencies = self.dependencies
        if dependencies.control_plane is None or plan is None or not plan.duties:
            return None
        duties = DutyComponents(
            plan,
            DutyDependencies(
                self.identity.name,
                self.identity.incarnation,
                dependencies.control_plane,
                dependencies.store,
                dependencies.clock,
                dependencies.metrics,
                self.store_time,
                self.leases,
                self.limit_shares,
                self.entry_vms,
                lambda: len(self.directory.servers),
            ),
            self.bounds,
            [self.scaling] if self.scaling else [],
        )
        if duties.usage is not None:
            self.direct_pool.usage = duties.usage.counter
        return duties

    def build_explainer(self) -> None:
        """Build what explains placements to operators."""
        clock = self.dependencies.clock
        self.explainer = Explainer(
            self.identity.name,
            RequestExplainer(
                self.forwarder,
                self.direct_pool,
                self.relay_pool,
                self.stream_origins,
                self.entry_vms,
            ),
            ItemExplainer(self.batch_service, self.placement, clock),
            clock,
        )

    def make_follower(
        self,
        table: str,
        reader: TableReader,
        max_pause_ms: float = MAX_FEED_PAUSE_MS,
        partitioned: bool = False,
    ) -> TableFollower:
        """Return a follower of a table, which polls more slowly with more servers."""
        servers = self.directory.servers
        self.readers.append(reader)
        return TableFollower(
            self.dependencies.store,
            self.dependencies.clock,
            table,
            reader,
            self.store_time,
            lambda: feed_pause_ms(len(servers), max_pause_ms),
            partitioned,
        )

    def count_unreadable_rows(self) -> int:
        """Return the number of rows in the followed tables that cannot be read."""
        return sum(len(reader.unreadable) for reader in self.readers)

    def background_tasks(self) -> dict[str, BackgroundTask]:
        """Return the functions that run until the process ends, by name."""
        followers = (
            self.progress_follower,
            self.limit_shares.follower,
            self.announcement.follower,
            self.make_follower(LEASES_TABLE, self.leases),
            self.make_follower(STRIKES_TABLE, self.strikes),
        )
        return {
            **{f"follow {follower.table}": follower.run for follower in followers},
            "reachability": self.reachability.watch,
            "announcement": self.announcement.run,
            "helper probes": self.helper_probes.run,
            **self.admission.background_tasks(),
            "limits": self.limit_shares.run,
            "stream origins": self.stream_origins.repair,
            "rows of stream origins": self.stream_origins.rows.delete_expired,
            "version history": self.version_history.run,
            "orders": self.order_controller.run,
            "batches": self.batch_ownership.watch,
            "missing servers": self.directory.drop_missing_periodically,
            **(self.duties.background_tasks() if self.duties else {}),
            **({"scaling": self.scaling.run} if self.scaling else {}),
        }
