"""Entry VMs with their duties on one memory store, without a network."""

import asyncio
from dataclasses import dataclass, field

from ebonylb.adapters import NullMetrics
from ebonylb.batches import Batch, BatchHeader, BatchItem
from ebonylb.fleet import ListedServer, ServerStage
from ebonylb.fleet.selector import Locality
from ebonylb.interfaces.server_client import ModelVersion
from ebonylb.routes import (
    Configuration,
    EngineShape,
    Route,
    RouteKind,
    ServiceSpec,
    Target,
)
from ebonylb.service.duties import Identity, Outside, SiteDuties
from ebonylb.service.site_settings import Bounds

from ..histories.virtual_time import LoopClock
from .row_store import MemoryRowStore, StoreData
from .servers import FakeServer, FakeServers, Output

ENGINE_SERVICE, PLAIN_SERVICE = "lm", "desk"
MODELS = ("m", "n")
REGIONS = {"north": "gorge", "south": "gorge", "high": "highland"}


def configuration(version: int = 1, **batch_options) -> Configuration:
    """Return a configuration with one route of each kind that the site serves."""
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


@dataclass
class EntryVm:
    """Duties of one entry VM; `stop` ends it without a farewell."""

    world: "World"
    name: str
    failure_domain: str
    incarnation: str
    store: MemoryRowStore = field(init=False)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Build the duties and begin to follow the store."""
        world = self.world
        self.store = MemoryRowStore(world.data, world.clock)
        place = Locality(self.failure_domain, REGIONS[self.failure_domain], REGIONS)
        duties = SiteDuties(
            Identity(self.name, self.incarnation, place),
            Outside(self.store, world.port, world.clock, NullMetrics()),
            Bounds(lease_ms=world.lease_ms),
            65_536,
        )
        self.routes, self.directory = duties.routes, duties.directory
        self.forwarder, self.strikes = duties.forwarder, duties.strikes
        self.ledger, self.orders = duties.ledger, duties.orders
        self.board, self.batches = duties.board, duties.batches
        self.custody = duties.custody
        self.placement = duties.placement
        self.routes.apply(world.configuration)
        self.tasks = [asyncio.create_task(work) for work in duties.work()]
        self.refresh()

    def refresh(self) -> None:
        """Show the servers as they are listed now."""
        for server in self.world.listed():
            self.directory.put(server)

    def stop(self) -> None:
        """End all tasks at once, as a loss of power does."""
        for task in [*self.tasks, *self.custody.tasks]:
            task.cancel()


class World:
    """A site with engines, plain servers and entry VMs.

    Parameters
    ----------
    engines, plain : int
        Number of servers.
    """

    def __init__(
        self,
        engines: int = 3,
        plain: int = 2,
        site: Configuration | None = None,
        lease_ms: float = 3_000,
    ) -> None:
        self.clock = LoopClock()
        self.data = StoreData()
        self.configuration = site or configuration()
        self.lease_ms = lease_ms
        self.port = FakeServers(self.clock)
        self.vms: dict[str, EntryVm] = {}
        self.services: dict[str, str] = {}
        domains = list(REGIONS)
        self.domains: dict[str, str] = {}
        for number in range(engines):
            self.add_server(f"e{number}", ENGINE_SERVICE, 16, domains[number % 3])
        for number in range(plain):
            self.add_server(f"p{number}", PLAIN_SERVICE, 6, domains[number % 3])

    def add_server(self, name: str, service: str, slots: int, domain: str) -> None:
        """Add a backend server."""
        versions = dict.fromkeys(MODELS, 1) if service == ENGINE_SERVICE else {}
        self.port.add(FakeServer(name, slots, versions=versions))
        self.services[name], self.domains[name] = service, domain

    def listed(self) -> list[ListedServer]:
        """Return the servers as the platform lists them."""
        return [
            ListedServer(
                server.name,
                self.services[server.name],
                f"10.0.0.{number}:80",
                self.domains[server.name],
                ServerStage.READY,
                server.slots,
                models=tuple(ModelVersion(m, v) for m, v in server.versions.items()),
                started_ms=1,
            )
            for number, server in enumerate(self.port.servers.values())
        ]

    def start(self, name: str, domain: str = "north", life: str = "1") -> EntryVm:
        """Start an entry VM."""
        vm = EntryVm(self, name, domain, f"{name}-{life}")
        self.vms[name] = vm
        return vm

    def batch(
        self, batch_id: str, lengths: list[int], group_size: int = 4, **header
    ) -> Batch:
        """Return a batch whose items have streams of these lengths."""
        items = []
        for number, events in enumerate(lengths):
            item_id = f"{batch_id}-{number}"
            self.port.outputs[item_id] = Output(events)
            items.append(
                BatchItem(
                    item_id,
                    f"/batch/{number}",
                    (("Host", "site"),),
                    b"body " + item_id.encode(),
                    model="m",
                    group=f"g{number // group_size}",
                    length_hint=events * 44,
                )
            )
        fixed = {"model": "m", "min_version": 1, "step": 0} | header
        return Batch(
            BatchHeader(batch_id, "batch", len(items), self.clock.wall_ms(), **fixed),
            tuple(items),
        )
