"""Entry VM service: builds and connects all components and shuts them down in order."""

import asyncio
import logging
from contextlib import AsyncExitStack

from ..adapters import SystemClock
from ..api.admission import Admission
from ..api.auth import Authenticator
from ..api.callers import CallerApi
from ..api.fault_injection import fault_routes
from ..api.health import health_routes
from ..api.operators import OperatorApi, OperatorProviders
from ..api.server import HttpServer
from ..api.trainers import TrainerApi
from ..backends import BackendRegistry, MarkPropagator, VmListPoller
from ..calls import CallService, ClaimStore, Journal, KeyIssuer
from ..configuration import (
    ConfigurationPropagator,
    ConfigurationState,
    ConfigurationStore,
)
from ..crashes import StrikeRegistry, StrikeTable
from ..membership import LocalState, Membership
from ..peers import CurveKeys, PeerBus
from ..peers.messages import MarksQuery, ServerMark
from ..retries import RetryBudget
from ..routing.cross_region import CrossRegionBudget
from ..routing.entry_router import EntryRouter
from ..routing.owner_table import OwnerTable
from ..routing.share_check import ShareCheck
from ..routing.targets import TargetChoice
from ..settings import Settings
from ..shutdown import EntryVmLifecycle, ShutdownStages, StageKind, shutdown
from ..steps import StepService
from ..storage import GroupCommit
from ..tasks import cancel_and_wait
from ..telemetry import RequestTrace
from ..weights import WeightRollout
from .backend_access import BackendAccess
from .mark_recovery import recover_marks
from .operations import Operations, run_periodically
from .owner_factory import HomeShard, OwnerFactory
from .peer_access import MembershipTargets, PeerAccess
from .platform_access import PlatformAccess
from .strike_propagation import StrikePropagator
from .weight_scope import WeightScope

logger = logging.getLogger(__name__)

JOIN_TIMEOUT_MS = 3_000
IDLE_OWNER_SWEEP_INTERVAL_MS = 10_000
OWNED_SHARD_CHECK_INTERVAL_MS = 250
METRICS_INTERVAL_MS = 1_000
LOSS_CHECK_INTERVAL_MS = 1_000
ANNOUNCEMENTS_PER_DOMAIN = 3  # to entry VMs of each other failure domain
# Retries at the entry VM add to the owners' 8%; together they stay within 10%.
ENTRY_EARNED_PER_ATTEMPT = 0.02
STEP_DRAIN_TIMEOUT_MS = 30_000
JOURNAL_CLOSE_TIMEOUT_MS = 60_000


class EntryVmService:
    """Components of one entry VM, and their start and shutdown.

    Parameters
    ----------
    settings : Settings
        Validated settings file.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.platform = PlatformAccess(settings)
        self.trace = RequestTrace(self.clock)
        self.lifecycle = EntryVmLifecycle()
        self.admission = Admission(self.can_admit)
        self.configuration = ConfigurationState()
        self.exit_stack = AsyncExitStack()
        self.tasks: list[asyncio.Task[None]] = []
        self.stop_requested = asyncio.Event()

    def can_admit(self) -> bool:
        """Return whether this entry VM accepts new work now."""
        return (
            self.lifecycle.can_admit_requests()
            and self.configuration_propagator.can_admit()
        )

    def is_ready(self) -> bool:
        """Return whether the balancer should send new work to this entry VM."""
        return self.lifecycle.is_ready() and self.configuration_propagator.can_admit()

    async def start(self) -> None:
        """Start all components; return when this entry VM is ready to serve."""
        self.exit_stack.push_async_callback(self.cancel_tasks)
        await self.platform.open()
        self.exit_stack.push_async_callback(self.platform.close)
        await self.open_peer_bus()
        self.build_backends()
        self.build_membership()
        self.build_routing()
        await self.join_cluster()
        await self.build_calls_and_steps()
        self.build_weights()
        await self.serve_http()
        await self.configuration_propagator.start()
        self.lifecycle.become_ready()
        await self.membership.announce()
        self.spawn(self.announce_to_other_domains(), "announce-beyond")
        logger.info("ready", extra={"revision": self.configuration.revision})

    async def announce_to_other_domains(self) -> None:
        """Announce this entry VM to some entry VMs of each other failure domain.

        They learn from it that this entry VM may own shards. Otherwise they would
        learn it in the next gossip round and, if all entry VMs of this domain have
        just started, would refuse work for its shards until then.
        """
        gossip = self.membership.gossip
        names = [
            vm.name
            for vms in gossip.domains().values()
            for vm in vms[:ANNOUNCEMENTS_PER_DOMAIN]
        ]
        await asyncio.gather(*(gossip.exchange(name) for name in names))

    def spawn(self, coroutine, name: str) -> None:
        """Run a background task until the service closes."""
        task = asyncio.create_task(coroutine, name=name)
        task.add_done_callback(log_task_failure)
        self.tasks.append(task)

    async def cancel_tasks(self) -> None:
        """Cancel the background tasks and wait for their end."""
        await cancel_and_wait(self.tasks)

    async def open_peer_bus(self) -> None:
        """Bind the peer socket."""
        curve = self.settings.curve
        keys = CurveKeys(curve.public.encode(), curve.secret.encode())
        self.bus = PeerBus(self.settings.name, self.settings.peer_address, keys)
        await self.bus.start()
        self.exit_stack.push_async_callback(self.bus.close)

    def build_backends(self) -> None:
        """Build the registry of backend servers and the propagation of marks."""
        self.backend_access = BackendAccess(self.platform.http)
        self.mark_propagator = MarkPropagator(
            self.bus, lambda: self.membership.members()
        )
        self.exit_stack.push_async_callback(self.mark_propagator.close)
        self.registry = BackendRegistry(
            self.clock,
            self.backend_access.probe,
            self.mark_propagator.broadcast,
            self.propagate_mark,
            self.settings.failure_domain,
        )
        self.bus.on(ServerMark, self.registry.accept_mark)
        self.bus.on(MarksQuery, self.registry.stream_marks)

    def propagate_mark(self, mark: ServerMark) -> None:
        """Send a mark to other failure domains now and in the next gossip rounds.

        A domain whose entry VMs are all replaced between two gossip rounds recovers
        its marks from the other domains.
        """
        self.mark_propagator.gossip(mark)
        for partner in self.membership.gossip.partners():
            self.membership.ensure_link(partner)
            self.mark_propagator.send_all(partner, [mark])

    def build_membership(self) -> None:
        """Build the membership view and the propagation of configurations."""
        settings = self.settings
        local_state = LocalState(
            revision=lambda: self.configuration.revision,
            lifecycle=lambda: self.lifecycle.state,
            shards=lambda: self.owner_table.digests(),
            served=lambda: self.owner_table.served,
            backlogged=lambda: self.owner_table.backlogged,
        )
        self.membership = Membership(
            settings, self.bus, self.clock, self.registry, local_state
        )
        self.membership.register(self.bus)
        self.configuration_store = ConfigurationStore(
            self.platform.tables, self.clock, settings.name
        )
        self.configuration_propagator = ConfigurationPropagator(
            settings.name,
            self.configuration,
            self.configuration_store,
            self.bus,
            self.clock,
            lambda: self.membership.eligible_owners(settings.failure_domain),
            lambda: list(self.bus.links),
            settings.timing.poll_ms,
            settings.timing.stall_ms,
        )
        self.exit_stack.push_async_callback(self.configuration_propagator.close)
        self.membership.on_revision = self.configuration_propagator.on_peer_revision
        self.membership.on_reconnect = lambda peer: self.mark_propagator.send_all(
            peer, self.registry.marks()
        )
        self.membership.on_gossip_round = self.mark_propagator.send_gossip_round
        # Two processes with the same name would alternate as owners of the same shards.
        self.membership.on_superseded = self.stop_requested.set
        self.vm_list_poller = VmListPoller(
            self.platform.vm_list, self.clock, settings.timing.vm_list_ms
        )
        self.vm_list_poller.subscribe(self.registry.apply_list)
        self.vm_list_poller.subscribe(self.membership.apply_list)

    def build_routing(self) -> None:
        """Build the shard owners, the strike registry and the router."""
        settings = self.settings
        targets = MembershipTargets(self.membership, self.clock)
        target_choice = TargetChoice(
            settings.failure_domain, settings.region, settings.policy.group_imbalance
        )
        self.strike_propagator = StrikePropagator(self.bus, self.membership)
        self.strike_registry = StrikeRegistry(
            self.strike_propagator.publish,
            StrikeTable(self.platform.tables, self.clock),
        )
        self.strike_propagator.strike_registry = self.strike_registry
        self.owner_factory = OwnerFactory(
            settings,
            self.clock,
            self.registry,
            self.membership,
            self.configuration,
            self.backend_access,
            self.strike_registry,
            RetryBudget(),
            HomeShard(targets, target_choice),
        )
        self.owner_table = OwnerTable(
            self.owner_factory.make_owner, self.clock, self.membership.owned_shards
        )
        self.owner_factory.owner_table = self.owner_table
        self.owner_table.register(self.bus)
        self.exit_stack.push_async_callback(self.owner_table.close)
        self.cross_region = CrossRegionBudget(
            self.clock, self.configuration.cross_region_rate
        )
        self.entry_budget = RetryBudget(ENTRY_EARNED_PER_ATTEMPT)
        self.router = EntryRouter(
            settings.name,
            self.bus,
            self.owner_table,
            targets,
            target_choice,
            self.entry_budget,
            self.cross_region,
            self.clock,
            self.trace,
            self.strike_registry.strikes,
        )
        self.executor = ShareCheck(self.router, self.configuration)

    async def join_cluster(self) -> None:
        """Discover entry VMs and backend servers, and start the periodic tasks."""
        await self.vm_list_poller.poll_once()
        await self.membership.start()
        self.exit_stack.push_async_callback(self.membership.close)
        await self.membership.wait_until_joined(JOIN_TIMEOUT_MS)
        await recover_marks(
            self.membership, self.mark_propagator, self.registry, self.clock
        )
        self.spawn(self.vm_list_poller.run(), "vm-list")
        # A new entry VM must know the strikes before it accepts a request with strikes.
        await self.strike_registry.table.read()
        self.spawn(self.strike_registry.table.run(), "strike-table")
        self.spawn(
            run_periodically(
                self.clock, OWNED_SHARD_CHECK_INTERVAL_MS, self.owner_table.create_owned
            ),
            "owned-shards",
        )
        self.spawn(
            run_periodically(
                self.clock, IDLE_OWNER_SWEEP_INTERVAL_MS, self.owner_table.drop_idle
            ),
            "idle-owners",
        )
        self.spawn(
            run_periodically(self.clock, METRICS_INTERVAL_MS, self.send_metrics),
            "metrics",
        )

    async def build_calls_and_steps(self) -> None:
        """Build the services for non-idempotent calls and trainer steps."""
        settings, incarnation = self.settings, self.membership.incarnation
        retention_ms = settings.timing.key_retention_ms
        peers = PeerAccess(self.bus, self.membership, self.clock)
        self.spawn(
            run_periodically(self.clock, LOSS_CHECK_INTERVAL_MS, peers.record_losses),
            "losses",
        )
        group_commit = GroupCommit(
            self.platform.tables,
            self.clock,
            flush_interval_ms=settings.timing.journal_flush_ms,
        )
        await group_commit.start()
        self.exit_stack.push_async_callback(group_commit.close)
        journal = Journal(
            group_commit,
            self.platform.tables,
            self.platform.objects,
            self.clock,
            settings.name,
            settings.limits.journal_rows,
            settings.limits.journal_bytes,
        )
        await journal.start()
        self.issuer = KeyIssuer(
            settings.name, incarnation, settings.key_secret, self.clock, retention_ms
        )
        claims = ClaimStore(
            group_commit, journal, peers, settings.name, incarnation, retention_ms
        )
        self.calls = CallService(
            self.issuer, claims, journal, self.executor, peers, self.clock, retention_ms
        )
        self.calls.register(self.bus)
        self.steps = StepService(
            settings.name,
            self.executor,
            peers,
            self.platform.tables,
            self.clock,
            self.configuration.staleness_cap,
            self.entry_budget.try_spend,
            self.entry_budget.try_spend,
        )
        self.steps.register(self.bus)

    def build_weights(self) -> None:
        """Build the rollout of weight versions to the servers of the owned shards."""
        scope = WeightScope(self.membership, self.configuration)
        self.weights = WeightRollout(
            self.platform.tables,
            self.platform.weights,
            self.clock,
            self.backend_access.engine_for,
            scope.region_servers,
            scope.owned_shards,
            scope.engine_services,
            f"{self.settings.name}/{self.membership.incarnation}",
            self.settings.policy.swap_share,
            self.settings.timing.poll_ms,
        )
        self.spawn(self.weights.run(), "weights")

    async def serve_http(self) -> None:
        """Start the HTTP server for callers, trainers and operators."""
        settings = self.settings
        authenticator = Authenticator(settings.tokens.parties)
        self.operations = Operations(
            self.membership,
            self.registry,
            self.mark_propagator,
            self.owner_table,
            self.configuration,
            self.bus,
            self.trace,
            self.clock,
            lambda: self.lifecycle.state,
        )
        providers = OperatorProviders(
            self.operations.status,
            self.operations.shares,
            self.operations.explain,
            self.operations.drain,
        )
        callers = CallerApi(
            self.executor,
            self.calls,
            self.issuer,
            authenticator,
            settings.limits,
        )
        routes = [
            *health_routes(lambda: self.lifecycle.state, self.is_ready),
            *callers.routes(),
            *TrainerApi(self.steps, authenticator.find_party).routes(),
            *OperatorApi(
                settings.tokens.operators, self.configuration_propagator, providers
            ).routes(),
        ]
        if settings.allow_fault_injection:
            routes += fault_routes(self.bus)
        self.server = HttpServer(
            settings.http_address, routes, self.admission, settings.limits, settings.tls
        )
        await self.server.start()
        self.exit_stack.push_async_callback(self.server.close)

    def send_metrics(self) -> None:
        """Send the gauges of this entry VM to the metrics service."""
        metrics = self.platform.metrics
        metrics.gauge("in_flight", self.admission.in_flight)
        metrics.gauge("revision", self.configuration.revision)
        metrics.gauge("entry_vms", len(self.membership.entry_vms()))
        for digest in self.owner_table.digests():
            name = f"shard.{digest.service}.{digest.shard}"
            metrics.gauge(f"{name}.queued_tokens", digest.queued_tokens)
            metrics.gauge(f"{name}.tokens_per_s", digest.tokens_per_s)

    async def shutdown(self) -> None:
        """Run the shutdown stages, which interrupt no admitted request.

        Only stages that exceed `shutdown_limit_ms` are cancelled.
        """
        timing = self.settings.timing
        stages = ShutdownStages()
        stages.add(StageKind.TELL_PEERS, self.membership.announce)
        stages.add(
            StageKind.HAND_BACK_QUEUE,
            self.owner_table.drain,
            self.owner_table.describe_jobs,
        )
        # The stream of a step is a request in flight, so it ends before that stage.
        stages.add(
            StageKind.HAND_BACK_QUEUE, lambda: self.steps.drain(STEP_DRAIN_TIMEOUT_MS)
        )
        stages.add(
            StageKind.WAIT_IN_FLIGHT,
            self.admission.idle.wait,
            self.admission.describe_in_flight,
        )
        stages.add(StageKind.FLUSH_JOURNAL, self.mark_propagator.flush)
        stages.add(
            StageKind.FLUSH_JOURNAL, lambda: self.calls.close(JOURNAL_CLOSE_TIMEOUT_MS)
        )
        await shutdown(
            self.lifecycle,
            stages,
            self.clock,
            timing.balancer_grace_ms,
            timing.shutdown_limit_ms,
        )

    async def close(self) -> None:
        """Close all components and connections."""
        await self.exit_stack.aclose()


def log_task_failure(task: "asyncio.Task[None]") -> None:
    """Log the error of a background task that failed."""
    if not task.cancelled() and (error := task.exception()) is not None:
        logger.error("task %s failed", task.get_name(), exc_info=error)
