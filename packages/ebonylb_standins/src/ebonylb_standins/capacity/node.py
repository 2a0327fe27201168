"""Entry VM process that runs only membership and measures its cost.

The process reads its plan as a line of JSON, prints its address, reads the addresses
of all nodes as a second line, and prints its measurements as JSON after a third line.
"""

import asyncio
import json
import random
import resource
import sys
import time
from pathlib import Path

import uvloop

from ebonylb.backends import BackendRegistry
from ebonylb.interfaces import Clock, VmEntry, VmKind, VmState
from ebonylb.membership import LocalState, Membership
from ebonylb.peers import CurveKeys, PeerBus
from ebonylb.peers.messages import ShardDigest
from ebonylb.settings import Settings

from .wire import TCP_IP_HEADER_BYTES, read_traffic

PARTIES = [f"party-{i}" for i in range(7)]


class SystemClock(Clock):
    """Clock of the operating system."""

    def monotonic_ms(self) -> float:
        """Return the monotonic time in milliseconds."""
        return time.monotonic() * 1000

    def wall_ms(self) -> int:
        """Return Unix time in milliseconds."""
        return int(time.time() * 1000)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait for a duration in milliseconds."""
        await asyncio.sleep(duration_ms / 1000)


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def cpu_s() -> float:
    """Return the user and system time of this process in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def make_busy_state() -> LocalState:
    """Return the state of an entry VM whose two shards change with every heartbeat."""
    started = time.monotonic()

    def shards() -> list[ShardDigest]:
        return [
            ShardDigest(
                "kiln-lm",
                shard,
                random.randrange(200_000),
                16_000,
                random.randrange(9),
                32,
            )
            for shard in (3, 11)
        ]

    def served() -> dict[str, int]:
        tokens = int((time.monotonic() - started) * 2_500)
        return dict.fromkeys(PARTIES, tokens)

    return LocalState(
        lambda: 13_000, lambda: "ready", shards, served, lambda: PARTIES[:3]
    )


def node_settings(name: str, heartbeat_ms: int) -> Settings:
    """Return settings; membership uses only the name, location and intervals."""
    endpoints = dict.fromkeys(("tables", "objects", "weights", "vms"), "http://unused")
    return Settings.model_validate(
        {
            "name": name,
            "failure_domain": "gorge-north",
            "region": "gorge",
            "http_address": "127.0.0.1:1",
            "peer_address": "127.0.0.1:1",
            "platform": endpoints,
            "curve": {"public": "x" * 40, "secret": "x" * 40},
            "key_secret": "x" * 16,
            "timing": {"heartbeat_ms": heartbeat_ms},
        }
    )


def make_vm_list(addresses: dict[str, str]) -> list[VmEntry]:
    """Return a VM list that contains the measured members."""
    return [
        VmEntry(
            name,
            VmKind.ENTRY_VM,
            "",
            address,
            "gorge-north",
            "gorge",
            "i",
            VmState.LIVE,
        )
        for name, address in addresses.items()
    ]


async def run(plan: dict) -> None:
    """Run a node and measure it as its plan states."""

    async def probe(server):
        return None

    def ignore_mark(mark):
        return None

    clock = SystemClock()
    bus = PeerBus(
        plan["name"],
        "127.0.0.1:0",
        CurveKeys(plan["public"].encode(), plan["secret"].encode()),
    )
    await bus.start()
    print(json.dumps({"address": bus.address}), flush=True)
    addresses = json.loads(await asyncio.to_thread(sys.stdin.readline))
    memory_before_bytes = resident_bytes()
    registry = BackendRegistry(clock, probe, ignore_mark, ignore_mark, "gorge-north")
    settings = node_settings(plan["name"], plan["heartbeat_ms"])
    membership = Membership(settings, bus, clock, registry, make_busy_state())
    membership.register(bus)
    membership.apply_list(make_vm_list(addresses))
    await membership.start()
    await asyncio.sleep(plan["warm_up_s"])
    eligible_count = len(membership.eligible_owners("gorge-north"))
    traffic_before, cpu_before_s, sequence_before = (
        read_traffic(),
        cpu_s(),
        membership.sequence,
    )
    started = time.monotonic()
    await asyncio.sleep(plan["measure_s"])
    seconds = time.monotonic() - started
    cpu_share = (cpu_s() - cpu_before_s) / seconds
    transferred = read_traffic().minus(traffic_before)
    heartbeats = membership.sequence - sequence_before
    result = {
        "live": eligible_count,
        "heartbeats_per_s": heartbeats / seconds,
        "bytes_per_heartbeat": transferred.sent_bytes / max(1, heartbeats),
        "sent_bytes_per_s": transferred.sent_bytes / seconds,
        "received_bytes_per_s": transferred.received_bytes / seconds,
        "sent_with_headers_bytes_per_s": (
            transferred.sent_bytes + TCP_IP_HEADER_BYTES * transferred.sent_segments
        )
        / seconds,
        "cpu_share": cpu_share,
        "memory_bytes": resident_bytes() - memory_before_bytes,
    }
    # All nodes end together, so that none measures the failure of another.
    await asyncio.to_thread(sys.stdin.readline)
    print(json.dumps(result), flush=True)
    await membership.close()
    await bus.close()


if __name__ == "__main__":
    uvloop.run(run(json.loads(sys.stdin.readline())))
