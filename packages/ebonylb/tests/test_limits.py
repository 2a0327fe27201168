"""Tests of limits that servers name.

The load pattern: most servers of a service name a limit far below what several entry
VMs together send to them: items of trainers' steps, scoring requests, requests and
streams of callers, hedged copies, and weight orders.
"""

import asyncio
import random

import pytest

from ebonylb.forwarding import CallerRequest, CallerStream
from ebonylb.interfaces.server_client import ModelVersion
from ebonylb.outcomes import StepError
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.limit_rule import Sending, Sighting, find_busiest_windows
from ebonylb_standins.site.servers import PlannedResponse
from ebonylb_standins.site.world import World, read_all

LIMITS_PER_S = {"e0": 4.1, "e1": 4.4, "e2": 3.8, "e3": 0.6, "p0": 4.0, "p1": 2.0}


def make_request(world, request_id, path):
    return CallerRequest(
        request_id,
        "POST",
        "site",
        path,
        path,
        (("Host", "site"),),
        b"x" + request_id.encode(),
        world.clock.monotonic_ms(),
        2_000.0,
    )


async def serve(vm, request):
    """Return the response to a request; None for a stream that broke."""
    response = await vm.forwarder.serve(request, vm.forwarder.find_route(request))
    if isinstance(response, CallerStream):
        try:
            async for _ in response.chunks:
                pass
        except StepError:
            return None
    return response


async def ask_repeatedly(world, vms, path, requests_per_s, until_ms, events=0):
    """Send requests to random entry VMs; return their tasks."""
    generator = random.Random(path)
    tasks = []
    while world.clock.monotonic_ms() < until_ms:
        request_id = f"{path}-{len(tasks)}"
        world.port.planned_responses[request_id] = PlannedResponse(events)
        request = make_request(world, request_id, path)
        tasks.append(asyncio.create_task(serve(generator.choice(vms), request)))
        await world.clock.sleep_ms(1_000 / requests_per_s)
    return tasks


async def run_steps(world, vm, name, until_ms):
    """Run the steps of one trainer, each as soon as the one before is complete."""
    step = 0
    while world.clock.monotonic_ms() < until_ms:
        batch = world.batch(f"{name}-{step}", [4] * 24, scored=True, step=step)
        await vm.batches.submit(batch)
        await read_all(vm, f"{name}-{step}", 24, timeout_ms=120_000)
        step += 1


def busiest_windows(world, named_ms):
    """Return the busiest window of each server over the requests of all entry VMs."""
    servers = world.port.servers.values()
    sightings = [
        Sighting(named_ms, s.name, "all", s.limit_per_s)
        for s in servers
        if s.limit_per_s
    ]
    sendings = [Sending(ms, s.name, "all") for s in servers for ms in s.arrivals_ms]
    return find_busiest_windows(sightings, sendings)


async def run_limited_site(entry_vms, store_faults=None, seconds=40):
    """Run a site whose servers name limits; return the world and the first time."""
    world = World(engines=5, plain_services=3)
    vms = [
        world.start(f"vm{number}", ("north", "south", "high")[number % 3])
        for number in range(entry_vms)
    ]
    await world.clock.sleep_ms(1_000)
    for name, limit_per_s in LIMITS_PER_S.items():
        world.port.servers[name].limit_per_s = limit_per_s
    named_ms = world.clock.monotonic_ms()
    until_ms = named_ms + seconds * 1_000
    if store_faults is not None:
        store_faults(vms)

    async def name_versions():
        for version in range(2, 2 + seconds // 5):
            for vm in vms:
                vm.orders.set_target_version(ModelVersion("m", version))
            await world.clock.sleep_ms(5_000)

    async with asyncio.TaskGroup() as group:
        group.create_task(name_versions())
        for path, rate, events in (("/ask/1", 12, 0), ("/chat/1", 4, 10)):
            group.create_task(ask_repeatedly(world, vms, path, rate, until_ms, events))
        for number, vm in enumerate(vms[:3]):
            group.create_task(run_steps(world, vm, f"t{number}", until_ms))
    return world, named_ms


class TestLimitOverAllEntryVms:
    # Guards against servers that get more than the limit that they name, from all
    # entry VMs together.
    @pytest.mark.parametrize("entry_vms", [1, 3, 11])
    def test_servers_get_no_more_than_the_limit_that_they_name(self, entry_vms):
        world, named_ms = run_virtual(run_limited_site(entry_vms))
        windows = busiest_windows(world, named_ms)
        assert {w.server for w in windows} == set(LIMITS_PER_S)
        assert [w for w in windows if w.is_excess] == []
