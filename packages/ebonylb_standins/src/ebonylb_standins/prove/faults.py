"""Execution of planned faults on a cluster."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import aiohttp

from ..cluster import Cluster
from ..topology import EntryVmSpec, ServerSpec
from ..waiting import until
from .events import (
    FaultBegan,
    FaultEnded,
    LeavingEnded,
    LeavingSign,
    ShutdownAsked,
    ShutdownEnded,
)
from .plan import PlannedFault
from .recorder import Recorder

EXIT_LIMIT_MS = 40_000
DOWN_S = 0.5  # a killed process is replaced after this
LIST_LAG_MS = 1_500
CRASH_MARKER = "crash-the-engine"

Execute = Callable[[PlannedFault], Awaitable[None]]


class FaultInjector:
    """Injects faults and heals them.

    Parameters
    ----------
    cluster : Cluster
        What breaks.
    recorder : Recorder
        Where each fault is noted.
    crash : callable
        Sends a request with the given prompt through several entry VMs.
    """

    def __init__(
        self,
        cluster: Cluster,
        recorder: Recorder,
        crash: Callable[[str], Awaitable[None]],
    ) -> None:
        self.cluster, self.recorder, self.crash = cluster, recorder, crash
        self.busy: set[str] = set()
        self.cuts: set[str] = set()
        self.frozen: set[str] = set()

    async def run(self, plan: list[PlannedFault]) -> None:
        """Execute a plan; returns when all faults are healed."""
        await asyncio.gather(*(self.execute(planned) for planned in plan))

    async def execute(self, planned: PlannedFault) -> None:
        """Execute one fault at its time."""
        await asyncio.sleep(planned.start_s)
        await getattr(self, planned.fault)(planned)

    def began(self, planned: PlannedFault, *targets: str) -> None:
        """Note a fault's begin."""
        self.recorder.note(FaultBegan, planned.fault, targets)

    def ended(self, planned: PlannedFault, *targets: str) -> None:
        """Note a fault's end."""
        self.recorder.note(FaultEnded, planned.fault, targets)

    async def take(
        self, planned: PlannedFault, specs: tuple[EntryVmSpec | ServerSpec, ...]
    ) -> EntryVmSpec | ServerSpec:
        """Choose a machine that no other fault uses; wait for one if need be."""
        choice = random.Random(planned.number)
        while True:
            free = [spec for spec in specs if spec.name not in self.busy]
            if free:
                spec = choice.choice(free)
                self.busy.add(spec.name)
                return spec
            await asyncio.sleep(0.1)

    async def kill_entry(self, planned: PlannedFault) -> None:
        """Kill an entry VM and start it again."""
        await self.kill_and_restart(planned, self.cluster.topology.entry_vms)

    async def kill_engine(self, planned: PlannedFault) -> None:
        """Kill an engine and start it again."""
        await self.kill_and_restart(planned, self.cluster.topology.engines)

    async def kill_and_restart(self, planned: PlannedFault, specs: tuple) -> None:
        """Kill a machine and start it again."""
        spec = await self.take(planned, specs)
        self.began(planned, spec.name)
        self.cluster.kill(spec.name)
        await asyncio.sleep(DOWN_S)
        await self.cluster.restart(spec.name)
        self.ended(planned, spec.name)
        self.busy.discard(spec.name)

    async def freeze_entry(self, planned: PlannedFault) -> None:
        """Stop an entry VM past its heartbeat limits, then let it go on."""
        await self.freeze(planned, self.cluster.topology.entry_vms)

    async def freeze_engine(self, planned: PlannedFault) -> None:
        """Stop an engine for a while."""
        await self.freeze(planned, self.cluster.topology.engines)

    async def freeze(self, planned: PlannedFault, specs: tuple) -> None:
        """Stop a machine for a while."""
        spec = await self.take(planned, specs)
        self.began(planned, spec.name)
        self.frozen.add(spec.name)
        self.cluster.freeze(spec.name)
        await asyncio.sleep(planned.duration_s)
        self.cluster.resume(spec.name)
        self.frozen.discard(spec.name)
        self.ended(planned, spec.name)
        self.busy.discard(spec.name)

    async def cut_peers(self, planned: PlannedFault) -> None:
        """Cut the entry VMs of a failure domain off from all others, both sides."""
        domains = list(self.cluster.topology.regions)
        domain = domains[planned.number % len(domains)]
        vms = self.cluster.topology.entry_vms
        inside = [vm.name for vm in vms if vm.failure_domain == domain]
        outside = [vm.name for vm in vms if vm.failure_domain != domain]
        self.began(planned, domain)
        sides = ((inside, outside), (outside, inside))
        await asyncio.gather(
            *(self.set_cut(name, other) for side, other in sides for name in side)
        )
        await asyncio.sleep(planned.duration_s)
        await asyncio.gather(*(self.heal_cut(vm.name) for vm in vms))
        self.ended(planned, domain)

    async def set_cut(self, name: str, others: list[str]) -> bool:
        """Cut an entry VM off from others; one that is down or frozen is skipped.

        A process that starts during the cut is not cut on its own side.
        """
        if name in self.frozen:
            return False
        try:
            await self.cluster.send_request(
                name, "POST", "/faults", {"cut_peers": others}
            )
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
        return True

    async def heal_cut(self, name: str) -> None:
        """End the cut of an entry VM; a process that starts anew has none."""
        start = self.cluster.processes[name].starts
        while not await self.set_cut(name, []):
            process = self.cluster.processes[name]
            if not process.is_running or process.starts != start:
                return
            await asyncio.sleep(0.1)

    async def cut_platform(self, planned: PlannedFault) -> None:
        """Cut a failure domain off from the platform."""
        domains = list(self.cluster.topology.regions)
        domain = domains[planned.number % len(domains)]
        silent = planned.number % 2 == 0
        self.began(planned, domain)
        self.cuts.add(domain)
        await self.cluster.control("platform", cut=sorted(self.cuts), cut_silent=silent)
        await asyncio.sleep(planned.duration_s)
        self.cuts.discard(domain)
        await self.cluster.control("platform", cut=sorted(self.cuts))
        self.ended(planned, domain)

    async def set_for(
        self, planned: PlannedFault, name: str, settings: dict, healed: dict
    ) -> None:
        """Change settings of a stand-in for a while."""
        self.began(planned, name)
        await self.cluster.control(name, **settings)
        await asyncio.sleep(planned.duration_s)
        await self.cluster.control(name, **healed)
        self.ended(planned, name)

    async def platform_down(self, planned: PlannedFault) -> None:
        """Let the platform answer 503 to everything."""
        await self.set_for(planned, "platform", {"down": True}, {"down": False})

    async def platform_slow(self, planned: PlannedFault) -> None:
        """Slow the platform down, at times beyond the clients' timeout."""
        slow_ms = (200, 700, 1_500)[planned.number % 3]
        healed = {"slow_ms": 0}
        await self.set_for(planned, "platform", {"slow_ms": slow_ms}, healed)

    async def lost_answers(self, planned: PlannedFault) -> None:
        """Lose half of the answers to transactions after their effect."""
        healed = {"lose_answers": 0}
        await self.set_for(planned, "platform", {"lose_answers": 0.5}, healed)

    async def lagging_reads(self, planned: PlannedFault) -> None:
        """Let reads and the VM list lag."""
        lag = {"read_lag_ms": 3_000, "list_lag_ms": LIST_LAG_MS}
        healed = dict.fromkeys(lag, 0)
        await self.set_for(planned, "platform", lag, healed)

    async def failed_swaps(self, planned: PlannedFault) -> None:
        """Let the next swaps of one engine fail."""
        engines = self.cluster.topology.engines
        name = engines[planned.number % len(engines)].name
        await self.set_shares(planned, name, {"fail_swaps": 2}, {"fail_swaps": 0})

    async def truncated_streams(self, planned: PlannedFault) -> None:
        """Let one engine truncate, break and mix up streams."""
        engines = self.cluster.topology.engines
        name = engines[planned.number % len(engines)].name
        shares = {"truncate_share": 0.15, "break_share": 0.15, "stale_share": 0.15}
        await self.set_shares(planned, name, shares, dict.fromkeys(shares, 0))

    async def dropped_answers(self, planned: PlannedFault) -> None:
        """Let a plain service drop and cut answers, and decline calls."""
        servers = self.cluster.topology.plain_services
        name = servers[planned.number % len(servers)].name
        shares = {
            "drop_answer_share": 0.15,
            "short_answer_share": 0.1,
            "refuse_share": 0.15,
        }
        await self.set_shares(planned, name, shares, dict.fromkeys(shares, 0))

    async def set_shares(
        self, planned: PlannedFault, name: str, settings: dict, healed: dict
    ) -> None:
        """Change settings of a backend server that another fault may end."""
        try:
            await self.set_for(planned, name, settings, healed)
        except (aiohttp.ClientError, OSError, TimeoutError):
            self.ended(planned, name)  # a new process starts without faults

    async def leave_one(self, planned: PlannedFault) -> None:
        """Let an entry VM leave gracefully, then start it again."""
        vm = await self.take(planned, self.cluster.topology.entry_vms)
        await self.leave(planned, vm.name)

    async def leave_two(self, planned: PlannedFault) -> None:
        """Let two entry VMs leave together."""
        vms = self.cluster.topology.entry_vms
        first = await self.take(planned, vms)
        second = await self.take(planned, vms)
        await self.leave(planned, first.name, second.name)

    async def leave(self, planned: PlannedFault, *names: str) -> None:
        """Send SIGTERM to entry VMs, wait for their ends and start them again."""
        self.began(planned, *names)
        for name in names:
            self.recorder.note(ShutdownAsked, name)
            self.cluster.terminate(name)
        await asyncio.gather(*(self.replace(name) for name in names))
        self.ended(planned, *names)
        self.busy -= set(names)

    async def replace(self, name: str) -> None:
        """Wait for the end of an entry VM and start it again."""
        try:
            code = await self.cluster.wait_exit(name, EXIT_LIMIT_MS)
        except TimeoutError:
            code = -1
            self.cluster.kill(name)
        self.recorder.note(ShutdownEnded, name, code)
        await self.cluster.restart(name)

    async def drain_list(self, planned: PlannedFault) -> None:
        """Show a backend server as leaving on the VM list, then replace it."""
        spec = await self.take(planned, self.drainable())
        self.began(planned, spec.name)
        await self.cluster.register_vm(spec.name, "leaving")
        self.recorder.note(LeavingSign, spec.name, spec.failure_domain, "list")
        await asyncio.sleep(max(4.5, planned.duration_s))
        self.recorder.note(LeavingEnded, spec.name)
        self.cluster.kill(spec.name)
        await self.cluster.restart(spec.name)
        self.ended(planned, spec.name)
        self.busy.discard(spec.name)

    async def drain_operator(self, planned: PlannedFault) -> None:
        """Drain a backend server through an entry VM of its domain, then undo it."""
        spec = await self.take(planned, self.drainable())
        inside = [
            vm.name
            for vm in self.cluster.topology.entry_vms
            if vm.failure_domain == spec.failure_domain
        ]
        self.began(planned, spec.name)
        if await self.ask_drain(inside, spec.name, True):
            self.recorder.note(LeavingSign, spec.name, spec.failure_domain, "operator")
        await asyncio.sleep(max(4.5, planned.duration_s))
        self.recorder.note(LeavingEnded, spec.name)
        await until(
            lambda: self.ask_drain(inside, spec.name, False), EXIT_LIMIT_MS, "undo"
        )
        self.ended(planned, spec.name)
        self.busy.discard(spec.name)

    def drainable(self) -> tuple[ServerSpec, ...]:
        """Return the backend servers."""
        return (*self.cluster.topology.engines, *self.cluster.topology.plain_services)

    async def ask_drain(self, entry_vms: list[str], server: str, leaving: bool) -> bool:
        """Mark a server through the first entry VM that answers."""
        body = {"server": server, "leaving": leaving}
        for name in entry_vms:
            try:
                status, _ = await self.cluster.send_request(
                    name, "POST", "/admin/drain", body
                )
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
            if status == 200:
                return True
        return False

    async def crash_request(self, planned: PlannedFault) -> None:
        """Send a request that crashes each engine that runs it, again and again."""
        self.began(planned)
        await self.crash(f"{CRASH_MARKER} {planned.number} len=40")
        self.ended(planned)
