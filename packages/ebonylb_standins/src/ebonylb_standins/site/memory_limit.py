"""The platform's limit on the memory of entry VM processes."""

import asyncio
import contextlib
import os
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

from .http_site import EntryVmProcess, HttpSite

CHECK_INTERVAL_S = 0.005
RESTART_DELAY_S = 0.3
BYTES_PER_MB = 1_000_000


def read_resident_mb(vm: EntryVmProcess) -> float:
    """Return the resident memory of a process in units of 1,000,000 bytes."""
    pages = int(Path(f"/proc/{vm.process.pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB


@dataclass
class MemoryLimit:
    """Kills and restarts entry VMs that exceed their limit, as the platform does.

    Parameters
    ----------
    site : HttpSite
        Site whose entry VMs are watched.
    limit_mb : float
        Limit of each process in units of 1,000,000 bytes.

    Attributes
    ----------
    kills : list of (str, int)
        Name and resident memory, in MB, of each process that was killed.
    own_ends : list of (str, int)
        Name and exit code of each process that ended by itself.
    peak_mb : float
        Most that a process had.
    """

    site: HttpSite
    limit_mb: float
    kills: list[tuple[str, int]] = field(default_factory=list)
    own_ends: list[tuple[str, int]] = field(default_factory=list)
    peak_mb: float = 0.0
    planned_ends: set[int] = field(default_factory=set)

    @contextlib.asynccontextmanager
    async def watch(self) -> AsyncIterator["MemoryLimit"]:
        """Watch all processes."""
        tasks = [asyncio.create_task(self.follow(vm)) for vm in self.site.vms.values()]
        try:
            yield self
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def follow(self, vm: EntryVmProcess) -> None:
        """Watch one entry VM until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not vm.is_running():
                if vm.process.pid not in self.planned_ends:
                    self.own_ends.append((vm.name, vm.process.returncode))
                await asyncio.sleep(RESTART_DELAY_S)
                await vm.start()
                continue
            with contextlib.suppress(OSError):
                resident_mb = read_resident_mb(vm)
                self.peak_mb = max(self.peak_mb, resident_mb)
                if resident_mb > self.limit_mb:
                    self.kills.append((vm.name, round(resident_mb)))
                    await self.kill(vm)

    async def kill(self, vm: EntryVmProcess) -> None:
        """Kill a process, which is started again."""
        self.planned_ends.add(vm.process.pid)
        await vm.kill()

    async def kill_all(self) -> None:
        """Kill all processes at once, which are started again."""
        await asyncio.gather(*(self.kill(vm) for vm in self.site.vms.values()))
