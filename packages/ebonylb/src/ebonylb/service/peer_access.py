"""Access of the duties to other entry VMs, over the bus and the membership view."""

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

SILENT_MS = 60_000  # several rounds of gossip between failure domains
# A change of the registry renews the shards at once; only a held change of the number
# of shards, which takes 10 s, waits for this.
POPULATED_MS = 5_000
TARGETS_MS = 100  # digests are older than this; a list per request would cost more
# Digests of other regions arrive every 5 s. At the target they are nine tenths of
# 672 shards, and making them anew every 100 ms took 9% of a core.
FAR_TARGETS_MS = 2_000


class PeerAccess(CallPeers, StepPeers):
    """Requests to entry VMs by name.

    Parameters
    ----------
    bus : PeerBus
        Links.
    membership : Membership
        View of the entry VMs.
    clock : Clock
        Source of time.
    """

    def __init__(self, bus: PeerBus, membership: Membership, clock: Clock) -> None:
        self.bus = bus
        self.membership = membership
        self.clock = clock
        # Losses from before this process started are not known to it.
        self.lost_ms = clock.monotonic_ms()
        self.incarnations: dict[str, str] = {}

    async def request(
        self, entry_vm: str, message: Message, timeout_ms: float
    ) -> Message:
        """Send a message and return its answer; see `CallPeers.request`."""
        self.membership.ensure_link(entry_vm)
        try:
            return await self.bus.request(entry_vm, message, timeout_ms)
        except StepError:
            self.membership.report_unreachable(entry_vm)
            raise

    def has_incarnation_ended(self, entry_vm: str, incarnation: str) -> bool:
        """Tell whether an incarnation has surely ended."""
        return self.membership.is_incarnation_gone(entry_vm, incarnation)

    def entry_vms(self) -> list[str]:
        """Return the names of all other known entry VMs."""
        own = self.membership.name
        return [name for name in self.membership.entry_vms() if name != own]

    def watch_losses(self) -> None:
        """Compare the view with the last one; call it about once a second."""
        now = self.clock.monotonic_ms()
        current = {}
        for vm in self.membership.view.vms.values():
            current[vm.name] = vm.incarnation
            if (
                vm.name != self.membership.name
                and now - vm.heartbeat_made_ms > SILENT_MS
            ):
                self.lost_ms = now
        for name, incarnation in self.incarnations.items():
            if incarnation and current.get(name) != incarnation:
                self.lost_ms = now
        self.incarnations = current

    def has_possible_loss_within(self, duration_ms: float) -> bool:
        """Tell whether any entry VM may have ended in the last `duration_ms`.

        A silent entry VM counts as lost: it may have ended, or be cut off with
        answers that nobody else has.
        """
        self.watch_losses()
        return self.clock.monotonic_ms() - self.lost_ms < duration_ms


@dataclass(slots=True)
class CachedTargets:
    """Targets of a service; those of other regions are renewed less often."""

    near_ms: float = float("-inf")
    far_ms: float = float("-inf")
    far: list[Target] = field(default_factory=list)
    targets: list[Target] = field(default_factory=list)


class MembershipTargets(TargetSource):
    """Targets from the registry's shards and the owners' digests.

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
        self.cached: dict[str, CachedTargets] = {}
        self.shards: dict[str, tuple[float, dict[tuple[str, int], str]]] = {}
        membership.registry.subscribe(self.server_changed)

    def targets(self, service: str) -> list[Target]:
        """Return the shards of a service whose owner is believed to live."""
        now = self.clock.monotonic_ms()
        cached = self.cached.setdefault(service, CachedTargets())
        if now - cached.near_ms < TARGETS_MS and cached.targets:
            return cached.targets
        if now - cached.far_ms >= FAR_TARGETS_MS or not cached.targets:
            cached.far, cached.far_ms = self.build(service, now, False), now
        cached.targets = self.build(service, now, True) + cached.far
        cached.near_ms = now
        return cached.targets

    def build(self, service: str, now_ms: float, near: bool) -> list[Target]:
        """Combine shards, owners and digests of the own or the other regions."""
        own = self.membership.region
        reports = {
            (report.owner, report.digest.shard): report
            for report in self.membership.shard_reports(service, own if near else None)
        }
        targets = []
        for (domain, shard), region in self.populated(service, now_ms).items():
            if (region == own) != near:
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

    def populated(self, service: str, now_ms: float) -> dict[tuple[str, int], str]:
        """Return the shards with servers that take new work, and their regions.

        One pass over all servers; at the target it takes some milliseconds, so it
        is repeated only after a change of the registry or `POPULATED_MS`.
        """
        made_ms, shards = self.shards.get(service, (float("-inf"), {}))
        if now_ms - made_ms < POPULATED_MS:
            return shards
        shards = {
            (server.failure_domain, self.membership.shard_of(server)): server.region
            for server in self.membership.registry.servers(service)
            if server.state is ServerState.LIVE
        }
        self.shards[service] = now_ms, shards
        return shards

    def server_changed(self, server: BackendServer) -> None:
        """Follow a change of the registry; a leaving server may empty its shard."""
        self.shards.pop(server.service, None)
        self.cached.pop(server.service, None)

    def ensure_link(self, target: Target) -> None:
        """Open the link to an owner outside the failure domain."""
        if target.owner != self.membership.name:
            self.membership.ensure_link(target.owner)

    def report_failure(self, target: Target) -> None:
        """Avoid an owner that could not be reached, and look for the next one."""
        self.membership.report_unreachable(target.owner)
        self.cached.pop(target.service, None)
