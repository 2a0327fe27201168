"""Single requests: attempts, copies, deadlines, refusals and crashes."""

import asyncio
import dataclasses
import logging

import pytest

from ebonylb.forwarding import CallerRequest, CallerStream, Forwarder
from ebonylb.forwarding.strikes import request_fingerprint
from ebonylb.outcomes import Outcome, StepError
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.servers import EVENT_MS, Output
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


def blocks(first, last):
    return [f"id: {number}\n\n".encode() for number in range(first, last + 1)]


class TestAbandoned:
    def test_a_request_whose_caller_leaves_has_a_line(self, caplog):
        """Guards against requests that the logs know nothing of."""

        async def scenario():
            world = World()
            vm = world.start("a")
            world.port.outputs["q"] = Output(work_ms=500)
            task = asyncio.create_task(serve(vm, ask(world, path="/book/1")))
            await world.clock.sleep_ms(50)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert all(s.running == 0 for s in world.port.servers.values())

        with caplog.at_level(logging.INFO):
            run_virtual(scenario())
        (line,) = [r for r in caplog.records if "abandoned" in r.message]
        assert line.request_id == "q" and line.servers
        assert 45 <= line.elapsed_ms <= 60


class TestStreams:
    """Answers that are series of events."""

    @staticmethod
    def stream_of(world, path="/chat/1", **fields):
        world.port.outputs["q"] = Output(events=20)
        return dataclasses.replace(ask(world, path=path), **fields)

    @staticmethod
    def server_in_use(world):
        (server,) = [s for s in world.port.servers.values() if s.running]
        return server

    def test_events_are_passed_on_as_they_come(self):
        """Guards against a stream that is held back until it is whole."""

        async def scenario():
            world = World()
            answer = await serve(world.start("a"), self.stream_of(world))
            assert isinstance(answer, CallerStream)
            assert answer.status == 200
            began = world.clock.monotonic_ms()
            received = []
            async for block in answer.chunks:
                received.append(block)
                at = world.clock.monotonic_ms() - began
                assert at < EVENT_MS * len(received) + 5
            assert received == blocks(1, 20)
            assert runs(world) == 1

        run_virtual(scenario())

    @pytest.mark.parametrize("mode", ["resets", "dark"])
    def test_a_resumable_stream_goes_on_elsewhere(self, mode):
        """Guards against lost or doubled events, and against a silent server.

        Callers leave after a gap of 2 s.
        """

        async def scenario():
            world = World()
            answer = await serve(world.start("a"), self.stream_of(world))
            last = world.clock.monotonic_ms()
            received = []
            async for block in answer.chunks:
                assert world.clock.monotonic_ms() - last < 2_000
                last = world.clock.monotonic_ms()
                received.append(block)
                if len(received) == 7:
                    self.server_in_use(world).mode = mode
            assert received == blocks(1, 20)
            assert runs(world) == 2
            resumed = [r for s in world.port.servers.values() for r in s.sent]
            assert sorted(r.resume_after or 0 for r in resumed) == [0, 7]

        run_virtual(scenario())

    @pytest.mark.parametrize(("path", "status"), [("/chat/1", 200), ("/live/1", 500)])
    def test_only_a_resumable_stream_is_asked_for_again_after_a_failure(
        self, path, status
    ):
        async def scenario():
            world = World()
            vm = world.start("a")
            world.port.servers["p0"].mode = "fails"
            answer = await serve(vm, self.stream_of(world, path))
            assert answer.status == status
            if status == 200:
                assert [block async for block in answer.chunks] == blocks(1, 20)
            assert runs(world) == (2 if status == 200 else 1)

        run_virtual(scenario())

    def test_servers_that_are_silent_from_the_start_are_passed_over(self):
        """Guards against a resumable stream that waits for one dark server."""

        async def scenario():
            world = World(plain=3)
            vm = world.start("a")
            world.port.servers["p0"].mode = "dark"
            began = world.clock.monotonic_ms()
            for _ in range(3):
                answer = await serve(vm, self.stream_of(world))
                assert [block async for block in answer.chunks] == blocks(1, 20)
            assert world.clock.monotonic_ms() - began < 3 * 20 * EVENT_MS + 2_000

        run_virtual(scenario())

    def test_a_stream_that_may_not_be_repeated_runs_once(self):
        """Guards against a second run, and against an end that looks complete."""

        async def scenario():
            world = World()
            answer = await serve(world.start("a"), self.stream_of(world, "/live/1"))
            received = []
            with pytest.raises(StepError):
                async for block in answer.chunks:
                    received.append(block)
                    if len(received) == 7:
                        self.server_in_use(world).mode = "resets"
            assert received == blocks(1, 7)
            assert runs(world) == 1

        run_virtual(scenario())

    def test_a_caller_that_resumes_gets_the_rest(self):
        async def scenario():
            world = World()
            request = self.stream_of(world, resume_after=12)
            answer = await serve(world.start("a"), request)
            assert [block async for block in answer.chunks] == blocks(13, 20)

        run_virtual(scenario())

    def test_the_work_ends_when_the_caller_leaves(self, caplog):
        """Guards against servers that generate for nobody, and a missing log line."""

        async def scenario():
            world = World()
            answer = await serve(world.start("a"), self.stream_of(world))
            await anext(answer.chunks)
            await answer.chunks.aclose()
            assert all(s.running == 0 for s in world.port.servers.values())

        with caplog.at_level(logging.INFO):
            run_virtual(scenario())
        (line,) = [r for r in caplog.records if "abandoned" in r.message]
        assert line.request_id == "q" and len(line.servers) == 1

    def test_no_attempts_left_ends_the_stream_with_an_error(self):
        async def scenario():
            world = World(plain=4)
            answer = await serve(world.start("a"), self.stream_of(world))
            received = []
            with pytest.raises(StepError):
                async for block in answer.chunks:
                    received.append(block)
                    self.server_in_use(world).mode = "resets"
            assert received == blocks(1, len(received))
            assert runs(world) == 3

        run_virtual(scenario())
