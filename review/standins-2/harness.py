"""Small stand-ins of the users' platform, written for the second review.

Everything speaks what PROTOCOL.md says and listens on loopback addresses. The entry VMs
are the project's own program, started with the command of deploy/system.toml.
"""

import asyncio
import base64
import bisect
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import traceback
from pathlib import Path

from aiohttp import web

ROOT = Path(os.environ["REVIEW_ROOT"])
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PROGRAM = ("-m", "ebonylb.service.site_main")  # deploy/system.toml
METRICS_PORT = 9464
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.2
READ_PIECE_BYTES = 65_536


class Record:
    """Writes what was sent, answered and run, one line for each event."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def write(self, event, **fields):
        line = {"at_s": round(self.now(), 3), "event": event, **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


class Store:
    """The platform's metadata store (PROTOCOL.md), linearizable, without faults."""

    def __init__(self):
        self.delay_s = 0.004
        self.is_down = False
        self.rows = {}
        self.log = []
        self.version = 0
        self.changed = asyncio.Event()

    def apply(self, expected, puts, deletes):
        """Apply a transaction; return False if a condition does not hold."""
        for at, version in expected:
            if self.rows.get(at, (0, ""))[0] != version:
                return False
        self.version += 1
        for at, value in puts:
            self.rows[at] = (self.version, value)
            self.log.append((self.version, at, value))
        for at in deletes:
            self.rows.pop(at, None)
            self.log.append((self.version, at, None))
        self.changed.set()
        self.changed = asyncio.Event()
        return True

    def put(self, table, key, value):
        """Write a row as the operator, a trainer or a server does."""
        self.apply([], [((table, "", key), base64.b64encode(value).decode())], [])

    def delete(self, table, key):
        self.apply([], [], [(table, "", key)])

    def build_app(self):
        app = web.Application(client_max_size=4_000_000, middlewares=[self.check_up])
        app.router.add_post("/api/rows-tx", self.transact)
        app.router.add_get("/api/rows-get", self.get)
        app.router.add_get("/api/rows-feed", self.feed)
        app.router.add_get("/api/rows-parts", self.parts)
        return app

    @web.middleware
    async def check_up(self, request, handler):
        """Answer 503 to every call while the store is down: nothing was done."""
        if self.is_down:
            return web.Response(status=503)
        return await handler(request)

    def answer(self, rows, status=200, has_more=False, version=None):
        fields = []
        for version_of_row, (table, part, key), value in rows:
            row = {"Table": table, "part": part, "Key": key, "Ver": version_of_row}
            row |= {"Deleted": True} if value is None else {"Value": value}
            fields.append(row)
        body = {
            "Rows": fields,
            "HasMore": has_more,
            "Ver": self.version if version is None else version,
            "NowMs": int(time.monotonic() * 1000),
        }
        return web.json_response(body, status=status)

    async def transact(self, request):
        body = await request.json()
        at = lambda f: (f["Table"], f.get("part", ""), f["Key"])  # noqa: E731
        if {f["Table"] for f in body["Puts"] + body["Deletes"]} & {"op", "servers"}:
            return web.Response(status=403)
        expected = [(at(f), f["Ver"]) for f in body["Expected"]]
        await asyncio.sleep(self.delay_s)
        puts = [(at(f), f["Value"]) for f in body["Puts"]]
        if self.apply(expected, puts, [at(f) for f in body["Deletes"]]):
            return self.answer([])
        now = [(*self.rows[a], a) for a, _ in expected if a in self.rows]
        return self.answer([(ver, a, value) for ver, value, a in now], status=412)

    async def get(self, request):
        await asyncio.sleep(self.delay_s)
        q = request.query
        table, part = q["Table"], q.get("part", "")
        first, end = q.get("From", ""), q.get("Target", "")
        limit = min(500, int(q.get("Limit", 500)))
        rows = sorted(
            (at, ver, value)
            for at, (ver, value) in self.rows.items()
            if at[:2] == (table, part) and at[2] >= first and (not end or at[2] < end)
        )
        page = [(ver, at, value) for at, ver, value in rows[:limit]]
        return self.answer(page, has_more=len(rows) > limit)

    async def feed(self, request):
        await asyncio.sleep(self.delay_s)
        q = request.query
        table, after = q["Table"], int(q["After"])
        deadline = time.monotonic() + int(q["WaitMs"]) / 1000
        while True:
            begin = bisect.bisect_right(self.log, after, key=lambda entry: entry[0])
            rows = [entry for entry in self.log[begin:] if entry[1][0] == table]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return self.answer(rows)
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed.wait()

    async def parts(self, request):
        table = request.query["Table"]
        found = sorted({at[1] for at in self.rows if at[0] == table})
        return web.json_response(
            {"parts": found, "HasMore": False, "Ver": self.version}
        )


class Replica:
    """A replica of a service; `run` answers a request that it works on.

    It registers itself, writes its entry each heartbeat, and can crash: then its
    connections are reset, its port is closed and it writes nothing until it starts
    again, as a new incarnation under a new id. Its entry is removed after three
    heartbeat intervals of silence.
    """

    def __init__(self, site, name, service, zone, run, slots=32, version="v1"):
        self.site, self.name, self.service, self.zone = site, name, service, zone
        self.run, self.slots = run, slots
        self.software_version = version
        self.instance = f"{name}-1"
        self.starts = 1
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.is_up = False
        self.port = 0
        self.transports = set()
        self.beat_task = None
        self.read_bytes_per_s = 0
        self.controls = {}

    async def start(self):
        self.born = int(time.time() * 1000)
        app = web.Application(client_max_size=40_000_000)
        app.router.add_route("*", "/{path:.*}", self.handle)
        self.runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self.runner.setup()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        self.port = listener.getsockname()[1]
        self.listener = web.SockSite(self.runner, listener)
        await self.listener.start()
        self.is_up = True
        self.write_entry()
        self.beat_task = asyncio.create_task(self.beat())

    def write_entry(self):
        self.sequence += 1
        entry = {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.port}",
            "Zone": self.zone,
            "Version": self.software_version,
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
            **self.more_fields(),
        }
        self.site.store.put("servers", self.instance, json.dumps(entry).encode())

    def more_fields(self):
        """Return the further fields of the entry."""
        return {}

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write_entry()

    def report_draining(self):
        """Report `draining`; the store has accepted it when this returns."""
        self.state = "draining"
        self.write_entry()

    async def leave(self):
        """Remove the entry and end, some time after `draining` was reported."""
        self.beat_task.cancel()
        self.site.store.delete("servers", self.instance)
        self.site.record.write("left", replica=self.name)
        self.is_up = False
        await self.runner.cleanup()

    async def crash(self, down_s):
        """End at once with all connections reset; start again after `down_s`."""
        if not self.is_up:
            return
        self.is_up = False
        self.beat_task.cancel()
        old = self.instance
        await self.listener.stop()
        for transport in list(self.transports):
            transport.abort()
        self.site.record.write("crash", replica=self.name, instance=old)
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self.site.store.delete, "servers", old
        )
        await self.runner.cleanup()
        await asyncio.sleep(down_s)
        self.starts += 1
        self.instance = f"{self.name}-{self.starts}"
        self.running = self.sequence = 0
        await self.start()
        self.site.record.write("back", replica=self.name, instance=self.instance)

    async def read_body(self, request):
        """Read a body, slowly while `read_bytes_per_s` is set."""
        if not self.read_bytes_per_s:
            return await request.read()
        body = bytearray()
        while piece := await request.content.read(READ_PIECE_BYTES):
            body += piece
            await asyncio.sleep(len(piece) / self.read_bytes_per_s)
        return bytes(body)

    async def stop(self):
        if self.beat_task is not None:
            self.beat_task.cancel()
        if self.is_up:
            await self.runner.cleanup()

    async def handle(self, request):
        self.transports.add(request.transport)
        transport = request.transport
        headers = {
            "Ebonylb-Server-Load": f"{self.running},0,{self.slots},100",
            "Ebonylb-Instance-Id": self.instance,
        }
        request_id = request.headers.get("Ebonylb-Request-Id")
        if request_id is None and request.path in self.controls:
            return await self.controls[request.path](request)
        if request_id is None:
            return web.Response(status=200, headers=headers)
        headers["Ebonylb-Request-Id"] = request_id
        expected = request.headers.get("Ebonylb-Expect-Instance", self.instance)
        if expected != self.instance:
            headers["Ebonylb-Not-Executed"] = "1"
            return web.Response(status=421, headers=headers)
        body = await self.read_body(request)
        if self.running >= self.slots:
            headers["Ebonylb-Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
        self.site.record.write(
            "reached", replica=self.name, id=request_id, path=request.path
        )
        self.running += 1
        try:
            headers["Ebonylb-Response-Seal"] = f"seal.{request_id}"
            return await self.run(self, request, request_id, headers, body)
        finally:
            self.running -= 1
            self.transports.discard(transport)


class EntryVm:
    """One machine of class `edge` with the project's program as its only process."""

    def __init__(self, site, number, zone, settings=()):
        self.site, self.name, self.zone = site, f"edge-{zone}-{number}", zone
        self.ip = f"127.{site.net[0]}.{site.net[1]}.{number + 10}"
        self.front, self.ready, self.relay = free_ports(self.ip, 3)
        self.settings = settings
        self.process = None
        self.log = site.folder / f"{self.name}.log"

    async def start(self):
        lines = [
            f"Node={self.name}",
            "Role=entry",
            "MachineClass=edge",
            "Serves=edge",
            f"Ip={self.ip}",
            f"Zone={self.zone}",
            "Region=gorge",
            "Zones.north=gorge",
            "Zones.south=gorge",
            "Zones.east=gorge",
            f"Listen.Front={self.ip}:{self.front}",
            f"Listen.Ready={self.ip}:{self.ready}",
            f"PortRange={self.relay},{self.relay}",
            "Bootstrap=true",
            "Limits.MaxFds=8200",
            "HeartbeatMs=1200",
            "Bounds.StableWindowMs=4000",
            "Bounds.DrainMs=2500",
            "Bounds.GraceS=8",
            "Bounds.LossSlackMs=200",
            "Bounds.ConfigApplyMs=2500",
            "Bounds.StatusS=120",
            "Bounds.CancelMs=3000",
            "Bounds.SettleMs=1000",
            "Bounds.RequireFence=false",
            "Bounds.LeaseMs=3000",
            f"Platform.Address={self.site.store_address}",
            "Platform.form=table",
            "Platform.WritesPerS=800",
            "Platform.ReadsPerS=2000",
            "Platform.RowBytes=65536",
            *self.settings,
        ]
        path = self.site.folder / f"{self.name}.conf"
        path.write_text("\n".join(lines) + "\n")
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "EBONYLB_NODE_FILE": str(path),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, *PROGRAM, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.site.record.write("started", machine=self.name, pid=self.process.pid)

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def rss_bytes(self):
        """Return the resident memory of the process; 0 if it has ended."""
        with contextlib.suppress(OSError, ValueError, IndexError):
            for line in (
                Path(f"/proc/{self.process.pid}/status").read_text().split("\n")
            ):
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024
        return 0

    async def is_ready(self):
        """Return whether the machine answers 200 to a readiness check."""
        try:
            async with asyncio.timeout(1):
                connection = await Connection.open(self.ip, self.ready)
                answer = await connection.call("GET", "/api/ready", {"Host": "ready"})
                connection.close()
                return answer.status == 200
        except (OSError, TimeoutError, EOFError):
            return False

    async def wait_ready(self, timeout_s=40):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if await self.is_ready():
                self.site.record.write("ready", machine=self.name)
                return True
            await asyncio.sleep(0.1)
        return False

    async def kill(self):
        if self.is_running():
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Answer:
    """Answer to a client: status, headers with lower-case names, body."""

    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


class Connection:
    """Client connection that may be kept for many requests."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.answers = 0

    @classmethod
    async def open(cls, ip, port):
        return cls(*await asyncio.open_connection(ip, port))

    def close(self):
        self.writer.close()

    async def call(self, method, path, headers, body=b""):
        """Send a request and read its whole answer; EOFError if it does not come."""
        await self.send(method, path, headers, [body])
        return await self.receive()

    async def send(self, method, path, headers, pieces, chunked=False, pause_s=0):
        """Send a request whose body is sent in pieces with a pause after each."""
        fields = dict(headers)
        length = sum(map(len, pieces))
        if chunked:
            fields["Transfer-Encoding"] = "chunked"
        elif length or method == "POST":
            fields["Content-Length"] = str(length)
        lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for piece in pieces:
            framed = b"%x\r\n" % len(piece) + piece + b"\r\n"
            self.writer.write(framed if chunked else piece)
            await self.writer.drain()
            if pause_s:
                await asyncio.sleep(pause_s)
        if chunked:
            self.writer.write(b"0\r\n\r\n")
            await self.writer.drain()

    async def receive(self):
        try:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *lines = head.split("\r\n")[:-2]
            headers = {}
            for line in lines:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            status = int(first.split()[1])
            if headers.get("transfer-encoding", "").lower() == "chunked":
                body = b""
                while size := int(await self.reader.readline(), 16):
                    body += await self.reader.readexactly(size)
                    await self.reader.readexactly(2)
                await self.reader.readline()
            else:
                length = int(headers.get("content-length", 0))
                body = await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
            raise EOFError(str(error) or type(error).__name__) from error
        self.answers += 1
        return Answer(status, headers, body)


def free_ports(ip, count):
    """Return different ports that are free on an address."""
    with contextlib.ExitStack() as probes:
        ports = []
        for _ in range(count):
            probe = probes.enter_context(socket.socket())
            probe.bind((ip, 0))
            ports.append(probe.getsockname()[1])
        return ports


class Site:
    """Store, replicas and machines of one small deployment."""

    def __init__(self, record, folder):
        self.record, self.folder = record, Path(folder)
        self.store = Store()
        self.replicas, self.vms, self.runners = [], [], []
        self.net = (random.randrange(16, 250), random.randrange(1, 250))
        self.ids = random.Random()

    async def listen(self, app):
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        self.runners.append(runner)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        return "%s:%d" % runner.addresses[0][:2]

    async def start_store(self):
        self.store_address = await self.listen(self.store.build_app())

    def configure(self, version, routes, services, engines=None):
        """Write a configuration; the store's answer is the acknowledgement.

        `engines` has the `Engine` of model services by the name of the service.
        """
        limits = {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": 33_554_432,
            "HeaderTimeoutMs": 5_000,
            "IdleTimeoutMs": 15_000,
        }
        value = {
            "Version": version,
            "Routes": routes,
            "Services": [
                {"Name": name, "MaxConns": 180, "Engine": (engines or {}).get(name)}
                for name in services
            ],
            "Limits": limits,
        }
        self.store.put("op", "config", json.dumps(value).encode())
        self.record.write("configuration", version=version)

    async def add_replica(self, *options, kind=Replica, **more):
        replica = kind(self, *options, **more)
        self.replicas.append(replica)
        await replica.start()
        return replica

    async def add_vm(self, number, zone, settings=()):
        vm = EntryVm(self, number, zone, settings)
        self.vms.append(vm)
        await vm.start()
        return vm

    def new_id(self):
        return f"{self.ids.getrandbits(64):016x}"

    async def stop(self):
        for vm in self.vms:
            await vm.kill()
        for replica in self.replicas:
            await replica.stop()
        for runner in self.runners:
            await runner.cleanup()


def make_route(name, prefix, kind, service, **more):
    return {
        "Name": name,
        "Host": "site.example",
        "Prefix": prefix,
        "Kind": kind,
        "Service": service,
        "TimeoutMs": 2_000,
        "TargetLatencyMs": 240,
        "Priority": 2,
        "Attempts": 2,
        **more,
    }


def main(play):
    """Run a case; `play` gets the site and returns the exit code.

    The record goes to the file named by the first argument.
    """

    async def run():
        with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as folder:
            site = Site(Record(sys.argv[1]), folder)
            site.record.write("begin", trouble=TROUBLE)
            try:
                async with asyncio.timeout(110):
                    await site.start_store()
                    code = await play(site)
            except Exception as error:
                traceback.print_exc()
                site.record.write("could not run", cause=repr(error))
                code = NOT_RUN
            finally:
                await site.stop()
            if code == NOT_RUN or os.environ.get("KEEP_LOGS"):
                for vm in site.vms:
                    tail = vm.log.read_text(errors="replace").split("\n")[-30:]
                    print(f"-- {vm.name}", *tail, sep="\n", file=sys.stderr)
            site.record.write("end", exit=code)
            print({0: "held", 1: "broken", 2: "could not run"}[code])
            return code

    sys.exit(asyncio.run(run()))
