"""Tests of autoscaling: demand, plan, orders, and a site whose engines are scaled."""

import asyncio
from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ebonylb.fleet import ListedServer, ServerStage
from ebonylb.routes.model import ScalingSpec
from ebonylb.scaling import Pool, ScalingSituation, plan_servers
from ebonylb.scaling.demand import Demand, DemandHistory, OpenBatch
from ebonylb.scaling.plan import calm_ms
from ebonylb.scaling.pool_orders import ORDER_WINDOW_MS, PoolEvent, PoolOrders
from ebonylb.scaling.service_scaling import ServiceScaling
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.scaling_platform import ScalingPlatform
from ebonylb_standins.site.world import (
    ENGINE_SERVICE,
    World,
    configuration,
    read_all,
)

PRICES = {"north": 1.0, "high": 0.8, "south": 1.25}
SPEC = ScalingSpec(1, 8, 4_000, 0.22, PRICES)
SLOTS, STEP_MS = 8, 250.0
GRACE_MS = 6_000.0


def counts(north=0, high=0, south=0, **reclaimable):
    """Return numbers by pool; reclaimable ones as `north_r` and so on."""
    numbers = {Pool("north"): north, Pool("high"): high, Pool("south"): south}
    return numbers | {Pool(d[:-2], True): n for d, n in reclaimable.items()}


def total(numbers, reclaimable=None):
    return sum(n for p, n in numbers.items() if reclaimable in (None, p.reclaimable))


def situation(slots, wanted, listed=None, spec=SPEC, known_ms=1e6, **options):
    demand = Demand(slots, 0.0, known_ms, slots > 0)
    return ScalingSituation(
        spec, demand, SLOTS, wanted if listed is None else listed, wanted, **options
    )


def settle(current, limit=200):
    """Carry plans out at once until nothing changes; return all numbers on the way."""
    path = [current.wanted]
    for _ in range(limit):
        plan = plan_servers(current)
        if plan.wanted == current.wanted:
            return path
        path.append(plan.wanted)
        current = replace(current, wanted=plan.wanted, listed=plan.wanted)
    raise AssertionError("the plan does not settle")


class Site:
    """One service on a list of servers; orders are carried out after the boot time."""

    def __init__(self, numbers, spec=SPEC):
        engines = configuration().services[ENGINE_SERVICE]
        one_model = replace(engines.engine, models=("m",))
        self.service = ServiceScaling(replace(engines, scaling=spec, engine=one_model))
        self.now_ms, self.made, self.servers = 0.0, 0, {}
        self.arrivals, self.calls, self.unavailable = [], [], set()
        for pool, number in numbers.items():
            self.add(pool, number)

    def add(self, pool, number):
        for _ in range(number):
            self.made += 1
            self.servers[f"s{self.made}"] = ListedServer(
                f"s{self.made}", ENGINE_SERVICE, f"h:{self.made}", pool.failure_domain,
                ServerStage.READY, SLOTS, reclaimable=pool.reclaimable,
            )  # fmt: skip

    def names(self, pool):
        return [
            name
            for name, s in self.servers.items()
            if Pool(s.failure_domain, s.reclaimable) == pool
            and s.stage is ServerStage.READY
        ]

    def numbers(self):
        ready = (s for s in self.servers.values() if s.stage is ServerStage.READY)
        return Counter(Pool(s.failure_domain, s.reclaimable) for s in ready)

    def leave(self, names):
        for name in names:
            self.servers[name] = replace(
                self.servers[name], stage=ServerStage.LEAVING, leaves_in_ms=4_000
            )

    def order(self, pool, count):
        self.calls.append((self.now_ms, pool, count))
        if pool.failure_domain in self.unavailable:
            self.service.pools[pool].record_unavailable(self.now_ms)
            return
        self.service.pools[pool].record_accepted(count, self.now_ms)
        names = self.names(pool)
        booting = sum(number for _, p, number in self.arrivals if p == pool)
        if count > len(names) + booting:
            ready_ms = self.now_ms + SPEC.boot_ms
            self.arrivals.append((ready_ms, pool, count - len(names) - booting))
        self.leave(names[count:])

    def run(self, duration_ms, demand, orders=True):
        """Run for a time; `demand` returns the slots wanted at a time."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            for arrival in [a for a in self.arrivals if a[0] <= self.now_ms]:
                self.arrivals.remove(arrival)
                self.add(*arrival[1:])
            wanted = demand(self.now_ms)
            batches = [OpenBatch("b", "m", wanted, 1e9, 0.0)] if wanted else []
            self.service.history.record(self.now_ms, batches, {}, 1, 1)
            self.service.step(
                configuration(), {}, list(self.servers.values()), self.now_ms
            )
            for domain in PRICES if orders else ():
                pool = self.service.due_pool(domain, self.now_ms)
                if pool is not None:
                    self.order(pool, self.service.pools[pool].wanted)
        return self.numbers()


def constant(slots):
    return lambda now_ms: slots


def step_pattern(now_ms):
    """A trainer's step every 4 s: 80 items, most of them done after 1.5 s."""
    return {0: 80, 1: 40, 2: 6, 3: 0}[int(now_ms // 1_000) % 4]


class TestDemand:
    def test_items_share_slots_while_their_batch_is_young(self):
        young = OpenBatch("b", "m", 80, 0.0, 750.0)
        assert young.slots(None) == pytest.approx(80 / 3)
        assert young.slots(1_000) == pytest.approx(80 / 1.75)
        assert young.slots(10) == pytest.approx(80 / 3)
        old = replace(young, age_ms=750.0)
        assert old.slots(None) == old.slots(1_000) == 80

    def test_a_step_every_4_s_does_not_look_like_a_fall_to_zero(self):
        history = DemandHistory()
        for number in range(200):
            now_ms = number * STEP_MS
            batch = OpenBatch("b", "m", step_pattern(now_ms), 1e9, 0.0)
            history.record(now_ms, [batch], {}, 1, 1)
            if now_ms > 4_000:
                assert history.demand(now_ms, calm_ms(SPEC)).slots == 80

    def test_one_model_with_all_the_demand_counts_more(self):
        """Each of four models is served by half of the servers."""
        history = DemandHistory()
        batches = [OpenBatch(str(n), "m", 20, 1e9, 0.0) for n in range(4)]
        history.record(0, batches, {}, 1, models=4)
        assert history.demand(0, 1).slots == 160

    def test_the_duration_of_items_follows_from_results(self):
        history = DemandHistory()
        for number in range(60):
            batch = OpenBatch("b", "m", 400, 1e9, 0.0)
            history.record(number * STEP_MS, [batch], {"b": number * 4}, 16, 1)
        assert history.duration.mean_ms == pytest.approx(1_000, rel=0.05)

    def test_a_gap_ends_what_is_known(self):
        history = DemandHistory()
        for now_ms in (0, 10_000):
            history.record(now_ms, [], {}, 1, 1)
        assert history.demand(10_000, 1).known_ms == 10_000
        history.interrupt()
        history.record(11_000, [], {}, 1, 1)
        assert history.demand(12_000, 1).known_ms == 1_000


class TestPlan:
    def test_nothing_changes_before_any_demand_or_with_short_knowledge(self):
        """A start: too many servers are kept until the demand was seen."""
        wanted = counts(8, 8, 8)
        assert not plan_servers(situation(0, wanted)).reasons
        assert not plan_servers(situation(500, counts(1, 1, 1), known_ms=900)).reasons

    def test_servers_are_kept_while_each_item_has_its_own_slot(self):
        """Colliding steps: fewer servers serve them in time, but more slowly."""
        wanted = counts(8, 8, 8)
        busy = situation(64, wanted)
        busy = replace(busy, demand=replace(busy.demand, item_slots=180))
        assert not plan_servers(busy).reasons
        calm = replace(busy, demand=replace(busy.demand, item_slots=70))
        assert total(plan_servers(calm).wanted) == 23

    def test_a_burst_raises_all_that_is_missing_at_once(self):
        plan = plan_servers(situation(64, counts(1, 1, 1)))
        assert plan.is_raise
        assert total(plan.wanted, False) >= 8
        assert set(plan.reasons) <= set(plan.wanted)

    def test_new_servers_go_to_the_cheapest_failure_domain(self):
        wanted = plan_servers(situation(40, counts(1, 1, 1))).wanted
        assert wanted[Pool("high")] == 3
        assert wanted[Pool("south")] == wanted[Pool("north")] == 1

    def test_a_refusing_failure_domain_is_replaced_by_the_next(self):
        """None available in one failure domain (409)."""
        refused = frozenset({Pool("high"), Pool("high", True)})
        current = situation(40, counts(1, 1, 1), unavailable=refused)
        wanted = plan_servers(current).wanted
        assert wanted[Pool("high")] == 1
        assert total(wanted, False) >= 5

    def test_one_server_less_at_a_time_and_the_dearest_first(self):
        plan = plan_servers(situation(8, counts(4, 4, 4)))
        assert plan.wanted == counts(4, 4, 3)

    @pytest.mark.parametrize(
        "options",
        [
            {"since_raise_ms": 10_000},
            {"since_change_ms": 1_000},
            {"known_ms": 10_000},
            {"listed": counts(4, 4, 3)},
        ],
    )
    def test_nothing_is_lowered_before_all_is_calm(self, options):
        current = situation(8, counts(4, 4, 4), **options)
        assert not plan_servers(current).reasons

    def test_reclaimable_servers_replace_the_reserve_only(self):
        wanted = settle(situation(64, counts(5, 5, 5)))[-1]
        assert total(wanted, False) == 9  # 64 slots and a tenth
        assert total(wanted, True) == 5  # any one failure domain may be lost
        wanted = plan_servers(situation(64, counts(3, 3, 3))).wanted
        assert [n for p, n in wanted.items() if p.reclaimable] == [1, 1, 1]


NUMBERS = st.integers(0, 8)
SITUATIONS = st.builds(
    situation,
    st.floats(0.5, 300),
    st.builds(
        counts, NUMBERS, NUMBERS, NUMBERS,
        north_r=NUMBERS, high_r=NUMBERS, south_r=NUMBERS,
    ),
    spec=st.builds(
        ScalingSpec, st.integers(0, 3), st.integers(3, 12), st.just(4_000.0),
        st.sampled_from([None, 0.22, 1.5]), st.sampled_from([{}, PRICES]),
    ),
    models=st.integers(1, 4),
    unavailable=st.frozensets(
        st.builds(Pool, st.sampled_from(list(PRICES)), st.booleans())
    ),
)  # fmt: skip


def in_domain(numbers, domain):
    return numbers.get(Pool(domain), 0) + numbers.get(Pool(domain, True), 0)


class TestPlanProperties:
    @settings(max_examples=300)
    @given(SITUATIONS)
    def test_bounds_are_kept(self, current):
        wanted = plan_servers(current).wanted
        for domain in PRICES:
            before, after = in_domain(current.wanted, domain), in_domain(wanted, domain)
            assert after <= max(before, current.spec.max_servers)
            if after < before:
                assert after >= current.spec.min_servers

    @settings(max_examples=300)
    @given(SITUATIONS)
    def test_no_plan_falls_below_the_known_demand(self, current):
        wanted = plan_servers(current).wanted
        is_over = any(
            in_domain(current.wanted, d) > current.spec.max_servers for d in PRICES
        )
        if total(wanted) < total(current.wanted) and not is_over:
            assert total(wanted, False) * SLOTS >= current.demand.slots
        pools = [
            Pool(domain) for domain in PRICES if domain in current.spec.domain_prices
        ]
        if total(wanted, False) * SLOTS < current.demand.slots:
            for pool in pools:
                is_full = (
                    in_domain(wanted, pool.failure_domain) >= current.spec.max_servers
                )
                assert is_full or pool in current.unavailable
        for domain in PRICES:
            left = total(wanted) - in_domain(wanted, domain)
            before = total(current.wanted) - in_domain(current.wanted, domain)
            if not is_over and left < before:
                assert left * SLOTS >= current.demand.slots

    @settings(max_examples=200)
    @given(SITUATIONS)
    def test_a_constant_demand_settles_and_raises_once(self, current):
        """No flapping: after the first raise no number of all servers grows again."""
        path = settle(current)
        is_over = any(
            in_domain(numbers, d) > current.spec.max_servers
            for numbers in path
            for d in PRICES
        )
        if not is_over:
            regular = [total(numbers, False) for numbers in path[1:]]
            assert regular == sorted(regular, reverse=True)


class TestPatterns:
    def test_a_trainers_step_every_4_s_does_not_flap(self):
        site = Site(counts(5, 5, 5))
        site.run(200_000, step_pattern)
        settled, calls = site.numbers(), len(site.calls)
        assert total(settled, False) >= 10
        site.run(200_000, step_pattern)
        assert site.numbers() == settled
        assert len(site.calls) == calls

    def test_a_wave_is_followed_and_never_undercut(self):
        def wave(now_ms):
            rising = now_ms % 240_000 / 120_000
            return 10 + 60 * (rising if rising < 1 else 2 - rising)

        site = Site(counts(4, 4, 4))
        sizes = []
        for _ in range(480):
            numbers = site.run(1_000, wave)
            sizes.append(total(numbers))
            assert total(numbers) * SLOTS >= wave(site.now_ms)
        assert min(sizes[100:]) < max(sizes[100:]) - 3

    def test_a_burst_is_served_after_one_boot_and_kept_for_a_while(self):
        site = Site(counts(2, 2, 2))
        site.run(10_000, constant(8))
        numbers = site.run(5_500, constant(60))
        assert total(numbers) * SLOTS >= 60
        assert total(site.run(15_000, constant(8))) == total(numbers)

    def test_a_trainer_that_pauses_finds_its_slots(self):
        site = Site(counts(3, 3, 3))
        site.run(10_000, constant(40))
        assert total(site.run(90_000, constant(0))) * SLOTS >= 40

    def test_a_lost_failure_domain_is_ordered_again_and_then_replaced(self):
        site = Site(counts(4, 4, 4))
        site.run(10_000, constant(64))
        site.calls.clear()
        lost_ms = site.now_ms
        for name in site.names(Pool("south")):
            del site.servers[name]
        site.unavailable.add("south")
        numbers = site.run(30_000, constant(64))
        assert site.calls[0][1:] == (Pool("south"), 4)
        assert site.calls[0][0] > lost_ms + SPEC.boot_ms
        assert total(numbers) >= 8
        assert numbers[Pool("south")] == 0
        assert total(numbers) - max(in_domain(numbers, d) for d in PRICES) >= 8

    def test_a_crashed_server_that_returns_by_itself_orders_nothing(self):
        site = Site(counts(4, 4, 4))
        site.run(8_000, constant(64))
        lost = site.servers.pop(site.names(Pool("south"))[0])
        site.run(4_000, constant(64))
        site.servers[lost.name] = lost
        site.run(10_000, constant(64))
        assert not site.calls

    def test_reclaimed_servers_are_replaced_by_others_at_once(self):
        site = Site(counts(3, 3, 3, north_r=4))
        site.run(8_000, constant(64))
        site.calls.clear()
        site.leave(site.names(Pool("north", True)))
        site.run(1_000, constant(64))
        assert site.calls
        assert not any(pool.reclaimable for _, pool, _ in site.calls)
        assert total(site.run(5_000, constant(64))) >= 12

    def test_servers_restarted_in_order_are_not_ordered_again(self):
        """A rolling update: each server leaves and returns a little later."""
        site = Site(counts(4, 4, 4))
        site.run(8_000, constant(40))
        for name in list(site.servers):
            site.leave([name])
            site.run(1_500, constant(40))
            site.servers[name] = replace(
                site.servers[name], stage=ServerStage.READY, started_ms=2
            )
            site.run(500, constant(40))
        site.run(2_000, constant(40))
        assert total(site.numbers()) == 12
        assert not site.calls

    def test_an_idle_service_keeps_its_servers_from_the_start(self):
        site = Site(counts(5, 5, 5))
        site.run(100_000, constant(0))
        assert not site.calls

    def test_no_number_is_lowered_while_a_server_is_missing(self):
        """A server crashes between the plan and the call."""
        site = Site(counts(5, 5, 5))
        while not any(o.wanted < o.listed for o in site.service.pools.values()):
            site.run(STEP_MS, constant(16), orders=False)
        lowered = min(site.service.pools, key=lambda p: site.service.pools[p].wanted)
        domain = lowered.failure_domain
        assert site.service.due_pool(domain, site.now_ms) == lowered
        site.service.pools[Pool("high")].observe(4, 0, site.now_ms)
        assert site.service.due_pool(domain, site.now_ms) is None

    def test_a_store_outage_orders_nothing(self):
        """All entries lapse with the store and return with it."""
        site = Site(counts(4, 4, 4))
        site.run(30_000, constant(64))
        site.calls.clear()
        servers, site.servers = site.servers, {}
        site.service.interrupt()
        assert site.service.due_pool("north", site.now_ms + 20_000) is None
        site.now_ms += 20_000
        site.run(1_500, constant(0))
        site.servers = servers
        site.run(10_000, constant(64))
        assert not site.calls

    def test_a_takeover_repeats_no_order_under_way(self):
        """Another entry VM has ordered; this one has only watched, and takes over."""
        watcher = Site(counts(2, 2, 2))
        watcher.run(10_000, constant(8))
        watcher.run(STEP_MS, constant(60), orders=False)
        missing = {p: o.wanted - o.listed for p, o in watcher.service.pools.items()}
        watcher.run(ORDER_WINDOW_MS, constant(60), orders=False)
        ready_ms = watcher.now_ms + 1_500
        watcher.arrivals = [(ready_ms, pool, n) for pool, n in missing.items()]
        watcher.run(10_000, constant(60))
        assert not watcher.calls

    def test_a_takeover_completes_an_order_that_was_never_made(self):
        watcher = Site(counts(2, 2, 2))
        watcher.run(10_000, constant(8))
        watcher.run(ORDER_WINDOW_MS + STEP_MS, constant(60), orders=False)
        watcher.run(12_000, constant(60))
        assert total(watcher.numbers(), False) * SLOTS >= 60


class TestPoolOrders:
    def orders(self, wanted, listed, now_ms=100_000.0):
        orders = PoolOrders(listed, GRACE_MS, listed)
        orders.change(wanted, "test", now_ms)
        return orders

    def test_an_order_without_response_is_repeated_a_few_times(self):
        orders = self.orders(3, 1)
        for number in range(3):
            now_ms = 100_000 + number * 1_000
            assert orders.is_due(now_ms)
            orders.record_failure(now_ms)
            assert not orders.is_due(now_ms)
        assert not orders.is_due(110_000)

    def test_a_refusal_keeps_servers_that_are_booting(self):
        orders = self.orders(3, 1)
        orders.record_accepted(3, 100_000)
        orders.change(5, "more", 101_000)
        assert orders.is_due(101_000)
        orders.record_unavailable(101_100)
        assert orders.wanted == 3
        assert not orders.is_due(101_200)

    def test_numbers_that_another_entry_vm_ordered_are_adopted(self):
        orders = self.orders(3, 3)
        assert orders.observe(5, 0, 101_000) is PoolEvent.ADOPTED
        assert orders.wanted == 5
        assert orders.observe(4, 1, 102_000) is PoolEvent.LEFT
        assert orders.wanted == 4


def scaled_world(engines=12, scaled=True):
    """Return a world of engines in three failure domains, scaled or not."""
    base = configuration()
    spec = ScalingSpec(1, 6, 4_000, 0.22, PRICES)
    service = replace(base.services[ENGINE_SERVICE], scaling=spec)
    services = base.services | {ENGINE_SERVICE: service}
    world = World(engines, site_configuration=replace(base, services=services))
    control_plane = ScalingPlatform(world, spec)
    if scaled:
        world.control_plane = control_plane
        world.duties = ("autoscale",)
    return world, control_plane


async def run_step(vm, number, size=40):
    """Run a step with a few long items and return its duration in ms."""
    began_ms = vm.world.clock.monotonic_ms()
    lengths = [15] * (size - 4) + [60] * 4
    batch = vm.world.batch(f"x{number}", lengths, step=number)
    assert await vm.batches.submit(batch) is None
    await read_all(vm, f"x{number}", size)
    return vm.world.clock.monotonic_ms() - began_ms


async def run_steps(vm, numbers, size=40):
    """Run a step every 4 s and return their durations in ms."""
    steps = []
    for number in numbers:
        steps.append(asyncio.create_task(run_step(vm, number, size)))
        await vm.world.clock.sleep_ms(4_000)
    return await asyncio.gather(*steps)


def wanted_numbers(vm):
    pools = vm.scaling.services[ENGINE_SERVICE].pools
    return {pool: orders.wanted for pool, orders in pools.items()}


class TestSite:
    def test_fewer_server_seconds_at_unchanged_steps(self):
        """A trainer's step every 4 s, with a reclaim before the last ones."""

        async def scenario(scaled):
            world, control_plane = scaled_world(scaled=scaled)
            vm, other = world.start("a"), world.start("b", "south")
            durations = await run_steps(vm, range(19))
            for name in control_plane.serving("south", True):
                control_plane.leave(name, 2_000)
            durations += await run_steps(vm, range(19, 25))
            if scaled:
                assert any(order.reclaimable for *_, order in control_plane.orders)
                assert wanted_numbers(vm) == wanted_numbers(other)
            return durations, control_plane.cost()

        plain_durations, plain_cost = run_virtual(scenario(False))
        durations, cost = run_virtual(scenario(True))
        assert cost < 0.8 * plain_cost
        assert max(durations) < 1.1 * max(plain_durations)
        assert sum(durations) < 1.05 * sum(plain_durations)

    def test_a_store_outage_orders_nothing_and_a_burst_after_it_does(self):
        async def scenario():
            world, control_plane = scaled_world(engines=6)
            vm = world.start("a")
            await run_steps(vm, range(2))
            control_plane.orders.clear()
            vm.store.faults.down = True
            await world.clock.sleep_ms(8_000)
            for name in ("e0", "e1", "e2"):
                vm.directory.discard(name)
            await world.clock.sleep_ms(8_000)
            vm.refresh()
            vm.store.faults.down = False
            await world.clock.sleep_ms(2_500)
            assert not control_plane.orders
            assert vm.scaling.explain()[0].known_ms < 3_000
            step = asyncio.create_task(run_step(vm, 9, size=200))
            await world.clock.sleep_ms(6_000)
            assert control_plane.orders
            await step

        run_virtual(scenario())

    def test_the_holder_dies_in_the_middle_of_its_orders(self):
        """The first entry VM gets no response and dies; another one goes on."""

        async def scenario():
            world, control_plane = scaled_world(engines=3)
            first, second = world.start("a"), world.start("b", "south")
            await run_steps(second, range(1))
            control_plane.fails = True
            steps = asyncio.create_task(run_steps(second, range(1, 8), size=300))
            await world.clock.sleep_ms(1_000)
            first.stop()
            control_plane.fails = False
            healed_ms = world.clock.monotonic_ms()
            assert control_plane.orders
            await steps
            listed = second.scaling.services[ENGINE_SERVICE].pools.values()
            assert sum(o.listed for o in listed) * 16 >= 100
            for failure_domain in PRICES:
                numbers = [
                    order.count
                    for at_ms, authority, order in control_plane.orders
                    if authority.holder == "b"
                    and at_ms > healed_ms
                    and (order.failure_domain, order.reclaimable)
                    == (failure_domain, False)
                ]
                assert numbers == sorted(set(numbers))

        run_virtual(scenario())

    def test_services_with_single_requests_and_sites_without_duties_stay(self):
        async def scenario():
            world, _ = scaled_world()
            vm = world.start("a")
            await world.clock.sleep_ms(1_000)
            assert set(vm.scaling.services) == {ENGINE_SERVICE}
            routes = tuple(
                replace(route, targets=world.configuration.routes[0].targets)
                for route in world.configuration.routes
            )
            vm.routes.apply(replace(world.configuration, version=2, routes=routes))
            await world.clock.sleep_ms(1_000)
            assert not vm.scaling.services
            assert scaled_world(scaled=False)[0].start("c").scaling is None

        run_virtual(scenario())
