"""Tests of servers of several software versions side by side in one service.

The load pattern: a release replaces part of a service's servers; runs of items are cut
and moved, entry VMs end, and callers take their streams up again at other entry VMs.
"""

import asyncio
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonylb.fleet import ListedServer, ServerDirectory, ServerStage
from ebonylb.forwarding.origin_rows import (
    DELETE_INTERVAL_MS,
    RETENTION_MS,
    TABLE,
)
from ebonylb.forwarding.version_history import (
    STREAM_LIFETIME_MS,
    ServiceVersions,
    VersionHistory,
    first_row,
    row_key,
)
from ebonylb.outcomes import Outcome
from ebonylb.storage.store_time import StoreTime
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.manual_clock import ManualClock
from ebonylb_standins.site.row_store import MemoryRowStore, StoreData
from ebonylb_standins.site.stream_caller import (
    EVENTS,
    Caller,
    make_world,
    replace_servers,
    versions_of,
)
from ebonylb_standins.site.world import read_all


async def run_items(world, vm, events, disturb, items=8):
    """Run a batch while `disturb` runs; return the results' texts as lines."""
    await vm.batches.submit(world.batch("x", [events] * items))
    disturbing = asyncio.create_task(disturb())
    results = await read_all(world.vms["a"], "x", items, timeout_ms=60_000)
    disturbing.cancel()
    assert all(result.succeeded for result in results)
    return [result.text.split("\n") for result in results]


class TestItems:
    # Guards against texts with events of two software versions.
    def test_texts_hold_events_of_one_software_version(self):
        async def scenario():
            world = make_world(["v1", "v1", "v2", "v2"])
            vm = world.start("a")
            await world.clock.sleep_ms(500)

            async def disturb():
                engines = [world.port.servers[f"e{n}"] for n in range(4)]
                while True:
                    for engine in engines:
                        await world.clock.sleep_ms(300)
                        engine.mode = "resets"
                        await world.clock.sleep_ms(50)
                        engine.mode = "serves"

            texts = await run_items(world, vm, EVENTS, disturb)
            assert all(len(text) == EVENTS for text in texts)
            assert {len(versions_of(text)) for text in texts} == {1}

        run_virtual(scenario())

    # Guards against texts that a new holder continues on another software version.
    def test_a_new_holder_knows_the_version_of_stored_events(self):
        async def scenario():
            world = make_world(["v1", "v2"])
            vm = world.start("a")
            await world.clock.sleep_ms(500)
            await vm.batches.submit(world.batch("x", [120] * 20, group_size=1))
            await world.clock.sleep_ms(2_500)
            other = world.start("b", "south")
            await world.clock.sleep_ms(100)
            vm.stop()
            results = await read_all(other, "x", 20, timeout_ms=60_000)
            texts = [result.text.split("\n") for result in results]
            assert all(len(text) == 120 for text in texts)
            assert {len(versions_of(text)) for text in texts} == {1}
            assert any(
                request.resume_after
                for server in world.port.servers.values()
                for request in server.received_requests
            )

        run_virtual(scenario())

    def test_items_restart_when_no_server_of_their_version_is_left(self):
        async def scenario():
            world = make_world(["v1", "v2"])
            vm = world.start("a")
            await world.clock.sleep_ms(500)

            async def disturb():
                await world.clock.sleep_ms(400)
                world.port.servers["e0"].mode = "absent"
                vm.directory.remove("e0")

            texts = await run_items(world, vm, EVENTS, disturb)
            assert {frozenset(versions_of(text)) for text in texts} == {
                frozenset({"v2"})
            }

        run_virtual(scenario())


class TestStreams:
    # Guards against streams with events of two software versions, in one response.
    def test_a_broken_stream_continues_on_its_software_version(self):
        async def scenario():
            world = make_world(plain_versions=["v1", "v1", "v2", "v2", "v2"])
            vm = world.start("a")
            await world.clock.sleep_ms(500)
            complete = 0
            for number in range(12):
                caller = Caller(world, f"q{number}")
                reading = asyncio.create_task(caller.read(vm))
                await world.clock.sleep_ms(400)
                (used,) = [s for s in world.port.servers.values() if s.running]
                used.mode = "resets"
                await world.clock.sleep_ms(50)
                used.mode = "serves"
                await reading
                assert len(versions_of(caller.events)) == 1
                complete += len(caller.events) == EVENTS
            assert complete >= 10

        run_virtual(scenario())

    # Guards against streams with events of two software versions over a caller's tries.
    @pytest.mark.parametrize("entry_vm_ends", [False, True])
    def test_a_stream_taken_up_elsewhere_stays_on_its_version(self, entry_vm_ends):
        async def scenario():
            world = make_world(plain_versions=["v1", "v1", "v2", "v2"])
            vms = [world.start(name) for name in ("a", "b", "c")]
            await world.clock.sleep_ms(500)
            callers = [Caller(world, f"q{number}") for number in range(24)]
            await asyncio.gather(*(caller.read(vms[0], 10) for caller in callers))
            assert len({*versions_of(e for c in callers for e in c.events)}) == 2
            if entry_vm_ends:
                vms[0].stop()
                await world.clock.sleep_ms(200)
            for caller in callers:
                await caller.read(vms[1], 20)
            for caller in callers:
                await caller.read(vms[2])
            assert {len(versions_of(caller.events)) for caller in callers} == {1}
            complete = [c for c in callers if len(c.events) == EVENTS]
            assert len(complete) >= len(callers) / 2

        run_virtual(scenario())

    def test_a_stream_that_began_before_the_release_stays_on_its_version(self):
        async def scenario():
            world = make_world(plain_versions=["v1", "v1"])
            vms = [world.start(name) for name in ("a", "b")]
            await world.clock.sleep_ms(500)
            callers = [Caller(world, f"q{number}") for number in range(8)]
            await asyncio.gather(*(caller.read(vms[0], 10) for caller in callers))
            for name in ("p2", "p3", "p4"):
                world.add_server(name, "desk", 6, "north")
                world.port.servers[name].software_version = "v2"
            for vm in vms:
                vm.refresh()
            await world.clock.sleep_ms(300)
            for caller in callers:
                await caller.read(vms[1])
            assert versions_of(e for c in callers for e in c.events) == {"v1"}
            assert {len(caller.events) for caller in callers} == {EVENTS}

        run_virtual(scenario())

    # Guards against streams joined from two versions after entry VMs have restarted.
    @pytest.mark.parametrize("survivors", [(), ("b",)])
    def test_after_restarts_a_stream_is_not_continued_on_another_version(
        self, survivors
    ):
        """The servers are replaced while the entry VM that had the streams is down."""

        async def scenario():
            world = make_world(plain_versions=["v1", "v1"])
            vms = [world.start(name) for name in ("a", "b")]
            await world.clock.sleep_ms(2_000)
            callers = [Caller(world, f"q{number}") for number in range(8)]
            await asyncio.gather(*(caller.read(vms[0], 10) for caller in callers))
            for vm in vms:
                if vm.name not in survivors:
                    vm.stop()
            replace_servers(world, ("p0", "p1"), ("p2", "p3"), "v2")
            await world.clock.sleep_ms(2_000)
            restarted = world.start("a", incarnation="2")
            await world.clock.sleep_ms(1_000)
            entry_vms = [restarted, *(world.vms[name] for name in survivors)]
            for number, caller in enumerate(callers):
                response = await caller.read(entry_vms[number % len(entry_vms)])
                assert versions_of(caller.events) == {"v1"}
                assert len(caller.events) == 10
                assert response.refusal.reason == "other_software_version"
                assert response.refusal.outcome is Outcome.NOT_RUN
            # Callers begin again at the first event.
            new = [Caller(world, f"r{number}") for number in range(8)]
            await asyncio.gather(*(caller.read(restarted) for caller in new))
            assert {len(caller.events) for caller in new} == {EVENTS}
            assert versions_of(e for c in new for e in c.events) == {"v2"}

        run_virtual(scenario())

    # Guards against streams joined from versions of two releases in quick succession.
    def test_a_second_release_does_not_change_the_version_of_streams(self):
        async def scenario():
            world = make_world(plain_versions=["v1", "v1"])
            vms = [world.start(name) for name in ("a", "b")]
            await world.clock.sleep_ms(2_000)
            callers = [Caller(world, f"q{number}") for number in range(8)]
            await asyncio.gather(*(caller.read(vms[0], 10) for caller in callers))
            vms[0].stop()
            replace_servers(world, ("p0", "p1"), ("p2", "p3"), "v2")
            await world.clock.sleep_ms(2_000)
            replace_servers(world, ("p2",), ("p4", "p5"), "v3")
            await world.clock.sleep_ms(2_000)
            vms[0] = world.start("a", incarnation="2")
            await world.clock.sleep_ms(1_000)
            for number, caller in enumerate(callers):
                await caller.read(vms[number % 2])
                assert versions_of(caller.events) == {"v1"}

        run_virtual(scenario())

    def test_a_release_while_entry_vms_are_down_leaves_streams_of_the_old_version(
        self,
    ):
        """Guards against refusals of streams whose version is still in service."""

        async def scenario():
            world = make_world(plain_versions=["v1", "v1", "v1"])
            vm = world.start("a")
            await world.clock.sleep_ms(2_000)
            callers = [Caller(world, f"q{number}") for number in range(12)]
            await asyncio.gather(*(caller.read(vm, 10) for caller in callers))
            vm.stop()
            replace_servers(world, ("p2",), ("p3", "p4", "p5"), "v2")
            vm = world.start("a", incarnation="2")
            await world.clock.sleep_ms(1_000)
            await asyncio.gather(*(caller.read(vm) for caller in callers))
            assert versions_of(e for c in callers for e in c.events) == {"v1"}
            assert {len(caller.events) for caller in callers} == {EVENTS}

        run_virtual(scenario())

    def test_with_one_version_new_streams_cost_no_call_to_the_store(self):
        async def scenario():
            world = make_world(plain_versions=["v1", "v1"])
            vm = world.start("a")
            await world.clock.sleep_ms(2_000)
            for number in range(20):
                await Caller(world, f"q{number}").read(vm)
            assert not [key for key in world.data.rows if key.table == TABLE]

        run_virtual(scenario())

    def test_it_is_refused_at_once_when_no_server_of_its_version_is_left(self):
        async def scenario():
            world = make_world(plain_versions=["v1", "v2"])
            vms = [world.start(name) for name in ("a", "b")]
            await world.clock.sleep_ms(500)
            callers = [Caller(world, f"q{number}") for number in range(6)]
            await asyncio.gather(*(caller.read(vms[0], 10) for caller in callers))
            vms[1].directory.remove("p0")
            refused = 0
            for caller in callers:
                began_ms = world.clock.monotonic_ms()
                response = await caller.read(vms[1])
                if versions_of(caller.events) == {"v1"}:
                    refused += 1
                    assert world.clock.monotonic_ms() - began_ms < 50
                    assert response.refusal.reason == "other_software_version"
                    assert response.refusal.outcome is Outcome.NOT_RUN
                else:
                    assert versions_of(caller.events) == {"v2"}
                    assert len(caller.events) == EVENTS
            assert refused

        run_virtual(scenario())

    # Guards against streams that begin on a version which nobody else can know.
    def test_without_the_store_streams_keep_to_the_former_version(self):
        async def scenario():
            world = make_world(plain_versions=["v1", "v1"])
            vms = [world.start(name) for name in ("a", "b")]
            await world.clock.sleep_ms(2_000)
            for name in ("p2", "p3", "p4"):
                world.add_server(name, "desk", 6, "north")
                world.port.servers[name].software_version = "v2"
            for vm in vms:
                vm.refresh()
                vm.store.faults.down = True
            callers = [Caller(world, f"q{number}") for number in range(12)]
            for caller in callers:
                await caller.read(vms[0], 10)
                assert versions_of(caller.events) == {"v1"}
            vms[0].stop()
            vms[1].store.faults.down = False
            for caller in callers:
                await caller.read(vms[1])
            assert {len(caller.events) for caller in callers} == {EVENTS}
            assert versions_of(e for c in callers for e in c.events) == {"v1"}

        run_virtual(scenario())

    # Guards against streams that an entry VM joins by a view that is out of step.
    @pytest.mark.parametrize("names_stream", [True, False])
    @pytest.mark.parametrize(
        "fault", [("down", True), ("silent", True), ("delay_ms", 700.0)], ids=str
    )
    def test_an_entry_vm_out_of_step_joins_no_versions(self, fault, names_stream):
        """It is cut off before servers of a new version join, and knows only the old.

        No other entry VM is in reach.

        Nor does it go on with a stream of the version that it knows: it cannot tell
        one from the other.
        """

        async def scenario():
            world = make_world(plain_versions=["v1", "v1"])
            vms = [world.start(name) for name in ("a", "b")]
            await world.clock.sleep_ms(2_000)
            name, sound = fault[0], getattr(vms[1].store.faults, fault[0])
            setattr(vms[1].store.faults, *fault)
            vms[1].is_separated = True
            for number in (2, 3, 4):
                world.add_server(f"p{number}", "desk", 6, "north")
                world.port.servers[f"p{number}"].software_version = "v2"
            vms[0].refresh()
            await world.clock.sleep_ms(2_000)
            callers = [Caller(world, f"q{n}", names_stream) for n in range(12)]
            await asyncio.gather(*(caller.read(vms[0], 10) for caller in callers))
            assert len({*versions_of(e for c in callers for e in c.events)}) == 2
            for caller in callers:
                response = await caller.read(vms[1])
                assert len(versions_of(caller.events)) == 1
                assert response.refusal.reason == "unknown_software_version"
                assert response.refusal.outcome is Outcome.NOT_RUN
            setattr(vms[1].store.faults, name, sound)
            vms[1].is_separated = False
            vms[1].refresh()
            await world.clock.sleep_ms(2_000)
            for caller in callers:
                await caller.read(vms[1])
                assert len(versions_of(caller.events)) == 1
                assert len(caller.events) == (EVENTS if names_stream else 10)

        run_virtual(scenario())

    # Guards against joins by a view that has been out of step for long.
    def test_the_first_stream_after_a_long_cut_is_not_joined(self):
        async def scenario():
            world = make_world(plain_versions=["v1", "v1"])
            vms = [world.start(name) for name in ("a", "b")]
            await world.clock.sleep_ms(2_000)
            vms[1].store.faults.down = True
            for name in ("p2", "p3"):
                world.add_server(name, "desk", 6, "north")
                world.port.servers[name].software_version = "v2"
            for name in ("p0", "p1"):
                world.unlisted.add(name)
            vms[0].refresh()
            await world.clock.sleep_ms(STREAM_LIFETIME_MS + 2_000)
            caller = Caller(world, "q")
            await caller.read(vms[0], 10)
            assert versions_of(caller.events) == {"v2"}
            assert not [key for key in world.data.rows if key.table == TABLE]
            vms[1].store.faults.down = False
            response = await caller.read(vms[1])
            assert versions_of(caller.events) == {"v2"}
            assert response.refusal.reason == "other_software_version"

        run_virtual(scenario())

    def test_a_stream_that_its_caller_does_not_name_goes_on(self):
        """Guards against refusals where a service has had one version only."""

        async def scenario():
            world = make_world(plain_versions=["v1", "v1"])
            vms = [world.start(name) for name in ("a", "b")]
            await world.clock.sleep_ms(2_000)
            caller = Caller(world, "q", names_stream=False)
            await caller.read(vms[0], 10)
            await caller.read(vms[1])
            assert len(caller.events) == EVENTS

        run_virtual(scenario())

    def test_an_unknown_stream_is_refused_while_the_store_is_down(self):
        async def scenario():
            world = make_world(plain_versions=["v1", "v2"])
            vms = [world.start(name) for name in ("a", "b")]
            await world.clock.sleep_ms(500)
            caller = Caller(world, "q")
            await caller.read(vms[0], 10)
            vms[1].store.faults.down = True
            vms[1].is_separated = True
            response = await caller.read(vms[1])
            assert response.refusal.reason == "unknown_software_version"
            assert response.refusal.outcome is Outcome.NOT_RUN
            assert len(caller.events) == 10

        run_virtual(scenario())

    def test_rows_of_streams_are_deleted(self):
        async def scenario():
            world = make_world(plain_versions=["v1", "v2"])
            vm = world.start("a")
            await world.clock.sleep_ms(500)
            for number in range(20):
                await Caller(world, f"q{number}").read(vm, 3)
            rows = [key for key in world.data.rows if key.table == TABLE]
            assert len(rows) == 20
            await world.clock.sleep_ms(RETENTION_MS + 2 * DELETE_INTERVAL_MS)
            assert not [key for key in world.data.rows if key.table == TABLE]

        run_virtual(scenario())


class TestListedVersions:
    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abcd"),
                st.sampled_from(["s", "t"]),
                st.sampled_from(["", "v1", "v2", "v3"]),
            ),
            max_size=30,
        )
    )
    def test_counts_are_those_of_the_list(self, changes):
        """An empty version removes the server."""
        directory = ServerDirectory(ManualClock(1_000_000.0))
        for name, service, version in changes:
            if version:
                directory.put(
                    ListedServer(
                        name,
                        service,
                        "a:1",
                        "north",
                        ServerStage.READY,
                        software_version=version,
                    )
                )
            else:
                directory.remove(name)
            for service_name in ("s", "t"):
                listed = Counter(
                    server.software_version
                    for server in directory.servers.values()
                    if server.service == service_name
                )
                counts = directory.software_versions.counts.get(service_name, {})
                assert dict(counts) == dict(listed)
                versions = directory.software_versions.listed(service_name)
                assert versions == tuple(sorted(listed))


class TestServiceVersions:
    @given(
        st.lists(
            st.tuples(
                st.integers(1, 150_000),
                st.sets(st.sampled_from(["v1", "v2", "v3"]), min_size=1),
                st.integers(0, 2_000),
                st.booleans(),
            ),
            min_size=1,
            max_size=8,
        )
    )
    def test_a_stream_is_never_taken_for_one_of_another_version(self, epochs):
        """Guards against a wrong version of a stream that has no row.

        Each epoch has its duration in milliseconds, the listed versions, the delay of
        the row's update, and whether any entry VM runs. Streams begin at three moments
        of each epoch in which one does.
        """
        now_ms = 1_000_000.0
        row = first_row(tuple(sorted(epochs[0][1])))
        unrecorded = []
        for duration_ms, versions, delay_ms, is_up in epochs:
            listed = tuple(sorted(versions))
            update_ms = now_ms + min(delay_ms, duration_ms)
            end_ms = now_ms + duration_ms
            for moment_ms in (now_ms, update_ms, end_ms):
                if is_up and moment_ms >= update_ms and row.listed != listed:
                    row = row.advance(listed, moment_ms)
                for began_ms, version in unrecorded:
                    if moment_ms - began_ms <= STREAM_LIFETIME_MS:
                        assert row.unrecorded_version(moment_ms) in (version, None)
                if is_up and (row.settled_version(moment_ms),) == listed:
                    unrecorded.append((moment_ms, listed[0]))
            now_ms = end_ms

    def test_a_new_version_alone_counts_once_older_streams_have_ended(self):
        row = (
            first_row(("v1",)).advance(("v1", "v2"), 1_000.0).advance(("v2",), 2_000.0)
        )
        assert row.settled_version(2_000.0) is None
        assert row.unrecorded_version(2_000.0 + STREAM_LIFETIME_MS - 1) == "v1"
        assert row.settled_version(2_000.0 + STREAM_LIFETIME_MS) == "v2"
        assert row.unrecorded_version(2_000.0 + STREAM_LIFETIME_MS) == "v2"

    def test_servers_may_name_no_version(self):
        """Guards against an empty version that counts as none."""
        row = first_row(("v1",)).advance(("",), 1_000.0)
        assert row.unrecorded_version(1_000.0) == "v1"
        assert row.unrecorded_version(1_000.0 + STREAM_LIFETIME_MS) == ""

    def test_a_version_that_comes_back_is_not_that_of_streams_without_a_row(self):
        """Guards against streams of others that began while it had no server."""
        row = (
            first_row(("v1",)).advance(("v1", "v2"), 1_000.0).advance(("v2",), 2_000.0)
        )
        assert row.unrecorded_version(3_000.0) == "v1"
        back = row.advance(("v1", "v2"), 3_000.0)
        assert back.unrecorded_version(3_000.0) is None
        assert back.advance(("v1",), 4_000.0).unrecorded_version(5_000.0) is None

    def test_a_first_listing_does_not_tell_which_version_was_alone(self):
        assert first_row(("v1", "v2")).unrecorded_version(1_000.0) is None


class TestVersionHistory:
    """Rows of the services, read and written by entry VMs with lists of their own."""

    @staticmethod
    def make_history(data, clock, *listed):
        directory = ServerDirectory(clock)
        history = VersionHistory(
            "a", MemoryRowStore(data, clock), clock, StoreTime(clock), directory
        )
        list_servers(directory, *listed)
        return history, directory

    def test_one_of_two_entry_vms_writes_a_change(self):
        """Guards against rows that a late entry VM writes over newer ones."""

        async def scenario():
            data, clock = StoreData(), ManualClock(1_000_000.0)
            first, first_list = self.make_history(data, clock, "v1")
            second, _ = self.make_history(data, clock, "v1")
            assert await first.read()
            assert await first.write()
            assert not await second.write()
            assert await second.read()
            assert not second.find_outdated()
            assert not first.needs_record("s")
            list_servers(first_list, "v1", "v2")
            assert first.needs_record("s")
            assert await first.write()
            assert await second.read()
            assert second.find("s").listed == ("v1", "v2")
            assert second.unrecorded_version("s") == "v1"
            assert second.needs_record("s")

        asyncio.run(scenario())

    def test_an_unreadable_row_is_replaced(self):
        """Guards against streams that are never known again after one bad row."""

        async def scenario():
            data, clock = StoreData(), ManualClock(1_000_000.0)
            key = row_key("s")
            data.put(key.table, key.key, b"{")
            history, _ = self.make_history(data, clock, "v1")
            assert await history.read()
            assert history.unrecorded_version("s") is None
            assert history.needs_record("s")
            assert await history.write()
            clock.now_ms += STREAM_LIFETIME_MS
            assert history.unrecorded_version("s") == "v1"
            assert not history.needs_record("s")

        asyncio.run(scenario())

    def test_a_service_without_servers_keeps_its_row(self):
        """Guards against a version that is forgotten while all servers are away."""

        async def scenario():
            history, directory = self.make_history(
                StoreData(), ManualClock(1_000_000.0), "v1"
            )
            assert await history.read()
            assert await history.write()
            directory.remove("v1")
            assert not history.find_outdated()
            assert history.needs_record("s")
            assert history.find("s") == ServiceVersions(
                ("v1",), -STREAM_LIFETIME_MS, "v1"
            )

        asyncio.run(scenario())


def list_servers(directory, *versions):
    """List one server of service ``s`` for each software version."""
    for version in versions:
        directory.put(
            ListedServer(
                version,
                "s",
                "a:1",
                "north",
                ServerStage.READY,
                software_version=version,
            )
        )
