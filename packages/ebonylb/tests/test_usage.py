"""Tests of usage reports: the counts, true time, and one report for each window."""

import asyncio
from collections import Counter

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonylb.fleet.selector import ROUND_TRIP_MS
from ebonylb.forwarding import CallerRequest
from ebonylb.interfaces.control_plane import CallOutcome
from ebonylb.leases import claim_delay_ms
from ebonylb.limits.shares import EntryVmRow, encode_row, row_decoder
from ebonylb.storage.store_time import StoreTime
from ebonylb.usage import AgreedTime, WindowCounts
from ebonylb.usage.agreed_time import agree_offset
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.cut_path import PathState
from ebonylb_standins.site.duty_rule import find_faults
from ebonylb_standins.site.world import REPORT_WINDOW_MS, MachineClock, World

LEASE_MS = 3_000.0
LATE_MS = 10_000.0
TABLES = ("usage", "usage-reports")


class TestWindowCounts:
    def test_a_request_counts_once_in_its_first_window(self):
        """Guards against copies, retries and relays that count again."""
        counts = WindowCounts(5_000)
        assert counts.begin("q", "x", 4_999.9)
        assert not counts.begin("q", "x", 5_000.0)
        assert counts.begin("r", "x", 5_000.0)
        assert counts.counts == {0: {"x": 1}, 1: {"x": 1}}

    def test_ids_are_forgotten_but_not_soon(self):
        """Guards against memory that grows with each request."""
        counts = WindowCounts(5_000)
        counts.begin("q", "x", 29_999)
        assert not counts.begin("q", "x", 59_999)
        counts.begin("r", "x", 90_000)
        assert len(counts.recent_ids) + len(counts.older_ids) == 1


class TestAgreedTime:
    @given(
        st.lists(st.floats(-5, 5), min_size=3, max_size=9),
        st.data(),
        st.floats(-9_000, 9_000),
    )
    def test_a_minority_does_not_move_it(self, sound, data, jump):
        jumped = data.draw(st.integers(0, (len(sound) - 1) // 2))
        offsets = [o + jump if n < jumped else o for n, o in enumerate(sound)]
        assert abs(agree_offset(offsets, 0.0)) <= 5

    @pytest.mark.parametrize("jump", [-3_000, 3_000])
    def test_one_of_two_does_not_move_it(self, jump):
        """Guards against the mean of two values, half a jump off."""
        assert agree_offset([1.0, jump], 0.0) == 1.0

    def make(self, offsets):
        clock = MachineClock()
        store_time = StoreTime(clock)
        store_time.record(7_000_000.0)
        return clock, AgreedTime("a", clock, store_time, lambda: offsets)

    def test_delayed_responses_of_the_store_do_not_move_it(self):
        """The load: a slow store, or a busy entry VM that reads responses late.

        Guards against requests that are counted in the window before their own.
        """

        async def scenario():
            clock = MachineClock()
            store_time = StoreTime(clock)
            agreed = AgreedTime("a", clock, store_time, dict)
            for second in range(60):
                delay_ms = 2.0 if second % 20 == 0 else 60.0 + 37 * second % 190
                store_time.record(clock.monotonic_ms() + 7e6 - delay_ms)
                if second > 2:
                    assert abs(agreed.now_ms() - clock.wall_ms()) <= 25
                    estimate_ms = store_time.now_ms() - 7e6
                    assert abs(estimate_ms - clock.monotonic_ms()) <= 25
                await clock.sleep_ms(1_000)

        run_virtual(scenario())

    def test_others_that_started_on_a_busy_machine_do_not_move_it(self):
        """The load: entry VMs that start together read their first responses late.

        Guards against requests that are counted in the window before their own until
        the others tell their offsets again, a minute later.
        """

        async def scenario():
            clock = MachineClock()
            store_time = StoreTime(clock)
            store_time.record(clock.monotonic_ms() + 7e6)
            agreed = AgreedTime(
                "a", clock, store_time, lambda: {"b": -7e6 + 190, "c": -7e6 + 210}
            )
            assert agreed.now_ms() == clock.wall_ms()
            clock.wall_error_ms = 2_000
            assert abs(agreed.now_ms() - clock.monotonic_ms()) <= 210

        run_virtual(scenario())

    @pytest.mark.parametrize("others", [{}, {"b": -7e6}, {"b": -7e6, "c": -7e6}])
    def test_a_jump_of_the_own_wall_clock_is_ignored(self, others):
        async def scenario():
            clock, agreed = self.make(others)
            before = agreed.now_ms()
            clock.wall_error_ms = 4_000.0
            await clock.sleep_ms(9_000)
            assert abs(agreed.now_ms() - before - 9_000) < 1
            assert agreed.observe_offset() > -7e6 + 3_999

        run_virtual(scenario())

    def test_drift_is_followed(self):
        async def scenario():
            clock, agreed = self.make({})
            for _ in range(50):
                clock.wall_error_ms += 10.0
                await clock.sleep_ms(1_000)
                agreed.update()
            assert abs(agreed.now_ms() - clock.monotonic_ms() - 500) < 1

        run_virtual(scenario())

    def test_older_and_newer_builds_read_each_others_rows(self):
        old_fields = ("i", 1.0, {"lm": 1}, {}, {})
        old = msgspec.defstruct(
            "Old",
            [("i", str), ("w", float), ("d", dict), ("l", dict), ("c", dict)],
            array_like=True,
        )
        told = encode_row(EntryVmRow(*old_fields, clock_offset_ms=5.0))
        assert msgspec.msgpack.decode(told, type=old).d == {"lm": 1}
        former = msgspec.msgpack.encode(old(*old_fields))
        assert row_decoder.decode(former).clock_offset_ms is None
        assert encode_row(EntryVmRow(*old_fields)) == former


class Load:
    """Requests of two customers at random entry VMs of a site."""

    def __init__(self, entry_vms=3, duties=("usage_report",), delay_ms=4.0, **world):
        self.world = World(duties=duties, **world)
        self.vms = [self.world.start(f"vm-{n}") for n in range(entry_vms)]
        for vm in self.vms:
            vm.store.faults.delay_ms = delay_ms
        self.customers = {}
        self.tasks = set()

    async def settle(self):
        """Let the entry VMs start; no request begins at the edge of a window."""
        await self.world.clock.sleep_ms(25)

    def send(self, vm, customer="x", path="/ask/1"):
        request_id = f"q{len(self.customers)}"
        self.customers[request_id] = customer
        now = self.world.clock.monotonic_ms()
        request = CallerRequest(
            request_id,
            "GET",
            "site",
            path,
            path,
            (("Host", "site"),),
            b"",
            now,
            customer=customer,
        )
        serving = vm.forwarder.serve(request, vm.forwarder.find_route(request))
        task = asyncio.create_task(serving)
        self.tasks.add(task)
        return task

    async def run(self, seconds, loaded=True):
        for number in range(int(seconds * 20)):
            running = [vm for vm in self.vms if not vm.is_stopped]
            if loaded and running:
                self.send(running[number % len(running)], "xxxy"[number % 4])
            await self.world.clock.sleep_ms(50)

    @property
    def calls(self):
        return self.world.platform.calls

    def holder(self):
        name = self.vms[0].platform_duties.runner.leases.holder_of("usage")
        return self.world.vms[name]

    async def until_sum_is_stored(self):
        rows = self.world.data.rows
        count = sum(key.table == "usage-reports" for key in rows)
        while sum(key.table == "usage-reports" for key in rows) <= count:
            await self.world.clock.sleep_ms(1)

    def true_counts(self):
        counts = {}
        for request_id, at_ms in self.world.port.started_at_ms.items():
            window = counts.setdefault(int(at_ms // REPORT_WINDOW_MS), Counter())
            window[self.customers[request_id]] += 1
        return counts

    def check(self, tolerance=0.0, missing=()):
        """Assert that the windows are reported in order, and with the true counts."""
        assert find_faults(self.calls, LEASE_MS) == []
        reports = self.world.platform.reports()
        first, last = min(reports), max(reports)
        assert set(range(first, last + 1)) - set(reports) == set(missing)
        windows = [call.window for call in self.calls]
        assert windows == sorted(windows)
        ended = self.world.clock.monotonic_ms() - LATE_MS
        assert first <= 1 and last >= ended // REPORT_WINDOW_MS - 1
        for window, reported in reports.items():
            true = self.true_counts().get(window, {})
            assert reported.keys() <= true.keys()
            for customer, count in true.items():
                assert abs(reported.get(customer, 0) - count) <= tolerance * count

    def latest_ms(self):
        """Return how late after the end of its window a report first arrived."""
        first = {call.window: call.at_ms for call in reversed(self.calls)}
        return max(at - (w + 1) * REPORT_WINDOW_MS for w, at in first.items())


def run(scenario, **options):
    async def run_load():
        load = Load(**options)
        await load.settle()
        await scenario(load)
        return load

    return run_virtual(run_load())


class TestReports:
    """The load of each test is steady: 20 requests a second over all entry VMs."""

    def test_each_window_is_reported_in_time(self):
        async def scenario(load):
            await load.run(20)
            await load.run(20, loaded=False)
            load.check()
            assert load.latest_ms() < LATE_MS
            assert load.world.platform.reports()[5] == {}
            rows = [key for key in load.world.data.rows if key.table in TABLES]
            assert len(rows) <= 12

        run(scenario)

    def test_copies_and_refusals_count_once(self):
        """Servers are slow, so that copies are sent, and refuse, break or fail."""

        async def scenario(load):
            servers = load.world.port.servers
            for mode in ("refuses", "resets", "fails"):
                servers["p0"].mode = mode
                await load.run(5)
            servers["p0"].mode = "dark"
            await load.run(5)
            servers["p0"].mode, servers["p1"].slowdown = "serves", 9.0
            await load.run(20)
            load.check(tolerance=0.01)

        run(scenario)

    def test_relayed_requests_count_once(self):
        """An entry VM is cut off from all servers while they run its requests."""

        async def scenario(load):
            for server in load.world.port.servers.values():
                server.slowdown = 9.0
            await load.run(5)
            load.vms[0].path.cut(PathState.RESET)
            await load.run(20)
            load.check()

        run(scenario)

    def test_batches_and_their_scoring_requests_are_not_counted(self):
        async def scenario(load):
            batch = load.world.batch("b", [4] * 8, scored=True)
            assert await load.vms[0].batches.submit(batch) is None
            await load.run(20, loaded=False)
            assert {call.content == {} for call in load.calls} == {True}

        run(scenario)

    def test_a_request_with_a_late_answer_is_counted_in_time(self):
        """Guards against counts that wait for the end of long requests."""

        async def scenario(load):
            load.world.port.servers["p0"].mode = "dark"
            load.world.port.servers["p1"].mode = "absent"
            await load.run(0.1)
            await load.world.clock.sleep_ms(1_900)
            for vm in load.vms:
                await vm.platform_duties.usage.rows.write_changed()
            counts = [vm.platform_duties.usage.counts.counts for vm in load.vms]
            assert sum(c.get(0, {}).get("x", 0) for c in counts) == 2

        run(scenario)

    @pytest.mark.parametrize("is_stored", [False, True])
    def test_the_holder_is_lost_before_or_after_the_sum_is_stored(self, is_stored):
        async def scenario(load):
            await load.run(17)
            loading = asyncio.create_task(load.run(30))
            if is_stored:
                load.world.platform.lost_answers = 1
                await load.until_sum_is_stored()
                await load.world.clock.sleep_ms(30)
            else:
                await load.world.clock.sleep_ms(3_950)
            load.holder().stop()
            await loading
            # Requests in progress at the lost entry VM, and its last half second.
            load.check(tolerance=0.12)
            assert load.latest_ms() < 13_000

        run(scenario)

    def test_a_lost_answer_leads_to_an_exact_repetition(self):
        """Guards against a second sum, which includes counts that came late."""

        async def scenario(load):
            await load.run(17)
            load.world.platform.lost_answers = 2
            count = len(load.calls)
            while len(load.calls) == count:
                await load.world.clock.sleep_ms(1)
            window = load.calls[-1].window
            load.world.data.put("usage", "late", b'{"x":7}', str(window))
            await load.run(15)
            windows = Counter(call.window for call in load.calls)
            assert max(windows.values()) == 3
            load.check()

        run(scenario)

    def test_the_store_is_down_when_reports_are_due(self):
        """Guards against a sum before the others have stored what they kept."""

        async def scenario(load):
            await load.run(19)
            for vm in load.vms:
                vm.store.faults.down = True
            await load.run(9)
            for vm in load.vms:
                vm.store.faults.down = False
            await load.run(20)
            load.check()

        run(scenario)

    def test_writes_without_answers_lose_nothing(self):
        """Writes take effect and their answers are lost, or take effect late."""

        async def scenario(load):
            for _ in range(10):
                for vm in load.vms:
                    vm.store.faults.lost_responses = 2
                    vm.store.faults.late_writes_ms = [700.0, 40.0]
                await load.run(3)
            await load.run(15)
            load.check()

        run(scenario)

    @pytest.mark.parametrize("pause_s", [30, 90])
    def test_a_holder_that_is_paused_while_it_sums(self, pause_s):
        """Guards against a second sum of a window whose counts are deleted.

        After the longer pause, the row of the first sum is deleted as well.
        """

        async def scenario(load):
            await load.run(17)
            paused = load.holder().platform_duties.usage.reporter
            read_sum = paused.count_table.read_sum

            async def read_and_pause(window):
                paused.count_table.read_sum = read_sum
                result = await read_sum(window)
                await load.world.clock.sleep_ms(pause_s * 1_000)
                return result

            paused.count_table.read_sum = read_and_pause
            await load.run(pause_s + 20)
            load.check()

        run(scenario)

    @pytest.mark.parametrize("jump_ms", [-4_000.0, 3_000.0])
    def test_wall_clocks_of_a_minority_jump(self, jump_ms):
        """One wall clock is wrong from the start, another one jumps and jumps back.

        There is a burst at the beginning of each window.
        """

        async def scenario(load):
            load.vms.append(load.world.start("wrong"))
            await load.world.clock.sleep_ms(2_000)
            load.vms[1].clock.wall_error_ms = jump_ms
            for second in range(2, 150):
                await load.run(1, loaded=second % 5 in (0, 1))
                if second == 100:
                    load.vms[1].clock.wall_error_ms = 0.0
            load.check()

        run(scenario, entry_vms=5, wall_errors_ms={"wrong": jump_ms})

    def test_a_holder_that_does_not_reach_the_platform(self):
        async def scenario(load):
            await load.run(17)
            cut = load.holder().name
            load.world.platform.cut_off.add(cut)
            await load.run(30)
            assert load.calls[-1].holder != cut
            load.world.platform.cut_off.clear()
            await load.run(10)
            load.check()

        run(scenario)

    @pytest.mark.parametrize("down_s, given_up", [(30, False), (100, True)])
    def test_the_platform_is_down(self, down_s, given_up):
        async def scenario(load):
            await load.run(20)
            load.world.platform.down = True
            await load.run(down_s)
            load.world.platform.down = False
            await load.run(30)
            reports = load.world.platform.reports()
            missing = set(range(max(reports))) - set(reports) - {0}
            assert bool(missing) == given_up
            assert len(missing) <= (down_s - 60) / 5 + 2 if given_up else not missing
            load.check(missing=missing)

        run(scenario)

    def test_rejected_reports_are_repeated(self):
        async def scenario(load):
            load.world.platform.outcome = CallOutcome.REJECTED
            await load.run(30)
            load.world.platform.outcome = CallOutcome.ACCEPTED
            await load.run(20)
            load.check()

        run(scenario)

    @pytest.mark.parametrize("error_ms", [-9_000.0, 9_000.0])
    def test_the_first_window_is_named_by_true_time(self, error_ms):
        """Guards against a wrong wall clock that decides where the reports begin.

        The entry VM with this clock is the first one that could name the window.
        """

        async def scenario(load):
            await load.run(17)
            load.check()

        names = ("vm-0", "vm-1", "vm-2")
        first = min(names, key=lambda name: claim_delay_ms("usage", name, 5))
        run(scenario, delay_ms=80.0, wall_errors_ms={first: error_ms})

    def test_all_entry_vms_restart(self):
        """Guards against windows that are skipped, or sent with other counts."""

        async def scenario(load):
            await load.run(18)
            for vm in load.vms:
                await vm.platform_duties.finish()
                vm.stop()
            await load.run(7)
            load.vms = [load.world.start(f"vm-{n}", incarnation="2") for n in range(3)]
            await load.run(30)
            load.check()

        run(scenario)

    def test_the_last_counts_are_stored_at_the_end(self):
        async def scenario(load):
            await load.run(2.01)
            for task in [load.send(load.vms[0], "late") for _ in range(3)]:
                await task
            await load.vms[0].platform_duties.finish()
            rows = [
                msgspec.json.decode(row.value)
                for key, row in load.world.data.rows.items()
                if key.table == "usage"
            ]
            assert sum(counts.get("late", 0) for counts in rows) == 3

        run(scenario)

    def test_without_the_duty_no_table_is_used(self):
        async def scenario(load):
            await load.run(20)
            tables = {row.row_key.table for row in load.world.data.log}
            assert tables.isdisjoint(TABLES) and load.calls == []
            offsets = [vm.limits.shares.clock_offsets() for vm in load.vms]
            assert offsets == [{}] * 3

        run(scenario, duties=())


def test_half_round_trips_are_within_the_edges_of_windows():
    """Guards against an estimate of the beginning that is off by more than 1%."""
    assert max(ROUND_TRIP_MS) / 2 / REPORT_WINDOW_MS < 0.01
