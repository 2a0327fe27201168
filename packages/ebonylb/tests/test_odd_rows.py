"""Tests of rows that other writers have left: each one costs itself alone.

The load pattern: an entry with values that no page names appears among sound ones and
stays, while servers join, entry VMs start and callers ask.
"""

import asyncio
import json

import aiohttp
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from ebonylb.fleet import ListedServer, ServerDirectory, ServerStage
from ebonylb.interfaces.row_store import RowKey, StoredRow
from ebonylb.interfaces.server_client import ServerAddress, ServerRequest
from ebonylb.outcomes import DECODING_ERRORS, Outcome
from ebonylb.platform.row_decoding import (
    decode_configuration,
    decode_server,
    decode_weight_version,
)
from ebonylb.platform.servers import HttpServerClient, trace_connections
from ebonylb.platform.value_types import check_address
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
ODD_FIELDS = [
    {"Slots": DIGITS},
    {"Slots": -DIGITS},
    {"ColdRemainingMs": DIGITS},
    {"leaves_ms": DIGITS},
    {"born": DIGITS},
    {"Models": [{"Name": "m", "Version": DIGITS}]},
    *(
        {"Address": address}
        for address in (
            "10.0.0.1:65536",
            "10.0.0.1:99999",
            "10.0.0.1:123456789012345",
            "10.0.0.1:0",
            "10.0.0.1:-1",
            "10.0.0.1:",
            "10.0.0.1",
            ":80",
            "a b:80",
            "a@b:80",
            "a/b:80",
            "a?b:80",
            "a#b:80",
            "::1:80",
            "[::1:80",
            "\u0661:80",
            "h:\u0661",
            "x" * 300 + "\n:80",
        )
    ),
]


def row(value, key="s", table="servers", version=1):
    """Return a stored row; a value that is no bytes is encoded as JSON."""
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return StoredRow(RowKey(table, "", key), data, version)


def nested(field=b"Other"):
    """Return a sound entry with lists nested deeply in a field that no page names."""
    sound = json.dumps(SOUND).encode()
    return sound[:-1] + b',"' + field + b'":' + DEEP + b"}"


class TestServerEntries:
    # Guards against a value that passes the decoder and fails in a computation.
    @pytest.mark.parametrize("odd", ODD_FIELDS, ids=lambda odd: str(odd)[:40])
    def test_an_odd_value_names_no_server(self, odd):
        with pytest.raises(DECODING_ERRORS):
            decode_server(row(SOUND | odd))

    @pytest.mark.parametrize("key", ["", "a\nb", "a\r\nb: c", "\u20ac", "\x7f"])
    def test_a_name_that_no_header_can_hold_names_no_server(self, key):
        with pytest.raises(DECODING_ERRORS):
            decode_server(row(SOUND, key))

    @pytest.mark.parametrize(
        "address",
        [
            "10.0.0.1:1",
            "10.0.0.1:65535",
            "[::1]:80",
            "[fe80::1:2]:8080",
            "replica-1.example:80",
        ],
    )
    def test_sound_addresses_are_taken(self, address):
        """Guards against a check that is stricter than RFC 3986."""
        assert check_address(address) == address

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

    def test_an_entry_is_logged_once_and_counts_until_it_is_sound(self, caplog):
        async def scenario():
            reader = ServerReader(decode_server, ServerDirectory(LoopClock()))
            for _ in range(3):
                reader.change_rows([row(SOUND | {"Slots": DIGITS}, "odd")])
            assert len(reader.unreadable) == 1
            reader.change_rows([row(SOUND, "odd")])
            assert len(reader.unreadable) == 0

        asyncio.run(scenario())
        lines = [r for r in caplog.records if r.message == "row cannot be read"]
        assert [(r.table, r.key) for r in lines] == [("servers", "odd")]


class TestOperatorRows:
    @pytest.mark.parametrize(
        "odd",
        [
            {"TimeoutMs": DIGITS},
            {"Attempts": DIGITS},
            {"RetentionS": 1e308},
            {"Backends": [{"Service": "s", "Weight": DIGITS}]},
        ],
        ids=str,
    )
    def test_an_odd_configuration_is_refused_whole(self, odd):
        route = {"Name": "r", "Host": "h", "Prefix": "/", "Kind": "idempotent"}
        value = {"Version": 1, "Routes": [route | {"Service": "s"}]}
        assert decode_configuration(json.dumps(value).encode()).version == 1
        value["Routes"] = [value["Routes"][0] | odd]
        with pytest.raises(DECODING_ERRORS):
            decode_configuration(json.dumps(value).encode())

    @pytest.mark.parametrize("value", [{"Model": "m", "Version": DIGITS}, nested()])
    def test_an_odd_weight_version_is_refused(self, value):
        with pytest.raises(DECODING_ERRORS):
            decode_weight_version(row(value, "version/m", "op"))


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


class TestSlippedValues:
    """Values that have passed the checks cost their own attempt."""

    @staticmethod
    def odd_server(world, **fields):
        options = {"slots": 6, "service": "desk", "address": "10.0.0.9:80"} | fields
        return ListedServer(
            "odd",
            options["service"],
            options["address"],
            "north",
            ServerStage.READY,
            options["slots"],
        )

    # Guards against requests that fail because one server's cost cannot be computed.
    @pytest.mark.parametrize("service", ["desk", "lm"])
    def test_a_server_whose_cost_cannot_be_computed_costs_no_request(self, service):
        async def scenario():
            world = World()
            vm = world.start("a")
            await world.clock.sleep_ms(500)
            vm.directory.put(self.odd_server(world, service=service, slots=DIGITS))
            vm.directory.condition("odd").own_requests = DIGITS // 2
            batch = world.batch("x", [4] * 8)
            assert await vm.batches.submit(batch) is None
            assert len(await read_all(vm, "x", 8)) == 8
            callers = [Caller(world, f"q{number}") for number in range(8)]
            for caller in callers:
                await caller.read(vm)
                assert caller.events

        run_virtual(scenario())

    def test_an_unexpected_error_is_a_refusal(self):
        """Guards against a connection that is reset by a fault of this program."""

        async def scenario():
            world = World()
            vm = world.start("a")
            await world.clock.sleep_ms(500)

            def fail(*arguments):
                raise ZeroDivisionError

            vm.forwarder.runs.direct.pool.pick = fail
            response = await Caller(world, "q").read(vm)
            assert response.refusal.reason == "internal_error"
            assert response.refusal.outcome is Outcome.NOT_RUN

        run_virtual(scenario())

    @pytest.mark.parametrize("port", ["65536", "99999", "123456789012345"])
    def test_a_port_out_of_range_is_a_failed_connection(self, port):
        async def scenario():
            async with aiohttp.ClientSession(
                trace_configs=[trace_connections()]
            ) as session:
                client = HttpServerClient(session)
                server = ServerAddress("odd", f"127.0.0.1:{port}")
                request = ServerRequest("GET", "/", (), b"", "q", 500.0)
                opened = await client.open(server, request)
                assert isinstance(opened, Err)
                assert not opened.err_value.may_have_run
                assert not await client.is_reachable(server)

        asyncio.run(scenario())


class TestAnyRow:
    @settings(max_examples=300)
    @given(st.binary(max_size=60))
    def test_any_bytes_are_a_server_or_none(self, value):
        reader = ServerReader(decode_server, ServerDirectory(LoopClock()))
        reader.replace_rows([row(value)])

    @settings(max_examples=300)
    @given(
        st.dictionaries(
            st.sampled_from(list(SOUND)),
            st.one_of(
                st.none(),
                st.integers(),
                st.integers(min_value=2**60),
                st.floats(allow_nan=False, allow_infinity=False),
                st.text(max_size=8),
                st.lists(st.integers(), max_size=2),
            ),
        )
    )
    def test_an_entry_with_any_values_has_values_that_can_be_computed_with(self, odd):
        reader = ServerReader(decode_server, ServerDirectory(LoopClock()))
        server = reader.read_server(row(SOUND | odd))
        if server is not None:
            assert 1 <= server.slots <= 1_000_000
            assert float(server.cold_ms) < 1e13
            assert float(server.started_ms or 0) < 1e17
            server.software_version.encode()
            _, port = server.address.rsplit(":", 1)
            assert 1 <= int(port) <= 65_535
