"""Time to recover after a kill, a freeze, a restart and a healed cut."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass

import aiohttp

from .load import Generator, session
from .site import SERVICE, MeasuredCluster, make_topology

LIMIT_MS = 40_000
PROBE_S = 0.02
DEADLINE_MS = 5_000
TOKENS = 4
VIEW_S = 0.03


@dataclass(frozen=True, slots=True)
class Recovery:
    """What a failure cost.

    Parameters
    ----------
    kind : str
        Failure.
    recovered_ms : float
        Time from the failure to the last probe that failed or took over a second,
        0 when none did; for a restart and a healed cut, the time until ready.
    failed, probes : int
        Probes through a surviving entry VM without an answer, and all of them.
    """

    kind: str
    recovered_ms: float
    failed: int
    probes: int


class Prober:
    """Sends short generations through one entry VM and notes the failures."""

    def __init__(self, cluster: MeasuredCluster, entry: str) -> None:
        self.cluster, self.entry = cluster, entry
        self.bad: list[float] = []
        self.probes = 0
        self.reasons: Counter[str] = Counter()
        self.tasks: set[asyncio.Task] = set()

    async def one(self, http: aiohttp.ClientSession, number: int) -> None:
        """Send a probe; a failure or an answer after a second is bad."""
        token = self.cluster.party_tokens["p-000"]
        generator = Generator(self.cluster.url(self.entry), token, TOKENS)
        generator.headers["X-Deadline-Ms"] = str(DEADLINE_MS)
        started = time.monotonic()
        try:
            await generator.one(http, number)
        except (aiohttp.ClientError, OSError, TimeoutError):
            generator.failed = 1
            generator.reasons["no answer"] += 1
        self.reasons.update(generator.reasons)
        ended = time.monotonic()
        if generator.failed or ended - started > 1:
            self.bad.append(ended)

    async def run(self) -> None:
        """Probe until cancelled."""
        async with session() as http:
            try:
                while True:
                    self.probes += 1
                    task = asyncio.create_task(self.one(http, self.probes))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                    await asyncio.sleep(PROBE_S)
            finally:
                await asyncio.gather(*self.tasks, return_exceptions=True)


async def alive_set(cluster: MeasuredCluster, through: str) -> set[str]:
    """Return the entry VMs that one shows as alive."""
    await asyncio.sleep(VIEW_S)
    return set((await cluster.entry_counters(through))["alive"])


async def during(cluster, entry, action, settled, kind: str) -> Recovery:
    """Run an action while probing, until a condition holds."""
    prober = Prober(cluster, entry)
    task = asyncio.create_task(prober.run())
    await asyncio.sleep(1)
    start = time.monotonic()
    await action()
    await cluster.until(settled, LIMIT_MS, kind)
    settled_ms = (time.monotonic() - start) * 1000
    await asyncio.sleep(1.5)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    late = [(moment - start) * 1000 for moment in prober.bad if moment >= start]
    found = Recovery(kind, max([settled_ms, *late]), len(prober.bad), prober.probes)
    print(found, dict(prober.reasons), flush=True)
    return found


async def run_all() -> list[Recovery]:
    """Measure all kinds on one site of two failure domains."""
    found = []
    topology = make_topology(6, engines=4, domains=2)
    async with MeasuredCluster(topology) as cluster:
        names = [vm.name for vm in topology.entry_vms]
        entry, victim, frozen = names[0], names[2], names[4]
        domain = topology.entry_vms[0].failure_domain
        inside = [vm.name for vm in topology.entry_vms if vm.failure_domain == domain]
        others = set(inside) - {entry}
        await cluster.until(lambda: sees(cluster, entry, others), LIMIT_MS)

        async def kill() -> None:
            cluster.kill(victim)

        async def gone() -> bool:
            return victim not in await alive_set(cluster, entry)

        found.append(await during(cluster, entry, kill, gone, "entry VM killed"))

        async def restart() -> None:
            await cluster.restart(victim)
            await cluster.wait_until_ok(victim, "/readyz")

        back = lambda: sees(cluster, entry, {victim})  # noqa: E731
        found.append(await during(cluster, entry, restart, back, "entry VM restarted"))

        async def freeze() -> None:
            cluster.freeze(frozen)

        async def frozen_gone() -> bool:
            return frozen not in await alive_set(cluster, entry)

        found.append(
            await during(cluster, entry, freeze, frozen_gone, "entry VM frozen")
        )

        async def thaw() -> None:
            cluster.resume(frozen)

        awake = lambda: sees(cluster, entry, {frozen})  # noqa: E731
        found.append(await during(cluster, entry, thaw, awake, "frozen VM awake"))
        engine = topology.engines[0].name

        async def kill_engine() -> None:
            cluster.kill(engine)

        async def at_once() -> bool:
            return True

        found.append(
            await during(cluster, entry, kill_engine, at_once, "engine killed")
        )

        async def restart_engine() -> None:
            await cluster.restart(engine)

        found.append(
            await during(cluster, entry, restart_engine, at_once, "engine restarted")
        )
        found += await cut_and_heal(cluster, names, entry)
    return found


async def cut_and_heal(cluster, names: list[str], entry: str) -> list[Recovery]:
    """Cut the first failure domain off from everything, then heal."""
    topology = cluster.topology
    domain = topology.entry_vms[0].failure_domain
    inside = {vm.name for vm in topology.entry_vms if vm.failure_domain == domain}

    async def faults(cut: bool) -> None:
        await cluster.cut_off_domains(*([domain] if cut else []))
        for name in names:
            away = [n for n in names if (n in inside) != (name in inside)]
            await cluster.send_request(
                name, "POST", "/faults", {"cut_peers": away if cut else []}
            )

    async def cut() -> None:
        await faults(True)

    async def at_once() -> bool:
        return True

    first = await during(cluster, entry, cut, at_once, "failure domain cut off")
    outside = next(name for name in names if name not in inside)
    revision = await cluster.apply_sheet(cluster.sheet, None, outside)

    async def heal() -> None:
        await faults(False)

    async def current() -> bool:
        status = await cluster.status(entry)
        own = [v["revision"] for v in status["entry_vms"] if v["name"] == entry]
        return own[0] >= revision

    second = await during(cluster, entry, heal, current, "cut healed, revision equal")
    return [first, second]


async def sees(cluster: MeasuredCluster, through: str, wanted: set[str]) -> bool:
    """Tell whether an entry VM shows others as alive."""
    return wanted <= await alive_set(cluster, through)


__all__ = ["SERVICE", "Recovery", "run_all"]
