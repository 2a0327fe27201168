"""Tests of table followers during outages of the store and under load."""

import asyncio
import random

import msgspec
import pytest

from ebonylb.leases import Lease
from ebonylb.leases.table import TABLE as ORDERS_TABLE
from ebonylb.storage.feed_pause import MAX_LISTING_PAUSE_MS, feed_pause_ms
from ebonylb.storage.follower import TableFollower, TableReader
from ebonylb.storage.store_time import StoreTime
from ebonylb_standins.histories.virtual_time import LoopClock, run_virtual
from ebonylb_standins.site.row_store import MemoryRowStore, StoreData
from ebonylb_standins.site.world import World


class KeyReader(TableReader):
    """Stores the keys of a table."""

    def __init__(self):
        self.keys = set()

    def replace_rows(self, rows):
        self.keys = {row.row_key.key for row in rows}

    def change_rows(self, rows):
        self.keys |= {row.row_key.key for row in rows}


class TestOutages:
    @pytest.mark.parametrize("down_ms", range(2_000, 9_000, 370))
    def test_recovery_of_a_silent_store_is_detected_within_a_second(self, down_ms):
        """Guards against weights and batches that are seen late after an outage.

        The store does not respond for seconds and then recovers. A feed call that waits
        for changes times out only after 1.8 s, so that up to 2.4 s passed until the
        recovery was detected. The timeout can't be much shorter, because a store slowed
        down 60 times responds after 240 ms.
        """

        async def scenario():
            data, clock = StoreData(), LoopClock()
            store, reader = MemoryRowStore(data, clock), KeyReader()
            follower = TableFollower(store, clock, "t", reader, StoreTime(clock))
            task = asyncio.create_task(follower.run())
            await clock.sleep_ms(500)
            store.faults.silent = True
            await clock.sleep_ms(down_ms)
            store.faults.silent = False
            data.put("t", "new", b"1")
            recovered_ms = clock.monotonic_ms()
            while "new" not in reader.keys:
                await clock.sleep_ms(10)
            task.cancel()
            return clock.monotonic_ms() - recovered_ms

        # The first call during the outage waits until its timeout.
        first_call_ms = max(0, 1_800 - down_ms)
        assert run_virtual(scenario()) <= 1_000 + first_call_ms

    def test_retries_of_many_followers_are_spread(self):
        """Guards against simultaneous calls of all entry VMs at a recovery."""
        call_times_ms = []

        async def scenario():
            data, clock = StoreData(), LoopClock()
            stores = [MemoryRowStore(data, clock) for _ in range(40)]
            tasks = []
            for store in stores:
                store.changes = record_calls(store.changes, call_times_ms, clock)
                follower = TableFollower(
                    store, clock, "t", KeyReader(), StoreTime(clock)
                )
                tasks.append(asyncio.create_task(follower.run()))
            await clock.sleep_ms(500)
            for store in stores:
                store.faults.silent = True
            await clock.sleep_ms(8_000)
            for task in tasks:
                task.cancel()

        random.seed(1)
        run_virtual(scenario())
        retry_times_ms = [start_ms for start_ms in call_times_ms if start_ms > 5_000]
        max_calls_in_50_ms = max(
            sum(start_ms <= time_ms < start_ms + 50 for time_ms in retry_times_ms)
            for start_ms in retry_times_ms
        )
        assert max_calls_in_50_ms <= 20


def record_calls(changes, call_times_ms, clock):
    async def call(*arguments):
        call_times_ms.append(clock.monotonic_ms())
        return await changes(*arguments)

    return call


class TestFeedPause:
    """Tables that change continuously and are read by every entry VM."""

    # The platform's store serves 2,000 reads/s, and three tables change continuously.
    READS_PER_S, TABLES = 2_000, 3

    @pytest.mark.parametrize("vms, servers", [(30, 300), (99, 999)])
    def test_reads_of_all_entry_vms_stay_within_the_store_limit(self, vms, servers):
        """Guards against delayed feeds because the store receives too many calls.

        With 99 entry VMs and 999 servers, one entry VM learned that a server was
        leaving 3.9 s late.
        """
        call_times_ms = []

        async def scenario():
            world = World(engines=3, plain_services=servers - 3)
            vm = world.start("a")
            vm.store.changes = record_calls(
                vm.store.changes, call_times_ms, world.clock
            )
            await world.clock.sleep_ms(500)
            row = msgspec.json.encode(Lease("b", "b-1", 1))
            call_times_ms.clear()
            for _ in range(500):
                world.data.put(ORDERS_TABLE, "group-00", row)
                await world.clock.sleep_ms(10)

        run_virtual(scenario())
        # Two other tables are read once a second each.
        calls_per_s = len(call_times_ms) / 5 - 2
        assert 1 < calls_per_s <= self.READS_PER_S / self.TABLES / vms

    @pytest.mark.parametrize("servers", [0, 30, 340, 12_000])
    def test_listing_pause_is_well_below_the_drain_deadline(self, servers):
        """Guards against new work on a leaving server more than 2.5 s after listing."""
        assert feed_pause_ms(servers, MAX_LISTING_PAUSE_MS) <= 2_500 / 3
