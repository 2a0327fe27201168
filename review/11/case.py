"""One replica repeats a share of its answers late; requests are refused and run."""

import asyncio
import random
import sys
from pathlib import Path

from plain_replica import PlainReplica
from small_site import (
    BROKEN, HELD, HOST, NOT_RUN, ZONES, Record, SmallSite, ask, has_trouble,
)

SEED = 11
DEADLINE_MS = 2000
CALM_S, LOAD_S = 3.0, 80.0
# One of two replicas repeats three in a hundred of its answers, in spells of 5 s.
COPY_SHARE, SPELL_S, PAUSE_S = 0.03, 5.0, 2.0
CALLERS = 24
SLOTS, QUEUE, WORK_S = 2, 1, 0.0315

ROUTES = [
    {"Name": "book", "Host": HOST, "Prefix": "/book/", "Kind": "non_idempotent",
     "Service": "desk", "TimeoutMs": 3000, "TargetLatencyMs": 240, "Attempts": 2},
]


async def call(site, record, rng, number, answers):
    """Make one client attempt with an id of its own, which is never repeated."""
    vm = rng.choice(site.vms)
    request_id = f"{number:016x}"
    status, fields, _ = await ask(
        vm, "POST", f"/book/{number}", request_id, DEADLINE_MS, b"seat"
    )
    answers[request_id] = status
    record.add("answered", id=request_id, vm=vm.name, status=status,
               sealed="ebonylb-response-seal" in fields)


async def caller(site, record, rng, numbers, answers, end_s):
    """Ask again and again, with short pauses."""
    loop = asyncio.get_running_loop()
    while loop.time() < end_s:
        await call(site, record, rng, next(numbers), answers)
        await asyncio.sleep(rng.uniform(0.0, 0.12))


async def repeat_answers(replicas, record):
    """Let replicas repeat answers, in spells."""
    while True:
        for replica in replicas:
            replica.copy_share = COPY_SHARE
        record.add("replicas begin to repeat answers", replicas=[r.name for r in replicas])
        await asyncio.sleep(SPELL_S)
        for replica in replicas:
            replica.copy_share = 0.0
        record.add("replicas repeat no more answers")
        await asyncio.sleep(PAUSE_S)


async def run(record):
    rng = random.Random(SEED)
    answers = {}
    async with SmallSite(ROUTES, [{"Name": "desk", "MaxConns": 110}], entry_vms=9) as site:
        replicas = [
            PlainReplica(
                f"desk-{n}", "desk", list(ZONES)[n % 3], record, random.Random(SEED + n),
                SLOTS, QUEUE, WORK_S,
            )
            for n in range(2)
        ]
        for replica in replicas:
            await replica.start(site)
        await site.start_vms()
        loop = asyncio.get_running_loop()
        numbers = iter(range(1, 10**6))
        end_s = loop.time() + CALM_S + LOAD_S
        callers = [
            asyncio.create_task(caller(site, record, rng, numbers, answers, end_s))
            for _ in range(CALLERS)
        ]
        trouble = None
        await asyncio.sleep(CALM_S)
        if has_trouble():
            trouble = asyncio.create_task(repeat_answers(replicas[:1], record))
        await asyncio.gather(*callers)
        if trouble is not None:
            trouble.cancel()
        await asyncio.sleep(1.0)
    runs = {}
    for replica in replicas:
        for request_id, count in replica.runs.items():
            runs[request_id] = runs.get(request_id, 0) + count
    twice = sorted(i for i, count in runs.items() if count > 1)
    denied = sorted(i for i, status in answers.items() if status in (408, 421, 429, 503) and i in runs)
    for request_id in twice:
        record.add("TWICE", id=request_id, runs=runs[request_id], status=answers.get(request_id))
    for request_id in denied:
        record.add("REFUSED", id=request_id, runs=runs[request_id], status=answers[request_id])
    by_status = {}
    for status in answers.values():
        by_status[status] = by_status.get(status, 0) + 1
    copies = sum(replica.copies for replica in replicas)
    print(f"{len(answers)} requests, answers {by_status}, {copies} late copies sent")
    print(f"TWICE: {len(twice)} requests ran more than once; "
          f"REFUSED: {len(denied)} requests were refused as not run and ran")
    if not by_status.get(200) or not by_status.get(503):
        print("the load did not reach the limit of the replicas")
        return NOT_RUN
    if has_trouble() and not copies:
        return NOT_RUN
    return BROKEN if denied else HELD


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
