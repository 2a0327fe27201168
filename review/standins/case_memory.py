"""LOST: bodies that come in chunks bypass the bound on memory; the process is killed."""

import asyncio
import os

import review_site
from aiohttp import web
from review_site import TROUBLE, Connection, Replica, Site, run_case

# sites/songhuong-ops.toml: 170 MB a machine.
MEMORY_MB = 170
BODY_BYTES = 32_000_000
UPLOADS = 4
KEPT = 6
MAX_LOST = 3
review_site.SETTINGS = (*review_site.SETTINGS, f"Limits.MemoryMb={MEMORY_MB}")


class ReadingReplica(Replica):
    """Replica that takes bodies up to the limit of the configuration."""

    def build_app(self):
        """Return the application with that limit."""
        app = super().build_app()
        app._client_max_size = 33_554_432
        return app


class ReadingSite(Site):
    """Site with such replicas."""

    replica = ReadingReplica


def resident_bytes(vm):
    """Return the resident memory of a process."""
    with open(f"/proc/{vm.process.pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


async def watch_memory(note, vm):
    """Kill a process that exceeds its memory, as the platform does; return its peak."""
    peak = 0
    try:
        while vm.is_running():
            peak = max(peak, resident_bytes(vm))
            if peak > MEMORY_MB * 1_000_000:
                note(f"{vm.name} has {peak / 1e6:.0f} MB of {MEMORY_MB}: killed")
                await vm.kill()
            await asyncio.sleep(0.005)
    except (OSError, asyncio.CancelledError):
        pass
    note(f"{vm.name}: {peak / 1e6:.0f} MB at most")


async def upload(note, vm, number):
    """Send a body of 32 MB, with a length or in chunks."""
    host, port = vm.front_address.split(":")
    body = os.urandom(BODY_BYTES)
    framing = "Transfer-Encoding: chunked" if TROUBLE else f"Content-Length: {len(body)}"
    head = (
        f"POST /ask/200 HTTP/1.1\r\nHost: {review_site.HOST}\r\n"
        f"Ebonylb-Request-Id: {number:016x}\r\nEbonylb-Deadline-Ms: 9000\r\n"
    )
    note(f"client sends {number:016x} with {len(body)} bytes, {framing}")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"{head}{framing}\r\n\r\n".encode())
        for start in range(0, len(body), 65_536):
            piece = body[start : start + 65_536]
            if TROUBLE:
                piece = f"{len(piece):x}\r\n".encode() + piece + b"\r\n"
            writer.write(piece)
            await writer.drain()
        if TROUBLE:
            writer.write(b"0\r\n\r\n")
        answer = await reader.readuntil(b"\r\n\r\n")
        note(f"client has {number:016x}: {answer.splitlines()[0].decode()}")
        writer.close()
    except (OSError, asyncio.IncompleteReadError) as error:
        note(f"client has {number:016x}: {type(error).__name__}")


async def play(note):
    async with ReadingSite(note, desks=4) as site:
        vm = site.vms["vm-0"]
        kept = [Connection(note, vm) for _ in range(KEPT)]
        for number, connection in enumerate(kept):
            await connection.request("POST", "/book/20", f"first-{number}")
        watcher = asyncio.create_task(watch_memory(note, vm))
        asked = [
            asyncio.create_task(
                connection.request(
                    "POST", "/book/3000", f"kept-{n}", Ebonylb_Deadline_Ms=9000
                )
            )
            for n, connection in enumerate(kept)
        ]
        await asyncio.sleep(0.5)
        await asyncio.gather(*(upload(note, vm, n) for n in range(UPLOADS)))
        lost = 0
        for number, task in enumerate(asked):
            _, _, _, complete = await task
            runs = sum(s.run_counts[f"kept-{number}"] for s in site.servers.values())
            lost += bool(runs) and not complete
        watcher.cancel()
        await watcher
        note(f"{lost} requests from kept connections passed on and not answered")
        if lost > MAX_LOST:
            return [
                f"LOST {lost} requests from kept connections were passed on to sound "
                "replicas and their connections closed without an answer"
            ]
        return []


run_case(play)
