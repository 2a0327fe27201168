"""Tests of the decisions on keys: who a caller is, and how long a key is honoured."""

import asyncio
import logging
from dataclasses import dataclass, replace

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from result import Err, Ok

from ebonylb.adapters import NullMetrics
from ebonylb.batches import BatchHeader, ScoringRequest
from ebonylb.customers import BatchAccess, KeyChanges, KeyCheck, RevocationBound
from ebonylb.interfaces.row_store import RowKey, StoredRow
from ebonylb.routes import Configuration, Customer, Route, RouteKind, RouteTable
from ebonylb.service.site import decode_operator_row
from ebonylb.service.table_readers import OperatorReader
from ebonylb.storage.follower import TableFollower
from ebonylb.storage.store_time import StoreTime
from ebonylb_standins.histories.virtual_time import LoopClock, run_virtual
from ebonylb_standins.site.manual_clock import ManualClock
from ebonylb_standins.site.row_store import MemoryRowStore, StoreData
from ebonylb_standins.site.stored_configuration import configuration, with_customers

REVOKE_MS, APPLY_MS = 5_000, 4_000
KEYS = {"acme": ["key-one", "key-two"], "bolt": ["key-three"]}
ROUTE = Route("ask", "site", "/ask/", RouteKind.IDEMPOTENT, ())
PUBLIC = replace(ROUTE, public=True)


def make_check(strict=True, age_ms=0, routes=(ROUTE,)):
    """Return a check whose view of the configuration has an age."""
    table, clock = RouteTable(), ManualClock(100_000.0)
    by_name = {name: Customer(name) for name in KEYS}
    by_key = {key: by_name[name] for name, keys in KEYS.items() for key in keys}
    table.apply(
        Configuration(1, routes, customers=by_name, customers_by_key=by_key),
    )
    bound = RevocationBound(clock, strict, REVOKE_MS, APPLY_MS)
    if age_ms is not None:
        bound.record_view(clock.boot_ms() - age_ms)
    return KeyCheck(table, bound, NullMetrics())


def outcome(identity):
    """Return the name of a customer, None, or the reason of a refusal."""
    if isinstance(identity, Err):
        return identity.err_value.reason
    return identity.ok_value and identity.ok_value.name


class TestKeyCheck:
    """Load pattern: single requests, sound and malformed, at views of any age."""

    @pytest.mark.parametrize(
        "headers, route, expected",
        [
            (["Bearer key-one"], ROUTE, "acme"),
            (["bearer  key-two "], ROUTE, "acme"),
            (["Bearer key-three"], PUBLIC, "bolt"),
            ([], PUBLIC, None),
            ([], ROUTE, "missing_key"),
            ([""], ROUTE, "missing_key"),
            (["Bearer"], ROUTE, "missing_key"),
            (["Bearer "], PUBLIC, "missing_key"),
            (["Basic key-one"], ROUTE, "missing_key"),
            (["key-one"], ROUTE, "missing_key"),
            (["Bearer key-one", "Bearer key-one"], ROUTE, "missing_key"),
            (["Bearer key-one, Bearer key-one"], ROUTE, "unknown_key"),
            (["Bearer key-on"], ROUTE, "unknown_key"),
            (["Bearer KEY-ONE"], ROUTE, "unknown_key"),
            (["Bearer key-four"], PUBLIC, "unknown_key"),
        ],
    )
    def test_headers_identify_a_customer(self, headers, route, expected):
        assert outcome(make_check().identify(headers, route)) == expected

    @given(st.floats(0, 20_000), st.booleans(), st.booleans())
    def test_an_old_view_rejects_no_key_for_good(self, age_ms, strict, known):
        """Guards against 401 for a new key, and against keys honoured for too long."""
        check = make_check(strict, age_ms)
        key = "key-one" if known else "key-new"
        expected = "acme" if known else "unknown_key"
        if (strict and age_ms > 0.9 * REVOKE_MS) or (not known and age_ms > APPLY_MS):
            expected = "keys_not_current"
        identity = check.identify([f"Bearer {key}"], ROUTE)
        assert outcome(identity) == expected
        if isinstance(identity, Err):
            has_retry = identity.err_value.retry_after_ms is not None
            assert has_retry == (expected == "keys_not_current")
        assert outcome(check.identify([], PUBLIC)) is None
        assert outcome(check.identify([], ROUTE)) == "missing_key"

    @pytest.mark.parametrize("strict", [True, False])
    def test_no_key_is_honoured_before_the_first_read(self, strict):
        check = make_check(strict, age_ms=None)
        identity = check.identify(["Bearer key-one"], ROUTE)
        assert outcome(identity) == "keys_not_current"

    @given(st.text().map(lambda text: f"secret{text}"))
    def test_refusals_do_not_name_the_key(self, key):
        check = make_check()
        for header in (f"Bearer {key}", f"Basic {key}", key):
            assert "secret" not in repr(check.identify([header], ROUTE))
        assert "key-one" not in repr(check.routes.configuration)

    def test_batch_calls_need_a_key_unless_batches_can_be_public(self):
        batches = Route("b", "site", "/b/", RouteKind.BATCH, ())
        for routes, expected in [
            ((batches, PUBLIC), "missing_key"),
            ((batches, replace(batches, public=True)), BatchAccess()),
        ]:
            access = make_check(routes=routes).identify_batch_caller([])
            if isinstance(access, Err):
                assert access.err_value.reason == expected
            else:
                assert access.ok_value == expected
        check = make_check(routes=(batches,))
        access = check.identify_batch_caller(["Bearer key-one"]).ok_value
        allowed = [owner for owner in ("", "acme", "bolt") if access.allows(owner)]
        assert allowed == ["", "acme"]


class SuspendableClock(LoopClock):
    """Clock of a machine that was suspended, and whose wall clock was stepped."""

    suspended_ms = 0.0
    wall_step_ms = 0

    def boot_ms(self):
        return self.monotonic_ms() + self.suspended_ms

    def wall_ms(self):
        return super().wall_ms() + self.wall_step_ms


class SlowStore(MemoryRowStore):
    """Store whose responses arrive some time after the rows were read."""

    response_ms = 0.0

    async def changes(self, *arguments):
        response = await super().changes(*arguments)
        await self.clock.sleep_ms(self.response_ms)
        return response

    async def read_page(self, *arguments):
        response = await super().read_page(*arguments)
        await self.clock.sleep_ms(self.response_ms)
        return response


@dataclass
class EntryVm:
    """The operator's table as one process follows it, and the check of keys."""

    store: SlowStore
    strict: bool = True

    def __post_init__(self):
        self.routes = RouteTable()
        clock = self.store.clock
        self.bound = RevocationBound(clock, self.strict, REVOKE_MS, APPLY_MS)
        self.check = KeyCheck(self.routes, self.bound, NullMetrics())
        reader = OperatorReader(
            decode_operator_row, self.routes, None, self.bound.record_view
        )
        follower = TableFollower(self.store, clock, "op", reader, StoreTime(clock))
        self.task = asyncio.create_task(follower.run())

    def honours(self, key):
        if not self.check.has_customers:
            return False
        return isinstance(self.check.identify([f"Bearer {key}"], ROUTE), Ok)


STEPS = st.one_of(
    st.tuples(st.just("run"), st.integers(10, 3_000)),
    st.tuples(st.just("pause"), st.sampled_from([200, 2_000, 4_800, 6_000])),
    st.tuples(st.just("wall"), st.integers(-9_000, 9_000)),
    st.tuples(st.sampled_from(["cut", "silent", "heal", "restart", "revoke"])),
)


class TestRevocation:
    """Load pattern: requests with a revoked key, 25 ms apart, during faults."""

    @settings(deadline=None, max_examples=60)
    @given(st.lists(STEPS, max_size=12), st.sampled_from([0.0, 300.0, 900.0]))
    @example([("cut",), ("revoke",), ("pause", 6_000)], 0.0)
    # The rows are read before the pause, and the response arrives after it.
    @example([("revoke",), ("pause", 6_000)], 900.0)
    def test_a_revoked_key_runs_nothing_after_the_bound(self, steps, response_ms):
        """Guards against a bound that a cut, a pause, a restart or a step evades."""

        async def scenario():
            clock = SuspendableClock()
            store = SlowStore(StoreData(), clock)
            store.response_ms = response_ms
            store.data.put("op", "config", with_customers(configuration(1), KEYS))
            vm = EntryVm(store)
            await clock.sleep_ms(2_000)
            revoked_ms = None

            def check():
                if revoked_ms is not None and clock.boot_ms() - revoked_ms > REVOKE_MS:
                    assert not vm.honours("key-one")

            for step in [*steps, ("heal",), ("run", 3_000), ("run", 3_000)]:
                match step:
                    case ("run", duration_ms):
                        for _ in range(duration_ms // 25):
                            await clock.sleep_ms(25)
                            check()
                    case ("pause", duration_ms):
                        clock.suspended_ms += duration_ms
                    case ("wall", step_ms):
                        clock.wall_step_ms += step_ms
                    case ("restart",):
                        vm.task.cancel()
                        vm = EntryVm(store)
                        assert not vm.honours("key-two")
                    case ("revoke",) if revoked_ms is None:
                        keys = KEYS | {"acme": ["key-two"]}
                        value = with_customers(configuration(2), keys)
                        store.data.put("op", "config", value)
                        revoked_ms = clock.boot_ms()
                    case ("cut",) | ("silent",) | ("heal",):
                        store.faults.down = step == ("cut",)
                        store.faults.silent = step == ("silent",)
                check()
            # With the store back, keys are decided by the newest version again.
            assert vm.honours("key-two")
            assert vm.honours("key-one") == (revoked_ms is None)
            vm.task.cancel()

        run_virtual(scenario())

    def test_without_the_bound_a_cut_takes_no_key_away(self):
        async def scenario():
            clock = SuspendableClock()
            store = SlowStore(StoreData(), clock)
            store.data.put("op", "config", with_customers(configuration(1), KEYS))
            vm = EntryVm(store, strict=False)
            await clock.sleep_ms(500)
            store.faults.silent = True
            await clock.sleep_ms(3_600_000)
            assert vm.honours("key-one")
            vm.task.cancel()

        run_virtual(scenario())

    def test_history_that_was_lost_does_not_count_as_a_view(self):
        """Guards against a view that a failed call makes younger."""

        async def scenario():
            clock = SuspendableClock()
            store = SlowStore(StoreData(), clock)
            store.data.put("op", "config", with_customers(configuration(1), KEYS))
            vm = EntryVm(store)
            await clock.sleep_ms(500)
            began_ms = vm.bound.view_began_ms

            async def fail(*arguments):
                return store.call_error(False)

            store.read_page = fail
            store.data.put("op", "other", b"")
            store.data.drop_history()
            await clock.sleep_ms(4_400)
            assert vm.bound.view_began_ms == began_ms
            assert not vm.honours("key-one")
            vm.task.cancel()

        run_virtual(scenario())

    def test_a_read_of_many_pages_is_as_old_as_its_first_page(self):
        """Guards against a view whose first page was read long before its last one."""

        async def scenario():
            clock = SuspendableClock()
            store = SlowStore(StoreData(), clock)
            store.data.put("op", "config", with_customers(configuration(1), KEYS))
            for number in range(600):
                store.data.put("op", f"other-{number}", b"")
            vm = EntryVm(store)
            await clock.sleep_ms(6)  # the first page has arrived, the second has not
            store.faults.down = True
            keys = KEYS | {"acme": ["key-two"]}
            store.data.put("op", "config", with_customers(configuration(2), keys))
            await clock.sleep_ms(REVOKE_MS + 500)
            store.faults.down, store.response_ms = False, 300.0
            for _ in range(400):
                await clock.sleep_ms(5)
                assert not vm.honours("key-one")
            assert vm.honours("key-two")
            vm.task.cancel()

        run_virtual(scenario())


class TestConfigurations:
    def test_one_key_for_two_customers_rejects_the_configuration(self, caplog):
        """Guards against half a configuration in force, and a key in the log."""
        routes = RouteTable()
        reader = OperatorReader(decode_operator_row, routes, None, lambda _: None)
        caplog.set_level(logging.DEBUG)
        for version, keys in enumerate([KEYS, KEYS | {"cert": ["key-one"]}], 1):
            value = with_customers(configuration(version), keys)
            reader.change_rows([StoredRow(RowKey("op", "", "config"), value, version)])
        assert routes.version == 1
        assert "'acme' and 'cert'" in str([vars(r) for r in caplog.records])
        assert "key-one" not in str([vars(r) for r in caplog.records])

    @pytest.mark.parametrize("name", ["", "a\r\nHost: b", "a\x00"])
    def test_a_name_that_no_header_can_hold_is_rejected(self, name):
        value = with_customers(configuration(1), {name: ["key-one"]})
        with pytest.raises(msgspec.ValidationError, match="customer name"):
            decode_operator_row(StoredRow(RowKey("op", "", "config"), value, 1))

    def test_headers_of_batches_are_read_by_earlier_and_later_builds(self):
        """Guards against batches that are lost during a rolling update."""
        earlier = msgspec.defstruct(
            "BatchHeader",
            [("batch_id", str), ("route", str), ("total", int), ("model", str, "")],
        )
        header = BatchHeader("b", "r", 1, 5, customer="acme")
        encoded = msgspec.msgpack.encode(header)
        assert msgspec.msgpack.decode(encoded, type=earlier).batch_id == "b"
        fields = msgspec.to_builtins(header)
        del fields["customer"]
        assert msgspec.convert(fields, BatchHeader).customer == ""
        earlier = msgspec.defstruct(
            "ScoringRequest",
            [("request_id", str), ("host", str), ("target", str), ("body", bytes)],
            array_like=True,
        )
        scoring = ScoringRequest("s", "h", "/", b"", (("name", "acme"),))
        encoded = msgspec.msgpack.encode(scoring)
        request = msgspec.msgpack.decode(encoded, type=earlier)
        encoded = msgspec.msgpack.encode(request)
        assert msgspec.msgpack.decode(encoded, type=ScoringRequest).headers == ()


class TestKeyChanges:
    """Load pattern: configurations of the operator, one after the other."""

    def changes(self, *keys_by_version):
        changes, previous = KeyChanges(ManualClock(100_000.0)), None
        for version, keys in enumerate(keys_by_version, 1):
            customers = {name: Customer(name) for name in keys}
            by_key = {k: customers[name] for name in keys for k in keys[name]}
            current = Configuration(
                version, (), customers=customers, customers_by_key=by_key
            )
            changes.observe(previous, current)
            previous = current
        return changes

    def test_removed_and_moved_keys_are_noted(self, caplog):
        """Guards against a removal that operators cannot see, and a key in a log."""
        with caplog.at_level(logging.INFO):
            changes = self.changes(
                {"acme": ["key-one", "key-two"], "bolt": ["key-three"]},
                {"acme": ["key-one", "key-two"], "bolt": ["key-three"]},
                {"acme": ["key-one", "key-three"], "bolt": []},
                {"acme": ["key-one", "key-three"]},
            )
        removals = {n: (r.removed, r.version) for n, r in changes.removals.items()}
        assert removals == {"acme": (1, 3), "bolt": (1, 3)}
        logged = [(r.customer, r.keys, r.added, r.removed) for r in caplog.records]
        assert logged == [("acme", 2, 1, 1), ("bolt", 0, 0, 1)]
        assert "key-" not in repr(vars(changes)) + caplog.text

    def test_the_first_configuration_takes_nothing_away(self):
        assert self.changes({"acme": ["key-one"]}).removals == {}
