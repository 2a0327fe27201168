"""Tests of followers on a store that rejects calls beyond its rate.

They answer a pattern of large fleets: all entry VMs start together, or each of them
follows tables that change all the time.
"""

import asyncio
import random

import pytest
from result import Err

from ebonylb.interfaces.row_store import StoreBusyError
from ebonylb.storage.feed_pause import MAX_FEED_PAUSE_MS, feed_pause_ms
from ebonylb.storage.follower import TableFollower, TableReader
from ebonylb.storage.store_time import StoreTime
from ebonylb.storage.table_read import TableRead
from ebonylb_standins.histories.virtual_time import LoopClock, run_virtual
from ebonylb_standins.site.row_store import MemoryRowStore, StoreData

RECOVERY_MS = 12_000  # in which the users expect service after a loss of all entry VMs
SERVERS, PARTITIONS, GROUPS = 3_000, 8, 64
# A fifth of 300 entry VMs and of the store's 2,000 reads a second.
ENTRY_VMS, READS_PER_S = 60, 400
BURST_READS = 40


class ReadBudget:
    """Reads that a store still accepts, refilled at a steady rate."""

    def __init__(self, clock, reads_per_s, burst):
        self.clock, self.reads_per_s, self.burst = clock, reads_per_s, burst
        self.left, self.updated_ms = burst, clock.monotonic_ms()
        self.accepted = self.rejected = 0

    def take(self):
        now_ms = self.clock.monotonic_ms()
        refill = (now_ms - self.updated_ms) / 1000 * self.reads_per_s
        self.left, self.updated_ms = min(self.burst, self.left + refill), now_ms
        if self.left < 1:
            self.rejected += 1
            return False
        self.left -= 1
        self.accepted += 1
        return True


class LimitedStore(MemoryRowStore):
    """Access of one entry VM to a store with one budget for all."""

    def __init__(self, data, clock, budget):
        super().__init__(data, clock)
        self.budget = budget

    async def limited(self, call):
        if self.budget.take():
            return await call
        call.close()
        await self.clock.sleep_ms(self.faults.delay_ms)
        return Err(StoreBusyError("store", "memory", "too many calls", False))

    async def read_page(self, table, part="", start="", end=""):
        return await self.limited(super().read_page(table, part, start, end))

    async def read_parts(self, table):
        return await self.limited(super().read_parts(table))

    async def changes(self, table, after, wait_ms):
        return await self.limited(super().changes(table, after, wait_ms))


class CountingReader(TableReader):
    """Counts the rows of a table."""

    def __init__(self):
        self.keys = set()

    def replace_rows(self, rows):
        self.keys = {row.row_key for row in rows}

    def change_rows(self, rows):
        self.keys |= {row.row_key for row in rows}


def make_data():
    data = StoreData()
    for number in range(SERVERS):
        data.put("servers", f"i-{number:05d}", b"row")
    for number in range(GROUPS):
        data.put("orders", f"group-{number:02d}", b"row")
    for number in range(PARTITIONS):
        data.put("batches", "b", b"row", f"p{number}")
    data.put("op", "config", b"row")
    return data


def start_followers(store, clock, pause_ms=lambda: MAX_FEED_PAUSE_MS):
    """Start the followers of one entry VM; return them by table with their tasks."""
    followers = {
        table: TableFollower(
            store,
            clock,
            table,
            CountingReader(),
            StoreTime(clock),
            pause_ms,
            partitioned=table == "batches",
        )
        for table in ("op", "servers", "batches", "orders", "strikes")
    }
    tasks = [asyncio.create_task(follower.run()) for follower in followers.values()]
    return followers, tasks


class TestStart:
    """All entry VMs were killed and read every table at once."""

    def test_all_entry_vms_have_read_all_tables_in_time(self):
        """Guards against reads that start over after each rejected call."""

        async def scenario():
            data, clock = make_data(), LoopClock()
            budget = ReadBudget(clock, READS_PER_S, BURST_READS)
            started = [
                start_followers(LimitedStore(data, clock, budget), clock)
                for _ in range(ENTRY_VMS)
            ]
            followers = [f for one, _ in started for f in one.values()]
            await clock.sleep_ms(RECOVERY_MS)
            unread = sum(not follower.loaded.is_set() for follower in followers)
            for _, tasks in started:
                for task in tasks:
                    task.cancel()
            for one, _ in started:
                assert len(one["servers"].reader.keys) == SERVERS
                assert len(one["batches"].reader.keys) == PARTITIONS
            return unread

        random.seed(1)
        assert run_virtual(scenario()) == 0


class TestSteadyState:
    """Each entry VM follows tables that change always, beyond the store's rate."""

    def test_rejected_followers_call_less_often(self):
        """Guards against a fleet whose feeds are rejected more often than answered."""

        async def scenario():
            data, clock = make_data(), LoopClock()
            budget = ReadBudget(clock, READS_PER_S * 1.2, BURST_READS)
            started = [
                start_followers(LimitedStore(data, clock, budget), clock)
                for _ in range(ENTRY_VMS)
            ]
            await clock.sleep_ms(RECOVERY_MS)
            before = budget.accepted, budget.rejected
            oldest_ms = 0.0
            for number in range(1_000):
                table = ("servers", "batches", "orders")[number % 3]
                part = "p1" if table == "batches" else ""
                data.put(table, f"changing-{number % 7}", b"row", part)
                await clock.sleep_ms(10)
                ages_ms = [
                    clock.monotonic_ms() - follower.confirmed_ms
                    for one, _ in started
                    for follower in one.values()
                ]
                oldest_ms = max(oldest_ms, *ages_ms)
            for _, tasks in started:
                for task in tasks:
                    task.cancel()
            accepted = budget.accepted - before[0]
            rejected = budget.rejected - before[1]
            return rejected / (accepted + rejected), oldest_ms

        random.seed(1)
        rejected_share, oldest_ms = run_virtual(scenario())
        assert rejected_share < 0.25
        # Entry VMs that hear nothing for this time are not ready.
        assert oldest_ms < 2_500

    @pytest.mark.parametrize(("busy_ms", "is_outage"), [(500, False), (4_000, True)])
    def test_only_lasting_rejections_are_an_outage(self, busy_ms, is_outage):
        """Guards against holders that are taken for silent from rows that are old.

        A store that rejects a call now and then is up; one that rejects all calls of
        this entry VM for seconds tells it nothing about the other ones.
        """

        async def scenario():
            data, clock = make_data(), LoopClock()
            budget = ReadBudget(clock, 1_000, BURST_READS)
            followers, tasks = start_followers(LimitedStore(data, clock, budget), clock)
            await clock.sleep_ms(1_000)
            data.put("op", "config", b"new")  # ends the call that waits for changes
            budget.left, budget.reads_per_s = 0, 0
            await clock.sleep_ms(busy_ms)
            follower = followers["op"]
            assert follower.busy_factor > 1
            assert (follower.healthy_since_ms is None) is is_outage
            budget.reads_per_s = 1_000
            await clock.sleep_ms(1_500)
            assert follower.healthy_since_ms is not None
            for task in tasks:
                task.cancel()

        run_virtual(scenario())


class TestTableRead:
    @pytest.mark.parametrize("failing_call", range(1, 14))
    def test_a_failed_call_keeps_the_pages_before(self, failing_call):
        """Any of the calls is rejected once; no other call is made twice."""

        async def scenario():
            data, clock = make_data(), LoopClock()
            for number in range(700):
                data.put("batches", f"c-{number}", b"row", "p3")
            budget = ReadBudget(clock, 1e9, 1e9)
            store = LimitedStore(data, clock, budget)
            reads = [
                TableRead(store, "servers", False, clock),
                TableRead(store, "batches", True, clock),
            ]
            calls = 0
            original = budget.take

            def take():
                nonlocal calls
                calls += 1
                return calls != failing_call and original()

            budget.take = take
            sizes = []
            for read in reads:
                result = await read.run()
                if isinstance(result, Err):
                    result = await read.run()
                sizes.append(len({row.row_key for row in result.ok_value.rows}))
                assert len(result.ok_value.rows) == sizes[-1]
            assert sizes == [SERVERS, PARTITIONS + 700]
            return calls

        pages = 6 + 1 + 1 + PARTITIONS + 1
        assert run_virtual(scenario()) <= pages + 2

    def test_changes_during_the_read_are_repeated_by_the_feed(self):
        async def scenario():
            data, clock = make_data(), LoopClock()
            store = MemoryRowStore(data, clock)
            read = TableRead(store, "servers", False, clock)
            task = asyncio.create_task(read.run())
            await clock.sleep_ms(6)
            data.put("servers", "i-00000", None)
            page = (await task).ok_value
            changes = (await store.changes("servers", page.version, 0)).ok_value
            assert [row.row_key.key for row in changes.rows] == ["i-00000"]

        run_virtual(scenario())


class TestFeedPause:
    def test_the_pause_grows_with_the_servers_up_to_its_limit(self):
        assert feed_pause_ms(0) < feed_pause_ms(500) < feed_pause_ms(3_000)
        assert feed_pause_ms(3_000) == MAX_FEED_PAUSE_MS
