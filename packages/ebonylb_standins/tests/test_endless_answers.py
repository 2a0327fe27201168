"""Entry VM processes beside backend servers that send bytes without end.

Load pattern: 40 requests at once whose answers do not end, and sound ones beside them.
"""

import asyncio
import contextlib
import re
from pathlib import Path

import aiohttp
import pytest

from ebonylb_standins.site.endless_answers import (
    ENDLESS,
    ENDLESS_ANSWERS,
    LARGE,
    LARGE_BYTES,
    EndlessServer,
)
from ebonylb_standins.site.http_site import DESK, ENGINE, HOST, MODELS, HttpSite

# Of the smallest entry VMs of the users' sites.
MEMORY_MB = 170
CALLERS = 40
# Each counts twice while it is sent on, so that one exceeds what may be held.
UPLOADS = 4
UPLOAD_BYTES = 32_000_000
CHUNK_BYTES = 100_000
DEADLINE_MS = 1_900
EVENTS = 12
TIMEOUT_S = 60.0
MAX_TRIES = 200


def peak_memory_mb(vm):
    """Return the peak of a process's resident memory, in units of 1,000,000 bytes."""
    status = Path(f"/proc/{vm.process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1_024 / 1e6


def make_site(first_ip, desks):
    """Return a site of one entry VM whose memory is limited."""
    return HttpSite(
        first_ip=first_ip,
        entry_vms=1,
        engines=0,
        desks=desks,
        settings=(f"Limits.MemoryMb={MEMORY_MB}",),
    )


async def send(site, path, request_id):
    """Send a request; return its status and how many bytes of a body came."""
    vm = site.vms["vm-0"]
    received, status = 0, 0
    fields = {
        "Host": HOST,
        "Ebonylb-Request-Id": request_id,
        "Ebonylb-Deadline-Ms": str(DEADLINE_MS),
        "Ebonylb-Model": "m",
    }
    with contextlib.suppress(aiohttp.ClientError):
        async with site.http.post(
            f"http://{vm.front_address}{path}", data=b"x", headers=fields
        ) as response:
            status = response.status
            async for chunk in response.content.iter_any():
                received += len(chunk)
    return status, received


async def wait_until_served(site, path):
    """Wait until requests with a path are served."""
    for number in range(MAX_TRIES):
        if (await send(site, path, f"first-{number}"))[0] == 200:
            return
        await asyncio.sleep(0.05)
    raise TimeoutError(f"{path} is not served")


async def send_beside(site, is_over, name, path, minimum_bytes):
    """Send sound requests one after the other, until the flood is over."""
    number = 0
    while not (number and is_over.is_set()):
        status, received = await send(site, path, f"{name}-{number}")
        assert (name, number, status) == (name, number, 200)
        assert received >= minimum_bytes
        number += 1


@pytest.mark.xdist_group("endless")
class TestMemory:
    # Guards against a process that is ended because it holds more than its limit.
    @pytest.mark.parametrize("name", ENDLESS_ANSWERS)
    def test_answers_without_an_end_leave_room_for_others(self, name):
        service, kind = (ENGINE, "chat") if name == "event" else (DESK, "ask")

        async def scenario():
            async with (
                asyncio.timeout(TIMEOUT_S),
                make_site(first_ip=360, desks=0) as site,
            ):
                answer = ENDLESS_ANSWERS[name]
                for number in range(2):
                    server = EndlessServer(f"desk{number}", DESK, slots=64)
                    await site.add_server(server, "north")
                    engine = EndlessServer(f"lm{number}", ENGINE, MODELS, slots=64)
                    await site.add_server(engine, "north")
                    server.answer = engine.answer = answer
                for path in ("/ask/1", f"/chat/{EVENTS}"):
                    await wait_until_served(site, path)
                is_over = asyncio.Event()
                beside = [
                    asyncio.create_task(send_beside(site, is_over, *arguments))
                    for arguments in (
                        ("plain", "/ask/1", 1),
                        ("large", f"/ask/{LARGE}", LARGE_BYTES),
                        ("stream", f"/chat/{EVENTS}", EVENTS),
                    )
                ]
                answers = await asyncio.gather(
                    *(
                        send(site, f"/{kind}/{ENDLESS}/{EVENTS}", f"{service}-{n}")
                        for n in range(CALLERS)
                    )
                )
                peak_mb = peak_memory_mb(site.vms["vm-0"])
                is_over.set()
                await asyncio.gather(*beside)
            assert peak_mb < MEMORY_MB
            # A stream has begun before its first event, and an answer may end with the
            # length that it states.
            successes = {200} if name in ("event", "allowed length") else set()
            assert {status for status, _ in answers} <= {502, 504} | successes

        asyncio.run(scenario())

    # Guards against bodies of callers that bypass the limit, as they state no length.
    @pytest.mark.parametrize("has_length", [True, False], ids=["length", "chunks"])
    def test_large_bodies_of_callers_leave_room_for_others(self, has_length):
        async def chunks():
            for _ in range(UPLOAD_BYTES // CHUNK_BYTES):
                yield b"x" * CHUNK_BYTES

        async def upload(site, request_id):
            url = f"http://{site.vms['vm-0'].front_address}/ask/1"
            fields = {
                "Host": HOST,
                "Ebonylb-Request-Id": request_id,
                "Ebonylb-Deadline-Ms": "10000",
            }
            data = b"x" * UPLOAD_BYTES if has_length else chunks()
            async with site.http.post(url, data=data, headers=fields) as response:
                return response.status, (await response.json())["outcome"]

        async def scenario():
            async with (
                asyncio.timeout(TIMEOUT_S),
                make_site(first_ip=365, desks=2) as site,
            ):
                await wait_until_served(site, "/ask/1")
                is_over = asyncio.Event()
                beside = asyncio.create_task(
                    send_beside(site, is_over, "plain", "/ask/1", 1)
                )
                answers = await asyncio.gather(
                    *(upload(site, f"upload-{n}") for n in range(UPLOADS))
                )
                peak_mb = peak_memory_mb(site.vms["vm-0"])
                is_over.set()
                await beside
            assert peak_mb < MEMORY_MB
            assert set(answers) == {(503, "not_run")}

        asyncio.run(scenario())
