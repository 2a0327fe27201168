"""Tests of the shares of customers in engine slots and in requests in progress."""

import itertools
import logging
import random
from asyncio import create_task, gather
from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonylb.adapters.memory_metrics import InMemoryMetrics
from ebonylb.admission import FairAdmission, LoadRows, Ticket, ToldLoad
from ebonylb.admission.customer_load import CustomerLoad
from ebonylb.admission.fair_level import fill_level
from ebonylb.admission.load_rows import TABLE as LOADS_TABLE
from ebonylb.admission.model import CustomerShare
from ebonylb.batches.slot_shares import (
    OpenBatch,
    customer_slots,
    divide_among_batches,
    divide_among_customers,
)
from ebonylb.forwarding import CallerRequest, CallerStream
from ebonylb.outcomes import Outcome, Refusal
from ebonylb.routes import Configuration, Customer, RouteTable
from ebonylb.storage.follower import TableFollower
from ebonylb.storage.store_time import StoreTime
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.flooded_service import FloodedService
from ebonylb_standins.site.manual_clock import ManualClock
from ebonylb_standins.site.row_store import MemoryRowStore
from ebonylb_standins.site.servers import PlannedResponse
from ebonylb_standins.site.world import (
    ENGINE_SERVICE,
    World,
    configuration,
    read_all,
    with_customers,
)

ON_TIME, OVERDUE, NOW = 1_000.0, -1_000.0, 0.0


def jain_index(values) -> float:
    """Return Jain's fairness index: 1 if all values are equal."""
    values = list(values)
    return sum(values) ** 2 / (len(values) * sum(v * v for v in values))


def batches_of(customer: str, *sizes: int, due_ms=ON_TIME, priority=0):
    """Return batches of one customer with these numbers of unfinished items."""
    return [
        OpenBatch(f"{customer}-{n}", f"h{n % 3}", size, due_ms, 1.0, customer, priority)
        for n, size in enumerate(sizes)
    ]


def by_customer(batches, slots: int, window: int = 0) -> dict[str, int]:
    """Return the slots of all batches of each customer."""
    shares = divide_among_customers(batches, slots, NOW, window)
    totals = dict.fromkeys((b.customer for b in batches), 0)
    for batch in batches:
        totals[batch.customer] += shares.get(batch.batch_id, 0)
    return totals


customer_batches = st.lists(
    st.builds(
        OpenBatch,
        st.uuids().map(str),
        st.sampled_from("xyz"),
        st.integers(0, 60),
        st.sampled_from([ON_TIME, OVERDUE]),
        st.just(1.0),
        st.sampled_from("abcdef"),
        st.integers(0, 2),
    ),
    max_size=14,
)


class TestSlotsOfCustomers:
    """Division of the slots of engines among customers, then among their batches."""

    @given(customer_batches, st.integers(0, 150), st.integers(0, 9_999), st.randoms())
    def test_a_customer_has_less_only_if_it_needs_less(
        self, batches, slots, window, rng
    ):
        """Guards against shares that depend on the order of rows, on priorities or on
        due times, and against idle slots.
        """
        totals = by_customer(batches, slots, window)
        wanted = dict.fromkeys(totals, 0)
        for batch in batches:
            wanted[batch.customer] += batch.unfinished
        assert sum(totals.values()) == min(slots, sum(wanted.values()))
        for customer, total in totals.items():
            assert total <= wanted[customer]
            if total < wanted[customer]:
                assert max(totals.values()) <= total + 1
        shares = divide_among_customers(batches, slots, NOW, window)
        rng.shuffle(batches)
        assert divide_among_customers(batches, slots, NOW, window) == shares
        assert all(type(share) is int for share in shares.values())
        equal = [replace(b, priority=0, due_ms=ON_TIME) for b in batches]
        assert by_customer(equal, slots, window) == totals

    @given(customer_batches, st.integers(0, 150), st.integers(0, 9_999))
    def test_without_customers_each_batch_counts_by_itself(
        self, batches, slots, window
    ):
        """Guards against a change where the configuration has no customers."""
        batches = [replace(b, customer="") for b in batches]
        shares = divide_among_batches(batches, slots, NOW, window)
        assert divide_among_customers(batches, slots, NOW, window) == shares
        assert customer_slots("x", batches, slots, NOW, window) == {}

    def test_a_customer_with_many_batches(self):
        """Load pattern: ten open batches beside one. Both customers get half."""
        batches = batches_of("many", *[40] * 10) + batches_of("one", 400)
        assert by_customer(batches, 96) == {"many": 48, "one": 48}
        held = customer_slots("h0", batches, 96, NOW, 0)
        assert held["one"] == 48
        assert 16 <= held["many"] <= 24

    def test_a_customer_floods_with_ten_times_its_share(self):
        """Load pattern: ten customers, one of which wants ten times its share."""
        calm = [b for n in range(9) for b in batches_of(f"c{n}", 10, 8)]
        totals = by_customer(calm + batches_of("flood", *[20] * 9), 176)
        assert set(totals.values()) <= {17, 18}

    def test_87_customers_of_very_unequal_size(self):
        """Load pattern: sizes from 1 to 400 items; those that are cut are cut alike."""
        batches = [b for n in range(87) for b in batches_of(f"c{n}", 1 + n * n // 19)]
        totals = by_customer(batches, 880)
        cut = [totals[b.customer] for b in batches if totals[b.customer] < b.unfinished]
        assert len(cut) > 40
        assert max(cut) - min(cut) <= 1

    def test_all_customers_small_take_turns_with_all_their_batches(self):
        """Load pattern: 87 customers with three batches each at 40 slots.

        Guards against turns of a customer that always go to the same of its batches.
        """
        batches = [b for n in range(87) for b in batches_of(f"c{n}", 9, 9, 9)]
        turns = dict.fromkeys((b.batch_id for b in batches), 0)
        for window in range(200):
            shares = divide_among_customers(batches, 40, NOW, window)
            for batch_id, slots in shares.items():
                turns[batch_id] += slots
        assert jain_index(turns.values()) > 0.95
        assert min(turns.values()) * 2 > 200 * 40 / len(batches)

    def test_a_priority_orders_only_the_work_of_its_customer(self):
        """Load pattern: urgent and other batches of one customer beside another one."""
        urgent = batches_of("a", 30, priority=0)
        other = [replace(b, batch_id="other") for b in batches_of("a", 30, priority=5)]
        batches = [*urgent, *other, *batches_of("b", 60, priority=9)]
        shares = divide_among_customers(batches, 80, NOW, 0)
        assert shares == {"a-0": 30, "other": 10, "b-0": 40}

    def test_overdue_batches_of_one_beside_new_ones_of_another(self):
        """Guards against a customer that keeps another one out with ever new batches.

        Load pattern: after an outage all work of one customer is overdue.
        """
        batches = batches_of("late", 50, due_ms=OVERDUE) + batches_of("new", *[50] * 4)
        assert by_customer(batches, 40) == {"late": 20, "new": 20}


class TestItemsOfOneHolder:
    """Order in which an entry VM that holds batches of several customers runs them."""

    @staticmethod
    def durations(customers: dict[str, str]) -> dict[str, float]:
        """Return when the batches of a flood and of a small customer are complete.

        Ten batches of 32 items precede one by a moment, at 32 slots.
        """
        plain = configuration()
        if all(customers.values()):
            keys = {Customer(name): [f"key-{name}"] for name in customers.values()}
            plain = with_customers(plain, keys)
        world = World(engines=2, plain_services=0, site_configuration=plain)
        done_ms = {}

        async def scenario():
            vm = world.start("a")
            await world.clock.sleep_ms(300)

            async def run(batch_id, owner):
                batch = world.batch(batch_id, [20] * 32, customer=customers[owner])
                await vm.batches.submit(batch)
                await read_all(vm, batch_id, 32)
                done_ms[owner] = max(done_ms.get(owner, 0), world.clock.monotonic_ms())

            flood = [create_task(run(f"f{n}", "flood")) for n in range(10)]
            await world.clock.sleep_ms(900)
            small = create_task(run("s", "small"))
            await world.clock.sleep_ms(1_200)
            used = vm.placement.customer_order.in_progress
            if customers["small"]:
                assert used[ENGINE_SERVICE, customers["small"]] == 16
                assert used[ENGINE_SERVICE, customers["flood"]] == 16
                gauges = vm.placement.slot_limits.gauges()
                assert gauges["slot_shares.lm.customers"] == 2
            await gather(*flood, small)
            assert not +used

        run_virtual(scenario())
        return done_ms

    def test_a_customer_with_many_batches_at_one_holder(self):
        """Load pattern: ten open batches beside one, all at one holder.

        The small customer's batch was complete at 3,017 ms, and at 7,644 ms without
        customers.
        """
        before = self.durations({"flood": "", "small": ""})
        fair = self.durations({"flood": "f", "small": "s"})
        assert fair["small"] < before["small"] - 3_000
        assert fair["flood"] == pytest.approx(before["flood"], rel=0.1)


FLOOD = {"flood": 100.0} | {f"c{n}": 10.0 for n in range(9)}
UNEQUAL = {f"c{n}": 0.5 + (n / 12) ** 2 for n in range(87)}
UNEVEN = {
    name: (0, 0, 0, 0, 1, 1, 2, 3) if n % 2 else (3, 3, 2, 0)
    for n, name in enumerate(FLOOD)
}
PATTERNS = {
    "one-floods-ten-times": (FLOOD, 100, 4, {}),
    "flood-over-ten-entry-vms": (FLOOD, 100, 10, {}),
    "callers-uneven": (FLOOD, 100, 4, UNEVEN),
    "all-callers-of-one-customer-at-one-entry-vm": (FLOOD, 100, 10, {"c8": (0,)}),
    "flood-at-one-entry-vm": (FLOOD, 100, 10, {"flood": (0,)}),
    "87-of-unequal-size": (UNEQUAL, 300, 6, {}),
    "all-small": ({f"c{n}": 1.5 for n in range(87)}, 60, 8, {}),
}


def due_shares(service, duration_ms):
    """Return the max-min fair number of requests in progress of each customer."""
    part = service.duration_ms / duration_ms
    offered = {name: count * part for name, count in service.arrived.items()}
    level = fill_level(offered.values(), service.slots)
    return {name: min(wanted, level) for name, wanted in offered.items()}


class TestPlainRequestsOfAFullService:
    """Requests in progress of customers, with four or more entry VMs."""

    @pytest.mark.parametrize("pattern", PATTERNS)
    def test_nobody_pays_for_the_burst_of_another(self, pattern):
        """Load pattern: the parameter. Shares are those of 4 s after 3 s.

        Jain's index is 0.991 to 0.997 and the least part 0.69 (of 87 customers) to
        0.84 of what is due. Without shares, the flood of the first pattern gets five
        times what is due, the others half, and Jain's index is 0.34.
        """
        demand, slots, entry_vms, callers_at = PATTERNS[pattern]
        service = FloodedService(demand, slots, entry_vms, callers_at)
        ran = service.run(3_000, 4_000)
        due = due_shares(service, 4_000)
        parts = [ran[name] / due[name] for name in due]
        assert jain_index(parts) >= 0.95
        assert min(parts) > 0.6
        assert sum(ran.values()) > 0.8 * slots

    def test_each_entry_vm_by_itself(self):
        """Load pattern: one floods, and the store is silent.

        Without knowledge of each other, entry VMs protect what reaches them evenly.
        """
        ran = FloodedService(FLOOD, 100, 4, exchanges=False).run(3_000, 4_000)
        assert min(ran.values()) > 7
        assert jain_index(ran.values()) > 0.9

    def test_without_customers_nothing_is_refused(self):
        """Guards against a change where the configuration has no customers."""
        service = FloodedService(FLOOD, 100, 4, fair=False)
        ran = service.run(500, 1_000)
        assert not any(service.refused.values())
        assert ran["flood"] > 40
        assert all(admission.services == {} for admission in service.admissions)

    def test_without_refusals_by_servers_nothing_is_refused(self):
        """Guards against refusals while servers have room for everybody."""
        service = FloodedService(FLOOD, 10_000, 4)
        service.run(500, 1_000)
        assert not any(service.refused.values())
        assert not any(admission.lacking_room() for admission in service.admissions)


class TestOneEntryVm:
    """Decisions about the requests of one entry VM whose servers are full."""

    def make(self):
        """Return the admission at full servers where `a` has four times its share."""
        clock, routes = ManualClock(), RouteTable()
        customers = {name: Customer(name) for name in "ab"}
        routes.apply(Configuration(1, (), customers=customers))
        metrics = InMemoryMetrics()
        admission = FairAdmission(routes, clock, metrics, rng=random.Random(1))
        tickets = []
        for _ in range(40):
            clock.now_ms += 50
            for customer in "aaaab":
                ticket = admission.admit("desk", customer, 0)
                if isinstance(ticket, Ticket):
                    tickets.append((clock.now_ms + 500, ticket))
                admission.record_attempt("desk", refused=len(tickets) > 20)
            for ended in [t for t in tickets if t[0] <= clock.now_ms]:
                tickets.remove(ended)
                admission.end(ended[1])
        return admission, clock, metrics

    def test_refusals_name_different_times_to_come_back(self, caplog):
        """Guards against callers that come back all at once, and a line for each."""
        caplog.set_level(logging.INFO, "ebonylb.admission")
        admission, _, metrics = self.make()
        lines = len(caplog.records)
        before = metrics.counters["admission.refused"]
        refusals = [admission.admit("desk", "a", 0) for _ in range(60)]
        refusals = [r for r in refusals if isinstance(r, Refusal)]
        assert {r.outcome for r in refusals} == {Outcome.NOT_RUN}
        delays = [r.retry_after_ms for r in refusals]
        assert len(set(delays)) > 30
        assert 37 <= min(delays) <= max(delays) <= 2_500
        assert metrics.counters["admission.refused"] == before + len(refusals)
        assert 1 <= lines <= 3
        assert len(caplog.records) <= lines + 1
        assert "admission.desk.level" in admission.gauges()

    def test_a_customer_below_its_share_goes_on_whatever_its_priority(self):
        """Guards against a priority that enlarges or shrinks a share."""
        admission, _, _ = self.make()
        while isinstance(admission.admit("desk", "a", 0), Ticket):
            pass
        assert isinstance(admission.admit("desk", "b", 9), Ticket)
        assert isinstance(admission.admit("desk", "a", 0), Refusal)

    def test_room_goes_to_the_more_urgent_requests_of_a_customer(self):
        """Load pattern: a customer over its share has urgent and other requests."""
        admission, clock, _ = self.make()
        load = admission.services["desk"].customers["a"]
        load.urgent_until_ms = clock.now_ms - 1
        while isinstance(admission.admit("desk", "a", 1), Ticket):
            pass
        assert isinstance(admission.admit("desk", "a", 0), Refusal)
        for _ in range(load.in_progress - int(load.room) + 1):
            admission.end(Ticket("desk", "a", clock.now_ms - 500))
        load.credit_ms = 0.0
        assert isinstance(admission.admit("desk", "a", 1), Refusal)
        assert isinstance(admission.admit("desk", "a", 0), Ticket)
        clock.now_ms = load.urgent_until_ms + 1
        assert isinstance(admission.admit("desk", "a", 1), Ticket)

    def test_less_than_one_request_in_progress_is_one_now_and_then(self):
        """Load pattern: all customers small. Guards against one each at least, which
        at many entry VMs is more than the share.
        """
        load = CustomerLoad(0.0, duration_ms=100.0)
        busy = ends = 0
        for now in range(0, 20_000, 10):
            load.advance(now)
            load.limit(0.3)
            if load.in_progress and now >= ends:
                load.end(100.0)
            if not load.in_progress and load.has_room():
                load.in_progress, ends = 1, now + 100
            busy += load.in_progress
        assert busy / 2_000 == pytest.approx(0.3, abs=0.02)


class TestEntryVms:
    """Entry VMs with all their services on one store, at servers that are full."""

    def flood(self, customers):
        """Return the completed streams by customer, all refusals, and the world.

        One customer keeps 60 streams open at 12 slots, and three have 2 each.
        """
        plain = configuration()
        if customers:
            plain = with_customers(plain, {Customer(n): [f"k-{n}"] for n in "fabc"})
        world = World(engines=0, plain_services=2, site_configuration=plain)
        completed, refusals = Counter(), []

        async def call(vm, name, numbers):
            while world.clock.monotonic_ms() < 9_000:
                request_id = f"{name}{next(numbers)}"
                world.port.planned_responses[request_id] = PlannedResponse(3)
                request = CallerRequest(
                    request_id,
                    "POST",
                    "site",
                    "/chat/x",
                    "/chat/x",
                    (("Host", "site"),),
                    request_id.encode(),
                    vm.clock.monotonic_ms(),
                    customer=name if customers else "",
                )
                route = vm.forwarder.find_route(request)
                response = await vm.forwarder.serve(request, route)
                if isinstance(response, CallerStream):
                    async for _ in response.chunks:
                        pass
                    response.abandon()
                    if world.clock.monotonic_ms() > 4_000:
                        completed[name] += 1
                else:
                    refusals.append((request_id, response))
                    await world.clock.sleep_ms(response.refusal.retry_after_ms)

        async def scenario():
            vms = [world.start("v"), world.start("w")]
            await world.clock.sleep_ms(300)
            numbers = itertools.count()
            callers = [("f", 60), ("a", 2), ("b", 2), ("c", 2)]
            await gather(
                *(
                    call(vms[n % 2], name, numbers)
                    for name, count in callers
                    for n in range(count)
                )
            )
            for vm in vms:
                for state in vm.forwarder.admission.services.values():
                    assert not any(c.in_progress for c in state.customers.values())

        run_virtual(scenario())
        return completed, refusals, world

    def test_what_others_told_counts_for_a_short_time(self):
        """Guards against loads of entry VMs that died, against an unreadable row, and
        against a row of its own that another entry VM has deleted.
        """
        world = World(engines=0, plain_services=0)

        async def scenario():
            rows = {}
            for name in "vw":
                time = StoreTime(world.clock)
                store = MemoryRowStore(world.data, world.clock)
                rows[name] = LoadRows(name, store, world.clock, time, lambda: True)
                rows[name].follower = TableFollower(
                    store, world.clock, LOADS_TABLE, rows[name], time
                )
            rows["w"].own_loads = lambda: {"desk": load}
            rows["w"].lacking_room = lambda: ["desk"]
            load = ToldLoad(3.0, {"a": CustomerShare(1.0, 2.0)})
            follow, writer, other = (
                create_task(run())
                for run in (rows["v"].follow, rows["w"].run, rows["w"].follow)
            )
            world.data.put(LOADS_TABLE, "u", b"?")
            await world.clock.sleep_ms(1_000)
            assert rows["v"].loads_of("desk") == [load]
            assert rows["v"].services_to_tell() == {"desk"}
            world.data.put(LOADS_TABLE, "w", None)
            await world.clock.sleep_ms(2_000)
            assert rows["v"].loads_of("desk") == [load]
            writer.cancel()
            await world.clock.sleep_ms(4_200)
            assert rows["v"].loads_of("desk") == []
            assert rows["v"].services_to_tell() == set()
            follow.cancel()
            other.cancel()

        run_virtual(scenario())

    def test_a_flood_of_streams_is_refused_as_not_run(self):
        """Load pattern: one customer floods with 20 times its share.

        Guards against refused requests that ran, and a call to the store for each. In
        5 s, 102 streams of each small customer ended, and 39 or fewer without shares.
        """
        completed, refusals, world = self.flood(customers=True)
        refused = {
            request_id: response
            for request_id, response in refusals
            if response.refusal.reason == "over_share"
        }
        assert refused
        assert all(response.status == 503 for response in refused.values())
        assert not any(
            request.request_id in refused
            for server in world.port.servers.values()
            for request in server.received_requests
        )
        small = [completed[name] for name in "abc"]
        before, _, plain_world = self.flood(customers=False)
        assert min(small) > 2 * max(before[name] for name in "abc")
        writes = [r for r in world.data.log if r.row_key.table == LOADS_TABLE]
        assert 10 < len(writes) < 50
        assert not [r for r in plain_world.data.log if r.row_key.table == LOADS_TABLE]
