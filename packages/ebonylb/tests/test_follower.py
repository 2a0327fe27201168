"""Local copies of the store's tables, through its outages."""

import asyncio
import random

import pytest

from ebonylb.storage.follower import TableFollower, TableReader
from ebonylb.storage.store_time import StoreTime
from ebonylb_standins.histories.virtual_time import LoopClock, run_virtual
from ebonylb_standins.site.row_store import MemoryRowStore, StoreData


class KeyReader(TableReader):
    """Keeps the keys of a table."""

    def __init__(self):
        self.keys = set()

    def replace_rows(self, rows):
        self.keys = {row.at.key for row in rows}

    def change_rows(self, rows):
        self.keys |= {row.at.key for row in rows}


class TestOutages:
    @pytest.mark.parametrize("down_ms", range(2_000, 9_000, 370))
    def test_the_return_of_a_silent_store_is_noticed_within_a_second(self, down_ms):
        """Pattern: the store gives no answers for seconds, then returns.

        Guards against weights and batches that are seen late: a feed call that waits
        for changes is given up after 1.8 s only, and up to 2.4 s passed. A store slowed
        sixtyfold answers after 240 ms, so that calls cannot be given up much earlier.
        """

        async def scenario():
            data, clock = StoreData(), LoopClock()
            store, reader = MemoryRowStore(data, clock), KeyReader()
            follower = TableFollower(store, clock, "t", reader, StoreTime(clock))
            following = asyncio.create_task(follower.run())
            await clock.sleep_ms(500)
            store.faults.silent = True
            await clock.sleep_ms(down_ms)
            store.faults.silent = False
            data.put("t", "new", b"1")
            returned = clock.monotonic_ms()
            while "new" not in reader.keys:
                await clock.sleep_ms(10)
            following.cancel()
            return clock.monotonic_ms() - returned

        # While the first call that met the silence still waits, nothing can be known.
        first_call_ms = max(0, 1_800 - down_ms)
        assert run_virtual(scenario()) <= 1_000 + first_call_ms

    def test_calls_of_many_copies_do_not_come_together(self):
        """Guards against a store that returns to the calls of all entry VMs at once."""
        asked = []

        async def scenario():
            data, clock = StoreData(), LoopClock()
            stores = [MemoryRowStore(data, clock) for _ in range(40)]
            following = []
            for store in stores:
                store.changes = counted(store.changes, asked, clock)
                follower = TableFollower(
                    store, clock, "t", KeyReader(), StoreTime(clock)
                )
                following.append(asyncio.create_task(follower.run()))
            await clock.sleep_ms(500)
            for store in stores:
                store.faults.silent = True
            await clock.sleep_ms(8_000)
            for task in following:
                task.cancel()

        random.seed(1)
        run_virtual(scenario())
        late = [at for at in asked if at > 5_000]
        busiest = max(sum(at <= other < at + 50 for other in late) for at in late)
        assert busiest <= 20


def counted(changes, asked, clock):
    async def call(*arguments):
        asked.append(clock.monotonic_ms())
        return await changes(*arguments)

    return call
