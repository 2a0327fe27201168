"""Access to other entry VMs through the peer bus and the membership view."""

from dataclasses import dataclass, field

from ..backends import BackendServer, ServerState
from ..calls import CallPeers
from ..interfaces import Clock
from ..membership import Membership
from ..outcomes import StepError
from ..peers import PeerBus
from ..peers.messages import Message
from ..routing.targets import Target, TargetSource
from ..steps import StepPeers

MAX_HEARTBEAT_AGE_MS = 60_000  # several gossip rounds between failure domains
# A change of the registry invalidates the cached shards at once. Only a change of the
# number of shards, which membership delays by 10 s, takes effect after this time.
MAX_SHARDS_AGE_MS = 5_000
# The digests are older than this anyway, and building the targets for each request
# would cost more.
MAX_TARGETS_AGE_MS = 100
# Digests of other regions arrive every 5 s. At the target size, nine tenths of the 672
# shards are in other regions, and rebuilding their targets every 100 ms took 9% of a
# core.
MAX_REMOTE_TARGETS_AGE_MS = 2_000


class PeerAccess(CallPeers, StepPeers):
    """Sends requests to entry VMs by name and records possible losses of entry VMs.

    Parameters
    ----------
    bus : PeerBus
        Links to peers.
    membership : Membership
        View of the entry VMs.
    clock : Clock
        Source of time.
    """

    def __init__(self, bus: PeerBus, membership: Membership, clock: Clock) -> None:
        self.bus = bus
        self.membership = membership
        self.clock = clock
        # Earlier losses are unknown, so one is assumed at the start of this process.
        self.last_loss_ms = clock.monotonic_ms()
        self.incarnations: dict[str, str] = {}

    async def request(
        self, entry_vm: str, message: Message, timeout_ms: float
    ) -> Message:
        """Send a message and return the reply; see `CallPeers.request`."""
        self.membership.ensure_link(entry_vm)
        try:
            return await self.bus.request(entry_vm, message, timeout_ms)
        except StepError:
            self.membership.report_unreachable(entry_vm)
            raise

    def has_incarnation_ended(self, entry_vm: str, incarnation: str) -> bool:
        """Return whether an incarnation has certainly ended."""
        return self.membership.has_incarnation_ended(entry_vm, incarnation)

    def entry_vms(self) -> list[str]:
        """Return the names of all other known entry VMs."""
        own_name = self.membership.name
        return [name for name in self.membership.entry_vms() if name != own_name]

    def record_losses(self) -> None:
        """Record silent and restarted entry VMs; to be called about once a second."""
        now_ms = self.clock.monotonic_ms()
        current_incarnations = {}
        for vm in self.membership.view.vms.values():
            current_incarnations[vm.name] = vm.incarnation
            if (
                vm.name != self.membership.name
                and now_ms - vm.heartbeat_made_ms > MAX_HEARTBEAT_AGE_MS
            ):
                self.last_loss_ms = now_ms
        for name, incarnation in self.incarnations.items():
            if incarnation and current_incarnations.get(name) != incarnation:
                self.last_loss_ms = now_ms
        self.incarnations = current_incarnations

    def has_possible_loss_within(self, duration_ms: float) -> bool:
        """Return whether any entry VM may have ended in the last `duration_ms`.

        A silent entry VM counts as lost: it may have ended, or it may be disconnected
        and hold results that no other entry VM has.
        """
        self.record_losses()
        return self.clock.monotonic_ms() - self.last_loss_ms < duration_ms


@dataclass(slots=True)
class CachedTargets:
    """Targets of a service; those of other regions are refreshed less often."""

    computed_ms: float = float("-inf")
    remote_computed_ms: float = float("-inf")
    remote_targets: list[Target] = field(default_factory=list)
    targets: list[Target] = field(default_factory=list)


class MembershipTargets(TargetSource):
    """Builds targets from the shards of the registry and the digests of their owners.

    Parameters
    ----------
    membership : Membership
        Owners and digests.
    clock : Clock
        Source of time.
    """

    def __init__(self, membership: Membership, clock: Clock) -> None:
        self.membership = membership
        self.clock = clock
        self.cached_targets: dict[str, CachedTargets] = {}
        self.shards_by_service: dict[str, tuple[float, dict[tuple[str, int], str]]] = {}
        membership.registry.subscribe(self.on_server_change)

    def targets(self, service: str) -> list[Target]:
        """Return the shards of a service that have an eligible owner."""
        now_ms = self.clock.monotonic_ms()
        cached = self.cached_targets.setdefault(service, CachedTargets())
        if now_ms - cached.computed_ms < MAX_TARGETS_AGE_MS and cached.targets:
            return cached.targets
        if (
            now_ms - cached.remote_computed_ms >= MAX_REMOTE_TARGETS_AGE_MS
            or not cached.targets
        ):
            cached.remote_targets, cached.remote_computed_ms = (
                self.build_targets(service, now_ms, False),
                now_ms,
            )
        cached.targets = (
            self.build_targets(service, now_ms, True) + cached.remote_targets
        )
        cached.computed_ms = now_ms
        return cached.targets

    def build_targets(
        self, service: str, now_ms: float, is_own_region: bool
    ) -> list[Target]:
        """Return the targets in the own region, or those in all other regions."""
        own_region = self.membership.region
        reports = {
            (report.owner, report.digest.shard): report
            for report in self.membership.shard_reports(
                service, own_region if is_own_region else None
            )
        }
        targets = []
        for (domain, shard), region in self.populated_shards(service, now_ms).items():
            if (region == own_region) != is_own_region:
                continue
            owner = self.membership.owner(service, shard, domain)
            if owner is None:
                continue
            report = reports.get((owner, shard))
            digest = report.digest if report else None
            targets.append(
                Target(
                    owner=owner,
                    failure_domain=domain,
                    region=region,
                    service=service,
                    shard=shard,
                    queued_tokens=digest.queued_tokens if digest else 0,
                    tokens_per_s=digest.tokens_per_s if digest else 0,
                    free=digest.free if digest else 1,
                    reported_ms=round(now_ms - report.age_ms) if report else 0,
                )
            )
        return targets

    def populated_shards(
        self, service: str, now_ms: float
    ) -> dict[tuple[str, int], str]:
        """Return the shards with servers that accept new work, and their regions.

        The pass over all servers takes some milliseconds at the target size, so it is
        repeated only after a change of the registry or after `MAX_SHARDS_AGE_MS`.
        """
        computed_ms, shards = self.shards_by_service.get(service, (float("-inf"), {}))
        if now_ms - computed_ms < MAX_SHARDS_AGE_MS:
            return shards
        shards = {
            (server.failure_domain, self.membership.shard_of(server)): server.region
            for server in self.membership.registry.servers(service)
            if server.state is ServerState.LIVE
        }
        self.shards_by_service[service] = now_ms, shards
        return shards

    def on_server_change(self, server: BackendServer) -> None:
        """Invalidate the caches of a service; a leaving server may empty its shard."""
        self.shards_by_service.pop(server.service, None)
        self.cached_targets.pop(server.service, None)

    def ensure_link(self, target: Target) -> None:
        """Open a link to the owner of a target, which may be in another domain."""
        if target.owner != self.membership.name:
            self.membership.ensure_link(target.owner)

    def report_failure(self, target: Target) -> None:
        """Report an unreachable owner and look up the next one on the next request."""
        self.membership.report_unreachable(target.owner)
        self.cached_targets.pop(target.service, None)
