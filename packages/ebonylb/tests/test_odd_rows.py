"""Tests of rows that other writers have left: each one costs itself alone.

The load pattern: an entry with values that no page names appears among sound ones and
stays, while servers join, entry VMs start and callers ask.
"""

import asyncio
import json

import msgspec
import pytest
from result import Err

from ebonylb.fleet import ServerDirectory
from ebonylb.interfaces.row_store import RowKey, StoredRow
from ebonylb.platform.row_decoding import (
    decode_server,
)
from ebonylb.service.table_readers import ServerReader
from ebonylb.storage.follower import TableFollower, TableReader
from ebonylb.storage.store_time import StoreTime
from ebonylb_standins.histories.virtual_time import LoopClock, run_virtual
from ebonylb_standins.site.row_store import MemoryRowStore, StoreData
from ebonylb_standins.site.stream_caller import Caller
from ebonylb_standins.site.world import World, read_all

DIGITS = int("9" * 400)
DEEP = b"[" * 2_000 + b"]" * 2_000
SOUND = {
    "Service": "lm",
    "Address": "10.0.0.1:80",
    "Zone": "north",
    "Version": "v1",
    "Slots": 4,
    "State": "ready",
    "ColdRemainingMs": 0,
    "born": 5,
    "Models": [{"Name": "m", "Version": 1}],
}


def row(value, key="s", table="servers", version=1):
    """Return a stored row; a value that is no bytes is encoded as JSON."""
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return StoredRow(RowKey(table, "", key), data, version)


def nested(field=b"Other"):
    """Return a sound entry with lists nested deeply in a field that no page names."""
    sound = json.dumps(SOUND).encode()
    return sound[:-1] + b',"' + field + b'":' + DEEP + b"}"


class TestServerEntries:
    # Guards against an entry that ends the following of the list (review/8).
    def test_deeply_nested_lists_cost_their_entry_alone(self):
        directory = ServerDirectory(LoopClock())
        reader = ServerReader(decode_server, directory)
        asyncio.run(self.apply(reader))
        assert set(directory.servers) == {"a", "b"}
        assert len(reader.unreadable) == 1

    @staticmethod
    async def apply(reader):
        reader.replace_rows([row(SOUND, "a"), row(nested(), "odd")])
        reader.change_rows([row(nested(), "odd"), row(SOUND, "b")])


ODD_VALUES = [
    b"",
    b"\xff",
    DEEP,
    b"\x91" * 5_000,
    msgspec.msgpack.encode([DIGITS % 2**63] * 8),
    json.dumps({"x": 1}).encode(),
    json.dumps([DIGITS]).encode(),
    b"\xc0",
    b'"\xed\xa0\x80"',
]
FOLLOWED_TABLES = [
    "entry-vms",
    "limits",
    "leases",
    "batches",
    "strikes",
    "service-versions",
    "stream-origins",
]


class TestOwnTables:
    # Guards against an odd row in a table of ours that ends a task for good.
    @pytest.mark.parametrize("table", FOLLOWED_TABLES)
    def test_entry_vms_serve_beside_odd_rows(self, table):
        async def scenario():
            world = World()
            first = world.start("a")
            await world.clock.sleep_ms(500)
            for number, value in enumerate(ODD_VALUES):
                for part in ("", "p1"):
                    world.data.put(table, f"odd-{number}", value, part)
                    world.data.put(table, f"odd.{number}.0000", value, part)
            await world.clock.sleep_ms(1_500)
            second = world.start("b")
            await world.clock.sleep_ms(1_500)
            assert "b" in first.entry_vms.known
            assert "a" in second.entry_vms.known
            for number, vm in enumerate((first, second)):
                batch = world.batch(f"x{number}", [4] * 8)
                assert await vm.batches.submit(batch) is None
                assert await read_all(vm, f"x{number}", 8)
                caller = Caller(world, f"q{number}")
                await caller.read(vm)
                assert caller.events

        run_virtual(scenario())

    def test_an_odd_row_of_a_batch_costs_the_calls_that_need_it(self):
        """Guards against an exception for a caller who reads such a batch."""

        async def scenario():
            world = World()
            vm = world.start("a")
            await world.clock.sleep_ms(500)
            for table, key in (
                ("batches", "odd"),
                ("batch-items", "odd/items.0000"),
                ("batch-results", "odd/00000000.0000"),
                ("batch-partials", "odd/i.000000"),
            ):
                for number in range(8):
                    world.data.put(table, key, b"\xc1", f"p{number}")
            repository = vm.ownership.repository
            for read in (
                repository.progress("odd"),
                repository.items("odd"),
                repository.results("odd", 0),
                repository.next_results("odd", 0),
                repository.partials("odd"),
            ):
                assert isinstance(await read, Err)
            assert isinstance(await vm.batches.read("odd", 0, 0), Err)

        run_virtual(scenario())


class RejectingReader(TableReader):
    """Fails for the rows of one key, as a reader with a fault of its own."""

    def __init__(self):
        self.keys, self.rejected = set(), []

    def replace_rows(self, rows):
        self.keys = set()
        self.change_rows(rows)

    def change_rows(self, rows):
        for changed in rows:
            if changed.row_key.key.startswith("odd"):
                raise ZeroDivisionError
            self.keys.add(changed.row_key.key)

    def reject_row(self, row):
        self.rejected.append(row.row_key.key)


class TestFollower:
    """The second wall: a value that no check has refused."""

    # Guards against a task that ends with each row that its reader cannot take.
    def test_a_row_that_its_reader_fails_on_is_left_out(self):
        async def scenario():
            data, clock, reader = StoreData(), LoopClock(), RejectingReader()
            for key in ("a", "odd-1", "b"):
                data.put("t", key, b"")
            store = MemoryRowStore(data, clock)
            follower = TableFollower(store, clock, "t", reader, StoreTime(clock))
            following = asyncio.create_task(follower.run())
            await clock.sleep_ms(500)
            assert follower.loaded.is_set()
            assert reader.keys == {"a", "b"}
            for key in ("odd-2", "c"):
                data.put("t", key, b"")
            await clock.sleep_ms(500)
            assert not following.done()
            assert reader.keys == {"a", "b", "c"}
            assert reader.rejected == ["odd-1", "odd-2"]
            assert len(reader.unreadable) == 2
            following.cancel()

        run_virtual(scenario())
