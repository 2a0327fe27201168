"""Tests of items that are much longer than the others of their step.

The load pattern: a step of many short items and a few of ten times their length, on
engines of one service that differ in speed by a third. The step takes as long as its
longest item.
"""

import msgspec
import pytest

from ebonylb.batches import Batch
from ebonylb.batches.item_state import ItemState
from ebonylb.batches.lengths import LengthEstimate, LengthHistory
from ebonylb.batches.move_policy import MovePolicy
from ebonylb.batches.placement import ItemRequirements
from ebonylb.fleet import ServerCondition
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


class TestLengthHistory:
    """The load: texts with a heavy tail, whose callers estimate them too short."""

    def test_the_rest_of_a_long_text_is_learned_from_its_route(self):
        """Guards against long texts that count as nearly complete until their end."""
        history = LengthHistory()
        for events in [15] * 36 + [137] * 4:
            history.record(events)
        assert history.remaining_events(20) == 117
        assert history.remaining_events(14) == pytest.approx(13.2)
        assert history.remaining_events(137) is None

    def test_a_text_longer_than_nine_tenths_of_the_others_is_long(self):
        """Guards against moves of texts that are short where they come from."""
        history = LengthHistory()
        assert not history.is_long(49) and history.is_long(50)
        for events in [8] * 18 + [30] * 2:
            history.record(events)
        assert not history.is_long(7) and history.is_long(8)
        for _ in range(20):
            history.record(90)
        assert not history.is_long(50)


class TestMoves:
    """The load: engines that differ in speed and are disturbed for a moment."""

    @staticmethod
    def place(world, vm, gaps):
        """Observe a gap on each engine and return the policy."""
        now = world.clock.monotonic_ms()
        for name, gap_ms in gaps.items():
            condition = vm.directory.condition(name)
            for step in range(80):
                condition.record_gap(gap_ms, 33, now + step * gap_ms)
            condition.gap_updated_ms = now
        return MovePolicy(vm.placement)

    @pytest.mark.parametrize(("is_long", "moves"), [(False, False), (True, True)])
    def test_only_a_long_item_leaves_a_slower_engine(self, is_long, moves):
        """Guards against moves that cost a prompt and make no step complete sooner."""

        async def scenario():
            world = World(engines=3)
            vm = world.start("a")
            policy = self.place(world, vm, {"e0": 43, "e1": 33, "e2": 33})
            need = ItemRequirements("lm", "m", world.clock.monotonic_ms() + 7_500, 40)
            server = vm.directory.get("e0")
            assert policy.should_move(server, need, is_long) is moves

        run_virtual(scenario())

    def test_a_long_item_does_not_move_to_an_engine_that_was_slow(self):
        """Guards against moves to an engine whose slowness was seen long ago."""

        async def scenario():
            world = World(engines=2)
            vm = world.start("a")
            policy = self.place(world, vm, {"e0": 43, "e1": 60})
            vm.directory.condition("e1").gap_updated_ms = -10_000
            need = ItemRequirements("lm", "m", world.clock.monotonic_ms() + 7_500, 90)
            assert not policy.should_move(vm.directory.get("e0"), need, True)

        run_virtual(scenario())

    def test_the_speed_of_an_engine_is_known_after_a_pause(self):
        """Guards against long items that begin on slow engines after each pause."""
        condition = ServerCondition()
        now = 0.0
        for step in range(200):
            gap_ms = 107.5 if 100 <= step < 106 else 43.0
            now += gap_ms
            condition.record_gap(gap_ms, 33, now)
        assert condition.expected_gap_ms(33, now + 60_000) == pytest.approx(43, rel=0.1)


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
