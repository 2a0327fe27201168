"""Tests of the shares of customers in engine slots and in requests in progress."""

from asyncio import create_task, gather
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonylb.batches.slot_shares import (
    OpenBatch,
    customer_slots,
    divide_among_batches,
    divide_among_customers,
)
from ebonylb.routes import Customer
from ebonylb_standins.histories.virtual_time import run_virtual
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
