"""Tests of callers and servers that are slow, with the real HTTP server on loopback."""

import asyncio
import contextlib
import math

import aiohttp
import pytest
from aiohttp import web

from ebonylb.adapters.clock import SystemClock
from ebonylb.adapters.http_server import DiscreetServer, IncompleteHeads
from ebonylb.adapters.memory_metrics import InMemoryMetrics
from ebonylb.forwarding import CallerResponse, CallerStream
from ebonylb.interfaces.server_client import ServerAddress, ServerRequest
from ebonylb.platform.ingress import Ingress
from ebonylb.platform.node_settings import read_node_settings
from ebonylb.platform.response_writing import ResponseWriter
from ebonylb.platform.row_decoding import decode_configuration
from ebonylb.platform.servers import HttpServerClient, trace_connections
from ebonylb.service import held_bytes
from ebonylb.service.held_bytes import MAX_TURN_MS, STREAM_BYTES, HeldBytes
from ebonylb.service.incoming_bodies import (
    LARGE_BYTES,
    RECEIVE_BUFFER_BYTES,
    NoRoomError,
)
from ebonylb.service.readiness import Readiness
from ebonylb.service.uploads import Uploads
from ebonylb_standins.histories.virtual_time import LoopClock, run_virtual
from ebonylb_standins.waiting import until

BLOCK = b"x" * 16_384
EVENTS = 1_200


def make_held(memory_bytes=0, idle_ms=1e9, clock=None):
    """Return the bounds of an entry VM."""
    clock = clock or SystemClock()
    return HeldBytes(clock, InMemoryMetrics(), memory_bytes, lambda: idle_ms)


class Site:
    """An HTTP server that sends one large answer or stream to each caller."""

    def __init__(self, held, is_stream):
        self.writer = ResponseWriter(held)
        self.is_stream = is_stream
        self.read_events = self.ended = 0

    async def events(self):
        for _ in range(EVENTS):
            await asyncio.sleep(0)
            self.read_events += 1
            yield BLOCK

    async def handle(self, request):
        try:
            if self.is_stream:
                stream = CallerStream(200, (), self.events(), None, lambda: None)
                return await self.writer.write_stream(request, stream, closes=False)
            answer = CallerResponse(200, (), BLOCK * EVENTS)
            return await self.writer.write_large(request, answer, closes=False)
        finally:
            self.ended += 1

    @contextlib.asynccontextmanager
    async def callers(self, count):
        """Connect callers that read nothing by themselves."""
        options = {"handler_cancellation": True, "access_log": None}
        runner = web.ServerRunner(web.Server(self.handle, **options))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        address = runner.addresses[0][:2]
        callers = [await asyncio.open_connection(*address) for _ in range(count)]
        for _, writer in callers:
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        yield [reader for reader, _ in callers]
        for _, writer in callers:
            writer.transport.abort()
        await runner.cleanup()


async def settle(site):
    """Wait until no more events are read from the server."""
    seen = -1
    while seen != site.read_events:
        seen = site.read_events
        await asyncio.sleep(0.1)
    return seen * len(BLOCK)


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 20))


class TestSlowReaders:
    """Load pattern: callers that read nothing, or much later."""

    def test_a_stream_is_read_on_up_to_its_bound(self):
        """Guards against a server that is held up by a slow caller, and against a
        stream that is held as a whole.

        Of 19.7 MB, 5.2 MB were read from the server, most of it held by the kernel,
        and 4.3 MB without the larger write buffer.
        """

        async def scenario(held):
            site = Site(held, is_stream=True)
            async with site.callers(1) as (reader,):
                read = await settle(site)
                buffered = held.buffered if held else 0
                data = bytearray()
                while not data.endswith(b"\r\n0\r\n\r\n"):
                    data += await reader.read(1_000_000)
            return read, buffered, len(data)

        usual, _, length = run(scenario(None))
        held = make_held()
        read, buffered, held_length = run(scenario(held))
        assert length == held_length > EVENTS * len(BLOCK)
        assert usual < EVENTS * len(BLOCK)
        assert STREAM_BYTES / 2 < buffered <= STREAM_BYTES + 2 * len(BLOCK) + 65_536
        assert usual + STREAM_BYTES / 2 < read < usual + 3 * STREAM_BYTES
        assert held.total == 0

    def test_streams_hold_little_when_the_sum_is_exceeded(self):
        """Load pattern: 12 callers that read nothing, at room for two.

        2.5 to 2.8 MB were held at a limit of 2.1 MB.
        """

        async def scenario():
            held = make_held(8 * STREAM_BYTES)
            site = Site(held, is_stream=True)
            async with site.callers(12):
                await settle(site)
                return held.total, held.limit_bytes

        total, limit = run(scenario())
        assert total <= limit + 12 * (65_536 + 2 * len(BLOCK))
        assert total < 12 * STREAM_BYTES / 3

    def test_a_large_answer_is_held_once(self):
        """Guards against a second copy of the body in the write buffer."""

        async def scenario():
            held = make_held()
            site = Site(held, is_stream=False)
            async with site.callers(1) as (reader,):
                await until(lambda: held.bodies, 5_000)
                await asyncio.sleep(0.2)
                held.sweep()
                assert held.bodies == len(BLOCK) * EVENTS
                assert held.buffered <= 3 * 65_536
                head = await reader.readuntil(b"\r\n\r\n")
                assert b"Content-Length: %d" % held.bodies in head
                await reader.readexactly(held.bodies)
                await until(lambda: site.ended, 5_000)
            assert held.total == 0

        run(scenario())

    @pytest.mark.parametrize("is_stream", [True, False])
    def test_a_caller_that_reads_nothing_is_disconnected(self, is_stream):
        """Guards against callers that hold memory for ever, and against the end of
        one that reads slowly.
        """

        async def scenario():
            held = make_held(idle_ms=600)
            site = Site(held, is_stream)
            sweeps = asyncio.create_task(held.disconnect_idle())
            async with site.callers(2) as (slow, idle):
                total = 0
                while site.ended < 1:
                    total += len(await slow.read(131_072))
                    await asyncio.sleep(0.02)
                if not idle.at_eof():
                    with contextlib.suppress(ConnectionResetError):
                        while await idle.read(1_000_000):
                            pass
                assert held.metrics.counters["held.disconnected"] == 1
                while total < EVENTS * len(BLOCK):
                    data = await slow.read(1_000_000)
                    assert data
                    total += len(data)
                await until(lambda: site.ended == 2, 5_000)
            sweeps.cancel()
            assert held.total == 0

        run(scenario())


class TestLimits:
    """Limits that the platform sets."""

    def test_memory_and_idle_time_are_read(self, tmp_path):
        path = tmp_path / "settings"
        lines = (
            "Node=v",
            "Zone=z",
            "Region=r",
            "Listen.Front=1:1",
            "Listen.Ready=1:2",
            "Platform.Address=1:3",
        )
        expected = {
            "": 0,
            "Limits.MemoryMb=256": 256_000_000,
            "Limits.MemoryMb=x": None,
        }
        for line, memory_bytes in expected.items():
            path.write_text("\n".join([*lines, line]))
            settings = read_node_settings(str(path))
            if memory_bytes is None:
                assert "Limits.MemoryMb" in settings.err_value
            else:
                assert settings.ok_value.memory_bytes == memory_bytes
        value = b'{"Version":1,"Routes":[],"Limits":{"IdleTimeoutMs":700}}'
        assert decode_configuration(value).idle_timeout_ms == 700


class TestFullMemory:
    """Load pattern: large bodies while as much is held as is allowed."""

    def test_uploads_wait_and_are_refused_as_not_run(self):
        async def scenario():
            held = make_held(4_000_000, clock=LoopClock())
            assert await held.wait_for_upload(900_000)
            with held.hold(900_000):
                assert await held.wait_for_upload(1_000)
                wait = asyncio.create_task(held.wait_for_upload(200_000))
                assert not await held.wait_for_upload(300_000)
                assert not await wait
                wait = asyncio.create_task(held.wait_for_upload(200_000))
                await held.clock.sleep_ms(100)
            assert await wait
            assert held.metrics.counters["held.refused"] == 2

        run_virtual(scenario())

    def test_an_answer_that_waits_is_read_before_its_server_cuts_it_off(self):
        """Guards against an answer that is dropped, and against one too many."""

        async def scenario():
            held = make_held(4_000_000, clock=LoopClock())
            with held.hold(800_000), held.receive(lambda: None) as answer:
                began_ms = held.clock.monotonic_ms()
                await answer.wait_to_read_on(200_000)
                waited_ms = held.clock.monotonic_ms() - began_ms
                with held.hold(900_000):
                    wait = asyncio.create_task(answer.wait_to_read_on(250_000))
                    await held.clock.sleep_ms(5_000)
                    assert not wait.done()
                await wait
            assert held.total == 0
            return waited_ms

        assert run_virtual(scenario()) < 1_500

    def test_answers_that_wait_are_read_one_at_a_time(self):
        """Guards against an answer that waits for those without an end.

        Each of them is read on for a while; the one that may end soonest comes first.
        """

        async def read(held, size, stated_bytes):
            with held.receive(lambda: None, stated_bytes) as answer:
                for read_bytes in range(100_000, size, 100_000):
                    await answer.wait_to_read_on(read_bytes)
                    await held.clock.sleep_ms(20)
            return held.clock.monotonic_ms()

        async def scenario():
            held = make_held(32_000_000, clock=LoopClock())
            began_ms = held.clock.monotonic_ms()
            endless = [
                asyncio.create_task(read(held, 30_000_000, math.inf)) for _ in range(9)
            ]
            await held.clock.sleep_ms(100)
            sound = asyncio.create_task(read(held, 1_000_000, 1_000_000))
            peak_bytes = 0
            while not sound.done():
                await held.clock.sleep_ms(20)
                peak_bytes = max(peak_bytes, held.received)
            for task in endless:
                task.cancel()
            await asyncio.wait(endless)
            assert peak_bytes <= held.max_bytes
            assert held.total == 0
            return await sound - began_ms

        # A turn of another one, and its own.
        assert run_virtual(scenario()) < 2 * MAX_TURN_MS

    def test_the_answers_that_take_most_are_given_up(self):
        """Guards against a process that exceeds its limit, and against sound answers
        that end for those without an end.
        """

        async def scenario():
            held = make_held(20_000_000, clock=LoopClock())
            given_up = []

            async def read(name, size):
                with held.receive(lambda: given_up.append(name)) as answer:
                    while True:
                        await answer.wait_to_read_on(size)
                        await held.clock.sleep_ms(20)

            small = asyncio.create_task(read("small", LARGE_BYTES - 1))
            first = asyncio.create_task(read("first", 5_000_000))
            await held.clock.sleep_ms(1_000)
            others = [asyncio.create_task(read(str(n), 500_000)) for n in range(2)]
            await held.clock.sleep_ms(100)
            assert given_up == []
            others.append(asyncio.create_task(read("last", 1_000_000)))
            await held.clock.sleep_ms(100)
            assert given_up == ["first"]
            with pytest.raises(NoRoomError):
                await first
            assert held.received <= held.max_bytes
            assert held.metrics.counters["held.given_up"] == 1
            for task in (small, *others):
                task.cancel()
            await asyncio.wait((small, *others))
            assert held.total == 0

        run_virtual(scenario())

    @pytest.mark.parametrize("has_length", [True, False], ids=["length", "chunks"])
    def test_the_refusal_of_an_upload_reaches_its_caller(self, has_length, monkeypatch):
        monkeypatch.setattr(held_bytes, "MAX_WAIT_MS", 60.0)

        async def chunks():
            for _ in range(3):
                yield b"x" * 100_000

        async def scenario():
            held = make_held(4_000_000)
            clock = held.clock
            ingress = Ingress(
                None, None, Readiness(None, clock), clock, Uploads(), None, held
            )
            runner = web.ServerRunner(web.Server(ingress.handle))
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            url = "http://{}:{}/ask".format(*runner.addresses[0][:2])
            with held.hold(900_000):
                async with (
                    aiohttp.ClientSession() as session,
                    session.post(
                        url, data=b"x" * 300_000 if has_length else chunks()
                    ) as response,
                ):
                    body = await response.json()
                    retry_after = response.headers["Retry-After"]
            assert held.total == 0
            await runner.cleanup()
            return response.status, body["outcome"], body["reason"], retry_after

        assert run(scenario()) == (503, "not_run", "memory", "0.5")

    @pytest.mark.parametrize("length", [200_000, None], ids=["length", "chunks"])
    def test_the_body_of_a_server_is_counted_when_it_arrives(self, length):
        """Guards against bodies that count as nothing, or before they arrive."""

        async def scenario():
            held = make_held()
            arrived = asyncio.Event()

            async def handle(request):
                response = web.StreamResponse(headers={"Ebonylb-Request-Id": "q"})
                response.content_length = length
                await response.prepare(request)
                await response.write(b"x" * 100_000)
                await arrived.wait()
                await response.write(b"x" * 100_000)
                return response

            runner = web.ServerRunner(web.Server(handle))
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            address = "{}:{}".format(*runner.addresses[0][:2])
            traces = [trace_connections()]
            async with aiohttp.ClientSession(trace_configs=traces) as session:
                client = HttpServerClient(session, held)
                request = ServerRequest("GET", "/", (), b"", "q", 1_000.0)
                opened = await client.open(ServerAddress("s", address, 1), request)
                body = asyncio.create_task(opened.ok_value.body())
                half = 100_000 + RECEIVE_BUFFER_BYTES
                await until(lambda: held.received == half, 5_000)
                await asyncio.sleep(0.1)
                assert held.received == half
                arrived.set()
                assert len(await body) == 200_000
            await runner.cleanup()
            assert held.total == 0

        run(scenario())


class TestManyConnections:
    """Load pattern: more than fits, on connections that each have a part of it."""

    # Guards against uploads that wait for room while what has arrived takes it.
    def test_uploads_that_would_wait_beside_many_others_are_refused_at_once(self):
        async def scenario():
            held = make_held(4_000_000, clock=LoopClock())
            with held.hold(1_000_000):
                upload = held.wait_for_upload
                waits = [asyncio.create_task(upload(250_000)) for _ in range(4)]
                await held.clock.sleep_ms(1)
                began_ms = held.clock.monotonic_ms()
                assert not await held.wait_for_upload(70_000)
                assert held.clock.monotonic_ms() == began_ms
                assert await held.wait_for_upload(1_000)
            assert await asyncio.gather(*waits)
            assert held.waiting == 0

        run_virtual(scenario())

    def serve(self, heads):
        """Return a context of the address of a server whose heads are bounded."""

        async def handle(request):
            return web.Response(body=await request.read())

        @contextlib.asynccontextmanager
        async def context():
            server = DiscreetServer(handle, lambda: False, heads, access_log=None)
            runner = web.ServerRunner(server)
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            yield runner.addresses[0][:2]
            await runner.cleanup()

        return context()

    # Guards against heads that do not end and take the memory of the process.
    def test_the_oldest_incomplete_heads_are_closed(self):
        async def scenario():
            heads = IncompleteHeads(10_000)
            async with self.serve(heads) as address:
                callers = []
                for _ in range(3):
                    callers.append(await asyncio.open_connection(*address))
                    callers[-1][1].write(b"GET / HTTP/1.1\r\nA: " + b"a" * 4_000)
                    await until(
                        lambda: heads.total >= 4_000 * min(2, len(callers)), 1_000
                    )
                assert await asyncio.wait_for(callers[0][0].read(), 1) == b""
                for reader, writer in callers[1:]:
                    writer.write(b"\r\nHost: h\r\n\r\n")
                    assert (await reader.readline()).startswith(b"HTTP/1.1 200")
                assert heads.total == 0
                assert not heads.connections
                for _, writer in callers:
                    writer.transport.abort()

        asyncio.run(scenario())

    # Guards against bodies that are taken for heads, so that their callers are cut off.
    def test_bodies_do_not_count_as_heads(self):
        async def scenario():
            heads = IncompleteHeads(1_000)
            body = b"x" * 40_000
            async with self.serve(heads) as address:
                reader, writer = await asyncio.open_connection(*address)
                for _ in range(3):
                    writer.write(
                        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 40000\r\n"
                    )
                    await asyncio.sleep(0.01)
                    writer.write(b"\r\n" + body[:10_000])
                    await asyncio.sleep(0.01)
                    writer.write(body[10_000:])
                    head = await reader.readuntil(b"\r\n\r\n")
                    assert head.startswith(b"HTTP/1.1 200")
                    assert await reader.readexactly(len(body)) == body
                    assert heads.total == 0
                writer.transport.abort()

        asyncio.run(scenario())
