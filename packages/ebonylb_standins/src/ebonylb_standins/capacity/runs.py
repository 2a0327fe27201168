"""Parts of the measurement, each with its sizes, series and further values."""

import asyncio
import os
import subprocess
import sys
from dataclasses import asdict, dataclass, field

from . import load, micro, recovery, steady
from . import sizes as encoded_sizes
from . import steps as step_costs
from .series import Series
from .target import TARGET

BASE_IMPORTS = (
    "import ebonylb.cli, uvloop\n"
    "print(open('/proc/self/status').read().split('RssAnon:')[1].split()[0])"
)


@dataclass
class Part:
    """Results of one part of the measurement.

    Parameters
    ----------
    series : list of Series
        Series from which slopes are fitted.
    figures : dict
        Further measured values by label.
    elapsed_s : float
        Duration of the measurement.
    """

    series: list[Series] = field(default_factory=list)
    figures: dict[str, object] = field(default_factory=dict)
    elapsed_s: float = 0.0


def load_average() -> float:
    """Return the load average of the machine over the last minute."""
    return round(os.getloadavg()[0], 1)


def make_cost_part(
    name: str, varied: str, unit: str, target: float, costs: dict, quick: bool
) -> Part:
    """Return a part with the series and values of costs at several sizes."""
    series = steady.make_cost_series(name, varied, unit, target, costs)
    figures = {f"{unit} {size}": asdict(cost) for size, cost in costs.items()}
    return Part(series, figures)


async def measure_base_memory(quick: bool) -> Part:
    """Measure the memory of an interpreter that has imported the libraries."""
    interpreter = await asyncio.create_subprocess_exec(
        sys.executable, "-c", BASE_IMPORTS, stdout=subprocess.PIPE
    )
    output, _ = await interpreter.communicate()
    return Part(figures={"base memory MB": round(int(output) / 1024, 1)})


async def measure_entry_vms(quick: bool) -> Part:
    """Vary the entry VMs of one failure domain."""
    sizes = [2, 4] if quick else [4, 8, 16, 32]
    costs = await steady.measure_entry_vms(sizes)
    varied = "members of a domain"
    return make_cost_part(
        "entry-vms", varied, "members", TARGET.members_per_domain, costs, quick
    )


async def measure_domains(quick: bool) -> Part:
    """Vary the entry VMs of the site, four in each failure domain."""
    sizes = [4, 8] if quick else [4, 8, 16, 32]
    costs = await steady.measure_domains(sizes)
    varied = "entry VMs, 4 per domain"
    return make_cost_part(
        "domains", varied, "entry VMs", TARGET.entry_vms, costs, quick
    )


async def measure_peers(quick: bool) -> Part:
    """Vary the light peers, each with two shards and three served parties."""
    sizes = [3, 15] if quick else [3, 7, 15, 31, 63]
    costs = await steady.measure_peers(sizes)
    varied = "light peers with load"
    return make_cost_part(
        "peers", varied, "peers", TARGET.members_per_domain - 1, costs, quick
    )


async def measure_servers(quick: bool) -> Part:
    """Vary the backend servers in the VM list."""
    sizes = [0, 1500] if quick else [0, 1500, 3000, 6000, 12_000]
    costs = await steady.measure_servers(sizes)
    varied = "listed servers"
    return make_cost_part("servers", varied, "servers", TARGET.replicas, costs, quick)


async def measure_parties(quick: bool) -> Part:
    """Vary the parties of the sheet."""
    sizes = [3, 20] if quick else [3, 20, 80, 160]
    costs = await steady.measure_parties(sizes)
    return make_cost_part("parties", "parties", "parties", TARGET.parties, costs, quick)


async def measure_changes(quick: bool) -> Part:
    """Vary the configuration changes per second."""
    rates = [0.0, 1.0] if quick else [0.0, 0.5, 1.0, 2.0]
    costs, delays_ms = await steady.measure_changes(rates)
    target = TARGET.changes_per_s
    part = make_cost_part("changes", "sheet changes", "changes/s", target, costs, quick)
    sorted_delays_ms = sorted(delays_ms)
    part.figures["in force on the last node, ms"] = [
        round(d, 1) for d in sorted_delays_ms
    ]
    return part


async def measure_targets(quick: bool) -> Part:
    """Vary the shards among which the target of a request is chosen."""
    domains = [1, 4] if quick else [1, 4, 8, 16, 21]
    build_points, choice_points = micro.measure_target_costs(domains)
    target = TARGET.shards
    return Part(
        [
            Series(
                "targets-build", "list of targets", "shards", "ms", target, build_points
            ),
            Series(
                "targets-choose", "choice of one", "shards", "ms", target, choice_points
            ),
        ]
    )


async def measure_requests(quick: bool) -> Part:
    """Vary the generations per second, sent to the owner and forwarded."""
    rates = [20.0, 60.0] if quick else [20.0, 40.0, 80.0, 160.0]
    part = Part()
    for forwarded in (False, True):
        costs = await load.measure_request_rates(rates, forwarded)
        label = "forwarded" if forwarded else "owned"
        part.series += make_load_series(f"requests-{label}", label, costs, "requests/s")
        part.figures[label] = [asdict(cost) for cost in costs]
    return part


async def measure_tokens(quick: bool) -> Part:
    """Vary the streamed tokens per second, for chunks of 1 and of 16 tokens."""
    streams = [2, 8] if quick else [1, 2, 4, 8]
    part = Part()
    for chunk_tokens in (1, 16):
        costs = await load.measure_token_rates(streams, chunk_tokens, True)
        label = f"chunks of {chunk_tokens}"
        name = f"tokens-chunk-{chunk_tokens}"
        part.series += make_load_series(name, label, costs, "tokens/s")
        part.figures[label] = [asdict(cost) for cost in costs]
    return part


def make_load_series(
    name: str, label: str, costs: list[load.LoadCost], unit: str
) -> list[Series]:
    """Return series of the CPU of the entry VM and of a separate owner, if any."""
    per_request = unit == "requests/s"
    target = TARGET.requests_per_vm if per_request else TARGET.tokens_per_vm
    series = []
    for position, role in enumerate(("entry", "owner")[: len(costs[0].cpu_percent)]):
        points = [
            (
                cost.requests_per_s if per_request else cost.tokens_per_s,
                cost.cpu_percent[position],
            )
            for cost in costs
        ]
        title = f"CPU of the {role}, {label}"
        key = f"{name}-{role}"
        series.append(Series(key, title, unit, "% of a core", target, points))
    return series


async def measure_steps(quick: bool) -> Part:
    """Vary the open steps of 2,048 samples at one holder."""
    counts = [0, 1] if quick else [0, 1, 2, 3]
    costs = await step_costs.measure_open_steps(counts, TARGET.samples_per_step)
    memory = [(float(count), cost[1]) for count, cost in costs.items()]
    target = TARGET.trainers
    return Part(
        [Series("steps-memory", "memory", "open steps", "MB", target, memory)],
        {f"{count} steps": cost for count, cost in costs.items()},
    )


async def measure_throughput(quick: bool) -> Part:
    """Saturate one core with requests and with tokens, and profile both loads."""
    part = Part()
    part.figures["requests of 1 token"] = asdict(
        await load.measure_saturation(1, 1, 64)
    )
    for chunk in (1, 16):
        cost = await load.measure_saturation(64 * chunk, chunk, 64)
        part.figures[f"streams, {chunk} tokens per chunk"] = asdict(cost)
    part.figures["profile, requests"] = await load.profile_load(1, 1)
    part.figures["profile, streams"] = await load.profile_load(64, 1)
    return part


async def measure_latency(quick: bool) -> Part:
    """Measure the latency that an idle entry VM adds."""
    latencies_ms = await load.measure_latencies(100 if quick else 400)
    figures: dict[str, object] = {k: round(v, 2) for k, v in latencies_ms.items()}
    for kind in ("generate", "call"):
        for route in ("owner", "forwarded"):
            added_ms = latencies_ms[f"{kind} {route}"] - latencies_ms[f"{kind} direct"]
            figures[f"{kind} {route}, added ms"] = round(added_ms, 2)
    return Part(figures=figures)


async def measure_recovery(quick: bool) -> Part:
    """Measure the recovery from kills, freezes, restarts and a cut."""
    recoveries = await recovery.measure_recoveries()
    return Part(figures={item.kind: asdict(item) for item in recoveries})


async def measure_sizes(quick: bool) -> Part:
    """Compute the sizes of messages and stored rows at the target."""
    await asyncio.sleep(0)
    return Part(
        figures={
            "heartbeat bytes, 3 parties": encoded_sizes.heartbeat_sizes(3),
            "heartbeat bytes, 20 parties": encoded_sizes.heartbeat_sizes(20),
            "VM list bytes": encoded_sizes.vm_list_bytes(),
            "VM list decoded MB": round(encoded_sizes.vm_list_memory_mb(12_000), 2),
            "sheet bytes, 20 parties": encoded_sizes.sheet_bytes(20),
            "sheet bytes, 160 parties": encoded_sizes.sheet_bytes(160),
            "messages": encoded_sizes.message_sizes(),
            "call row bytes": encoded_sizes.call_row_bytes(),
        }
    )
