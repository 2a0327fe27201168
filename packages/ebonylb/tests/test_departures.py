"""Tests of servers that say in their responses that they leave.

The load pattern: a service's servers are replaced one after the other while requests,
items, scoring requests and weight orders keep coming, and the list lags behind what the
servers say.
"""

import asyncio
import dataclasses

import pytest

from ebonylb.fleet import ServerDirectory, ServerStage
from ebonylb.fleet.departures import MAX_DEPARTURES, Departures
from ebonylb.forwarding import CallerRequest, CallerStream
from ebonylb.interfaces.server_client import ModelVersion, ServerAddress
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.manual_clock import ManualClock
from ebonylb_standins.site.servers import PlannedResponse
from ebonylb_standins.site.world import World, read_all


def make_request(world, request_id, path):
    return CallerRequest(
        request_id,
        "POST",
        "site",
        path,
        path,
        (("Host", "site"),),
        b"x",
        world.clock.monotonic_ms(),
        8_000.0,
    )


async def serve(vm, request):
    response = await vm.forwarder.serve(request, vm.forwarder.find_route(request))
    if isinstance(response, CallerStream):
        return [block async for block in response.chunks]
    return response


def requests_after(server, count):
    """Return the ids of the requests that a server received after the first ones."""
    return [request.request_id for request in server.received_requests[count:]]


@pytest.fixture
def listed():
    world = run_virtual(make_world())
    return world.listed_servers()[0]


async def make_world():
    return World()


class TestDirectory:
    @pytest.fixture
    def directory(self, listed):
        directory = ServerDirectory(ManualClock(100_000.0))
        directory.put(listed)
        return directory

    def test_a_server_that_says_so_is_not_ready(self, directory, listed):
        changes = []
        directory.subscribe(lambda: changes.append(1))
        directory.record_departure(listed.endpoint)
        assert directory.ready(listed.service) == []
        assert not directory.is_ready(listed)
        assert len(changes) == 1

    @pytest.mark.parametrize("relist", ["put", "replace_all", "lapse"])
    def test_a_list_that_lags_does_not_take_it_back(self, directory, listed, relist):
        directory.record_departure(listed.endpoint)
        if relist == "put":
            directory.put(dataclasses.replace(listed, cold_ms=3))
        elif relist == "replace_all":
            directory.replace_all([listed])
        else:
            directory.remove(listed.name)
            directory.put(listed)
        assert directory.ready(listed.service) == []
        assert directory.get(listed.name).stage is ServerStage.LEAVING

    @pytest.mark.parametrize(
        "change", [{"started_ms": 2}, {"address": "10.9.9.9:80"}], ids=str
    )
    def test_a_new_incarnation_is_ready(self, directory, listed, change):
        directory.record_departure(listed.endpoint)
        successor = dataclasses.replace(listed, **change)
        directory.put(successor)
        assert directory.ready(listed.service) == [successor]

    def test_a_late_response_of_the_old_incarnation_says_nothing_of_the_new_one(
        self, directory, listed
    ):
        successor = dataclasses.replace(listed, started_ms=2)
        directory.put(successor)
        directory.record_departure(listed.endpoint)
        assert directory.ready(listed.service) == [successor]

    def test_a_departure_can_be_known_before_the_entry(self, listed):
        directory = ServerDirectory(ManualClock(100_000.0))
        directory.record_departure(listed.endpoint)
        directory.put(listed)
        assert directory.ready(listed.service) == []

    def test_memory_of_departures_is_bounded(self):
        departures = Departures()
        servers = [ServerAddress(str(n), "a:1") for n in range(MAX_DEPARTURES + 1)]
        for server in servers:
            departures.add(server)
        assert len(departures.announced) == MAX_DEPARTURES
        assert departures.includes(servers[-1])


class TestSenders:
    """Each sender chooses servers by a path of its own."""

    @pytest.mark.parametrize("path", ["/ask/1", "/book/1", "/chat/1", "/live/1"])
    def test_requests_of_callers(self, path):
        async def scenario():
            world = World()
            vm = world.start("a")
            for number in range(8):
                world.port.planned_responses[f"q{number}"] = PlannedResponse(
                    events=3 if path in ("/chat/1", "/live/1") else 0
                )
            leaving = world.port.servers["p0"]
            leaving.says_leaving = True
            number = 0
            while not leaving.received_requests:
                await serve(vm, make_request(world, f"q{number}", path))
                number += 1
            for later in range(number, 8):
                await serve(vm, make_request(world, f"q{later}", path))
                vm.refresh()  # the list still calls it ready
            assert len(leaving.received_requests) == 1

        run_virtual(scenario())

    def test_a_refusal_says_so_too(self):
        async def scenario():
            world = World()
            vm = world.start("a")
            leaving = world.port.servers["p0"]
            leaving.says_leaving, leaving.mode = True, "refuses"
            for number in range(6):
                await serve(vm, make_request(world, f"q{number}", "/book/1"))
            assert len(leaving.received_requests) == 1

        run_virtual(scenario())

    def test_hedged_copies(self):
        async def scenario():
            world = World(plain_services=3)
            vm = world.start("a")
            leaving, slow = world.port.servers["p0"], world.port.servers["p1"]
            leaving.says_leaving = True
            while not leaving.received_requests:
                await serve(vm, make_request(world, "first", "/ask/1"))
            slow.mode = world.port.servers["p2"].mode = "dark"
            await serve(vm, make_request(world, "second", "/ask/1"))
            assert requests_after(leaving, 1) == []

        run_virtual(scenario())

    def test_a_resumed_stream(self):
        async def scenario():
            world = World(plain_services=3)
            vm = world.start("a")
            world.port.planned_responses["q"] = PlannedResponse(events=20)
            leaving = world.port.servers["p0"]
            leaving.says_leaving = True
            while not leaving.received_requests:
                await serve(vm, make_request(world, "first", "/ask/1"))
            request = make_request(world, "q", "/chat/1")
            response = await vm.forwarder.serve(
                request, vm.forwarder.find_route(request)
            )
            count = 0
            async for _ in response.chunks:
                count += 1
                if count == 5:
                    (used,) = [s for s in world.port.servers.values() if s.running]
                    used.mode = "resets"
            assert count == 20
            assert requests_after(leaving, 1) == []

        run_virtual(scenario())

    def test_items_and_their_scoring_requests(self):
        async def scenario():
            world = World(engines=2)
            vm = world.start("a")
            engine, desk = world.port.servers["e0"], world.port.servers["p0"]
            await vm.batches.submit(world.batch("x", [20] * 4, scored=True))
            await read_all(vm, "x", 4)
            assert engine.received_requests and desk.received_requests
            engine.says_leaving = desk.says_leaving = True
            await vm.batches.submit(world.batch("y", [20] * 12, scored=True, step=1))
            await read_all(vm, "y", 12)
            said_ms = world.clock.monotonic_ms()
            counts = len(engine.received_requests), len(desk.received_requests)
            vm.refresh()
            await vm.batches.submit(world.batch("z", [20] * 12, scored=True, step=2))
            await read_all(vm, "z", 12)
            assert world.clock.monotonic_ms() > said_ms
            assert requests_after(engine, counts[0]) == []
            assert requests_after(desk, counts[1]) == []

        run_virtual(scenario())

    def test_weight_orders(self):
        """A report that is read before an order says that the server leaves."""

        async def scenario():
            world = World(engines=2)
            vm = world.start("a")
            leaving = world.port.servers["e0"]
            leaving.says_leaving = True
            for version in (2, 3):
                vm.orders.set_target_version(ModelVersion("m", version))
                await world.clock.sleep_ms(4_000)
                vm.refresh()
            assert leaving.orders == []
            assert world.port.servers["e1"].orders

        run_virtual(scenario())


class TestReplacement:
    def test_all_servers_are_replaced_under_load(self):
        """Pattern: a release, one server at a time, the list 1.5 s late.

        No request fails, and none reaches a server after its first announcement.
        """

        async def scenario():
            world = World(plain_services=2)
            vm = world.start("a")
            statuses = []

            async def ask(number):
                response = await serve(vm, make_request(world, f"q{number}", "/ask/1"))
                statuses.append(response.status)

            async def load():
                for number in range(200):
                    asyncio.get_running_loop().create_task(ask(number))
                    await world.clock.sleep_ms(30)

            running = asyncio.create_task(load())
            for old in ("p0", "p1"):
                world.add_server(f"{old}-new", "desk", 6, "north")
                vm.refresh()
                world.port.servers[old].says_leaving = True
                await world.clock.sleep_ms(1_500)
                count = len(world.port.servers[old].received_requests)
                vm.refresh()
                await world.clock.sleep_ms(1_000)
                assert requests_after(world.port.servers[old], count) == []
            await running
            await world.clock.sleep_ms(500)
            assert statuses == [200] * 200

        run_virtual(scenario())
