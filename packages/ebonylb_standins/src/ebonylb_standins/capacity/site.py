"""Sites of chosen sizes, with a VM list that holds entries without a process."""

import asyncio
import json
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
from aiohttp import web

from ebonylb.interfaces import VmEntry, VmKind, VmState

from ..cluster import Cluster
from ..server import open_server
from ..topology import EntryVmSpec, ServerSpec, Topology

ENTRY_COMMAND = ("ebonylb_standins.capacity.entry_vm", "serve")
DOMAIN, REGION = "domain-00", "region-0"
DOMAINS, REGIONS = 21, 9
SERVICE = "lm"


def domain_name(number: int) -> str:
    """Return the name of a failure domain."""
    return f"domain-{number:02d}"


def region_name(number: int) -> str:
    """Return the region of a failure domain."""
    return f"region-{number % REGIONS}"


def make_sheet(parties: list[str], changes: int = 0) -> str:
    """Return a sheet in which all parties share both services."""
    shares = {name: 1.0 + changes / 1000 for name in parties}
    return json.dumps(
        {
            "day": "2026-01-05",
            "parties": {name: {"role": "trainer"} for name in parties},
            "services": {
                SERVICE: {"kind": "engine", "shares": shares, "staleness_bound": 2},
                "desk": {"kind": "plain", "shares": shares},
            },
        }
    )


def make_topology(
    entry_vms: int, engines: int = 0, plains: int = 0, domains: int = 1
) -> Topology:
    """Return a site; entry VMs and servers alternate between the domains."""
    names = [domain_name(number) for number in range(domains)]

    def place(number: int) -> str:
        return names[number % domains]

    return Topology(
        name="capacity",
        regions={name: region_name(n) for n, name in enumerate(names)},
        entry_vms=tuple(
            EntryVmSpec(f"entry-{n:03d}", place(n)) for n in range(entry_vms)
        ),
        engines=tuple(
            ServerSpec(f"lm-{n:02d}", SERVICE, place(n)) for n in range(engines)
        ),
        plain_services=tuple(
            ServerSpec(f"desk-{n:02d}", "desk", place(n)) for n in range(plains)
        ),
        parties=("p-000", "p-001", "p-002"),
        store_region=REGION,
        profile="balanced",
    )


def server_entry(number: int, domains: int = DOMAINS) -> VmEntry:
    """Return the list entry of a backend server that has no process."""
    domain = number % domains
    return VmEntry(
        name=f"lm-{domain_name(domain)}-{number:05d}",
        kind=VmKind.ENGINE,
        service=SERVICE,
        address=f"10.{domain}.{number // 250 % 250}.{number % 250}:8000",
        failure_domain=domain_name(domain),
        region=region_name(domain),
        incarnation=f"{number:032x}",
        state=VmState.LIVE,
    )


def entry_vm_entry(name: str, address: str, domain: int) -> VmEntry:
    """Return the list entry of an entry VM that is only a light stand-in."""
    return VmEntry(
        name=name,
        kind=VmKind.ENTRY_VM,
        service="",
        address=address,
        failure_domain=domain_name(domain),
        region=region_name(domain),
        incarnation=f"{name}.1",
        state=VmState.LIVE,
    )


class MeasuredCluster(Cluster):
    """Cluster whose VM list also shows entries without a process.

    Parameters
    ----------
    topology : Topology
        Processes to start.
    extra : list of VmEntry
        Further entries of the VM list.
    party_count : int
        Parties of the sheet.
    """

    def __init__(
        self,
        topology: Topology,
        extra: list[VmEntry] | None = None,
        party_count: int = 3,
        **options,
    ) -> None:
        self.parties = [f"p-{number:03d}" for number in range(party_count)]
        super().__init__(
            topology,
            make_sheet(self.parties),
            entry_command=ENTRY_COMMAND,
            **options,
        )
        self.extra = extra or []
        self.list_reads = 0
        self.list_bytes = 0

    async def start(self) -> None:
        """Start the stand-ins, the longer VM list and then the entry VMs."""
        self.with_entry_vms = False
        if self.topology.engines:
            await super().start()
        else:
            await self.start_platform()
        if self.extra:
            app = web.Application()
            app.router.add_get("/vms", self.answer_list)
            address = await self.stack.enter_async_context(
                open_server(app, "127.0.0.1:0")
            )
            platform = self.url("platform")
            parts = ("tables", "objects", "weights")
            urls = {part: f"{platform}/{part}" for part in parts}
            urls["vms"] = f"http://{address}/vms"
            self.settings = {**self.settings, "platform": urls}
        await self.start_entry_vms()

    async def start_platform(self) -> None:
        """Start the platform alone, for a site without engines."""
        wanted = self.topology
        self.topology = make_topology(0, engines=1)
        spec = self.topology.engines[0]
        await super().start()
        await self.send_request("platform", "DELETE", f"/vms/{spec.name}")
        self.kill(spec.name)
        self.topology = wanted

    async def answer_list(self, request: web.Request) -> web.Response:
        """Return the platform's list and the entries without a process."""
        async with self.http.get(self.url("platform") + "/vms") as answer:
            shown = msgspec.json.decode(await answer.read())
        body = msgspec.json.encode({"entries": [*shown["entries"], *self.extra]})
        self.list_reads += 1
        self.list_bytes += len(body)
        return web.Response(body=body, content_type="application/json")

    def pid(self, name: str) -> int:
        """Return the process id of a started process."""
        return self.processes[name].process.pid

    async def entry_counters(self, name: str) -> dict:
        """Return the counters that an entry VM writes on SIGUSR1."""
        path = self.folder / f"{name}.counters"
        path.unlink(missing_ok=True)
        self.processes[name].send_signal(signal.SIGUSR1)
        await self.until(path.exists, 10_000, f"counters of {name}")
        return msgspec.json.decode(path.read_bytes())


@asynccontextmanager
async def background(work) -> AsyncIterator["asyncio.Task"]:
    """Run work beside the body of the context and cancel it at the end."""
    task = asyncio.create_task(work)
    try:
        yield task
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
