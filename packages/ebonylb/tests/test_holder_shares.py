"""Tests of the shares that several entry VMs on one store have in engine slots."""

import asyncio
import logging
import random
import statistics

from ebonylb.batches.holder_shares import NoSlotLimits
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.world import ENGINE_SERVICE, World, read_all


def start_holders(world, names):
    """Start entry VMs that hold the batches which they accept."""
    vms = []
    for name in names:
        vm = world.start(name)
        choice = (vm.name, vm.incarnation)
        vm.ownership.holder_choice.choose_holder = lambda header, choice=choice: choice
        vms.append(vm)
    return vms


def engines_world(engines, slots=8):
    """Return a world of engines that refuse requests beyond their slots."""
    world = World(engines=0, plain_services=0)
    for number in range(engines):
        world.add_server(f"e{number}", ENGINE_SERVICE, slots, "north")
    return world


def allowed(vm):
    """Return the number of slots that an entry VM may use; None without a limit."""
    own = vm.placement.slot_limits.slots_by_engine(ENGINE_SERVICE)
    return None if own is None else sum(own.values())


class TestSharesInForce:
    """Shares of entry VMs that follow one store."""

    def test_a_lone_holder_has_no_shares_until_another_one_begins(self, caplog):
        """Guards against limits where nobody else uses the engines, and against a log
        line for each division.
        """
        caplog.set_level(logging.INFO, "ebonylb.batches.holder_shares")

        async def scenario():
            world = engines_world(6)
            a, b = start_holders(world, "ab")
            await world.clock.sleep_ms(300)
            await a.batches.submit(world.batch("x", [150] * 40))
            await world.clock.sleep_ms(300)
            assert allowed(a) is None
            await b.batches.submit(world.batch("y", [150] * 40))
            await world.clock.sleep_ms(300)
            assert allowed(a) == 24
            assert a.placement.slot_limits.gauges() == {
                "slot_shares.lm.allowed": 24.0,
                "slot_shares.lm.used": 40.0,
            }
            await world.clock.sleep_ms(1_000)
            await b.batches.end("y")
            await world.clock.sleep_ms(300)
            assert allowed(a) is None
            lines = [
                (r.in_force, r.own_slots) for r in caplog.records if r.holders == 1
            ]
            assert lines == [(False, None)] and len(caplog.records) <= 4

        run_virtual(scenario())

    def test_slots_taken_from_a_running_step_become_usable_as_its_runs_end(self):
        """Guards against requests to engines that are still full with short items."""

        async def scenario():
            world = engines_world(6)
            a, b = start_holders(world, "ab")
            await world.clock.sleep_ms(300)
            await a.batches.submit(world.batch("x", [20] * 300))
            await world.clock.sleep_ms(300)
            await b.batches.submit(world.batch("y", [20] * 300))
            counts = []
            for _ in range(5):
                counts.append(allowed(b))
                await world.clock.sleep_ms(250)
            assert counts[0] == 0 and counts[-1] == 24 and counts == sorted(counts)

        run_virtual(scenario())

    def test_the_last_shares_hold_for_3_s_without_the_store(self):
        """Guards against shares that follow rows nobody updates any more."""

        async def scenario():
            world = engines_world(6)
            a, b = start_holders(world, "ab")
            await world.clock.sleep_ms(300)
            for vm, batch_id in ((a, "x"), (b, "y")):
                await vm.batches.submit(world.batch(batch_id, [200] * 40))
            await world.clock.sleep_ms(400)
            assert allowed(a) == 24
            a.store.faults.silent = b.store.faults.silent = True
            await world.clock.sleep_ms(2_400)
            assert allowed(a) == 24
            await world.clock.sleep_ms(1_000)
            assert allowed(a) is None
            a.store.faults.silent = b.store.faults.silent = False
            await world.clock.sleep_ms(2_000)
            assert allowed(a) == 24

        run_virtual(scenario())

    def test_a_lost_holder_leaves_its_share_to_who_takes_its_batch(self):
        """Guards against slots that stay with an entry VM that is gone."""

        async def scenario():
            world = engines_world(6)
            vms = start_holders(world, "abc")
            await world.clock.sleep_ms(300)
            for vm in vms:
                await vm.batches.submit(world.batch(f"of-{vm.name}", [60] * 120))
            await world.clock.sleep_ms(1_500)
            assert [allowed(vm) for vm in vms] == [16, 16, 16]
            vms[2].stop()
            await world.clock.sleep_ms(4_000)
            assert sorted(allowed(vm) for vm in vms[:2]) == [16, 32]

        run_virtual(scenario())

    def test_more_holders_than_slots_all_make_progress(self):
        """Guards against a batch that starves, and against its items going to engines
        without a share once they have waited long.
        """

        async def scenario():
            world = engines_world(1, slots=3)
            vms = start_holders(world, "abcdefg")
            await world.clock.sleep_ms(300)
            for vm in vms:
                await vm.batches.submit(world.batch(f"of-{vm.name}", [15] * 4))
            await world.clock.sleep_ms(7_000)
            listed = [vm.progress_view.get(f"of-{vm.name}").listed for vm in vms]
            assert min(listed) >= 1
            server = world.port.servers["e0"]
            arrivals, started = server.received_requests, server.started_request_ids
            # 43 arrivals for 28 runs, most of them before the rows of all were known.
            assert len(arrivals) < 2 * len(started)
            for vm in vms:
                assert len(await read_all(vm, f"of-{vm.name}", 4)) == 4

        run_virtual(scenario())

    def test_an_item_that_fits_no_share_uses_another_engine(self):
        """Guards against items that wait for ever since the only engines with their
        weights belong to other holders' shares.
        """

        async def scenario():
            world = engines_world(2, slots=1)
            a, b = start_holders(world, "ab")
            await world.clock.sleep_ms(300)
            world.port.servers["e0"].versions["m"] = 2
            for vm in (a, b):
                vm.refresh()
                batch = world.batch(f"of-{vm.name}", [15] * 3, min_version=2)
                await vm.batches.submit(batch)
            for vm in (a, b):
                assert len(await read_all(vm, f"of-{vm.name}", 3)) == 3

        run_virtual(scenario())


class TestCollidingSteps:
    """Four trainers request a step of 80 items every 4 s, at 22 engines."""

    @staticmethod
    def run_steps(with_shares: bool) -> tuple[float, list[float]]:
        """Return the share of rejected arrivals, and the mean duration by trainer."""
        rng = random.Random(7)
        world = engines_world(22)
        for number, server in enumerate(world.port.servers.values()):
            server.slowdown = (1.0, 1.0, 1.3)[number % 3]
        durations = {}

        async def trainer(vm):
            for step in range(3):
                began_ms = world.clock.monotonic_ms()
                lengths = [
                    min(110, round(rng.expovariate(1 / 18)) + 1) for _ in "x" * 80
                ]
                batch_id = f"{vm.name}-{step}"
                await vm.batches.submit(world.batch(batch_id, lengths, step=step))
                await read_all(vm, batch_id, 80)
                elapsed_ms = world.clock.monotonic_ms() - began_ms
                durations.setdefault(vm.name, []).append(elapsed_ms)
                await world.clock.sleep_ms(max(0.0, 4_000 - elapsed_ms))

        async def scenario():
            vms = start_holders(world, "abcd")
            if not with_shares:
                for vm in vms:
                    vm.placement.slot_limits = NoSlotLimits()
            await world.clock.sleep_ms(300)
            await asyncio.gather(*(trainer(vm) for vm in vms))

        run_virtual(scenario())
        servers = world.port.servers.values()
        arrivals = sum(len(server.received_requests) for server in servers)
        started = sum(len(server.started_request_ids) for server in servers)
        means = [statistics.mean(values) for values in durations.values()]
        return 1 - started / arrivals, means

    def test_few_arrivals_are_rejected_and_no_trainer_waits_twice_as_long(self):
        """Guards against holders that fill the same slots unaware of each other.

        With these steps, 1.4% of the arrivals were rejected, and 52% without shares.
        """
        rejected, means = self.run_steps(with_shares=True)
        rejected_before, _ = self.run_steps(with_shares=False)
        assert rejected < 0.03 < rejected_before / 4
        assert max(means) < 2 * min(means)
