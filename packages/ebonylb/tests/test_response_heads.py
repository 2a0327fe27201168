"""Tests of what counts as the head of a response, for each reader of responses."""

import asyncio
import contextlib
import itertools

import aiohttp
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from ebonylb.adapters.clock import SystemClock
from ebonylb.adapters.connections import StrictConnector
from ebonylb.adapters.http import HttpEndpoint
from ebonylb.adapters.response_heads import HeadCheck, MalformedHeadError
from ebonylb.interfaces.control_plane import DutyAuthority
from ebonylb.interfaces.server_client import (
    ServerAddress,
    ServerRequest,
    VersionOrder,
)
from ebonylb.platform.control_plane import HttpControlPlane, trace_lateness
from ebonylb.platform.servers import HttpServerClient, trace_connections
from ebonylb.platform.store import PlatformRowStore

REQUEST_ID = "q"
ID_LINE = b"Ebonylb-Request-Id: q"
BODY = b"{}"
ORDER = VersionOrder("m", 2, "keep", "vm", 1, 0)


def make_response(status_line=b"HTTP/1.1 200 OK", *lines, body=BODY, length=True):
    """Return the bytes of a response with these further lines in its head."""
    fields = [b"Content-Length: %d" % len(body)] if length else []
    return b"\r\n".join([status_line, *lines, *fields, b"", body])


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 30))


SOUND_RESPONSES = {
    "299": make_response(b"HTTP/1.1 299 Other", ID_LINE),
    "404": make_response(b"HTTP/1.1 404 Not Found", ID_LINE),
    "599": make_response(b"HTTP/1.1 599 Other", ID_LINE),
    "1.0": make_response(b"HTTP/1.0 200 OK", ID_LINE),
    "no reason": make_response(b"HTTP/1.1 200 ", ID_LINE),
    "no blank": make_response(b"HTTP/1.1 200", ID_LINE),
    "latin-1 reason": make_response(b"HTTP/1.1 200 d\xe9j\xe0", ID_LINE),
    "utf-8 value": make_response(
        b"HTTP/1.1 200 OK", ID_LINE, b"X: \xc3\xa9\t\xe2\x80\xa8"
    ),
    "token": make_response(b"HTTP/1.1 200 OK", ID_LINE, b"!#$%&'*+-.^_`|~0zA: 1"),
    "empty value": make_response(b"HTTP/1.1 200 OK", ID_LINE, b"X:", b"Y: \t "),
    "line feeds": b"HTTP/1.1 200 OK\n" + ID_LINE + b"\nContent-Length: 2\n\n{}",
    "empty line before": b"\r\n" + make_response(b"HTTP/1.1 200 OK", ID_LINE),
    "interim": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n"
    + make_response(b"HTTP/1.1 200 OK", ID_LINE),
    "chunks": make_response(
        b"HTTP/1.1 200 OK",
        ID_LINE,
        b"Transfer-Encoding: Chunked",
        body=b"2;a=b\r\n{}\r\n0\r\nX-Trailer: 1\r\n\r\n",
        length=False,
    ),
}


class Server:
    """Server that responds to each request with given bytes, and counts connections.

    Parameters
    ----------
    malformed : bytes
        Response to the second request of the first connection.
    sound : bytes
        Response to all others.
    """

    def __init__(self, malformed, sound):
        self.malformed = malformed
        self.sound = sound
        self.connections = 0

    async def handle(self, reader, writer):
        self.connections += 1
        is_first = self.connections == 1
        second = self.malformed if is_first else self.sound
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            for response in (self.sound, second, self.sound):
                head = await reader.readuntil(b"\r\n\r\n")
                fields = dict(
                    line.lower().split(b": ", 1)
                    for line in head.split(b"\r\n")[1:]
                    if line
                )
                await reader.readexactly(int(fields.get(b"content-length", b"0")))
                writer.write(response)
            # The client has to close the connection.
            await reader.read()
        writer.close()

    @contextlib.asynccontextmanager
    async def serve(self, tracing):
        """Serve on loopback; yield a session and the address."""
        server = await asyncio.start_server(self.handle, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        async with (
            server,
            aiohttp.ClientSession(
                connector=StrictConnector(limit=0),
                auto_decompress=False,
                trace_configs=[tracing],
            ) as session,
        ):
            session._retry_connection = False
            yield session, f"{host}:{port}"


async def open_request(session, address):
    opened = await HttpServerClient(session).open(
        ServerAddress("s", address),
        ServerRequest("POST", "/a", (), b"x", REQUEST_ID, 1_000.0),
    )
    if not isinstance(opened, Err):
        await opened.ok_value.body()
    return opened


async def read_report(session, address):
    return await HttpServerClient(session).read_report(ServerAddress("s", address))


async def send_order(session, address):
    return await HttpServerClient(session).send_order(
        ServerAddress("s", address), ORDER
    )


async def read_page(session, address):
    return await PlatformRowStore(session, address).read_page("t")


async def transact(session, address):
    return await PlatformRowStore(session, address).transact([], [])


async def read_changes(session, address):
    return await PlatformRowStore(session, address).changes("t", 0, 100)


async def report_usage(session, address):
    control_plane = HttpControlPlane(session, address, SystemClock())
    return await control_plane.report_usage(DutyAuthority("vm", 1), 1, {})


async def fetch(session, address):
    endpoint = HttpEndpoint(session, f"http://{address}", 2_000)
    return await endpoint.send_request("step", "GET", "/status")


# What reads responses, with the lines that each sound one needs.
READERS = {
    "request": (open_request, [ID_LINE, b"Ebonylb-Response-Seal: s"]),
    "report": (read_report, []),
    "order": (send_order, []),
    "page": (read_page, []),
    "transaction": (transact, []),
    "feed": (read_changes, []),
    "usage": (report_usage, []),
    "endpoint": (fetch, []),
}


async def read_malformed(reader, make):
    """Return the result of a malformed response, and the connections used.

    It is read on a kept connection, between two sound responses.

    Parameters
    ----------
    reader : str
        One of `READERS`.
    make : callable
        Returns the malformed response for the lines that a sound one needs.
    """
    read, lines = READERS[reader]
    server = Server(make(lines), make_response(b"HTTP/1.1 200 OK", *lines))
    tracing = (
        trace_lateness(SystemClock()) if reader == "usage" else trace_connections()
    )
    async with server.serve(tracing) as (session, address):
        assert not isinstance(await read(session, address), Err)
        malformed = await read(session, address)
        assert not isinstance(await read(session, address), Err)
    return malformed, server.connections


def check_malformed(reader, make):
    """Check that a malformed response is none, and that its connection is given up."""
    result, connections = run(read_malformed(reader, make))
    assert isinstance(result, Err)
    assert result.err_value.may_have_run
    assert connections == 2


def with_status(status):
    """Return a function that makes a response with a status line."""
    return lambda lines: make_response(b"HTTP/1.1 " + status, *lines)


def with_line(line, **options):
    """Return a function that makes a response with one more line in its head."""
    return lambda lines: make_response(b"HTTP/1.1 200 OK", *lines, line, **options)


class TestStatusLines:
    """A response has one of the statuses that the protocol knows."""

    # Guards against a status such as 000 that reaches a caller.
    @pytest.mark.parametrize("reader", READERS)
    @pytest.mark.parametrize(
        "status", [b"000 OK", b"099 Low", b"101 Switching Protocols", b"600 High"]
    )
    def test_an_invalid_status_is_an_error(self, reader, status):
        check_malformed(reader, with_status(status))


class TestFieldNames:
    """The name of a field is a token, directly before its colon."""

    # Guards against malformed lines in a head that reach a caller, and against bodies
    # that end elsewhere than those of the server.
    @pytest.mark.parametrize("reader", READERS)
    @pytest.mark.parametrize(
        "make",
        [
            with_line(b"Content-Length : 2", length=False),
            with_line(
                b"Transfer-Encoding : chunked",
                length=False,
                body=b"2\r\n{}\r\n0\r\n\r\n",
            ),
            with_line(b"Connection : keep-alive"),
            with_line(b"X-Part : 1"),
            with_line(b"X-Part\t: 1"),
            with_line(b"X Part: 1"),
            with_line(b"X\tPart: 1"),
            with_line(b"X\0Part: 1"),
            with_line(b"X\x01Part: 1"),
            with_line(b"X\x7fPart: 1"),
            with_line(b"X\xe9Part: 1"),
            with_line(b'X"Part": 1'),
            with_line(b": 1"),
            with_line(b"X-Part"),
            with_line(b" X-Part: 1"),
            with_line(b"X-Part: 1\r\n 2"),
            lambda lines: (
                b"HTTP/1.1 103 Early\r\nContent-Length : 2\r\n\r\n"
                + make_response(b"HTTP/1.1 200 OK", *lines)
            ),
        ],
        ids=[
            "length",
            "coding",
            "connection",
            "blank after",
            "tab after",
            "blank",
            "tab",
            "zero",
            "control",
            "delete",
            "latin-1",
            "quote",
            "empty",
            "no colon",
            "blank before",
            "folded",
            "interim",
        ],
    )
    def test_a_malformed_name_is_an_error(self, reader, make):
        check_malformed(reader, make)


class TestFieldValues:
    """A value, like a reason, has no control bytes but tabs."""

    @pytest.mark.parametrize("reader", READERS)
    @pytest.mark.parametrize(
        "make",
        [
            with_line(b"X-Part: a\0b"),
            with_line(b"X-Part: a\x01b"),
            with_line(b"X-Part: a\x0bb"),
            with_line(b"X-Part: a\rb"),
            with_line(b"X-Part: a\x7fb"),
            with_status(b"200 O\0K"),
            with_status(b"200 O\x01K"),
        ],
        ids=["zero", "control", "tab", "return", "delete", "zero reason", "reason"],
    )
    def test_a_control_byte_is_an_error(self, reader, make):
        check_malformed(reader, make)


CHUNKS = b"2\r\n{}\r\n0\r\n\r\n"


class TestTransferCodings:
    """A body has a length, comes in chunks, or ends with its connection."""

    # Guards against bodies whose coding a caller is not told of.
    @pytest.mark.parametrize("reader", READERS)
    @pytest.mark.parametrize(
        "coding",
        [
            b"gzip",
            b"identity",
            b"gzip, chunked",
            b"chunked, gzip",
            b"chunked, chunked",
            b"xchunked",
            b"chunked;a=1",
            b"",
            b"chunked\r\nTransfer-Encoding: identity",
            b"chunked\r\nTransfer-Encoding: chunked",
        ],
        ids=str,
    )
    def test_another_coding_than_chunks_is_an_error(self, reader, coding):
        line = b"Transfer-Encoding: " + coding
        make = with_line(line, length=False, body=CHUNKS)
        check_malformed(reader, make)

    @pytest.mark.parametrize("reader", READERS)
    def test_chunks_of_the_first_version_are_an_error(self, reader):
        """RFC 9112 takes their framing for faulty."""

        def make(lines):
            status_line, coding = b"HTTP/1.0 200 OK", b"Transfer-Encoding: chunked"
            options = {"body": CHUNKS, "length": False}
            return make_response(status_line, *lines, coding, **options)

        check_malformed(reader, make)


class TestSoundHeads:
    @pytest.mark.parametrize("name", SOUND_RESPONSES)
    def test_a_sound_response_is_read(self, name):
        """Guards against a check that refuses what the protocol allows."""

        async def scenario():
            server = Server(
                SOUND_RESPONSES[name], make_response(b"HTTP/1.1 200 OK", ID_LINE)
            )
            async with server.serve(trace_connections()) as (session, address):
                assert not isinstance(await open_request(session, address), Err)
                opened = await open_request(session, address)
                assert opened.ok_value.response.status in (200, 299, 404, 599)

        run(scenario())

    @given(
        st.sampled_from(sorted(SOUND_RESPONSES)),
        st.lists(st.integers(0, 200), max_size=12),
    )
    def test_it_may_arrive_in_any_pieces(self, name, cuts):
        data = SOUND_RESPONSES[name]
        check = HeadCheck()
        for start, end in itertools.pairwise([0, *sorted(cuts), len(data)]):
            check.feed(data[start:end])
        assert check.is_over
        assert not check.incomplete_line

    @pytest.mark.parametrize("count", [100, 101])
    def test_interim_responses_are_limited(self, count):
        """Guards against a sequence that takes the time of others."""
        check = HeadCheck()
        check.feed(b"HTTP/1.1 102 Processing\r\n\r\n" * min(count, 100))
        if count > 100:
            with pytest.raises(MalformedHeadError):
                check.feed(b"HTTP/1.1 102 Processing\r\n\r\n")
        else:
            check.feed(b"HTTP/1.1 200 OK\r\n\r\n")
            assert check.is_over

    @given(st.lists(st.integers(0, 200), max_size=12))
    def test_an_error_does_not_wait_for_the_rest_of_the_head(self, cuts):
        data = b"HTTP/1.1 200 OK\r\nX-A: 1\r\nX-B : 2\r\n"
        check = HeadCheck()
        with pytest.raises(MalformedHeadError, match="X-B : 2"):
            for start, end in itertools.pairwise([0, *sorted(cuts), len(data)]):
                check.feed(data[start:end])
