"""Run of one seed: a cluster under load and faults, then the checks."""

import asyncio
import random
import time
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field, replace

import aiohttp

from ..cluster import Cluster
from ..demo import build_sheet
from ..histories.checkers import Violation
from ..histories.events import CallRefused, CallSent, Event
from ..tasks import end_task
from ..topology import ABAY, SONG_HUONG, Topology, entry_vms, servers
from .balancer import Balancer
from .checkers import check_run
from .events import FaultBegan, Healed, SampleRead
from .faults import CRASH_MARKER, FaultInjector
from .history import add_records
from .load import RecordingCaller, TrainerLoad
from .operators import OperatorPair, RevisionReader, read_status
from .plan import FAULTS, PlannedFault, draw_plan
from .recorder import Recorder
from .recovery import RECOVERY_LIMIT_MS, EngineRestarter, check_recovery

CALLER_KINDS = (
    "own",
    "own",
    "issued",
    "issued",
    "none",
    "plain",
    "plain",
    "stream",
    "stream",
)
FINISH_TIMEOUT_S = 75.0  # longer than the 60 s limit of a trainer's step
START_TIMEOUT_MS = 10_000
CRASHING_CALLERS = 4  # callers that send a crashing request, 0.2 s apart


@dataclass(frozen=True)
class RunOptions:
    """Parameters of one run.

    Parameters
    ----------
    seed : int
        Seed of topology, load and faults.
    site : str
        ``"abay"`` or ``"song-huong"``.
    faults : tuple of str
        Faults that may be drawn.
    load_s : float
        Length of the load, in which faults begin.
    variant : str
        Name of a broken variant of the entry VM; empty for the real entry VM.
    """

    seed: int
    site: str = "abay"
    faults: tuple[str, ...] = FAULTS
    load_s: float = 8.0
    variant: str = ""


@dataclass
class Verdict:
    """Result of one run.

    Parameters
    ----------
    counts : dict
        Numbers of events, requests, samples and steps.
    refusals : dict
        Numbers of refusals by outcome and reason.
    """

    options: RunOptions
    plan: list[PlannedFault]
    faults: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    refusals: Counter[str] = field(default_factory=Counter)
    violations: list[Violation] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)
    elapsed_s: float = 0.0


def draw_topology(seed: int, site: str) -> Topology:
    """Return a small site: 3 failure domains, 4 to 6 entry VMs, 3 or 4 engines."""
    full_topology = {"abay": ABAY, "song-huong": SONG_HUONG}[site]
    generator = random.Random(f"topology {seed}")
    first, second, third = full_topology.regions
    counts = generator.choice(((2, 1, 1), (2, 2, 1), (2, 2, 2)))
    engines = generator.choice(((1, 1, 1), (2, 1, 1)))
    domains = (first.replace("-", "_"), second.replace("-", "_"))
    third = third.replace("-", "_")
    return replace(
        full_topology,
        entry_vms=entry_vms(**dict(zip((*domains, third), counts, strict=True))),
        engines=servers(
            full_topology.engine_service,
            **dict(zip((*domains, third), engines, strict=True)),
        ),
        plain_services=servers(
            full_topology.plain_service, **dict.fromkeys(domains, 1)
        ),
    )


def make_cluster(options: RunOptions) -> Cluster:
    """Return the cluster of a run, not started."""
    topology = draw_topology(options.seed, options.site)
    command = ("ebonylb", "serve")
    if options.variant:
        command = ("ebonylb_standins.broken_vm", options.variant)
    return Cluster(
        topology,
        build_sheet(topology, trainer_weight=2.0),
        engine_options={"crash_marker": CRASH_MARKER, "seed": options.seed},
        plain_options={"seed": options.seed},
        settings={"timing": {"balancer_grace_ms": 500}},
        entry_command=command,
    )


class FaultRun:
    """Load, faults and background readers of one run.

    Parameters
    ----------
    options : RunOptions
        Parameters of the run.
    cluster : Cluster
        Started cluster.
    """

    def __init__(self, options: RunOptions, cluster: Cluster) -> None:
        self.options, self.cluster = options, cluster
        self.recorder = Recorder()
        self.balancer = Balancer(cluster)
        self.plan = draw_plan(options.seed, options.load_s, options.faults)
        self.injector = FaultInjector(cluster, self.recorder, self.send_crashing)
        self.engine_restarter = EngineRestarter(cluster, self.injector)
        parts = (cluster, self.recorder, self.balancer)
        self.callers = [
            RecordingCaller(*parts, f"{kind}{number}", kind, options.seed)
            for number, kind in enumerate(CALLER_KINDS)
        ]
        self.trainers = [
            TrainerLoad(*parts, party, options.seed)
            for party in cluster.topology.parties[:2]
        ]
        self.operators = OperatorPair(*parts, options.seed)
        self.crashing_requests = 0

    async def run(self) -> None:
        """Run load and faults, then check that everything serves again."""
        stop = asyncio.Event()
        async with AsyncExitStack() as stack:
            connector = aiohttp.TCPConnector(limit=0)
            self.http = await stack.enter_async_context(
                aiohttp.ClientSession(connector=connector)
            )
            readers = (
                self.balancer.run(),
                RevisionReader(self.cluster, self.recorder).run(),
                self.engine_restarter.run(),
            )
            await self.wait_configured()
            await self.ignore_fences()
            for reader in readers:
                stack.push_async_callback(end_task, asyncio.create_task(reader))
            loads = [
                *(caller.run(self.http, stop) for caller in self.callers),
                *(load.run(self.http, stop) for load in self.trainers),
                self.operators.run(stop),
            ]
            tasks = [asyncio.create_task(load) for load in loads]
            for task in tasks:
                stack.push_async_callback(end_task, task)
            await self.injector.run(self.plan)
            self.recorder.record(Healed, RECOVERY_LIMIT_MS)
            await check_recovery(self.cluster, self.recorder, self.callers)
            stop.set()
            await asyncio.wait_for(asyncio.gather(*tasks), FINISH_TIMEOUT_S)
            await self.operators.read_stored()

    async def wait_configured(self) -> None:
        """Wait until the first sheet is in force on all entry VMs."""

        async def configured() -> bool:
            names = self.balancer.names
            shown = [await read_status(self.cluster, name) for name in names]
            return all(status and status["revision"] > 0 for status in shown)

        await self.cluster.until(configured, START_TIMEOUT_MS, "first sheet in force")

    async def ignore_fences(self) -> None:
        """Make one engine ignore fencing numbers, as some engines do."""
        name = self.cluster.topology.engines[0].name
        await self.cluster.control(name, checks_fence=False)

    async def send_crashing(self, prompt: str) -> None:
        """Send a crashing request from several callers through random entry VMs."""
        self.crashing_requests += 1

        async def send(number: int) -> None:
            name = f"crash{self.crashing_requests}-{number}"
            parts = (self.cluster, self.recorder, self.balancer)
            caller = RecordingCaller(*parts, name, "plain", self.options.seed)
            caller.http = self.http
            await asyncio.sleep(number * 0.2)
            await caller.run_work(0, prompt)

        await asyncio.gather(*(send(number) for number in range(CRASHING_CALLERS)))


async def prove_seed(options: RunOptions) -> Verdict:
    """Run one seed and return the verdict of the checks on its history."""
    start = time.monotonic()
    async with make_cluster(options) as cluster:
        run = FaultRun(options, cluster)
        verdict = Verdict(options, run.plan)
        await run.run()
        verdict.events = add_records(run.recorder, cluster.run_events())
    verdict.violations = check_run(verdict.events)
    fill_counts(verdict, run)
    verdict.elapsed_s = time.monotonic() - start
    return verdict


def fill_counts(verdict: Verdict, run: FaultRun) -> None:
    """Fill in the statistics of a verdict."""
    for event in verdict.events:
        if isinstance(event, CallRefused):
            verdict.refusals[f"{event.outcome} {event.reason}".strip()] += 1
        elif isinstance(event, FaultBegan):
            verdict.faults.append(f"{event.fault} {' '.join(event.targets)}".strip())
        verdict.counts["events"] += 1
        verdict.counts["sent"] += isinstance(event, CallSent)
        verdict.counts["samples"] += isinstance(event, SampleRead)
        verdict.counts[type(event).__name__] += 1
    for caller in run.callers:
        for outcome, number in caller.outcome_counts.items():
            verdict.counts[f"work {outcome}"] += number
    for load in run.trainers:
        for summary in load.summaries:
            verdict.counts["steps"] += 1
            verdict.counts["steps incomplete"] += not summary.complete
            verdict.counts["sessions"] += summary.sessions
            verdict.counts["samples inconsistent"] += summary.inconsistent
