"""Injection of planned faults into a cluster."""

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

EXIT_TIMEOUT_MS = 40_000
RESTART_DELAY_S = 0.5  # from the kill of a process to its restart
LIST_LAG_MS = 1_500
CRASH_MARKER = "crash-the-engine"

Execute = Callable[[PlannedFault], Awaitable[None]]


class FaultInjector:
    """Injects faults and heals them.

    Parameters
    ----------
    cluster : Cluster
        Cluster of processes into which faults are injected.
    recorder : Recorder
        Where the start and end of each fault are recorded.
    send_crashing : callable
        Sends a request with the given prompt through several entry VMs.
    """

    def __init__(
        self,
        cluster: Cluster,
        recorder: Recorder,
        send_crashing: Callable[[str], Awaitable[None]],
    ) -> None:
        self.cluster, self.recorder, self.send_crashing = (
            cluster,
            recorder,
            send_crashing,
        )
        self.reserved: set[str] = set()
        self.cut_domains: set[str] = set()
        self.frozen: set[str] = set()

    async def run(self, plan: list[PlannedFault]) -> None:
        """Execute a plan and return when all faults have ended."""
        await asyncio.gather(*(self.execute(planned) for planned in plan))

    async def execute(self, planned: PlannedFault) -> None:
        """Execute one fault at its planned time."""
        await asyncio.sleep(planned.start_s)
        await getattr(self, planned.fault)(planned)

    def record_begin(self, planned: PlannedFault, *targets: str) -> None:
        """Record the start of a fault."""
        self.recorder.record(FaultBegan, planned.fault, targets)

    def record_end(self, planned: PlannedFault, *targets: str) -> None:
        """Record the end of a fault."""
        self.recorder.record(FaultEnded, planned.fault, targets)

    async def reserve_target(
        self, planned: PlannedFault, specs: tuple[EntryVmSpec | ServerSpec, ...]
    ) -> EntryVmSpec | ServerSpec:
        """Choose a process that no other fault uses, waiting until there is one.

        The process stays reserved until the fault removes it from `reserved`.
        """
        generator = random.Random(planned.random_number)
        while True:
            available = [spec for spec in specs if spec.name not in self.reserved]
            if available:
                spec = generator.choice(available)
                self.reserved.add(spec.name)
                return spec
            await asyncio.sleep(0.1)

    async def kill_entry(self, planned: PlannedFault) -> None:
        """Kill an entry VM and start it again."""
        await self.kill_and_restart(planned, self.cluster.topology.entry_vms)

    async def kill_engine(self, planned: PlannedFault) -> None:
        """Kill an engine and start it again."""
        await self.kill_and_restart(planned, self.cluster.topology.engines)

    async def kill_and_restart(self, planned: PlannedFault, specs: tuple) -> None:
        """Kill a process and start it again."""
        spec = await self.reserve_target(planned, specs)
        self.record_begin(planned, spec.name)
        self.cluster.kill(spec.name)
        await asyncio.sleep(RESTART_DELAY_S)
        await self.cluster.restart(spec.name)
        self.record_end(planned, spec.name)
        self.reserved.discard(spec.name)

    async def freeze_entry(self, planned: PlannedFault) -> None:
        """Suspend an entry VM for longer than the heartbeat limit, then resume it."""
        await self.freeze(planned, self.cluster.topology.entry_vms)

    async def freeze_engine(self, planned: PlannedFault) -> None:
        """Suspend an engine for the duration of the fault."""
        await self.freeze(planned, self.cluster.topology.engines)

    async def freeze(self, planned: PlannedFault, specs: tuple) -> None:
        """Suspend a process for the duration of the fault."""
        spec = await self.reserve_target(planned, specs)
        self.record_begin(planned, spec.name)
        self.frozen.add(spec.name)
        self.cluster.freeze(spec.name)
        await asyncio.sleep(planned.duration_s)
        self.cluster.resume(spec.name)
        self.frozen.discard(spec.name)
        self.record_end(planned, spec.name)
        self.reserved.discard(spec.name)

    async def cut_peers(self, planned: PlannedFault) -> None:
        """Cut the entry VMs of a failure domain off from all others, on both sides."""
        domains = list(self.cluster.topology.regions)
        domain = domains[planned.random_number % len(domains)]
        vms = self.cluster.topology.entry_vms
        inside = [vm.name for vm in vms if vm.failure_domain == domain]
        outside = [vm.name for vm in vms if vm.failure_domain != domain]
        self.record_begin(planned, domain)
        sides = ((inside, outside), (outside, inside))
        await asyncio.gather(
            *(self.set_peer_cut(name, other) for side, other in sides for name in side)
        )
        await asyncio.sleep(planned.duration_s)
        await asyncio.gather(*(self.heal_peer_cut(vm.name) for vm in vms))
        self.record_end(planned, domain)

    async def set_peer_cut(self, name: str, others: list[str]) -> bool:
        """Cut an entry VM off from others and return whether that succeeded.

        An entry VM that is down or suspended is skipped. A process that starts during
        the cut does not cut its own side.
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

    async def heal_peer_cut(self, name: str) -> None:
        """End the cut of an entry VM; a process that was restarted has none."""
        start = self.cluster.processes[name].starts
        while not await self.set_peer_cut(name, []):
            process = self.cluster.processes[name]
            if not process.is_running or process.starts != start:
                return
            await asyncio.sleep(0.1)

    async def cut_platform(self, planned: PlannedFault) -> None:
        """Cut a failure domain off from the platform."""
        domains = list(self.cluster.topology.regions)
        domain = domains[planned.random_number % len(domains)]
        silent = planned.random_number % 2 == 0
        self.record_begin(planned, domain)
        self.cut_domains.add(domain)
        await self.cluster.control(
            "platform", cut=sorted(self.cut_domains), cut_silent=silent
        )
        await asyncio.sleep(planned.duration_s)
        self.cut_domains.discard(domain)
        await self.cluster.control("platform", cut=sorted(self.cut_domains))
        self.record_end(planned, domain)

    async def set_temporarily(
        self, planned: PlannedFault, name: str, settings: dict, healed: dict
    ) -> None:
        """Change settings of a stand-in for the duration of the fault."""
        self.record_begin(planned, name)
        await self.cluster.control(name, **settings)
        await asyncio.sleep(planned.duration_s)
        await self.cluster.control(name, **healed)
        self.record_end(planned, name)

    async def platform_down(self, planned: PlannedFault) -> None:
        """Make the platform respond with 503 to all requests."""
        await self.set_temporarily(planned, "platform", {"down": True}, {"down": False})

    async def platform_slow(self, planned: PlannedFault) -> None:
        """Delay responses of the platform, sometimes beyond its clients' timeout."""
        slow_ms = (200, 700, 1_500)[planned.random_number % 3]
        healed = {"slow_ms": 0}
        await self.set_temporarily(planned, "platform", {"slow_ms": slow_ms}, healed)

    async def lost_answers(self, planned: PlannedFault) -> None:
        """Lose half of the responses to transactions after these took effect."""
        healed = {"lose_answers": 0}
        await self.set_temporarily(planned, "platform", {"lose_answers": 0.5}, healed)

    async def lagging_reads(self, planned: PlannedFault) -> None:
        """Make reads and the VM list of the platform return old data."""
        lag = {"read_lag_ms": 3_000, "list_lag_ms": LIST_LAG_MS}
        healed = dict.fromkeys(lag, 0)
        await self.set_temporarily(planned, "platform", lag, healed)

    async def failed_swaps(self, planned: PlannedFault) -> None:
        """Make the next two weight swaps of one engine fail."""
        engines = self.cluster.topology.engines
        name = engines[planned.random_number % len(engines)].name
        await self.set_server_faults(
            planned, name, {"fail_swaps": 2}, {"fail_swaps": 0}
        )

    async def truncated_streams(self, planned: PlannedFault) -> None:
        """Make one engine truncate and break streams, or add foreign lines to them."""
        engines = self.cluster.topology.engines
        name = engines[planned.random_number % len(engines)].name
        shares = {"truncate_share": 0.15, "break_share": 0.15, "stale_share": 0.15}
        await self.set_server_faults(planned, name, shares, dict.fromkeys(shares, 0))

    async def dropped_answers(self, planned: PlannedFault) -> None:
        """Make a plain service drop and truncate responses, and decline calls."""
        servers = self.cluster.topology.plain_services
        name = servers[planned.random_number % len(servers)].name
        shares = {
            "drop_answer_share": 0.15,
            "short_answer_share": 0.1,
            "refuse_share": 0.15,
        }
        await self.set_server_faults(planned, name, shares, dict.fromkeys(shares, 0))

    async def set_server_faults(
        self, planned: PlannedFault, name: str, settings: dict, healed: dict
    ) -> None:
        """Change settings of a backend server that another fault may stop."""
        try:
            await self.set_temporarily(planned, name, settings, healed)
        except (aiohttp.ClientError, OSError, TimeoutError):
            self.record_end(planned, name)  # a new process starts without faults

    async def leave_one(self, planned: PlannedFault) -> None:
        """Shut down an entry VM gracefully, then start it again."""
        vm = await self.reserve_target(planned, self.cluster.topology.entry_vms)
        await self.shut_down(planned, vm.name)

    async def leave_two(self, planned: PlannedFault) -> None:
        """Shut down two entry VMs at the same time, then start them again."""
        vms = self.cluster.topology.entry_vms
        first = await self.reserve_target(planned, vms)
        second = await self.reserve_target(planned, vms)
        await self.shut_down(planned, first.name, second.name)

    async def shut_down(self, planned: PlannedFault, *names: str) -> None:
        """Send SIGTERM to entry VMs, wait until they exit and start them again."""
        self.record_begin(planned, *names)
        for name in names:
            self.recorder.record(ShutdownAsked, name)
            self.cluster.terminate(name)
        await asyncio.gather(*(self.restart_after_exit(name) for name in names))
        self.record_end(planned, *names)
        self.reserved -= set(names)

    async def restart_after_exit(self, name: str) -> None:
        """Wait until an entry VM exits, or kill it at the timeout; start it again."""
        try:
            code = await self.cluster.wait_exit(name, EXIT_TIMEOUT_MS)
        except TimeoutError:
            code = -1
            self.cluster.kill(name)
        self.recorder.record(ShutdownEnded, name, code)
        await self.cluster.restart(name)

    async def drain_list(self, planned: PlannedFault) -> None:
        """Mark a backend server as leaving on the VM list, then replace it."""
        spec = await self.reserve_target(planned, self.backend_servers())
        self.record_begin(planned, spec.name)
        await self.cluster.register_vm(spec.name, "leaving")
        self.recorder.record(LeavingSign, spec.name, spec.failure_domain, "list")
        await asyncio.sleep(max(4.5, planned.duration_s))
        self.recorder.record(LeavingEnded, spec.name)
        self.cluster.kill(spec.name)
        await self.cluster.restart(spec.name)
        self.record_end(planned, spec.name)
        self.reserved.discard(spec.name)

    async def drain_operator(self, planned: PlannedFault) -> None:
        """Drain a backend server through an entry VM of its domain, then undo it."""
        spec = await self.reserve_target(planned, self.backend_servers())
        inside = [
            vm.name
            for vm in self.cluster.topology.entry_vms
            if vm.failure_domain == spec.failure_domain
        ]
        self.record_begin(planned, spec.name)
        if await self.request_drain(inside, spec.name, True):
            self.recorder.record(
                LeavingSign, spec.name, spec.failure_domain, "operator"
            )
        await asyncio.sleep(max(4.5, planned.duration_s))
        self.recorder.record(LeavingEnded, spec.name)
        await until(
            lambda: self.request_drain(inside, spec.name, False),
            EXIT_TIMEOUT_MS,
            "undo",
        )
        self.record_end(planned, spec.name)
        self.reserved.discard(spec.name)

    def backend_servers(self) -> tuple[ServerSpec, ...]:
        """Return the specs of all engines and plain services."""
        return (*self.cluster.topology.engines, *self.cluster.topology.plain_services)

    async def request_drain(
        self, entry_vms: list[str], server: str, leaving: bool
    ) -> bool:
        """Set or clear the leaving mark of a server through any entry VM that responds.

        Return whether one of them accepted it.
        """
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
        """Send several times a request that crashes each engine that runs it."""
        self.record_begin(planned)
        await self.send_crashing(f"{CRASH_MARKER} {planned.random_number} len=40")
        self.record_end(planned)
