"""Cost of an entry VM of an idle site, at several sizes of the site."""

import asyncio
import statistics
from dataclasses import dataclass

from ebonylb.peers.link import HEADER_BYTES

from .process import read_usage
from .series import Series
from .site import (
    DOMAIN_COUNT,
    MeasuredCluster,
    background,
    light_peer_entry,
    make_sheet,
    make_topology,
    server_entry,
)

SETTLE_DURATION_S = 5.0
MEASUREMENT_WINDOW_S = 8.0
# Bytes per message beside its payload. A ZMTP frame with CURVE has a header of 2 bytes
# and 33 bytes of nonce, authentication and command name. The message's own header is
# part of the frame.
FRAMING_BYTES = 35 + HEADER_BYTES


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one entry VM.

    Parameters
    ----------
    cpu_percent : float
        Processor time as a percentage of one core.
    memory_mb : float
        Private resident memory.
    messages_per_s : float
        Messages sent and received on peer links.
    payload_bytes_per_s, wire_bytes_per_s : float
        Bytes of these messages without and with framing and encryption.
    platform_reads_per_s, platform_writes_per_s, list_reads_per_s : float
        Requests of one entry VM to the platform.
    """

    cpu_percent: float
    memory_mb: float
    messages_per_s: float
    payload_bytes_per_s: float
    wire_bytes_per_s: float
    platform_reads_per_s: float
    platform_writes_per_s: float
    list_reads_per_s: float


def sum_traffic(counters: dict) -> tuple[int, int]:
    """Return the messages and payload bytes of both directions together."""
    totals = [*counters["sent"].values(), *counters["received"].values()]
    return sum(t[0] for t in totals), sum(t[1] for t in totals)


async def measure_median_cost(
    cluster: MeasuredCluster, names: list[str], window_s: float = MEASUREMENT_WINDOW_S
) -> Cost:
    """Return the medians over the named entry VMs in a time window.

    Rates of platform requests are means over all entry VMs.
    """
    before = {
        n: (read_usage(cluster.pid(n)), sum_traffic(await cluster.entry_counters(n)))
        for n in names
    }
    platform_before = await cluster.counters("platform")
    list_reads_before = cluster.list_reads
    await asyncio.sleep(window_s)
    after = {
        n: (read_usage(cluster.pid(n)), sum_traffic(await cluster.entry_counters(n)))
        for n in names
    }
    platform_after = await cluster.counters("platform")
    node_seconds = len(cluster.topology.entry_vms) * window_s

    def median(value) -> float:
        return statistics.median(value(before[n], after[n]) for n in names)

    def rate(key: str) -> float:
        return (platform_after.get(key, 0) - platform_before.get(key, 0)) / node_seconds

    messages = median(lambda b, a: (a[1][0] - b[1][0]) / window_s)
    payload = median(lambda b, a: (a[1][1] - b[1][1]) / window_s)
    list_rate = rate("list_reads")
    if cluster.extra_entries:
        list_rate = (cluster.list_reads - list_reads_before) / node_seconds
    return Cost(
        median(lambda b, a: (a[0].cpu_s - b[0].cpu_s) / window_s * 100),
        median(lambda b, a: a[0].memory_mb),
        messages,
        payload,
        payload + messages * FRAMING_BYTES,
        rate("reads"),
        rate("writes"),
        list_rate,
    )


def make_cost_series(
    prefix: str, varied: str, x_label: str, target: float, costs: dict[float, Cost]
) -> list[Series]:
    """Return series of CPU, memory and peer traffic against a varied size."""
    quantities = [
        ("cpu", "CPU", "% of a core", "cpu_percent"),
        ("memory", "memory", "MB", "memory_mb"),
        ("wire", "peer links", "bytes/s", "wire_bytes_per_s"),
    ]
    return [
        Series(
            f"{prefix}-{key}",
            f"{label} against {varied}",
            x_label,
            unit,
            target,
            [(size, getattr(cost, name)) for size, cost in costs.items()],
        )
        for key, label, unit, name in quantities
    ]


async def measure_site(cluster: MeasuredCluster) -> Cost:
    """Start a site, wait until it has settled, and measure its entry VMs."""
    async with cluster:
        await asyncio.sleep(SETTLE_DURATION_S)
        return await measure_median_cost(
            cluster, [v.name for v in cluster.topology.entry_vms]
        )


async def measure_entry_vms(sizes: list[int]) -> dict[float, Cost]:
    """Return costs by entry VMs of one failure domain, each a full process."""
    return {n: await measure_site(MeasuredCluster(make_topology(n))) for n in sizes}


async def measure_domains(sizes: list[int]) -> dict[float, Cost]:
    """Return costs by entry VMs of the site, four in each failure domain."""
    return {
        n: await measure_site(MeasuredCluster(make_topology(n, domains=n // 4)))
        for n in sizes
    }


async def measure_servers(sizes: list[int]) -> dict[float, Cost]:
    """Return costs by backend servers in the VM list, for two entry VMs."""
    costs = {}
    for size in sizes:
        extra_entries = [server_entry(n) for n in range(max(1, size))]
        costs[size] = await measure_site(
            MeasuredCluster(make_topology(2), extra_entries)
        )
    return costs


async def measure_parties(sizes: list[int]) -> dict[float, Cost]:
    """Return costs by parties of the sheet, for four entry VMs."""
    return {
        n: await measure_site(MeasuredCluster(make_topology(4), party_count=n))
        for n in sizes
    }


async def measure_peers(sizes: list[int], owned_shards: int = 2) -> dict[float, Cost]:
    """Return costs by light peers in the domain of one entry VM process."""
    costs = {}
    for size in sizes:
        cluster = LightCluster(size, owned_shards)
        costs[size] = await measure_site(cluster)
    return costs


class LightCluster(MeasuredCluster):
    """Cluster of one entry VM process and light peers in the same domain."""

    def __init__(self, count: int, owned_shards: int) -> None:
        super().__init__(make_topology(1))
        self.count, self.owned_shards = count, owned_shards

    async def start_platform(self) -> None:
        """Start the platform and the light peers, and add these to the VM list."""
        await super().start_platform()
        options = {**self.curve, "count": self.count, "shards": self.owned_shards}
        self.add_process("light", ["ebonylb_standins.capacity.light"], options)
        process = self.processes["light"]
        process.start()
        addresses = await process.wait_until_ready()
        self.extra_entries = [
            light_peer_entry(name, address, 0) for name, address in addresses.items()
        ]


async def measure_changes(rates: list[float]) -> tuple[dict[float, Cost], list[float]]:
    """Return costs by configuration changes per second, and delays in ms.

    The delays last until a change is in force on the last entry VM.
    """
    costs, delays = {}, []
    for rate in rates:
        async with MeasuredCluster(make_topology(8)) as cluster:
            await asyncio.sleep(SETTLE_DURATION_S)
            async with background(apply_sheets(cluster, rate, delays)):
                names = [vm.name for vm in cluster.topology.entry_vms]
                costs[rate] = await measure_median_cost(cluster, names)
    return costs, delays


async def apply_sheets(
    cluster: MeasuredCluster, per_s: float, delays: list[float]
) -> None:
    """Apply sheets at a rate and record when the first are in force on the last VM."""
    if per_s <= 0:
        await asyncio.Event().wait()
    loop = asyncio.get_running_loop()
    last = cluster.topology.entry_vms[-1].name
    revision, number = 1, 0
    while True:
        started = loop.time()
        number += 1
        sheet = make_sheet(cluster.parties, number)
        revision = await cluster.apply_sheet(sheet, revision)

        async def is_in_force(target_revision: int = revision) -> bool:
            status = await cluster.status(last)
            own = [v["revision"] for v in status["entry_vms"] if v["name"] == last]
            return own[0] >= target_revision

        if number <= 3:  # polling costs more than a change; three suffice
            await cluster.until(is_in_force, 8_000, f"revision {revision}")
            delays.append((loop.time() - started) * 1000)
        await asyncio.sleep(max(0.0, 1 / per_s - (loop.time() - started)))


__all__ = [
    "DOMAIN_COUNT",
    "Cost",
    "make_cost_series",
    "measure_median_cost",
    "sum_traffic",
]
