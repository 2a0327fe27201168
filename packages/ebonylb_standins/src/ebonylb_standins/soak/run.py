"""One soak run: a site under load and faults, and the checks of its results."""

import asyncio
import math
import random
import shutil
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from ebonylb.adapters import SystemClock

from ..site.control_plane import FakeControlPlane
from ..site.control_plane_api import ControlPlaneApi
from ..site.cuttable_site import CuttableSite
from ..site.duty_site import duty_settings
from ..site.http_servers import HttpServer, scoring_id
from ..site.http_site import PROGRAM, EntryVmProcess
from ..site.proxy import FaultProxy
from . import customers, duties
from .faults import cut_paths, grow_and_reset, inject_faults
from .load import Caller, Trainer

LEASE_S = 3.0
CALLERS, TRAINERS, ENTRY_VMS = 4, 3, 4
LOST_RESPONSE_SHARE = 0.03


class SoakSite(CuttableSite):
    """Site with fault proxies to the store and to each server.

    Each entry VM has a proxy of its own to the store, and each server one for all.

    Attributes
    ----------
    failures, event_log : list of (float, str, str)
        Failed checks, and events such as faults: time since the start in seconds,
        name, and details.
    refused_request_ids, refused_batch_ids : set of str
        Requests and batches refused as not run; the checks require that none ran.
    keys : CustomerKeys
        Keys of the customers, and the requests sent with them.
    platform : FakeControlPlane
        Records the calls of duties and has the API's faults.
    engine_orders : EngineOrders
        Carries out the orders of servers.
    """

    def initialize(self, seed: int) -> None:
        """Set up the random generator and the records that the checks use."""
        self.random = random.Random(seed)
        self.failures: list[tuple[float, str, str]] = []
        self.event_log: list[tuple[float, str, str]] = []
        self.refused_request_ids: set[str] = set()
        self.refused_batch_ids: set[str] = set()
        self.store_proxies: dict[str, FaultProxy] = {}
        self.server_proxies: dict[str, FaultProxy] = {}
        self.configuration_version = 1
        self.keys = customers.CustomerKeys()
        self.first_configuration = customers.soak_configuration(1, self.keys)
        self.platform = FakeControlPlane(SystemClock())
        self.engine_orders = duties.EngineOrders(self)
        self.started_s = asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Start the platform's API and the site."""
        api = ControlPlaneApi(self.platform, self.engine_orders.carry_out)
        address = await self.listen(api.build_app())
        self.settings = (*customers.SETTINGS, *duty_settings(address))
        await super().start()

    def write_configuration(self) -> None:
        """Store the next version of the configuration."""
        self.configuration_version += 1
        value = customers.soak_configuration(self.configuration_version, self.keys)
        self.store.data.put("op", "config", value)

    def elapsed_s(self) -> float:
        """Return the time since the start of the run."""
        return asyncio.get_running_loop().time() - self.started_s

    def record_event(self, kind: str, detail: str) -> None:
        """Record an event, such as an injected fault."""
        self.event_log.append((self.elapsed_s(), kind, detail))

    def record_failure(self, check: str, detail: str) -> None:
        """Record a failed check."""
        self.failures.append((self.elapsed_s(), check, detail))

    async def listen_for_server(self, server: HttpServer) -> str:
        """Serve a server behind a proxy; it loses a share of responses throughout."""
        server.lost_response_share = LOST_RESPONSE_SHARE
        proxy = FaultProxy(await super().listen_for_server(server), self.random)
        self.server_proxies[server.name] = await proxy.start()
        self.resources.callback(proxy.close)
        return proxy.address

    async def listen_for_store(self, name: str) -> str:
        """Serve an entry VM's view of the store behind a proxy of its own."""
        proxy = FaultProxy(await super().listen_for_store(name), self.random)
        self.store_proxies[name] = await proxy.start()
        self.resources.callback(proxy.close)
        return proxy.address

    async def restart(self, vm: EntryVmProcess) -> None:
        """Start an entry VM again unless another fault has already restarted it."""
        await vm.start()

    def save_logs(self, folder: Path, seed: int) -> None:
        """Copy the logs of a failed run and write a timeline of events and failures."""
        folder.mkdir(parents=True, exist_ok=True)
        for log in self.folder.glob("*.log"):
            shutil.copy(log, folder / f"{seed}-{log.name}")
        lines = sorted([*self.event_log, *self.failures])
        text = "\n".join(f"{at:8.3f} {kind}: {detail}" for at, kind, detail in lines)
        (folder / f"{seed}-timeline.txt").write_text(text + "\n")

    def check_servers(self) -> None:
        """Check the backend servers' records: orders, and no run of refused work."""
        runs: dict[str, int] = {}
        for server in self.servers.values():
            for request_id, count in server.run_counts.items():
                runs[request_id] = runs.get(request_id, 0) + count
            self.check_orders(server)
        for request_id in self.refused_request_ids:
            if runs.get(request_id):
                self.record_failure("refused as not run, but ran", request_id)
        for batch_id in self.refused_batch_ids:
            if any(item.startswith(f"{batch_id}-") for item in runs):
                self.record_failure("refused batch ran", batch_id)

    def check_scoring(self) -> None:
        """Check that no scoring request arrived before the last event of its text."""
        text_ended_s: dict[str, float] = {}
        for server in self.servers.values():
            for item_id, at_s in server.text_ended_s.items():
                request_id = scoring_id(item_id)
                text_ended_s[request_id] = min(
                    at_s, text_ended_s.get(request_id, math.inf)
                )
        prefix = scoring_id("")
        for server in self.servers.values():
            for at_s, request_id in server.arrivals:
                if request_id.startswith(prefix) and (
                    at_s < text_ended_s.get(request_id, math.inf)
                ):
                    self.record_failure("scored before its text ended", request_id)

    def check_orders(self, server) -> None:
        """Check that a server receives orders from one lease holder at a time.

        When the holder changes, the orders must be at least a lease duration apart and
        the fence must increase.
        """
        previous = None
        for order in server.orders:
            if previous is not None and order.holder != previous.holder:
                if order.at_s - previous.at_s < LEASE_S:
                    self.record_failure(
                        "orders of two holders within a lease",
                        f"{server.name} at {order.at_s:.2f}",
                    )
                if order.fence <= previous.fence:
                    self.record_failure("fence did not increase", server.name)
            previous = order

    def check_bookings(self, bookings: set[str]) -> None:
        """Check that no booking ran twice."""
        for request_id in bookings:
            count = sum(s.run_counts[request_id] for s in self.servers.values())
            if count > 1:
                self.record_failure("booking ran twice", request_id)


class RecordingCaller(Caller):
    """Caller that records the ids of its non-idempotent requests."""

    bookings: set[str]

    async def send(self, session, request_id: str, path: str) -> None:
        """Record the id of a booking, then send the request."""
        if path.startswith("/book/"):
            self.bookings.add(request_id)
        await super().send(session, request_id, path)


async def publish_versions(site: SoakSite, until_s: float) -> None:
    """Write a new weight version for model ``m`` every 2 s."""
    version = 1
    while asyncio.get_running_loop().time() < until_s:
        await asyncio.sleep(2.0)
        version += 1
        row = f'{{"Model":"m","Version":{version}}}'.encode()
        site.store.data.put("op", "version/m", row)


# Injects faults into the site until a loop time in seconds.
Disturbance = Callable[[SoakSite, random.Random, float], Awaitable[None]]


async def disturb_all(site: SoakSite, rng: random.Random, until_s: float) -> None:
    """Inject all kinds of faults; those beside the sequence have own generators."""
    seed = site.seed
    await asyncio.gather(
        inject_faults(site, rng, until_s),
        grow_and_reset(site, random.Random(f"growth-{seed}"), until_s),
        cut_paths(site, random.Random(f"cuts-{seed}"), until_s),
        customers.take_keys_away(site, random.Random(f"keys-{seed}"), until_s),
        duties.disturb_platform(site, random.Random(f"duties-{seed}"), until_s),
    )


async def run_soak(
    seed: int,
    seconds: float,
    first_ip: int,
    log_folder: Path | None = None,
    program: Sequence[str] = PROGRAM,
    entry_vms: int = ENTRY_VMS,
    disturb: Disturbance = disturb_all,
) -> list[tuple[float, str, str]]:
    """Run one soak and return the failed checks as (time in s, check, detail).

    After the last fault all entry VMs are started, and the trainers read their
    unfinished batches before the checks run.

    Parameters
    ----------
    seed : int
        Seed of the faults and of the load.
    seconds : float
        Duration of faults and load.
    first_ip : int
        Number of the first entry VM's address in 127.0.0.0/8.
    log_folder : Path or None
        Folder for the logs of a failed run.
    program : sequence of str
        Arguments of the Python interpreter for each entry VM.
    entry_vms : int
        Number of entry VMs.
    disturb : Disturbance
        Injects the faults.
    """
    site = SoakSite(
        entry_vms=entry_vms, engines=3, desks=3, seed=seed, first_ip=first_ip
    )
    site.program = tuple(program)
    site.initialize(seed)
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
            disturb(site, rng, until_s),
            publish_versions(site, until_s),
            *(client.run(until_s) for client in (*trainers, *callers)),
        )
        for vm in site.vms.values():
            await site.restart(vm)
        await asyncio.gather(
            *(trainer.read_unfinished() for trainer in trainers),
            duties.run_calm(site, callers),
        )
        site.check_servers()
        customers.check_runs(site)
        await customers.check_secrecy(site)
        duties.check_calls(site)
        site.check_scoring()
        for caller in callers:
            site.check_bookings(caller.bookings)
        if not any(caller.served for caller in callers):
            site.record_failure("harness", "no request was served")
        if not any(trainer.results_by_batch for trainer in trainers):
            site.record_failure("harness", "no result was read")
        if site.failures and log_folder is not None:
            site.save_logs(log_folder, seed)
    return site.failures
