"""Entry VMs with all their services on one in-memory store, without a network."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from result import Err

from ebonylb.adapters import NullMetrics
from ebonylb.batches import (
    Batch,
    BatchHeader,
    BatchItem,
    ItemResult,
    ScoringRequest,
)
from ebonylb.fleet import ListedServer, ServerStage
from ebonylb.fleet.selector import Locality
from ebonylb.interfaces.control_plane import ControlPlane
from ebonylb.interfaces.row_store import StoredRow
from ebonylb.interfaces.server_client import ModelVersion
from ebonylb.routes import (
    Configuration,
    Customer,
    EngineShape,
    Route,
    RouteKind,
    ServiceSpec,
    Target,
)
from ebonylb.service.duty_components import DutyPlan
from ebonylb.service.site_components import SiteComponents
from ebonylb.service.site_dependencies import EntryVmIdentity, SiteDependencies
from ebonylb.service.site_settings import Bounds
from ebonylb.service.table_readers import OperatorReader
from ebonylb.storage.feed_pause import MIN_FEED_PAUSE_MS
from ebonylb.storage.follower import TableFollower

from ..histories.virtual_time import LoopClock
from .control_plane import FakeControlPlane, FakeControlPlaneClient
from .cut_path import CutPath
from .origin_path import LocalOriginClient
from .prefill import ChunkedPrefill
from .recorded_port import RecordedPort
from .relay_path import LocalRelayClient
from .row_store import MemoryRowStore, StoreData
from .servers import FakeServer, FakeServers, PlannedResponse

ENGINE_SERVICE, PLAIN_SERVICE = "lm", "desk"
MODELS = ("m", "n")
OPERATOR_TABLE = "op"
READ_TIMEOUT_MS = 30_000
REPORT_WINDOW_MS = 5_000.0
# An entry VM that leaves answers for as long as the balancer may send it callers.
LEAVE_MS = 2_600.0
DUTY_CALLS_PER_S = 50.0
REGIONS = {"north": "gorge", "south": "gorge", "high": "highland"}


def configuration(version: int = 1, **batch_options) -> Configuration:
    """Return a configuration with a batch route and caller routes of each kind.

    `batch_options` override options of the batch route.
    """
    options = {
        "attempts": 3,
        "result_deadline_ms": 7_500,
        "retention_ms": 40_000,
        "resumable": True,
    } | batch_options
    return Configuration(
        version,
        (
            Route(
                "batch",
                "site",
                "/batch/",
                RouteKind.BATCH,
                (Target(ENGINE_SERVICE, 1),),
                **options,
            ),
            Route(
                "ask",
                "site",
                "/ask/",
                RouteKind.IDEMPOTENT,
                (Target(PLAIN_SERVICE, 1),),
                timeout_ms=2_000,
                target_latency_ms=240,
                attempts=2,
            ),
            Route(
                "score",
                "site",
                "/score/",
                RouteKind.IDEMPOTENT,
                (Target(PLAIN_SERVICE, 1),),
                timeout_ms=2_000,
                target_latency_ms=400,
                attempts=4,
            ),
            Route(
                "chat",
                "site",
                "/chat/",
                RouteKind.STREAMING,
                (Target(PLAIN_SERVICE, 1),),
                timeout_ms=10_000,
                target_latency_ms=400,
                attempts=3,
                resumable=True,
            ),
            Route(
                "live",
                "site",
                "/live/",
                RouteKind.STREAMING,
                (Target(PLAIN_SERVICE, 1),),
                timeout_ms=10_000,
                target_latency_ms=400,
                attempts=3,
            ),
            Route(
                "book",
                "site",
                "/book/",
                RouteKind.NON_IDEMPOTENT,
                (Target(PLAIN_SERVICE, 1),),
                timeout_ms=2_000,
                target_latency_ms=240,
                attempts=2,
            ),
        ),
        {
            ENGINE_SERVICE: ServiceSpec(
                ENGINE_SERVICE, 100, EngineShape(16, 140_000, 44, MODELS)
            ),
            PLAIN_SERVICE: ServiceSpec(PLAIN_SERVICE, 100),
        },
    )


def with_customers(
    plain: Configuration,
    keys: dict[Customer, Iterable[str]],
    public_routes: Iterable[str] = (),
) -> Configuration:
    """Return a configuration with customers, their keys, and public routes by name."""
    return replace(
        plain,
        routes=tuple(
            replace(route, public=route.name in public_routes) for route in plain.routes
        ),
        customers={customer.name: customer for customer in keys},
        customers_by_key={key: c for c, its_keys in keys.items() for key in its_keys},
    )


class MachineClock(LoopClock):
    """Clocks of one machine.

    Attributes
    ----------
    wall_error_ms : float
        How far the wall clock is ahead of true time.
    suspended_ms : float
        Time in suspension, during which the monotonic clock stood still.
    """

    wall_error_ms = 0.0
    suspended_ms = 0.0

    def wall_ms(self) -> int:
        """Return the time of the wall clock."""
        return int(self.monotonic_ms() + self.wall_error_ms)

    def boot_ms(self) -> float:
        """Return the time that includes suspension."""
        return self.monotonic_ms() + self.suspended_ms


@dataclass
class EntryVm:
    """Services of one entry VM; `stop` ends them without an orderly shutdown.

    Attributes
    ----------
    is_separated : bool
        Whether it exchanges no origins of streams with other entry VMs.
    """

    world: "World"
    name: str
    failure_domain: str
    incarnation: str
    store: MemoryRowStore = field(init=False)
    port: RecordedPort = field(init=False)
    path: CutPath = field(init=False)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    is_stopped: bool = False
    is_separated: bool = False

    def __post_init__(self) -> None:
        """Build the services, start their tasks and list the servers."""
        world = self.world
        self.clock = MachineClock()
        self.clock.wall_error_ms = world.wall_errors_ms.get(self.name, 0.0)
        self.port = RecordedPort(world.port, self.name, world.clock)
        world.ports.append(self.port)
        self.path = CutPath(self.port, world.clock)
        self.store = MemoryRowStore(world.data, world.clock)
        locality = Locality(self.failure_domain, REGIONS[self.failure_domain], REGIONS)
        duties = SiteComponents(
            EntryVmIdentity(self.name, self.incarnation, locality, f"{self.name}:1"),
            SiteDependencies(
                self.store,
                self.path,
                self.path.activity,
                LocalRelayClient(world.vms, world.clock),
                LocalOriginClient(self, world.clock),
                self.clock,
                NullMetrics(),
                world.control_plane
                or FakeControlPlaneClient(world.platform, self.name),
            ),
            world.bounds,
            65_536,
            DutyPlan(world.duties, DUTY_CALLS_PER_S),
        )
        self.platform_duties = duties.duties
        self.routes, self.directory = duties.routes, duties.directory
        self.forwarder, self.strikes = duties.forwarder, duties.strikes
        self.order_leases, self.orders = duties.order_leases, duties.order_controller
        self.progress_view, self.batches = duties.progress_view, duties.batch_service
        self.ownership = duties.batch_ownership
        self.placement, self.explainer = duties.placement, duties.explainer
        self.reachability, self.entry_vms = duties.reachability, duties.entry_vms
        self.standby = duties.standby
        self.relay_receiver = duties.relay_receiver
        self.stream_origins = duties.stream_origins
        self.scaling = duties.scaling
        self.registry, self.limits = duties.limit_registry, duties.limit_gate
        self.key_check = duties.key_check
        tasks = list(duties.background_tasks().values())
        if world.configuration.has_customers:
            tasks.append(self.make_operator_follower(duties).run)
        else:
            self.routes.apply(world.configuration)
        self.tasks = [asyncio.create_task(run()) for run in tasks]
        self.refresh()

    def make_operator_follower(self, duties: SiteComponents) -> TableFollower:
        """Return the follower of the configurations that the world publishes."""
        reader = OperatorReader(
            self.world.decode_operator_row,
            self.routes,
            self.orders.set_target_version,
            duties.revocation_bound.record_view,
        )
        return duties.make_follower(OPERATOR_TABLE, reader, MIN_FEED_PAUSE_MS)

    def refresh(self) -> None:
        """Update the directory with the servers' current entries."""
        for server in self.world.listed_servers():
            self.directory.put(server)
        for name in self.world.unlisted:
            self.directory.remove(name)

    async def leave(self) -> None:
        """End after the time of an orderly shutdown that tells others of streams."""
        handing_over = asyncio.create_task(self.stream_origins.hand_over())
        await self.world.clock.sleep_ms(LEAVE_MS)
        handing_over.cancel()
        self.stop()

    def stop(self) -> None:
        """Cancel all tasks at once, as a loss of power does."""
        self.is_stopped = True
        duties = self.platform_duties
        calls = [s.task for s in duties.runner.states.values()] if duties else []
        for task in [*self.tasks, *self.ownership.tasks, *filter(None, calls)]:
            task.cancel()


class World:
    """A site with engines, plain services and entry VMs.

    Parameters
    ----------
    engines, plain_services : int
        Number of backend servers of each kind.
    site_configuration : Configuration or None
        Configuration of the entry VMs; None for that of `configuration`. One with
        customers is read from the store, like those that `publish` stores later.
    lease_ms : float
        Lease duration of the entry VMs.
    duties : tuple of str
        Duties of the entry VMs towards the platform.
    wall_errors_ms : dict of str to float or None
        How far the wall clocks of entry VMs are ahead of true time when they start.
    prefill_tokens_per_ms : float or None
        Speed at which engines process prompts; None for engines without prefill.
    bounds : dict of str to float or bool
        Further bounds of the entry VMs.

    Attributes
    ----------
    control_plane : ControlPlane or None
        Set before the first entry VM starts, to replace `platform` for its calls.
    listing_options : dict of str to dict
        Overrides of the directory entries of single servers.
    unlisted : set of str
        Servers that are no longer listed.
    """

    def __init__(
        self,
        engines: int = 3,
        plain_services: int = 2,
        site_configuration: Configuration | None = None,
        lease_ms: float = 3_000,
        duties: tuple[str, ...] = (),
        wall_errors_ms: dict[str, float] | None = None,
        prefill_tokens_per_ms: float | None = None,
        **bounds: float | bool,
    ) -> None:
        self.clock = LoopClock()
        self.data = StoreData()
        self.configuration = site_configuration or configuration()
        self.bounds = Bounds(
            lease_ms=lease_ms, report_window_ms=REPORT_WINDOW_MS, **bounds
        )
        self.published: dict[int, Configuration] = {}
        if self.configuration.has_customers:
            self.publish(self.configuration)
        self.duties = duties
        self.platform = FakeControlPlane(self.clock)
        self.wall_errors_ms = wall_errors_ms or {}
        self.port = FakeServers(self.clock)
        self.ports: list[RecordedPort] = []
        self.vms: dict[str, EntryVm] = {}
        self.control_plane: ControlPlane | None = None
        self.listing_options: dict[str, dict[str, object]] = {}
        self.unlisted: set[str] = set()
        self.services: dict[str, str] = {}
        domains = list(REGIONS)
        self.domains: dict[str, str] = {}
        for number in range(engines):
            self.add_server(f"e{number}", ENGINE_SERVICE, 16, domains[number % 3])
            if prefill_tokens_per_ms is not None:
                self.port.servers[f"e{number}"].prefill = ChunkedPrefill(
                    self.clock, prefill_tokens_per_ms
                )
        for number in range(plain_services):
            self.add_server(f"p{number}", PLAIN_SERVICE, 6, domains[number % 3])

    def publish(self, site_configuration: Configuration) -> None:
        """Store a configuration as the operator does."""
        self.configuration = site_configuration
        self.data.put(OPERATOR_TABLE, "config", b"")
        self.published[self.data.version] = site_configuration

    def decode_operator_row(self, row: StoredRow) -> Configuration:
        """Return the configuration that was stored as a row."""
        return self.published[row.version]

    def add_server(self, name: str, service: str, slots: int, domain: str) -> None:
        """Add a backend server; an engine has version 1 of all models."""
        versions = dict.fromkeys(MODELS, 1) if service == ENGINE_SERVICE else {}
        self.port.add(FakeServer(name, slots, versions=versions))
        self.services[name], self.domains[name] = service, domain

    def listed_servers(self) -> list[ListedServer]:
        """Return the directory entries of all servers."""
        listed = [
            ListedServer(
                server.name,
                self.services[server.name],
                f"10.0.0.{number}:80",
                self.domains[server.name],
                ServerStage.READY,
                server.slots,
                models=tuple(ModelVersion(m, v) for m, v in server.versions.items()),
                started_ms=1,
                software_version=server.software_version,
            )
            for number, server in enumerate(self.port.servers.values())
            if server.name not in self.unlisted
        ]
        return [
            replace(server, **self.listing_options.get(server.name, {}))
            for server in listed
        ]

    def refresh(self) -> None:
        """Update the directories of all entry VMs."""
        for vm in self.vms.values():
            vm.refresh()

    def start(
        self, name: str, domain: str = "north", incarnation: str = "1"
    ) -> EntryVm:
        """Start an entry VM; `incarnation` distinguishes the starts of one name."""
        vm = EntryVm(self, name, domain, f"{name}-{incarnation}")
        self.vms[name] = vm
        return vm

    def scoring_request(self, item_id: str) -> ScoringRequest:
        """Return the scoring request of an item; it works for 80 ms."""
        request_id = f"score-{item_id}"
        self.port.planned_responses[request_id] = PlannedResponse(work_ms=80.0)
        return ScoringRequest(
            request_id, "site", f"/score/{item_id}", b"score " + item_id.encode()
        )

    def batch(
        self,
        batch_id: str,
        lengths: list[int],
        group_size: int = 4,
        scored: bool = False,
        prompt_tokens: int = 0,
        **header,
    ) -> Batch:
        """Return a batch with one item per entry of `lengths`, in events.

        If `scored`, each item has a scoring request, whose id is that of the item with
        the prefix ``score-``. With `prompt_tokens`, each group has its own prompt of
        that length. `header` overrides fields of the batch header.
        """
        items = []
        for number, events in enumerate(lengths):
            item_id = f"{batch_id}-{number}"
            group = f"g{number // group_size}"
            if prompt_tokens:
                group = f"{batch_id}/{group}"
            self.port.planned_responses[item_id] = PlannedResponse(
                events, prompt_tokens=prompt_tokens, prompt=group
            )
            items.append(
                BatchItem(
                    item_id,
                    f"/batch/{number}",
                    (("Host", "site"),),
                    b"body " + item_id.encode(),
                    model="m",
                    group=group,
                    length_hint=events * 44,
                    scoring=self.scoring_request(item_id) if scored else None,
                    prompt_tokens=prompt_tokens,
                )
            )
        header_fields = {"model": "m", "min_version": 1, "step": 0} | header
        return Batch(
            BatchHeader(
                batch_id, "batch", len(items), self.clock.wall_ms(), **header_fields
            ),
            tuple(items),
        )


async def read_all(
    vm: EntryVm, batch_id: str, total: int, timeout_ms: float = READ_TIMEOUT_MS
) -> list[ItemResult]:
    """Read pages of results as a trainer does until all results are read.

    Raises
    ------
    AssertionError
        Results are missing after `timeout_ms`, or a page's positions are wrong.
    """
    clock = vm.world.clock
    deadline_ms = clock.monotonic_ms() + timeout_ms
    results: list[ItemResult] = []
    while len(results) < total:
        assert clock.monotonic_ms() < deadline_ms, f"{len(results)} of {total} results"
        page = await vm.batches.read(batch_id, len(results), 500)
        if isinstance(page, Err):
            await clock.sleep_ms(100)
            continue
        assert page.ok_value.next_position == len(results) + len(page.ok_value.results)
        results.extend(page.ok_value.results)
        await clock.sleep_ms(50)
    return results
