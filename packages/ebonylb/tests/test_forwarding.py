"""Tests of request forwarding: attempts, hedging, deadlines, refusals and crashes."""

import asyncio
import dataclasses
import logging

import pytest

from ebonylb.forwarding import CallerRequest, CallerStream, Forwarder
from ebonylb.forwarding.strikes import request_fingerprint
from ebonylb.outcomes import Outcome, StepError
from ebonylb.routes import RouteKind
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.cut_path import PathState
from ebonylb_standins.site.servers import EVENT_INTERVAL_MS, PlannedResponse
from ebonylb_standins.site.world import World


def make_request(world, request_id="q", path="/ask/1", deadline_ms=2_000.0, body=b"x"):
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


def count_runs(world, request_id="q"):
    return sum(
        s.started_request_ids.count(request_id) for s in world.port.servers.values()
    )


class TestIdempotent:
    def test_server_response_is_returned(self):
        async def scenario():
            world = World()
            response = await serve(world.start("a"), make_request(world))
            assert (response.status, response.body) == (200, b"body of q")
            assert count_runs(world) == 1

        run_virtual(scenario())

    @pytest.mark.parametrize("mode", ["dark", "resets", "fails", "absent", "refuses"])
    def test_another_server_replaces_a_failing_one(self, mode):
        async def scenario():
            world = World()
            vm = world.start("a")
            world.port.servers["p0"].mode = mode
            began_ms = world.clock.monotonic_ms()
            response = await serve(vm, make_request(world))
            assert response.status == 200
            # Within the target latency, although the first server never responds.
            assert world.clock.monotonic_ms() - began_ms < 240

        run_virtual(scenario())

    def test_attempts_limit_the_number_of_runs(self):
        async def scenario():
            world = World(plain_services=5)
            vm = world.start("a")
            for name in list(world.port.servers):
                world.port.servers[name].mode = "resets"
            response = await serve(vm, make_request(world))
            assert response.status == 502
            assert response.refusal.outcome is Outcome.MAY_HAVE_RUN
            assert count_runs(world) <= 2

        run_virtual(scenario())

    def test_request_is_refused_as_not_run_when_all_servers_are_full(self):
        async def scenario():
            world = World()
            vm = world.start("a")
            for server in world.port.servers.values():
                server.mode = "refuses"
            began_ms = world.clock.monotonic_ms()
            response = await serve(vm, make_request(world))
            assert response.status == 503
            assert response.refusal.outcome is Outcome.NOT_RUN
            assert response.refusal.retry_after_ms > 0
            assert world.clock.monotonic_ms() - began_ms < 240 / 4 + 60
            assert count_runs(world) == 0

        run_virtual(scenario())

    def test_deadline_ends_the_request(self):
        async def scenario():
            world = World()
            vm = world.start("a")
            world.port.planned_responses["q"] = PlannedResponse(work_ms=5_000)
            began_ms = world.clock.monotonic_ms()
            response = await serve(vm, make_request(world, deadline_ms=900.0))
            assert response.status == 504
            assert world.clock.monotonic_ms() - began_ms <= 900
            await world.clock.sleep_ms(1)
            assert not any(s.running for s in world.port.servers.values())

        run_virtual(scenario())

    def test_missing_server_is_refused_at_once(self):
        async def scenario():
            world = World(plain_services=0)
            response = await serve(world.start("a"), make_request(world))
            assert response.refusal.reason == "no_backend_server"
            assert response.refusal.outcome is Outcome.NOT_RUN

        run_virtual(scenario())

    def test_disconnected_caller_cancels_the_run(self):
        async def scenario():
            world = World()
            vm = world.start("a")
            world.port.planned_responses["q"] = PlannedResponse(work_ms=1_500)
            task = asyncio.create_task(serve(vm, make_request(world)))
            await world.clock.sleep_ms(300)
            task.cancel()
            await world.clock.sleep_ms(10)
            assert not any(s.running for s in world.port.servers.values())

        run_virtual(scenario())


class TestBursts:
    """Many requests arrive in one iteration of the event loop."""

    @pytest.mark.parametrize("path", ["/ask/1", "/book/1"])
    def test_a_burst_is_spread_over_the_servers(self, path):
        """Guards against a burst whose requests all choose the same server."""

        async def scenario():
            world = World(plain_services=3)
            vm = world.start("a")
            requests = [make_request(world, f"q{n}", path) for n in range(18)]
            responses = await asyncio.gather(*(serve(vm, r) for r in requests))
            assert {response.status for response in responses} == {200}
            servers = [world.port.servers[f"p{n}"] for n in range(3)]
            assert max(server.max_running for server in servers) <= 8

        run_virtual(scenario())

    def test_the_load_of_a_cancelled_burst_is_forgotten(self):
        async def scenario():
            world = World()
            vm = world.start("a")
            requests = [make_request(world, f"q{n}") for n in range(9)]
            tasks = [asyncio.create_task(serve(vm, r)) for r in requests]
            await asyncio.sleep(0)
            for task in tasks:
                task.cancel()
            await world.clock.sleep_ms(100)
            for name in ("p0", "p1"):
                assert vm.directory.condition(name).own_requests == 0

        run_virtual(scenario())


class TestNonIdempotent:
    @pytest.mark.parametrize("mode", ["resets", "dark", "fails"])
    def test_request_that_may_have_run_is_not_sent_again(self, mode):
        async def scenario():
            world = World()
            vm = world.start("a")
            for server in world.port.servers.values():
                server.mode = mode
            response = await serve(vm, make_request(world, path="/book/1"))
            assert response.status >= 500
            assert response.status != 503
            assert (
                sum(len(s.received_requests) for s in world.port.servers.values()) == 1
            )

        run_virtual(scenario())

    @pytest.mark.parametrize("mode", ["absent", "refuses"])
    def test_request_that_did_not_run_is_sent_to_another_server(self, mode):
        async def scenario():
            world = World()
            vm = world.start("a")
            world.port.servers["p0"].mode = mode
            response = await serve(vm, make_request(world, path="/book/1"))
            assert response.status == 200
            assert count_runs(world) == 1

        run_virtual(scenario())


class TestCrashes:
    def test_request_that_crashes_servers_is_blocked(self):
        """Guards against a request that crashes one server after another.

        The request arrives repeatedly at different entry VMs with new ids.
        """

        async def scenario():
            world = World(plain_services=6)
            vms = [world.start("a"), world.start("b", "south")]
            for server in world.port.servers.values():
                server.mode = "crashes"
            for number in range(8):
                vm = vms[number % 2]
                response = await serve(
                    vm, make_request(world, f"q{number}", body=b"poison")
                )
                assert response.status in (502, 504)
                await world.clock.sleep_ms(500)
            modes = [server.mode for server in world.port.servers.values()]
            assert modes.count("absent") <= 3
            strikes = vms[0].strikes
            assert strikes.is_blocked(
                request_fingerprint("POST", "site", "/ask/1", b"poison"),
                RouteKind.IDEMPOTENT,
            )

        run_virtual(scenario())

    def test_lost_response_of_a_live_server_is_not_a_crash(self):
        async def scenario():
            world = World()
            vm = world.start("a")
            world.port.servers["p0"].mode = "resets"
            await serve(vm, make_request(world))
            assert not vm.strikes.crashes

        run_virtual(scenario())


class TestRoutes:
    def test_request_without_a_configuration_is_refused_as_not_ready(self):
        """Guards against status 404 from an entry VM that has no routes yet."""

        async def scenario():
            world = World()
            vm = world.start("a")
            vm.routes.configuration = None
            response = vm.forwarder.find_route(make_request(world))
            assert response.status == 503
            assert isinstance(vm.forwarder, Forwarder)

        run_virtual(scenario())

    def test_unknown_path_is_not_found(self):
        async def scenario():
            world = World()
            response = world.start("a").forwarder.find_route(
                make_request(world, path="/no/")
            )
            assert response.status == 404

        run_virtual(scenario())


def blocks(first, last):
    return [f"id: {number}\n\n".encode() for number in range(first, last + 1)]


class TestAbandoned:
    def test_abandoned_request_is_logged(self, caplog):
        """Guards against abandoned requests that are missing from the log."""

        async def scenario():
            world = World()
            vm = world.start("a")
            world.port.planned_responses["q"] = PlannedResponse(work_ms=500)
            task = asyncio.create_task(serve(vm, make_request(world, path="/book/1")))
            await world.clock.sleep_ms(50)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert all(s.running == 0 for s in world.port.servers.values())

        with caplog.at_level(logging.INFO):
            run_virtual(scenario())
        (line,) = [r for r in caplog.records if "abandoned" in r.message]
        assert line.request_id == "q" and line.servers
        assert 45 <= line.elapsed_ms <= 60


class TestUnfinishedAttempts:
    @pytest.mark.parametrize(
        ("cut", "stage"), [(True, "still connecting"), (False, "no answer yet")]
    )
    def test_log_tells_how_far_they_came(self, caplog, cut, stage):
        """Guards against failures in the log without any cause."""

        async def scenario():
            world = World(plain_services=1)
            vm = world.start("a")
            world.port.servers["p0"].mode = "dark"
            if cut:
                vm.path.cut(PathState.HANG)
            await serve(vm, make_request(world, path="/book/1", deadline_ms=400.0))

        with caplog.at_level(logging.INFO):
            run_virtual(scenario())
        (line,) = [r for r in caplog.records if r.message == "request ended"]
        assert line.causes == [f"p0: {stage}"]


class TestStreams:
    """Requests whose responses are streams of events."""

    @staticmethod
    def stream_of(world, path="/chat/1", **fields):
        world.port.planned_responses["q"] = PlannedResponse(events=20)
        return dataclasses.replace(make_request(world, path=path), **fields)

    @staticmethod
    def server_in_use(world):
        (server,) = [s for s in world.port.servers.values() if s.running]
        return server

    def test_events_are_relayed_without_buffering(self):
        """Guards against a stream that is buffered until it is complete."""

        async def scenario():
            world = World()
            response = await serve(world.start("a"), self.stream_of(world))
            assert isinstance(response, CallerStream)
            assert response.status == 200
            began_ms = world.clock.monotonic_ms()
            received = []
            async for block in response.chunks:
                received.append(block)
                elapsed_ms = world.clock.monotonic_ms() - began_ms
                assert elapsed_ms < EVENT_INTERVAL_MS * len(received) + 5
            assert received == blocks(1, 20)
            assert count_runs(world) == 1

        run_virtual(scenario())

    @pytest.mark.parametrize("mode", ["resets", "dark"])
    def test_resumable_stream_continues_on_another_server(self, mode):
        """Guards against lost or repeated events after a server breaks or goes silent.

        Callers disconnect after a gap of 2 s.
        """

        async def scenario():
            world = World()
            response = await serve(world.start("a"), self.stream_of(world))
            last = world.clock.monotonic_ms()
            received = []
            async for block in response.chunks:
                assert world.clock.monotonic_ms() - last < 2_000
                last = world.clock.monotonic_ms()
                received.append(block)
                if len(received) == 7:
                    self.server_in_use(world).mode = mode
            assert received == blocks(1, 20)
            assert count_runs(world) == 2
            resumed = [
                r for s in world.port.servers.values() for r in s.received_requests
            ]
            assert sorted(r.resume_after or 0 for r in resumed) == [0, 7]

        run_virtual(scenario())

    @pytest.mark.parametrize(("path", "status"), [("/chat/1", 200), ("/live/1", 500)])
    def test_only_a_resumable_stream_is_retried_after_a_server_error(
        self, path, status
    ):
        async def scenario():
            world = World()
            vm = world.start("a")
            world.port.servers["p0"].mode = "fails"
            response = await serve(vm, self.stream_of(world, path))
            assert response.status == status
            if status == 200:
                assert [block async for block in response.chunks] == blocks(1, 20)
            assert count_runs(world) == (2 if status == 200 else 1)

        run_virtual(scenario())

    def test_servers_that_never_respond_are_skipped(self):
        """Guards against a resumable stream that waits for an unresponsive server."""

        async def scenario():
            world = World(plain_services=3)
            vm = world.start("a")
            world.port.servers["p0"].mode = "dark"
            began_ms = world.clock.monotonic_ms()
            for _ in range(3):
                response = await serve(vm, self.stream_of(world))
                assert [block async for block in response.chunks] == blocks(1, 20)
            assert (
                world.clock.monotonic_ms() - began_ms
                < 3 * 20 * EVENT_INTERVAL_MS + 2_000
            )

        run_virtual(scenario())

    def test_non_resumable_stream_runs_once(self):
        """Guards against a second run and a broken stream that looks complete."""

        async def scenario():
            world = World()
            response = await serve(world.start("a"), self.stream_of(world, "/live/1"))
            received = []
            with pytest.raises(StepError):
                async for block in response.chunks:
                    received.append(block)
                    if len(received) == 7:
                        self.server_in_use(world).mode = "resets"
            assert received == blocks(1, 7)
            assert count_runs(world) == 1

        run_virtual(scenario())

    def test_caller_can_resume_a_stream(self):
        async def scenario():
            world = World()
            vm = world.start("a")
            # Until the stored versions are read, it cannot know the stream's version.
            await world.clock.sleep_ms(1_000)
            response = await serve(vm, self.stream_of(world, resume_after=12))
            assert [block async for block in response.chunks] == blocks(13, 20)

        run_virtual(scenario())

    def test_disconnected_caller_cancels_the_stream(self, caplog):
        """Guards against runs without a caller and a missing log line."""

        async def scenario():
            world = World()
            response = await serve(world.start("a"), self.stream_of(world))
            await anext(response.chunks)
            await response.chunks.aclose()
            assert all(s.running == 0 for s in world.port.servers.values())

        with caplog.at_level(logging.INFO):
            run_virtual(scenario())
        (line,) = [r for r in caplog.records if "abandoned" in r.message]
        assert line.request_id == "q" and len(line.servers) == 1

    def test_stream_fails_when_all_attempts_are_used(self):
        async def scenario():
            world = World(plain_services=4)
            response = await serve(world.start("a"), self.stream_of(world))
            received = []
            with pytest.raises(StepError):
                async for block in response.chunks:
                    received.append(block)
                    self.server_in_use(world).mode = "resets"
            assert received == blocks(1, len(received))
            assert count_runs(world) == 3

        run_virtual(scenario())


class TestSlowAndStalledStreams:
    """Pattern: all servers of a service are slow at once, or one of them stalls."""

    @staticmethod
    async def receive(world, vm, path, events=20):
        world.port.planned_responses["q"] = PlannedResponse(events=events)
        response = await serve(vm, make_request(world, path=path))
        return [block async for block in response.chunks]

    @pytest.mark.parametrize("path", ["/chat/1", "/live/1"])
    def test_a_slow_sound_stream_is_not_cut(self, path):
        """An event each 1.5 s, on every server, for a minute."""

        async def scenario():
            world = World(plain_services=4)
            for server in world.port.servers.values():
                server.slowdown = 1_500 / EVENT_INTERVAL_MS
            received = await self.receive(world, world.start("a"), path, 40)
            assert received == blocks(1, 40)
            runs = count_runs(world)
            assert runs == 1 if path == "/live/1" else runs <= 3

        run_virtual(scenario())

    def test_the_last_attempt_is_not_cut_while_it_moves(self):
        async def scenario():
            world = World(plain_services=4)
            for server in world.port.servers.values():
                server.slowdown = 1_900 / EVENT_INTERVAL_MS
            received = await self.receive(world, world.start("a"), "/chat/1", 10)
            assert received == blocks(1, 10)

        run_virtual(scenario())

    @pytest.mark.parametrize("path", ["/chat/1", "/live/1"])
    def test_a_stream_that_stalls_for_good_ends(self, path):
        async def scenario():
            world = World(plain_services=1)
            vm = world.start("a")
            world.port.planned_responses["q"] = PlannedResponse(events=20)
            request = make_request(world, path=path)
            response = await serve(vm, request)
            received = []
            with pytest.raises(StepError):
                async for block in response.chunks:
                    received.append(block)
                    if len(received) == 5:
                        world.port.servers["p0"].mode = "dark"
            assert received == blocks(1, 5)
            # The caller waits for 2 s in all, and no longer than that for an event.
            assert world.clock.monotonic_ms() - request.received_ms < 4_500

        run_virtual(scenario())
