"""Tests of leases and of the rollout of weight versions."""

import asyncio
import random

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from result import Err, Ok

from ebonylb.backends import BackendServer
from ebonylb.interfaces import (
    Committed,
    Conflict,
    EngineStatus,
    Row,
    TableService,
    VmKind,
    WeightVersion,
)
from ebonylb.outcomes import StepError
from ebonylb.weights import Lease, ShardRef, WeightRollout
from ebonylb.weights.lease import TERM_MS
from ebonylb.weights.sources import ancestor_ranks
from ebonylb_standins.site.manual_clock import ManualClock
from ebonylb_standins.waiting import until


class Tables(TableService):
    """Tables in memory; `lose_responses` and `down` inject faults."""

    def __init__(self):
        self.rows, self.done = {}, set()
        self.lose_responses, self.down = 0, False

    def failure(self):
        return Err(StepError("platform.transact", "platform", "no answer"))

    async def transact(self, write_id, checks, writes):
        if self.down:
            return self.failure()
        if write_id not in self.done:
            current = [self.rows.get((c.table, c.key)) for c in checks]
            revisions = [row.revision if row else 0 for row in current]
            if revisions != [c.revision for c in checks]:
                return Ok(Conflict(tuple(current)))
            self.done.add(write_id)
            for w in writes:
                row = self.rows.get((w.table, w.key))
                revision = row.revision + 1 if row else 1
                self.rows[w.table, w.key] = Row(w.key, w.value, revision, write_id)
        if self.lose_responses:
            self.lose_responses -= 1
            return self.failure()
        return Ok(Committed(write_id))

    async def find_write(self, write_id):
        return Ok(write_id in self.done)

    async def read(self, table, key, strong=False):
        return self.failure() if self.down else Ok(self.rows.get((table, key)))

    async def scan(self, table, prefix="", after="", limit=500):
        return Ok([])


class Engine:
    def __init__(self, site, name):
        self.site, self.name = site, name
        self.version, self.fence, self.checks_fence, self.fail = 1, 0, True, 0

    async def status(self):
        return Ok(EngineStatus("i", self.version, 0, 0, False, self.checks_fence))

    async def load(self, order):
        self.site.orders.append((self.name, order))
        if self.checks_fence and order.fence < self.fence:
            return Err(StepError("engine.refused", self.name, "old fence", False))
        self.fence = max(self.fence, order.fence)
        self.site.loading += 1
        self.site.max_loading = max(self.site.max_loading, self.site.loading)
        await asyncio.sleep(0)
        self.site.loading -= 1
        if self.fail:
            self.fail -= 1
            return Err(StepError("engine.load", self.name, "failed"))
        self.version = order.version
        return Ok(self.version)


class Site:
    """One region with shards of engines, and any number of entry VMs."""

    def __init__(self, shards=2, servers=8):
        self.tables, self.clock = Tables(), ManualClock()
        self.published, self.orders, self.loading, self.max_loading = 2, [], 0, 0
        self.refs = [ShardRef("lm", f"d{i}", "r", 0) for i in range(shards)]
        self.pairs = [
            (ref.key, BackendServer(
                f"e{i}-{n}", VmKind.ENGINE, "lm", f"10.0.{i}.{n}:1",
                ref.failure_domain, "r", "i",
            ))
            for i, ref in enumerate(self.refs)
            for n in range(servers)
        ]  # fmt: skip
        self.engines = {s.name: Engine(self, s.name) for _, s in self.pairs}

    async def latest(self, service):
        return Ok(WeightVersion("lm", self.published, 100))

    def create_weight_rollout(self, holder="a", clock=None):
        return WeightRollout(
            self.tables, self, clock or self.clock, lambda s: self.engines[s.name],
            lambda service: self.pairs, lambda: self.refs, lambda: ["lm"],
            holder, 0.25, 1_000,
        )  # fmt: skip

    async def settle(self, weight_rollout, limit=200):
        await weight_rollout.versions.refresh("lm", True)
        rollouts = [weight_rollout.create_rollout(ref) for ref in self.refs]
        for _ in range(limit):
            busy = [await rollout.run_wave() for rollout in rollouts]
            self.clock.now_ms += 200
            if not any(busy):
                return
        raise AssertionError("rollout did not end")

    def versions(self):
        return {engine.version for engine in self.engines.values()}


class TestLease:
    def test_lease_is_taken_over_only_after_a_full_unchanged_term(self):
        """Guards against two concurrent holders while the first one renews."""

        async def scenario():
            tables, first, second = Tables(), ManualClock(), ManualClock(9e9)
            a, b = Lease(tables, first, "k", "a"), Lease(tables, second, "k", "b")
            assert await a.hold() == Ok(1)
            for _ in range(4):
                assert await b.hold() == Ok(None)
                first.now_ms += TERM_MS * 0.4
                second.now_ms += TERM_MS * 0.4
                assert await a.hold() == Ok(1)
            assert await b.hold() == Ok(None)
            second.now_ms += TERM_MS
            assert await b.hold() == Ok(2)

        asyncio.run(scenario())

    def test_paused_holder_detects_the_loss_before_an_order(self):
        """Guards against orders of a holder that was paused until its lease expired."""

        async def scenario():
            tables, other = Tables(), ManualClock()
            a = Lease(tables, ManualClock(), "k", "a")
            b = Lease(tables, other, "k", "b")
            await a.hold()
            await b.hold()
            other.now_ms += TERM_MS
            assert await b.hold() == Ok(2)
            assert not await a.check()
            assert await b.check()

        asyncio.run(scenario())

    def test_holder_term_ends_before_that_of_observers(self):
        """Guards against an order at the time of a takeover."""

        async def scenario():
            clock = ManualClock()
            lease = Lease(Tables(), clock, "k", "a")
            await lease.hold()
            clock.now_ms += TERM_MS * 0.9
            assert not await lease.check()

        asyncio.run(scenario())

    def test_failed_release_does_not_block_its_own_holder(self):
        """Guards against a region without new weights for a term after an outage."""

        async def scenario():
            tables, clock = Tables(), ManualClock()
            lease = Lease(tables, clock, "k", "a")
            await lease.hold()
            tables.down = True
            await lease.release()
            assert not await lease.check()
            tables.down = False
            assert await lease.hold() == Ok(1)
            tables.down = True
            await lease.release()
            tables.down = False
            await lease.release()
            assert await Lease(tables, clock, "k", "b").hold() == Ok(2)

        asyncio.run(scenario())

    def test_lost_response_is_settled(self):
        """Guards against a lease that its own holder can't use for a term."""

        async def scenario():
            tables = Tables()
            tables.lose_responses = 1
            assert await Lease(tables, ManualClock(), "k", "a").hold() == Ok(1)

        asyncio.run(scenario())


class TestRollout:
    def test_one_transfer_per_region_and_few_concurrent_loads(self):
        """Guards against paid traffic for each shard and too many concurrent loads."""
        site = Site()
        asyncio.run(site.settle(site.create_weight_rollout()))
        assert site.versions() == {2}
        sources = [order.source for _, order in site.orders]
        assert sources.count("weight-store") == 1
        assert len(sources) == len(site.pairs)
        assert site.max_loading <= 2

    def test_seed_server_does_not_feed_all_shards(self):
        """Guards against one server that sends the weights to a whole region."""
        site = Site(shards=8, servers=1)
        asyncio.run(site.settle(site.create_weight_rollout()))
        sources = [order.source for _, order in site.orders]
        assert max(sources.count(source) for source in sources) <= 3

    @pytest.mark.parametrize("shard", [0, 1])
    def test_different_views_cause_no_second_transfer(self, shard):
        """Guards against two paid transfers when entry VMs know different shards."""
        site = Site()
        other = site.create_weight_rollout("b")
        other.region.servers = lambda service: site.pairs[8 * shard :][:8]

        async def scenario():
            await other.versions.refresh("lm", True)
            rollout = other.create_rollout(site.refs[shard])
            for _ in range(2):
                await rollout.run_wave()
            assert site.orders
            await site.settle(site.create_weight_rollout("a"))

        asyncio.run(scenario())
        assert [o.source for _, o in site.orders].count("weight-store") == 1

    def test_failed_load_is_retried_with_backoff(self):
        """Guards against a server that keeps an old version and bursts of loads."""
        site = Site(shards=1)
        site.engines["e0-3"].fail = 3
        asyncio.run(site.settle(site.create_weight_rollout()))
        assert site.versions() == {2}
        assert len([n for n, _ in site.orders if n == "e0-3"]) == 4
        assert site.clock.now_ms >= 1_000 + 2_000 + 4_000

    def test_reverted_engine_without_fence_check_is_repaired(self):
        """Guards against an old version that remains after an outdated order."""
        site = Site(shards=1)
        weight_rollout = site.create_weight_rollout()
        asyncio.run(site.settle(weight_rollout))
        site.engines["e0-0"].checks_fence = False
        site.engines["e0-0"].version = 1
        asyncio.run(site.settle(weight_rollout))
        assert site.versions() == {2}

    def test_no_orders_without_the_platform(self):
        """Guards against orders without a confirmed lease."""
        site = Site(shards=1)
        weight_rollout = site.create_weight_rollout()

        async def scenario():
            await weight_rollout.versions.refresh("lm", True)
            site.tables.down = True
            rollout = weight_rollout.create_rollout(site.refs[0])
            for _ in range(3):
                assert await rollout.run_wave()
            rollout.lease.epoch, rollout.lease.valid_until_ms = 1, 9e9
            rollout.lease.renew_at_ms, rollout.caught_up_epoch = 9e9, 1
            assert await rollout.run_wave()
            site.engines["e0-1"].version = 2
            assert await rollout.run_wave()

        asyncio.run(scenario())
        assert site.orders == [] and weight_rollout.current_version("lm") == 2

    @example(seed=22)  # a new holder knows only an older version
    @given(seed=st.integers(0, 2**32))
    def test_two_holders_with_faults_never_order_older_versions(self, seed):
        """Guards against orders for older versions when holders overlap."""
        chance, site = random.Random(seed), Site(shards=2, servers=4)

        async def scenario():
            clocks = [ManualClock(), ManualClock(5e6)]
            weight_rollouts = [
                site.create_weight_rollout(n, c)
                for n, c in zip("ab", clocks, strict=True)
            ]
            rollouts = [
                d.create_rollout(ref) for d in weight_rollouts for ref in site.refs
            ]
            for _ in range(60):
                site.published += chance.random() < 0.1
                site.tables.lose_responses = int(chance.random() < 0.2)
                chance.choice(list(site.engines.values())).fail += chance.random() < 0.1
                paused = chance.random() < 0.1
                for clock in clocks:
                    clock.now_ms += 300 if not paused else TERM_MS * chance.random()
                await chance.choice(weight_rollouts).versions.refresh("lm", True)
                steps = [r.run_wave() for r in chance.sample(rollouts, 2)]
                await asyncio.gather(*steps)
            for name in site.engines:
                ordered_versions = [
                    order.version for n, order in site.orders if n == name
                ]
                assert ordered_versions == sorted(ordered_versions)
            for _ in range(300):
                for clock in clocks:
                    clock.now_ms += 1_000
                for weight_rollout in weight_rollouts:
                    await weight_rollout.versions.refresh("lm", True)
                for rollout in rollouts:
                    await rollout.run_wave()
                if site.versions() == {site.published}:
                    return
            raise AssertionError(f"versions {site.versions()} differ")

        asyncio.run(scenario())

    def test_lost_ownership_releases_the_leases(self):
        """Guards against a next owner that has to wait for the end of a term."""
        site = Site(shards=1, servers=2)
        owned = list(site.refs)
        for engine in site.engines.values():
            engine.fail = 10**6  # the rollout never ends, so its leases stay held
        key = "lease", site.refs[0].key

        async def holder_is(name):
            await until(
                lambda: (
                    (row := site.tables.rows.get(key)) and row.value["holder"] == name
                ),
                10_000,
            )

        async def scenario():
            weight_rollout = site.create_weight_rollout("a")
            weight_rollout.owned_shards = lambda: owned
            task = asyncio.create_task(weight_rollout.run())
            await holder_is("a")
            owned.clear()
            await holder_is("")
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            other = site.create_weight_rollout("b").create_rollout(site.refs[0])
            assert await other.lease.hold() == Ok(2)
            assert await other.seed_lease.hold() != Ok(None)

        asyncio.run(scenario())

    def test_number_of_loaded_shards_doubles_each_round(self):
        """Guards against a tree in which one server feeds all shards in turn."""
        shards_with_version, rounds = {0}, 0
        while len(shards_with_version) < 42:
            rounds += 1
            sources = set(shards_with_version)
            for rank in range(42):
                if (
                    rank not in shards_with_version
                    and ancestor_ranks(rank)[0] in sources
                ):
                    sources.discard(ancestor_ranks(rank)[0])  # one transfer at a time
                    shards_with_version.add(rank)
        assert rounds == 6
