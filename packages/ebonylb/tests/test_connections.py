"""Tests of connections to servers that answer out of order, twice or in part.

The servers are a few lines on loopback that send exact bytes.
"""

import asyncio
import contextlib
import socket
import struct

import aiohttp
import pytest
from result import Err, Ok

from ebonylb.adapters import HttpPlainService
from ebonylb.adapters.clock import SystemClock
from ebonylb.adapters.connections import StrictConnector
from ebonylb.adapters.memory_metrics import InMemoryMetrics
from ebonylb.interfaces import CallRequest
from ebonylb.interfaces.server_client import (
    ServerAddress,
    ServerRequest,
    VersionOrder,
)
from ebonylb.outcomes import StepError
from ebonylb.platform import wire_names
from ebonylb.platform.servers import HttpServerClient, trace_connections
from ebonylb.platform.sockets import create_keepalive_socket
from ebonylb.platform.store import PlatformRowStore
from ebonylb.service.held_bytes import HeldBytes
from ebonylb_standins.waiting import until

ORDER = VersionOrder("m", 2, "keep", "vm", 1, 0)
REUSES = 2_000
KEEPALIVE_S = 8.0


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 30))


def make_request(request_id, method="POST"):
    return ServerRequest(method, "/a/1", (), b"body", request_id, 1_000.0)


def answer(request_id, body=b"ok", status=200, length=True, **headers):
    """Return the bytes of a response; without an id if `request_id` is None."""
    fields = {"Ebonylb-Response-Seal": "seal", **headers}
    if request_id is not None:
        fields["Ebonylb-Request-Id"] = request_id
    if length:
        fields["Content-Length"] = str(len(body))
    lines = [f"HTTP/1.1 {status} Status", *(f"{k}: {v}" for k, v in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def refusal(request_id):
    return answer(request_id, b"", 503, **{"Ebonylb-Not-Executed": "1"})


def reset(writer):
    """Close a connection with a reset."""
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def read_request_id(reader):
    """Read one request and return its id; empty for a control request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    fields = dict(
        line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line
    )
    await reader.readexactly(int(fields.get("content-length", 0)))
    return fields.get("ebonylb-request-id", "")


@contextlib.asynccontextmanager
async def serving(handle):
    """Serve connections with `handle`, and yield the client and the server's address.

    The client is that of the entry VM process.
    """

    async def handle_safely(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            await handle(reader, writer)
        writer.close()

    server = await asyncio.start_server(handle_safely, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    connector = StrictConnector(
        wire_names.REQUEST_ID, limit=0, keepalive_timeout=KEEPALIVE_S
    )
    async with (
        server,
        aiohttp.ClientSession(
            connector=connector, trace_configs=[trace_connections()]
        ) as session,
    ):
        session._retry_connection = False
        yield HttpServerClient(session), ServerAddress("s", f"{host}:{port}")


async def fetch(client, address, request_id):
    """Return the body of a response, or the error."""
    opened = await client.open(address, make_request(request_id))
    if isinstance(opened, Err):
        return opened.err_value
    response = opened.ok_value
    try:
        return await response.body()
    except StepError as error:
        return error
    finally:
        response.close()


class TestProgress:
    """A sender that gives up knows whether bytes of its request may have been sent."""

    def test_a_request_with_a_connection_is_marked(self):
        async def handle(reader, writer):
            while request_id := await read_request_id(reader):
                writer.write(answer(request_id, b"whole"))

        async def scenario():
            async with serving(handle) as (client, address):
                for request_id in ("new", "kept"):
                    request = make_request(request_id)
                    assert not request.progress.connected
                    opened = await client.open(address, request)
                    await opened.ok_value.body()
                    assert request.progress.connected

        run(scenario())

    def test_a_refused_connection_leaves_it_unmarked(self):
        async def scenario():
            async with serving(lambda reader, writer: None) as (client, _):
                request = make_request("q")
                nowhere = ServerAddress("s", "127.0.0.1:1")
                assert isinstance(await client.open(nowhere, request), Err)
                assert not request.progress.connected

        run(scenario())


class TestKeepalive:
    @staticmethod
    def probes_until_end(connection):
        """Return how many probes stay unanswered before Linux ends the connection."""

        def read(option):
            return connection.getsockopt(socket.IPPROTO_TCP, option)

        user_timeout_s = read(socket.TCP_USER_TIMEOUT) / 1000
        elapsed_s, probes = read(socket.TCP_KEEPIDLE), 0
        while True:
            if user_timeout_s:
                is_over = probes > 0 and elapsed_s >= user_timeout_s
            else:
                is_over = probes >= read(socket.TCP_KEEPCNT)
            if is_over:
                return probes
            probes += 1
            elapsed_s += read(socket.TCP_KEEPINTVL)

    def test_one_lost_probe_ends_no_connection(self):
        """Guards against a user timeout that ends idle connections too early."""
        address = ("127.0.0.1", 80)
        address_info = (socket.AF_INET, socket.SOCK_STREAM, 0, "", address)
        with create_keepalive_socket(address_info) as connection:
            assert connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            assert self.probes_until_end(connection) >= 2


class TestBrokenAnswers:
    """An answer that broke off is no answer."""

    @staticmethod
    def breaking(answer_bytes, end):
        async def handle(reader, writer):
            await read_request_id(reader)
            writer.write(answer_bytes)
            await writer.drain()
            await asyncio.sleep(0.05)
            end(writer)

        return handle

    def test_a_body_without_length_ends_with_its_connection(self):
        async def scenario():
            sound = self.breaking(answer("q", b"whole", length=False), lambda w: None)
            async with serving(sound) as (client, address):
                assert await fetch(client, address, "q") == b"whole"

        run(scenario())

    @pytest.mark.parametrize(
        "part",
        [
            answer("q", b"half a body", length=False),
            answer("q", b"half", length=False, status=500),
            answer(
                "q", b"5\r\nhello\r\n", length=False, **{"Transfer-Encoding": "chunked"}
            ),
            answer("q", b"x" * 9)[:-4],
        ],
        ids=["no length", "error without length", "chunked", "length"],
    )
    def test_a_body_that_is_reset_is_an_error(self, part):
        async def scenario():
            async with serving(self.breaking(part, reset)) as (client, address):
                assert isinstance(await fetch(client, address, "q"), StepError)

        run(scenario())

    @pytest.mark.parametrize(
        "end", [reset, lambda writer: None], ids=["reset", "close"]
    )
    def test_a_stream_that_breaks_off_is_an_error(self, end):
        part = b"id: 1\ndata: a\n\nid: 2\nda"

        async def scenario():
            handle = self.breaking(answer("q", part, length=False), end)
            async with serving(handle) as (client, address):
                response = (await client.open(address, make_request("q"))).ok_value
                numbers = []
                with pytest.raises(StepError):
                    async for event in response.events():
                        numbers.append(event.number)
                assert numbers == [1]

        run(scenario())

    def test_a_stream_that_is_reset_between_events_is_an_error(self):
        async def scenario():
            part = answer("q", b"id: 1\ndata: a\n\n", length=False)
            async with serving(self.breaking(part, reset)) as (client, address):
                response = (await client.open(address, make_request("q"))).ok_value
                with pytest.raises(StepError):
                    _ = [event async for event in response.events()]

        run(scenario())

    @pytest.mark.parametrize("is_stream", [False, True])
    @pytest.mark.parametrize(
        "garbage",
        [b"zz\r\n", b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"],
        ids=["no length", "another head"],
    )
    def test_bytes_that_are_no_chunk_end_the_wait(self, garbage, is_stream):
        """Guards against requests that are held until their deadlines.

        The connection stays open at the server.
        """
        head = answer("q", b"", length=False, **{"Transfer-Encoding": "chunked"})

        async def scenario():
            async def handle(reader, writer):
                await read_request_id(reader)
                writer.write(head + b"f\r\nid: 1\ndata: a\n\n\r\n")
                await asyncio.sleep(0.05)
                writer.write(garbage)
                await reader.read()

            async with serving(handle) as (client, address), asyncio.timeout(5):
                response = (await client.open(address, make_request("q"))).ok_value
                with pytest.raises(StepError):
                    if is_stream:
                        _ = [event async for event in response.events()]
                    else:
                        await response.body()
                response.close()

        run(scenario())

    @pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
    def test_a_head_that_ends_anywhere_is_no_answer(self, is_kept):
        """Guards against a success with an empty body, after half a head."""
        whole = answer("q", b"", **{"Ebonylb-Weight-Versions": "1"})

        async def scenario():
            cuts = iter(range(len(whole)))

            async def handle(reader, writer):
                if is_kept:
                    writer.write(answer(await read_request_id(reader), b"ok"))
                await read_request_id(reader)
                writer.write(whole[: next(cuts)])

            async with serving(handle) as (client, address):
                for _ in whole:
                    if is_kept:
                        assert await fetch(client, address, "first") == b"ok"
                    error = await fetch(client, address, "q")
                    assert isinstance(error, StepError) and error.may_have_run

        run(scenario())

    def test_a_report_that_is_reset_is_an_error(self):
        part = answer(None, b'{"Busy":false}', length=False)

        async def scenario():
            async with serving(self.breaking(part, reset)) as (client, address):
                assert isinstance(await client.read_report(address), Err)

        run(scenario())

    def test_a_page_of_the_store_that_is_reset_is_an_error(self):
        part = answer(None, b'{"Rows":[],"Ver":3}', length=False)

        async def scenario():
            async with serving(self.breaking(part, reset)) as (client, address):
                store = PlatformRowStore(client.session, address.address)
                assert isinstance(await store.read_page("t"), Err)

        run(scenario())


class TestForeignAnswers:
    """Only what bears a request's own id is its answer."""

    def test_a_late_second_copy_is_not_the_next_answer(self):
        async def scenario():
            async def handle(reader, writer):
                first = await read_request_id(reader)
                writer.write(answer(first, b"first"))
                second = await read_request_id(reader)
                writer.write(answer(first, b"first") + answer(second, b"second"))
                await read_request_id(reader)

            async with serving(handle) as (client, address):
                assert await fetch(client, address, "q1") == b"first"
                error = await fetch(client, address, "q2")
                assert isinstance(error, StepError) and error.may_have_run

        run(scenario())

    def test_a_late_refusal_without_an_id_is_not_the_next_answer(self):
        """The second request has reached the server, which runs it."""

        async def scenario():
            async def handle(reader, writer):
                first = await read_request_id(reader)
                writer.write(answer(first, b"first"))
                await read_request_id(reader)
                writer.write(refusal(None))
                await read_request_id(reader)

            async with serving(handle) as (client, address):
                assert await fetch(client, address, "q1") == b"first"
                error = await fetch(client, address, "q2")
                assert isinstance(error, StepError) and error.may_have_run

        run(scenario())

    @pytest.mark.parametrize(
        "extra", [answer("q1", b"again"), b"noise", refusal(None)], ids=str
    )
    def test_a_connection_with_bytes_nobody_asked_for_is_not_used_again(self, extra):
        """The next request loses nothing: it is sent on a new connection."""

        async def scenario():
            connections = []
            sent = asyncio.Event()

            async def handle(reader, writer):
                connections.append(writer)
                is_first = len(connections) == 1
                while True:
                    request_id = await read_request_id(reader)
                    writer.write(answer(request_id, request_id.encode()))
                    await writer.drain()
                    if is_first:
                        await asyncio.sleep(0.05)
                        writer.write(extra)
                        await writer.drain()
                        sent.set()

            async with serving(handle) as (client, address):
                assert await fetch(client, address, "q1") == b"q1"
                await sent.wait()
                await asyncio.sleep(0.05)
                assert await fetch(client, address, "q2") == b"q2"
                assert len(connections) == 2

        run(scenario())

    def test_a_late_copy_is_not_the_answer_to_an_order(self):
        """An order that already holds is answered with 200, like most requests."""

        async def scenario():
            async def handle(reader, writer):
                first = await read_request_id(reader)
                writer.write(answer(first, b"first"))
                await read_request_id(reader)
                writer.write(answer(first, b"first"))
                await read_request_id(reader)

            async with serving(handle) as (client, address):
                assert await fetch(client, address, "q1") == b"first"
                assert isinstance(await client.send_order(address, ORDER), Err)

        run(scenario())

    # Guards against a run whose caller is told that nothing ran (review/11).
    def test_a_late_copy_of_a_refusal_is_not_the_answer_to_the_second_sending(self):
        """The copy has the id of the second sending, which the server runs."""

        async def scenario():
            refused = []

            async def handle(reader, writer):
                late_copy = b""
                while request_id := await read_request_id(reader):
                    writer.write(late_copy)
                    late_copy = b""
                    if refused:
                        writer.write(answer(request_id))
                        continue
                    refused.append(request_id)
                    late_copy = refusal(request_id)
                    writer.write(late_copy)

            for others in range(3):
                refused.clear()
                async with serving(handle) as (client, address):
                    opened = await client.open(address, make_request("q"))
                    assert opened.ok_value.head.not_run
                    opened.ok_value.close()
                    for number in range(others):
                        await fetch(client, address, f"other {number}")
                    assert await fetch(client, address, "q") == b"ok"

        run(scenario())

    # Guards against a report that is older than the order before it (review/11).
    def test_a_late_copy_of_a_report_is_not_the_next_report(self):
        """Reports have no id by which a copy could be told from the next one."""

        async def scenario():
            async def handle(reader, writer):
                late_copy = b""
                while True:
                    await read_request_id(reader)
                    report = b'{"Sequence": %d}' % next(orders)
                    writer.write(late_copy + answer(None, report))
                    late_copy = answer(None, report)

            orders = iter(range(5))
            async with serving(handle) as (client, address):
                for accepted_orders in range(5):
                    report = await client.read_report(address)
                    assert report.ok_value.accepted_orders == accepted_orders

        run(scenario())

    # Guards against a run that goes on when its caller has turned away (review/13).
    @pytest.mark.parametrize("is_order", [False, True])
    def test_a_foreign_answer_ends_the_run_at_the_server(self, is_order):
        """The foreign answer is whole, and the answer itself is still to come."""

        async def scenario():
            ended = asyncio.Event()

            async def handle(reader, writer):
                first = await read_request_id(reader)
                writer.write(answer(first, b"first"))
                await read_request_id(reader)
                writer.write(answer(first, b"first"))
                with contextlib.suppress(OSError):
                    await reader.read()
                ended.set()

            async with serving(handle) as (client, address):
                assert await fetch(client, address, "q1") == b"first"
                if is_order:
                    assert isinstance(await client.send_order(address, ORDER), Err)
                else:
                    assert isinstance(await fetch(client, address, "q2"), StepError)
                async with asyncio.timeout(1):
                    await ended.wait()

        run(scenario())

    def test_a_sound_connection_is_reused(self):
        async def scenario():
            connections = []

            async def handle(reader, writer):
                connections.append(writer)
                while True:
                    request_id = await read_request_id(reader)
                    writer.write(answer(request_id, request_id.encode()))

            async with serving(handle) as (client, address):
                for number in range(REUSES):
                    body = await fetch(client, address, f"q{number}")
                    assert body == f"q{number}".encode()
                assert len(connections) == 1

        run(scenario())


class TestLeavingHeader:
    @pytest.mark.parametrize("call", ["open", "refused", "report", "order"])
    def test_each_response_may_say_that_its_server_leaves(self, call):
        async def scenario():
            async def handle(reader, writer):
                request_id = await read_request_id(reader) or None
                said = {"Server-Leaving": "1"}
                if call == "refused":
                    said["Ebonylb-Not-Executed"] = "1"
                status = 503 if call == "refused" else 200
                writer.write(answer(request_id, b"{}", status, **said))

            async with serving(handle) as (client, address):
                if call == "report":
                    response = await client.read_report(address)
                elif call == "order":
                    response = await client.send_order(address, ORDER)
                else:
                    response = await client.open(address, make_request("q"))
                    response = Ok(response.ok_value.head)
                assert response.ok_value.leaving

        run(scenario())

    def test_another_server_at_the_address_speaks_for_itself(self):
        async def scenario():
            async def handle(reader, writer):
                await read_request_id(reader)
                writer.write(answer(None, b"", 421, **{"Server-Leaving": "1"}))

            async with serving(handle) as (client, address):
                response = await client.send_order(address, ORDER)
                assert not response.ok_value.leaving

        run(scenario())


class TestSilentServers:
    def test_comments_now_and_then_are_no_progress(self):
        """Guards against a stalled stream that never ends because bytes arrive."""

        async def scenario():
            writers = []

            async def handle(reader, writer):
                writers.append(writer)
                request_id = await read_request_id(reader)
                writer.write(answer(request_id, b"", length=False))
                while True:
                    writer.write(b": still here\n\n")
                    await writer.drain()
                    await asyncio.sleep(0.01)

            async with serving(handle) as (client, address):
                response = (await client.open(address, make_request("q"))).ok_value
                with pytest.raises(TimeoutError):
                    async with asyncio.timeout(0.2):
                        await anext(response.events())
                response.close()
                await until(lambda: writers[0].is_closing(), 2_000)

        run(scenario())


class TestEndlessAnswers:
    """Bytes that are no answer come without end, until the client closes."""

    @staticmethod
    def flooding(head, block):
        """Return a handler that never stops sending, and the bytes that it has sent."""
        sent = []

        async def handle(reader, writer):
            await read_request_id(reader)
            # What the client has not received stays out of the kernel's buffer.
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
            writer.write(head)
            while True:
                writer.write(block)
                await writer.drain()
                sent.append(len(block))

        return handle, sent

    # Guards against heads and bodies without an end, which took all time and memory.
    @pytest.mark.parametrize(
        ("head", "block", "max_bytes"),
        [
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100, 2_000_000),
            (b"", b"HTTP/1.1 103 Early\r\nA: b\r\n\r\n" * 100, 2_000_000),
            (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 100, 2_000_000),
            (b"HTTP/1.1 200 OK\r\nA: ", b"b" * 1_000, 2_000_000),
            (b"", b"\r\n" * 1_000, 2_000_000),
            (b"", b"\0" * 1_000, 2_000_000),
            (answer("q", length=False), b"x" * 100_000, 60_000_000),
            (
                answer("q", b"", length=False, **{"Transfer-Encoding": "chunked"}),
                b"186a0\r\n" + b"x" * 100_000 + b"\r\n",
                60_000_000,
            ),
            (
                answer("q", b"", length=False, **{"Transfer-Encoding": "chunked"})
                + b"2\r\nok\r\n0\r\n",
                b"A: b\r\n" * 100,
                2_000_000,
            ),
            (
                answer("q", b"", length=False, **{"Content-Length": str(10**12)}),
                b"x" * 100_000,
                60_000_000,
            ),
        ],
        ids=[
            "interim",
            "interim-fields",
            "fields",
            "field",
            "lines",
            "zeros",
            "body",
            "chunks",
            "trailers",
            "length",
        ],
    )
    def test_a_flood_ends(self, head, block, max_bytes):
        async def scenario():
            handle, sent = self.flooding(head, block)
            async with serving(handle) as (client, address), asyncio.timeout(10):
                assert isinstance(await fetch(client, address, "q"), StepError)
                await asyncio.sleep(0.1)
                received = sum(sent)
                assert received < max_bytes
                await asyncio.sleep(0.1)
                assert sum(sent) == received

        run(scenario())

    @pytest.mark.parametrize("block", [b": comment\n\n", b"\n\n", b": comment"])
    def test_a_stream_of_comments_ends(self, block):
        async def scenario():
            handle, sent = self.flooding(answer("q", b"", length=False), block * 1_000)
            async with serving(handle) as (client, address), asyncio.timeout(10):
                response = (await client.open(address, make_request("q"))).ok_value
                with pytest.raises(StepError):
                    async for _ in response.events():
                        pass
                response.close()
                assert sum(sent) < 20_000_000

        run(scenario())

    def test_a_stream_that_is_left_is_not_counted(self):
        """Guards against memory that stays counted for streams which nobody reads."""

        async def scenario():
            block = b"id: 1\n\nid: 2\ndata: " + b"x" * 300_000
            handle, _ = self.flooding(answer("q", b"", length=False), block)
            held = HeldBytes(SystemClock(), InMemoryMetrics(), 0, lambda: 1e9)
            async with serving(handle) as (client, address), asyncio.timeout(10):
                client.held = held
                response = (await client.open(address, make_request("q"))).ok_value
                events = response.raw_events()
                assert (await anext(events))[0] == 1
                assert held.incoming
                response.close()
                del events, response
                await until(lambda: not held.incoming, 2_000)
            assert held.total == 0

        run(scenario())

    def test_a_report_without_an_end_is_an_error(self):
        async def scenario():
            handle, sent = self.flooding(answer(None, length=False), b"[" * 100_000)
            async with serving(handle) as (client, address), asyncio.timeout(10):
                assert isinstance(await client.read_report(address), Err)
                assert sum(sent) < 20_000_000

        run(scenario())

    # Guards against answers of the store and of plain services that take all memory.
    @pytest.mark.parametrize("reader", ["store", "service"])
    def test_other_readers_end_too(self, reader):
        async def scenario():
            handle, sent = self.flooding(answer(None, length=False), b"[" * 100_000)
            async with serving(handle) as (client, address), asyncio.timeout(20):
                if reader == "store":
                    store = PlatformRowStore(client.session, address.address)
                    assert isinstance(await store.read_page("t"), Err)
                else:
                    url = f"http://{address.address}"
                    service = HttpPlainService(client.session, url, 10_000)
                    with pytest.raises(StepError) as raised:
                        await service.call(CallRequest("q", b"x", "text/plain"))
                    assert raised.value.may_have_run
                assert sum(sent) < 60_000_000

        run(scenario())

    def test_a_large_answer_is_whole(self):
        async def scenario():
            body = b"x" * 20_000_000

            async def handle(reader, writer):
                await read_request_id(reader)
                writer.write(b"HTTP/1.1 100 Continue\r\n\r\n" + answer("q", body))
                await writer.drain()

            async with serving(handle) as (client, address):
                assert await fetch(client, address, "q") == body

        run(scenario())

    def test_a_long_stream_of_small_events_is_whole(self):
        async def scenario():
            async def handle(reader, writer):
                await read_request_id(reader)
                writer.write(
                    answer("q", b"", length=False, **{"Transfer-Encoding": "chunked"})
                )
                for number in range(1, 20_001):
                    event = f"id: {number}\n\n".encode()
                    writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                    await writer.drain()
                writer.write(b"0\r\n\r\n")

            async with serving(handle) as (client, address):
                response = (await client.open(address, make_request("q"))).ok_value
                numbers = [event.number async for event in response.events()]
                response.close()
                assert numbers == list(range(1, 20_001))

        run(scenario())
