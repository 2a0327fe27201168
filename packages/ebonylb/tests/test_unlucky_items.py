"""Tests of items and scoring requests under which several servers crash by chance.

The load pattern: a burst of crashes, each of which ends a server that runs the same
item or scoring request; afterwards all servers are back and have room.
"""

import pytest

from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.world import World, read_all

RESTART_MS = 300.0
MAX_BURST_MS = 30_000.0


async def crash_under_item(world, crashes):
    """End the engine that runs an item, and restart it, a number of times."""
    engines = [s for s in world.port.servers.values() if s.name.startswith("e")]
    end_ms = world.clock.monotonic_ms() + MAX_BURST_MS
    crashed = 0
    while crashed < crashes and world.clock.monotonic_ms() < end_ms:
        await world.clock.sleep_ms(100)
        for engine in engines:
            if engine.running:
                engine.mode = "absent"
                crashed += 1
                await world.clock.sleep_ms(RESTART_MS)
                engine.mode = "serves"
    return crashed


async def crash_under_scoring_request(world, crashes):
    """End each server that begins to run a request, and restart it, until enough have.

    All servers serve afterwards.
    """
    desks = [s for s in world.port.servers.values() if s.name.startswith("p")]
    end_ms = world.clock.monotonic_ms() + MAX_BURST_MS
    crashed = 0
    for desk in desks:
        desk.mode = "crashes"
    while crashed < crashes and world.clock.monotonic_ms() < end_ms:
        await world.clock.sleep_ms(10)
        for desk in desks:
            if desk.mode == "absent":
                crashed += 1
                await world.clock.sleep_ms(RESTART_MS)
                desk.mode = "crashes"
    for desk in desks:
        desk.mode = "serves"
    return crashed


class TestBurstOfCrashes:
    # Guards against items that are never run again after servers crashed under them.
    @pytest.mark.parametrize("crashes", [2, 3, 6])
    def test_an_item_is_still_run(self, crashes):
        async def scenario():
            world = World(engines=3)
            vm = world.start("a")
            await world.clock.sleep_ms(500)
            await vm.batches.submit(world.batch("x", [120]))
            assert await crash_under_item(world, crashes) >= crashes
            calm_ms = world.clock.monotonic_ms()
            (result,) = await read_all(vm, "x", 1)
            assert result.succeeded
            assert world.clock.monotonic_ms() - calm_ms < 6_000

        run_virtual(scenario())

    # Guards against items that are never scored after servers crashed under their
    # scoring requests.
    @pytest.mark.parametrize("crashes", [2, 3, 6])
    def test_a_scoring_request_is_still_run(self, crashes):
        async def scenario():
            world = World(plain_services=2)
            vm = world.start("a")
            await world.clock.sleep_ms(500)
            await vm.batches.submit(world.batch("x", [3], scored=True))
            assert await crash_under_scoring_request(world, crashes) >= crashes
            calm_ms = world.clock.monotonic_ms()
            (result,) = await read_all(vm, "x", 1)
            assert result.succeeded
            assert result.score
            assert world.clock.monotonic_ms() - calm_ms < 5_000

        run_virtual(scenario())
