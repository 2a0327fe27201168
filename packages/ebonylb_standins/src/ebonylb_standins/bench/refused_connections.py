"""Connections opened per request where servers refuse about a quarter of arrivals.

``python -m ebonylb_standins.bench.refused_connections`` sends requests to servers on
loopback through the client of the entry VM process, and prints a table and JSON. A
refused request is sent again to one of the servers. The rules by which a connection may
be used again are compared, each with the same callers.
"""

import argparse
import asyncio
import contextlib
import json
import random
from collections.abc import AsyncIterator
from dataclasses import asdict, dataclass

import aiohttp

from ebonylb.adapters.connections import StrictConnector
from ebonylb.interfaces.server_client import ServerAddress, ServerRequest
from ebonylb.platform import wire_names
from ebonylb.platform.servers import HttpServerClient, trace_connections

SERVERS = 2
SLOTS = 2
WORK_S = 0.01
CALLERS = 8
MEAN_PAUSE_S = 0.026
MAX_SENDINGS = 6
RESEND_PAUSE_S = 0.01
REQUESTS = 2_000
DEADLINE_MS = 2_000.0
KEEPALIVE_S = 8.0
# Rules by which a connection may be used again.
RULES = ("always", "never the same id", "not after a refusal")


@dataclass
class Measurement:
    """Figures of one run."""

    rule: str
    requests: int = 0
    arrivals: int = 0
    refusals: int = 0
    connections: int = 0


class FullServer:
    """Runs requests in a few slots and refuses those beyond.

    Parameters
    ----------
    measurement : Measurement
        Counts what arrives.
    closes_after_refusal : bool
        Whether a refusal ends its connection.
    """

    def __init__(self, measurement: Measurement, closes_after_refusal: bool) -> None:
        self.measurement = measurement
        self.closes_after_refusal = closes_after_refusal
        self.running = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        self.measurement.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while not writer.is_closing():
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(
                    line.split(": ", 1) for line in head.split("\r\n")[1:] if line
                )
                await reader.readexactly(int(fields.get("Content-Length", 0)))
                writer.write(await self.answer(fields[wire_names.REQUEST_ID]))
        writer.close()

    async def answer(self, request_id: str) -> bytes:
        """Run or refuse a request and return the bytes of the response."""
        self.measurement.arrivals += 1
        fields = {wire_names.REQUEST_ID: request_id, "Content-Length": "0"}
        if self.running >= SLOTS:
            self.measurement.refusals += 1
            fields[wire_names.NOT_RUN] = "1"
            if self.closes_after_refusal:
                fields["Connection"] = "close"
            return encode_head("503 Busy", fields)
        self.running += 1
        await asyncio.sleep(WORK_S)
        self.running -= 1
        fields[wire_names.SEAL] = "seal"
        return encode_head("200 OK", fields)


def encode_head(status: str, fields: dict[str, str]) -> bytes:
    """Return the bytes of a response without a body."""
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {v}" for name, v in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode()


@contextlib.asynccontextmanager
async def serving(
    rule: str, measurement: Measurement
) -> AsyncIterator[tuple[HttpServerClient, list[ServerAddress]]]:
    """Start servers, and yield a client that follows a rule, and their addresses."""
    id_header = wire_names.REQUEST_ID if rule == "never the same id" else ""
    async with contextlib.AsyncExitStack() as exit_stack:
        addresses = []
        for number in range(SERVERS):
            full_server = FullServer(measurement, rule == "not after a refusal")
            server = await asyncio.start_server(full_server.serve, "127.0.0.1", 0)
            await exit_stack.enter_async_context(server)
            host, port = server.sockets[0].getsockname()[:2]
            addresses.append(ServerAddress(f"s{number}", f"{host}:{port}"))
        session = await exit_stack.enter_async_context(
            aiohttp.ClientSession(
                connector=StrictConnector(
                    id_header, limit=0, keepalive_timeout=KEEPALIVE_S
                ),
                trace_configs=[trace_connections()],
            )
        )
        yield HttpServerClient(session), addresses


async def send(
    client: HttpServerClient,
    addresses: list[ServerAddress],
    rng: random.Random,
    request_id: str,
) -> None:
    """Send a request until a server runs it, or the sendings are used up."""
    for _ in range(MAX_SENDINGS):
        request = ServerRequest("POST", "/book", (), b"x", request_id, DEADLINE_MS)
        opened = await client.open(rng.choice(addresses), request)
        response = opened.unwrap()
        not_run = response.head.not_run
        if not not_run:
            await response.body()
        response.close()
        if not not_run:
            return
        await asyncio.sleep(RESEND_PAUSE_S)


async def measure(rule: str, seed: int) -> Measurement:
    """Return the figures of one run."""
    rng = random.Random(seed)
    measurement = Measurement(rule)
    async with serving(rule, measurement) as (client, addresses):

        async def call() -> None:
            while measurement.requests < REQUESTS:
                measurement.requests += 1
                request_id = f"{measurement.requests:016x}"
                await send(client, addresses, rng, request_id)
                await asyncio.sleep(rng.expovariate(1 / MEAN_PAUSE_S))

        await asyncio.gather(*(call() for _ in range(CALLERS)))
    return measurement


def main() -> None:
    """Measure each rule; print a table and JSON."""
    parser = argparse.ArgumentParser(
        prog="python -m ebonylb_standins.bench.refused_connections"
    )
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    measurements = [asyncio.run(measure(rule, options.seed)) for rule in RULES]
    print("| connection used again | refused arrivals | connections per request |")
    print("|---|---|---|")
    for each in measurements:
        print(
            f"| {each.rule} | {each.refusals / each.arrivals:.3f} "
            f"| {each.connections / each.requests:.4f} |"
        )
    print(json.dumps([asdict(each) for each in measurements]))


if __name__ == "__main__":
    main()
