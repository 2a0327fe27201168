"""Two replicas in one zone crash while a request that many clients send is at work.

TROUBLE=0: no replica crashes.
"""

import asyncio
import random

from aiohttp import web
from harness import BROKEN, HELD, NOT_RUN, TROUBLE, Connection, main, make_route

WORK_S = 0.1
DOWN_S = 4.0
STABLE_S = 4.0  # StableWindowMs
APPLY_S = 2.5  # ConfigApplyMs
CLIENTS = 12  # for each route
ADDED_PATH = "/timetable/today"


async def run_plain(replica, request, request_id, headers, body):
    await asyncio.sleep(WORK_S * random.uniform(0.8, 1.2))
    answer = f"{request.path}:{len(body)}".encode()
    return web.Response(body=answer, headers=headers)


async def client(site, vm, state, method, path_of, counts):
    """Send requests one after the other on a kept connection; open it anew if closed."""
    connection = None
    while not state["ended"]:
        request_id = site.new_id()
        headers = {
            "Host": "site.example",
            "Ebonylb-Request-Id": request_id,
            "Ebonylb-Deadline-Ms": "2000",
        }
        path = path_of(request_id)
        steady = state["steady"]
        site.record.write("sent", id=request_id, path=path, machine=vm.name)
        try:
            connection = connection or await Connection.open(vm.ip, vm.front)
            answer = await connection.call(
                method, path, headers, b"" if method == "GET" else b"slot"
            )
            status = answer.status
        except (OSError, EOFError):
            connection, status = None, 0
        site.record.write("answered", id=request_id, status=status)
        if steady:
            counts.append(status)
        await asyncio.sleep(0.03)


async def play(site):
    first = make_route("ask", "/ask/", "idempotent", "desk")
    added = make_route("timetable", "/timetable/", "idempotent", "desk")
    site.configure(1, [first], ["desk"])
    zones = ("north", "south", "east")
    for number in range(6):
        await site.add_replica(
            f"desk-{number}", "desk", zones[number % 3], run_plain, slots=6
        )
    for number, zone in enumerate(zones):
        await site.add_vm(number, zone)
    for vm in site.vms:
        if not await vm.wait_ready():
            return NOT_RUN
    await asyncio.sleep(1)
    site.configure(4, [first, added], ["desk"])
    await asyncio.sleep(APPLY_S + 0.5)
    state = {"ended": False, "steady": False}
    on_first, on_added = [], []
    clients = []
    for number in range(CLIENTS):
        vm = site.vms[number % 3]
        clients += [
            asyncio.create_task(
                client(site, vm, state, "POST", lambda i: f"/ask/{i}", on_first)
            ),
            asyncio.create_task(
                client(site, vm, state, "GET", lambda i: ADDED_PATH, on_added)
            ),
        ]
    await asyncio.sleep(4)
    if TROUBLE:
        in_zone = [replica for replica in site.replicas if replica.zone == "north"]
        await asyncio.gather(*(replica.crash(DOWN_S) for replica in in_zone))
    else:
        await asyncio.sleep(DOWN_S)
    await asyncio.sleep(STABLE_S + 3.6)
    state["steady"] = True
    site.record.write("steady state begins")
    await asyncio.sleep(10)
    state["ended"] = True
    await asyncio.gather(*clients)
    served_first = on_first.count(200) / max(1, len(on_first))
    served_added = on_added.count(200) / max(1, len(on_added))
    site.record.write(
        "result",
        first_route=len(on_first),
        first_route_served=on_first.count(200),
        added_route=len(on_added),
        added_route_served=on_added.count(200),
        added_route_statuses=sorted(set(on_added)),
    )
    if len(on_added) < 20 or served_first < 0.5:
        return NOT_RUN
    return BROKEN if served_added < served_first / 4 else HELD


if __name__ == "__main__":
    main(play)
