import asyncio
import functools

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from ebonylb.configuration import (
    Applied,
    ApplyConflict,
    ApplyRefused,
    ApplyUnavailable,
    ConfigurationPropagator,
    ConfigurationState,
    ConfigurationStore,
)
from ebonylb.configuration.propagation import choose_pollers
from ebonylb.interfaces import Clock, Committed, Conflict, Row, TableService
from ebonylb.outcomes import StepError
from ebonylb.peers.messages import ConfigurationUpdate, FetchConfiguration
from ebonylb.storage.settled_transaction import resolve_conflict


def sheet(weight):
    return (
        '{"day": "2026-03-02", "parties": {"a": {"role": "desk"}},'
        f' "services": {{"lm": {{"kind": "plain", "shares": {{"a": {weight}}}}}}}}}'
    )


class FakeClock(Clock):
    now = 0.0

    def monotonic_ms(self):
        return self.now

    def wall_ms(self):
        return 1_700_000_000_000 + int(self.now)

    async def sleep_ms(self, duration_ms):
        self.now += duration_ms
        await asyncio.sleep(0)


class FakeTables(TableService):
    """In-memory tables; `faults` holds the fault of each of the next calls."""

    def __init__(self):
        self.rows, self.writes, self.faults = {}, set(), []
        self.history = []  # versions of the current row, for stale reads
        self.lag = 0

    def fail(self, step):
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "down":
            return Err(StepError(step, "platform", "down", may_have_run=False))
        return fault

    async def transact(self, write_id, checks, writes):
        await asyncio.sleep(0)
        fault = self.fail("transact")
        if isinstance(fault, Err):
            return fault
        result = self.commit(write_id, checks, writes)
        if fault == "lost":
            return Err(StepError("transact", "platform", "answer lost"))
        return Ok(result)

    def commit(self, write_id, checks, writes):
        if write_id in self.writes:
            return Committed(write_id)
        rows = tuple(self.rows.get((check.table, check.key)) for check in checks)
        for check, row in zip(checks, rows, strict=True):
            if check.revision != (row.revision if row else 0):
                return Conflict(rows)
        for write in writes:
            row_key = (write.table, write.key)
            revision = self.rows[row_key].revision + 1 if row_key in self.rows else 1
            self.rows[row_key] = Row(write.key, write.value, revision, write_id)
            if write.table == "config":
                self.history.append(self.rows[row_key])
        self.writes.add(write_id)
        return Committed(write_id)

    async def find_write(self, write_id):
        fault = self.fail("find")
        return fault if isinstance(fault, Err) else Ok(write_id in self.writes)

    async def read(self, table, key, strong=False):
        await asyncio.sleep(0)
        fault = self.fail("read")
        if isinstance(fault, Err):
            return fault
        if self.lag and not strong:
            seen = self.history[: -self.lag]
            return Ok(seen[-1] if seen else None)
        return Ok(self.rows.get((table, key)))

    async def scan(self, table, prefix="", after="", limit=500):
        keys = sorted(key for kept, key in self.rows if kept == table and key > after)
        return Ok([self.rows[table, key] for key in keys[:limit]])


class FakeBus:
    """Bus to peers whose revisions are in a dictionary by name; None is unreachable."""

    def __init__(self):
        self.handlers, self.revisions, self.sent = {}, {}, []

    def on(self, message_type, handler):
        self.handlers[message_type] = handler

    async def request(self, peer, message, timeout_ms=0):
        self.sent.append((peer, message))
        await asyncio.sleep(0)
        revision = self.revisions[peer]
        if revision is None:
            raise StepError("peer.connect", peer, "cut off", may_have_run=False)
        return update(revision) if revision else ConfigurationUpdate(0)

    async def broadcast(self, peers, message, timeout_ms=0):
        replies = {}
        for peer in peers:
            try:
                replies[peer] = await self.request(peer, message)
            except StepError as error:
                replies[peer] = error
        return replies


def update(revision):
    return ConfigurationUpdate(revision, sheet(revision).encode(), "ann")


def make(name="vm-1"):
    tables, clock, bus = FakeTables(), FakeClock(), FakeBus()
    store = ConfigurationStore(tables, clock, name)
    propagator = ConfigurationPropagator(
        name, ConfigurationState(), store, bus, clock, lambda: [name],
        lambda: list(bus.revisions),
    )  # fmt: skip
    return propagator, tables, bus, clock


def in_loop(test):
    """Run an async test in a new event loop."""

    @functools.wraps(test)
    def run(*arguments, **parameters):
        asyncio.run(test(*arguments, **parameters))

    return run


async def outcomes(store):
    return [row["outcome"] for row in (await store.read_audit()).ok_value]


class TestApply:
    @in_loop
    async def test_racing_operators_have_one_winner(self):
        """Guards against a lost update, and a conflict without the differences."""
        propagator, _, _, _ = make()
        await propagator.apply(sheet(1), None, "zoe")
        results = await asyncio.gather(
            *(propagator.store.apply(sheet(n), 1, f"op-{n}") for n in range(2, 7))
        )
        winners = [r for r in results if isinstance(r, Applied)]
        losers = [r for r in results if isinstance(r, ApplyConflict)]
        assert (len(winners), len(losers)) == (1, 4)
        won = winners[0].sheet.services["lm"].shares["a"]
        for loser in losers:
            assert loser.current_revision == 2
            assert loser.author == f"op-{won:.0f}"
            assert [(c.path, c.old) for c in loser.difference] == [
                ("services.lm.shares.a", won)
            ]
        assert (
            sorted(await outcomes(propagator.store))
            == ["applied"] * 2 + ["conflict"] * 4
        )

    @pytest.mark.parametrize("faults", [["", "lost"], ["", "lost", "down", "lost"]])
    @in_loop
    async def test_lost_response_is_settled(self, faults):
        """Guards against a conflict with one's own write, and a second revision."""
        propagator, tables, _, _ = make()
        tables.faults = faults
        result = await propagator.apply(sheet(1), 0, "ann")
        assert isinstance(result, Applied) and result.revision == 1
        assert tables.rows["config", "current"].revision == 1
        assert await outcomes(propagator.store) == ["applied"]

    @pytest.mark.parametrize(
        ("faults", "may_have_applied"),
        [
            (["down"], False),
            (["", *["down"] * 99], False),
            (["", "lost", *["down"] * 99], True),
        ],
    )
    @in_loop
    async def test_outage_reports_whether_the_sheet_may_have_applied(
        self, faults, may_have_applied
    ):
        """Guards against "not applied" after a write whose response was lost."""
        propagator, tables, _, _ = make()
        tables.faults = faults
        result = await propagator.apply(sheet(1), 0, "ann")
        assert isinstance(result, ApplyUnavailable)
        assert result.may_have_applied == may_have_applied
        assert propagator.state.revision == 0

    def test_failed_look_up_leaves_the_result_unknown(self):
        """Guards against "not applied" after a lost response and a failed look-up."""
        tables = FakeTables()
        tables.faults = ["down"]
        result = asyncio.run(resolve_conflict(tables, "w", Conflict((None,))))
        assert result.err_value.may_have_run

    @in_loop
    async def test_refused_sheet_changes_nothing(self):
        """Guards against a partly valid sheet taking effect or not being audited."""
        propagator, tables, _, _ = make()
        result = await propagator.apply(sheet(-1), None, "ann")
        assert isinstance(result, ApplyRefused) and len(result.problems) == 1
        assert ("config", "current") not in tables.rows
        assert await outcomes(propagator.store) == ["refused"]

    @in_loop
    async def test_audit_pages_are_newest_first(self):
        """Guards against audit rows lost or repeated between two pages."""
        propagator, _, _, clock = make()
        for revision in range(5):
            clock.now += 1
            await propagator.store.apply(sheet(revision + 1), revision, "ann")
        first = (await propagator.store.read_audit(2)).ok_value
        rest = (await propagator.store.read_audit(9, first[-1]["key"])).ok_value
        assert [row["to_revision"] for row in first + rest] == [5, 4, 3, 2, 1]


STEPS = st.lists(
    st.tuples(st.sampled_from(["push", "peer", "apply", "poll"]), st.integers(0, 6))
)


class TestPropagation:
    @given(STEPS)
    @in_loop
    async def test_revision_never_decreases(self, steps):
        """Guards against a stale read or an outdated peer lowering the revision."""
        propagator, tables, bus, _ = make()
        seen = []
        propagator.state.subscribe(lambda revision, _: seen.append(revision))
        for step, number in steps:
            highest = propagator.state.revision
            if step == "push" and number:
                await bus.handlers[ConfigurationUpdate](update(number))
            elif step == "peer":
                bus.revisions["p"] = number or None
                await propagator.fetch("p")
            elif step == "apply":
                await propagator.apply(sheet(9), None, "ann")
            else:
                tables.lag = number
                await propagator.read_platform(strong=False)
            assert propagator.state.revision >= highest
        assert seen == sorted(set(seen))
        await propagator.close()

    @pytest.mark.parametrize(
        ("stored", "faults", "peers", "expected"),
        [
            (2, [], {}, 2),
            (2, [], {"p": 5, "q": 3, "r": None}, 5),
            (0, ["down"] * 3, {"p": 4}, 4),
            (0, [], {"p": 0}, 0),
            (3, ["down"] * 3, {"p": 0}, 3),
        ],
    )
    @in_loop
    async def test_startup_loads_the_highest_revision(
        self, stored, faults, peers, expected
    ):
        """Guards against serving without a configuration or with an old one."""
        propagator, tables, bus, _ = make()
        for revision in range(stored):
            await propagator.store.apply(sheet(revision + 1), None, "ann")
        tables.lag, tables.faults, bus.revisions = stored, faults, peers
        assert not propagator.can_admit()
        await asyncio.wait_for(propagator.start(), 5)
        await propagator.close()
        assert propagator.state.revision == expected
        assert propagator.can_admit()
        assert not tables.faults or any(peers.values())

    @in_loop
    async def test_apply_is_pushed_and_revisions_are_fetched(self):
        """Guards against waiting for a poll when a peer has a higher revision."""
        propagator, _, bus, _ = make()
        bus.revisions = {"p": 8, "q": 8, "r": 8}
        await propagator.apply(sheet(1), None, "ann")
        await asyncio.gather(*propagator.tasks)
        assert {peer for peer, _ in bus.sent} == {"p", "q", "r"}
        for peer in bus.revisions:
            propagator.on_peer_revision(peer, 8)
        assert len(propagator.fetching) == 2
        await asyncio.gather(*propagator.tasks)
        assert propagator.state.revision == 8

    def test_two_pollers_per_domain(self):
        """Guards against each entry VM polling at the full rate."""
        names = [f"vm-{n}" for n in range(20)]
        pollers = choose_pollers(names)
        assert len(pollers) == 2
        assert choose_pollers(set(names) - {pollers[0]})[0] == pollers[1]


class TestStallGate:
    def start_stalled(self, peers, faults):
        propagator, tables, bus, clock = make()
        propagator.state.confirm_absent()
        bus.revisions, tables.faults = peers, faults
        assert propagator.can_admit()
        clock.now += 2_001
        return propagator, bus, clock

    def test_first_call_after_a_stall_is_not_admitted(self):
        """Guards against work admitted before the stall detection task runs again."""
        propagator, _, clock = self.start_stalled({}, [])
        assert not propagator.can_admit()
        clock.now += 999
        assert not propagator.can_admit()
        clock.now += 1
        assert propagator.can_admit()

    def test_short_pause_is_no_stall(self):
        """Guards against refusals during normal load."""
        propagator, _, _, clock = make()
        propagator.state.confirm_absent()
        clock.now += 2_000
        assert propagator.can_admit()

    @pytest.mark.parametrize(
        ("peers", "faults", "opens"),
        [
            ({}, [], True),
            ({"p": 3}, ["down"], True),
            ({"p": None}, ["down"], False),
            ({"p": 1}, ["down"], False),
        ],
    )
    @in_loop
    async def test_confirmation_opens_the_gate(self, peers, faults, opens):
        """Guards against a peer that is behind counting as confirmation."""
        propagator, _, _ = self.start_stalled(peers, faults)
        propagator.state.advance(2, propagator.state.sheet)
        assert not propagator.can_admit()
        await propagator.confirm(propagator.gate.stall_count)
        assert propagator.can_admit() == opens
        assert propagator.state.revision == max(2, *(r or 0 for r in peers.values()), 0)

    @in_loop
    async def test_stalled_peer_confirms_nobody(self):
        """Guards against entry VMs of a frozen rack confirming each other."""
        _, bus, _ = self.start_stalled({}, [])
        with pytest.raises(StepError, match="not confirmed"):
            await bus.handlers[FetchConfiguration](FetchConfiguration())

    @in_loop
    async def test_watch_calls_back_after_each_stall(self):
        """Guards against a gate that only opens after the confirmation timeout."""
        propagator, _, clock = self.start_stalled({}, [])
        task = asyncio.create_task(propagator.gate.watch(propagator.gate.confirm))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert propagator.gate.stall_count == 1 and propagator.gate.is_open()
        assert clock.now < 2_001 + 1_000
        task.cancel()
