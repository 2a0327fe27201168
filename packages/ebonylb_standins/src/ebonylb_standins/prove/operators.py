"""Operators that apply sheets at once, and readers of revisions."""

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

APPLY_PAUSE_S = (0.4, 1.2)
READ_PAUSE_S = 0.3
READ_LIMIT = aiohttp.ClientTimeout(total=3)


def mark_of(sheet: dict) -> float:
    """Return the number that tells a run's sheets apart: a share."""
    service = next(s for s in sheet["services"].values() if s["kind"] == "engine")
    return next(share for share in service["shares"].values() if share != 1.0)


class OperatorPair:
    """Two operators who apply different sheets on the same revision at once.

    Parameters
    ----------
    cluster, recorder, balancer
        What to talk to, where to note it, and the choice of entry VMs.
    seed : int
        Seed of the choices.
    """

    def __init__(
        self, cluster: Cluster, recorder: Recorder, balancer: Balancer, seed: int
    ) -> None:
        self.cluster, self.recorder, self.balancer = cluster, recorder, balancer
        self.random = random.Random(f"operators {seed}")
        self.weight = 2.0
        # The others must learn of each revision from the platform or from peers.
        self.used = self.random.sample(balancer.names, 2)

    async def run(self, stop: asyncio.Event) -> None:
        """Race again and again until told to stop."""
        while not stop.is_set():
            base = await self.read_base()
            if base is not None:
                await asyncio.gather(
                    *(self.apply(operator, base) for operator in ("one", "two"))
                )
            await asyncio.sleep(self.random.uniform(*APPLY_PAUSE_S))

    async def read_base(self) -> int | None:
        """Return the revision in force as an entry VM shows it."""
        name = self.random.choice(self.used)
        shown = await read_status(self.cluster, name)
        return shown["revision"] if shown else None

    async def apply(self, operator: str, base: int) -> None:
        """Apply a sheet that no other operator applies."""
        self.weight = round(self.weight + 0.001, 3)
        weight = self.weight
        sheet = build_sheet(self.cluster.topology, weight)
        body = {"sheet": sheet, "base_revision": base}
        name = self.used[operator == "two"]
        try:
            status, answer = await self.cluster.send_request(
                name, "POST", "/admin/apply", body
            )
        except (aiohttp.ClientError, OSError, TimeoutError):
            self.recorder.note(SheetLost, operator, 0)
            return
        if status == 200:
            self.recorder.note(SheetApplied, operator, answer["revision"], weight)
        else:
            self.recorder.note(SheetLost, operator, status)

    async def read_stored(self) -> None:
        """Note the sheet that the platform holds."""
        path = "/tables/row?table=config&key=current&strong=1"
        _, answer = await self.cluster.send_request("platform", "GET", path)
        value = answer["row"]["value"]
        sheet = value["sheet"]
        if isinstance(sheet, str):
            sheet = json.loads(re.sub(r"^//.*$", "", sheet, flags=re.M))
        self.recorder.note(SheetStored, value["revision"], mark_of(sheet))


async def read_status(cluster: Cluster, name: str) -> dict | None:
    """Return what an entry VM shows of itself, or None without an answer."""
    headers = {"Authorization": f"Bearer {cluster.operator_token}"}
    url = cluster.url(name) + "/admin/status"
    try:
        async with cluster.http.get(url, headers=headers, timeout=READ_LIMIT) as answer:
            shown = await answer.json()
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
        return None
    own = [vm for vm in shown.get("entry_vms", []) if vm["name"] == name]
    return own[0] if own else None


class RevisionReader:
    """Reads the revision of every entry VM again and again.

    Parameters
    ----------
    cluster, recorder
        What to read and where to note it.
    """

    def __init__(self, cluster: Cluster, recorder: Recorder) -> None:
        self.cluster, self.recorder = cluster, recorder

    async def run(self) -> None:
        """Read until cancelled."""
        vms = self.cluster.topology.entry_vms
        await asyncio.gather(*(self.follow(vm.name, vm.failure_domain) for vm in vms))

    async def follow(self, name: str, domain: str) -> None:
        """Read one entry VM."""
        while True:
            process = self.cluster.processes[name]
            start, asked_ms = process.starts, now_ms()
            shown = await read_status(self.cluster, name)
            if shown is not None and process.starts == start:
                place = (name, domain, start, shown["lifecycle"])
                self.recorder.note(RevisionShown, *place, shown["revision"], asked_ms)
            await asyncio.sleep(READ_PAUSE_S)
