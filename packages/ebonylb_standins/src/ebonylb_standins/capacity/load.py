"""Cost of requests and tokens, throughput of one process, and added latency."""

import asyncio
import json
import os
import pstats
import signal
import statistics
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from .process import read_usage
from .site import SERVICE, MeasuredCluster, make_topology

LOAD_DURATION_S = 6.0
WARM_UP_S = 1.5
PROFILE_DURATION_S = 6.0
TOP_FUNCTIONS = 3
MAX_REASON_CHARS = 160  # outcome, reason and the start of the message
ENGINE_OPTIONS = {"token_ms": 1.0, "batch": 256, "sequence_ms": 0.0}
# Server windows that do not limit the engines, so that only the entry VM is measured.
ENTRY_VM_SETTINGS = {
    "limits": {"window_start": 256, "window_max": 512, "queue_requests": 5000},
    "timing": {"balancer_grace_ms": 0},
}


@dataclass(frozen=True, slots=True)
class LoadCost:
    """Cost of a load to the entry VMs.

    Parameters
    ----------
    requests_per_s, tokens_per_s : float
        Rates of successful responses and of their tokens.
    cpu_percent : list of float
        Processor time of each entry VM, as a percentage of one core.
    memory_mb : list of float
        Private resident memory of each entry VM.
    """

    requests_per_s: float
    tokens_per_s: float
    cpu_percent: list[float]
    memory_mb: list[float]


class LoadGenerator:
    """Sends requests at a given rate or concurrency.

    Parameters
    ----------
    url, token : str
        Base URL of the entry VM and bearer token of the party.
    tokens : int
        Length of a generation in tokens; 0 sends calls to the plain service.
    stream : bool
        Request streamed generations.
    """

    def __init__(self, url: str, token: str, tokens: int, stream: bool = False):
        self.url, self.tokens, self.stream = url, tokens, stream
        self.headers = {"Authorization": f"Bearer {token}"}
        self.success_count = self.failure_count = 0
        self.failure_reasons: Counter[str] = Counter()
        self.latencies_ms: list[float] = []

    async def send(self, http: aiohttp.ClientSession, number: int) -> None:
        """Send a request, read the response and count its outcome."""
        if self.tokens:
            path, body = (
                "/v1/generate",
                {
                    "service": SERVICE,
                    "prompt": f"capacity question {number} len={self.tokens}",
                    "max_tokens": self.tokens,
                    "seed": number,
                    "stream": self.stream,
                },
            )
        else:
            path, body = "/v1/call/desk", {"slot": number}
        started = time.perf_counter()
        async with http.post(
            self.url + path, json=body, headers=self.headers
        ) as response:
            content = await response.read()
        if response.status == 200:
            self.success_count += 1
            self.latencies_ms.append((time.perf_counter() - started) * 1000)
        else:
            self.failure_count += 1
            self.failure_reasons[
                content.decode(errors="replace")[:MAX_REASON_CHARS]
            ] += 1

    async def send_at_rate(self, per_s: float, duration_s: float) -> None:
        """Send requests at a rate for a time and wait for all responses."""
        loop = asyncio.get_running_loop()
        async with open_session() as http, asyncio.TaskGroup() as group:
            start = loop.time()
            for number in range(int(per_s * duration_s)):
                await asyncio.sleep(max(0.0, start + number / per_s - loop.time()))
                group.create_task(self.send(http, number))

    async def send_concurrently(self, concurrency: int, duration_s: float) -> None:
        """Keep `concurrency` requests open for a time."""
        end = time.monotonic() + duration_s

        async def worker(first: int) -> None:
            number = first
            while time.monotonic() < end:
                await self.send(http, number)
                number += concurrency

        async with open_session() as http:
            await asyncio.gather(*(worker(n) for n in range(concurrency)))


def open_session() -> aiohttp.ClientSession:
    """Return a client session without a limit on connections."""
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))


def make_cluster(entry_vms: int, engines: int, chunk_tokens: int) -> MeasuredCluster:
    """Return a cluster of one failure domain with fast engines."""
    options = {**ENGINE_OPTIONS, "chunk_tokens": chunk_tokens}
    return MeasuredCluster(
        make_topology(entry_vms, engines=engines, plain_services=2),
        engine_options=options,
        plain_options={"capacity": 512},
        settings=ENTRY_VM_SETTINGS,
    )


async def sort_owner_first(cluster: MeasuredCluster) -> list[str]:
    """Return the names of the entry VMs, the owner of the engines' shard first.

    The owner is the VM that receives the forwarded requests.
    """
    token = cluster.party_tokens["p-000"]
    names = [vm.name for vm in cluster.topology.entry_vms]
    before = {n: await cluster.entry_counters(n) for n in names}
    await LoadGenerator(cluster.url(names[0]), token, 4).send_at_rate(20, 0.5)
    after = {n: await cluster.entry_counters(n) for n in names}

    def count_forwards(name: str) -> int:
        def forward_count(counters: dict) -> int:
            return counters["received"].get("ForwardGenerate", [0])[0]

        return forward_count(after[name]) - forward_count(before[name])

    return sorted(names, key=lambda name: -count_forwards(name))


async def measure_load(
    cluster: MeasuredCluster, entry: str, load, generator: LoadGenerator, tokens: int
) -> LoadCost:
    """Run a load and return its cost after the warm-up, `entry` first."""
    names = [entry, *(v.name for v in cluster.topology.entry_vms if v.name != entry)]
    load_task = asyncio.create_task(load)
    await asyncio.sleep(WARM_UP_S)
    successes_before, start = generator.success_count, time.monotonic()
    before = [read_usage(cluster.pid(name)) for name in names]
    await asyncio.sleep(LOAD_DURATION_S - WARM_UP_S)
    elapsed = time.monotonic() - start
    after = [read_usage(cluster.pid(name)) for name in names]
    rate = (generator.success_count - successes_before) / elapsed
    await load_task
    return LoadCost(
        rate,
        rate * tokens,
        [
            (a.cpu_s - b.cpu_s) / elapsed * 100
            for a, b in zip(after, before, strict=True)
        ],
        [a.memory_mb for a in after],
    )


async def measure_request_rates(rates: list[float], forwarded: bool) -> list[LoadCost]:
    """Return the costs of generations of one token at several rates."""
    costs = []
    async with make_cluster(2 if forwarded else 1, 2, 1) as cluster:
        names = await sort_owner_first(cluster)
        entry = names[-1] if forwarded else names[0]
        for rate in rates:
            generator = LoadGenerator(
                cluster.url(entry), cluster.party_tokens["p-000"], 1
            )
            load = generator.send_at_rate(rate, LOAD_DURATION_S + 0.5)
            costs.append(await measure_load(cluster, entry, load, generator, 1))
    return costs


async def measure_token_rates(
    streams: list[int], chunk_tokens: int, forwarded: bool
) -> list[LoadCost]:
    """Return the costs of several numbers of open streams.

    Each engine step produces one chunk for each stream.
    """
    costs = []
    length = 64 * chunk_tokens
    async with make_cluster(2 if forwarded else 1, 2, chunk_tokens) as cluster:
        names = await sort_owner_first(cluster)
        entry = names[-1] if forwarded else names[0]
        for stream_count in streams:
            generator = LoadGenerator(
                cluster.url(entry), cluster.party_tokens["p-000"], length, True
            )
            load = generator.send_concurrently(stream_count, LOAD_DURATION_S + 0.5)
            costs.append(await measure_load(cluster, entry, load, generator, length))
    return costs


async def measure_saturation(
    tokens: int, chunk_tokens: int, open_requests: int
) -> LoadCost:
    """Return the cost of a load that keeps one entry VM's core fully busy."""
    async with make_cluster(1, 4, chunk_tokens) as cluster:
        entry = cluster.topology.entry_vms[0].name
        generator = LoadGenerator(
            cluster.url(entry), cluster.party_tokens["p-000"], tokens, tokens > 1
        )
        load = generator.send_concurrently(open_requests, LOAD_DURATION_S + 0.5)
        return await measure_load(cluster, entry, load, generator, max(1, tokens))


async def profile_load(tokens: int, chunk_tokens: int) -> list[str]:
    """Return the functions of an entry VM with the most own time under load."""
    os.environ["EBONYLB_PROFILE"] = "1"  # inherited by the entry VM process
    try:
        async with make_cluster(1, 2, chunk_tokens) as cluster:
            entry = cluster.topology.entry_vms[0].name
            generator = LoadGenerator(
                cluster.url(entry), cluster.party_tokens["p-000"], tokens, tokens > 1
            )
            load_task = asyncio.create_task(
                generator.send_concurrently(32, PROFILE_DURATION_S)
            )
            await asyncio.sleep(PROFILE_DURATION_S - 1)
            path = cluster.folder / f"{entry}.profile"
            cluster.processes[entry].send_signal(signal.SIGUSR2)
            await cluster.until(path.exists, 10_000, "profile")
            await load_task
            return list_top_functions(path)
    finally:
        del os.environ["EBONYLB_PROFILE"]


def list_top_functions(path: Path) -> list[str]:
    """Return the functions with the most own time, without waiting for events."""
    stats = pstats.Stats(str(path))
    rows = [
        (own_s, f"{Path(function[0]).name}:{function[2]}", calls)
        for function, (_, calls, own_s, _, _) in stats.stats.items()
        if "run_until_complete" not in function[2] and "poll" not in function[2]
    ]
    total_s = sum(row[0] for row in rows)
    rows.sort(reverse=True)
    return [
        f"{name} {own_s / total_s:.0%} of own time in {calls:,} calls"
        for own_s, name, calls in rows[:TOP_FUNCTIONS]
    ]


async def measure_latencies(count: int = 300) -> dict[str, float]:
    """Return median latencies in ms of an idle site.

    Both services are measured directly, through the owner and forwarded.
    """
    async with make_cluster(2, 1, 1) as cluster:
        names = await sort_owner_first(cluster)
        engine, desk = cluster.url("lm-00"), cluster.url("desk-00")
        token = cluster.party_tokens["p-000"]
        latencies_ms: dict[str, list[float]] = {}

        async def send_timed(name: str, url: str, body: dict, headers: dict) -> None:
            started_s = time.perf_counter()
            async with http.post(
                url, data=json.dumps(body), headers=headers
            ) as response:
                await response.read()
                assert response.status == 200, (name, response.status)
            latencies_ms.setdefault(name, []).append(
                (time.perf_counter() - started_s) * 1000
            )

        auth_headers = {
            "Authorization": f"Bearer {token}",
            "Content-Type": "application/json",
        }
        async with open_session() as http:
            for number in range(count):
                direct_body = {
                    "request_id": f"r-{number}",
                    "prompt": f"latency {number} len=1",
                    "generated": "",
                    "max_tokens": 1,
                    "seed": number,
                }
                routed_body = {
                    "service": SERVICE,
                    "prompt": f"latency {number} len=1",
                    "max_tokens": 1,
                    "seed": number,
                }
                await send_timed(
                    "generate direct", engine + "/generate", direct_body, {}
                )
                for name, label in zip(names, ("owner", "forwarded"), strict=True):
                    url = cluster.url(name) + "/v1/generate"
                    await send_timed(
                        f"generate {label}", url, routed_body, auth_headers
                    )
                    url = cluster.url(name) + "/v1/call/desk"
                    await send_timed(
                        f"call {label}", url, {"slot": number}, auth_headers
                    )
                await send_timed(
                    "call direct",
                    desk + "/call",
                    {"slot": number},
                    {"X-Request-Id": f"c-{number}"},
                )
        return {
            name: statistics.median(values) for name, values in latencies_ms.items()
        }
