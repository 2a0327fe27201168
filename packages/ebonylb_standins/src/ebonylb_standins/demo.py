"""Demonstration of a reduced site on loopback, run by ``make demo``."""

import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import aiohttp

from . import caller, trainer
from .cluster import Cluster
from .site.demo import run_site_demo
from .streams import DemoError, StreamReader, require
from .tasks import end_task
from .text import complete_text
from .topology import ABAY, Topology, reduce_site

TIMEOUT_S = 55  # the demonstration is specified to end within a minute
SHEET_TIMEOUT_MS = 8_000  # specified limit for a sheet to be in force everywhere
EXIT_TIMEOUT_MS = 30_000
INTERRUPTED_EXIT_CODE = 130
STREAM_COUNT = 6
STREAM_TOKENS = 600  # enough to still be streaming when SIGTERM is sent


@dataclass
class PartResult:
    """Result of a part of the demonstration.

    Parameters
    ----------
    part : str
        Name of the part.
    passed : bool
        Whether the part behaved as specified.
    detail : str
        Measured values, or the failure; further lines show who was served by what.
    elapsed_ms : float
        Duration of the part.
    """

    part: str
    passed: bool
    detail: str
    elapsed_ms: float


def build_sheet(topology: Topology, trainer_weight: float) -> str:
    """Return a sheet for a site as JSON with comments."""
    *trainers, desk = topology.parties
    parties = {name: {"role": "trainer"} for name in trainers}
    parties[desk] = {"role": "desk"}
    engine_shares = {name: trainer_weight for name in trainers} | {desk: 1.0}
    document = {
        "day": "2026-01-05",
        "parties": parties,
        "services": {
            topology.engine_service: {
                "kind": "engine",
                "shares": engine_shares,
                "staleness_bound": 1,
            },
            topology.plain_service: {"kind": "plain", "shares": {desk: 1.0}},
        },
    }
    return f"// Shares of the demonstration.\n{json.dumps(document, indent=2)}\n"


async def show_booking(cluster: Cluster) -> str:
    """Send a booking through each entry VM and check that each ran once."""
    topology = cluster.topology
    desk = topology.parties[-1]
    lines = []
    for number, url in enumerate(cluster.entry_urls):
        options = caller.Options(
            [url],
            token=cluster.party_tokens[desk],
            name=f"demo-{number}",
            bookings=1,
            booking_service=topology.plain_service,
        )
        summary = await caller.run_caller(options)
        require(summary.answered == 1, f"booking through {url}: {summary}")
        (booking,) = summary.answers.values()
        lines.append(
            f"party {desk} through {entry_name(cluster, url)}: "
            f"booking {booking}, {summary.p50_ms:.0f} ms"
        )
    works = [run.work for run in cluster.runs()]
    require(len(works) == len(set(works)), "a booking ran more than once")
    require(len(works) == len(cluster.entry_urls), f"{len(works)} bookings ran")
    return "\n".join([f"{len(works)} bookings answered whole, each ran once", *lines])


def entry_name(cluster: Cluster, url: str) -> str:
    """Return the name of the entry VM at a URL."""
    return next(
        vm.name for vm in cluster.topology.entry_vms if cluster.url(vm.name) == url
    )


async def show_advice(cluster: Cluster) -> str:
    """Request a generation through each entry VM and check its text."""
    topology = cluster.topology
    desk, lines = topology.parties[-1], []
    headers = {"Authorization": f"Bearer {cluster.party_tokens[desk]}"}
    for number, url in enumerate(cluster.entry_urls):
        body = {
            "service": topology.engine_service,
            "prompt": f"draw time of load {number}",
            "max_tokens": 32,
            "seed": number,
        }
        start = time.monotonic()
        async with cluster.http.post(
            url + "/v1/generate", json=body, headers=headers
        ) as response:
            answer = await response.json(content_type=None)
        elapsed_ms = (time.monotonic() - start) * 1000
        require(response.status == 200, f"advice through {url}: {answer}")
        text = complete_text(body["prompt"], number, body["max_tokens"])
        require(answer["text"] == text, f"advice through {url} is not whole: {answer}")
        parts = ", ".join(
            f"{part['tokens']} tokens of version {part['version']} by {part['server']}"
            for part in answer["segments"]
        )
        name = entry_name(cluster, url)
        lines.append(f"party {desk} through {name}: {parts}, {elapsed_ms:.0f} ms")
    return "\n".join([f"{len(lines)} generations answered whole", *lines])


def step_options(cluster: Cluster, step: int, **changes: object) -> trainer.Options:
    """Return the options of a trainer's step on this cluster."""
    name = cluster.topology.parties[0]
    values = {
        "entries": cluster.entry_urls,
        "trainer": name,
        "token": cluster.party_tokens[name],
        "service": cluster.topology.engine_service,
        "step": step,
        "groups": 4,
        "samples": 4,
        "limit_ms": 20_000,
    }
    return trainer.Options(**(values | changes))


def require_step(summary: trainer.Summary) -> None:
    """Check that a step is complete, without repeated, stale or foreign samples."""
    require(summary.complete, f"step incomplete: {summary}")
    require(not summary.failed, f"slots failed: {summary}")
    wrong = summary.repeated + summary.too_old + summary.inconsistent
    require(wrong == 0, f"step with wrong samples: {summary}")
    require(summary.versions, f"no weight version named: {summary}")


async def show_step(cluster: Cluster) -> str:
    """Run a trainer's step of groups and samples."""
    summary = await trainer.run_step(step_options(cluster, 1))
    require_step(summary)
    versions = ", ".join(
        f"{tokens} tokens from version {version}"
        for version, tokens in sorted(summary.versions.items())
    )
    servers = [
        f"{summary.trainer}: {tokens} tokens by {server}"
        for server, tokens in sorted(summary.servers.items())
    ]
    first = f"{summary.samples} samples exactly once; {versions}"
    return "\n".join([first, *servers])


async def show_sheet(cluster: Cluster) -> str:
    """Apply a changed sheet and wait until every entry VM shows it in force."""
    names = [spec.name for spec in cluster.topology.entry_vms]
    before = own_revision(await cluster.status(names[0]), names[0])
    start = time.monotonic()
    sheet = build_sheet(cluster.topology, trainer_weight=3.0)
    revision = await cluster.apply_sheet(sheet, before, names[0])
    require(revision > before, f"revision {revision} after {before}")

    async def in_force() -> bool:
        revisions = [own_revision(await cluster.status(name), name) for name in names]
        return min(revisions) >= revision

    await cluster.until(in_force, SHEET_TIMEOUT_MS, f"revision {revision} everywhere")
    elapsed_ms = (time.monotonic() - start) * 1000
    return (
        f"revision {revision} in force on {len(names)} entry VMs in {elapsed_ms:.0f} ms"
    )


def own_revision(status: dict, name: str) -> int:
    """Return an entry VM's own revision from its status."""
    for entry_vm in status["entry_vms"]:
        if entry_vm["name"] == name:
            return entry_vm["revision"]
    raise DemoError(f"{name} does not show itself in its status: {status}")


async def show_shutdown(cluster: Cluster) -> str:
    """Send SIGTERM to an entry VM while streams and a step run through it."""
    topology = cluster.topology
    leaving = topology.entry_vms[-1].name
    desk = topology.parties[-1]
    readers = [
        StreamReader(
            cluster.url(leaving),
            cluster.party_tokens[desk],
            {
                "service": topology.engine_service,
                "prompt": f"stream {number} len={STREAM_TOKENS}",
                "max_tokens": STREAM_TOKENS,
                "seed": number,
                "stream": True,
            },
        )
        for number in range(STREAM_COUNT)
    ]
    entry_index = cluster.entry_urls.index(cluster.url(leaving))
    options = step_options(cluster, 2, length=200, first_entry=entry_index)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        step = trainer.Trainer(options, session)
        tasks = [asyncio.create_task(reader.read(session)) for reader in readers]
        step_task = asyncio.create_task(step.run())
        try:
            await wait_until_started([reader.started for reader in readers], tasks)
            cluster.terminate(leaving)
            code = await cluster.wait_exit(leaving, EXIT_TIMEOUT_MS)
            await asyncio.gather(*tasks)
            summary = await step_task
        finally:
            for task in (*tasks, step_task):
                await discard_task(task)
    require(code == 0, f"{leaving} ended with exit code {code}")
    require_step(summary)
    require(summary.broken == 0, f"the trainer's stream was cut off: {summary}")
    return (
        f"{leaving}: {STREAM_COUNT} streams and {summary.samples} samples whole, "
        f"{summary.moved} moved, exit code 0"
    )


async def wait_until_started(
    events: list[asyncio.Event], tasks: "list[asyncio.Task[None]]"
) -> None:
    """Wait until all streams have started; raise the error of a stream that failed."""
    all_started = asyncio.gather(*(event.wait() for event in events))
    done, _ = await asyncio.wait(
        {all_started, *tasks}, timeout=15, return_when=asyncio.FIRST_COMPLETED
    )
    if all_started not in done:
        all_started.cancel()
        for task in done:
            task.result()
        raise DemoError("the streams did not start, or ended before SIGTERM was sent")


async def discard_task(task: asyncio.Task) -> None:
    """Cancel a task, or ignore the exception of one that has finished."""
    if not task.done():
        await end_task(task)
    elif not task.cancelled():
        task.exception()


PARTS: dict[str, Callable[[Cluster], Awaitable[str]]] = {
    "booking through each entry VM": show_booking,
    "advice through each entry VM": show_advice,
    "trainer step": show_step,
    "sheet in force": show_sheet,
    "SIGTERM during streams": show_shutdown,
}


async def run_part(name: str, work: Awaitable[str]) -> PartResult:
    """Run a part and return its result, with an error as its detail."""
    start = time.monotonic()
    try:
        detail, passed = await work, True
    except (
        DemoError,
        RuntimeError,
        LookupError,
        TimeoutError,
        aiohttp.ClientError,
        OSError,
    ) as error:
        detail, passed = f"{type(error).__name__}: {error}", False
    return PartResult(name, passed, detail, (time.monotonic() - start) * 1000)


async def run_demo(
    cluster: Cluster, report: Callable[[PartResult], None] = lambda _: None
) -> list[PartResult]:
    """Start the cluster and run all parts, even after a part has failed.

    Parameters
    ----------
    cluster : Cluster
        Cluster that has not been started.
    report : callable
        Called with each result as soon as its part ends.
    """
    results: list[PartResult] = []

    async def run_and_report(name: str, work: Awaitable[str]) -> bool:
        results.append(await run_part(name, work))
        report(results[-1])
        return results[-1].passed

    async def start() -> str:
        await cluster.__aenter__()
        counts = [cluster.topology.entry_vms, cluster.topology.engines]
        counts.append(cluster.topology.plain_services)
        return "{} entry VMs, {} engines, {} booking desk".format(*map(len, counts))

    try:
        async with asyncio.timeout(TIMEOUT_S):
            if await run_and_report("start", start()):
                for name, part in PARTS.items():
                    await run_and_report(name, part(cluster))
    except TimeoutError:
        results.append(
            PartResult("time", False, f"over {TIMEOUT_S} s", TIMEOUT_S * 1000)
        )
        report(results[-1])
    finally:
        await cluster.__aexit__(None, None, None)
    return results


def demo_cluster() -> Cluster:
    """Return the reduced Abay site."""
    topology = reduce_site(ABAY, entry_count=4)
    return Cluster(
        topology,
        build_sheet(topology, trainer_weight=2.0),
        settings={"timing": {"balancer_grace_ms": 300}},
    )


def print_result(result: PartResult) -> None:
    """Print a result, with the further lines of its detail indented."""
    verdict = "ok  " if result.passed else "FAIL"
    first, *lines = result.detail.split("\n")
    print(f"{verdict}  {result.part:<30}  {result.elapsed_ms:>6.0f} ms  {first}")
    for line in lines:
        print(f"      {line}")
    sys.stdout.flush()


def main() -> None:
    """Run the demonstration; exit with 1 if a part failed."""
    start = time.monotonic()
    cluster = demo_cluster()
    print(
        f"{cluster.topology.name}, reduced, as separate processes on loopback; "
        "takes about 20 s, Ctrl-C ends all of them",
        flush=True,
    )
    try:
        results = asyncio.run(run_demo(cluster, print_result))
        results.append(asyncio.run(run_part("the users' platform", run_site_demo())))
        print_result(results[-1])
    except KeyboardInterrupt:
        print("interrupted; all processes have ended")
        raise SystemExit(INTERRUPTED_EXIT_CODE) from None
    print(f"{time.monotonic() - start:.1f} s in all")
    raise SystemExit(0 if all(result.passed for result in results) else 1)


if __name__ == "__main__":
    main()
