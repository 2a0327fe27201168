"""Entry VM processes that must not end by themselves, under the platform's limits."""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import resource
import signal
import socket

import aiohttp
import pytest

from ebonylb.batches import rows
from ebonylb.platform.node_settings import METRICS_PORT
from ebonylb_standins.site.http_site import HOST, HttpSite
from ebonylb_standins.site.memory_limit import MemoryLimit

# Of the smallest entry VMs of the users' sites.
MEMORY_MB = 170
TIMEOUT_S = 90.0
# A trainer sends a refused submission again for about this long.
SUBMISSION_TIMEOUT_S = 12.0
# Time after which a request must be served when all entry VMs have returned.
RECOVERY_S = 12.0
ADDRESS_IN_USE_S = 2.5
CONNECTIONS = 1_500
BODY_BYTES = 60_000
LARGE_UPLOADS = 8
LARGE_UPLOAD_BYTES = 20_000_000
RETRY_TIMEOUT_S = 2.0
# After the start of a process, which takes some time to read its settings.
SETTINGS_DELAY_S = 1.2
# An item may be at no backend server for this long before its step counts as stuck.
HOLDER_TIMEOUT_S = 5.0


def make_site(first_ip, entry_vms):
    """Return a site whose entry VMs have a limit on their memory."""
    return HttpSite(
        first_ip=first_ip,
        entry_vms=entry_vms,
        settings=(f"Limits.MemoryMb={MEMORY_MB}",),
    )


def encode_batch(batch_id, items, body_bytes):
    """Return a submission whose items have bodies that cannot be compressed."""
    return json.dumps(
        {
            "Step": 0,
            "Model": "m",
            "MinVersion": 1,
            "TargetGroups": 1,
            "Items": [
                {
                    "Id": f"{batch_id}-{number}",
                    # As many events as keep the item running until the end of a test.
                    "Path": f"/batch/{number}/3000",
                    "Headers": {
                        "Ebonylb-Model": "m",
                        "Ebonylb-Token-Usage": "100,2000",
                        "Ebonylb-Prompt-Prefix": f"ab{number // 4}:100",
                    },
                    "Body": base64.b64encode(os.urandom(body_bytes)).decode(),
                    "Tokens": 2_100,
                    "Group": f"g{number // 4}",
                }
                for number in range(items)
            ],
        }
    ).encode()


async def submit(site, batch_id, body):
    """Submit a batch at one entry VM after the other; return whether it is accepted."""
    vms = list(site.vms.values())
    number = int(batch_id[1:])
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SUBMISSION_TIMEOUT_S):
            while True:
                vm = vms[number % len(vms)]
                number += 1
                with contextlib.suppress(aiohttp.ClientError, OSError):
                    status, _, _ = await site.call(
                        vm, "POST", "/batch/x", batch_id, body
                    )
                    if status == 202:
                        return True
                    assert status in (502, 503)
                await asyncio.sleep(0.3)
    return False


async def is_served(site, vm, request_id):
    """Return whether a plain request is served."""
    with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
        async with asyncio.timeout(2):
            status, _, _ = await site.call(
                vm, "POST", "/ask/1", request_id, b"x", Ebonylb_Deadline_Ms="2000"
            )
            return status == 200
    return False


async def find_holder(site, batch_id):
    """Return the name of the entry VM that holds a batch; wait until there is one."""
    async with asyncio.timeout(HOLDER_TIMEOUT_S):
        while True:
            row = site.store.data.rows[rows.progress_key(batch_id)]
            holder = rows.decode_progress(row).holder
            if holder:
                return holder
            await asyncio.sleep(0.05)


async def read_readiness(site, vm):
    """Return the status of a readiness check."""
    async with site.http.get(f"http://{vm.ready_address}/api/ready") as response:
        return response.status


async def read_metrics(site, vm):
    """Read the metrics page, again until there is one."""
    while True:
        with contextlib.suppress(aiohttp.ClientError, OSError):
            await site.read_metrics(vm)
            return
        await asyncio.sleep(0.05)


async def read_item_body(site, vm, batch_id, number):
    """Return the length of an item's body, asked for until an answer has it."""
    while True:
        status, body, _ = await site.call(
            vm, "GET", f"/api/items/{batch_id}?Id={batch_id}-{number}"
        )
        if status == 200:
            return len(body)
        assert status == 503
        await asyncio.sleep(0.1)


@pytest.mark.xdist_group("process ends")
class TestMemoryOfBatches:
    # Guards against processes that are killed one after the other, since open batches
    # have no bound and move from each to the next, and again after each start.
    @pytest.mark.parametrize(
        "batches, items, body_bytes",
        [(6, 100, 155_000), (12, 100, 100_000), (6, 30_000, 1)],
        ids=["few large", "many", "small items"],
    )
    def test_open_batches_do_not_exceed_the_memory(self, batches, items, body_bytes):
        async def scenario():
            async with (
                asyncio.timeout(TIMEOUT_S),
                make_site(first_ip=500, entry_vms=3) as site,
                MemoryLimit(site, MEMORY_MB).watch() as limit,
            ):
                bodies = {
                    f"b{number}": encode_batch(f"b{number}", items, body_bytes)
                    for number in range(batches)
                }
                accepted = await asyncio.gather(
                    *(submit(site, batch_id, body) for batch_id, body in bodies.items())
                )
                # Each of three entry VMs has room for one at least.
                assert sum(accepted) >= 3
                assert await is_served(site, site.vms["vm-0"], "before")
                assert (limit.kills, limit.own_ends) == ([], [])
                await limit.kill_all()
                await asyncio.sleep(RECOVERY_S)
                for name, vm in site.vms.items():
                    assert await is_served(site, vm, f"after-{name}")
                accepted_ids = itertools.compress(bodies, accepted)
                for batch_id in accepted_ids:
                    assert await find_holder(site, batch_id) in site.vms
                    for vm in site.vms.values():
                        size = await read_item_body(site, vm, batch_id, items - 1)
                        assert size == body_bytes
                assert (limit.kills, limit.own_ends) == ([], [])
                assert limit.peak_mb < MEMORY_MB

        asyncio.run(scenario())


@pytest.mark.xdist_group("process ends")
class TestStart:
    # Guards against processes that a change of the settings ends while they start.
    def test_sighup_does_not_end_a_process_that_starts(self):
        async def scenario():
            async with (
                asyncio.timeout(TIMEOUT_S),
                make_site(first_ip=500, entry_vms=1) as site,
            ):
                vm = site.vms["vm-0"]
                await vm.kill()
                await vm.start()
                while not vm.has_begun():  # noqa: ASYNC110 - the state has no event
                    await asyncio.sleep(0.001)
                ready = asyncio.create_task(site.wait_ready(vm))
                while not ready.done():
                    assert vm.is_running(), vm.process.returncode
                    vm.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.01)
                await ready
                assert await is_served(site, vm, "after-sighup")

        asyncio.run(scenario())

    # Guards against a process that ends, again at each start, since an address is in
    # use for a moment, and against callers who wait for one that they don't need.
    @pytest.mark.parametrize("name", ["callers", "readiness", "relay", "metrics"])
    def test_an_address_in_use_does_not_end_a_process(self, name):
        async def scenario():
            async with (
                asyncio.timeout(TIMEOUT_S),
                make_site(first_ip=500, entry_vms=1) as site,
            ):
                vm = site.vms["vm-0"]
                await vm.kill()
                address = {
                    "callers": vm.front_address,
                    "readiness": vm.ready_address,
                    "relay": f"{vm.ip}:{vm.relay_port}",
                    "metrics": f"{vm.ip}:{METRICS_PORT}",
                }[name]
                host, port = address.split(":")
                with socket.create_server((host, int(port))):
                    await vm.start()
                    if name in ("relay", "metrics"):
                        await site.wait_ready(vm)
                        assert await is_served(site, vm, "meanwhile")
                    else:
                        await asyncio.sleep(ADDRESS_IN_USE_S)
                    assert vm.is_running(), vm.process.returncode
                    if name == "callers":
                        assert await read_readiness(site, vm) == 503
                await site.wait_ready(vm)
                assert await is_served(site, vm, "after")
                if name == "metrics":
                    async with asyncio.timeout(RETRY_TIMEOUT_S):
                        await read_metrics(site, vm)

        asyncio.run(scenario())

    # Guards against a process that ends since its settings are being written.
    @pytest.mark.parametrize("share", [None, 0.0, 0.5], ids=["none", "empty", "half"])
    def test_a_start_waits_for_settings_that_are_being_written(self, share):
        async def scenario():
            async with (
                asyncio.timeout(TIMEOUT_S),
                make_site(first_ip=500, entry_vms=1) as site,
            ):
                vm = site.vms["vm-0"]
                await vm.kill()
                path = vm.write_settings()
                text = path.read_text()
                if share is None:
                    path.unlink()
                else:
                    path.write_text(text[: round(len(text) * share)])
                await vm.launch(path)
                await asyncio.sleep(SETTINGS_DELAY_S)
                path.write_text(text)
                await site.wait_ready(vm)
                assert await is_served(site, vm, "after")

        asyncio.run(scenario())


@contextlib.contextmanager
def many_descriptors():
    """Let this process, and those that it starts, open many connections."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = max(soft, min(hard, 2 * CONNECTIONS + 1_000))
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def encode_head(path, request_id, *lines):
    """Return the head of a request without the empty line that ends it."""
    fields = (
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Ebonylb-Request-Id: {request_id}",
        "Ebonylb-Deadline-Ms: 8000",
        *lines,
    )
    return "".join(f"{line}\r\n" for line in fields).encode()


async def connect(vm):
    """Open a connection for callers."""
    host, port = vm.front_address.split(":")
    return await asyncio.open_connection(host, int(port))


async def send_on_many_connections(vm, encode):
    """Send something on each of many connections, and keep them open."""
    connections = []
    for number in range(CONNECTIONS):
        with contextlib.suppress(OSError):
            reader, writer = await connect(vm)
            writer.write(encode(number))
            connections.append((reader, writer))
        if number % 50 == 0:
            await asyncio.sleep(0.02)
    return connections


@pytest.mark.xdist_group("process ends")
class TestMemoryOfConnections:
    # Guards against bodies that stay in memory after their answers, as long as their
    # connections are open.
    @pytest.mark.parametrize("path", ["/ask/1", "/unknown/1"], ids=["sent", "refused"])
    def test_an_idle_connection_keeps_no_body(self, path):
        async def scenario():
            async with (
                asyncio.timeout(TIMEOUT_S),
                make_site(first_ip=500, entry_vms=1) as site,
                MemoryLimit(site, MEMORY_MB).watch() as limit,
            ):
                connections = []
                for number in range(LARGE_UPLOADS):
                    reader, writer = await connect(site.vms["vm-0"])
                    length = f"Content-Length: {LARGE_UPLOAD_BYTES}"
                    head = encode_head(path, f"q{number}", length)
                    writer.write(head + b"\r\n" + bytes(LARGE_UPLOAD_BYTES))
                    assert (await reader.readline()).startswith(b"HTTP/1.1 ")
                    connections.append(writer)
                assert (limit.kills, limit.own_ends) == ([], [])
                assert await is_served(site, site.vms["vm-0"], "after")
                for writer in connections:
                    writer.transport.abort()

        asyncio.run(scenario())

    # Guards against a process that is killed for what many connections have sent of
    # requests that do not end, or that wait for a server.
    @pytest.mark.parametrize("name", ["heads", "half bodies", "whole bodies"])
    def test_many_connections_do_not_exceed_the_memory(self, name):
        def encode(number):
            if name == "heads":
                lines = (f"A{n}: {'a' * 7_000}" for n in range(8))
                return encode_head("/book/3000", f"q{number}", *lines)
            length = BODY_BYTES if name == "whole bodies" else BODY_BYTES + 4_000
            head = encode_head("/book/3000", f"q{number}", f"Content-Length: {length}")
            return head + b"\r\n" + bytes(BODY_BYTES)

        async def scenario():
            async with (
                asyncio.timeout(TIMEOUT_S),
                make_site(first_ip=500, entry_vms=1) as site,
                MemoryLimit(site, MEMORY_MB).watch() as limit,
            ):
                vm = site.vms["vm-0"]
                connections = await send_on_many_connections(vm, encode)
                assert (limit.kills, limit.own_ends) == ([], [])
                assert await is_served(site, vm, "beside")
                for _, writer in connections:
                    writer.transport.abort()

        with many_descriptors():
            asyncio.run(scenario())
