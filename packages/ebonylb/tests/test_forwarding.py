"""Single requests: attempts, copies, deadlines, refusals and crashes."""

import asyncio

import pytest

from ebonylb.forwarding import CallerRequest, Forwarder
from ebonylb.forwarding.strikes import request_fingerprint
from ebonylb.outcomes import Outcome
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.servers import Output
from ebonylb_standins.site.world import World


def ask(world, request_id="q", path="/ask/1", deadline_ms=2_000.0, body=b"x"):
    return CallerRequest(
        request_id,
        "POST",
        "site",
        path,
        path,
        (("Host", "site"),),
        body,
        world.clock.monotonic_ms(),
        deadline_ms,
    )


async def serve(vm, request):
    route = vm.forwarder.find_route(request)
    return await vm.forwarder.serve(request, route)


def runs(world, request_id="q"):
    return sum(s.ran.count(request_id) for s in world.port.servers.values())


class TestIdempotent:
    def test_the_answer_is_the_servers_own(self):
        async def scenario():
            world = World()
            answer = await serve(world.start("a"), ask(world))
            assert (answer.status, answer.body) == (200, b"body of q")
            assert runs(world) == 1

        run_virtual(scenario())

    @pytest.mark.parametrize("mode", ["dark", "resets", "fails", "absent", "refuses"])
    def test_another_server_answers_for_a_bad_one(self, mode):
        async def scenario():
            world = World()
            vm = world.start("a")
            world.port.servers["p0"].mode = mode
            began = world.clock.monotonic_ms()
            answer = await serve(vm, ask(world))
            assert answer.status == 200
            # On target, although the first server never answers.
            assert world.clock.monotonic_ms() - began < 240

        run_virtual(scenario())

    def test_attempts_bound_the_servers_that_run_it(self):
        async def scenario():
            world = World(plain=5)
            vm = world.start("a")
            for name in list(world.port.servers):
                world.port.servers[name].mode = "resets"
            answer = await serve(vm, ask(world))
            assert answer.status == 502
            assert answer.refusal.outcome is Outcome.MAY_HAVE_RUN
            assert runs(world) <= 2

        run_virtual(scenario())

    def test_full_servers_are_refused_early_and_truly(self):
        async def scenario():
            world = World()
            vm = world.start("a")
            for server in world.port.servers.values():
                server.mode = "refuses"
            began = world.clock.monotonic_ms()
            answer = await serve(vm, ask(world))
            assert answer.status == 503
            assert answer.refusal.outcome is Outcome.NOT_RUN
            assert answer.refusal.retry_after_ms > 0
            assert world.clock.monotonic_ms() - began < 240 / 4 + 60
            assert runs(world) == 0

        run_virtual(scenario())

    def test_the_time_limit_ends_the_wait(self):
        async def scenario():
            world = World()
            vm = world.start("a")
            world.port.outputs["q"] = Output(work_ms=5_000)
            began = world.clock.monotonic_ms()
            answer = await serve(vm, ask(world, deadline_ms=900.0))
            assert answer.status == 504
            assert world.clock.monotonic_ms() - began <= 900
            await world.clock.sleep_ms(1)
            assert not any(s.running for s in world.port.servers.values())

        run_virtual(scenario())

    def test_no_server_is_said_at_once(self):
        async def scenario():
            world = World(plain=0)
            answer = await serve(world.start("a"), ask(world))
            assert answer.refusal.reason == "no_backend_server"
            assert answer.refusal.outcome is Outcome.NOT_RUN

        run_virtual(scenario())

    def test_a_caller_that_leaves_frees_the_server(self):
        async def scenario():
            world = World()
            vm = world.start("a")
            world.port.outputs["q"] = Output(work_ms=1_500)
            task = asyncio.create_task(serve(vm, ask(world)))
            await world.clock.sleep_ms(300)
            task.cancel()
            await world.clock.sleep_ms(10)
            assert not any(s.running for s in world.port.servers.values())

        run_virtual(scenario())


class TestNonIdempotent:
    @pytest.mark.parametrize("mode", ["resets", "dark", "fails"])
    def test_it_is_never_sent_twice_once_it_may_have_run(self, mode):
        async def scenario():
            world = World()
            vm = world.start("a")
            for server in world.port.servers.values():
                server.mode = mode
            answer = await serve(vm, ask(world, path="/book/1"))
            assert answer.status >= 500
            assert answer.status != 503
            assert sum(len(s.sent) for s in world.port.servers.values()) == 1

        run_virtual(scenario())

    @pytest.mark.parametrize("mode", ["absent", "refuses"])
    def test_it_goes_on_to_another_server_when_it_surely_did_not_run(self, mode):
        async def scenario():
            world = World()
            vm = world.start("a")
            world.port.servers["p0"].mode = mode
            answer = await serve(vm, ask(world, path="/book/1"))
            assert answer.status == 200
            assert runs(world) == 1

        run_virtual(scenario())


class TestCrashes:
    def test_a_request_that_crashes_servers_is_given_up(self):
        """It comes again and again, at any entry VM, under new ids."""

        async def scenario():
            world = World(plain=6)
            vms = [world.start("a"), world.start("b", "south")]
            for server in world.port.servers.values():
                server.mode = "crashes"
            for number in range(8):
                vm = vms[number % 2]
                answer = await serve(vm, ask(world, f"q{number}", body=b"poison"))
                assert answer.status in (502, 504)
                await world.clock.sleep_ms(500)
            modes = [server.mode for server in world.port.servers.values()]
            assert modes.count("absent") <= 3
            given_up = vms[0].strikes
            assert given_up.is_given_up(
                request_fingerprint("POST", "site", "/ask/1", b"poison")
            )

        run_virtual(scenario())

    def test_a_lost_answer_of_a_living_server_is_no_crash(self):
        async def scenario():
            world = World()
            vm = world.start("a")
            world.port.servers["p0"].mode = "resets"
            await serve(vm, ask(world))
            assert not vm.strikes.crashes

        run_virtual(scenario())


class TestRoutes:
    def test_without_a_configuration_nothing_is_denied(self):
        """An entry VM that knows no routes yet must not answer 404."""

        async def scenario():
            world = World()
            vm = world.start("a")
            vm.routes.configuration = None
            answer = vm.forwarder.find_route(ask(world))
            assert answer.status == 503
            assert isinstance(vm.forwarder, Forwarder)

        run_virtual(scenario())

    def test_an_unknown_path_is_denied(self):
        async def scenario():
            world = World()
            answer = world.start("a").forwarder.find_route(ask(world, path="/no/"))
            assert answer.status == 404

        run_virtual(scenario())
