"""Tests of limits that servers name.

The load pattern: most servers of a service name a limit far below what several entry
VMs together send to them: items of trainers' steps, scoring requests, requests and
streams of callers, hedged copies, and weight orders.
"""

import asyncio
import dataclasses
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ebonylb.forwarding import CallerRequest, CallerStream
from ebonylb.interfaces.server_client import ModelVersion, ServerAddress
from ebonylb.limits import LimitRegistry, LimitShares
from ebonylb.limits.allowance import MIN_REQUESTS_PER_S, Allowance, SlotShares
from ebonylb.outcomes import Outcome, StepError
from ebonylb.routes import Route, RouteKind, Target
from ebonylb.storage.store_time import StoreTime
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.limit_rule import Sending, Sighting, find_busiest_windows
from ebonylb_standins.site.manual_clock import ManualClock
from ebonylb_standins.site.servers import PlannedResponse
from ebonylb_standins.site.world import (
    ENGINE_SERVICE,
    World,
    configuration,
    read_all,
)

LIMITS_PER_S = {"e0": 4.1, "e1": 4.4, "e2": 3.8, "e3": 0.6, "p0": 4.0, "p1": 2.0}


def make_request(world, request_id, path):
    return CallerRequest(
        request_id,
        "POST",
        "site",
        path,
        path,
        (("Host", "site"),),
        b"x" + request_id.encode(),
        world.clock.monotonic_ms(),
        2_000.0,
    )


async def serve(vm, request):
    """Return the response to a request; None for a stream that broke."""
    response = await vm.forwarder.serve(request, vm.forwarder.find_route(request))
    if isinstance(response, CallerStream):
        try:
            async for _ in response.chunks:
                pass
        except StepError:
            return None
    return response


async def ask_repeatedly(world, path, requests_per_s, until_ms, events=0):
    """Send requests to random entry VMs; return their tasks."""
    generator = random.Random(path)
    tasks = []
    while world.clock.monotonic_ms() < until_ms:
        request_id = f"{path}-{len(tasks)}"
        world.port.planned_responses[request_id] = PlannedResponse(events)
        request = make_request(world, request_id, path)
        vm = generator.choice(list(world.vms.values()))
        tasks.append(asyncio.create_task(serve(vm, request)))
        await world.clock.sleep_ms(1_000 / requests_per_s)
    return tasks


async def run_steps(world, vm, name, until_ms):
    """Run the steps of one trainer, each as soon as the one before is complete."""
    step = 0
    while world.clock.monotonic_ms() < until_ms:
        batch = world.batch(f"{name}-{step}", [4] * 24, scored=True, step=step)
        while await vm.batches.submit(batch) is not None:
            await world.clock.sleep_ms(500)
        await read_all(vm, f"{name}-{step}", 24, timeout_ms=120_000)
        step += 1


def sent_ms(world, server):
    """Return when any entry VM sent something to a server."""
    return [s.at_ms for p in world.ports for s in p.sendings if s.server == server]


def busiest_windows(world, named_ms):
    """Return the busiest window of each server over the requests of all entry VMs.

    All of them count, also those of entry VMs that have not met the limit yet.
    """
    sightings = [
        Sighting(named_ms, server.name, "all", server.limit_per_s)
        for server in world.port.servers.values()
        if server.limit_per_s
    ]
    sendings = [
        Sending(s.at_ms, s.server, "all") for p in world.ports for s in p.sendings
    ]
    return find_busiest_windows(sightings, sendings)


def judged_windows(world):
    """Return the busiest window of each server as the rule counts."""
    return find_busiest_windows(
        [
            s
            for port in world.ports
            for s in port.sightings
            # Responses from before the first naming.
            if s.requests_per_s is not None
        ],
        [s for port in world.ports for s in port.sendings],
    )


def site_configuration():
    """Return a configuration with callers' streams on the engines, too."""
    basic = configuration()
    prompt = Route(
        "prompt",
        "site",
        "/prompt/",
        RouteKind.STREAMING,
        (Target(ENGINE_SERVICE, 1),),
        timeout_ms=10_000,
        target_latency_ms=400,
        attempts=3,
        resumable=True,
    )
    return dataclasses.replace(basic, routes=(*basic.routes, prompt))


async def run_limited_site(entry_vms, store_faults=None, seconds=40):
    """Run a site whose servers name limits; return the world and the first time."""
    world = World(5, 3, site_configuration())
    vms = [
        world.start(f"vm{number}", ("north", "south", "high")[number % 3])
        for number in range(entry_vms)
    ]
    await world.clock.sleep_ms(1_000)
    for name, limit_per_s in LIMITS_PER_S.items():
        world.port.servers[name].limit_per_s = limit_per_s
    named_ms = world.clock.monotonic_ms()
    until_ms = named_ms + seconds * 1_000
    if store_faults is not None:
        store_faults(vms)

    async def name_versions():
        for version in range(2, 2 + seconds // 5):
            for vm in list(world.vms.values()):
                vm.orders.set_target_version(ModelVersion("m", version))
            await world.clock.sleep_ms(5_000)

    async def list_servers():
        while world.clock.monotonic_ms() < until_ms:
            await world.clock.sleep_ms(500)
            for vm in list(world.vms.values()):
                vm.refresh()

    async with asyncio.TaskGroup() as group:
        group.create_task(name_versions())
        group.create_task(list_servers())
        loads = (("/ask/1", 12, 0), ("/chat/1", 4, 10), ("/prompt/1", 24, 4))
        for path, rate, events in loads:
            group.create_task(ask_repeatedly(world, path, rate, until_ms, events))
        for number, vm in enumerate(vms[:3]):
            group.create_task(run_steps(world, vm, f"t{number}", until_ms))
    return world, named_ms


def excesses(windows):
    return [window for window in windows if window.is_excess]


def fail_store(vms, down=True):
    for vm in vms:
        vm.store.faults.down = down


class TestLimitOverAllEntryVms:
    # Guards against servers that get more than the limit that they name, from all
    # entry VMs together.
    @pytest.mark.parametrize("entry_vms", [1, 3, 11])
    def test_servers_get_no_more_than_the_limit_that_they_name(self, entry_vms):
        world, named_ms = run_virtual(run_limited_site(entry_vms))
        windows = busiest_windows(world, named_ms)
        assert {w.server for w in windows} == set(LIMITS_PER_S)
        assert excesses(windows) == []

    @pytest.mark.parametrize("entry_vms", [1, 11])
    def test_limits_are_used_while_items_wait(self, entry_vms):
        world, named_ms = run_virtual(run_limited_site(entry_vms))
        for name in ("e0", "e1", "e2"):
            steady = [
                ms for ms in sent_ms(world, name) if 4_000 <= ms - named_ms < 40_000
            ]
            assert len(steady) >= 0.75 * LIMITS_PER_S[name] * 36

    @pytest.mark.parametrize("entry_vms", [3, 11])
    def test_the_limit_holds_without_the_store(self, entry_vms):
        def faults(vms):
            fail_store(vms)
            asyncio.get_running_loop().call_later(30, fail_store, vms, False)

        world, _ = run_virtual(run_limited_site(entry_vms, faults))
        assert excesses(judged_windows(world)) == []

    def test_the_limit_holds_while_the_store_comes_and_goes(self):
        def faults(vms):
            loop = asyncio.get_running_loop()
            for second in range(3, 39, 6):
                loop.call_later(second, fail_store, vms)
                loop.call_later(second + 3, fail_store, vms, False)

        world, _ = run_virtual(run_limited_site(5, faults))
        assert excesses(judged_windows(world)) == []

    def test_the_limit_holds_while_entry_vms_end_and_start(self):
        def faults(vms):
            loop = asyncio.get_running_loop()

            def stop(vm):
                vm.stop()
                del vm.world.vms[vm.name]

            for number, vm in enumerate(vms[3:]):
                loop.call_later(6 + 4 * number, stop, vm)
                loop.call_later(
                    8 + 4 * number, vm.world.start, vm.name, vm.failure_domain, "2"
                )

        world, _ = run_virtual(run_limited_site(9, faults))
        assert excesses(judged_windows(world)) == []

    def test_entry_vms_that_ignore_each_other_are_reported(self, monkeypatch):
        monkeypatch.setattr(
            LimitShares, "slot_shares", lambda self, service: SlotShares({self.name: 1})
        )
        world, _ = run_virtual(run_limited_site(3))
        assert {w.server for w in excesses(judged_windows(world))} >= {"e0", "p0"}


class TestSenders:
    """Each sender chooses servers by a path of its own."""

    async def limited_world(self, limits, plain_services=2):
        """Return a world with one entry VM, which has learned the limits."""
        world = World(plain_services=plain_services)
        vm = world.start("a")
        for name, limit_per_s in limits.items():
            world.port.servers[name].limit_per_s = limit_per_s
        await world.clock.sleep_ms(500)
        for server in world.listed_servers():
            if server.name in limits:
                vm.registry.record(server.endpoint, limits[server.name], 0.0)
        # The first slots have begun before the limits were learned.
        for server in world.listed_servers():
            vm.limits.can_send(server)
        return world, vm

    @pytest.mark.parametrize("path", ["/ask/1", "/book/1", "/chat/1", "/live/1"])
    def test_requests_go_elsewhere(self, path):
        async def scenario():
            world, vm = await self.limited_world({"p0": 1.0})
            responses = [
                await serve(vm, make_request(world, f"q{number}", path))
                for number in range(30)
            ]
            assert {response.status for response in responses} == {200}
            elapsed_s = world.clock.monotonic_ms() / 1000
            assert len(sent_ms(world, "p0")) <= elapsed_s + 1

        run_virtual(scenario())

    @pytest.mark.parametrize("path", ["/ask/1", "/book/1", "/chat/1", "/live/1"])
    def test_excess_is_refused_at_once_as_not_run(self, path):
        async def scenario():
            world, vm = await self.limited_world({"p0": 1.0, "p1": 1.0})
            refused = []
            for number in range(30):
                began_ms = world.clock.monotonic_ms()
                response = await serve(vm, make_request(world, f"q{number}", path))
                if response.status != 200:
                    assert world.clock.monotonic_ms() - began_ms < 5
                    refused.append((f"q{number}", response.refusal))
            assert len(refused) > 20
            for request_id, refusal in refused:
                assert refusal.reason == "server_limit"
                assert refusal.outcome is Outcome.NOT_RUN
                assert refusal.retry_after_ms == 500
                for server in world.port.servers.values():
                    assert request_id not in server.started_request_ids

        run_virtual(scenario())

    def test_hedged_copies_count(self):
        async def scenario():
            world, vm = await self.limited_world({"p1": 1.0})
            for server in world.port.servers.values():
                server.slowdown = 30.0
            asks = [
                serve(vm, make_request(world, f"q{number}", "/ask/1"))
                for number in range(12)
            ]
            await asyncio.gather(*asks)
            elapsed_s = world.clock.monotonic_ms() / 1000
            assert len(sent_ms(world, "p1")) <= elapsed_s + 1

        run_virtual(scenario())

    def test_a_broken_stream_waits_for_room_in_the_limit(self):
        async def scenario():
            world, vm = await self.limited_world({"p1": 2.0})
            world.port.planned_responses["q"] = PlannedResponse(events=20)
            other = world.port.servers["p0"]
            request = make_request(world, "q", "/chat/1")
            while True:
                response = await vm.forwarder.serve(
                    request, vm.forwarder.find_route(request)
                )
                if other.running:
                    break
                await response.chunks.aclose()
            (p1,) = [s for s in world.listed_servers() if s.name == "p1"]
            while vm.limits.can_send(p1):
                vm.limits.reserve(p1)
            count = 0
            async for _ in response.chunks:
                count += 1
                if count == 5:
                    # It stays listed and accepts nothing more.
                    other.mode, sent = "absent", len(sent_ms(world, "p1"))
                    vm.directory.remove("p0")
            assert count == 20
            assert len(sent_ms(world, "p1")) == sent + 1

        run_virtual(scenario())

    # Guards against a service that gets nothing where the store names no time.
    def test_slots_pass_without_a_time_of_the_store(self):
        async def scenario():
            world, vm = await self.limited_world({"p0": 4.0, "p1": 4.0})
            vm.limits.store_time.offset_ms = None
            vm.limits.allowances.clear()
            vm.stop()
            statuses = []
            for number in range(100):
                response = await serve(vm, make_request(world, f"q{number}", "/ask/1"))
                statuses.append(response.status)
                await world.clock.sleep_ms(50)
            assert 30 <= statuses.count(200) <= 50

        run_virtual(scenario())


class TestStatements:
    """Which statement of a server holds."""

    @pytest.fixture
    def server(self):
        return ServerAddress("s", "10.0.0.1:80", 1)

    @pytest.fixture
    def clock(self):
        return ManualClock(100_000.0)

    @pytest.fixture
    def registry(self, clock):
        store_time = StoreTime(clock)
        store_time.record(1_000_000.0)
        return LimitRegistry(clock, store_time)

    def test_a_response_without_a_limit_withdraws_it(self, registry, server, clock):
        registry.record(server, 4.0, clock.monotonic_ms())
        clock.now_ms += 10
        registry.record(server, None, clock.monotonic_ms())
        assert registry.get(server) is None

    def test_a_response_to_an_older_request_does_not(self, registry, server, clock):
        sent_ms = clock.monotonic_ms()
        clock.now_ms += 10
        registry.record(server, 4.0, clock.monotonic_ms())
        registry.record(server, None, sent_ms)
        assert registry.get(server).requests_per_s == 4.0

    def test_another_incarnation_has_no_limit(self, registry, server, clock):
        registry.record(server, 4.0, clock.monotonic_ms())
        assert registry.get(dataclasses.replace(server, started_ms=2)) is None

    def test_the_newest_statement_holds(self, registry, server, clock):
        registry.adopt(server, 4.0, 999_000.0)
        registry.adopt(server, 5.0, 998_000.0)
        assert registry.get(server).requests_per_s == 4.0
        registry.adopt(server, None, 999_500.0)
        assert registry.get(server) is None

    def test_a_withdrawal_reaches_the_other_entry_vms(self):
        async def scenario():
            world = World()
            first, second = world.start("a"), world.start("b")
            await world.clock.sleep_ms(500)
            (server,) = [s for s in world.listed_servers() if s.name == "p0"]
            now = world.clock.monotonic_ms()
            first.registry.record(server.endpoint, 4.0, now)
            await world.clock.sleep_ms(1_000)
            assert second.registry.get(server.endpoint).requests_per_s == 4.0
            first.registry.record(server.endpoint, None, world.clock.monotonic_ms())
            await world.clock.sleep_ms(1_000)
            assert second.registry.get(server.endpoint) is None

        run_virtual(scenario())


class TestAllowance:
    @given(
        st.floats(0.0, 400.0),
        st.dictionaries(st.text("abcdef", min_size=1), st.integers(1, 64), min_size=1),
        st.integers(0, 10**12),
        st.integers(7, 3_000),
    )
    @settings(max_examples=60, deadline=None)
    def test_no_window_gets_more_than_its_slots(self, limit, weights, start_ms, poll):
        """All entry VMs take whatever they are allowed, as soon as they look."""
        shares = SlotShares(weights)
        allowances = [Allowance("s", name) for name in weights]
        sent_ms = []
        for now in range(start_ms, start_ms + 12_000, poll):
            for allowance in allowances:
                allowance.refill(now, limit, shares)
                while allowance.has_request(now):
                    allowance.use()
                    sent_ms.append(now)
        rate = max(limit, MIN_REQUESTS_PER_S)
        busiest = max(
            (sum(1 for ms in sent_ms if at <= ms <= at + 4_000) for at in sent_ms),
            default=0,
        )
        assert busiest <= 1.5 * rate * 4 + 5

    def test_a_debt_is_paid_first(self):
        allowance, shares = Allowance("s", "a"), SlotShares({"a": 1})
        allowance.refill(0.0, 1.0, shares)
        allowance.use()
        allowance.use()
        for now, expected in ((1_000.0, False), (2_000.0, True)):
            allowance.refill(now, 1.0, shares)
            assert allowance.has_request(now) is expected

    def test_shares_follow_the_weights(self):
        shares = SlotShares({"a": 1, "b": 3})
        owners = [shares.owner("s", slot) for slot in range(4_000)]
        assert 0.7 < owners.count("b") / 4_000 < 0.8
