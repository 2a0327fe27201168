"""Tests of the end of callers' connections, with the real HTTP server on loopback."""

import asyncio

from aiohttp import web

from ebonylb.adapters.clock import SystemClock
from ebonylb.forwarding.last_requests import LastRequests
from ebonylb.routes import RouteTable
from ebonylb.service.caller_drain import CallerDrain
from ebonylb.service.readiness import Readiness
from ebonylb.service.uploads import Uploads
from ebonylb_standins.site.manual_clock import ManualClock
from ebonylb_standins.waiting import until

REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
# Longer than the HTTP server waits for requests when it closes.
WORK_S = 0.6
LATER_MS = 1e9


class DrainedServer:
    """A server of callers whose requests take `WORK_S`."""

    def __init__(self):
        self.clock = SystemClock()
        self.readiness = Readiness(RouteTable(), self.clock)
        self.uploads = Uploads()
        self.received_bodies = []

    async def handle(self, request):
        self.readiness.in_progress += 1
        try:
            body = await self.uploads.read(request.read)
            self.received_bodies.append(body)
            await asyncio.sleep(WORK_S)
            return web.Response(body=b"answer")
        except TimeoutError:
            return web.Response(status=503)
        finally:
            self.readiness.in_progress -= 1

    async def start(self):
        server = web.Server(self.handle, access_log=None)
        self.runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.address = self.runner.addresses[0][:2]
        self.drain = CallerDrain(self.runner, self.readiness, self.uploads, self.clock)

    async def connect(self):
        return await asyncio.open_connection(*self.address)


async def read_status(reader):
    """Return the status of a response; 0 if the connection ended without one."""
    line = await reader.readline()
    return int(line.split()[1]) if line else 0


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 20))


class TestCallerDrain:
    def test_a_request_accepted_during_the_stop_is_answered(self):
        """Pattern: kept connections that go on sending while the process leaves."""

        async def scenario():
            server = DrainedServer()
            await server.start()
            connections = [await server.connect() for _ in range(20)]
            await server.drain.stop_listening()
            finishing = asyncio.create_task(
                server.drain.finish_requests(LATER_MS, LATER_MS)
            )
            # The drain has seen no request and closes idle connections right now.
            for _, writer in connections:
                writer.write(REQUEST + b"body")
            await finishing
            await server.runner.cleanup()
            statuses = [await read_status(reader) for reader, _ in connections]
            assert len(server.received_bodies) == statuses.count(200)

        run(scenario())

    def test_a_request_in_progress_is_answered_however_long_it_takes(self):
        async def scenario():
            server = DrainedServer()
            await server.start()
            reader, writer = await server.connect()
            writer.write(REQUEST + b"body")
            await until(lambda: server.received_bodies, 2_000)
            await server.drain.stop_listening()
            await server.drain.finish_requests(LATER_MS, LATER_MS)
            await server.runner.cleanup()
            assert await read_status(reader) == 200

        run(scenario())

    def test_a_body_that_still_arrives_is_received(self):
        async def scenario():
            server = DrainedServer()
            await server.start()
            reader, writer = await server.connect()
            writer.write(REQUEST + b"bo")
            await until(lambda: server.readiness.in_progress, 2_000)
            await server.drain.stop_listening()
            finishing = asyncio.create_task(
                server.drain.finish_requests(LATER_MS, LATER_MS)
            )
            await asyncio.sleep(0.1)
            writer.write(b"dy")
            await finishing
            await server.runner.cleanup()
            assert await read_status(reader) == 200
            assert server.received_bodies == [b"body"]

        run(scenario())

    def test_a_body_that_does_not_arrive_is_refused_in_time(self):
        async def scenario():
            server = DrainedServer()
            await server.start()
            reader, writer = await server.connect()
            writer.write(REQUEST + b"bo")
            await until(lambda: server.readiness.in_progress, 2_000)
            now = server.clock.monotonic_ms()
            await server.drain.finish_requests(now + 100, LATER_MS)
            assert await read_status(reader) == 503
            await server.runner.cleanup()

        run(scenario())

    def test_idle_connections_are_closed(self):
        async def scenario():
            server = DrainedServer()
            await server.start()
            reader, _ = await server.connect()
            await asyncio.sleep(0.05)
            await server.drain.stop_listening()
            await server.drain.finish_requests(LATER_MS, LATER_MS)
            assert await read_status(reader) == 0
            await server.runner.cleanup()

        run(scenario())


class TestLastRequests:
    def test_all_are_accepted_before_the_shutdown(self):
        assert LastRequests(ManualClock(0.0)).accepts(LATER_MS)

    def test_a_request_that_may_be_cut_off_is_refused(self):
        """Guards against requests on kept connections that begin, and are cut off."""
        clock = ManualClock(1_000.0)
        last_requests = LastRequests(clock)
        last_requests.begin(accepts_all_until_ms=3_600.0, cut_off_ms=7_700.0)
        assert last_requests.accepts(LATER_MS)
        clock.now_ms = 3_600.0
        assert last_requests.accepts(7_700.0)
        assert not last_requests.accepts(7_701.0)
