"""Faults of a soak, chosen by its seed; they start in sequence and may overlap."""

import asyncio
import json
import logging
import random
import signal
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from ..processes import ends_within
from ..site.cut_path import PathState
from ..site.http_site import ZONES
from .duties import new_engine

if TYPE_CHECKING:
    from .run import SoakSite

logger = logging.getLogger(__name__)

GRACE_S = 8.0  # from SIGTERM to SIGKILL on the users' platform

Fault = Callable[["SoakSite", random.Random], Awaitable[None]]


def choose_vm(site: "SoakSite", rng: random.Random):
    """Return a random entry VM."""
    return rng.choice(list(site.vms.values()))


async def kill_and_restart(site: "SoakSite", rng: random.Random) -> None:
    """Kill an entry VM, as a loss of power does, and start it again."""
    vm = choose_vm(site, rng)
    await vm.kill()
    await asyncio.sleep(rng.uniform(0.1, 1.5))
    await site.restart(vm)


async def kill_all(site: "SoakSite", rng: random.Random) -> None:
    """Kill all entry VMs at once and start them again."""
    vms = list(site.vms.values())
    await asyncio.gather(*(vm.kill() for vm in vms))
    await asyncio.sleep(rng.uniform(0.1, 1.0))
    await asyncio.gather(*(site.restart(vm) for vm in vms))


async def terminate_and_restart(site: "SoakSite", rng: random.Random) -> None:
    """Terminate an entry VM with SIGTERM and start it again."""
    vm = choose_vm(site, rng)
    # Another fault may kill the process and start the next one meanwhile.
    process = vm.process
    vm.send_signal(signal.SIGTERM)
    if not await ends_within(process.pid, GRACE_S):
        site.record_failure("shutdown", f"{vm.name} still runs 8 s after SIGTERM")
        await vm.kill()
    await process.wait()
    await site.restart(vm)


async def pause(site: "SoakSite", rng: random.Random) -> None:
    """Suspend an entry VM with SIGSTOP and resume it, which it cannot notice."""
    vm = choose_vm(site, rng)
    vm.send_signal(signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.3, 6.0))
    vm.send_signal(signal.SIGCONT)


async def hangup(site: "SoakSite", rng: random.Random) -> None:
    """Rewrite the settings files; half of the processes get a SIGHUP."""
    for vm in site.vms.values():
        vm.write_settings()
        if rng.random() < 0.5 and vm.has_begun():
            vm.send_signal(signal.SIGHUP)


async def store_down(site: "SoakSite", rng: random.Random) -> None:
    """Make the store refuse all calls."""
    site.store.faults.down = True
    await asyncio.sleep(rng.uniform(0.5, 5.0))
    site.store.faults.down = False


async def store_unclear(site: "SoakSite", rng: random.Random) -> None:
    """Make the store lose responses to writes and apply some writes seconds later."""
    site.store.faults.lost_response_share = rng.uniform(0.1, 0.4)
    site.store.faults.late_write_share = rng.uniform(0.0, 0.2)
    await asyncio.sleep(rng.uniform(1.0, 5.0))
    site.store.faults.lost_response_share = site.store.faults.late_write_share = 0.0


async def store_slow(site: "SoakSite", rng: random.Random) -> None:
    """Slow the store down, then drop its change history."""
    site.store.faults.added_delay_ms = rng.uniform(50, 400)
    await asyncio.sleep(rng.uniform(1.0, 4.0))
    site.store.faults.added_delay_ms = 0.0
    site.store.data.drop_history()


async def cut_from_store(site: "SoakSite", rng: random.Random) -> None:
    """Disturb one entry VM's path to the store."""
    proxy = site.store_proxies[choose_vm(site, rng).name]
    await disturb_path(proxy, rng)


async def disturb_server(site: "SoakSite", rng: random.Random) -> None:
    """Disturb the path to one backend server."""
    await disturb_path(rng.choice(list(site.server_proxies.values())), rng)


async def disturb_path(proxy, rng: random.Random) -> None:
    """Drop, delay, reset or refuse a proxy's traffic for 0.5 to 4 s."""
    kind = rng.choice(["silent", "up", "down", "delay", "reset", "refuse"])
    faults = proxy.faults
    faults.silent_upstream = kind in ("silent", "up")
    faults.silent_downstream = kind in ("silent", "down")
    faults.delay_s = rng.uniform(0.02, 0.3) if kind == "delay" else 0.0
    faults.refuse = kind == "refuse"
    if kind in ("reset", "refuse"):
        proxy.reset_connections(rng.uniform(0.3, 1.0))
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    proxy.faults = type(faults)()
    proxy.reset_connections(1.0)


async def spoil_server(site: "SoakSite", rng: random.Random) -> None:
    """Make a backend server reset, truncate or refuse its responses."""
    server = rng.choice(list(site.servers.values()))
    server.fault = rng.choice(["reset", "cut", "shed"])
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    server.fault = ""


async def change_configuration(site: "SoakSite", rng: random.Random) -> None:
    """Write one to four new configurations in quick succession."""
    for _ in range(rng.randint(1, 4)):
        site.configuration_version += rng.randint(0, 4)
        site.write_configuration()
        await asyncio.sleep(rng.uniform(0.0, 0.5))


async def lapse_servers(site: "SoakSite", rng: random.Random) -> None:
    """Delete all server entries while the store is down; restore them afterwards."""
    site.store.faults.down = True
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    names = list(site.server_addresses)
    for name in names:
        site.store.data.put("servers", name, None)
    site.store.faults.down = False
    await asyncio.sleep(rng.uniform(0.2, 1.2))
    for name in names:
        if name not in site.engine_orders.gone:
            site.register(site.servers[name], site.server_zones[name])


async def foreign_entries(site: "SoakSite", rng: random.Random) -> None:
    """Write an invalid server entry, as a faulty foreign writer would."""
    invalid_rows = [
        b"\xff\x00",
        b"{}",
        json.dumps({"Service": 3, "State": "ready"}).encode(),
    ]
    site.store.data.put(
        "servers", f"ghost-{rng.randint(0, 9)}", rng.choice(invalid_rows)
    )


FAULTS: tuple[Fault, ...] = (
    kill_and_restart,
    kill_and_restart,
    kill_all,
    terminate_and_restart,
    pause,
    pause,
    hangup,
    store_down,
    store_unclear,
    store_unclear,
    store_slow,
    cut_from_store,
    cut_from_store,
    disturb_server,
    disturb_server,
    spoil_server,
    spoil_server,
    change_configuration,
    lapse_servers,
    foreign_entries,
)


async def add_empty_engine(site: "SoakSite", rng: random.Random) -> None:
    """Add an engine that has the newest weights and nothing in its caches."""
    await site.add_server(new_engine(site), rng.choice(list(ZONES)))


async def reset_all_paths(site: "SoakSite", rng: random.Random) -> None:
    """Reset a share of the connections on all paths at the same moment."""
    share = rng.uniform(0.1, 0.5)
    for proxy in (*site.store_proxies.values(), *site.server_proxies.values()):
        proxy.reset_connections(share)


async def grow_and_reset(site: "SoakSite", rng: random.Random, until_s: float) -> None:
    """Add engines and reset connections beside the other faults.

    It draws from a generator of its own, so that the sequence of the other faults
    depends only on the seed.
    """
    loop = asyncio.get_running_loop()
    while loop.time() < until_s:
        fault = rng.choice((add_empty_engine, reset_all_paths))
        site.record_event("fault", fault.__name__)
        await fault(site, rng)
        await asyncio.sleep(rng.uniform(1.0, 4.0))


async def cut_paths(site: "SoakSite", rng: random.Random, until_s: float) -> None:
    """Cut entry VMs off from all servers, and sometimes all entry VMs.

    It draws from a generator of its own, as `grow_and_reset` does.
    """
    loop = asyncio.get_running_loop()
    while loop.time() < until_s:
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        names = rng.sample(sorted(site.vms), rng.randint(1, len(site.vms)))
        state = rng.choice([PathState.HANG, PathState.RESET, PathState.REFUSE])
        site.record_event("fault", f"cut_paths {state.name} {' '.join(names)}")
        for name in names:
            await site.cut_off(name, state)
        await asyncio.sleep(rng.uniform(1.0, 6.0))
        for name in names:
            await site.reconnect(name)
        site.record_event("fault", "cut_paths healed")


async def inject_faults(site: "SoakSite", rng: random.Random, until_s: float) -> None:
    """Start random faults at random intervals, without waiting for them to end.

    A fault function that raises is recorded as a failure of the harness.
    """
    loop = asyncio.get_running_loop()
    running: set[asyncio.Task[None]] = set()
    while loop.time() < until_s:
        fault = rng.choice(FAULTS)
        site.record_event("fault", fault.__name__)
        running.add(asyncio.create_task(fault(site, rng)))
        await asyncio.sleep(rng.uniform(0.2, 2.0))
    results = await asyncio.gather(*running, return_exceptions=True)
    for result in results:
        if isinstance(result, Exception):
            site.record_failure("harness", f"fault failed: {result!r}")
