"""The platform's API in a soak: its faults, the engines it adds, and the checks."""

import asyncio
import random
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

from ebonylb.interfaces.control_plane import CallOutcome

from ..site import duty_rule
from ..site.http_servers import HttpServer
from ..site.http_site import ENGINE, MODELS
from .customers import BOOT_S, MAX_ENGINES, MIN_ENGINES

if TYPE_CHECKING:
    from .load import Caller
    from .run import SoakSite

LEASE_MS = 3_000.0
WINDOW_MS = 1_000.0  # as in the settings of the site
USAGE_TOLERANCE = 0.05
# A request that begins so close to the end of a window may be counted in the next one:
# an entry VM counts when it sends, half a round trip before.
WINDOW_EDGE_MS = 100.0
CALM_WINDOWS = 2
# Shorter than a window and the timeout of a call, longer than all entry VMs need to
# begin one.
SLOW_ANSWER_MS = 700.0
# A report comes 1.5 s after its window, 8 s with a takeover of the duty. Machines that
# run many tests are slower.
REPORT_TIMEOUT_S = 25.0
LEAVE_S = 1.5
CHECKS = {
    "two counts for a window": duty_rule.find_differing_reports,
    "lower token after a higher one": duty_rule.find_falling_tokens,
    "token of two holders": duty_rule.find_shared_tokens,
    "holders A, B, A": lambda calls: duty_rule.find_alternations(calls, LEASE_MS),
}


def new_engine(site: "SoakSite") -> HttpServer:
    """Return an engine that has the newest weights and nothing in its caches."""
    engines = [s for s in site.servers.values() if s.service == ENGINE]
    engine = HttpServer(f"engine-{len(engines)}", ENGINE, MODELS)
    for model in MODELS:
        engine.versions[model] = max(s.versions[model] for s in engines)
    return engine


class EngineOrders:
    """Adds and removes engines as the accepted orders say.

    Attributes
    ----------
    gone : set of str
        Engines that leave or have left.
    """

    def __init__(self, site: "SoakSite") -> None:
        self.site = site
        self.gone: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def carry_out(self, body: dict[str, Any]) -> None:
        """Boot engines, or let the newest ones leave, up to the ordered number."""
        zone, count = body["Zone"], body["TargetGroups"]
        names = self.present(zone)
        for _ in range(count - len(names)):
            engine = new_engine(self.site)
            self.site.servers[engine.name] = engine
            self.site.server_zones[engine.name] = zone
            self.start(self.boot(engine, zone))
        for name in names[count:]:
            self.gone.add(name)
            self.start(self.remove(name, zone))

    def present(self, zone: str) -> list[str]:
        """Return the engines of a zone that boot or serve."""
        return [
            name
            for name, server in self.site.servers.items()
            if server.service == ENGINE
            and self.site.server_zones.get(name) == zone
            and name not in self.gone
        ]

    def start(self, change) -> None:
        """Make a change in the background."""
        task = asyncio.create_task(change)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def boot(self, engine: HttpServer, zone: str) -> None:
        """List an engine once it has booted."""
        await asyncio.sleep(BOOT_S)
        await self.site.add_server(engine, zone)

    async def remove(self, name: str, zone: str) -> None:
        """Let an engine leave with notice."""
        if name in self.site.server_addresses:
            self.site.register(self.site.servers[name], zone, "draining")
        await asyncio.sleep(LEAVE_S)
        self.site.store.data.put("servers", name, None)


async def disturb_platform(
    site: "SoakSite", rng: random.Random, until_s: float
) -> None:
    """Let the platform's API be down, slow, reject calls or lose answers by turns."""
    platform, loop = site.platform, asyncio.get_running_loop()
    while loop.time() < until_s:
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        kind = rng.choice(["down", "slow", "rejecting", "losing"])
        site.record_event("fault", f"platform {kind}")
        platform.down = kind == "down"
        platform.delay_ms = rng.uniform(100, 1_500) if kind == "slow" else 4.0
        platform.lost_answers = rng.randint(1, 3) if kind == "losing" else 0
        if kind == "rejecting":
            outcomes = [o for o in CallOutcome if o is not CallOutcome.ACCEPTED]
            platform.outcome = rng.choice(outcomes)
        await asyncio.sleep(rng.uniform(0.5, 2.5))
        platform.down, platform.outcome = False, CallOutcome.ACCEPTED
        platform.delay_ms, platform.lost_answers = 4.0, 0


async def answer_slowly(site: "SoakSite", rng: random.Random, until_s: float) -> None:
    """Let each call of a duty take most of a window."""
    site.record_event("fault", "platform answers slowly")
    site.platform.delay_ms = SLOW_ANSWER_MS
    await asyncio.sleep(until_s - asyncio.get_running_loop().time())
    site.platform.delay_ms = 4.0


async def run_calm(site: "SoakSite", callers: list["Caller"]) -> None:
    """Send requests without faults, and check the reports of whole windows.

    Windows that a fault touches are not compared: requests whose connections broke
    count as begun, and a report does not wait for an entry VM without the store.
    """
    await asyncio.gather(*(site.wait_ready(vm) for vm in site.vms.values()))
    loop = asyncio.get_running_loop()
    first = int(time.time() * 1_000 // WINDOW_MS) + 1
    windows = range(first, first + CALM_WINDOWS)
    end_ms = (windows.stop * WINDOW_MS) + WINDOW_EDGE_MS
    until_s = loop.time() + end_ms / 1_000 - time.time()
    await asyncio.gather(*(caller.run(until_s) for caller in callers))
    try:
        async with asyncio.timeout(REPORT_TIMEOUT_S):
            while not set(windows) <= set(site.platform.reports()):
                await site.platform.called.wait()
    except TimeoutError:
        site.record_failure("usage not reported", f"windows {windows}")
        return
    # A window may have no request of a customer, and is reported all the same.
    if not sum(check_window(site, window) for window in windows):
        site.record_failure("harness", f"no request of a customer in {windows}")


def check_window(site: "SoakSite", window: int) -> int:
    """Compare the reported counts of a window with what servers began.

    Returns
    -------
    int
        Number of requests of customers that may have begun in the window.
    """
    begun_ms: dict[str, float] = {}
    for server in site.servers.values():
        for request_id, at_ms in server.begun_ms.items():
            begun_ms[request_id] = min(at_ms, begun_ms.get(request_id, at_ms))
    inner, outer = Counter[str](), Counter[str]()
    start_ms, end_ms = window * WINDOW_MS, (window + 1) * WINDOW_MS
    for request_id, at_ms in begun_ms.items():
        if request_id in site.keys.batch_request_ids:
            continue
        customer = site.keys.sendings[request_id][0].customer
        if not customer:
            continue
        inner[customer] += start_ms + WINDOW_EDGE_MS <= at_ms < end_ms - WINDOW_EDGE_MS
        outer[customer] += start_ms - WINDOW_EDGE_MS <= at_ms < end_ms + WINDOW_EDGE_MS
    reported = site.platform.reports()[window]
    for customer in {*outer, *reported}:
        count = reported.get(customer, 0)
        lowest = inner[customer] * (1 - USAGE_TOLERANCE)
        highest = outer[customer] * (1 + USAGE_TOLERANCE)
        if not lowest <= count <= highest:
            detail = f"window {window}, {customer}: {count}, {lowest} to {highest} ran"
            site.record_failure("usage differs", detail)
    return sum(outer.values())


def check_calls(site: "SoakSite") -> None:
    """Check the calls that the API got, whoever made them."""
    for check, find_faults in CHECKS.items():
        for detail in find_faults(site.platform.calls):
            site.record_failure(check, detail)
    for call in site.platform.calls:
        if call.subject.startswith("scale/"):
            count = call.content["TargetGroups"]
            if not MIN_ENGINES <= count <= MAX_ENGINES:
                site.record_failure("beyond its bounds", f"{call.subject}: {count}")
