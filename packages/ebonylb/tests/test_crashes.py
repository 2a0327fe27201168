"""Tests of crash fingerprints, strikes and their persistent table."""

import asyncio
import time

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from result import Err, Ok

from ebonylb.crashes import StrikeRegistry, StrikeTable, fingerprint, home_shard
from ebonylb.interfaces import Clock, Committed, Row, TableService
from ebonylb.outcomes import StepError
from ebonylb.peers.messages import Done, StrikeReport
from ebonylb.routing import CallWork, GenerateWork, Work
from ebonylb.service.strike_propagation import StrikePropagator


class FastClock(Clock):
    def monotonic_ms(self):
        return time.monotonic() * 1000

    def wall_ms(self):
        return int(time.time() * 1000)

    async def sleep_ms(self, duration_ms):
        await asyncio.sleep(0)


class MemoryTables(TableService):
    def __init__(self):
        self.rows = {}
        self.down = False
        self.commits = 0

    async def transact(self, write_id, checks, writes):
        if self.down:
            return Err(StepError("platform.transact", "t", "down", False))
        self.commits += 1
        for write in writes:
            self.rows[write.key] = Row(write.key, write.value, 1, write_id)
        return Ok(Committed(write_id))

    async def find_write(self, write_id):
        return Ok(any(row.write_id == write_id for row in self.rows.values()))

    async def read(self, table, key, strong=False):
        return Ok(self.rows.get(key))

    async def scan(self, table, prefix="", after="", limit=500):
        if self.down:
            return Err(StepError("platform.scan", "t", "down", False))
        return Ok([self.rows[k] for k in sorted(self.rows) if k > after][:limit])


async def acknowledged(report):
    return True


async def unacknowledged(report):
    return False


class TestFingerprint:
    def test_fingerprint_ignores_fields_that_change_between_sends(self):
        """Guards against a resent or continued request without its strikes."""
        first = Work("r-1", "a", "s", GenerateWork("p", 100, 1))
        resent = Work("r-2", "a", "s", GenerateWork("p", 60, 2, "so far"))
        assert fingerprint(first) == fingerprint(resent)

    def test_fingerprint_differs_between_requests(self):
        """Guards against strikes that count for other requests."""
        works = [
            Work("r", "a", "s", GenerateWork("p", 100)),
            Work("r", "a", "s", GenerateWork("q", 100)),
            Work("r", "a", "t", GenerateWork("p", 100)),
            Work("r", "a", "s", CallWork(b"p", "text/plain")),
            Work("r", "a", "s", CallWork(b"p", "text/html")),
        ]
        assert len({fingerprint(work) for work in works}) == len(works)

    def test_home_shard_is_stable_when_other_shards_change(self):
        """Guards against a request with strikes that runs under two owners."""
        for number in range(100):
            home = home_shard(str(number), range(8))
            others = [shard for shard in range(8) if shard in (home, 0, 3)]
            assert home_shard(str(number), others) == home


class TestStrikeRegistry:
    def test_repeated_reports_of_a_crash_count_once(self):
        """Guards against two strikes from one crash that several owners report."""

        async def scenario():
            registry = StrikeRegistry(acknowledged)
            await registry.report_crash("s1/x", ["f", "g"])
            registry.apply(StrikeReport("s1/x", ["f"]))
            await registry.report_crash("s1/x", ["f", "h"])
            return [registry.strikes(name) for name in "fgh"]

        assert asyncio.run(scenario()) == [1, 1, 1]

    def test_crash_is_published_before_the_report_returns(self):
        """Guards against a retry that reaches a peer before its strike."""

        async def scenario():
            gate, sent = asyncio.Event(), []

            async def publish(report):
                sent.append(report)
                await gate.wait()
                return True

            registry = StrikeRegistry(publish)
            task = asyncio.create_task(registry.report_crash("s1/x", ["f"]))
            await asyncio.sleep(0)
            early = task.done()
            gate.set()
            await task
            return early, sent

        assert asyncio.run(scenario()) == (False, [StrikeReport("s1/x", ["f"])])

    def test_capacity_is_bounded_and_repeated_strikes_are_kept_longest(self):
        """Guards against unbounded memory and a crashing request that runs again."""
        registry = StrikeRegistry(acknowledged, capacity=10)
        registry.apply(StrikeReport("s1/x", ["bad"]))
        registry.apply(StrikeReport("s2/x", ["bad"]))
        for number in range(100):
            registry.apply(StrikeReport(f"c{number}", [str(number)]))
        assert registry.strikes("bad") == 2
        assert len(registry.single_strikes) + len(registry.repeated_strikes) == 10

    # Shrinking a history of 60 steps takes minutes, so failures are not shrunk.
    @settings(max_examples=150, deadline=None, phases=set(Phase) - {Phase.shrink})
    @given(st.data())
    def test_two_crashes_at_most_and_no_bystander_is_refused(self, data):
        """Guards against a third crash and refused bystanders.

        One request crashes each server some time after it starts there. The others are
        bystanders that are sent repeatedly. Arrivals and reports come in any order.
        """
        registry = StrikeRegistry(acknowledged)
        runs = registry.runs
        running, crashes = [], 0
        for step in range(60):
            request = data.draw(st.sampled_from(["bad", "a", "b", "c", "d"]))
            server = data.draw(st.sampled_from(["s1", "s2", "s3", "s4"]))
            if data.draw(st.booleans()):
                if runs.can_run(request, server):
                    # Requests that completed before may run side by side and get
                    # strikes later, in a crash elsewhere. No request with a strike
                    # starts beside another one.
                    here = [
                        r for r, s in running if s == server and registry.strikes(r)
                    ]
                    assert not (here and registry.strikes(request))
                    runs.begin(request, server)
                    running.append((request, server))
            elif ("bad", server) in running and data.draw(st.booleans()):
                crashes += 1
                lost = [run for run in running if run[1] == server]
                registry.apply(StrikeReport(f"{server}/{step}", [r for r, _ in lost]))
                for run in lost:
                    running.remove(run)
                    runs.end(*run, completed=False)
            elif request != "bad" and (request, server) in running:
                running.remove((request, server))
                runs.end(request, server, completed=data.draw(st.booleans()))
            assert crashes <= 2
            assert all(registry.strikes(bystander) < 2 for bystander in "abcd")


class PeersWithReplies:
    """Membership and bus of an entry VM whose peers give fixed replies."""

    def __init__(self, replies):
        self.replies = replies
        self.gossip = self

    def on(self, message_type, handler):
        pass

    def members(self):
        return list(self.replies)

    def domains(self):
        return {}

    async def broadcast_each(self, messages, timeout_ms):
        return self.replies


class TestStrikePropagator:
    @pytest.mark.parametrize(
        ("replies", "acknowledged_by_all"),
        [
            ({"b": Done(), "c": Done()}, True),
            ({"b": Done(), "c": StepError("peer.answer", "c", "no answer")}, False),
            ({}, False),
        ],
    )
    def test_a_report_is_acknowledged_only_by_all_peers(
        self, replies, acknowledged_by_all
    ):
        """Guards against a strike that is lost with the one peer that knew it."""
        peers = PeersWithReplies(replies)
        propagator = StrikePropagator(peers, peers)
        published = asyncio.run(propagator.publish(StrikeReport("crash", ["f"])))
        assert published is acknowledged_by_all


class TestStrikeTable:
    def test_new_entry_vm_reads_earlier_strikes(self):
        """Guards against strikes that are lost with the VM that recorded them."""

        async def scenario():
            tables = MemoryTables()
            writer = StrikeRegistry(unacknowledged, StrikeTable(tables, FastClock()))
            await writer.report_crash("s1/x", ["f"])
            await writer.report_crash("s2/x", ["f"])
            reader = StrikeRegistry(acknowledged, StrikeTable(tables, FastClock()))
            await reader.table.read()
            return reader.strikes("f")

        assert asyncio.run(scenario()) == 2

    def test_reports_share_a_commit_and_survive_an_outage(self):
        """Guards against one write per request and strikes lost during outages."""

        async def scenario():
            tables = MemoryTables()
            table = StrikeTable(tables, FastClock())
            tables.down = True
            for number in range(50):
                table.add(StrikeReport(f"s{number}/x", ["f"]))
            assert not await table.flush(timeout_ms=5)
            tables.down = False
            assert await table.flush()
            return tables.commits, len(tables.rows)

        assert asyncio.run(scenario()) == (1, 50)
