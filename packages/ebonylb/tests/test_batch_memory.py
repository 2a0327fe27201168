"""Memory that open batches may take."""

import asyncio
import math

import pytest

from ebonylb.adapters.memory_metrics import InMemoryMetrics
from ebonylb.batches import Batch, BatchMemory, ItemResult, recent_results
from ebonylb.batches.batch_memory import (
    ITEM_BYTES,
    UNKNOWN_ITEM_BYTES,
    measure_items,
    memory_of,
    text_bytes_of,
)
from ebonylb.batches.recent_results import MAX_BYTES, RESULT_BYTES, RecentResults
from ebonylb.service.held_bytes import HeldBytes
from ebonylb_standins.histories.virtual_time import LoopClock, run_virtual
from ebonylb_standins.site.world import World, read_all

MEMORY_BYTES = 170_000_000
FREE_BYTES = 110_000_000


class TestSizes:
    def test_items_count_with_their_texts(self):
        async def scenario():
            world = World()
            items = world.batch("b", [4] * 3).items
            texts = sum(len(i.body) + len(i.target) + len("Hostsite") for i in items)
            assert measure_items(items) == 3 * ITEM_BYTES + texts

        run_virtual(scenario())

    def test_a_batch_of_an_earlier_version_is_estimated(self):
        async def scenario():
            header = World().batch("b", [4] * 3).header
            assert memory_of(header) == text_bytes_of(header) == 3 * UNKNOWN_ITEM_BYTES

        run_virtual(scenario())


class TestRoom:
    def make(self, memory_bytes=MEMORY_BYTES):
        held = HeldBytes(None, InMemoryMetrics(), memory_bytes, lambda: math.inf)
        return held, BatchMemory(held)

    def test_without_a_limit_everything_has_room(self):
        _, memory = self.make(0)
        assert memory.may_accept(10**12)
        with memory.hold(10**12):
            assert memory.may_accept(10**12)
            assert memory.may_take_over(10**12)

    @pytest.mark.parametrize(
        "taken, accepted, taken_over",
        [(0, 0.5, 0.5), (1_000_000, 0.3, 0.45), (30_000_000, 0.3, 0.45)],
    )
    def test_a_batch_that_was_accepted_has_more_room_than_a_new_one(
        self, taken, accepted, taken_over
    ):
        _, memory = self.make()
        with memory.hold(taken):
            for decide, share in (
                (memory.may_accept, accepted),
                (memory.may_take_over, taken_over),
            ):
                rest = round(share * FREE_BYTES) - taken
                assert decide(rest)
                assert not decide(rest + 1)

    # Guards against bodies of requests that are read while batches take the memory.
    def test_batches_leave_less_room_for_bodies(self):
        held, memory = self.make()
        size = round(held.limit_bytes)
        assert held.has_room(size)
        with memory.hold(round(held.max_bytes) - size + 1):
            assert not held.has_room(size)
            assert held.has_room(size - 1)
        assert held.has_room(size)
        assert held.total == 0

    # Guards against batches that are all read at once by a process that starts again.
    def test_batches_are_read_one_after_the_other_where_there_is_no_room(self):
        async def scenario():
            clock = LoopClock()
            held, memory = self.make()
            header = World().batch("b", [4] * 3).header
            header = replace_header(header, held_bytes=3 * ITEM_BYTES + 30_000_000)
            most, now = 0, 0

            async def read():
                nonlocal most, now
                async with memory.reading(header, clock):
                    now += 1
                    most = max(most, now)
                    await clock.sleep_ms(100)
                    now -= 1

            await asyncio.gather(*(read() for _ in range(3)))
            assert (most, memory.reads, held.total) == (1, 0, 0)
            with memory.hold(60_000_000):
                await read()
            header = replace_header(header, held_bytes=3 * ITEM_BYTES + 10_000_000)
            await asyncio.gather(*(read() for _ in range(3)))
            assert most == 3

        run_virtual(scenario())


class TestEntryVms:
    def test_a_batch_goes_to_the_entry_vm_that_has_room(self):
        async def scenario():
            world = World()
            for name in ("a", "b"):
                vm = world.start(name)
                vm.ownership.memory.free_bytes = 10_000.0
            await world.clock.sleep_ms(500)
            first, second = world.vms["a"], world.vms["b"]
            for number, (vm, size) in enumerate(((first, 2_900), (second, 200))):
                assert await vm.batches.submit(self.batch(world, number, size)) is None
                await world.clock.sleep_ms(300)
            holders = [
                first.progress_view.get(f"x{number}").holder for number in range(2)
            ]
            assert holders == ["a", "b"]

        run_virtual(scenario())

    # Guards against a batch that is accepted by an entry VM which it would end.
    def test_a_batch_without_room_is_refused_as_not_run(self):
        async def scenario():
            world = World()
            vm = world.start("a")
            vm.ownership.memory.free_bytes = 10_000.0
            await world.clock.sleep_ms(500)
            refusal = await vm.batches.submit(self.batch(world, 0, 5_001))
            assert (refusal.reason, refusal.outcome) == ("memory", "not_run")
            assert refusal.retry_after_ms is not None
            assert not any(k.key.startswith("x0") for k in world.data.rows)
            assert await vm.batches.submit(self.batch(world, 1, 2_900)) is None
            assert await vm.batches.submit(self.batch(world, 2, 200)) is not None

        run_virtual(scenario())

    # Guards against an entry VM that takes over more batches than it has room for.
    def test_batches_of_a_lost_entry_vm_go_where_there_is_room(self):
        async def scenario():
            world = World()
            vms = [world.start(name) for name in ("a", "b", "c")]
            for vm, free_bytes in zip(vms, (1e5, 1e4, 1e5), strict=True):
                vm.ownership.memory.free_bytes = free_bytes
            await world.clock.sleep_ms(500)
            for number in range(3):
                batch = self.batch(world, number, 4_400)
                assert await vms[0].batches.submit(batch) is None
            await world.clock.sleep_ms(300)
            vms[0].stop()
            await world.clock.sleep_ms(4_000)
            holders = [vms[2].progress_view.get(f"x{n}").holder for n in range(3)]
            assert holders.count("b") <= 1
            assert set(holders) <= {"b", "c"}

        run_virtual(scenario())

    def batch(self, world, number, held_bytes):
        batch = world.batch(f"x{number}", [400] * 4)
        return Batch(
            replace_header(batch.header, held_bytes=held_bytes),
            batch.items,
        )


def replace_header(header, **fields):
    """Return a header with other fields."""
    return type(header)(
        **{n: getattr(header, n) for n in header.__struct_fields__} | fields
    )


class TestResults:
    def result(self, number, size):
        return ItemResult(f"i{number}", True, "x" * size, (1,))

    def test_the_last_results_are_kept(self):
        results = RecentResults()
        results.extend(self.result(n, 100_000) for n in range(50))
        kept = MAX_BYTES // (100_000 + RESULT_BYTES)
        assert (len(results.results), results.first) == (kept, 50 - kept)
        assert [r.item_id for r in results.since(48)] == ["i48", "i49"]
        assert results.since(50 - kept)[0].item_id == f"i{50 - kept}"
        assert results.since(50 - kept - 1) == results.since(50) == []

    def test_one_large_result_is_kept(self):
        results = RecentResults()
        results.extend([self.result(0, 5), self.result(1, 3 * MAX_BYTES)])
        assert [r.item_id for r in results.since(1)] == ["i1"]

    # Guards against a holder whose memory grows with all texts of its batch, and which
    # reads them all when it takes the batch over.
    def test_texts_that_are_not_kept_are_read_from_the_store(self, monkeypatch):
        monkeypatch.setattr(recent_results, "MAX_BYTES", 4_000)

        async def scenario():
            world = World()
            vms = [world.start(name) for name in ("a", "b")]
            await world.clock.sleep_ms(500)
            assert await vms[0].batches.submit(world.batch("b", [20] * 40)) is None
            await read_all(vms[0], "b", 10)
            before = (await vms[0].batches.read("b", 0, 0)).ok_value.results
            vms[0].stop()
            await world.clock.sleep_ms(4_000)
            holder = vms[1].ownership.holders.get("b")
            assert holder is None or holder.results.size <= 4_000 + 2 * RESULT_BYTES
            after = await read_all(vms[1], "b", 40)
            assert after[: len(before)] == before
            assert len({r.item_id for r in after}) == 40

        run_virtual(scenario())
