"""Tests of what counts as the head of a response, for each reader of responses."""

import asyncio
import contextlib

import aiohttp
import pytest
from result import Err

from ebonylb.adapters.clock import SystemClock
from ebonylb.adapters.connections import StrictConnector
from ebonylb.adapters.http import HttpEndpoint
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
BODY = b"{}"
ORDER = VersionOrder("m", 2, "keep", "vm", 1, 0)


def make_response(status_line=b"HTTP/1.1 200 OK", *lines, body=BODY, length=True):
    """Return the bytes of a response with these further lines in its head."""
    fields = [b"Content-Length: %d" % len(body)] if length else []
    return b"\r\n".join([status_line, *lines, *fields, b"", body])


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 30))


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


ID_LINE = b"Ebonylb-Request-Id: " + REQUEST_ID.encode()
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


def status_lines(status):
    """Return a function that makes a response with a status line."""
    return lambda lines: make_response(b"HTTP/1.1 " + status, *lines)


class TestStatusLines:
    """A response has one of the statuses that the protocol knows."""

    # Guards against a status such as 000 that reaches a caller.
    @pytest.mark.parametrize("reader", READERS)
    @pytest.mark.parametrize(
        "status", [b"000 OK", b"099 Low", b"101 Switching Protocols", b"600 High"]
    )
    def test_an_invalid_status_is_an_error(self, reader, status):
        result, connections = run(read_malformed(reader, status_lines(status)))
        assert isinstance(result, Err)
        assert result.err_value.may_have_run
        assert connections == 2
