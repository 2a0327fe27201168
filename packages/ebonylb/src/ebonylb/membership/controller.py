"""Membership of entry VMs: discovery, liveness and shard ownership."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..backends import BackendRegistry, BackendServer
from ..interfaces import Clock, VmEntry
from ..outcomes import StepError
from ..peers import PeerBus
from ..peers.messages import Digests, Heartbeat, Message, ShardDigest
from ..settings import Settings
from ..tasks import cancel_and_wait
from .gossip import Gossip
from .incarnation import new_incarnation
from .monitor import PeerMonitor, log_failure
from .ownership import Ownership
from .rendezvous import shard_id, shard_index
from .view import (
    MAX_UNREACHABLE_BACKOFF_MS,
    MIN_UNREACHABLE_BACKOFF_MS,
    ClusterView,
    EntryVm,
    MergeResult,
    ShardReport,
)

logger = logging.getLogger(__name__)

HEARTBEATS_PER_SERVED_REPORT = 4  # served tokens are in every fourth heartbeat
SEED_RETRY_INTERVAL_MS = 2_000
ANNOUNCE_TIMEOUT_MS = 1_000


@dataclass(frozen=True, slots=True)
class LocalState:
    """Callables that provide the local state for this VM's heartbeats.

    Parameters
    ----------
    revision : callable
        Returns the configuration revision in force, 0 for none.
    lifecycle : callable
        Returns the state of the `EntryVmLifecycle`.
    shards : callable
        Returns the digests of the shards that this VM owns.
    served : callable
        Returns the tokens served per party since the start.
    backlogged : callable
        Returns the parties that have queued work.
    """

    revision: Callable[[], int]
    lifecycle: Callable[[], str]
    shards: Callable[[], list[ShardDigest]]
    served: Callable[[], dict[str, int]]
    backlogged: Callable[[], list[str]]


def ignore_event(*_: object) -> None:
    """Do nothing; default of the event callbacks."""


class Membership:
    """View of the entry VMs and ownership of shards.

    The view is eventually consistent: two VMs may disagree for some heartbeats, which
    costs only efficiency. Members of the same failure domain are alive
    while they reply to heartbeats. VMs of other domains are alive while the VM list or
    gossip contains them.

    Parameters
    ----------
    settings : Settings
        Name, location, seeds and intervals.
    bus : PeerBus
        Started bus, whose links to entry VMs are managed by this class.
    clock : Clock
        Source of time.
    registry : BackendRegistry
        Provides the backend servers to shard.
    local : LocalState
        Local state for this VM's heartbeats.

    Attributes
    ----------
    on_revision : callable
        Called with (peer, revision) when a peer has a higher revision.
    on_reconnect : callable
        Called with the name of a VM when it is heard for the first time, again
        after it was suspected, or with a new incarnation.
    on_gossip_round : callable
        Called with the names of the partners after each gossip round.
    on_superseded : callable
        Called when a newer incarnation with this VM's name runs elsewhere.
    """

    def __init__(
        self,
        settings: Settings,
        bus: PeerBus,
        clock: Clock,
        registry: BackendRegistry,
        local: LocalState,
    ) -> None:
        self.name = settings.name
        self.failure_domain = settings.failure_domain
        self.region = settings.region
        self.timing = settings.timing
        self.seeds = settings.peers
        self.bus, self.clock, self.local = bus, clock, local
        self.registry = registry
        self.incarnation = new_incarnation(clock)
        self.sequence = 0
        self.superseded = False
        self.view = ClusterView()
        self.view.listeners.append(self.on_vm_changed)
        self.monitors: dict[str, PeerMonitor] = {}
        self.gossip = Gossip(self)
        self.ownership = Ownership(self)
        self.tasks: list[asyncio.Task[None]] = []
        self.on_revision: Callable[[str, int], object] = ignore_event
        self.on_reconnect: Callable[[str], object] = ignore_event
        self.on_gossip_round: Callable[[list[str]], object] = ignore_event
        self.on_superseded: Callable[[], object] = ignore_event

    def register(self, bus: PeerBus) -> None:
        """Register the handlers for heartbeats and digests."""
        bus.on(Heartbeat, self.on_heartbeat)
        bus.on(Digests, self.gossip.on_digests)

    async def start(self) -> None:
        """Start the gossip task and the exchange with seeds."""
        self.tasks = [
            asyncio.create_task(self.gossip.run(), name="gossip"),
            asyncio.create_task(self.contact_seeds(), name="seeds"),
        ]
        for task in self.tasks:
            task.add_done_callback(log_failure)

    async def close(self) -> None:
        """Stop all tasks; the links stay with the bus."""
        await cancel_and_wait(self.tasks)
        for monitor in list(self.monitors.values()):
            await monitor.close()
        self.monitors.clear()

    async def contact_seeds(self) -> None:
        """Exchange digests with each seed, with retries until it has replied once."""
        missing = {seed.name: seed for seed in self.seeds if seed.name != self.name}
        while missing:
            for name, seed in list(missing.items()):
                if name not in self.bus.links:
                    self.bus.connect(name, seed.address)
                if await self.gossip.exchange(name):
                    del missing[name]
            if missing:
                await self.clock.sleep_ms(
                    SEED_RETRY_INTERVAL_MS * random.uniform(0.5, 1.0)
                )

    async def wait_until_joined(self, timeout_ms: float) -> bool:
        """Wait for a heartbeat attempt with each known member; return False on timeout.

        Otherwise a VM that owned shards earlier would also claim those of members that
        it has not heard yet.
        """
        deadline_ms = self.clock.monotonic_ms() + timeout_ms
        while not all(
            monitor.has_attempted_exchange for monitor in self.monitors.values()
        ):
            if self.clock.monotonic_ms() >= deadline_ms:
                return False
            await self.clock.sleep_ms(10)
        return True

    def apply_list(self, entries: list[VmEntry]) -> None:
        """Apply a reading of the VM list; listener for `VmListPoller`."""
        dropped = self.view.apply_list(entries, self.clock.monotonic_ms())
        for vm in dropped:
            monitor = self.monitors.pop(vm.name, None)
            self.ownership.invalidate(vm.failure_domain)
            task = asyncio.create_task(self.drop_link(vm.name, monitor))
            self.tasks.append(task)
            task.add_done_callback(self.tasks.remove)

    async def drop_link(self, name: str, monitor: PeerMonitor | None) -> None:
        """Close the monitor and the link of a VM that left the view."""
        if monitor is not None:
            await monitor.close()
        await self.bus.disconnect(name)

    def on_vm_changed(self, vm: EntryVm) -> None:
        """Update link, monitor, liveness and cached owners of a changed VM."""
        if vm.name == self.name:
            return
        if vm.failure_domain == self.failure_domain:
            self.bus.connect(vm.name, vm.address)
            if vm.name not in self.monitors:
                self.monitors[vm.name] = PeerMonitor(self, vm.name)
        else:
            vm.alive = True
            link = self.bus.links.get(vm.name)
            if link is not None and link.address != vm.address:
                self.bus.connect(vm.name, vm.address)
        self.ownership.invalidate(vm.failure_domain)

    def ensure_link(self, name: str) -> bool:
        """Open the link to a known VM if it is missing; return whether there is one."""
        vm = self.view.vms.get(name)
        if vm is not None and name not in self.bus.links:
            self.bus.connect(name, vm.address)
        return name in self.bus.links

    def heartbeat_interval_ms(self) -> float:
        """Return the heartbeat interval, which grows with the number of members."""
        base_ms = self.timing.heartbeat_ms
        return max(base_ms, (len(self.monitors) + 1) * base_ms / 4)

    def served_interval_ms(self) -> float:
        """Return the interval at which heartbeats include served tokens."""
        return HEARTBEATS_PER_SERVED_REPORT * self.heartbeat_interval_ms()

    def own_heartbeat(self) -> Heartbeat:
        """Return a new full heartbeat of this VM."""
        self.sequence += 1
        return Heartbeat(
            self.name,
            self.incarnation,
            self.bus.address,
            self.failure_domain,
            self.region,
            self.local.revision(),
            self.local.lifecycle(),
            self.local.shards(),
            dict(self.local.served()),
            list(self.local.backlogged()),
            self.sequence,
        )

    async def on_heartbeat(self, message: Message) -> Heartbeat:
        """Merge a member's heartbeat and return this VM's; handler of `Heartbeat`.

        Raises
        ------
        StepError
            The delta's base is missing here, or the sender has been superseded.
        """
        assert isinstance(message, Heartbeat)
        merged = self.receive_heartbeat(message)
        if merged is MergeResult.BASE_MISSING:
            raise StepError("membership.base", self.name, "a full heartbeat is needed")
        if merged is MergeResult.SUPERSEDED:
            newest = self.view.vms[message.entry_vm].incarnation
            raise StepError("membership.superseded", self.name, newest)
        monitor = self.monitors.get(message.entry_vm)
        return self.own_heartbeat() if monitor is None else monitor.reply(message)

    def receive_heartbeat(self, heartbeat: Heartbeat) -> MergeResult:
        """Merge a heartbeat received from its sender, which proves the VM alive."""
        merged = self.view.merge(heartbeat, self.clock.monotonic_ms())
        if merged in (MergeResult.APPLIED, MergeResult.NOT_NEWER):
            monitor = self.monitors.get(heartbeat.entry_vm)
            if monitor is not None:
                monitor.record_heard()
            self.set_alive(heartbeat.entry_vm, True)
            self.report_reconnect(heartbeat.entry_vm)
            if heartbeat.revision > self.local.revision():
                self.on_revision(heartbeat.entry_vm, heartbeat.revision)
        return merged

    def receive_relayed(self, heartbeat: Heartbeat) -> None:
        """Merge a relayed heartbeat, which does not prove the VM alive."""
        self.view.merge(heartbeat, self.clock.monotonic_ms())

    def on_own_newer_incarnation(self, newest: str) -> None:
        """Handle a peer's report of a newer incarnation with this VM's name.

        During startup, it means that this VM's clock is behind that of its
        predecessor, so this VM takes a higher incarnation. Later, it means that
        another process has replaced this one.
        """
        if newest <= self.incarnation:
            return
        if self.local.lifecycle() == "starting":
            self.incarnation = new_incarnation(self.clock, newest)
        elif not self.superseded:
            logger.error("a newer incarnation of %s runs elsewhere", self.name)
            self.superseded = True
            self.ownership.invalidate(self.failure_domain)
            self.on_superseded()

    def set_alive(self, name: str, alive: bool) -> None:
        """Set a VM's liveness and invalidate what depends on it."""
        vm = self.view.vms.get(name)
        if vm is None or vm.alive == alive:
            return
        vm.alive = alive
        self.ownership.invalidate(vm.failure_domain)
        link = self.bus.links.get(name)
        if not alive and link is not None:
            # A frozen peer keeps its TCP connection open, so operations that wait for
            # it would hang.
            link.fail_pending("the peer is suspected to have failed")
        if not alive:
            vm.reported_incarnation = ""

    def report_reconnect(self, name: str) -> None:
        """Call `on_reconnect` for a process that lacks the state in this VM's memory.

        A process may be replaced before its predecessor is suspected, and a whole
        failure domain may be replaced at once. Therefore VMs of other domains are
        reported too.
        """
        vm = self.view.vms[name]
        if vm.reported_incarnation != vm.incarnation and self.ensure_link(name):
            vm.reported_incarnation = vm.incarnation
            self.on_reconnect(name)

    def report_unreachable(self, name: str) -> None:
        """Record a failed exchange with a VM.

        A VM of another domain is avoided for a backoff time. For a member of this
        domain the heartbeats decide, so one is sent immediately.
        """
        monitor = self.monitors.get(name)
        if monitor is not None:
            monitor.connection_broken = True
            monitor.wake_up.set()
            return
        vm = self.view.vms.get(name)
        if vm is not None:
            backoff_ms = max(MIN_UNREACHABLE_BACKOFF_MS, vm.unreachable_backoff_ms * 2)
            vm.unreachable_backoff_ms = min(backoff_ms, MAX_UNREACHABLE_BACKOFF_MS)
            vm.unreachable_until_ms = (
                self.clock.monotonic_ms() + vm.unreachable_backoff_ms
            )
            self.ownership.invalidate(vm.failure_domain)

    async def announce(self) -> list[str]:
        """Send a full heartbeat to all live members; return those that replied."""
        peers = [name for name in self.monitors if self.view.vms[name].alive]
        for name in peers:
            self.monitors[name].delta.reset()
        replies = await self.bus.broadcast(
            peers, self.own_heartbeat(), ANNOUNCE_TIMEOUT_MS
        )
        return [n for n, reply in replies.items() if not isinstance(reply, StepError)]

    def entry_vms(self) -> list[str]:
        """Return the names of all known entry VMs and this one, sorted."""
        return sorted({*self.view.vms, self.name})

    def members(self) -> list[str]:
        """Return the other live entry VMs of this failure domain."""
        return [name for name in self.monitors if self.view.vms[name].alive]

    def ready_peers(self) -> list[str]:
        """Return the other live entry VMs of any domain whose lifecycle is ready."""
        return [
            vm.name
            for vm in self.view.vms.values()
            if vm.name != self.name and vm.alive and vm.lifecycle == "ready"
        ]

    def eligible_owners(self, failure_domain: str) -> list[str]:
        """Return the entry VMs of a domain that may own shards, sorted."""
        return self.ownership.eligible_owners(failure_domain)

    def owner(self, service: str, shard: int, failure_domain: str) -> str | None:
        """Return the entry VM that owns a shard, or None if no VM is eligible."""
        return self.ownership.owner(service, shard, failure_domain)

    def shard_count(self, service: str, failure_domain: str) -> int:
        """Return the number of shards of a service in a domain."""
        return self.ownership.shard_counts.get(service, failure_domain)

    def shard_of(self, server: BackendServer) -> int:
        """Return the shard of a server."""
        count = self.shard_count(server.service, server.failure_domain)
        return shard_index(server.name, count)

    def owned_shards(self) -> list[tuple[str, int]]:
        """Return the shards of this domain that this VM owns."""
        return self.ownership.owned_shards()

    def region_servers(self, service: str) -> list[tuple[str, BackendServer]]:
        """Return a service's servers in this region, each with the id of its shard."""
        return [
            (
                shard_id(service, server.failure_domain, self.shard_of(server)),
                server,
            )
            for server in self.registry.servers(service)
            if server.region == self.region
        ]

    def shard_reports(
        self, service: str, region: str | None = None
    ) -> list[ShardReport]:
        """Return the load of a service's shards.

        Shards of this VM are always included, with age 0. If a region is given, the
        shards of other VMs are limited to it.
        """
        own = [
            ShardReport(self.name, self.failure_domain, self.region, digest, 0.0)
            for digest in self.local.shards()
            if digest.service == service
        ]
        return own + self.view.shard_reports(service, self.clock.monotonic_ms(), region)

    def served_totals(self) -> dict[str, int]:
        """Return the tokens served per party over all known VMs, which only grow."""
        totals = dict(self.view.served_by_ended)
        served_elsewhere: Iterable[dict[str, int]] = (
            vm.served for vm in self.view.vms.values()
        )
        for served in (*served_elsewhere, self.local.served()):
            for party, tokens in served.items():
                totals[party] = totals.get(party, 0) + tokens
        return totals

    def backlogged(self) -> set[str]:
        """Return the parties that have queued work on any live VM."""
        parties = set(self.local.backlogged())
        for vm in self.view.vms.values():
            if vm.alive:
                parties.update(vm.backlogged)
        return parties

    def has_incarnation_ended(self, entry_vm: str, incarnation: str) -> bool:
        """Return whether an incarnation of an entry VM has certainly ended."""
        if entry_vm == self.name:
            return incarnation < self.incarnation
        return self.view.has_incarnation_ended(entry_vm, incarnation)
