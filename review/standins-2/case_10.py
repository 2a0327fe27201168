"""A stream request that crashes each replica that begins to run it comes again.

TROUBLE=0: the same request is served like the others.
"""

import asyncio
import time

from aiohttp import web
from harness import BROKEN, HELD, NOT_RUN, TROUBLE, Connection, main, make_route

DOWN_S = 2.0  # "the replica is back after some seconds"
STABLE_S = 4.0  # StableWindowMs
MAX_RETRIES = 3
EVENTS = 10
CRASHING_PATH = "/chat/7f3a"
CRASHING_BODY = b"the same question"


async def run_stream(replica, request, request_id, headers, body):
    headers["Content-Type"] = "text/event-stream"
    response = web.StreamResponse(headers=headers)
    await response.prepare(request)
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(0.02)
        await response.write(f"id: {number}\ndata: {request_id}.{number}\n\n".encode())
    await response.write_eof()
    return response


async def ask(site, vm, path, body):
    """Send one request on a new connection and return the status; 0 without one."""
    request_id = site.new_id()
    headers = {
        "Host": "site.example",
        "Ebonylb-Request-Id": request_id,
        "Ebonylb-Deadline-Ms": "3000",
    }
    site.record.write("sent", id=request_id, path=path, machine=vm.name)
    try:
        connection = await Connection.open(vm.ip, vm.front)
        answer = await connection.call("POST", path, headers, body)
        status = answer.status
        connection.close()
    except (OSError, EOFError):
        status = 0
    site.record.write("answered", id=request_id, status=status)
    return status


async def play(site):
    crashes, reached = [], []

    async def run(replica, request, request_id, headers, body):
        if request.path != CRASHING_PATH:
            return await run_stream(replica, request, request_id, headers, body)
        reached.append((time.monotonic(), replica.name))
        if not TROUBLE:
            return await run_stream(replica, request, request_id, headers, body)
        crashes.append(time.monotonic())
        site.crashing.append(asyncio.create_task(replica.crash(DOWN_S)))
        await asyncio.sleep(60)
        return None

    site.crashing = []
    route = make_route(
        "chat",
        "/chat/",
        "streaming",
        "talk",
        TimeoutMs=5_000,
        TargetLatencyMs=400,
        Attempts=2,
        Resumable=True,
    )
    site.configure(1, [route], ["talk"])
    for number in range(6):
        zone = ("north", "south", "east")[number % 3]
        await site.add_replica(f"talk-{number}", "talk", zone, run)
    for number, zone in enumerate(("north", "south")):
        await site.add_vm(number, zone)
    for vm in site.vms:
        if not await vm.wait_ready():
            return NOT_RUN
    others = []

    async def other_client(vm):
        while True:
            others.append(await ask(site, vm, f"/chat/{site.new_id()}", b"another"))
            await asyncio.sleep(0.2)

    clients = [asyncio.create_task(other_client(vm)) for vm in site.vms]
    await asyncio.sleep(3)
    begun = time.monotonic()
    turn = 0
    while time.monotonic() - begun < 30:
        vm = site.vms[turn % len(site.vms)]
        turn += 1
        await ask(site, vm, CRASHING_PATH, CRASHING_BODY)
        await asyncio.sleep(3)
    for task in clients:
        task.cancel()
    await asyncio.gather(*site.crashing)
    late = []
    if len(crashes) >= 3:
        late = [at for at, _ in reached if at > crashes[2] + STABLE_S]
    site.record.write(
        "result",
        sent=turn,
        reached=len(reached),
        crashes=len(crashes),
        reached_later_than_stable_window_after_third_crash=len(late),
        others=len(others),
        others_served=others.count(200),
    )
    if others.count(200) < 20 or (TROUBLE and len(crashes) < 1):
        return NOT_RUN
    return BROKEN if len(late) > MAX_RETRIES else HELD


if __name__ == "__main__":
    main(play)
