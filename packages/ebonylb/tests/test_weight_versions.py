"""Tests of the weight versions of results, whatever orders are carried out late.

The load pattern: a server goes on with other weights in the middle of runs, as after an
order that keeps them, while items of a route with a single version run there.
"""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonylb.batches import ItemResult
from ebonylb.batches.item_state import ItemState
from ebonylb.batches.model import Partial, are_versions_allowed
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.servers import event_data
from ebonylb_standins.site.world import World, configuration, read_all

EVENTS = 60
ITEMS = 8


def full_text(item_id):
    """Return the whole text of an item."""
    return "\n".join(event_data(item_id, n) for n in range(1, EVENTS + 1))


async def run_batch(change, engines=2, scored=False, **options):
    """Run a batch, change weights while it runs, and return the world and results."""
    world = World(
        engines, 2, site_configuration=configuration(single_version=True, attempts=3)
    )
    vm = world.start("a")
    await world.clock.sleep_ms(500)
    batch = world.batch("x", [EVENTS] * ITEMS, scored=scored, **options)
    assert await vm.batches.submit(batch) is None
    await world.clock.sleep_ms(700)
    change(world.port.servers)
    results = await read_all(vm, "x", ITEMS, timeout_ms=60_000)
    return world, results


class TestSingleVersion:
    # Guards against a result with two versions after an order was carried out late
    # (review/9).
    @pytest.mark.parametrize("scored", [False, True])
    @pytest.mark.parametrize("engines", [1, 2])
    def test_a_change_in_the_middle_of_a_run_is_not_in_its_result(
        self, engines, scored
    ):
        async def scenario():
            def change(servers):
                for number in range(engines):
                    servers[f"e{number}"].versions["m"] = 2

            _, results = await run_batch(change, engines, scored)
            assert {r.versions for r in results} == {(2,)}
            assert all(r.text == full_text(r.item_id) for r in results)

        run_virtual(scenario())

    # Guards against events that are made again although a server could go on.
    def test_a_text_goes_on_where_its_version_is_left(self):
        async def scenario():
            def change(servers):
                servers["e0"].versions["m"] = 2

            world, results = await run_batch(change)
            assert all(len(r.versions) == 1 for r in results)
            assert all(r.text == full_text(r.item_id) for r in results)
            assert {r.versions for r in results} == {(1,)}
            resumed = [
                request
                for request in world.port.servers["e1"].received_requests
                if request.resume_after
            ]
            assert resumed

        run_virtual(scenario())

    def test_a_server_that_changes_its_weights_is_not_held_for_broken(self):
        """Guards against a pause of a sound server."""

        async def scenario():
            def change(servers):
                servers["e0"].versions["m"] = 2

            world, _ = await run_batch(change)
            vm = world.vms["a"]
            now = world.clock.monotonic_ms()
            assert not vm.directory.condition("e0").is_backing_off(now)

        run_virtual(scenario())

    # Guards against a text that a new holder resumes on other weights.
    def test_a_new_holder_keeps_to_one_version(self):
        async def scenario():
            world = World(2, 2, configuration(single_version=True))
            first, second = (world.start(name) for name in ("a", "b"))
            await world.clock.sleep_ms(500)
            batch = world.batch("x", [EVENTS * 2] * ITEMS)
            assert await first.batches.submit(batch) is None
            await world.clock.sleep_ms(1_500)
            (holder,) = [vm for vm in (first, second) if vm.ownership.holders]
            other = second if holder is first else first
            holder.stop()
            for number in range(2):
                world.port.servers[f"e{number}"].versions["m"] = 2
            results = await read_all(other, "x", ITEMS, timeout_ms=60_000)
            assert all(len(r.versions) == 1 for r in results)

        run_virtual(scenario())


class TestMinimum:
    # Guards against an event of weights that are older than the batch allows.
    def test_a_run_that_falls_below_the_minimum_is_not_in_the_result(self):
        async def scenario():
            world = World(2, 2)
            for number in range(2):
                world.port.servers[f"e{number}"].versions["m"] = 3
            vm = world.start("a")
            await world.clock.sleep_ms(500)
            batch = world.batch("x", [EVENTS] * ITEMS, min_version=3)
            assert await vm.batches.submit(batch) is None
            await world.clock.sleep_ms(700)
            world.port.servers["e0"].versions["m"] = 2
            results = await read_all(vm, "x", ITEMS, timeout_ms=60_000)
            assert {r.versions for r in results} == {(3,)}
            assert all(r.text == full_text(r.item_id) for r in results)

        run_virtual(scenario())


class TestFinishedTexts:
    """The second check, of whole texts, whatever the first one has let through."""

    @staticmethod
    async def run_state(world, vm, state):
        route = vm.routes.find_by_name("batch")
        header = world.batch("x", [EVENTS] * ITEMS, min_version=1).header
        due_ms = vm.clock.monotonic_ms() + 60_000
        async with asyncio.timeout(30):
            return await vm.ownership.runner.run(state, header, route, due_ms, due_ms)

    @pytest.mark.parametrize("versions", [(1, 2), (0,)])
    @pytest.mark.parametrize("is_text", [True, False])
    def test_a_stored_text_with_wrong_versions_is_made_again(self, versions, is_text):
        async def scenario():
            world = World(2, 2, configuration(single_version=True))
            vm = world.start("a")
            await world.clock.sleep_ms(500)
            batch = world.batch("x", [EVENTS] * ITEMS)
            state = ItemState(batch.items[0])
            if is_text:
                state.restore_text(ItemResult("x-0", True, "text", versions))
            else:
                count = len(versions)
                events = tuple(event_data("x-0", n) for n in range(1, count + 1))
                state.restore(Partial(events, versions, True, "v1"))
            result = await self.run_state(world, vm, state)
            assert result.versions == (1,)
            assert result.text == full_text("x-0")

        run_virtual(scenario())

    @given(st.lists(st.integers(0, 4), max_size=6), st.integers(0, 4), st.booleans())
    def test_allowed_versions(self, versions, minimum, is_single):
        allowed = are_versions_allowed(versions, minimum, is_single)
        too_many = is_single and len(set(versions)) > 1
        assert allowed == (not too_many and min(versions, default=9) >= minimum)
