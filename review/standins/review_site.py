"""Site of the review's scripts: settings of a small deployment, replicas, a client.

The store, the registration of replicas and the start of the entry VM processes are the
project's own stand-ins. The replicas here do what PROTOCOL.md says and record it.
"""

import asyncio
import json
import os
import random
import sys
import time
from pathlib import Path

from aiohttp import web
from ebonylb_standins.site.http_servers import HttpServer, seal_of
from ebonylb_standins.site.http_site import HttpSite

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "site.example"
MAX_SECONDS = 110
EVENT_S = 0.1
# The bounds of further/laurentin-decal.toml.
SETTINGS = (
    "Bounds.SeedLagS=3",
    "Bounds.AddrReuseS=2",
    "Bounds.StableWindowMs=4000",
    "Bounds.AckMs=5000",
    "Bounds.CatchUpS=4.5",
    "Bounds.DrainMs=2500",
    "Bounds.LossSlackMs=200",
    "Bounds.ConfigApplyMs=2500",
    "Bounds.RecoveryS=12",
    "Bounds.FinishS=10",
    "Bounds.StatusS=120",
    "Bounds.CancelMs=3000",
    "Bounds.SettleMs=1000",
    "Bounds.RequireFence=false",
    "HeartbeatMs=1200",
    "Limits.MemoryMb=320",
)


def configuration(**overrides):
    """Return the operator's configuration; `overrides` change fields by route name."""
    plain = {"Host": HOST, "Service": "desk", "TimeoutMs": 10_000, "Attempts": 2}
    tokens = {"Host": HOST, "Service": "lm", "TimeoutMs": 10_000, "Attempts": 3}
    tokens |= {"TargetLatencyMs": 400, "Sticky": True}
    routes = [
        tokens
        | {
            "Name": "batch",
            "Prefix": "/batch/",
            "Kind": "rollout",
            "RetentionS": 60.0,
            "ResultDeadlineMs": 7_500,
        },
        tokens | {"Name": "live", "Prefix": "/live/", "Kind": "streaming"},
        plain | {"Name": "ask", "Prefix": "/ask/", "Kind": "idempotent"},
        plain | {"Name": "book", "Prefix": "/book/", "Kind": "non_idempotent"},
    ]
    for route in routes:
        route.setdefault("TargetLatencyMs", 5_000)
        route |= overrides.get(route["Name"], {})
    engine = {"Slots": 8, "KvCapacity": 100_000, "Stride": 44}
    engine["Models"] = [{"Name": "m"}]
    return json.dumps(
        {
            "Version": 1,
            "Routes": routes,
            "Services": [{"Name": "lm", "Engine": engine}, {"Name": "desk"}],
            "Limits": {
                "MaxHeaderBytes": 16_384,
                "MaxBodyBytes": 33_554_432,
                "HeaderTimeoutMs": 5_000,
                "IdleTimeoutMs": 15_000,
            },
        }
    ).encode()


class Record:
    """Writes what was sent, answered and run to record.txt, with the time."""

    def __init__(self):
        self.file = (Path(sys.argv[1]) / "record.txt").open("w", encoding="utf-8")
        self.began_s = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.began_s:8.3f} s  {text}"
        print(line, file=self.file, flush=True)


class Replica(HttpServer):
    """Replica of a service; the path's last part says how long a request lasts.

    Plain requests: milliseconds of work. Streams and items: the number of events, one
    each `EVENT_S`.
    """

    note = staticmethod(print)

    def setup(self, note):
        """Set the record and the state; return the replica."""
        self.note = note
        self.at_work = {}
        self.transports, self.listed = set(), set()
        self.born = time.time_ns() // 1_000_000
        return self

    def registration_row(self, address, zone, state="ready"):
        """Return the row in the store, with the start of this incarnation."""
        fields = json.loads(super().registration_row(address, zone, state))
        return json.dumps(fields | {"born": self.born}).encode()

    def text(self, request_id, number):
        """Return the data of an event."""
        return f"{request_id}/{number}"

    async def handle_request(self, request):
        """Run a request, or reject one that is for another replica or comes too many."""
        request_id = request.headers.get("Ebonylb-Request-Id", "")
        headers = {"Ebonylb-Request-Id": request_id, **self.load_headers()}
        await request.read()
        other = self.is_for_another_server(request)
        if other or self.running >= self.slots:
            headers["Ebonylb-Not-Executed"] = "1"
            status = 421 if other else 503
            self.note(f"{self.name} rejects {request_id}: {status}")
            return web.Response(status=status, headers=headers)
        headers["Ebonylb-Response-Seal"] = seal_of(request_id)
        amount = int(request.path.rsplit("/", 1)[-1])
        self.note(f"{self.name} begins to run {request_id} {request.path}")
        self.run_counts[request_id] += 1
        if request.path.startswith("/list/"):
            self.listed.add(request_id)
        self.running += 1
        self.at_work[request_id] = time.monotonic()
        self.transports.add(request.transport)
        how = "is left by the sender's close"
        try:
            if self.models:
                response = await self.stream(request, request_id, headers, amount)
            else:
                await asyncio.sleep(amount / 1_000)
                response = web.Response(body=request_id.encode(), headers=headers)
            how = "is done"
            return response
        finally:
            self.running -= 1
            del self.at_work[request_id]
            self.transports.discard(request.transport)
            self.note(f"{self.name} run of {request_id} {how}")

    async def stream(self, request, request_id, headers, total):
        """Send the events of a stream, from the one after `Last-Event-Id` on."""
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        headers["Content-Type"] = "text/event-stream"
        if first <= total:
            headers["Ebonylb-Weight-Versions"] = str(self.versions["m"])
        response = web.StreamResponse(headers=headers)
        await asyncio.sleep(EVENT_S)
        await response.prepare(request)
        for number in range(first, total + 1):
            await asyncio.sleep(EVENT_S)
            data = self.text(request_id, number)
            await response.write(f"id: {number}\ndata: {data}\n\n".encode())
        await response.write_eof()
        return response


class Site(HttpSite):
    """Site with replicas of the review."""

    replica = Replica

    def __init__(self, note, entry_vms=2, engines=2, desks=2, **overrides):
        super().__init__(
            entry_vms=entry_vms,
            engines=0,
            desks=0,
            first_ip=random.randrange(1, 200) * 65_536 + random.randrange(1, 60_000),
            settings=SETTINGS,
            first_configuration=configuration(**overrides),
        )
        self.note = note
        self.wanted = [("lm", ("m",), n) for n in range(engines)]
        self.wanted += [("desk", (), n) for n in range(desks)]

    async def add_entry_vm(self, name, zone):
        """Add the replicas before the first entry VM."""
        while self.wanted:
            service, models, number = self.wanted.pop()
            server = self.replica(f"i-{service}{number}", service, models)
            await self.add_server(server.setup(self.note), "north")
        return await super().add_entry_vm(name, zone)


class Connection:
    """Connection of a client, which stays open for several requests."""

    def __init__(self, note, vm):
        self.note, self.vm = note, vm
        self.reader = self.writer = None

    async def request(self, method, path, request_id, body=b"", **headers):
        """Send a request; return status, headers, body and whether it is complete.

        The status is 0 where the connection ended before the head of an answer.
        """
        if self.writer is None:
            host, port = self.vm.front_address.split(":")
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
        fields = {"Host": HOST, "Content-Length": len(body)}
        fields |= {"Ebonylb-Request-Id": request_id} if request_id else {}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self.note(f"client sends {request_id} {method} {path} to {self.vm.name}")
        status, answer_headers, data, complete = 0, {}, bytearray(), False
        try:
            self.writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            lines = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            status = int(lines[0].split()[1])
            for line in filter(None, lines[1:]):
                name, _, value = line.partition(":")
                answer_headers[name.strip().lower()] = value.strip()
            await self.read_body(answer_headers, data)
            complete = True
        except (OSError, asyncio.IncompleteReadError) as error:
            self.note(f"client sees the connection end: {type(error).__name__}")
        how = "whole" if complete else "NOT WHOLE"
        self.note(f"client has {request_id}: {status}, {len(data)} bytes, {how}")
        return status, answer_headers, bytes(data), complete

    async def read_body(self, headers, data):
        """Read a body with a length or in chunks into `data`."""
        if headers.get("transfer-encoding", "").lower() != "chunked":
            length = int(headers.get("content-length", "0"))
            data += await self.reader.readexactly(length)
            return
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            data += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
        await self.reader.readexactly(2)

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


def run_case(play):
    """Run a case; exit with 1 if a rule was broken, 0 if it held, 2 if it couldn't run.

    `play` gets the record and returns the breaks as texts.
    """
    note = Record()
    note(f"TROUBLE={int(TROUBLE)}")

    async def limited():
        async with asyncio.timeout(MAX_SECONDS):
            return await play(note)

    try:
        breaks = asyncio.run(limited())
    except Exception as error:  # noqa: BLE001 - any error means that it couldn't run
        note(f"the case couldn't run: {error!r}")
        sys.exit(2)
    for text in breaks:
        note(f"BROKEN {text}")
    note("the rule was broken" if breaks else "the rule held")
    sys.exit(1 if breaks else 0)
