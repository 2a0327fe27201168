"""Tests of requests that an entry VM passes on to another one."""

import asyncio
import contextlib
import dataclasses

import aiohttp
import pytest
from aiohttp import web
from multidict import istr
from result import Err

from ebonylb.adapters.clock import SystemClock
from ebonylb.adapters.connections import StrictConnector
from ebonylb.adapters.memory_metrics import InMemoryMetrics
from ebonylb.adapters.relay_http import HttpRelayClient, RelayHandler
from ebonylb.forwarding import CallerRequest, CallerStream
from ebonylb.interfaces.relay import RelayedRequest
from ebonylb.interfaces.server_client import (
    AnsweringServer,
    ResponseHead,
    ServerAddress,
)
from ebonylb.outcomes import Outcome, Refusal, StepError
from ebonylb.platform.ingress import Ingress
from ebonylb.platform.servers import trace_connections
from ebonylb.relay import RelayedAnswer
from ebonylb.relay.entry_vms import TABLE
from ebonylb.routes import Route, RouteKind, Target
from ebonylb.service.held_bytes import HeldBytes
from ebonylb.service.readiness import Readiness
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.cut_path import PathState
from ebonylb_standins.site.servers import PlannedResponse
from ebonylb_standins.site.world import World
from ebonylb_standins.waiting import until

ROUTE = Route("ask", "site", "/ask/", RouteKind.IDEMPOTENT, (Target("desk", 1),))
HEAD = ResponseHead(
    200,
    ((str(istr("Content-Type")), "text/plain"),),
    seal="seal",
    answered_by=AnsweringServer(ServerAddress("s", "10.0.0.1:80", 5), "v2"),
)


def make_relayed(body=b"x", **fields):
    return RelayedRequest(
        "POST",
        "/ask/1?a=b",
        (("Host", "site"),),
        body,
        "q",
        1_000.0,
        entry_vm="a",
        host="site",
        path="/ask/1",
        route=ROUTE,
        service="desk",
        **fields,
    )


@contextlib.asynccontextmanager
async def relaying(serve, held=None):
    """Serve relayed requests, and yield the client and the address of the server."""
    handler = RelayHandler(serve, held)
    server = web.Server(handler.handle, handler_cancellation=True, access_log=None)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    connector = StrictConnector(limit=0)
    tracing = [trace_connections()]
    async with aiohttp.ClientSession(
        connector=connector, trace_configs=tracing
    ) as session:
        yield HttpRelayClient(session, held), ServerAddress("b", f"{host}:{port}")
    await runner.cleanup()


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 20))


async def chunks_of(*chunks, error=None):
    for chunk in chunks:
        yield chunk
    if error is not None:
        raise error


class TestHttp:
    """Requests and answers between two processes."""

    @pytest.mark.parametrize("body", [b"", b"\x00" * 100_000])
    def test_requests_and_answers_arrive_unchanged(self, body):
        async def scenario():
            received = []

            async def serve(request):
                received.append(request)
                return RelayedAnswer(HEAD, body)

            sent = make_relayed(body, software_version="v2", stream_id="first")
            async with relaying(serve) as (client, address):
                for _ in range(2):
                    opened = await client.open(address, sent)
                    response = opened.ok_value
                    assert response.head == HEAD
                    assert await response.body() == body
                    response.close()
            assert received == [sent, sent] and sent.progress.connected

        run(scenario())

    # Guards against sound requests and answers that are lost between two entry VMs.
    @pytest.mark.parametrize(
        "value", ["\xe9", "a\udce9b", "\udcf4\udc8f", "\U0010ffe9"]
    )
    def test_values_that_are_not_utf_8_arrive_unchanged(self, value):
        async def scenario():
            received = []
            head = dataclasses.replace(HEAD, headers=(("X-Part", value),))

            async def serve(request):
                received.append(request)
                return RelayedAnswer(head, chunks=chunks_of(b"id: 1\n\n"))

            sent = dataclasses.replace(make_relayed(), headers=(("X-Part", value),))
            async with relaying(serve) as (client, address):
                opened = await client.open(address, sent)
                assert opened.ok_value.head == head
                opened.ok_value.close()
            assert received == [sent]

        run(scenario())

    # Guards against a broken answer that an entry VM of an earlier program passes on.
    @pytest.mark.parametrize(
        "fields",
        [
            {"status": 0},
            {"status": 101},
            {"status": 600},
            {"headers": (("Content-Length ", "2"),)},
            {"headers": (("X\x01Part", "1"),)},
            {"headers": (("X-Part", "a\nb"),)},
        ],
        ids=str,
    )
    def test_a_malformed_head_is_an_error(self, fields):
        async def scenario():
            async def serve(request):
                return RelayedAnswer(dataclasses.replace(HEAD, **fields), b"body")

            async with relaying(serve) as (client, address):
                opened = await client.open(address, make_relayed())
                assert isinstance(opened, Err) and opened.err_value.may_have_run

        run(scenario())

    @pytest.mark.parametrize("is_stream", [False, True])
    def test_what_is_passed_on_counts_when_it_arrives(self, is_stream):
        """Guards against large answers that count as nothing at both entry VMs."""

        async def scenario():
            held = HeldBytes(SystemClock(), InMemoryMetrics(), 0, lambda: 1e9)
            body = b"x" * 10_000_000
            counted = []

            async def serve(request):
                if is_stream:
                    return RelayedAnswer(HEAD, chunks=chunks_of(body, body))
                return RelayedAnswer(HEAD, body)

            async def watch():
                while True:
                    await asyncio.sleep(0)
                    counted.append((held.received, held.bodies))

            async with relaying(serve, held) as (client, address):
                watching = asyncio.create_task(watch())
                opened = await client.open(address, make_relayed())
                response = opened.ok_value
                if is_stream:
                    assert [e async for e in response.raw_events()] == [
                        (1, body),
                        (2, body),
                    ]
                else:
                    assert await response.body() == body
                response.close()
                await until(lambda: held.total == 0, 5_000)
                watching.cancel()
            assert len(body) / 2 < max(received for received, _ in counted)
            if not is_stream:
                assert max(bodies for _, bodies in counted) == len(body)

        run(scenario())

    def test_refusals_arrive_as_refusals(self):
        async def scenario():
            refusal = Refusal(Outcome.NOT_RUN, "overloaded", "all are full", 300)

            async def serve(request):
                return RelayedAnswer(ResponseHead(503, (), refusal=refusal))

            async with relaying(serve) as (client, address):
                opened = await client.open(address, make_relayed())
                assert opened.ok_value.head.refusal == refusal

        run(scenario())

    def test_streams_arrive_event_by_event(self):
        async def scenario():
            gate = asyncio.Event()

            async def events():
                yield b"id: 4\n\n"
                await gate.wait()
                yield b"id: 5\n\n"

            async def serve(request):
                return RelayedAnswer(HEAD, chunks=events())

            async with relaying(serve) as (client, address):
                request = dataclasses.replace(make_relayed(), resume_after=3)
                opened = await client.open(address, request)
                received = opened.ok_value.raw_events()
                assert await anext(received) == (4, b"id: 4\n\n")
                gate.set()
                assert [event async for event in received] == [(5, b"id: 5\n\n")]

        run(scenario())

    def test_a_stream_that_breaks_is_no_complete_one(self):
        """Guards against an answer that broke off and looks like a success."""

        async def scenario():
            async def serve(request):
                error = StepError("stream", "s", "reset")
                return RelayedAnswer(HEAD, chunks=chunks_of(b"id: 1\n\n", error=error))

            async with relaying(serve) as (client, address):
                opened = await client.open(address, make_relayed())
                with pytest.raises(StepError):
                    async for _ in opened.ok_value.raw_events():
                        pass

        run(scenario())

    def test_a_caller_that_leaves_ends_the_run(self):
        """Guards against servers that work for nobody."""

        async def scenario():
            ended = []

            async def serve(request):
                try:
                    await asyncio.sleep(60)
                finally:
                    ended.append(request.request_id)

            async with relaying(serve) as (client, address):
                call = asyncio.create_task(client.open(address, make_relayed()))
                await asyncio.sleep(0.1)
                call.cancel()
                await until(lambda: ended == ["q"], 5_000)

        run(scenario())

    def test_only_a_connection_that_failed_means_not_run(self):
        async def scenario():
            async def serve(request):
                raise RuntimeError("fails")

            async with relaying(serve) as (client, address):
                failed = await client.open(address, make_relayed())
                assert isinstance(failed, Err) and failed.err_value.may_have_run
                nowhere = ServerAddress("c", "127.0.0.1:1")
                refused = await client.open(nowhere, make_relayed())
                assert isinstance(refused, Err) and not refused.err_value.may_have_run

        run(scenario())

    def test_bytes_that_are_no_request_are_rejected(self):
        async def scenario():
            async def serve(request):
                raise AssertionError("served")

            async with (
                relaying(serve) as (_, address),
                aiohttp.ClientSession() as session,
                session.post(
                    f"http://{address.address}/relay", data=b"\xff\x00"
                ) as response,
            ):
                assert response.status == 400

        run(scenario())


def make_request(world, request_id="q", path="/ask/1", **fields):
    return CallerRequest(
        request_id,
        "POST",
        "site",
        path,
        path,
        (("Host", "site"),),
        b"x",
        world.clock.monotonic_ms(),
        2_000.0,
        **fields,
    )


async def serve(vm, request):
    return await vm.forwarder.serve(request, vm.forwarder.find_route(request))


def count_runs(world, request_id="q"):
    return sum(
        s.started_request_ids.count(request_id) for s in world.port.servers.values()
    )


async def start_cut_off(entry_vms=3, state=PathState.HANG, **options):
    """Return a world whose first entry VM is cut off and knows it."""
    world = World(**options)
    vms = [world.start(f"vm-{number}") for number in range(entry_vms)]
    await world.clock.sleep_ms(1_500)
    vms[0].path.cut(state)
    assert not await vms[0].reachability.check()
    await world.clock.sleep_ms(100)
    return world, vms


class TestRelayedRequests:
    def test_they_are_answered_as_fast_as_others(self):
        async def scenario():
            world, vms = await start_cut_off()
            began_ms = world.clock.monotonic_ms()
            response = await serve(vms[0], make_request(world))
            assert (response.status, response.body) == (200, b"body of q")
            assert response.seal == "seal of q"
            assert world.clock.monotonic_ms() - began_ms < 50
            assert count_runs(world) == 1

        run_virtual(scenario())

    def test_attempts_limit_the_runs_over_all_entry_vms(self):
        """Guards against each entry VM using all attempts of a request."""

        async def scenario():
            world, vms = await start_cut_off(plain_services=6)
            for server in world.port.servers.values():
                server.mode = "resets"
            response = await serve(vms[0], make_request(world, path="/score/1"))
            assert response.status == 502
            assert 1 <= count_runs(world) <= 4

        run_virtual(scenario())

    def test_a_booking_whose_entry_vm_is_lost_is_not_sent_again(self):
        """Guards against a booking that runs twice."""

        async def scenario():
            world, vms = await start_cut_off(entry_vms=4)
            world.port.planned_responses["q"] = PlannedResponse(work_ms=200.0)
            call = asyncio.create_task(
                serve(vms[0], make_request(world, path="/book/1"))
            )
            await world.clock.sleep_ms(50)
            (helper,) = [
                vm
                for vm in vms
                if vm.path.state is PathState.SOUND and vm.reachability.in_progress
            ]
            helper.stop()
            response = await call
            assert response.status == 502
            assert response.refusal.outcome is Outcome.MAY_HAVE_RUN
            assert count_runs(world) == 1

        run_virtual(scenario())

    def test_an_entry_vm_that_is_gone_is_replaced(self):
        """Guards against requests that wait for an entry VM without power."""

        async def scenario():
            world, vms = await start_cut_off(entry_vms=4)
            vms[1].stop()
            vms[2].stop()
            for number in range(6):
                response = await serve(vms[0], make_request(world, f"q{number}"))
                assert response.status == 200

        run_virtual(scenario())

    @pytest.mark.parametrize("path", ["/ask/1", "/book/1"])
    def test_many_entry_vms_that_are_gone_cost_no_request(self, path):
        """Guards against relaying after a loss of most entry VMs."""

        async def scenario():
            world, vms = await start_cut_off(entry_vms=20)
            for vm in vms[1:14]:
                vm.stop()
            for number in range(20):
                response = await serve(vms[0], make_request(world, f"q{number}", path))
                assert response.status == 200
            began_ms = world.clock.monotonic_ms()
            assert (await serve(vms[0], make_request(world, "q", path))).status == 200
            # Entry VMs that have answered are asked first.
            assert world.clock.monotonic_ms() - began_ms < 50

        run_virtual(scenario())

    def test_without_a_reachable_server_requests_are_rejected_at_once(self):
        """Guards against requests that wait although nobody can serve them."""

        async def scenario():
            world, vms = await start_cut_off()
            for vm in vms[1:]:
                vm.path.cut(PathState.HANG)
                assert not await vm.reachability.check()
            await world.clock.sleep_ms(1_500)
            for path in ("/ask/1", "/book/1", "/chat/1", "/live/1"):
                began_ms = world.clock.monotonic_ms()
                response = await serve(vms[0], make_request(world, path, path))
                assert world.clock.monotonic_ms() - began_ms < 20
                assert response.status == 503
                assert response.refusal.outcome is Outcome.NOT_RUN
                assert response.refusal.retry_after_ms == 500
            assert not any(s.started_request_ids for s in world.port.servers.values())

        run_virtual(scenario())

    def test_an_entry_vm_that_does_not_know_its_cut_costs_a_second_at_most(self):
        """Guards against requests passed on into a dead end."""

        async def scenario():
            world, vms = await start_cut_off(entry_vms=6)
            for vm in vms[1:4]:
                vm.path.cut(PathState.HANG)
            began_ms = world.clock.monotonic_ms()
            response = await serve(vms[0], make_request(world))
            assert response.status == 200
            assert world.clock.monotonic_ms() - began_ms < 1_000

        run_virtual(scenario())

    def test_a_full_service_refuses_a_relayed_request_as_not_run(self):
        async def scenario():
            world, vms = await start_cut_off()
            for server in world.port.servers.values():
                server.mode = "refuses"
            response = await serve(vms[0], make_request(world))
            assert response.refusal.reason == "overloaded"
            assert response.refusal.outcome is Outcome.NOT_RUN
            assert response.refusal.retry_after_ms

        run_virtual(scenario())

    def test_requests_in_flight_move_when_the_cut_is_known(self):
        """Guards against requests that wait for a hanging connection."""

        async def scenario():
            world = World()
            vms = [world.start(f"vm-{number}") for number in range(3)]
            await world.clock.sleep_ms(1_500)
            vms[0].path.cut(PathState.HANG)
            began_ms = world.clock.monotonic_ms()
            response = await serve(vms[0], make_request(world))
            assert response.status == 200
            assert world.clock.monotonic_ms() - began_ms < 500

        run_virtual(scenario())


class TestRelayedStatements:
    """What a server says of itself holds at the entry VM that passes its answer on."""

    def test_a_leaving_server_gets_nothing_after_the_cut(self):
        async def scenario():
            world, vms = await start_cut_off()
            leaving = world.port.servers["p0"]
            world.port.servers["p1"].mode = "absent"
            leaving.says_leaving = True
            assert (await serve(vms[0], make_request(world))).status == 200
            assert not vms[0].directory.is_ready(vms[0].directory.get("p0"))

        run_virtual(scenario())

    def test_the_limit_of_a_server_is_known_after_the_cut(self):
        async def scenario():
            world, vms = await start_cut_off()
            for name in ("p0", "p1"):
                world.port.servers[name].limit_per_s = 4.0
            assert (await serve(vms[0], make_request(world))).status == 200
            observed = vms[0].registry.observed.values()
            assert [limit.requests_per_s for limit in observed] == [4.0]

        run_virtual(scenario())


class TestStreams:
    """Streams of callers through other entry VMs."""

    EVENTS = 60

    async def read(self, response):
        return [block async for block in response.chunks]

    def check(self, blocks):
        numbers = [int(block.split(b"\n")[0].split(b": ")[1]) for block in blocks]
        assert numbers == list(range(1, self.EVENTS + 1))

    def test_a_stream_is_relayed_from_its_start(self):
        async def scenario():
            world, vms = await start_cut_off()
            world.port.planned_responses["q"] = PlannedResponse(self.EVENTS)
            response = await serve(vms[0], make_request(world, path="/live/1"))
            assert isinstance(response, CallerStream)
            self.check(await self.read(response))
            assert count_runs(world) == 1

        run_virtual(scenario())

    @pytest.mark.parametrize("state", [PathState.HANG, PathState.RESET])
    def test_a_stream_in_progress_goes_on_through_another_entry_vm(self, state):
        """Guards against streams that end with the connections of their entry VM."""

        async def scenario():
            world = World()
            vms = [world.start(f"vm-{number}") for number in range(3)]
            await world.clock.sleep_ms(1_500)
            world.port.planned_responses["q"] = PlannedResponse(self.EVENTS)
            response = await serve(vms[0], make_request(world, path="/chat/1"))
            reading = asyncio.create_task(self.read(response))
            await world.clock.sleep_ms(500)
            vms[0].path.cut(state)
            self.check(await reading)

        run_virtual(scenario())

    def test_a_stream_goes_on_when_its_entry_vm_is_lost(self):
        async def scenario():
            world, vms = await start_cut_off(entry_vms=4)
            world.port.planned_responses["q"] = PlannedResponse(self.EVENTS)
            response = await serve(vms[0], make_request(world, path="/chat/1"))
            reading = asyncio.create_task(self.read(response))
            await world.clock.sleep_ms(500)
            (helper,) = [vm for vm in vms[1:] if vm.reachability.in_progress]
            helper.stop()
            self.check(await reading)

        run_virtual(scenario())

    def test_a_stream_goes_on_at_the_servers_when_the_cut_has_ended(self):
        async def scenario():
            world, vms = await start_cut_off(entry_vms=2)
            world.port.planned_responses["q"] = PlannedResponse(self.EVENTS)
            response = await serve(vms[0], make_request(world, path="/chat/1"))
            reading = asyncio.create_task(self.read(response))
            await world.clock.sleep_ms(200)
            vms[0].path.heal()
            await world.clock.sleep_ms(1_000)
            assert not vms[0].reachability.is_cut_off
            vms[1].stop()
            self.check(await reading)

        run_virtual(scenario())

    def test_a_disconnected_caller_ends_the_run(self):
        async def scenario():
            world, vms = await start_cut_off()
            world.port.planned_responses["q"] = PlannedResponse(self.EVENTS)
            response = await serve(vms[0], make_request(world, path="/chat/1"))
            await anext(response.chunks)
            await response.chunks.aclose()
            await world.clock.sleep_ms(5)
            assert not any(server.running for server in world.port.servers.values())

        run_virtual(scenario())

    def test_a_stream_that_nobody_reads_holds_no_connection(self, monkeypatch):
        """Guards against requests that count as in progress for ever."""

        async def lose_caller(self, request):
            raise ConnectionResetError

        monkeypatch.setattr(web.StreamResponse, "prepare", lose_caller)

        async def scenario():
            world = World()
            vm = world.start("a")
            world.port.planned_responses["q"] = PlannedResponse(self.EVENTS)
            stream = await serve(vm, make_request(world, path="/chat/1"))
            assert vm.reachability.in_progress == 1
            readiness = Readiness(vm.routes, world.clock)
            ingress = Ingress(
                vm.forwarder, vm.batches, readiness, world.clock, None, None
            )
            with pytest.raises(ConnectionResetError):
                await ingress.forward_stream(None, stream)
            assert vm.reachability.in_progress == 0
            assert not any(server.running for server in world.port.servers.values())

        run_virtual(scenario())

    def test_a_stream_stays_on_its_software_version(self):
        """Guards against events of two versions in a stream that changes its way."""

        async def scenario():
            world = World(plain_services=4)
            for name in ("p2", "p3"):
                world.port.servers[name].software_version = "v2"
            vms = [world.start(f"vm-{number}") for number in range(3)]
            await world.clock.sleep_ms(1_500)
            for number in range(8):
                request_id = f"q{number}"
                world.port.planned_responses[request_id] = PlannedResponse(self.EVENTS)
                request = make_request(world, request_id, "/chat/1")
                response = await serve(vms[0], request)
                reading = asyncio.create_task(self.read(response))
                await world.clock.sleep_ms(300)
                vms[0].path.cut(PathState.RESET)
                blocks = await reading
                self.check(blocks)
                assert len({block.count(b"@v2") for block in blocks}) == 1
                vms[0].path.heal()
                await world.clock.sleep_ms(2_000)

        run_virtual(scenario())


class TestAnnouncements:
    """Rows with which entry VMs tell each other that they run and reach servers."""

    def test_a_cut_and_its_end_are_told(self):
        async def scenario():
            world, vms = await start_cut_off()
            await world.clock.sleep_ms(1_500)
            assert vms[1].entry_vms.is_cut_off("vm-0")
            vms[0].path.heal()
            await world.clock.sleep_ms(3_000)
            assert not vms[1].entry_vms.is_cut_off("vm-0")
            names = {helper.name for helper in vms[1].entry_vms.helpers()}
            assert names == {"vm-0", "vm-2"}

        run_virtual(scenario())

    def test_writes_do_not_grow_with_time_or_requests(self):
        """Guards against rows that are renewed although nothing has changed."""

        async def scenario():
            world = World()
            vms = [world.start(f"vm-{number}") for number in range(20)]
            await world.clock.sleep_ms(120_000)
            writes = [row for row in world.data.log if row.row_key.table == TABLE]
            assert len(writes) == len(vms)

        run_virtual(scenario())

    def test_an_entry_vm_without_an_address_is_no_helper(self):
        async def scenario():
            _, vms = await start_cut_off()
            known = vms[0].entry_vms.known["vm-1"]
            vms[0].entry_vms.record(
                "vm-1",
                type(known.row)("new", "", "north", True, known.row.written_ms),
                known.version + 1,
            )
            assert [h.name for h in vms[0].entry_vms.helpers()] == ["vm-2"]

        run_virtual(scenario())
