"""What this entry VM knows of the other entry VMs."""

import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from ..edges import VmEntry, VmKind, VmState
from ..peers.messages import Heartbeat, ShardDigest
from .incarnation import SUFFIX_DIGITS

# A VM that was neither listed nor heard for this long is dropped from the view.
ABSENCE_TIMEOUT_MS = 60_000
# No incarnation of a name still runs once it has been unlisted for this long.
GONE_TIMEOUT_MS = 600_000
# A peer outside the domain is avoided after a failure, longer after each further one.
# The first wait is short: a link that was just opened may fail for no lasting reason.
MIN_UNREACHABLE_BACKOFF_MS = 250
MAX_UNREACHABLE_BACKOFF_MS = 10_000
MAX_LISTED_NAMES = 4_096  # about a day of replaced names at the target


class MergeResult(Enum):
    """Effect of a heartbeat on the view."""

    APPLIED = auto()
    NOT_NEWER = auto()
    SUPERSEDED = auto()
    BASE_MISSING = auto()


@dataclass(slots=True)
class EntryVm:
    """One entry VM; `made_ms` is when its last heartbeat was made, on this clock.

    `reported` is the incarnation last reported as returned, empty while not alive.
    """

    name: str
    address: str
    failure_domain: str
    region: str
    incarnation: str = ""
    sequence: int = -1
    revision: int = 0
    lifecycle: str = ""
    shards: dict[tuple[str, int], ShardDigest] = field(default_factory=dict)
    served: dict[str, int] = field(default_factory=dict)
    backlogged: list[str] = field(default_factory=list)
    heartbeat_made_ms: float = 0.0
    changed_sequence: int = -1
    urgent_sequence: int = -1
    alive: bool = False
    reported_incarnation: str = ""
    listed_leaving: bool = False
    unreachable_until_ms: float = 0.0
    unreachable_backoff_ms: float = 0.0

    def heartbeat(self, now_ms: float) -> Heartbeat:
        """Return the full heartbeat to relay."""
        return Heartbeat(
            self.name,
            self.incarnation,
            self.address,
            self.failure_domain,
            self.region,
            self.revision,
            self.lifecycle,
            list(self.shards.values()),
            self.served,
            self.backlogged,
            self.sequence,
            max(0, int(now_ms - self.heartbeat_made_ms)),
        )


class ClusterView:
    """Entry VMs by name, as a join of maxima over (incarnation, sequence).

    The order and repetition of full heartbeats does not matter, and nothing that
    was known moves back to an older heartbeat.
    """

    def __init__(self) -> None:
        self.vms: dict[str, EntryVm] = {}
        self.listeners: list[Callable[[EntryVm], None]] = []
        self.ended_served: dict[str, int] = {}
        self.last_listed_ms: dict[str, float] = {}
        self.first_list_read_ms: float | None = None
        self.last_list_read_ms = 0.0

    def apply_list(self, entries: list[VmEntry], now_ms: float) -> list[EntryVm]:
        """Take over a usable reading of the VM list; return the dropped VMs.

        The list gives locations. Its incarnations are the platform's own and are
        not compared with those in heartbeats.
        """
        if self.first_list_read_ms is None:
            self.first_list_read_ms = now_ms
        self.last_list_read_ms = now_ms
        for entry in entries:
            if entry.kind is VmKind.ENTRY_VM:
                self.record_listed(entry.name, now_ms)
                self.apply_entry(entry)
        dropped = [
            vm
            for vm in self.vms.values()
            if now_ms - self.last_listed_ms.get(vm.name, 0.0) >= ABSENCE_TIMEOUT_MS
            and now_ms - vm.heartbeat_made_ms >= ABSENCE_TIMEOUT_MS
        ]
        for vm in dropped:
            self.add_ended_served(vm)
            del self.vms[vm.name]
        return dropped

    def apply_entry(self, entry: VmEntry) -> None:
        """Add a listed VM, or renew the address of one that was never heard."""
        vm = self.vms.get(entry.name)
        if vm is None:
            vm = self.vms[entry.name] = EntryVm(
                entry.name,
                entry.address,
                sys.intern(entry.failure_domain),
                sys.intern(entry.region),
            )
            vm.listed_leaving = entry.state is VmState.LEAVING
            self.notify(vm)
            return
        is_leaving = entry.state is VmState.LEAVING
        # A silent VM may have been replaced at another address; a live one says
        # itself where it is.
        address_changed = not vm.alive and vm.address != entry.address
        if address_changed or is_leaving != vm.listed_leaving:
            vm.listed_leaving = is_leaving
            if address_changed:
                vm.address = entry.address
            self.notify(vm)

    def record_listed(self, name: str, now_ms: float) -> None:
        """Remember when a name was listed last."""
        self.last_listed_ms.pop(name, None)
        self.last_listed_ms[name] = now_ms
        if len(self.last_listed_ms) > MAX_LISTED_NAMES:
            del self.last_listed_ms[next(iter(self.last_listed_ms))]

    def merge(self, heartbeat: Heartbeat, now_ms: float) -> MergeResult:
        """Take over a heartbeat or a is_delta."""
        vm = self.vms.get(heartbeat.entry_vm)
        is_delta = not heartbeat.address
        if is_delta and (
            vm is None or vm.incarnation[-SUFFIX_DIGITS:] != heartbeat.incarnation
        ):
            return MergeResult.BASE_MISSING
        if vm is None and heartbeat.age_ms >= ABSENCE_TIMEOUT_MS:
            return MergeResult.NOT_NEWER  # relayed news of a VM that was dropped here
        if vm is None:
            vm = self.vms[heartbeat.entry_vm] = EntryVm(
                heartbeat.entry_vm,
                heartbeat.address,
                sys.intern(heartbeat.failure_domain),
                sys.intern(heartbeat.region),
            )
        incarnation = vm.incarnation if is_delta else heartbeat.incarnation
        if incarnation < vm.incarnation:
            return MergeResult.SUPERSEDED
        if incarnation == vm.incarnation and heartbeat.sequence <= vm.sequence:
            return MergeResult.NOT_NEWER
        self.replace_state(vm, heartbeat, incarnation, is_delta)
        vm.heartbeat_made_ms = max(vm.heartbeat_made_ms, now_ms - heartbeat.age_ms)
        return MergeResult.APPLIED

    def replace_state(
        self, vm: EntryVm, heartbeat: Heartbeat, incarnation: str, is_delta: bool
    ) -> None:
        """Replace the known state of a VM by a newer heartbeat."""
        incarnation_changed = incarnation != vm.incarnation
        if incarnation_changed:
            self.add_ended_served(vm)
            vm.served = {}
            vm.revision = 0
        previous = (vm.address, vm.lifecycle, incarnation, vm.revision)
        shards = {(shard.service, shard.shard): shard for shard in heartbeat.shards}
        served = {**vm.served, **heartbeat.served}
        if is_delta:
            shards = {**vm.shards, **shards}
        else:
            vm.address = heartbeat.address
            vm.failure_domain = sys.intern(heartbeat.failure_domain)
            vm.region = sys.intern(heartbeat.region)
        content_changed = shards != vm.shards or served != vm.served
        vm.incarnation = incarnation
        vm.sequence = heartbeat.sequence
        vm.revision = max(vm.revision, heartbeat.revision)
        vm.lifecycle = heartbeat.lifecycle
        vm.shards, vm.served = shards, served
        vm.backlogged = heartbeat.backlogged
        vm.unreachable_until_ms = vm.unreachable_backoff_ms = 0.0
        location_changed = incarnation_changed or previous != (
            vm.address,
            vm.lifecycle,
            incarnation,
            vm.revision,
        )
        if content_changed or location_changed:
            vm.changed_sequence = vm.sequence
        if location_changed:
            vm.urgent_sequence = vm.sequence
            self.notify(vm)

    def add_ended_served(self, vm: EntryVm) -> None:
        """Add the tokens of an ended incarnation, so that totals only grow."""
        for party, tokens in vm.served.items():
            self.ended_served[party] = self.ended_served.get(party, 0) + tokens

    def notify(self, vm: EntryVm) -> None:
        """Report a change that may move shards."""
        for listener in self.listeners:
            listener(vm)

    def is_incarnation_gone(self, name: str, incarnation: str) -> bool:
        """Tell whether an incarnation surely no longer runs.

        True when a newer one was heard, or when successful readings of the VM list
        have missed the name for `GONE_TIMEOUT_MS`. Time without readings does not
        count.
        """
        vm = self.vms.get(name)
        if vm is not None:
            return incarnation < vm.incarnation
        if self.first_list_read_ms is None:
            return False
        listed_ms = self.last_listed_ms.get(name, self.first_list_read_ms)
        return self.last_list_read_ms - listed_ms >= GONE_TIMEOUT_MS

    def shard_reports(
        self, service: str, now_ms: float, region: str | None = None
    ) -> "list[ShardReport]":
        """Return the known load of a service's shards, in one region or all."""
        return [
            ShardReport(
                vm.name,
                vm.failure_domain,
                vm.region,
                digest,
                max(0.0, now_ms - vm.heartbeat_made_ms),
            )
            for vm in self.vms.values()
            if vm.alive and vm.lifecycle == "ready" and region in (None, vm.region)
            for (name, _), digest in vm.shards.items()
            if name == service
        ]


@dataclass(frozen=True, slots=True)
class ShardReport:
    """Load of a shard, with its owner and the age of the report."""

    owner: str
    failure_domain: str
    region: str
    digest: ShardDigest
    age_ms: float
