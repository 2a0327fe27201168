"""One unreadable entry in the list of replicas; later a replica drains."""

import asyncio
import time

from aiohttp import web
from harness import BROKEN, HELD, NOT_RUN, TROUBLE, Connection, main, make_route

DRAIN_S = 2.5  # DrainMs
WORK_S, SLOTS = 0.1, 6
# For each machine: enough that it needs more than one replica with 6 slots.
CLIENTS = 5
# An entry of another writer: none of a replica's fields, and a list in lists in place
# of them. 4 KB, of the 64 that a row may have.
DEPTH = 2_000
UNREADABLE = b'{"Tree":' + b"[" * DEPTH + b"]" * DEPTH + b"}"


async def run_plain(replica, request, request_id, headers, body):
    await asyncio.sleep(WORK_S)
    return web.Response(body=f"{request_id}:".encode() + body, headers=headers)


async def client(site, vm, state):
    """Send a request each 50 ms on a kept connection."""
    connection = await Connection.open(vm.ip, vm.front)
    while not state["ended"]:
        request_id = site.new_id()
        headers = {
            "Host": "site.example",
            "Ebonylb-Request-Id": request_id,
            "Ebonylb-Deadline-Ms": "2000",
        }
        site.record.write("sent", id=request_id, machine=vm.name)
        answer = await connection.call("POST", f"/ask/{request_id}", headers, b"slot")
        site.record.write("answered", id=request_id, status=answer.status)
        state["answers"].append(answer.status)
        await asyncio.sleep(0.05)
    connection.close()


async def play(site):
    record = site.record
    site.configure(1, [make_route("ask", "/ask/", "idempotent", "desk")], ["desk"])
    for number, zone in enumerate(("north", "south", "east")):
        await site.add_replica(f"desk-{number}", "desk", zone, run_plain, slots=SLOTS)
    for number, zone in enumerate(("north", "south", "east")):
        await site.add_vm(number, zone)
    for vm in site.vms:
        if not await vm.wait_ready():
            return NOT_RUN
    state = {"ended": False, "answers": []}
    clients = [
        asyncio.create_task(client(site, vm, state)) for vm in site.vms * CLIENTS
    ]
    await asyncio.sleep(3)
    if TROUBLE:
        site.store.put("servers", "another-writer", UNREADABLE)
        record.write("unreadable entry written", bytes=len(UNREADABLE))
    await asyncio.sleep(6)
    leaving = site.replicas[0]
    leaving.report_draining()
    acknowledged = time.monotonic()
    record.write("draining acknowledged", replica=leaving.name)
    late, others = [], []
    for replica in site.replicas:
        replica.run = count_late(replica, leaving, acknowledged, late, others)
    # It goes on to serve for DrainMs and "at times many seconds" longer.
    await asyncio.sleep(DRAIN_S + 6)
    state["ended"] = True
    await asyncio.gather(*clients)
    new = await site.add_vm(3, "north")
    is_ready = await new.wait_ready(timeout_s=12)
    record.write(
        "result",
        reached_leaving_replica_later_than_drain_ms=len(late),
        reached_others=len(others),
        answers=len(state["answers"]),
        ok=state["answers"].count(200),
        machine_added_now_gets_ready=is_ready,
    )
    if not others or state["answers"].count(200) < 100:
        return NOT_RUN
    return BROKEN if late else HELD


def count_late(replica, leaving, acknowledged, late, others):
    """Return what runs a request and counts it if it reached a leaving replica late."""

    async def run(replica, request, request_id, headers, body):
        if time.monotonic() - acknowledged > DRAIN_S:
            (late if replica is leaving else others).append(request_id)
        return await run_plain(replica, request, request_id, headers, body)

    return run


if __name__ == "__main__":
    main(play)
