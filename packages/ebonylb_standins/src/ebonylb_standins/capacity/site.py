"""Sites of a given size, whose VM list can contain entries without a process."""

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
DOMAIN_COUNT, REGION_COUNT = 21, 9
SERVICE = "lm"


def domain_name(number: int) -> str:
    """Return the name of a failure domain."""
    return f"domain-{number:02d}"


def region_name(number: int) -> str:
    """Return the region of a failure domain."""
    return f"region-{number % REGION_COUNT}"


def make_sheet(parties: list[str], change_number: int = 0) -> str:
    """Return a sheet in which all parties share both services.

    Each `change_number` results in other shares.
    """
    shares = {name: 1.0 + change_number / 1000 for name in parties}
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
    entry_vms: int, engines: int = 0, plain_services: int = 0, domains: int = 1
) -> Topology:
    """Return a site whose entry VMs and servers alternate between the domains."""
    domain_names = [domain_name(number) for number in range(domains)]

    def domain_of(number: int) -> str:
        return domain_names[number % domains]

    return Topology(
        name="capacity",
        regions={name: region_name(n) for n, name in enumerate(domain_names)},
        entry_vms=tuple(
            EntryVmSpec(f"entry-{n:03d}", domain_of(n)) for n in range(entry_vms)
        ),
        engines=tuple(
            ServerSpec(f"lm-{n:02d}", SERVICE, domain_of(n)) for n in range(engines)
        ),
        plain_services=tuple(
            ServerSpec(f"desk-{n:02d}", "desk", domain_of(n))
            for n in range(plain_services)
        ),
        parties=("p-000", "p-001", "p-002"),
        store_region=REGION,
        profile="balanced",
    )


def server_entry(number: int, domains: int = DOMAIN_COUNT) -> VmEntry:
    """Return the VM list entry of a backend server that has no process."""
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


def light_peer_entry(name: str, address: str, domain: int) -> VmEntry:
    """Return the VM list entry of a light peer."""
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
    """Cluster whose VM list can contain entries without a process.

    Parameters
    ----------
    topology : Topology
        Processes to start.
    extra_entries : list of VmEntry or None
        Further entries of the VM list.
    party_count : int
        Number of parties in the sheet.
    """

    def __init__(
        self,
        topology: Topology,
        extra_entries: list[VmEntry] | None = None,
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
        self.extra_entries = extra_entries or []
        self.list_reads = 0
        self.list_bytes = 0

    async def start(self) -> None:
        """Start the stand-ins, the server of the longer VM list, then the entry VMs."""
        self.with_entry_vms = False
        if self.topology.engines:
            await super().start()
        else:
            await self.start_platform()
        if self.extra_entries:
            app = web.Application()
            app.router.add_get("/vms", self.handle_vm_list)
            address = await self.stack.enter_async_context(
                open_server(app, "127.0.0.1:0")
            )
            platform = self.url("platform")
            endpoints = ("tables", "objects", "weights")
            urls = {endpoint: f"{platform}/{endpoint}" for endpoint in endpoints}
            urls["vms"] = f"http://{address}/vms"
            self.settings = {**self.settings, "platform": urls}
        await self.start_entry_vms()

    async def start_platform(self) -> None:
        """Start the platform alone, for a site without engines.

        `Cluster.start` needs an engine, which is unlisted and killed afterwards.
        """
        full_topology = self.topology
        self.topology = make_topology(0, engines=1)
        spec = self.topology.engines[0]
        await super().start()
        await self.send_request("platform", "DELETE", f"/vms/{spec.name}")
        self.kill(spec.name)
        self.topology = full_topology

    async def handle_vm_list(self, request: web.Request) -> web.Response:
        """Respond with the platform's VM list and the entries without a process."""
        async with self.http.get(self.url("platform") + "/vms") as response:
            vm_list = msgspec.json.decode(await response.read())
        body = msgspec.json.encode(
            {"entries": [*vm_list["entries"], *self.extra_entries]}
        )
        self.list_reads += 1
        self.list_bytes += len(body)
        return web.Response(body=body, content_type="application/json")

    def pid(self, name: str) -> int:
        """Return the id of a started process."""
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
    """Run a coroutine during the body of the context and cancel it at the end."""
    task = asyncio.create_task(work)
    try:
        yield task
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
