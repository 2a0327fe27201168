"""One soak: a site, its load, its faults, and the verdict."""

import asyncio
import random
import shutil
from collections.abc import Sequence
from pathlib import Path

from ..site.http_site import PROGRAM, EntryVmProcess, HttpSite
from .faults import inject
from .load import Caller, Trainer
from .proxy import FaultProxy

LEASE_S = 3.0
CALLERS, TRAINERS = 4, 3
LOST_SHARE = 0.03


class SoakSite(HttpSite):
    """Site with a proxy before the store for each VM, and before each server."""

    def prepare(self, seed: int) -> None:
        """Set up what the checks need."""
        self.random = random.Random(seed)
        self.failures: list[tuple[float, str, str]] = []
        self.notes: list[tuple[float, str, str]] = []
        self.refused: set[str] = set()
        self.refused_batches: set[str] = set()
        self.store_proxies: dict[str, FaultProxy] = {}
        self.server_proxies: dict[str, FaultProxy] = {}
        self.version = 1
        self.began_s = asyncio.get_running_loop().time()

    def elapsed_s(self) -> float:
        """Return the time since the start."""
        return asyncio.get_running_loop().time() - self.began_s

    def note(self, kind: str, detail: str) -> None:
        """Record what was done to the site."""
        self.notes.append((self.elapsed_s(), kind, detail))

    def fail(self, promise: str, detail: str) -> None:
        """Record a broken promise."""
        self.failures.append((self.elapsed_s(), promise, detail))

    def is_up(self, vm: EntryVmProcess) -> bool:
        """Tell whether a process runs and has answered that it is ready."""
        return vm.name in self.up

    async def add_server(self, server, zone: str) -> None:
        """Start a server behind a proxy; it loses some answers all the time."""
        server.lost_response_share = LOST_SHARE
        self.servers[server.name] = server
        proxy = FaultProxy(await self.listen(server.build_app()), self.random)
        self.server_proxies[server.name] = await proxy.start()
        self.resources.callback(proxy.close)
        self.server_addresses[server.name] = proxy.address
        self.register(server, zone)

    async def add_entry_vm(self, name: str, zone: str) -> EntryVmProcess:
        """Start an entry VM whose path to the store has a proxy."""
        proxy = FaultProxy(self.store_address, self.random)
        self.store_proxies[name] = await proxy.start()
        self.resources.callback(proxy.close)
        self.up: set[str] = getattr(self, "up", set())
        return await super().add_entry_vm(name, zone)

    def store_address_for(self, name: str) -> str:
        """Return the proxy of an entry VM."""
        return self.store_proxies[name].address

    async def wait_ready(self, vm: EntryVmProcess) -> None:
        """Wait until an entry VM is ready, and note it."""
        await super().wait_ready(vm)
        self.up.add(vm.name)

    async def restart(self, vm: EntryVmProcess) -> None:
        """Start an entry VM again, unless another fault has done so."""
        if not vm.is_running():
            self.up.discard(vm.name)
        await vm.start()

    def keep_logs(self, folder: Path, seed: int) -> None:
        """Keep the logs, and what was done when, of a run that failed."""
        folder.mkdir(parents=True, exist_ok=True)
        for log in self.folder.glob("*.log"):
            shutil.copy(log, folder / f"{seed}-{log.name}")
        lines = sorted([*self.notes, *self.failures])
        text = "\n".join(f"{at:8.3f} {kind}: {what}" for at, kind, what in lines)
        (folder / f"{seed}-timeline.txt").write_text(text + "\n")

    def check_servers(self) -> None:
        """Check what the backend servers have seen."""
        runs: dict[str, int] = {}
        for server in self.servers.values():
            for request_id, count in server.run_counts.items():
                runs[request_id] = runs.get(request_id, 0) + count
            self.check_orders(server)
        for request_id in self.refused:
            if runs.get(request_id):
                self.fail("refused as not run, but ran", request_id)
        for batch_id in self.refused_batches:
            if any(item.startswith(f"{batch_id}-") for item in runs):
                self.fail("refused batch ran", batch_id)

    def check_orders(self, server) -> None:
        """Check that one machine orders a server at a time."""
        before = None
        for order in server.orders:
            if before is not None and order.holder != before.holder:
                if order.at_s - before.at_s < LEASE_S:
                    self.fail("orders in turns", f"{server.name} at {order.at_s:.2f}")
                if order.fence <= before.fence:
                    self.fail("fence not higher", server.name)
            before = order

    def check_once(self, bookings: set[str]) -> None:
        """Check that no booking ran twice."""
        for request_id in bookings:
            count = sum(s.run_counts[request_id] for s in self.servers.values())
            if count > 1:
                self.fail("booking ran twice", request_id)


class RecordingCaller(Caller):
    """Caller that remembers its non-idempotent requests."""

    bookings: set[str]

    async def send(self, session, request_id: str, path: str) -> None:
        """Remember a booking before it is sent."""
        if path.startswith("/book/"):
            self.bookings.add(request_id)
        await super().send(session, request_id, path)


async def name_versions(site: SoakSite, until_s: float) -> None:
    """Name new weights now and then."""
    version = 1
    while asyncio.get_running_loop().time() < until_s:
        await asyncio.sleep(2.0)
        version += 1
        row = f'{{"Model":"m","Version":{version}}}'.encode()
        site.store.data.put("op", "version/m", row)


async def soak(
    seed: int,
    seconds: float,
    first_ip: int,
    keep: Path | None = None,
    program: Sequence[str] = PROGRAM,
) -> list[tuple[float, str, str]]:
    """Run one soak and return the broken promises, with the logs kept if any."""
    site = SoakSite(entry_vms=4, engines=3, desks=3, seed=seed, first_ip=first_ip)
    site.program = tuple(program)
    site.prepare(seed)
    async with site:
        until_s = asyncio.get_running_loop().time() + seconds
        rng = random.Random(seed)
        trainers = [
            Trainer(site, f"t{n}", random.Random(rng.random())) for n in range(TRAINERS)
        ]
        callers = [
            RecordingCaller(site, f"c{n}", random.Random(rng.random()))
            for n in range(CALLERS)
        ]
        for caller in callers:
            caller.bookings = set()
        await asyncio.gather(
            inject(site, rng, until_s),
            name_versions(site, until_s),
            *(one.run(until_s) for one in (*trainers, *callers)),
        )
        for vm in site.vms.values():
            await site.restart(vm)
        await asyncio.gather(*(trainer.read_rest() for trainer in trainers))
        site.check_servers()
        for caller in callers:
            site.check_once(caller.bookings)
        if not any(caller.served for caller in callers):
            site.fail("harness", "no request was served")
        if not any(trainer.seen for trainer in trainers):
            site.fail("harness", "no result was read")
        if site.failures and keep is not None:
            site.keep_logs(keep, seed)
    return site.failures
