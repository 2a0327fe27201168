"""Cost of large batch jobs: time per item, and the longest pause of an entry VM.

``python -m ebonylb_standins.bench.large_jobs`` starts three entry VM processes beside a
store and engines of this process, and prints a table and JSON. Time per item must not
grow with the number of items. A process of its own asks the entry VMs all the while
whether they are ready; the longest time to an answer shows their longest pause.
"""

import argparse
import asyncio
import contextlib
import functools
import json
import multiprocessing
import socket
import statistics
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from multiprocessing.connection import Connection

from ebonylb.batches import rows
from ebonylb.batches.model import Progress

from ..site.http_site import EntryVmProcess, HttpSite

SIZES = (1_000, 2_048, 6_000, 30_000)
# The letter on the aim names seven trainers with 2,048 samples a step.
TRAINERS = 7
SAMPLES = 2_048
SHORT_EVENTS = 2
LONG_EVENTS = 3_000
FIRST_IP = 380
PING_INTERVAL_S = 0.002
POLL_INTERVAL_S = 0.05
HOLD_S = 3.0


def ping(addresses: list[str], commands: Connection) -> None:
    """Ask for readiness until told to end; report the times of each phase.

    Each command is answered with the list of times in ms since the last one.
    """
    times_ms: list[float] = []
    while True:
        for address in addresses:
            host, port = address.split(":")
            began_s = time.perf_counter()
            with contextlib.suppress(OSError):
                with socket.create_connection((host, int(port)), timeout=10) as peer:
                    peer.sendall(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    if peer.recv(1_024):
                        times_ms.append((time.perf_counter() - began_s) * 1_000)
        if commands.poll(PING_INTERVAL_S):
            if commands.recv() == "end":
                return
            commands.send(times_ms)
            times_ms = []


@dataclass
class Phase:
    """Duration of a phase, and times in which entry VMs said that they are ready."""

    seconds: float = 0.0
    median_ms: float = 0.0
    longest_ms: float = 0.0


@dataclass
class Measurement:
    """Figures of one run."""

    name: str
    items: int
    pinger: Connection
    phases: dict[str, Phase] = field(default_factory=dict)

    def read_times(self) -> list[float]:
        """Return the times since the last call."""
        self.pinger.send("read")
        return self.pinger.recv()

    @contextlib.asynccontextmanager
    async def phase(self, name: str) -> AsyncIterator[None]:
        """Measure a phase."""
        await asyncio.to_thread(self.read_times)
        began_s = time.perf_counter()
        yield
        seconds = time.perf_counter() - began_s
        times_ms = await asyncio.to_thread(self.read_times) or [0.0]
        self.phases[name] = Phase(seconds, statistics.median(times_ms), max(times_ms))


async def wait_for(condition, timeout_s: float = 300.0) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110 - the state has no event
            await asyncio.sleep(POLL_INTERVAL_S)


def count_running(site: HttpSite) -> int:
    """Return the number of items that run on engines."""
    return sum(server.running for server in site.servers.values())


def count_slots(site: HttpSite) -> int:
    """Return the number of slots of all engines."""
    return sum(server.slots for server in site.servers.values())


def read_progress(site: HttpSite, batch_id: str) -> list[Progress]:
    """Return the states of a job's row in the store, oldest first.

    Logs do not tell: entry VMs drop lines when they write too many.
    """
    return [
        rows.decode_progress(row)
        for row in site.store.data.log
        if row.row_key.table == rows.PROGRESS_TABLE and row.row_key.key == batch_id
    ]


def is_ended(site: HttpSite, batch_id: str) -> bool:
    """Return whether all results of a job are stored."""
    row = site.store.data.rows.get(rows.progress_key(batch_id))
    return row is not None and rows.decode_progress(row).ended


def find_holders(site: HttpSite, batch_id: str) -> list[str]:
    """Return the names of the entry VMs that have held a job, in order."""
    names = (progress.holder for progress in read_progress(site, batch_id))
    return list(dict.fromkeys(name for name in names if name))


async def submit(
    site: HttpSite, vm: EntryVmProcess, batch_id: str, body: bytes
) -> None:
    """Submit a job, which must be accepted."""
    status, _, _ = await site.call(vm, "POST", "/batch/x", batch_id, body)
    assert status == 202, status


async def list_results(site: HttpSite, vm: EntryVmProcess, batch_id: str) -> int:
    """Read a job from its start and return the number of results."""
    position = 0
    while True:
        path = f"/api/lots/{batch_id}?After={position}"
        status, body, _ = await site.call(vm, "GET", path)
        assert status == 200, status
        page = json.loads(body)
        position = page["Next"]
        if not page["Results"] or position >= page["Total"]:
            return position


@contextlib.asynccontextmanager
async def open_site(
    name: str, items: int
) -> AsyncIterator[tuple[HttpSite, Measurement]]:
    """Start a site and the process that asks its entry VMs for readiness."""
    async with HttpSite(first_ip=FIRST_IP, entry_vms=3, engines=5, desks=0) as site:
        ours, theirs = multiprocessing.Pipe()
        addresses = [vm.ready_address for vm in site.vms.values()]
        process = multiprocessing.get_context("spawn").Process(
            target=ping, args=(addresses, theirs), daemon=True
        )
        process.start()
        try:
            yield site, Measurement(name, items, ours)
        finally:
            ours.send("end")
            await asyncio.to_thread(process.join, 15)


async def run_job(items: int) -> Measurement:
    """Run one job to its end and list it; then lose the holder of a second one."""
    async with open_site("one job", items) as (site, measurement):
        vms = list(site.vms.values())
        short = site.batch_body("short", [SHORT_EVENTS] * items)
        async with measurement.phase("create"):
            await submit(site, vms[0], "short", short)
        async with measurement.phase("run"):
            await wait_for(lambda: is_ended(site, "short"))
        async with measurement.phase("list"):
            assert await list_results(site, vms[1], "short") == items
        await submit(
            site, vms[0], "long", site.batch_body("long", [LONG_EVENTS] * items)
        )
        slots = count_slots(site)
        async with measurement.phase("start"):
            await wait_for(lambda: count_running(site) == slots)
        async with measurement.phase("hold"):
            await asyncio.sleep(HOLD_S)
        (holder_name,) = find_holders(site, "long")
        holder = site.vms[holder_name]
        async with measurement.phase("takeover"):
            await holder.kill()
            await wait_for(lambda: len(find_holders(site, "long")) == 2)
            await wait_for(lambda: count_running(site) == slots)
        other = next(vm for vm in vms if vm is not holder)
        async with measurement.phase("end"):
            status, _, _ = await site.call(other, "DELETE", "/api/lots/long")
            assert status == 200, status
            await wait_for(lambda: count_running(site) == 0)
    return measurement


async def run_trainers() -> Measurement:
    """Run the jobs of all trainers at once on three entry VMs."""
    async with open_site("jobs at once", TRAINERS * SAMPLES) as (site, measurement):
        vms = list(site.vms.values())
        batch_ids = [f"job-{number}" for number in range(TRAINERS)]
        bodies = [
            site.batch_body(batch_id, [SHORT_EVENTS] * SAMPLES)
            for batch_id in batch_ids
        ]
        async with measurement.phase("create"):
            await asyncio.gather(
                *(
                    submit(site, vms[number % 3], batch_id, body)
                    for number, (batch_id, body) in enumerate(
                        zip(batch_ids, bodies, strict=True)
                    )
                )
            )
        async with measurement.phase("run"):
            for batch_id in batch_ids:
                await wait_for(functools.partial(is_ended, site, batch_id))
        async with measurement.phase("list"):
            for batch_id in batch_ids:
                assert await list_results(site, vms[0], batch_id) == SAMPLES
        for batch_id in batch_ids:
            assert len(find_holders(site, batch_id)) == 1, "taken over"
    return measurement


def print_table(measurements: list[Measurement]) -> None:
    """Print the time per item and the times to an answer in each phase."""
    columns = f"{'s':>8} {'us/item':>9} {'median ms':>10} {'longest ms':>11}"
    print(f"{'run':<13} {'items':>7}  {'phase':<9} {columns}")
    for measurement in measurements:
        for name, phase in measurement.phases.items():
            per_item_us = phase.seconds / measurement.items * 1e6
            print(
                f"{measurement.name:<13} {measurement.items:>7}  {name:<9} "
                f"{phase.seconds:>8.3f} {per_item_us:>9.1f} "
                f"{phase.median_ms:>10.1f} {phase.longest_ms:>11.1f}"
            )


def main() -> None:
    """Run all sizes and the jobs of all trainers; print a table and JSON."""
    parser = argparse.ArgumentParser(prog="python -m ebonylb_standins.bench.large_jobs")
    parser.add_argument("--items", type=int, action="append")
    options = parser.parse_args()
    measurements = [asyncio.run(run_job(n)) for n in options.items or SIZES]
    if not options.items:
        measurements.append(asyncio.run(run_trainers()))
    print_table(measurements)
    summary = [
        {
            "run": m.name,
            "items": m.items,
            **{name: vars(phase) for name, phase in m.phases.items()},
        }
        for m in measurements
    ]
    print(json.dumps(summary))


if __name__ == "__main__":
    main()
