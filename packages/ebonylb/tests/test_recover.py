"""Tests of entry VMs that are cut off from all backend servers."""

import asyncio
import itertools

import pytest

from ebonylb.forwarding import CallerRequest
from ebonylb.interfaces.server_client import ModelVersion
from ebonylb.outcomes import Outcome
from ebonylb.service.readiness import Readiness
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.cut_path import PathState
from ebonylb_standins.site.recover_rule import Cut, FirstTry, judge
from ebonylb_standins.site.servers import PlannedResponse
from ebonylb_standins.site.world import World, read_all

CUTS = [PathState.HANG, PathState.RESET, PathState.REFUSE]
DOMAINS = ("north", "south", "high")
# Longer than the window in which the rule does not judge yet.
CUT_MS = 10_000.0
# Results are due this long after the submission of a batch.
DUE_MS = 7_500.0


def make_request(world, request_id, path="/ask/1", deadline_ms=2_000.0):
    return CallerRequest(
        request_id,
        "POST",
        "site",
        path,
        path,
        (("Host", "site"),),
        request_id.encode(),
        world.clock.monotonic_ms(),
        deadline_ms,
    )


async def serve(vm, request):
    return await vm.forwarder.serve(request, vm.forwarder.find_route(request))


class Callers:
    """Callers that send a request to each entry VM at an interval."""

    def __init__(self, world, path="/ask/1", interval_ms=250.0):
        self.world = world
        self.path = path
        self.interval_ms = interval_ms
        self.numbers = itertools.count()
        self.tries = []
        self.responses = {}

    async def send(self, vm):
        request_id = f"{vm.name}-{next(self.numbers)}"
        began_ms = self.world.clock.monotonic_ms()
        response = await serve(vm, make_request(self.world, request_id, self.path))
        self.responses[request_id] = response
        self.tries.append(FirstTry(began_ms, vm.name, response.status == 200))

    async def run(self, duration_ms):
        sendings = []
        end_ms = self.world.clock.monotonic_ms() + duration_ms
        while self.world.clock.monotonic_ms() < end_ms:
            for vm in self.world.vms.values():
                sendings.append(asyncio.create_task(self.send(vm)))
                await self.world.clock.sleep_ms(self.interval_ms / len(self.world.vms))
        await asyncio.gather(*sendings)


def start_site(entry_vms=6, **options):
    world = World(**options)
    for number in range(entry_vms):
        world.start(f"vm-{number}", DOMAINS[number % 3])
    return world


async def cut_off(world, state, names):
    """Cut entry VMs off for `CUT_MS` and return the cut."""
    begin_ms = world.clock.monotonic_ms()
    for name in names:
        world.vms[name].path.cut(state)
    await world.clock.sleep_ms(CUT_MS)
    for name in names:
        world.vms[name].path.heal()
    return Cut(begin_ms, world.clock.monotonic_ms(), set(names))


class TestRule:
    """The checker reports what breaks the rule, and nothing else."""

    @staticmethod
    def tries(entry_vm, served, failed, at_ms=5_000.0):
        return [FirstTry(at_ms, entry_vm, True)] * served + [
            FirstTry(at_ms, entry_vm, False)
        ] * failed

    def test_cut_off_entry_vms_that_serve_nothing_break_it(self):
        cut = Cut(0.0, 12_000.0, {"a"})
        result = judge(cut, self.tries("a", 0, 40) + self.tries("b", 40, 0))
        assert result.is_broken

    @pytest.mark.parametrize(
        ("served", "failed"), [(27, 13), (0, 11), (40, 0)], ids=["share", "few", "all"]
    )
    def test_two_thirds_of_the_others_or_few_failures_keep_it(self, served, failed):
        cut = Cut(0.0, 12_000.0, {"a"})
        tries = self.tries("a", served, failed) + self.tries("b", 60, 0)
        assert not judge(cut, tries).is_broken

    @pytest.mark.parametrize("at_ms", [3_999.0, 12_000.0])
    def test_it_holds_from_the_stable_window_to_the_end_of_the_cut(self, at_ms):
        cut = Cut(0.0, 12_000.0, {"a"})
        tries = self.tries("a", 0, 40, at_ms) + self.tries("b", 40, 0)
        assert not judge(cut, tries).is_broken


class TestCallers:
    @pytest.mark.parametrize("state", CUTS)
    @pytest.mark.parametrize("cut_vms", [4, 5])
    def test_callers_of_cut_off_entry_vms_are_served(self, state, cut_vms):
        """Guards against requests that only try servers their entry VM cannot reach."""

        async def scenario():
            world = start_site()
            callers = Callers(world)
            calls = asyncio.create_task(callers.run(CUT_MS + 3_000))
            await world.clock.sleep_ms(1_000)
            names = [f"vm-{number}" for number in range(cut_vms)]
            cut = await cut_off(world, state, names)
            await calls
            result = judge(cut, callers.tries)
            assert result.inside.tries > 50 and result.outside.share > 0.9
            assert not result.is_broken, result

        run_virtual(scenario())

    @pytest.mark.parametrize("state", CUTS)
    def test_bookings_are_served_and_never_run_twice(self, state):
        """Guards against work that a second path repeats."""

        async def scenario():
            world = start_site()
            callers = Callers(world, path="/book/1")
            calls = asyncio.create_task(callers.run(CUT_MS + 3_000))
            await world.clock.sleep_ms(1_000)
            cut = await cut_off(world, state, ["vm-0", "vm-1", "vm-2"])
            await calls
            assert not judge(cut, callers.tries).is_broken
            for request_id, response in callers.responses.items():
                runs = sum(
                    server.started_request_ids.count(request_id)
                    for server in world.port.servers.values()
                )
                assert runs <= 1
                if response.refusal and response.refusal.outcome is Outcome.NOT_RUN:
                    assert runs == 0

        run_virtual(scenario())

    def test_a_request_without_any_connection_is_refused_as_not_run(self):
        """Guards against 502 and 504, after which a booking cannot be sent again."""

        async def scenario():
            world = start_site(1)
            vm = world.vms["vm-0"]
            vm.path.cut(PathState.HANG)
            for path in ("/ask/1", "/book/1", "/live/1"):
                response = await serve(vm, make_request(world, path, path))
                assert response.status == 503, path
                assert response.refusal.outcome is Outcome.NOT_RUN

        run_virtual(scenario())

    def test_lost_connections_do_not_mark_a_request_as_crashing_servers(self):
        """Guards against a cut that blocks the requests in flight on all entry VMs."""

        async def scenario():
            world = start_site(2)
            first, second = world.vms.values()
            world.port.planned_responses["q"] = PlannedResponse(work_ms=400.0)
            request = make_request(world, "q")
            call = asyncio.create_task(serve(first, request))
            await world.clock.sleep_ms(200)
            first.path.cut(PathState.RESET)
            await call
            await world.clock.sleep_ms(1_000)
            assert not second.strikes.crashes

        run_virtual(scenario())


class TestReadiness:
    def test_new_callers_go_to_entry_vms_that_reach_servers(self):
        """Guards against new connections to an entry VM that reaches no server."""

        async def scenario():
            world = start_site(2)
            await world.clock.sleep_ms(1_500)
            first, second = world.vms.values()
            readiness = Readiness(first.routes, world.clock)
            readiness.standby = first.standby
            assert readiness.is_ready()
            first.path.cut(PathState.HANG)
            assert not await first.reachability.check()
            assert not readiness.is_ready()
            second.path.cut(PathState.HANG)
            assert not await second.reachability.check()
            await world.clock.sleep_ms(1_500)
            # No other entry VM would serve them better.
            assert readiness.is_ready()
            first.path.heal()
            await world.clock.sleep_ms(1_500)
            assert readiness.is_ready()

        run_virtual(scenario())


class TestBatches:
    @pytest.mark.parametrize("state", CUTS)
    def test_a_cut_off_holder_does_not_delay_its_step(self, state):
        """Guards against a holder that goes on with servers it cannot reach."""

        async def scenario():
            world = start_site()
            holder = world.vms["vm-0"]
            lengths = [40] * 24
            await holder.batches.submit(world.batch("b", lengths))
            await world.clock.sleep_ms(500)
            began_ms = world.clock.monotonic_ms()
            cut = asyncio.create_task(cut_off(world, state, ["vm-0"]))
            results = await read_all(world.vms["vm-1"], "b", len(lengths))
            assert all(result.succeeded for result in results)
            assert world.clock.monotonic_ms() - began_ms < DUE_MS
            await cut

        run_virtual(scenario())

    @pytest.mark.parametrize("state", CUTS)
    def test_a_step_goes_to_an_entry_vm_that_reaches_servers(self, state):
        """Guards against batches that move among entry VMs which are all cut off."""

        async def scenario():
            world = start_site()
            lengths = [40] * 24
            holder = world.vms["vm-0"]
            await holder.batches.submit(world.batch("b", lengths))
            await world.clock.sleep_ms(500)
            began_ms = world.clock.monotonic_ms()
            names = [f"vm-{number}" for number in range(5)]
            cut = asyncio.create_task(cut_off(world, state, names))
            results = await read_all(world.vms["vm-1"], "b", len(lengths))
            assert all(result.succeeded for result in results)
            assert world.clock.monotonic_ms() - began_ms < DUE_MS
            await cut

        run_virtual(scenario())

    def test_a_step_accepted_while_cut_off_runs_elsewhere(self):
        """Guards against a batch that waits where it was accepted."""

        async def scenario():
            world = start_site()
            await world.clock.sleep_ms(1_500)
            vm = world.vms["vm-0"]
            cut = asyncio.create_task(cut_off(world, PathState.HANG, ["vm-0"]))
            await world.clock.sleep_ms(10)
            assert not await vm.reachability.check()
            began_ms = world.clock.monotonic_ms()
            assert await vm.batches.submit(world.batch("b", [40] * 24)) is None
            await read_all(world.vms["vm-1"], "b", 24)
            assert world.clock.monotonic_ms() - began_ms < DUE_MS
            assert not vm.ownership.holders
            await cut

        run_virtual(scenario())

    def test_a_step_stays_where_nobody_reaches_a_server(self):
        """Guards against batches that are released although nobody can run them."""

        async def scenario():
            world = start_site(3)
            await world.vms["vm-0"].batches.submit(world.batch("b", [40] * 24))
            await world.clock.sleep_ms(500)
            cut = asyncio.create_task(cut_off(world, PathState.HANG, list(world.vms)))
            await world.clock.sleep_ms(5_000)
            claims = len([r for r in world.data.log if r.row_key.table == "batches"])
            await world.clock.sleep_ms(3_000)
            writes = len([r for r in world.data.log if r.row_key.table == "batches"])
            # Heartbeats of one holder, twice a second, and its checkpoints.
            assert writes - claims <= 12
            await cut
            results = await read_all(world.vms["vm-1"], "b", 24)
            assert all(result.succeeded for result in results)

        run_virtual(scenario())


class TestOrders:
    @pytest.mark.parametrize("state", CUTS)
    def test_weights_are_loaded_although_the_lease_holder_is_cut_off(self, state):
        """Guards against leases kept by an entry VM that can give no orders."""

        async def scenario():
            world = start_site()
            for version in (2, 3):
                if version == 3:
                    holders = {
                        lease.lease.holder
                        for vm in world.vms.values()
                        for lease in vm.order_leases.observed_leases.values()
                    }
                    cut = asyncio.create_task(cut_off(world, state, holders))
                    await world.clock.sleep_ms(1_000)
                for vm in world.vms.values():
                    vm.orders.set_target_version(ModelVersion("m", version))
                await world.clock.sleep_ms(CUT_MS - 2_000)
            engines = [s for s in world.port.servers.values() if s.versions]
            assert all(engine.versions["m"] >= 2 for engine in engines)
            assert any(engine.versions["m"] == 3 for engine in engines)
            await cut

        run_virtual(scenario())
