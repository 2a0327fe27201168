"""Memory and CPU of an entry VM that holds open steps."""

import asyncio

from .. import trainer
from .load import make_cluster
from .process import read_usage

SAMPLES_PER_GROUP = 8


async def measure_open_steps(
    counts: list[int], samples: int, hold_s: float = 6.0
) -> dict[int, tuple[float, float]]:
    """Return the CPU in % and memory in MB of the holder, by number of open steps.

    Each trainer posts a complete step to the same entry VM. The samples are so long
    that none finishes before the memory is read.
    """
    costs = {}
    for count in counts:
        async with make_cluster(1, 2, 64) as cluster:
            name = cluster.topology.entry_vms[0].name
            await asyncio.sleep(2)
            step_tasks = [
                asyncio.create_task(
                    trainer.run_step(
                        trainer.Options(
                            [cluster.url(name)],
                            trainer=f"p-{n:03d}",
                            token=cluster.party_tokens[f"p-{n:03d}"],
                            service="lm",
                            groups=samples // SAMPLES_PER_GROUP,
                            samples=SAMPLES_PER_GROUP,
                            max_tokens=60_000,
                            length=60_000,
                            limit_ms=60_000,
                        )
                    )
                )
                for n in range(count)
            ]
            await asyncio.sleep(hold_s / 2)
            before = read_usage(cluster.pid(name))
            await asyncio.sleep(hold_s / 2)
            after = read_usage(cluster.pid(name))
            cpu = (after.cpu_s - before.cpu_s) / (hold_s / 2) * 100
            costs[count] = (cpu, after.memory_mb)
            for task in step_tasks:
                task.cancel()
            await asyncio.gather(*step_tasks, return_exceptions=True)
    return costs
