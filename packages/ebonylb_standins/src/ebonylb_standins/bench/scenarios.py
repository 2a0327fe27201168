"""Caller scenarios, one for each caller row of the table in design 1.2.

Each takes ``make(failure_share=0.0)``, which builds a `Trial`, and returns metrics.
"""

import asyncio

from ebonylb.outcomes import RefusedError

from ..histories.virtual_time import run_virtual
from .trial import quantile, refused_share, response_times

SHORT_TOKENS, LONG_TOKENS = 32, 512
WARMUP_S, END_S = 25.0, 50.0
SLOWDOWN_AT_S = 20.0
SLOWDOWN = 10.0


async def run_load(make, short_load, long_load, slowdown=1.0):
    """Run short and long work at shares of the capacity; return the short results."""
    trial, results = make(), []
    loop = asyncio.get_running_loop()
    loop.call_later(SLOWDOWN_AT_S, setattr, trial.engines[0], "slowdown", slowdown)
    per_s = short_load * trial.full_load_per_s(SHORT_TOKENS)
    sources = [trial.send_arrivals("a", SHORT_TOKENS, per_s, END_S, results)]
    if long_load:
        per_s = long_load * trial.full_load_per_s(LONG_TOKENS)
        sources.append(trial.send_arrivals("b", LONG_TOKENS, per_s, END_S, []))
    task_lists = await asyncio.gather(*sources)
    await trial.finish([task for task_list in task_lists for task in task_list])
    return results


def short_beside_long(make):
    """Compare p99 waits of short work at 80% load: half the load long, or none."""
    alone = run_virtual(run_load(make, 0.8, 0.0))
    beside = run_virtual(run_load(make, 0.4, 0.4))
    waits = [quantile(response_times(r, WARMUP_S, 0), 0.99) for r in (alone, beside)]
    return {
        "ratio": waits[1] / waits[0],
        "alone_ms": waits[0],
        "wait_ms": waits[1],
        "refused": refused_share(beside),
    }


def slow_server(make):
    """Compare p99 latencies with one of five servers 10 times slower, and with none.

    `onset` includes requests that arrive from the moment of the slowdown; the other
    metrics start after the warm-up.
    """
    normal = run_virtual(run_load(make, 0.4, 0.0))
    slowed = run_virtual(run_load(make, 0.4, 0.0, SLOWDOWN))
    steady, onset = (
        [quantile(response_times(r, since_s, 1), 0.99) for r in (normal, slowed)]
        for since_s in (WARMUP_S, SLOWDOWN_AT_S)
    )
    return {
        "ratio": steady[1] / steady[0],
        "onset": onset[1] / onset[0],
        "p99_ms": steady[1],
        "refused": refused_share(slowed),
    }


LIGHT_CLIENTS = 300  # enough for each party alone to keep nearly all windows busy
HEAVY_FACTOR = 20
HEAVY_SKEW = 0.9  # share of the heavy party's clients at one entry VM
RETRY_DELAY_S = 1.0


async def run_contention(make):
    """Return served tokens per party after the warm-up."""
    trial = make()
    served = {"heavy": 0, "b": 0, "c": 0}
    loop = asyncio.get_running_loop()

    async def client(party, vm):
        def count_tokens(tokens):
            served[party] += tokens * (loop.time() > WARMUP_S)

        await asyncio.sleep(trial.rng.uniform(0, 1))
        while True:
            tokens = trial.rng.choice((16, 64, 128))
            if await trial.send(trial.work(party, tokens), vm, count_tokens) is None:
                await asyncio.sleep(trial.rng.uniform(0.5, 1.5) * RETRY_DELAY_S)

    tasks = []
    for party in served:
        heavy = party == "heavy"
        for _ in range(LIGHT_CLIENTS * (HEAVY_FACTOR if heavy else 1)):
            skewed = heavy and trial.rng.random() < HEAVY_SKEW
            vm = trial.vms[0] if skewed else trial.choose_vm()
            tasks.append(asyncio.create_task(client(party, vm)))
    await asyncio.sleep(END_S)
    for task in tasks:
        task.cancel()
    await trial.finish(tasks)
    return served


def fairness(make):
    """Return the Jain index of served over entitled tokens.

    One party has 20 times as many clients as each other.
    """
    served = run_virtual(run_contention(make))
    values = list(served.values())
    jain = sum(values) ** 2 / (len(values) * sum(v * v for v in values))
    return {"jain": jain, "heavy_part": served["heavy"] / sum(values)}


CALL_COUNT = 900
CALL_PERIOD_S = 30.0


async def run_failing_calls(make):
    """Return the extra calls per request and the share of successful requests."""
    trial = make(failure_share=0.5)

    async def send_call():
        await asyncio.sleep(trial.rng.uniform(0, CALL_PERIOD_S))
        try:
            await trial.site.executor(trial.choose_vm()).call(trial.call_work("a"))
        except RefusedError:
            return 0
        return 1

    answered = sum(await asyncio.gather(*(send_call() for _ in range(CALL_COUNT))))
    await trial.finish([])
    calls = sum(plain.call_count for plain in trial.plain_services)
    return {"extra": calls / CALL_COUNT - 1, "answered": answered / CALL_COUNT}


def failing_calls(make):
    """Return the extra calls when every server fails half of its calls."""
    return run_virtual(run_failing_calls(make))


async def measure_cross_region(make):
    """Return the bytes between regions as a share of the payload."""
    trial = make()
    per_s = 0.6 * trial.full_load_per_s(SHORT_TOKENS)
    tasks = await trial.send_arrivals("a", SHORT_TOKENS, per_s, END_S, [])
    await trial.finish(tasks)
    return {"part": trial.site.cross_region_bytes / trial.payload_bytes}


def cross_region(make):
    """Return the share of bytes on the paid link between regions at 60% load."""
    return run_virtual(measure_cross_region(make))
