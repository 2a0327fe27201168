"""A small deployment on loopback: the platform's store, and entry VM processes.

The entry VMs are started with the command of the deploy file, with a settings file like
that of a small deployment. The store is the project's own stand-in.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from aiohttp import web

from ebonylb_standins.site.http_store import HttpStore

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
ZONES = {"east-a": "east", "east-b": "east", "west-a": "west"}
START_TIMEOUT_S = 30.0
# Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2


def has_trouble():
    """Return whether the case brings its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, as lines of JSON."""

    def __init__(self, folder):
        self.path = Path(folder) / "record.txt"
        self.file = self.path.open("w")
        self.started_s = time.monotonic()

    def add(self, what, **fields):
        """Add one line with the time since the start."""
        at_ms = round((time.monotonic() - self.started_s) * 1000, 1)
        self.file.write(json.dumps({"at_ms": at_ms, "what": what, **fields}) + "\n")

    def close(self):
        self.file.close()


def free_ports(ip, count):
    """Return different ports of an address that are free now."""
    with contextlib.ExitStack() as probes:
        ports = []
        for _ in range(count):
            probe = probes.enter_context(socket.socket())
            probe.bind((ip, 0))
            ports.append(probe.getsockname()[1])
        return ports


def run_command():
    """Return the words of the command that the deploy file names."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    words = deploy["roles"]["entry"]["run"].split()
    return [sys.executable if words[0] == "python3" else words[0], *words[1:]]


class EntryVm:
    """One entry VM as a process of its own."""

    def __init__(self, name, zone, ip, store_address, folder, bounds):
        self.name, self.zone, self.ip = name, zone, ip
        self.store_address, self.folder, self.bounds = store_address, Path(folder), bounds
        self.front_port, self.ready_port, self.node_port = free_ports(ip, 3)
        self.process = None

    def write_settings(self):
        """Write the settings file in the platform's format and return its path."""
        lines = [
            f"Node={self.name}",
            "Role=entry",
            "MachineClass=edge",
            "Serves=edge",
            f"Ip={self.ip}",
            f"Zone={self.zone}",
            f"Region={ZONES[self.zone]}",
            *(f"Zones.{zone}={region}" for zone, region in ZONES.items()),
            f"Listen.Front={self.ip}:{self.front_port}",
            f"Listen.Ready={self.ip}:{self.ready_port}",
            f"PortRange={self.node_port},{self.node_port}",
            "Bootstrap=true",
            "Limits.MemoryMb=320",
            "Limits.MaxFds=8200",
            "Discovery=platform",
            "HeartbeatMs=1200",
            *(f"Bounds.{key}={value}" for key, value in self.bounds.items()),
            f"Platform.Address={self.store_address}",
            "Platform.form=table",
            "Platform.RowBytes=65536",
        ]
        path = self.folder / f"{self.name}.conf"
        path.write_text("\n".join(lines) + "\n")
        return path

    async def start(self):
        """Start the process; its log goes to a file in the temporary folder."""
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["EBONYLB_NODE_FILE"] = str(self.write_settings())
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *run_command(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        """Kill the process, and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self):
        """Return whether the readiness check gets a 200."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        return False


DEFAULT_BOUNDS = {
    "StableWindowMs": 4000,
    "AckMs": 5000,
    "DrainMs": 2500,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2500,
    "LeaseMs": 3000,
    "StatusS": 120,
    "CancelMs": 3000,
    "SettleMs": 1000,
}


class SmallSite:
    """Store and entry VMs; an async context manager that ends all it started."""

    def __init__(self, routes, services, entry_vms=3, limits=None):
        self.configuration = {
            "Version": 3,
            "Routes": routes,
            "Services": services,
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 4194304,
                "HeaderTimeoutMs": 10000,
                "IdleTimeoutMs": 15000,
                **(limits or {}),
            },
        }
        self.count = entry_vms
        self.vms = []
        self.resources = contextlib.AsyncExitStack()

    async def __aenter__(self):
        self.folder = self.resources.enter_context(
            tempfile.TemporaryDirectory(ignore_cleanup_errors=True)
        )
        self.store = HttpStore()
        self.put("op", "config", self.configuration)
        runner = web.AppRunner(self.store.build_app(), handler_cancellation=True, shutdown_timeout=0.1)
        await runner.setup()
        self.resources.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.store_address = "127.0.0.1:%d" % runner.addresses[0][1]
        return self

    async def __aexit__(self, *error):
        await asyncio.gather(*(vm.end() for vm in self.vms))
        await self.resources.aclose()

    def put(self, table, key, value):
        """Write a row as the operator or a replica does."""
        self.store.data.put(table, key, json.dumps(value).encode())

    async def start_vms(self):
        """Start the entry VMs and wait until all are ready."""
        net = f"127.{random.randrange(20, 250)}.{random.randrange(250)}"
        for number in range(self.count):
            zone = list(ZONES)[number % 3]
            vm = EntryVm(
                f"edge-{zone}-{number}", zone, f"{net}.{number + 1}",
                self.store_address, self.folder, DEFAULT_BOUNDS,
            )
            self.vms.append(vm)
            await vm.start()
        limit_s = time.monotonic() + START_TIMEOUT_S
        for vm in self.vms:
            while not await vm.is_ready():
                if time.monotonic() > limit_s:
                    raise RuntimeError(f"{vm.name} was not ready in time")
                await asyncio.sleep(0.1)

    def keep_logs(self, folder):
        """Copy the logs of the entry VMs, for a look after a run by hand."""
        for path in Path(self.folder).glob("*.log"):
            (Path(folder) / path.name).write_bytes(path.read_bytes())


async def read_message(reader):
    """Read one HTTP message; return its first line, its fields and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in head[1:]:
        name, separator, value = line.partition(":")
        if separator:
            fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif int(fields.get("content-length", 0)):
        body = await reader.readexactly(int(fields["content-length"]))
    return head[0], fields, body


def make_message(first_line, fields, body=b""):
    """Return the bytes of an HTTP message with a length."""
    fields = {**fields, "Content-Length": len(body)}
    lines = [first_line, *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def ask(vm, method, path, request_id, deadline_ms, body=b"", timeout_s=None, **fields):
    """Send one client attempt on a new connection.

    Returns the status, the fields and the body, or None, {} and b"" where the connection
    ended without an answer.
    """
    head = {
        "Host": HOST,
        "Ebonylb-Request-Id": request_id,
        "Ebonylb-Deadline-Ms": deadline_ms,
        **{name.replace("_", "-"): value for name, value in fields.items()},
    }
    writer = None
    try:
        async with asyncio.timeout(timeout_s or deadline_ms / 1000 + 1.5):
            reader, writer = await asyncio.open_connection(vm.ip, vm.front_port)
            writer.write(make_message(f"{method} {path} HTTP/1.1", head, body))
            line, answer, answer_body = await read_message(reader)
            return int(line.split()[1]), answer, answer_body
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return None, {}, b""
    finally:
        if writer is not None:
            writer.close()
