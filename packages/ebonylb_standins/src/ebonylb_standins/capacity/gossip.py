"""Simulation of gossip between failure domains that counts rounds and bytes.

All nodes run the product's `Gossip` in one process. Direct calls replace the bus.
"""

import random
from types import SimpleNamespace

from ebonylb.interfaces import Clock, VmEntry, VmKind, VmState
from ebonylb.membership.gossip import Gossip
from ebonylb.membership.view import ClusterView
from ebonylb.peers.messages import Heartbeat, Message, ShardDigest, encode

FRAMING_BYTES = 105  # CURVE overhead of a message with three frames
ROUND_INTERVAL_MS = 5_000
MAX_ROUNDS = 60
WARM_UP_ROUNDS = 10  # every pair of partners has exchanged heartbeats by then


class ManualClock(Clock):
    """Clock whose time the simulation advances."""

    now_ms = 0.0

    def monotonic_ms(self) -> float:
        """Return the simulated time."""
        return self.now_ms

    def wall_ms(self) -> int:
        """Return the simulated time."""
        return int(self.now_ms)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Return immediately; `run_round` drives the rounds."""


class CountingBus:
    """Bus that calls the partner directly and counts messages and bytes."""

    def __init__(self, nodes: dict[str, "GossipNode"]) -> None:
        self.nodes = nodes
        self.links: dict = {}
        self.sent_bytes = 0
        self.messages = 0

    async def request(self, peer: str, message: Message) -> Message:
        """Deliver a message and return the reply."""
        reply = await self.nodes[peer].gossip.on_digests(message)
        for counted_message in (message, reply):
            self.sent_bytes += len(encode(counted_message)) + FRAMING_BYTES
            self.messages += 1
        return reply


class GossipNode:
    """Stand-in for `Membership` with the attributes that `Gossip` uses."""

    def __init__(self, entry: VmEntry, clock: Clock, bus: CountingBus) -> None:
        self.name = entry.name
        self.failure_domain, self.region = entry.failure_domain, entry.region
        self.entry, self.clock, self.bus = entry, clock, bus
        self.lifecycle, self.sequence = "ready", 0
        self.view = ClusterView()
        self.view.listeners.append(lambda vm: setattr(vm, "alive", True))
        self.timing = SimpleNamespace(gossip_ms=ROUND_INTERVAL_MS)
        self.gossip = Gossip(self)  # type: ignore[arg-type]
        self.gossip.round = random.randrange(64)

    def own_heartbeat(self) -> Heartbeat:
        """Return a heartbeat whose load and served tokens differ from the last one."""
        self.sequence += 1
        tokens = random.randrange(200_000)
        return Heartbeat(
            self.name,
            "0" * 20,
            self.entry.address,
            self.failure_domain,
            self.region,
            13_000,
            self.lifecycle,
            [ShardDigest("kiln-lm", 3, tokens, 16_000, 2, 32)],
            {f"party-{i}": self.sequence * 12_500 for i in range(7)},
            [],
            self.sequence,
        )

    def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Merge a heartbeat into the view."""
        self.view.merge(heartbeat, self.clock.monotonic_ms())

    receive_relayed = receive_heartbeat

    def ensure_link(self, name: str) -> bool:
        """Return True; every partner is reachable."""
        return True

    def report_unreachable(self, name: str) -> None:
        """Do nothing; exchanges in this simulation never fail."""

    def on_own_newer_incarnation(self, newest: str) -> None:
        """Do nothing; partners only return this node's own incarnation."""


async def simulate(domains: int, regions: int, members: int, seed: int) -> dict:
    """Return the rounds until all VMs know that one VM is leaving, and the traffic."""
    random.seed(seed)
    clock, nodes = ManualClock(), {}
    bus = CountingBus(nodes)
    vm_list = [
        VmEntry(
            f"d{d:02}-{m:02}", VmKind.ENTRY_VM, "", "10.0.0.1:7000", f"d{d:02}",
            f"r{d % regions}", "i", VmState.LIVE,
        )
        for d in range(domains)
        for m in range(members)
    ]  # fmt: skip
    for entry in vm_list:
        nodes[entry.name] = GossipNode(entry, clock, bus)
        nodes[entry.name].view.apply_list(vm_list, 0.0)
    # The first exchange with a new VM carries all known VMs. Warm-up rounds keep it out
    # of the measurement.
    for _ in range(WARM_UP_ROUNDS):
        await run_round(nodes, clock)
    nodes[vm_list[0].name].lifecycle = "leaving"
    bus.sent_bytes = bus.messages = 0
    round_count, informed_count = 0, 0
    while round_count < MAX_ROUNDS and informed_count < len(nodes):
        round_count += 1
        await run_round(nodes, clock)
        informed_count = sum(
            node.name == vm_list[0].name
            or node.view.vms[vm_list[0].name].lifecycle == "leaving"
            for node in nodes.values()
        )
    ages_ms = [
        clock.now_ms - vm.heartbeat_made_ms
        for node in nodes.values()
        for vm in node.view.vms.values()
        if vm.failure_domain != node.failure_domain and vm.sequence >= 0
    ]
    return {
        "entry_vms": len(nodes),
        "rounds_to_all": round_count if informed_count == len(nodes) else None,
        "bytes_per_exchange_part": bus.sent_bytes / bus.messages,
        "sent_bytes_per_s": bus.sent_bytes
        / len(nodes)
        / round_count
        / ROUND_INTERVAL_MS
        * 1000,
        "mean_age_s": sum(ages_ms) / len(ages_ms) / 1000,
    }


async def run_round(nodes: dict[str, GossipNode], clock: ManualClock) -> None:
    """Send heartbeats within each domain, then run one gossip round of every node."""
    clock.now_ms += ROUND_INTERVAL_MS
    by_domain: dict[str, list[GossipNode]] = {}
    for node in nodes.values():
        by_domain.setdefault(node.failure_domain, []).append(node)
    for members in by_domain.values():
        heartbeats = [node.own_heartbeat() for node in members]
        for node in members:
            for heartbeat in heartbeats:
                if heartbeat.entry_vm != node.name:
                    node.receive_heartbeat(heartbeat)
    shuffled_nodes = list(nodes.values())
    random.shuffle(shuffled_nodes)
    for node in shuffled_nodes:
        for partner in node.gossip.partners():
            await node.gossip.exchange(partner)
        node.gossip.round += 1


async def measure_gossip() -> dict:
    """Return the cost of gossip at the sizes of the target site and of today's site."""
    return {
        "target": await simulate(domains=21, regions=9, members=16, seed=1),
        "today": await simulate(domains=3, regions=2, members=3, seed=1),
    }
