"""Tests of batches with thousands of items: what grows, and with what.

Steps are counted as calls of functions, which do not depend on the machine. Durations
are in ``python -m ebonylb_standins.bench.large_jobs``.
"""

import asyncio
import contextlib
import gc
import json
import sys
from collections import Counter, deque
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonylb.batches import ItemResult, rows
from ebonylb.batches.customer_order import CustomerOrder
from ebonylb.batches.holder_shares import NoSlotLimits
from ebonylb.batches.item_starts import ITEMS_PER_TURN, MAX_WAITING, ItemStarts
from ebonylb.batches.placement import ItemRequirements
from ebonylb.batches.waiting_items import FORCE_AFTER_MS, Waiter, WaitingItems
from ebonylb.platform.batch_wire import decode_batch
from ebonylb.routes import Target
from ebonylb.tasks import in_turns
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.row_store import MemoryRowStore
from ebonylb_standins.site.servers import PlannedResponse
from ebonylb_standins.site.world import World, configuration, read_all

ROW_BYTES = 65_536
# Linear work grows fourfold with four times the items, and quadratic work sixteenfold.
MAX_GROWTH = 6.0


@contextlib.contextmanager
def no_garbage_collection():
    """Keep the garbage collector off; callbacks of other libraries run with it."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


class CallCounter:
    """Counts the calls of Python functions inside its context."""

    def __enter__(self):
        self.calls = 0
        self.exit_stack = contextlib.ExitStack()
        self.exit_stack.enter_context(no_garbage_collection())
        sys.setprofile(self.count)
        return self

    def __exit__(self, *error):
        sys.setprofile(None)
        self.exit_stack.close()

    def count(self, frame, event, argument):
        self.calls += event == "call"


def count_calls(work, *arguments):
    """Return how many functions a piece of work calls."""
    with CallCounter() as counter:
        work(*arguments)
    return counter.calls


def full_site():
    """Return an entry VM whose engines have no free slot."""
    vm = World().start("a")
    for server in vm.directory.servers.values():
        vm.directory.condition(server.name).own_requests = server.slots
    return vm


def need(**fields):
    """Return the requirements of an item."""
    return ItemRequirements("lm", "m", 10_000.0, remaining_events=20.0, **fields)


def make_large_batch(world, items, events=2):
    """Return a batch of short items."""
    world.port.default_response = PlannedResponse(events)
    return world.batch("x", [events] * items, group_size=8)


class TestCallCounter:
    # Guards against callbacks of the garbage collector among the counted calls.
    def test_a_collection_is_not_counted(self):
        def callback(phase, info):
            pass

        def work():
            for _ in range(10 * gc.get_threshold()[0]):
                kept.append([])

        kept = []
        gc.callbacks.append(callback)
        try:
            assert count_calls(work) == count_calls(lambda: None)
        finally:
            gc.callbacks.remove(callback)


class TestPlacement:
    # Guards against a start that takes steps by the square of the items (review/6).
    def test_waiting_items_cost_the_same_each(self):
        async def scenario():
            calls = []
            for items in (500, 2_000):
                vm = full_site()
                with CallCounter() as counter:
                    for _ in range(items):
                        vm.placement.enqueue(need())
                calls.append(counter.calls)
                vm.stop()
            assert calls[1] / calls[0] < MAX_GROWTH

        run_virtual(scenario())

    # Guards against a pass, at each end of an item, over all that wait.
    @pytest.mark.parametrize("customers", [0, 3])
    def test_a_pass_costs_the_same_for_any_number_of_items(self, customers):
        async def scenario():
            calls = []
            for items in (200, 4_000):
                vm = full_site()
                for number in range(items):
                    customer = f"c{number % customers}" if customers else ""
                    vm.placement.enqueue(need(customer=customer))
                vm.placement.grant_servers()
                calls.append(count_calls(vm.placement.grant_servers))
                vm.stop()
            assert calls[1] == calls[0]

        run_virtual(scenario())

    # Guards against an end of a batch that looks for each item among all that wait.
    def test_a_cancelled_item_costs_the_same_for_any_number_of_items(self):
        async def scenario():
            calls = []
            for items in (500, 2_000):
                vm = full_site()
                acquiring = [
                    asyncio.create_task(vm.placement.acquire(need()))
                    for _ in range(items)
                ]
                await asyncio.sleep(0)
                with CallCounter() as counter:
                    for task in acquiring:
                        task.cancel()
                    await asyncio.sleep(0)
                    await asyncio.sleep(0)
                assert not len(vm.placement.waiting)
                calls.append(counter.calls)
                vm.stop()
            assert calls[1] / calls[0] < MAX_GROWTH

        run_virtual(scenario())

    def test_an_item_that_is_cancelled_in_the_queue_gets_no_server(self):
        """Guards against a slot that is given to an item which has ended."""

        async def scenario():
            vm = full_site()
            first = asyncio.create_task(vm.placement.acquire(need()))
            second = asyncio.create_task(vm.placement.acquire(need()))
            await asyncio.sleep(0)
            first.cancel()
            server = next(iter(vm.directory.ready("lm")))
            vm.placement.release(server)
            assert (await second).name == server.name

        run_virtual(scenario())


class TestGrantOrder:
    """Lines give the order that a pass over all waiting items gives."""

    @staticmethod
    def expected_order(waiters, room):
        """Go through all waiting items, customers taking turns."""
        used, granted, unmet = Counter(), [], set()
        has_customers = any(w.need.customer for w in waiters)
        queues = {}
        for waiter in sorted(waiters, key=lambda w: w.order):
            owner = waiter.need.customer if has_customers else ""
            queues.setdefault(owner, deque()).append(waiter)
        while queues:
            owner = min(
                queues,
                key=lambda o: (
                    used[o] + 1 if has_customers else 0,
                    queues[o][0].sort_key,
                ),
            )
            waiter = queues[owner].popleft()
            if not queues[owner]:
                del queues[owner]
            model = waiter.need.model
            if model in unmet:
                continue
            if room[model] > len([w for w in granted if w.need.model == model]):
                granted.append(waiter)
                used[waiter.need.customer] += 1
            else:
                unmet.add(model)
        return [waiter.sort_key for waiter in granted]

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 5),
                st.sampled_from(["m", "n", "o"]),
                st.sampled_from(["", "c", "d"]),
                st.integers(0, 1),
            ),
            max_size=30,
        ),
        st.fixed_dictionaries({m: st.integers(0, 8) for m in "mno"}),
    )
    def test_it_is_that_of_a_pass_over_all_items(self, items, room):
        async def scenario():
            waiting, order = WaitingItems(), CustomerOrder(NoSlotLimits())
            waiters = []
            for number, (start_ms, model, customer, priority) in enumerate(items):
                requirements = replace(
                    need(customer=customer, priority=priority), model=model
                )
                waiter = Waiter((float(start_ms), number), requirements, 0.0)
                waiting.add(waiter, (model,))
                waiters.append(waiter)
            granted = []
            left = Counter(room)
            for line in order.arrange(waiting.update(0.0)):
                waiter = line.first()
                if not left[waiter.need.model]:
                    continue
                left[waiter.need.model] -= 1
                waiting.remove(waiter)
                order.begin(waiter.need)
                granted.append(waiter.sort_key)
            assert granted == self.expected_order(waiters, room)

        asyncio.run(scenario())

    def test_items_that_waited_long_are_forced_in_their_order(self):
        async def scenario():
            waiting = WaitingItems()
            early = Waiter((2.0, 0), need(), 0.0)
            late = Waiter((1.0, 1), need(), FORCE_AFTER_MS)
            for waiter in (early, late):
                waiting.add(waiter, ())
            lines = waiting.update(FORCE_AFTER_MS + 1)
            assert [(line.forced, line.first()) for line in lines] == [
                (False, late),
                (True, early),
            ]

        asyncio.run(scenario())


class TestStart:
    # Guards against thousands of items that begin in one go of the event loop.
    def test_few_items_start_in_one_turn(self):
        async def scenario():
            world = World()
            vm = world.start("a")
            await world.clock.sleep_ms(500)
            batch = make_large_batch(world, 2_000, events=3_000)
            assert await vm.batches.submit(batch) is None
            holder = vm.ownership.holders["x"]
            started, turns = len(holder.item_states), 0
            while len(holder.item_states) < MAX_WAITING:
                await asyncio.sleep(0)
                turns += 1
                assert len(holder.item_states) - started <= ITEMS_PER_TURN
                started = len(holder.item_states)
            assert turns >= MAX_WAITING / ITEMS_PER_TURN - 1
            await world.clock.sleep_ms(1_000)
            slots = sum(s.slots for s in vm.directory.ready("lm"))
            assert len(holder.item_states) <= MAX_WAITING + slots

        run_virtual(scenario())

    # Guards against items of one service that keep those of another from their start.
    def test_a_service_without_servers_holds_up_no_other(self):
        async def scenario():
            split = configuration()
            routes = tuple(
                replace(route, targets=(Target("lm", 1), Target("away", 1)), attempts=3)
                if route.name == "batch"
                else route
                for route in split.routes
            )
            world = World(site_configuration=replace(split, routes=routes))
            vm = world.start("a")
            await world.clock.sleep_ms(500)
            batch = make_large_batch(world, 4 * MAX_WAITING)
            await vm.batches.submit(batch)
            await world.clock.sleep_ms(15_000)
            placed = sum(
                len(server.started_request_ids)
                for server in world.port.servers.values()
            )
            assert placed > 1.5 * MAX_WAITING

        run_virtual(scenario())

    # Guards against a batch that never ends, as the task that starts its items failed.
    def test_a_failed_start_is_repeated(self, monkeypatch):
        async def scenario():
            world = World()
            vm = world.start("a")
            await world.clock.sleep_ms(500)
            lane_of, calls = ItemStarts.lane_of, 0

            def fail_once(starts, item):
                nonlocal calls
                calls += 1
                if calls == 20:
                    raise ZeroDivisionError
                return lane_of(starts, item)

            monkeypatch.setattr(ItemStarts, "lane_of", fail_once)
            await vm.batches.submit(make_large_batch(world, 100))
            assert len(await read_all(vm, "x", 100)) == 100

        run_virtual(scenario())

    def test_all_items_of_a_large_batch_get_results(self):
        async def scenario():
            world = World()
            vms = [world.start(name) for name in ("a", "b")]
            await world.clock.sleep_ms(500)
            batch = make_large_batch(world, 2_000)
            await vms[0].batches.submit(batch)
            results = await read_all(vms[1], "x", 2_000, timeout_ms=120_000)
            assert {r.item_id for r in results} == {i.item_id for i in batch.items}
            assert all(result.succeeded for result in results)

        run_virtual(scenario())

    # Guards against items that are lost with their holder before they started.
    def test_a_new_holder_runs_items_that_had_not_started(self):
        async def scenario():
            world = World()
            vms = [world.start(name) for name in ("a", "b")]
            await world.clock.sleep_ms(500)
            await vms[0].batches.submit(make_large_batch(world, 1_500, events=6))
            await world.clock.sleep_ms(2_000)
            (holder,) = [vm for vm in vms if vm.ownership.holders]
            other = vms[1 - vms.index(holder)]
            holder.stop()
            results = await read_all(other, "x", 1_500, timeout_ms=180_000)
            assert len({result.item_id for result in results}) == 1_500

        run_virtual(scenario())


class TestRows:
    # Guards against a row that is larger than the store takes.
    def test_all_rows_of_a_large_batch_fit(self):
        async def scenario():
            world = World()
            batch = world.batch("x", [1] * 30_000)
            hashes = await rows.encode_item_hashes("x", batch.items, ROW_BYTES)
            items = await rows.encode_items("x", batch.items, ROW_BYTES)
            assert max(len(put.value) for put in [*hashes, *items]) <= ROW_BYTES
            world.data.apply([], [*hashes, *items])
            vm = world.start("a")
            stored = await vm.ownership.repository.item_hashes("x")
            assert stored.ok_value == {rows.item_hash(i.item_id) for i in batch.items}
            assert (await vm.ownership.repository.items("x")).ok_value == batch.items

        run_virtual(scenario())

    # Guards against a page of results for which all further ones are read.
    def test_listing_reads_each_result_about_once(self):
        async def scenario():
            world = World()
            vm = world.start("a")
            total = 4_000
            for first in range(0, total, 40):
                puts = [
                    put
                    for n in range(first, first + 40)
                    for put in rows.encode_result(
                        "x", n, ItemResult(f"i{n}", True, "t" * 900), ROW_BYTES
                    )
                ]
                world.data.apply([], puts)
            read_rows = count_read_rows(vm.store)
            position = 0
            while position < total:
                page = await vm.ownership.repository.next_results("x", position)
                results = page.ok_value
                assert [r.item_id for r in results] == [
                    f"i{position + n}" for n in range(len(results))
                ]
                position += len(results)
            assert read_rows[0] < 1.2 * total

        run_virtual(scenario())

    @pytest.mark.parametrize("size", [10, 60_000, 200_000, 1_500_000])
    def test_a_page_ends_with_a_whole_result(self, size):
        """Guards against a result whose rows go beyond a response of the store."""

        async def scenario():
            world = World()
            vm = world.start("a")
            texts = [str(n) * size for n in range(8)]
            for n, text in enumerate(texts):
                result = ItemResult(f"i{n}", True, text)
                world.data.apply([], rows.encode_result("x", n, result, ROW_BYTES))
            read = []
            while len(read) < len(texts):
                page = await vm.ownership.repository.next_results("x", len(read))
                assert page.ok_value
                read += page.ok_value
            assert [result.text for result in read] == texts

        run_virtual(scenario())


def count_read_rows(store: MemoryRowStore) -> list[int]:
    """Count the rows that a store returns from now on."""
    counts = [0]
    find_rows = store.data.find_rows

    def counted(*arguments):
        found = find_rows(*arguments)
        counts[0] += len(found)
        return found

    store.data.find_rows = counted
    return counts


class TestDecoding:
    # Guards against a submission whose reading holds up everything else.
    def test_other_work_runs_beside_the_decoding_of_a_batch(self):
        async def scenario():
            items = [{"Id": f"i{n}", "Path": "/a"} for n in range(5_000)]
            body = json.dumps({"Items": items}).encode()
            turns = 0

            async def count_turns():
                nonlocal turns
                while True:
                    await asyncio.sleep(0)
                    turns += 1

            counting = asyncio.create_task(count_turns())
            batch = await decode_batch(body, "b", "r", "h", 0)
            counting.cancel()
            assert len(batch.items) == 5_000
            assert turns >= 40

        asyncio.run(scenario())

    @given(st.lists(st.integers(), max_size=20), st.integers(1, 25))
    def test_turns_have_all_values_in_order(self, values, per_turn):
        async def collect():
            return [v async for some in in_turns(values, per_turn) for v in some]

        assert asyncio.run(collect()) == values
