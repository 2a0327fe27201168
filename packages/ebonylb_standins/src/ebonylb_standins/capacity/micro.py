"""Processor time of target lists and target choices by number of shards."""

import time

from ebonylb.adapters import SystemClock
from ebonylb.backends import BackendRegistry
from ebonylb.interfaces import Clock
from ebonylb.membership import LocalState, Membership
from ebonylb.peers import CurveKeys, PeerBus
from ebonylb.peers.messages import Heartbeat, ShardDigest
from ebonylb.routing.targets import Target, TargetChoice
from ebonylb.service.peer_access import MembershipTargets
from ebonylb.settings import Settings

from .site import SERVICE, domain_name, region_name, server_entry
from .target import TARGET

CHOICE_ROUNDS = 200
BUILD_ROUNDS = 30
# Interval at which target lists are rebuilt under load; equals `MAX_TARGETS_AGE_MS`.
BUILD_INTERVAL_MS = 100.0
MEMBERS_PER_DOMAIN = 16
UNUSED_URL = "http://127.0.0.1:1"


class ManualClock(Clock):
    """Clock whose time is set explicitly."""

    def __init__(self) -> None:
        self.now_ms = SystemClock().monotonic_ms()

    def monotonic_ms(self) -> float:
        """Return the time that was set."""
        return self.now_ms

    def wall_ms(self) -> int:
        """Return the time that was set."""
        return int(self.now_ms)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Raise; nothing measured here sleeps."""
        raise NotImplementedError


def make_membership(domains: int, clock: ManualClock) -> Membership:
    """Return an entry VM's membership; each domain has the servers of the target."""

    async def probe(server):
        return None

    registry = BackendRegistry(
        clock, probe, lambda mark: None, lambda mark: None, domain_name(0)
    )
    count = domains * round(TARGET.replicas / TARGET.domains)
    registry.apply_list([server_entry(n, domains) for n in range(count)])
    settings = Settings(
        name="entry-000",
        failure_domain=domain_name(0),
        region=region_name(0),
        http_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
        platform=dict.fromkeys(("tables", "objects", "weights", "vms"), UNUSED_URL),
        curve={"public": "x" * 40, "secret": "x" * 40},
        key_secret="x" * 16,
    )
    local = LocalState(lambda: 1, lambda: "ready", list, dict, list)
    bus = PeerBus(settings.name, settings.peer_address, CurveKeys(b"", b""))
    membership = Membership(settings, bus, clock, registry, local)
    membership.view.listeners.clear()  # opens no links: only the view is measured
    for domain in range(domains):
        for member in range(MEMBERS_PER_DOMAIN):
            add_member(membership, domain, member, clock.now_ms)
    return membership


def add_member(membership: Membership, domain: int, member: int, now_ms: float) -> None:
    """Add an entry VM that owns two of the domain's shards to the view."""
    name = f"entry-{domain:02d}-{member:02d}"
    shards = [
        ShardDigest(SERVICE, shard, 4_000, 10_000, 20, 18)
        for shard in range(TARGET.shards_per_domain)
        if shard % MEMBERS_PER_DOMAIN == member
    ]
    heartbeat = Heartbeat(
        name,
        "0" * 24,
        "10.0.0.1:7001",
        domain_name(domain),
        region_name(domain),
        1,
        "ready",
        shards,
        {},
        [],
        1,
    )
    membership.view.merge(heartbeat, now_ms)
    membership.view.vms[name].alive = True


def measure_build(domains: int) -> tuple[int, float, list[Target]]:
    """Return the number of targets, the mean ms to build their list, and the list.

    The lists are requested at the interval at which they are rebuilt under load.
    """
    clock = ManualClock()
    membership_targets = MembershipTargets(make_membership(domains, clock), clock)
    targets = list(membership_targets.targets(SERVICE))
    started_s = time.process_time()
    for _ in range(BUILD_ROUNDS):
        clock.now_ms += BUILD_INTERVAL_MS
        targets = list(membership_targets.targets(SERVICE))
    elapsed_s = time.process_time() - started_s
    return len(targets), elapsed_s * 1_000 / BUILD_ROUNDS, targets


def measure_choice_ms(targets: list[Target]) -> float:
    """Return the mean ms of a choice among the targets of all regions."""
    choice = TargetChoice(domain_name(0), region_name(0), 1.5)
    started_s = time.process_time()
    for _ in range(CHOICE_ROUNDS):
        choice.choose(targets, "", cross_region=True)
    return (time.process_time() - started_s) * 1_000 / CHOICE_ROUNDS


def measure_target_costs(
    domains: list[int],
) -> tuple[list[tuple[float, float]], list[tuple[float, float]]]:
    """Return the ms to build the target list and to choose a target, by shards."""
    build_points, choice_points = [], []
    for domain_count in domains:
        shards, build_ms, targets = measure_build(domain_count)
        build_points.append((float(shards), build_ms))
        choice_points.append((float(shards), measure_choice_ms(targets)))
    return build_points, choice_points
