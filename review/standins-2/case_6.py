"""One batch job with some thousand items is submitted.

TROUBLE=0: a batch job with as many items as those of the site.
"""

import asyncio
import json
import time

import case_9
from aiohttp import web
from case_9 import HOST, Engine, call
from harness import BROKEN, HELD, NOT_RUN, TROUBLE, Connection, main, make_route

ITEMS = 6_000 if TROUBLE else 112
WATCH_S = 45
TIMEOUT_S = 2.0  # TimeoutMs of the plain route
ANSWER_S = 0.5
CLIENTS = 3  # for each machine
FAIL_COUNT, FAIL_SHARE = 8, 0.25


async def run_plain(replica, request, request_id, headers, body):
    """Answer a plain request after 20 ms."""
    await asyncio.sleep(0.02)
    return web.Response(body=b"answer", headers=headers)


async def client(site, vm, state):
    """Send plain requests; note how long those last that have no answer in time."""
    while not state["ended"]:
        request_id = site.new_id()
        headers = {
            "Host": HOST,
            "Ebonylb-Request-Id": request_id,
            "Ebonylb-Deadline-Ms": "6000",
        }
        begun = time.monotonic()
        status = None
        try:
            async with asyncio.timeout(6):
                connection = await Connection.open(vm.ip, vm.front)
                answer = await connection.call("POST", "/ask/1", headers, b"slot")
                status = answer.status
                connection.close()
        except (OSError, EOFError, TimeoutError):
            pass
        lasted = time.monotonic() - begun
        site.record.write(
            "asked",
            id=request_id,
            machine=vm.name,
            status=status,
            lasted_s=round(lasted, 2),
        )
        if state["counts"]:
            state["lasted"].append(lasted if status else float("inf"))
        await asyncio.sleep(0.2)


def make_batch():
    items = [
        {
            "Id": f"{number:016x}",
            "Path": f"/roll/{number}",
            "Headers": {"Ebonylb-Model": "m", "Ebonylb-Token-Usage": "100,880"},
            "Body": "q83v",
            "Tokens": 980,
            "Group": f"g{number // 8}",
        }
        for number in range(ITEMS)
    ]
    fields = {"Step": 0, "Model": "m", "MinVersion": 1, "TargetGroups": ITEMS // 8}
    return json.dumps({**fields, "Items": items}).encode()


async def watch(site, batch_id, engines):
    """Read results now and then, and note how many items run; return their number."""
    listed, until = 0, time.monotonic() + WATCH_S
    while time.monotonic() < until and listed < ITEMS:
        for vm in site.vms:
            path = f"/api/lots/{batch_id}?After={listed}"
            try:
                async with asyncio.timeout(2):
                    answer = await call(vm, "GET", path, {})
            except (OSError, EOFError, TimeoutError):
                continue
            if answer.status == 200:
                listed += len(json.loads(answer.body)["Results"])
        running = sum(engine.running for engine in engines)
        site.record.write("watched", listed=listed, running=running)
        await asyncio.sleep(1)
    return listed


async def play(site):
    site.orders, site.made = [], {}
    case_9.EVENTS = 20  # an item runs for a second
    roll = make_route(
        "roll",
        "/roll/",
        "rollout",
        "lm",
        Attempts=3,
        RetentionS=90.0,
        ResultDeadlineMs=60_000,
        Resumable=True,
    )
    ask = make_route("ask", "/ask/", "idempotent", "desk")
    engine = {
        "Slots": 16,
        "KvCapacity": 97_030,
        "Stride": 44,
        "Models": [{"Name": "m"}],
    }
    site.configure(1, [roll, ask], ["lm", "desk"], {"lm": engine})
    zones = ("north", "south", "east")
    engines = [
        await site.add_replica(f"lm-{n}", "lm", zones[n % 3], "m", kind=Engine)
        for n in range(5)
    ]
    for number, zone in enumerate(zones):
        await site.add_replica(f"desk-{number}", "desk", zone, run_plain, slots=6)
    for number, zone in enumerate(zones):
        await site.add_vm(number, zone)
    for vm in site.vms:
        if not await vm.wait_ready():
            return NOT_RUN
    state = {"ended": False, "counts": True, "lasted": []}
    clients = [
        asyncio.create_task(client(site, vm, state)) for vm in site.vms * CLIENTS
    ]
    await asyncio.sleep(5)
    before = len(state["lasted"])
    batch_id, body = site.new_id(), make_batch()
    answer = await call(
        site.vms[0], "POST", f"/roll/{batch_id}", {"Ebonylb-Request-Id": batch_id}, body
    )
    site.record.write(
        "batch job answered", status=answer.status, items=ITEMS, bytes=len(body)
    )
    if answer.status != 202 or before < 20:
        return NOT_RUN
    listed = await watch(site, batch_id, engines)
    state["ended"] = True
    await asyncio.gather(*clients)
    long = [lasted for lasted in state["lasted"] if lasted > TIMEOUT_S]
    late = [lasted for lasted in long if lasted > TIMEOUT_S + ANSWER_S]
    logs = [vm.log.read_text(errors="replace") for vm in site.vms]
    site.record.write(
        "result",
        listed=listed,
        of_items=ITEMS,
        asked=len(state["lasted"]),
        lasted_longer_than_timeout_ms=len(long),
        no_answer_half_a_second_later=len(late),
        takeovers=sum(log.count("batch taken over") for log in logs),
    )
    is_broken = len(late) >= FAIL_COUNT and len(late) > FAIL_SHARE * len(long)
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    main(play)
