"""Tests of the server directory, observed conditions and server selection."""

import pytest

from ebonylb.fleet import ListedServer, ServerDirectory, ServerSelector, ServerStage
from ebonylb.fleet.condition import ServerCondition
from ebonylb.fleet.directory import RELIST_TIMEOUT_MS
from ebonylb.fleet.selector import Locality
from ebonylb.interfaces.server_client import ServerLoad
from ebonylb_standins.site.manual_clock import ManualClock

LOCALITY = Locality(
    "north", "gorge", {"north": "gorge", "south": "gorge", "high": "land"}
)


def server(name, domain="north", **options):
    fields = {"address": f"10.0.0.1:{len(name)}", "slots": 4, "started_ms": 1} | options
    return ListedServer(
        name,
        "desk",
        failure_domain=domain,
        stage=fields.pop("stage", ServerStage.READY),
        **fields,
    )


@pytest.fixture
def clock():
    return ManualClock(100_000.0)


@pytest.fixture
def directory(clock):
    return ServerDirectory(clock)


class TestDirectory:
    def test_leaving_server_is_not_ready(self, directory):
        directory.put(server("a"))
        directory.put(server("b"))
        directory.put(server("a", stage=ServerStage.LEAVING))
        assert [s.name for s in directory.ready("desk")] == ["b"]

    def test_removed_server_is_dropped_at_once(self, directory):
        directory.put(server("a"))
        directory.remove("a")
        assert directory.ready("desk") == []

    def test_missing_servers_are_kept_for_a_time_after_a_list_outage(
        self, directory, clock
    ):
        """Guards against dropped servers after an outage of the store.

        Entries of live servers expire during the outage and are written again later.
        """
        directory.put(server("a"))
        directory.put(server("b"))
        directory.record_list_recovery()
        directory.replace_all([])
        assert len(directory.ready("desk")) == 2
        directory.put(server("a"))
        clock.now_ms += RELIST_TIMEOUT_MS
        directory.drop_missing()
        assert [s.name for s in directory.ready("desk")] == ["a"]

    def test_restarted_server_loses_its_observations(self, directory):
        directory.put(server("a"))
        directory.condition("a").record_failure(0)
        directory.condition("a").versions["m"] = 9
        directory.put(server("a", started_ms=2))
        assert directory.condition("a").consecutive_failures == 0
        assert directory.version_of(directory.get("a"), "m") == 0

    def test_changed_entry_keeps_observations(self, directory):
        directory.put(server("a"))
        directory.condition("a").record_failure(0)
        directory.put(server("a", cold_ms=5))
        assert directory.condition("a").consecutive_failures == 1

    def test_first_listing_of_many_servers_writes_few_log_lines(
        self, directory, caplog
    ):
        """Guards against one log line per server at the start of an entry VM.

        When 300 entry VMs restart after a power loss, each of them lists 3,000 servers.
        """
        with caplog.at_level("INFO"):
            directory.replace_all([server(f"s{n}") for n in range(3_000)])
        lines = [r for r in caplog.records if r.message == "backend servers listed"]
        assert len(caplog.records) == len(lines) <= 30
        assert sum(len(line.servers) for line in lines) == 3_000

    def test_cached_ready_servers_follow_each_change(self, directory):
        """Guards against a cached list that contains removed or leaving servers."""
        directory.put(server("a"))
        assert [s.name for s in directory.ready("desk")] == ["a"]
        directory.put(server("b"))
        assert [s.name for s in directory.ready("desk")] == ["a", "b"]
        directory.put(server("a", stage=ServerStage.LEAVING))
        assert [s.name for s in directory.ready("desk")] == ["b"]
        directory.remove("b")
        assert directory.ready("desk") == []


class TestCondition:
    def test_short_disturbance_does_not_mark_a_server_slow(self):
        """Guards against a server marked slow by a neighbour's disturbance.

        The disturbance slows 10 streams down 2.5 times for 600 ms.
        """
        condition = ServerCondition()
        for step in range(20):
            condition.record_gap(33, 33, step * 33)
        max_slowness = 0.0
        for step in range(7):
            for stream in range(10):
                now = 660 + step * 82 + stream * 8
                condition.record_gap(82, 33, now)
                max_slowness = max(max_slowness, condition.slowness(33, now))
        assert max_slowness < 2.2

    def test_slow_server_is_detected_within_a_second(self):
        """Guards against late detection of an engine that becomes 3.5 times slower.

        The engine runs 10 streams at that time.
        """
        condition = ServerCondition()
        for step in range(20):
            condition.record_gap(33, 33, step * 33)
        detected_after_ms = None
        for step in range(20):
            now = 660 + (step + 1) * 115
            for stream in range(10):
                condition.record_gap(115, 33, now + stream)
            if detected_after_ms is None and condition.slowness(33, now) > 2.2:
                detected_after_ms = now - 660
        assert detected_after_ms is not None
        assert detected_after_ms <= 1_000

    def test_old_gap_observations_expire(self):
        condition = ServerCondition()
        for step in range(20):
            condition.record_gap(200, 33, step * 200)
        assert condition.slowness(33, 4_000) > 3
        assert condition.slowness(33, 20_000) == 1.0

    def test_load_of_other_entry_vms_is_reported_load_minus_own(self):
        condition = ServerCondition(own_requests=2)
        condition.record_load(ServerLoad(5, 1, 16), 0)
        assert condition.load(0) == 6
        condition.own_requests = 3
        assert condition.load(0) == 7
        assert condition.load(60_000) == 3

    def test_backoff_grows_with_consecutive_failures(self):
        condition = ServerCondition()
        backoffs = []
        for _ in range(8):
            condition.record_failure(0)
            backoffs.append(condition.backoff_until_ms)
        assert backoffs == sorted(backoffs)
        assert backoffs[-1] == 4_000
        condition.record_success(10)
        assert not condition.is_backing_off(10)


class TestChoice:
    @pytest.fixture
    def selector(self, directory, clock):
        return ServerSelector(directory, clock, LOCALITY)

    def test_nearest_server_is_chosen_when_all_are_idle(self, directory, selector):
        for name, domain in (("far", "high"), ("beside", "south"), ("here", "north")):
            directory.put(server(name, domain))
        assert selector.choose_plain("desk").name == "here"

    def test_median_gap_is_cached_between_events(
        self, directory, selector, clock, monkeypatch
    ):
        """Guards against a scan of all servers for each event of each stream."""
        directory.put(server("here"))
        scans = []
        ready = directory.ready
        monkeypatch.setattr(
            directory, "ready", lambda service: scans.append(1) or ready(service)
        )
        first = selector.median_gap_ms("desk")
        for _ in range(200):
            clock.now_ms += 0.5
            selector.median_gap_ms("desk")
        assert len(scans) <= 6
        for name in ("one", "two", "three"):
            directory.put(server(name))
            directory.condition(name).gap_ms = 2 * first
        clock.now_ms += 25
        assert selector.median_gap_ms("desk") == 2 * first

    def test_full_near_server_is_skipped(self, directory, selector, clock):
        directory.put(server("here", "north"))
        directory.put(server("far", "high"))
        directory.condition("here").own_requests = 8
        assert selector.choose_plain("desk").name == "far"

    def test_server_that_fails_part_of_its_requests_is_avoided(
        self, directory, selector, clock
    ):
        """Guards against requests to a server that fails despite good health checks."""
        directory.put(server("grey", "north"))
        directory.put(server("far", "high"))
        condition = directory.condition("grey")
        for _ in range(4):
            condition.record_failure(clock.now_ms)
            condition.record_success(clock.now_ms)
        assert selector.choose_plain("desk").name == "far"

    def test_servers_in_backoff_are_the_last_resort(self, directory, selector, clock):
        directory.put(server("a"))
        directory.condition("a").record_failure(clock.now_ms)
        assert selector.choose_plain("desk").name == "a"
        directory.put(server("far", "high"))
        assert selector.choose_plain("desk").name == "far"
