"""Rounds and bytes of gossip between all failure domains, in one process.

The exchange itself is the real one; only the bus is replaced by direct calls.
"""

import random
from types import SimpleNamespace

from ebonylb.edges import Clock, VmEntry, VmKind, VmState
from ebonylb.membership.gossip import Gossip
from ebonylb.membership.view import ClusterView
from ebonylb.peers.messages import Heartbeat, Message, ShardDigest, encode

FRAMING_BYTES = 105  # three CURVE frames of a message
ROUND_INTERVAL_MS = 5_000
MAX_ROUNDS = 60
WARM_UP_ROUNDS = 10  # each pair of partners has met


class ManualClock(Clock):
    """Clock that the simulation moves."""

    now_ms = 0.0

    def monotonic_ms(self) -> float:
        """Return the simulated time."""
        return self.now_ms

    def wall_ms(self) -> int:
        """Return the simulated time."""
        return int(self.now_ms)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Return at once; rounds are driven from outside."""


class CountingBus:
    """Bus that hands a request straight to the partner and counts bytes."""

    def __init__(self, nodes: dict[str, "GossipNode"]) -> None:
        self.nodes = nodes
        self.links: dict = {}
        self.sent_bytes = 0
        self.messages = 0

    async def request(self, peer: str, message: Message) -> Message:
        """Deliver a message and return the answer."""
        reply = await self.nodes[peer].gossip.on_digests(message)
        for counted_message in (message, reply):
            self.sent_bytes += len(encode(counted_message)) + FRAMING_BYTES
            self.messages += 1
        return reply


class GossipNode:
    """What gossip needs of a membership duty."""

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
        """Return a heartbeat with changed load and tokens."""
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
        """Take a heartbeat over."""
        self.view.merge(heartbeat, self.clock.monotonic_ms())

    receive_relayed = receive_heartbeat

    def ensure_link(self, name: str) -> bool:
        """Every partner can be reached."""
        return True

    def report_unreachable(self, name: str) -> None:
        """Never happens here."""

    def on_own_newer_incarnation(self, newest: str) -> None:
        """Ignore the echo of the own heartbeat."""


async def simulate(domains: int, regions: int, members: int, seed: int) -> dict:
    """Count rounds until all VMs know that one VM is leaving."""
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
    for _ in range(
        WARM_UP_ROUNDS
    ):  # the first exchanges of a new VM carry all known VMs
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
    """Let the members of each domain hear each other, then run all exchanges."""
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
    """Return the cost at the target's and at today's sizes."""
    return {
        "target": await simulate(domains=21, regions=9, members=16, seed=1),
        "today": await simulate(domains=3, regions=2, members=3, seed=1),
    }
