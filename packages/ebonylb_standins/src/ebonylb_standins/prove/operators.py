"""Operators that apply sheets concurrently, and a reader of revisions."""

import asyncio
import json
import random
import re

import aiohttp

from ..cluster import Cluster
from ..demo import build_sheet
from .balancer import Balancer
from .events import RevisionShown, SheetApplied, SheetLost, SheetStored
from .recorder import Recorder, now_ms

APPLY_PAUSE_RANGE_S = (0.4, 1.2)
READ_INTERVAL_S = 0.3
READ_TIMEOUT = aiohttp.ClientTimeout(total=3)


def sheet_mark(sheet: dict) -> float:
    """Return the share that identifies a sheet among all sheets of a run."""
    service = next(s for s in sheet["services"].values() if s["kind"] == "engine")
    return next(share for share in service["shares"].values() if share != 1.0)


class OperatorPair:
    """Two operators that concurrently apply different sheets to the same revision.

    Parameters
    ----------
    cluster, recorder, balancer
        Cluster to configure, recorder of the results and choice of entry VMs.
    seed : int
        Seed of the random choices.
    """

    def __init__(
        self, cluster: Cluster, recorder: Recorder, balancer: Balancer, seed: int
    ) -> None:
        self.cluster, self.recorder, self.balancer = cluster, recorder, balancer
        self.random = random.Random(f"operators {seed}")
        self.trainer_share = 2.0
        # All other entry VMs must learn of each revision from the platform or peers.
        self.entry_vm_names = self.random.sample(balancer.names, 2)

    async def run(self, stop: asyncio.Event) -> None:
        """Apply pairs of sheets until `stop` is set."""
        while not stop.is_set():
            base = await self.read_base()
            if base is not None:
                await asyncio.gather(
                    *(self.apply(operator, base) for operator in ("one", "two"))
                )
            await asyncio.sleep(self.random.uniform(*APPLY_PAUSE_RANGE_S))

    async def read_base(self) -> int | None:
        """Return the revision in force on an entry VM, or None without a response."""
        name = self.random.choice(self.entry_vm_names)
        shown = await read_status(self.cluster, name)
        return shown["revision"] if shown else None

    async def apply(self, operator: str, base: int) -> None:
        """Apply a sheet that differs from all others of the run; record the result."""
        self.trainer_share = round(self.trainer_share + 0.001, 3)
        share = self.trainer_share
        sheet = build_sheet(self.cluster.topology, share)
        body = {"sheet": sheet, "base_revision": base}
        name = self.entry_vm_names[operator == "two"]
        try:
            status, response = await self.cluster.send_request(
                name, "POST", "/admin/apply", body
            )
        except (aiohttp.ClientError, OSError, TimeoutError):
            self.recorder.record(SheetLost, operator, 0)
            return
        if status == 200:
            self.recorder.record(SheetApplied, operator, response["revision"], share)
        else:
            self.recorder.record(SheetLost, operator, status)

    async def read_stored(self) -> None:
        """Record the sheet that the platform stores."""
        path = "/tables/row?table=config&key=current&strong=1"
        _, response = await self.cluster.send_request("platform", "GET", path)
        value = response["row"]["value"]
        sheet = value["sheet"]
        if isinstance(sheet, str):
            sheet = json.loads(re.sub(r"^//.*$", "", sheet, flags=re.M))
        self.recorder.record(SheetStored, value["revision"], sheet_mark(sheet))


async def read_status(cluster: Cluster, name: str) -> dict | None:
    """Return the status that an entry VM reports of itself, or None without one."""
    headers = {"Authorization": f"Bearer {cluster.operator_token}"}
    url = cluster.url(name) + "/admin/status"
    try:
        async with cluster.http.get(
            url, headers=headers, timeout=READ_TIMEOUT
        ) as response:
            shown = await response.json()
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
        return None
    own_rows = [vm for vm in shown.get("entry_vms", []) if vm["name"] == name]
    return own_rows[0] if own_rows else None


class RevisionReader:
    """Polls the revision of all entry VMs.

    Parameters
    ----------
    cluster, recorder
        Cluster whose entry VMs are polled, and recorder of the revisions.
    """

    def __init__(self, cluster: Cluster, recorder: Recorder) -> None:
        self.cluster, self.recorder = cluster, recorder

    async def run(self) -> None:
        """Poll all entry VMs until cancelled."""
        vms = self.cluster.topology.entry_vms
        await asyncio.gather(*(self.poll(vm.name, vm.failure_domain) for vm in vms))

    async def poll(self, name: str, domain: str) -> None:
        """Poll one entry VM until cancelled."""
        while True:
            process = self.cluster.processes[name]
            start, asked_ms = process.starts, now_ms()
            shown = await read_status(self.cluster, name)
            if shown is not None and process.starts == start:
                vm_state = (name, domain, start, shown["lifecycle"])
                self.recorder.record(
                    RevisionShown, *vm_state, shown["revision"], asked_ms
                )
            await asyncio.sleep(READ_INTERVAL_S)
