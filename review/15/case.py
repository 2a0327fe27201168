"""A request on a streaming route crashes the replicas that run it, and comes again."""

import asyncio
import contextlib
import random
import sys
import time
from pathlib import Path

from engine_replica import EngineReplica
from small_site import (
    BROKEN, HELD, HOST, NOT_RUN, ZONES, Record, SmallSite, has_trouble, make_message,
    read_message,
)

SEED = 15
MODEL, EVENTS = "m1", 24
REPLICAS = 6
STABLE_WINDOW_S = 4.0
# The request comes again so often after the window that follows its third crash.
RETRIES, MAX_RETRIES = 6, 3
RETRY_PAUSE_S = 4.0
POISON = "/chat/7e57/"

ROUTES = [
    {"Name": "chat", "Host": HOST, "Prefix": "/chat/", "Kind": "streaming", "Service": "lm",
     "TimeoutMs": 12000, "TargetLatencyMs": 400, "Attempts": 2, "Resumable": True, "Sticky": True},
]
SERVICES = [
    {"Name": "lm", "MaxConns": 180,
     "Engine": {"Slots": 8, "KvCapacity": 140509, "Stride": 1, "Models": [{"Name": MODEL}]}},
]


async def stream(vm, record, path, number):
    """Read one stream on a new connection; return its status, and whether it came whole."""
    request_id = f"{number:016x}"
    head = {
        "Host": HOST, "Ebonylb-Request-Id": request_id, "Ebonylb-Deadline-Ms": 6000,
        "Ebonylb-Model": MODEL, "Ebonylb-Token-Usage": f"100,{EVENTS}",
        "Ebonylb-Prompt-Prefix": "7e57:100",
    }
    status, whole, writer = None, False, None
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        async with asyncio.timeout(8):
            reader, writer = await asyncio.open_connection(vm.ip, vm.front_port)
            writer.write(make_message(f"POST {path}{EVENTS} HTTP/1.1", head, b"prompt"))
            line, _, body = await read_message(reader)
            status = int(line.split()[1])
            ids = [int(x[4:]) for x in body.decode().split("\n") if x.startswith("id: ")]
            whole = status == 200 and ids == list(range(1, EVENTS + 1))
    if writer is not None:
        writer.close()
    record.add("answered", id=request_id, vm=vm.name, path=path, status=status, whole=whole)
    return request_id, whole


async def run(record):
    rng = random.Random(SEED)
    async with SmallSite(ROUTES, SERVICES) as site:
        replicas = [EngineReplica(f"lm-{n}", "lm", list(ZONES)[n % 3], record, {MODEL: 1})
                    for n in range(REPLICAS)]
        for replica in replicas:
            replica.poison = POISON if has_trouble() else ""
            await replica.start(site)
        await site.start_vms()
        await asyncio.sleep(4.0)
        numbers = iter(range(1, 10**6))
        others = []

        async def ask_other_things():
            while True:
                number = next(numbers)
                _, whole = await stream(rng.choice(site.vms), record, f"/chat/{number}/", number)
                others.append(whole)
                await asyncio.sleep(0.5)

        asking = asyncio.create_task(ask_other_things())
        crashes = early = 0
        while crashes < 3 and early < 6:
            early += 1
            await stream(rng.choice(site.vms), record, POISON, next(numbers))
            crashes = sum(replica.crashes for replica in replicas)
            await asyncio.sleep(RETRY_PAUSE_S)
        record.add("crashed so far", replicas=crashes)
        await asyncio.sleep(STABLE_WINDOW_S + 0.5)
        late = []
        for _ in range(RETRIES):
            request_id, _ = await stream(rng.choice(site.vms), record, POISON, next(numbers))
            late.append(request_id)
            await asyncio.sleep(RETRY_PAUSE_S)
        asking.cancel()
        total = sum(replica.crashes for replica in replicas)
    ran = {one["id"] for replica in replicas for one in replica.runs}
    reached = ran & set(late) if crashes >= 3 else set()
    for request_id in sorted(reached):
        record.add("BUDGET", id=request_id)
    print(f"{crashes} crashes at first, {total} in all; {len(reached)} of {len(late)} retries "
          f"reached replicas later than StableWindowMs after the third; "
          f"{sum(others)} of {len(others)} other streams came whole")
    if not has_trouble():
        return HELD if not total and all(others) else NOT_RUN
    if crashes < 3:
        return HELD
    return BROKEN if len(reached) > MAX_RETRIES else HELD


def main():
    record = Record(Path(__file__).parent)
    try:
        return asyncio.run(run(record))
    except Exception as error:
        print(f"the case could not run: {error!r}")
        return NOT_RUN
    finally:
        record.close()


sys.exit(main())
