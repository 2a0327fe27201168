"""Tests of what is known of a stream's software version, cell by cell of the table.

The table is in ``docs/design.md``, "Origin of a stream". All streams run on virtual
time against real entry VM components; ``test_site.py`` has those of real processes.
"""

import asyncio

import aiohttp
import pytest
from aiohttp import web
from result import Err, Ok

from ebonylb.adapters.origin_http import (
    FIND_PATH,
    REPLICATE_PATH,
    HttpOriginClient,
    OriginHandler,
)
from ebonylb.fleet import ListedServer, ServerStage
from ebonylb.forwarding.origin_peers import COPIES, MAX_ASKED, OriginPeers
from ebonylb.forwarding.origin_rows import (
    DELETE_INTERVAL_MS,
    RETENTION_MS,
    TABLE,
    OriginRows,
    row_key,
)
from ebonylb.forwarding.version_history import STREAM_LIFETIME_MS
from ebonylb.interfaces.server_client import ServerAddress
from ebonylb.interfaces.stream_origins import OriginClient, OriginQuery, StreamOrigin
from ebonylb_standins.histories.virtual_time import LoopClock, run_virtual
from ebonylb_standins.site.manual_clock import ManualClock
from ebonylb_standins.site.row_store import MemoryRowStore, StoreData
from ebonylb_standins.site.stream_caller import (
    EVENTS,
    Caller,
    make_world,
    replace_servers,
    versions_of,
)

SLOW_STORE_MS = 240.0  # 60 times the duration of a call
AT_ONCE = 4


def start(world, *names):
    """Start entry VMs and return them."""
    return [world.start(name) for name in names]


async def begin_release(*names):
    """Return a site, and its entry VMs, whose only version is joined by another one."""
    world = make_world(plain_versions=["v1", "v1"])
    vms = start(world, *names)
    await world.clock.sleep_ms(2_000)
    replace_servers(world, (), ("p2", "p3"), "v2")
    await world.clock.sleep_ms(2_000)
    return world, *vms


def make_callers(world, count, **options):
    """Return callers of streams of their own."""
    return [Caller(world, f"q{number}", **options) for number in range(count)]


async def begin_all(callers, vm, events=10):
    """Have callers read the first events of their streams at an entry VM."""
    await asyncio.gather(*(caller.read(vm, events) for caller in callers))
    assert {len(caller.events) for caller in callers} == {events}


async def take_up_all(callers, vm):
    """Have callers take their streams up; return how many go on to the end.

    Few do so at once, so that no server is full.
    """
    for first in range(0, len(callers), AT_ONCE):
        group = callers[first : first + AT_ONCE]
        await asyncio.gather(*(caller.read(vm) for caller in group))
    assert {len(versions_of(caller.events)) for caller in callers} == {1}
    return sum(len(caller.events) == EVENTS for caller in callers)


def stored_versions(world):
    """Return the software version in each row of a stream, by the id of the stream."""
    return {
        key.key: row.value.decode()
        for key, row in world.data.rows.items()
        if key.table == TABLE
    }


class TestRowIsLate:
    # Guards against a late row that names another version than the stream runs on.
    @pytest.mark.parametrize("is_killed", [True, False])
    def test_streams_that_begin_while_the_store_is_slow_keep_their_version(
        self, is_killed
    ):
        async def scenario():
            world, first, second = await begin_release("a", "b")
            first.store.faults.delay_ms = second.store.faults.delay_ms = SLOW_STORE_MS
            callers = make_callers(world, 6)
            await begin_all(callers, first)
            first.store.faults.delay_ms = second.store.faults.delay_ms = 4.0
            await world.clock.sleep_ms(500)
            if is_killed:
                first.stop()
            # Its memory must not hide what the store names.
            second.stream_origins.known.clear()
            assert await take_up_all(callers, second) == len(callers)

        run_virtual(scenario())

    # Guards against a stream that begins on a version while a row with another one may
    # still be written.
    @pytest.mark.parametrize("late_ms", [100.0, 800.0, 3_000.0])
    def test_without_another_entry_vm_an_unclear_write_decides(self, late_ms):
        async def scenario():
            world, vm = await begin_release("a")
            callers = make_callers(world, 8)
            for caller in callers:
                vm.store.faults.late_writes_ms.append(late_ms)
                await caller.read(vm, 10)
                await world.clock.sleep_ms(4_000)
            begun = [caller for caller in callers if caller.events]
            stored = stored_versions(world)
            assert begun
            for caller in begun:
                (version,) = versions_of(caller.events)
                assert stored.get(caller.request_id, "v1") == version

        run_virtual(scenario())


class TestRowIsUnclear:
    # Guards against a lost answer after which the stream runs on another version.
    def test_the_row_names_the_version_of_the_stream(self):
        async def scenario():
            world, first, second = await begin_release("a", "b")
            callers = make_callers(world, 8)
            for caller in callers:
                first.store.faults.lost_responses = 1
                await caller.read(first, 10)
                await world.clock.sleep_ms(1_100)
            first.stop()
            second.stream_origins.known.clear()
            for caller in callers:
                await caller.read(second)
                assert len(versions_of(caller.events)) == 1
                assert len(caller.events) == EVENTS

        run_virtual(scenario())


class TestRowOfAnotherBeginning:
    # Guards against a row that is replaced once a stream has begun anew elsewhere.
    def test_the_first_row_of_a_stream_holds(self):
        async def scenario():
            store = MemoryRowStore(StoreData(), LoopClock())
            first, second = (OriginRows(store, store.clock) for _ in range(2))
            assert await first.write("q", "v2") == Ok("v2")
            assert await second.write("q", "v1") == Ok("v2")
            assert await second.read("q") == Ok("v2")

        run_virtual(scenario())

    def test_a_row_that_exists_does_not_hinder_the_others(self):
        """Guards against a conflict that fails a whole transaction."""

        async def scenario():
            store = MemoryRowStore(StoreData(), LoopClock())
            rows = OriginRows(store, store.clock)
            streams = [f"q{number}" for number in range(200)]
            first = [rows.write(stream, "v2") for stream in streams[::3]]
            assert {(await written).ok_value for written in first} == {"v2"}
            second = [rows.write(stream, "v1") for stream in streams]
            versions = [(await written).ok_value for written in second]
            assert versions[::3] == ["v2"] * len(first)
            assert set(versions[1::3] + versions[2::3]) == {"v1"}

        run_virtual(scenario())

    # Guards against rows that stay in the store for good.
    def test_rows_found_in_the_store_are_deleted_in_time(self):
        async def scenario():
            data, clock = StoreData(), LoopClock()
            data.put(TABLE, "q", b"v2", row_key("q").part)
            rows = OriginRows(MemoryRowStore(data, clock), clock)
            assert await rows.write("q", "v2") == Ok("v2")
            deleting = asyncio.create_task(rows.delete_expired())
            await clock.sleep_ms(RETENTION_MS + 2 * DELETE_INTERVAL_MS)
            deleting.cancel()
            assert not data.rows

        run_virtual(scenario())


class TestRowNeverWritten:
    # Guards against streams that nobody can take up after an outage of the store.
    @pytest.mark.parametrize("is_killed", [True, False])
    def test_streams_of_the_only_version_left_go_on(self, is_killed):
        """The release has ended, so that the former version has no server."""

        async def scenario():
            world = make_world(plain_versions=["v1", "v1"])
            first, second = start(world, "a", "b")
            await world.clock.sleep_ms(2_000)
            replace_servers(world, ("p0", "p1"), ("p2", "p3", "p4"), "v2")
            await world.clock.sleep_ms(3_000)
            first.store.faults.down = second.store.faults.down = True
            callers = make_callers(world, 16)
            await begin_all(callers, first)
            if is_killed:
                first.stop()
            else:
                await first.leave()
            assert await take_up_all(callers, second) == len(callers)

        run_virtual(scenario())

    # Guards against origins that are in no row once the store is back.
    def test_the_row_is_written_once_the_store_is_back(self):
        async def scenario():
            world = make_world(plain_versions=["v1", "v1"])
            (vm,) = start(world, "a")
            await world.clock.sleep_ms(2_000)
            replace_servers(world, ("p0", "p1"), ("p2", "p3"), "v2")
            await world.clock.sleep_ms(1_000)
            vm.store.faults.down = True
            callers = make_callers(world, 8)
            await begin_all(callers, vm)
            assert not stored_versions(world)
            vm.store.faults.down = False
            await world.clock.sleep_ms(2_500)
            assert stored_versions(world) == {c.request_id: "v2" for c in callers}

        run_virtual(scenario())


class TestStoreOutOfReach:
    # Guards against refusals of streams of the only version that was ever listed.
    @pytest.mark.parametrize("fault", [("down", True), ("silent", True)], ids=str)
    def test_streams_of_an_entry_vm_that_leaves_go_on(self, fault):
        async def scenario():
            world = make_world(plain_versions=["v1", "v1", "v1"])
            first, second = start(world, "a", "b")
            await world.clock.sleep_ms(2_000)
            callers = make_callers(world, 16)
            await begin_all(callers, first)
            for vm in (first, second):
                setattr(vm.store.faults, *fault)
            await first.leave()
            assert await take_up_all(callers, second) == len(callers)

        run_virtual(scenario())

    # Guards against origins that are lost when their keepers leave as well.
    def test_origins_are_handed_on_when_entry_vms_leave_in_turn(self):
        async def scenario():
            world = make_world(plain_versions=["v1", "v1", "v1"])
            vms = start(world, "a", "b", "c", "d", "e")
            await world.clock.sleep_ms(2_000)
            callers = make_callers(world, 16)
            await begin_all(callers, vms[0])
            for vm in vms:
                vm.store.faults.down = True
            for vm in vms[:4]:
                await vm.leave()
            assert await take_up_all(callers, vms[4]) == len(callers)

        run_virtual(scenario())

    # Guards against refusals at an entry VM that alone cannot read the store.
    @pytest.mark.parametrize("names_stream", [True, False])
    def test_another_entry_vm_reads_the_store(self, names_stream):
        async def scenario():
            world = make_world(plain_versions=["v1", "v1", "v1"])
            first, second, _ = start(world, "a", "b", "c")
            await world.clock.sleep_ms(2_000)
            callers = make_callers(world, 8, names_stream=names_stream)
            await begin_all(callers, first)
            first.stop()
            second.store.faults.down = True
            assert await take_up_all(callers, second) == len(callers)

        run_virtual(scenario())

    # Guards against a view that is out of step, where another entry VM knows better.
    @pytest.mark.parametrize(
        "fault", [("down", True), ("silent", True), ("delay_ms", 700.0)], ids=str
    )
    def test_an_entry_vm_out_of_step_asks_the_one_that_ran_the_stream(self, fault):
        async def scenario():
            world = make_world(plain_versions=["v1", "v1"])
            first, second = start(world, "a", "b")
            await world.clock.sleep_ms(2_000)
            setattr(second.store.faults, *fault)
            for number in (2, 3, 4):
                world.add_server(f"p{number}", "desk", 6, "north")
                world.port.servers[f"p{number}"].software_version = "v2"
            first.refresh()
            await world.clock.sleep_ms(2_000)
            callers = make_callers(world, 12)
            await begin_all(callers, first)
            began = {caller: versions_of(caller.events) for caller in callers}
            assert {"v1"} in began.values()
            assert {"v2"} in began.values()
            await take_up_all(callers, second)
            for caller in callers:
                # It does not list the servers of v2 yet.
                is_listed = began[caller] == {"v1"}
                assert len(caller.events) == (EVENTS if is_listed else 10)
            second.refresh()
            assert await take_up_all(callers, second) == len(callers)

        run_virtual(scenario())


class TestVersionGone:
    def test_a_stream_whose_version_comes_back_goes_on(self):
        async def scenario():
            world, first, second = await begin_release("a", "b")
            callers = make_callers(world, 12)
            await begin_all(callers, first)
            of_v1 = [c for c in callers if versions_of(c.events) == {"v1"}]
            assert of_v1
            for name in ("p0", "p1"):
                second.directory.remove(name)
            assert await take_up_all(of_v1, second) == 0
            second.refresh()
            assert await take_up_all(of_v1, second) == len(of_v1)

        run_virtual(scenario())

    # Guards against streams without a row that are taken for those of a version that
    # has come back.
    def test_a_version_that_comes_back_gets_no_streams_of_others(self):
        """The store was down, and the only entry VM that knew the streams is killed."""

        async def scenario():
            world = make_world(plain_versions=["v1", "v1"])
            first, second = start(world, "a", "b")
            await world.clock.sleep_ms(2_000)
            replace_servers(world, ("p0", "p1"), ("p2", "p3"), "v2")
            await world.clock.sleep_ms(3_000)
            first.store.faults.down, first.is_separated = True, True
            callers = make_callers(world, 8)
            await begin_all(callers, first)
            assert versions_of(e for c in callers for e in c.events) == {"v2"}
            first.stop()
            replace_servers(world, (), ("p4", "p5", "p6"), "v1")
            await world.clock.sleep_ms(3_000)
            for caller in callers:
                response = await caller.read(second)
                assert versions_of(caller.events) == {"v2"}
                assert response.refusal.reason == "unknown_software_version"

        run_virtual(scenario())

    # Guards against a guess that outlives what is learned later.
    def test_a_version_that_is_not_certain_is_not_remembered(self):
        async def scenario():
            world, vm = await begin_release("a")
            origins = vm.stream_origins
            assert await origins.find("q", "desk") == "v1"
            world.data.put(TABLE, "q", b"v2", row_key("q").part)
            assert await origins.find("q", "desk") == "v2"
            assert list(origins.known) == ["q"]

        run_virtual(scenario())


class TestTakenUpTwice:
    # Guards against two answers to one question.
    @pytest.mark.parametrize("store_is_down", [True, False])
    def test_both_tries_get_one_version(self, store_is_down):
        async def scenario():
            world, first, second, third = await begin_release("a", "b", "c")
            callers = make_callers(world, 12)
            await begin_all(callers, first)
            for vm in (first, second, third):
                vm.store.faults.down = store_is_down
            copies = []
            for caller in callers:
                copy = Caller(world, caller.request_id)
                copy.events = list(caller.events)
                copy.tries = 100
                copies.append(copy)
            counts = await asyncio.gather(
                take_up_all(callers, second), take_up_all(copies, third)
            )
            assert counts == [len(callers)] * 2

        run_virtual(scenario())


class TestMemory:
    def test_origins_are_forgotten_after_the_lifetime_of_a_stream(self):
        """Guards against memory that grows with each stream."""

        async def scenario():
            world = make_world(plain_versions=["v1", "v1"])
            (vm,) = start(world, "a")
            await world.clock.sleep_ms(500)
            await begin_all(make_callers(world, 8), vm)
            assert len(vm.stream_origins.known) == 8
            await world.clock.sleep_ms(STREAM_LIFETIME_MS + 2_000)
            assert not vm.stream_origins.known

        run_virtual(scenario())


class RecordingClient(OriginClient):
    """Client of entry VMs that know nothing; counts the messages."""

    def __init__(self):
        self.asked, self.told = [], {}

    async def find(self, entry_vm, query):
        self.asked.append(entry_vm.name)
        return Ok(None)

    async def replicate(self, entry_vm, origins):
        self.told[entry_vm.name] = len(origins)
        return Ok(list(origins))


class TestOriginPeers:
    """What a larger deployment costs."""

    @staticmethod
    def make_peers(count):
        entry_vms = [
            ListedServer(f"vm{n}", "", f"10.0.0.{n}:1", "north", ServerStage.READY)
            for n in range(count)
        ]
        client = RecordingClient()
        return OriginPeers(client, lambda: entry_vms, ManualClock(0.0)), client

    # Guards against messages to all entry VMs for each stream.
    @pytest.mark.parametrize("count", [0, 1, 10, 340])
    def test_a_take_up_asks_a_bounded_number(self, count):
        async def scenario():
            peers, client = self.make_peers(count)
            assert await peers.find(OriginQuery("q", "s")) is None
            assert len(client.asked) == min(count, MAX_ASKED)

        asyncio.run(scenario())

    def test_the_keepers_of_a_stream_are_asked_first(self):
        async def scenario():
            peers, client = self.make_peers(340)
            origin = StreamOrigin("q", "s", "v1")
            assert await peers.replicate([origin]) == {"q": "v1"}
            assert len(client.told) == COPIES
            await peers.find(OriginQuery("q", "s"))
            assert set(client.asked[:COPIES]) == set(client.told)

        asyncio.run(scenario())

    def test_origins_of_many_streams_share_messages(self):
        async def scenario():
            peers, client = self.make_peers(10)
            origins = [StreamOrigin(f"q{n}", "s", "v1") for n in range(2_000)]
            assert len(await peers.replicate(origins)) == 2_000
            assert sum(client.told.values()) == 2_000 * COPIES
            assert len(client.told) <= 10

        asyncio.run(scenario())


class FixedOrigins:
    """Origins that an entry VM knows, for the adapter alone."""

    def __init__(self):
        self.known = {"q": "v2"}

    async def answer(self, query):
        return self.known.get(query.stream_id)

    def keep(self, origins):
        return [
            StreamOrigin(
                o.stream_id,
                o.service,
                self.known.setdefault(o.stream_id, o.software_version),
            )
            for o in origins
        ]


class TestOriginHttp:
    @staticmethod
    async def serve(handle, use):
        server = web.Server(handle)
        runner = web.ServerRunner(server)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = runner.addresses[0][:2]
        try:
            async with aiohttp.ClientSession() as session:
                await use(session, ServerAddress("b", f"{host}:{port}"))
        finally:
            await runner.cleanup()

    def test_origins_are_shared(self):
        async def use(session, peer):
            client = HttpOriginClient(session)
            assert await client.find(peer, OriginQuery("q", "s")) == Ok("v2")
            assert await client.find(peer, OriginQuery("r", "s")) == Ok(None)
            told = [StreamOrigin("q", "s", "v1"), StreamOrigin("r", "s", "v1")]
            kept = (await client.replicate(peer, told)).ok_value
            assert [o.software_version for o in kept] == ["v2", "v1"]

        asyncio.run(self.serve(OriginHandler(FixedOrigins()).handle, use))

    # Guards against an exception in the handler, or in the one who asks.
    @pytest.mark.parametrize("path", [FIND_PATH, REPLICATE_PATH])
    @pytest.mark.parametrize("body", [b"", b"\xc1", b"\x91" * 5_000, b"\x01"])
    def test_a_malformed_message_is_refused(self, path, body):
        async def use(session, peer):
            url = f"http://{peer.address}{path}"
            async with session.post(url, data=body) as response:
                assert response.status == 400

        asyncio.run(self.serve(OriginHandler(FixedOrigins()).handle, use))

    @pytest.mark.parametrize("body", [b"", b"\xc1", b"\x91" * 5_000, b"\x01"])
    def test_a_malformed_answer_is_an_error(self, body):
        async def use(session, peer):
            client = HttpOriginClient(session)
            assert isinstance(await client.find(peer, OriginQuery("q", "s")), Err)
            assert isinstance(await client.replicate(peer, []), Err)

        async def respond(request):
            return web.Response(body=body)

        asyncio.run(self.serve(respond, use))
