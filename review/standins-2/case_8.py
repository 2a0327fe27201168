"""Replicas read slowly while clients upload bodies in chunks through a small machine.

TROUBLE=0: the replicas read at full speed. LENGTH=1 sends the same bodies with a
length, for comparison.
"""

import asyncio
import os

from aiohttp import web
from harness import BROKEN, HELD, NOT_RUN, TROUBLE, Connection, main, make_route

MEMORY_BYTES = 552_000_000  # MemoryMb of the largest machines of fvgpc-tips-grown
CHUNKED = os.environ.get("LENGTH", "0") == "0"
UPLOAD_BYTES = 8_000_000  # MaxBodyBytes is 33,554,432
UPLOADS_PER_S = 4  # 256 Mbit/s; the link of these machines has 300
UPLOAD_S = 24
PIECE_BYTES = 65_536
SLOW_BYTES_PER_S = 320_000  # a body is read in 25 s; its client waits 40 s
LONG_MS = 40_000
CLIENTS = 12
WORK_S = 0.15
RESTART_S = 1.0


async def run_plain(replica, request, request_id, headers, body):
    await asyncio.sleep(WORK_S)
    answer = f"{request_id}:{len(body)}".encode()
    return web.Response(body=answer, headers=headers)


async def limit_memory(site, vm, kills):
    """Kill the process when it exceeds its memory, and start it again, as a machine."""
    peak = 0
    while True:
        await asyncio.sleep(0.02)
        rss = vm.rss_bytes()
        if rss > peak + 5_000_000:
            peak = rss
            site.record.write("memory", machine=vm.name, bytes=rss)
        if rss > MEMORY_BYTES:
            site.record.write("killed: memory over the limit", bytes=rss)
            kills.append(rss)
            await vm.kill()
            await asyncio.sleep(RESTART_S)
            await vm.start()


def headers_for(request_id, deadline_ms):
    return {
        "Host": "site.example",
        "Ebonylb-Request-Id": request_id,
        "Ebonylb-Deadline-Ms": str(deadline_ms),
    }


async def client(site, vm, state):
    """Send requests one after the other on a kept connection; open it anew if closed."""
    connection = None
    while not state["ended"]:
        request_id = site.new_id()
        is_kept = connection is not None and connection.answers > 0
        try:
            connection = connection or await Connection.open(vm.ip, vm.front)
            site.record.write("sent", id=request_id, kept=is_kept)
            answer = await connection.call(
                "POST", f"/ask/{request_id}", headers_for(request_id, 2_000), b"slot"
            )
            site.record.write("answered", id=request_id, status=answer.status)
            state["answers"].append(answer.status)
        except (OSError, EOFError):
            connection = None
            site.record.write("closed without an answer", id=request_id, kept=is_kept)
            if is_kept:
                state["closed"].append(request_id)
            await asyncio.sleep(0.1)


async def upload(site, vm, pieces, state):
    request_id = site.new_id()
    site.record.write("upload begins", id=request_id, chunked=CHUNKED)
    try:
        connection = await Connection.open(vm.ip, vm.front)
        headers = headers_for(request_id, LONG_MS)
        await connection.send("POST", f"/upload/{request_id}", headers, pieces, CHUNKED)
        answer = await connection.receive()
        site.record.write("upload answered", id=request_id, status=answer.status)
        state["uploads"].append(answer.status)
        connection.close()
    except (OSError, EOFError) as error:
        site.record.write("upload ended", id=request_id, cause=str(error))


async def play(site):
    routes = [
        make_route("ask", "/ask/", "idempotent", "desk"),
        make_route(
            "upload",
            "/upload/",
            "idempotent",
            "archive",
            TimeoutMs=LONG_MS,
            TargetLatencyMs=LONG_MS,
        ),
    ]
    site.configure(1, routes, ["desk", "archive"])
    reached = set()

    async def run(replica, request, request_id, headers, body):
        reached.add(request_id)
        return await run_plain(replica, request, request_id, headers, body)

    for number, zone in enumerate(("north", "south", "east")):
        await site.add_replica(f"desk-{number}", "desk", zone, run)
        await site.add_replica(f"archive-{number}", "archive", zone, run, slots=64)
    vm = await site.add_vm(0, "north", [f"Limits.MemoryMb={MEMORY_BYTES // 1_000_000}"])
    if not await vm.wait_ready():
        return NOT_RUN
    state = {"ended": False, "answers": [], "closed": [], "uploads": []}
    kills = []
    memory = asyncio.create_task(limit_memory(site, vm, kills))
    clients = [asyncio.create_task(client(site, vm, state)) for _ in range(CLIENTS)]
    await asyncio.sleep(6)  # longer than StableWindowMs
    before = len(state["answers"])
    if TROUBLE:
        for replica in site.replicas:
            if replica.service == "archive":
                replica.read_bytes_per_s = SLOW_BYTES_PER_S
        site.record.write("replicas read slowly", bytes_per_s=SLOW_BYTES_PER_S)
    body = os.urandom(UPLOAD_BYTES)
    pieces = [
        body[begin : begin + PIECE_BYTES] for begin in range(0, len(body), PIECE_BYTES)
    ]
    uploads = []
    for _ in range(UPLOADS_PER_S * UPLOAD_S):
        uploads.append(asyncio.create_task(upload(site, vm, pieces, state)))
        await asyncio.sleep(1 / UPLOADS_PER_S)
    await asyncio.gather(*uploads)
    state["ended"] = True
    await asyncio.gather(*clients)
    memory.cancel()
    lost = [request_id for request_id in state["closed"] if request_id in reached]
    site.record.write(
        "result",
        killed=len(kills),
        passed_on_and_closed_without_an_answer=len(lost),
        closed=len(state["closed"]),
        answers=len(state["answers"]),
        uploads={
            status: state["uploads"].count(status) for status in {*state["uploads"]}
        },
    )
    if before < 100:
        return NOT_RUN
    return BROKEN if len(lost) > 3 else HELD


if __name__ == "__main__":
    main(play)
