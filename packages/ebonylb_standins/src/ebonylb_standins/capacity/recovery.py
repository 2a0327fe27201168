"""Recovery times after kills, freezes, restarts and a healed network cut."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass

import aiohttp

from .load import LoadGenerator, open_session
from .site import SERVICE, MeasuredCluster, make_topology

SETTLE_TIMEOUT_MS = 40_000
PROBE_INTERVAL_S = 0.02
PROBE_DEADLINE_MS = 5_000
PROBE_TOKENS = 4
VIEW_INTERVAL_S = 0.03


@dataclass(frozen=True, slots=True)
class Recovery:
    """Effect of a failure on the callers.

    Parameters
    ----------
    kind : str
        Description of the failure; key of its values in results.json.
    recovered_ms : float
        Time from the failure until the site has settled or, if later, until the end of
        the last probe that failed or took more than a second.
    failed, probes : int
        Number of probes through a surviving entry VM that failed or took more than a
        second, and number of all probes.
    """

    kind: str
    recovered_ms: float
    failed: int
    probes: int


class Prober:
    """Sends short generations through one entry VM and records bad probes."""

    def __init__(self, cluster: MeasuredCluster, entry: str) -> None:
        self.cluster, self.entry = cluster, entry
        self.bad_probe_times_s: list[float] = []
        self.probe_count = 0
        self.failure_reasons: Counter[str] = Counter()
        self.tasks: set[asyncio.Task] = set()

    async def send_probe(self, http: aiohttp.ClientSession, number: int) -> None:
        """Send a probe; it is bad if it fails or takes more than a second."""
        token = self.cluster.party_tokens["p-000"]
        generator = LoadGenerator(self.cluster.url(self.entry), token, PROBE_TOKENS)
        generator.headers["X-Deadline-Ms"] = str(PROBE_DEADLINE_MS)
        started_s = time.monotonic()
        try:
            await generator.send(http, number)
        except (aiohttp.ClientError, OSError, TimeoutError):
            generator.failure_count = 1
            generator.failure_reasons["no response"] += 1
        self.failure_reasons.update(generator.failure_reasons)
        ended_s = time.monotonic()
        if generator.failure_count or ended_s - started_s > 1:
            self.bad_probe_times_s.append(ended_s)

    async def run(self) -> None:
        """Send probes until cancelled, then wait for those that are open."""
        async with open_session() as http:
            try:
                while True:
                    self.probe_count += 1
                    task = asyncio.create_task(self.send_probe(http, self.probe_count))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                    await asyncio.sleep(PROBE_INTERVAL_S)
            finally:
                await asyncio.gather(*self.tasks, return_exceptions=True)


async def read_alive_vms(cluster: MeasuredCluster, through: str) -> set[str]:
    """Return the names of the VMs that an entry VM considers alive."""
    await asyncio.sleep(VIEW_INTERVAL_S)
    return set((await cluster.entry_counters(through))["alive"])


async def measure_recovery(cluster, entry, action, is_settled, kind: str) -> Recovery:
    """Run an action during probes and wait until the site has settled."""
    prober = Prober(cluster, entry)
    probe_task = asyncio.create_task(prober.run())
    await asyncio.sleep(1)
    started_s = time.monotonic()
    await action()
    await cluster.until(is_settled, SETTLE_TIMEOUT_MS, kind)
    settled_ms = (time.monotonic() - started_s) * 1000
    await asyncio.sleep(1.5)
    probe_task.cancel()
    await asyncio.gather(probe_task, return_exceptions=True)
    late_ms = [
        (ended_s - started_s) * 1000
        for ended_s in prober.bad_probe_times_s
        if ended_s >= started_s
    ]
    recovery = Recovery(
        kind,
        max([settled_ms, *late_ms]),
        len(prober.bad_probe_times_s),
        prober.probe_count,
    )
    print(recovery, dict(prober.failure_reasons), flush=True)
    return recovery


async def measure_recoveries() -> list[Recovery]:
    """Measure all kinds of failures on one site of two failure domains."""
    recoveries = []
    topology = make_topology(6, engines=4, domains=2)
    async with MeasuredCluster(topology) as cluster:
        names = [vm.name for vm in topology.entry_vms]
        entry, victim, frozen = names[0], names[2], names[4]
        domain = topology.entry_vms[0].failure_domain
        members = [vm.name for vm in topology.entry_vms if vm.failure_domain == domain]
        other_members = set(members) - {entry}
        await cluster.until(
            lambda: shows_alive(cluster, entry, other_members), SETTLE_TIMEOUT_MS
        )

        async def kill() -> None:
            cluster.kill(victim)

        async def is_gone() -> bool:
            return victim not in await read_alive_vms(cluster, entry)

        recoveries.append(
            await measure_recovery(cluster, entry, kill, is_gone, "entry VM killed")
        )

        async def restart() -> None:
            await cluster.restart(victim)
            await cluster.wait_until_ok(victim, "/readyz")

        is_back = lambda: shows_alive(cluster, entry, {victim})  # noqa: E731
        recoveries.append(
            await measure_recovery(
                cluster, entry, restart, is_back, "entry VM restarted"
            )
        )

        async def freeze() -> None:
            cluster.freeze(frozen)

        async def is_frozen_gone() -> bool:
            return frozen not in await read_alive_vms(cluster, entry)

        recoveries.append(
            await measure_recovery(
                cluster, entry, freeze, is_frozen_gone, "entry VM frozen"
            )
        )

        async def thaw() -> None:
            cluster.resume(frozen)

        is_awake = lambda: shows_alive(cluster, entry, {frozen})  # noqa: E731
        recoveries.append(
            await measure_recovery(cluster, entry, thaw, is_awake, "frozen VM awake")
        )
        engine = topology.engines[0].name

        async def kill_engine() -> None:
            cluster.kill(engine)

        async def is_always_true() -> bool:
            return True

        recoveries.append(
            await measure_recovery(
                cluster, entry, kill_engine, is_always_true, "engine killed"
            )
        )

        async def restart_engine() -> None:
            await cluster.restart(engine)

        recoveries.append(
            await measure_recovery(
                cluster, entry, restart_engine, is_always_true, "engine restarted"
            )
        )
        recoveries += await cut_and_heal(cluster, names, entry)
    return recoveries


async def cut_and_heal(cluster, names: list[str], entry: str) -> list[Recovery]:
    """Cut the first failure domain off from all others and the platform, then heal."""
    topology = cluster.topology
    domain = topology.entry_vms[0].failure_domain
    members = {vm.name for vm in topology.entry_vms if vm.failure_domain == domain}

    async def set_faults(is_cut: bool) -> None:
        await cluster.cut_off_domains(*([domain] if is_cut else []))
        for name in names:
            cut_peers = [n for n in names if (n in members) != (name in members)]
            await cluster.send_request(
                name, "POST", "/faults", {"cut_peers": cut_peers if is_cut else []}
            )

    async def cut() -> None:
        await set_faults(True)

    async def is_always_true() -> bool:
        return True

    cut_recovery = await measure_recovery(
        cluster, entry, cut, is_always_true, "failure domain cut off"
    )
    outside = next(name for name in names if name not in members)
    revision = await cluster.apply_sheet(cluster.sheet, None, outside)

    async def heal() -> None:
        await set_faults(False)

    async def is_current() -> bool:
        status = await cluster.status(entry)
        own = [v["revision"] for v in status["entry_vms"] if v["name"] == entry]
        return own[0] >= revision

    heal_recovery = await measure_recovery(
        cluster, entry, heal, is_current, "cut healed, revision equal"
    )
    return [cut_recovery, heal_recovery]


async def shows_alive(cluster: MeasuredCluster, through: str, names: set[str]) -> bool:
    """Return whether an entry VM considers all the named VMs alive."""
    return names <= await read_alive_vms(cluster, through)


__all__ = ["SERVICE", "Recovery", "measure_recoveries"]
