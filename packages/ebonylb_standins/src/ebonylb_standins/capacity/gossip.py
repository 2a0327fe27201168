"""Rounds and bytes of gossip between all failure domains, in one process.

The exchange itself is the real one; only the bus is replaced by direct calls.
"""

import random
from types import SimpleNamespace

from ebonylb.interfaces import Clock, VmEntry, VmKind, VmState
from ebonylb.membership.gossip import Gossip
from ebonylb.membership.view import ClusterView
from ebonylb.peers.messages import Heartbeat, Message, ShardDigest, encode

FRAME_BYTES = 105  # three CURVE frames of a message
ROUND_MS = 5_000
ROUND_LIMIT = 60
WARM_UP_ROUNDS = 10  # each pair of partners has met


class StepClock(Clock):
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


class Counter:
    """Bus that hands a request straight to the partner and counts bytes."""

    def __init__(self, nodes: dict[str, "Node"]) -> None:
        self.nodes = nodes
        self.links: dict = {}
        self.sent_bytes = 0
        self.messages = 0

    async def request(self, peer: str, message: Message) -> Message:
        """Deliver a message and return the answer."""
        answer = await self.nodes[peer].gossip.on_digests(message)
        for part in (message, answer):
            self.sent_bytes += len(encode(part)) + FRAME_BYTES
            self.messages += 1
        return answer


class Node:
    """What gossip needs of a membership duty."""

    def __init__(self, entry: VmEntry, clock: Clock, bus: Counter) -> None:
        self.name = entry.name
        self.failure_domain, self.region = entry.failure_domain, entry.region
        self.entry, self.clock, self.bus = entry, clock, bus
        self.lifecycle, self.sequence = "ready", 0
        self.view = ClusterView()
        self.view.listeners.append(lambda vm: setattr(vm, "alive", True))
        self.timing = SimpleNamespace(gossip_ms=ROUND_MS)
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
    clock, nodes = StepClock(), {}
    bus = Counter(nodes)
    listed = [
        VmEntry(
            f"d{d:02}-{m:02}", VmKind.ENTRY_VM, "", "10.0.0.1:7000", f"d{d:02}",
            f"r{d % regions}", "i", VmState.LIVE,
        )
        for d in range(domains)
        for m in range(members)
    ]  # fmt: skip
    for entry in listed:
        nodes[entry.name] = Node(entry, clock, bus)
        nodes[entry.name].view.apply_list(listed, 0.0)
    for _ in range(
        WARM_UP_ROUNDS
    ):  # the first exchanges of a new VM carry all known VMs
        await play_round(nodes, clock)
    nodes[listed[0].name].lifecycle = "leaving"
    bus.sent_bytes = bus.messages = 0
    number, knowing = 0, 0
    while number < ROUND_LIMIT and knowing < len(nodes):
        number += 1
        await play_round(nodes, clock)
        knowing = sum(
            node.name == listed[0].name
            or node.view.vms[listed[0].name].lifecycle == "leaving"
            for node in nodes.values()
        )
    ages = [
        clock.now_ms - vm.heartbeat_made_ms
        for node in nodes.values()
        for vm in node.view.vms.values()
        if vm.failure_domain != node.failure_domain and vm.sequence >= 0
    ]
    return {
        "entry_vms": len(nodes),
        "rounds_to_all": number if knowing == len(nodes) else None,
        "bytes_per_exchange_part": bus.sent_bytes / bus.messages,
        "sent_bytes_per_s": bus.sent_bytes / len(nodes) / number / ROUND_MS * 1000,
        "mean_age_s": sum(ages) / len(ages) / 1000,
    }


async def play_round(nodes: dict[str, Node], clock: StepClock) -> None:
    """Let the members of each domain hear each other, then run all exchanges."""
    clock.now_ms += ROUND_MS
    by_domain: dict[str, list[Node]] = {}
    for node in nodes.values():
        by_domain.setdefault(node.failure_domain, []).append(node)
    for group in by_domain.values():
        heartbeats = [node.own_heartbeat() for node in group]
        for node in group:
            for heartbeat in heartbeats:
                if heartbeat.entry_vm != node.name:
                    node.receive_heartbeat(heartbeat)
    order = list(nodes.values())
    random.shuffle(order)
    for node in order:
        for partner in node.gossip.partners():
            await node.gossip.exchange(partner)
        node.gossip.round += 1


async def gossip_cost() -> dict:
    """Return the cost at the target's and at today's sizes."""
    return {
        "target": await simulate(domains=21, regions=9, members=16, seed=1),
        "today": await simulate(domains=3, regions=2, members=3, seed=1),
    }
