"""Customers of a soak: their keys, faults that take keys away, and the checks."""

import asyncio
import random
import signal
from collections import defaultdict
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

from ..site.http_servers import scoring_id
from ..site.http_site import ENGINE, EntryVmProcess, configuration
from ..site.stored_configuration import HOST, with_customers, with_scaling

if TYPE_CHECKING:
    from .run import SoakSite

CUSTOMERS = ("acme", "bolt", "cert")
# Searched for in logs and rows, where it must not appear.
KEY_PREFIX = "soakkey"
UNKNOWN_KEY = f"{KEY_PREFIX}-unknown"
# Shorter than most outages of the store in a soak, so that the bound takes effect.
REVOKE_S, APPLY_S = 2.0, 2.5
SETTINGS = (
    "Bounds.StrictRevoke=true",
    f"Bounds.RevokeMs={REVOKE_S * 1_000:.0f}",
    f"Bounds.ConfigApplyMs={APPLY_S * 1_000:.0f}",
)
# Engines in each failure domain. The other faults add engines beside the orders.
MIN_ENGINES, MAX_ENGINES, BOOT_S = 1, 6, 0.5
# Requests with a revoked key go on for this long after the revocation must be in force.
PROBED_AFTER_S, PROBE_INTERVAL_S = 0.7, 0.15
PROBE_TIMEOUT = aiohttp.ClientTimeout(total=2)


@dataclass(frozen=True)
class Sending:
    """A request as sent: the customer, its key (empty for none), and when."""

    customer: str
    key: str
    sent_s: float


class CustomerKeys:
    """Keys of the customers, and which requests may run with them.

    A key that was taken away never comes back.

    Attributes
    ----------
    in_force : dict of str to list of str
        Keys by customer; the first key of each stays in force throughout.
    added_s, removed_s : dict of str to float
        Loop time at which the configuration with, or without, a key was stored.
    sendings : dict of str to list of Sending
        Requests of callers, items of batches and their scoring requests, by id.
    batch_request_ids : set of str
        Ids of the latter two.
    """

    def __init__(self) -> None:
        self.in_force: dict[str, list[str]] = {name: [] for name in CUSTOMERS}
        self.added_s: dict[str, float] = {}
        self.removed_s: dict[str, float] = {}
        self.sendings: defaultdict[str, list[Sending]] = defaultdict(list)
        self.batch_request_ids: set[str] = set()
        for name in CUSTOMERS:
            self.add(name)
            self.add(name)

    def now_s(self) -> float:
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()

    def add(self, customer: str) -> None:
        """Give a customer a new key."""
        key = f"{KEY_PREFIX}-{customer}-{len(self.added_s)}"
        self.in_force[customer].append(key)
        self.added_s[key] = self.now_s()

    def replace(self, customer: str) -> str:
        """Replace the newest key of a customer and return the one taken away."""
        key = self.in_force[customer].pop()
        self.add(customer)
        self.removed_s[key] = self.now_s()
        return key

    def choose(self, customer: str, rng: random.Random) -> str:
        """Return a key in force, sometimes one taken away or an unknown one."""
        removed = [key for key in self.removed_s if f"-{customer}-" in key]
        kind = rng.random()
        if kind < 0.1:
            return UNKNOWN_KEY
        if kind < 0.25 and removed:
            return rng.choice(removed)
        return rng.choice(self.in_force[customer])

    def record(self, request_id: str, customer: str, key: str) -> Sending:
        """Record that a request is sent now."""
        sending = Sending(customer if key else "", key, self.now_s())
        self.sendings[request_id].append(sending)
        return sending

    def record_batch(
        self, batch_id: str, size: int, customer: str, key: str
    ) -> Sending:
        """Record that a batch is submitted now, with all requests that it may cause."""
        sending = Sending(customer, key, self.now_s())
        for number in range(size):
            item_id = f"{batch_id}-{number}"
            for request_id in (item_id, scoring_id(item_id)):
                self.sendings[request_id].append(sending)
                self.batch_request_ids.add(request_id)
        return sending

    def may_run(self, sending: Sending) -> bool:
        """Return whether a request may run."""
        if not sending.key:
            return True
        removed_s = self.removed_s.get(sending.key, float("inf"))
        return sending.key in self.added_s and sending.sent_s <= removed_s + REVOKE_S

    def must_be_known(self, sending: Sending) -> bool:
        """Return whether every configuration that may be in force has the key."""
        added_s = self.added_s.get(sending.key, float("inf"))
        return sending.key not in self.removed_s and added_s + APPLY_S < sending.sent_s


def soak_configuration(version: int, keys: CustomerKeys) -> bytes:
    """Return a configuration with the customers' keys and bounds of the engines."""
    scaled = with_scaling(
        configuration(version), ENGINE, Min=MIN_ENGINES, Max=MAX_ENGINES, BootS=BOOT_S
    )
    return with_customers(scaled, keys.in_force, ["ask"])


@asynccontextmanager
async def stopped(site: "SoakSite", vm: EntryVmProcess):
    """Suspend an entry VM; requests wait in its sockets until it is resumed."""
    vm.send_signal(signal.SIGSTOP)
    yield
    vm.send_signal(signal.SIGCONT)


@asynccontextmanager
async def cut_from_store(site: "SoakSite", vm: EntryVmProcess):
    """Cut an entry VM off from the store."""
    proxy = site.store_proxies[vm.name]
    proxy.faults.silent_upstream = proxy.faults.silent_downstream = True
    yield
    proxy.faults = type(proxy.faults)()
    proxy.reset_connections(1.0)


@asynccontextmanager
async def restarted_without_store(site: "SoakSite", vm: EntryVmProcess):
    """Start an entry VM again that does not reach the store at first."""
    await vm.kill()
    async with cut_from_store(site, vm):
        await site.restart(vm)
        yield


REVOCATION_FAULTS: tuple[Callable, ...] = (
    cut_from_store,
    stopped,
    restarted_without_store,
)


async def send_probe(site: "SoakSite", vm: EntryVmProcess, customer: str, key: str):
    """Send one request with a revoked key."""
    request_id = f"probe-{len(site.keys.sendings)}"
    sending = site.keys.record(request_id, customer, key)
    headers = {
        "Host": HOST,
        "Ebonylb-Request-Id": request_id,
        "Authorization": f"Bearer {key}",
    }
    with suppress(aiohttp.ClientError, OSError, TimeoutError):
        async with site.http.post(
            f"http://{vm.front_address}/ask/1", headers=headers, timeout=PROBE_TIMEOUT
        ) as response:
            check_refusal(site, request_id, sending, response.status)


async def take_key_away(
    site: "SoakSite",
    rng: random.Random,
    faults: Sequence[Callable] = REVOCATION_FAULTS,
) -> None:
    """Take a key away while at most two entry VMs have faults and get requests.

    Each has another one of `faults`. The requests are sent until after the revocation
    must be in force.
    """
    customer = rng.choice(CUSTOMERS)
    vms = rng.sample(list(site.vms.values()), min(2, len(site.vms), len(faults)))
    chosen = dict(zip(rng.sample(faults, len(vms)), vms, strict=True))
    names = " ".join(f"{fault.__name__} {vm.name}" for fault, vm in chosen.items())
    site.record_event("fault", f"key of {customer} taken away, {names}")
    probes = []
    async with AsyncExitStack() as active:
        for fault, vm in chosen.items():
            await active.enter_async_context(fault(site, vm))
        key = site.keys.replace(customer)
        site.write_configuration()
        until_s = site.keys.now_s() + REVOKE_S + PROBED_AFTER_S
        while site.keys.now_s() < until_s:
            for vm in vms:
                probe = send_probe(site, vm, customer, key)
                probes.append(asyncio.create_task(probe))
            await asyncio.sleep(PROBE_INTERVAL_S)
    await asyncio.gather(*probes)


async def take_keys_away(site: "SoakSite", rng: random.Random, until_s: float) -> None:
    """Take one key away after the other.

    It draws from a generator of its own, as the other faults beside the sequence do.
    """
    while site.keys.now_s() < until_s:
        await take_key_away(site, rng)
        await asyncio.sleep(rng.uniform(0.1, 0.6))


async def revoke_behind_cut(
    site: "SoakSite", rng: random.Random, until_s: float
) -> None:
    """Take a key away while one entry VM is cut off from the store."""
    await take_key_away(site, rng, (cut_from_store,))


def check_refusal(
    site: "SoakSite", request_id: str, sending: Sending, status: int
) -> None:
    """Check the status of a response, and record a refusal as not run."""
    if status in (401, 503):
        site.refused_request_ids.add(request_id)
    if status == 401 and site.keys.must_be_known(sending):
        site.record_failure("denied", f"{request_id} with {sending.key}")


def check_runs(site: "SoakSite") -> None:
    """Check that servers ran what its keys allow, and got names but never keys."""
    for server in site.servers.values():
        for request_id in server.run_counts:
            sendings = site.keys.sendings.get(request_id, [])
            if not any(map(site.keys.may_run, sendings)):
                known = any(s.key in site.keys.added_s for s in sendings)
                check = "revoked key ran" if known else "unknown key ran"
                site.record_failure(check, f"{request_id} at {server.name}")
        for request_id, identities in server.identities.items():
            customers = {s.customer for s in site.keys.sendings.get(request_id, [])}
            for authorization, customer in identities:
                if authorization:
                    site.record_failure("key reached a server", request_id)
                if customer not in customers:
                    detail = f"{request_id}: {customer!r} instead of {customers}"
                    site.record_failure("wrong customer at a server", detail)


async def check_secrecy(site: "SoakSite") -> None:
    """Check that no key is in a log, a page for operators, nor another table's row."""
    texts = {f"log of {name}": log_of(site, name) for name in site.vms}
    for vm in site.vms.values():
        for path in ("/metrics", "/state"):
            _, page, _ = await site.read_metrics_port(vm, path)
            texts[f"{path} of {vm.name}"] = page
    for row in site.store.data.rows.values():
        if row.row_key.table != "op":
            texts[str(row.row_key)] = row.value
    for place, text in texts.items():
        if KEY_PREFIX.encode() in text:
            site.record_failure("key told", place)


def log_of(site: "SoakSite", name: str) -> bytes:
    """Return the log of an entry VM."""
    return (site.folder / f"{name}.log").read_bytes()
