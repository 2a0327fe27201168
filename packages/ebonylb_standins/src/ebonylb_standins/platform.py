"""Stand-in for the platform: tables, objects, weight store and VM list."""

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec
from aiohttp import web

from ebonylb.interfaces import Check, VmEntry, VmState, WeightVersion, Write

from .server import (
    Address,
    Control,
    Faults,
    StandInServer,
    drop_connection,
    option,
    serve,
)
from .tables import Tables

# Weights are sent in blocks so that concurrent transfers share the rate.
TRANSFER_BLOCK_BYTES = 65_536
MAX_SNAPSHOTS = 10_000  # versions of the VM list


class PlatformFaults(Faults):
    """Settings of ``/control`` for the platform.

    Parameters
    ----------
    lose_answers : float
        Share of transactions that take effect but whose connection then breaks.
    read_lag_ms : float
        Age of the rows that scans and reads without `strong` return.
    list_lag_ms : float
        Age of the VM list that is returned.
    writes_per_s, reads_per_s : float
        Maximum rates, beyond which requests wait; 0 means no limit.
    weights_bytes_per_s : float
        Rate of the weight store, shared by all transfers.
    """

    lose_answers: float = 0.0
    read_lag_ms: float = 0.0
    list_lag_ms: float = 0.0
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0
    weights_bytes_per_s: float = 100_000_000.0


class Transaction(msgspec.Struct):
    """Body of ``POST /tables/transact``."""

    write_id: str
    checks: list[Check]
    writes: list[Write]


class RateLimiter:
    """Limits a rate by spacing events evenly, in order of arrival."""

    def __init__(self) -> None:
        self.next_free_s = 0.0

    async def wait(self, count: float, per_s: float) -> None:
        """Wait until `count` more events fit the rate."""
        if per_s <= 0:
            return
        self.next_free_s = max(self.next_free_s, time.monotonic()) + count / per_s
        await asyncio.sleep(self.next_free_s - time.monotonic())


class Platform(StandInServer):
    """HTTP server of the platform stand-in.

    Parameters
    ----------
    control : str
        Initial settings as JSON.
    seed : int
        Seed of the choice of transactions for `lose_answers`.
    """

    def __init__(self, control: str = "{}", seed: int = 0) -> None:
        super().__init__(PlatformFaults(), control)
        self.random = random.Random(seed)
        self.tables = Tables()
        self.objects: dict[str, bytes] = {}
        self.weight_versions: dict[str, dict[int, WeightVersion]] = {}
        self.vms: dict[str, VmEntry] = {}
        self.vm_list_snapshots: list[tuple[float, list[VmEntry]]] = []
        self.write_limiter, self.read_limiter, self.weights_limiter = (
            RateLimiter(),
            RateLimiter(),
            RateLimiter(),
        )

    def application(self) -> web.Application:
        """Return the application with all routes."""
        app = super().application()
        app.router.add_post("/tables/transact", self.transact)
        app.router.add_get("/tables/row", self.read_row)
        app.router.add_get("/tables/rows", self.scan_rows)
        app.router.add_get("/tables/writes/{write_id}", self.find_write)
        app.router.add_put("/objects/{key}", self.put_object)
        app.router.add_get("/objects/{key}", self.get_object)
        app.router.add_get("/weights/latest/{service}", self.read_latest)
        app.router.add_post("/weights/publish", self.publish_version)
        app.router.add_get("/weights/data/{service}/{version}", self.send_weights)
        app.router.add_get("/vms", self.list_vms)
        app.router.add_post("/vms", self.register_vm)
        app.router.add_delete("/vms/{name}", self.remove_vm)
        return app

    async def transact(self, request: web.Request) -> web.StreamResponse:
        """Apply a transaction; drop the connection for a share of the responses."""
        try:
            body = msgspec.json.decode(await request.read(), type=Transaction)
        except msgspec.MsgspecError as error:
            return web.json_response({"error": str(error)}, status=400)
        await self.write_limiter.wait(1, self.faults.writes_per_s)
        self.counters["writes"] += 1
        rows = self.tables.transact(body.write_id, body.checks, body.writes)
        if rows is not None:
            self.counters["conflicts"] += 1
            return json_response({"rows": rows}, status=409)
        if self.random.random() < self.faults.lose_answers:
            self.counters["lost_answers"] += 1
            return drop_connection(request)
        return json_response({"write_id": body.write_id})

    async def admit_read(self, request: web.Request) -> None:
        """Wait for the read rate limit and count the read."""
        await self.read_limiter.wait(1, self.faults.reads_per_s)
        self.counters["reads"] += 1

    async def read_row(self, request: web.Request) -> web.Response:
        """Return a row as of `read_lag_ms` ago, or the current one if ``strong=1``."""
        await self.admit_read(request)
        strong = request.query.get("strong") == "1"
        row = self.tables.read(
            request.query["table"],
            request.query["key"],
            0 if strong else self.faults.read_lag_ms,
        )
        return json_response({"row": row})

    async def scan_rows(self, request: web.Request) -> web.Response:
        """Return rows in key order as of `read_lag_ms` ago."""
        await self.admit_read(request)
        rows = self.tables.scan(
            request.query["table"],
            request.query.get("prefix", ""),
            request.query.get("after", ""),
            int(request.query.get("limit", "500")),
            self.faults.read_lag_ms,
        )
        return json_response({"rows": rows})

    async def find_write(self, request: web.Request) -> web.Response:
        """Return whether a write id has been applied, without lag."""
        await self.admit_read(request)
        found = request.match_info["write_id"] in self.tables.applied_write_ids
        return json_response({"found": found})

    async def put_object(self, request: web.Request) -> web.Response:
        """Store an object unless its key exists."""
        body = await request.read()
        await self.write_limiter.wait(1, self.faults.writes_per_s)
        self.counters["object_writes"] += 1
        self.objects.setdefault(request.match_info["key"], body)
        return web.Response(status=204)

    async def get_object(self, request: web.Request) -> web.Response:
        """Return an object."""
        await self.read_limiter.wait(1, self.faults.reads_per_s)
        self.counters["object_reads"] += 1
        body = self.objects.get(request.match_info["key"])
        if body is None:
            return web.Response(status=404)
        return web.Response(body=body)

    async def publish_version(self, request: web.Request) -> web.Response:
        """Publish a weight version, which must be higher than the previous ones."""
        published = msgspec.json.decode(await request.read(), type=WeightVersion)
        versions = self.weight_versions.setdefault(published.service, {})
        if published.version <= max(versions, default=0):
            return json_response({"latest": versions[max(versions)]}, status=409)
        versions[published.version] = published
        return json_response({"latest": published})

    async def read_latest(self, request: web.Request) -> web.Response:
        """Return the latest weight version of a service."""
        self.counters["weight_reads"] += 1
        versions = self.weight_versions.get(request.match_info["service"], {})
        return json_response({"latest": versions[max(versions)] if versions else None})

    async def send_weights(self, request: web.Request) -> web.StreamResponse:
        """Send the weights of a version at the rate that all transfers share."""
        versions = self.weight_versions.get(request.match_info["service"], {})
        version = versions.get(int(request.match_info["version"]))
        if version is None:
            return web.Response(status=404)
        self.counters["weight_transfers"] += 1
        domain = request.headers.get("X-Failure-Domain", "")
        self.counters[f"weight_bytes_to_{domain}"] += version.size_bytes
        response = web.StreamResponse()
        response.content_length = version.size_bytes
        await response.prepare(request)
        remaining_bytes = version.size_bytes
        while remaining_bytes > 0:
            block = min(remaining_bytes, TRANSFER_BLOCK_BYTES)
            await self.weights_limiter.wait(block, self.faults.weights_bytes_per_s)
            await response.write(bytes(block))
            remaining_bytes -= block
        await response.write_eof()
        return response

    def record_snapshot(self) -> None:
        """Store a snapshot of the VM list for reads with `list_lag_ms`."""
        entry = (time.monotonic() * 1000, list(self.vms.values()))
        self.vm_list_snapshots.append(entry)
        del self.vm_list_snapshots[:-MAX_SNAPSHOTS]

    async def list_vms(self, request: web.Request) -> web.Response:
        """Return the VM list as of `list_lag_ms` ago."""
        self.counters["list_reads"] += 1
        latest_ms = time.monotonic() * 1000 - self.faults.list_lag_ms
        for recorded_ms, entries in reversed(self.vm_list_snapshots):
            if recorded_ms <= latest_ms:
                return json_response({"entries": entries})
        return json_response({"entries": []})

    async def register_vm(self, request: web.Request) -> web.Response:
        """Add or replace a VM entry; state ``leaving`` announces its shutdown."""
        entry = msgspec.json.decode(await request.read(), type=VmEntry)
        self.vms[entry.name] = entry
        self.record_snapshot()
        return json_response({"entries": list(self.vms.values())})

    async def remove_vm(self, request: web.Request) -> web.Response:
        """Remove a VM entry."""
        self.vms.pop(request.match_info["name"], None)
        self.record_snapshot()
        return json_response({"entries": list(self.vms.values())})

    def describe_state(self) -> dict:
        """Return the VM list without lag."""
        leaving = [vm.name for vm in self.vms.values() if vm.state == VmState.LEAVING]
        return {"vms": sorted(self.vms), "leaving": leaving}


def json_response(body: object, status: int = 200) -> web.Response:
    """Return a JSON response encoded with msgspec, which supports the data classes."""
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )


@dataclass
class Options:
    """Stand-in for the platform."""

    address: Address = "127.0.0.1:0"
    control: Control = "{}"
    seed: Annotated[int, option("seed of lost answers")] = 0


def main() -> None:
    """Run the platform."""
    options = cappa.parse(Options)
    platform = Platform(options.control, options.seed)
    asyncio.run(serve(platform.application(), options.address, "platform"))


if __name__ == "__main__":
    main()
