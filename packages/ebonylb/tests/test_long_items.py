"""Tests of items that are much longer than the others of their step.

The load pattern: a step of many short items and a few of ten times their length, on
engines of one service that differ in speed by a third. The step takes as long as its
longest item.
"""

import msgspec
import pytest

from ebonylb.batches import Batch
from ebonylb.batches.item_state import ItemState
from ebonylb.batches.lengths import LengthEstimate
from ebonylb.batches.placement import ItemRequirements
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.servers import EVENT_INTERVAL_MS
from ebonylb_standins.site.world import World, read_all

SLOW = 1.3
SHORT, LONG = 15, 170


def unequal_world():
    """Return a world of five engines, two of them slower."""
    world = World(engines=5)
    for name in ("e1", "e4"):
        world.port.servers[name].slowdown = SLOW
    return world


async def run_step(world, vm, number, lengths):
    """Run a step and return its duration in ms."""
    began_ms = world.clock.monotonic_ms()
    batch = world.batch(f"x{number}", lengths, step=number)
    assert await vm.batches.submit(batch) is None
    await read_all(vm, f"x{number}", len(lengths))
    return world.clock.monotonic_ms() - began_ms


def with_hint(item, tokens):
    return msgspec.structs.replace(item, length_hint=tokens)


def slow_runs(world, request_id):
    return sum(
        world.port.servers[name].started_request_ids.count(request_id)
        for name in ("e1", "e4")
    )


class TestEnginesOfDifferentSpeed:
    def test_long_items_run_on_fast_engines(self):
        async def scenario():
            world = unequal_world()
            vm = world.start("a")
            await run_step(world, vm, 0, [SHORT] * 40)
            durations = [
                await run_step(world, vm, number, [SHORT] * 30 + [LONG] * 3)
                for number in range(1, 5)
            ]
            assert max(durations) < 1.08 * LONG * EVENT_INTERVAL_MS + 200

        run_virtual(scenario())

    def test_a_long_item_leaves_a_slow_engine_when_a_fast_one_is_free(self):
        """The caller's estimate was short, so that the item began on any engine."""

        async def scenario():
            world = unequal_world()
            vm = world.start("a")
            await run_step(world, vm, 0, [SHORT] * 40)
            batch = world.batch("y", [LONG] * 10, step=1)
            items = [with_hint(item, SHORT * 44) for item in batch.items]
            batch = Batch(batch.header, tuple(items))
            began_ms = world.clock.monotonic_ms()
            assert await vm.batches.submit(batch) is None
            await read_all(vm, "y", 10)
            elapsed_ms = world.clock.monotonic_ms() - began_ms
            assert elapsed_ms < 1.12 * LONG * EVENT_INTERVAL_MS + 200

        run_virtual(scenario())

    def test_short_items_leave_fast_slots_to_long_ones(self):
        async def scenario():
            world = unequal_world()
            vm = world.start("a")
            await run_step(world, vm, 0, [SHORT] * 40)
            batch = world.batch("z", [LONG] * 16 + [SHORT] * 16, step=1)
            assert await vm.batches.submit(batch) is None
            await world.clock.sleep_ms(300)
            long_on_slow = sum(slow_runs(world, f"z-{n}") for n in range(16))
            short_on_slow = sum(slow_runs(world, f"z-{n}") for n in range(16, 32))
            assert long_on_slow == 0
            assert short_on_slow >= 8

        run_virtual(scenario())


class TestLengthEstimate:
    @staticmethod
    def estimate(hint, received):
        world = World()
        vm = world.start("a")
        state = ItemState(with_hint(world.batch("x", [1]).items[0], hint))
        state.events = ["e"] * received
        return LengthEstimate(vm.routes).remaining_events(state, "lm")

    @pytest.mark.parametrize(
        ("hint", "received", "remaining"),
        [(440, 0, 10), (440, 4, 6), (440, 40, 20), (0, 0, 0)],
    )
    def test_the_callers_estimate_is_corrected_by_the_events(
        self, hint, received, remaining
    ):
        async def scenario():
            assert self.estimate(hint, received) == remaining

        run_virtual(scenario())


class TestOrder:
    def test_the_item_that_must_start_first_goes_first(self):
        """A long item of a later step goes before a short one that can still wait."""

        async def scenario():
            world = World(engines=1)
            vm = world.start("a")
            need = {"service": "lm", "model": "m", "min_version": 1}
            held = [
                await vm.placement.acquire(ItemRequirements(due_ms=1, **need))
                for _ in range(16)
            ]
            now = world.clock.monotonic_ms()
            short = vm.placement.enqueue(
                ItemRequirements(due_ms=now + 7_500, remaining_events=10, **need)
            )
            long = vm.placement.enqueue(
                ItemRequirements(due_ms=now + 9_500, remaining_events=170, **need)
            )
            vm.placement.release(held[0])
            assert long.granted_server.done()
            assert not short.granted_server.done()

        run_virtual(scenario())
