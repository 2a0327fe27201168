"""Local view of the other entry VMs."""

import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from ..interfaces import VmEntry, VmKind, VmState
from ..peers.messages import Heartbeat, ShardDigest
from .incarnation import SUFFIX_DIGITS

# A VM that was neither listed nor heard for this long is dropped from the view.
ABSENCE_TIMEOUT_MS = 60_000
# No incarnation of a name still runs once it has been unlisted for this long.
GONE_TIMEOUT_MS = 600_000
# Exponential backoff for a peer of another domain after failed exchanges. The minimum
# is short because a link that was just opened may fail for no lasting reason.
MIN_UNREACHABLE_BACKOFF_MS = 250
MAX_UNREACHABLE_BACKOFF_MS = 10_000
MAX_LISTED_NAMES = 4_096  # about a day of replaced names at the target size


class MergeResult(Enum):
    """Effect of a heartbeat on the view.

    `APPLIED` means that the heartbeat was newer and replaced the state;
    `NOT_NEWER` that nothing changed, because the view has this state or a newer one
    or has dropped the VM;
    `SUPERSEDED` that the sender's incarnation has been replaced by a newer one;
    `BASE_MISSING` that a delta arrived without the state that it builds on.
    """

    APPLIED = auto()
    NOT_NEWER = auto()
    SUPERSEDED = auto()
    BASE_MISSING = auto()


@dataclass(slots=True)
class EntryVm:
    """State of another entry VM.

    `heartbeat_made_ms` is the time on the local clock when its last heartbeat was
    created. `changed_sequence` is the sequence number of the last heartbeat with any
    change, `urgent_sequence` that of the last one with a new address, lifecycle,
    incarnation or revision. `reported_incarnation` is the incarnation last passed to
    `Membership.on_reconnect`, empty while the VM is not alive.
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
        """Return the VM's last heartbeat in full, to be relayed."""
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
    """Entry VMs by name, each with its highest (incarnation, sequence).

    Merging is commutative and idempotent: full heartbeats may arrive in any order
    and more than once, and an older heartbeat never replaces a newer one.
    `served_by_ended` holds the tokens served per party by ended incarnations.
    """

    def __init__(self) -> None:
        self.vms: dict[str, EntryVm] = {}
        self.listeners: list[Callable[[EntryVm], None]] = []
        self.served_by_ended: dict[str, int] = {}
        self.last_listed_ms: dict[str, float] = {}
        self.first_list_read_ms: float | None = None
        self.last_list_read_ms = 0.0

    def apply_list(self, entries: list[VmEntry], now_ms: float) -> list[EntryVm]:
        """Apply a usable reading of the VM list; return the VMs that were dropped.

        Only locations and states are taken from the list. Its incarnations are
        assigned by the platform and are not comparable with those in heartbeats.
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
            self.add_served_by_ended(vm)
            del self.vms[vm.name]
        return dropped

    def apply_entry(self, entry: VmEntry) -> None:
        """Add a listed VM, or update its state and the address of a VM not alive."""
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
        # A VM that is not alive may have been replaced at another address; a live
        # one reports its address in heartbeats.
        address_changed = not vm.alive and vm.address != entry.address
        if address_changed or is_leaving != vm.listed_leaving:
            vm.listed_leaving = is_leaving
            if address_changed:
                vm.address = entry.address
            self.notify(vm)

    def record_listed(self, name: str, now_ms: float) -> None:
        """Record when a name was last listed, for the latest names only."""
        self.last_listed_ms.pop(name, None)
        self.last_listed_ms[name] = now_ms
        if len(self.last_listed_ms) > MAX_LISTED_NAMES:
            del self.last_listed_ms[next(iter(self.last_listed_ms))]

    def merge(self, heartbeat: Heartbeat, now_ms: float) -> MergeResult:
        """Merge a full or delta heartbeat into the view."""
        vm = self.vms.get(heartbeat.entry_vm)
        is_delta = not heartbeat.address
        if is_delta and (
            vm is None or vm.incarnation[-SUFFIX_DIGITS:] != heartbeat.incarnation
        ):
            return MergeResult.BASE_MISSING
        if vm is None and heartbeat.age_ms >= ABSENCE_TIMEOUT_MS:
            return MergeResult.NOT_NEWER  # relayed state of a VM already dropped here
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
        """Replace a VM's state with that of a newer heartbeat."""
        incarnation_changed = incarnation != vm.incarnation
        if incarnation_changed:
            self.add_served_by_ended(vm)
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

    def add_served_by_ended(self, vm: EntryVm) -> None:
        """Add the served tokens of an ended incarnation, so that totals only grow."""
        for party, tokens in vm.served.items():
            self.served_by_ended[party] = self.served_by_ended.get(party, 0) + tokens

    def notify(self, vm: EntryVm) -> None:
        """Call the listeners after a change that may move shards."""
        for listener in self.listeners:
            listener(vm)

    def has_incarnation_ended(self, name: str, incarnation: str) -> bool:
        """Return whether an incarnation has certainly ended.

        This is so when a newer one was heard, or when successful readings of the VM
        list have not contained the name for `GONE_TIMEOUT_MS`. Time without
        readings does not count.
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
        """Return the last reported load of a service's shards, in one region or all."""
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
    """Load of a shard as last reported by its owner."""

    owner: str
    failure_domain: str
    region: str
    digest: ShardDigest
    age_ms: float
