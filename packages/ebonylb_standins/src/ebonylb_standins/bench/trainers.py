"""Scenarios of a trainer whose steps run through the product's step holder."""

import asyncio

from ebonylb.steps import HolderOptions, StepDeclaration, StepHolder

from ..histories.virtual_time import LoopClock, run_virtual
from .engines import CHUNK_TOKENS, MAX_BATCH_REQUESTS, PREFILL_MS, step_ms
from .trial import PROMPT_BYTES

GROUPS, SAMPLES_PER_GROUP = 32, 8
MAX_TOKENS = 800
STEPS = 3
PUBLISH_INTERVAL_S = 30.0  # four times as often as in the target deployment
SWAP_INTERVAL_S = 2.0  # engines switch versions one after the other
STALENESS_BOUND = 1


def ideal_step_s(sizes, engines):
    """Return the duration of a step on balanced engines that admit all samples at once.

    Each group's prompt is computed once and has no other cost.

    Raises
    ------
    ValueError
        The samples of an engine do not fit into its batch, so the ideal does not hold.
    """
    longest_ms = 0.0
    ordered = sorted(sizes, reverse=True)
    for number in range(engines):
        steps = sorted(-(-size // CHUNK_TOKENS) for size in ordered[number::engines])
        if len(steps) > MAX_BATCH_REQUESTS:
            raise ValueError(
                f"{len(steps)} samples exceed the batch of {MAX_BATCH_REQUESTS}"
            )
        total_ms, completed_steps = GROUPS / engines * PREFILL_MS, 0
        for index, count in enumerate(steps):
            total_ms += (count - completed_steps) * step_ms(len(steps) - index)
            completed_steps = count
        longest_ms = max(longest_ms, total_ms)
    return longest_ms / 1000


class Trainer:
    """Trainer that runs its steps one after the other at one entry VM."""

    def __init__(self, trial):
        self.trial = trial
        self.vm = trial.vms[0]
        self.version = 1
        self.holder = None

    async def step(self, number):
        """Run a step; return its duration in s and its samples' sizes in tokens."""
        trial = self.trial
        seed = 1_000 * (number + 1)
        slots = GROUPS * SAMPLES_PER_GROUP
        sizes = [
            min(MAX_TOKENS, int(trial.rng.lognormvariate(5.0, 0.7)) + 1)
            for _ in range(slots)
        ]
        trial.lengths.update({seed + slot: size for slot, size in enumerate(sizes)})
        declaration = StepDeclaration(
            trainer="t",
            step=number,
            session=1,
            acknowledged="",
            prompts=[
                f"{number}/{group} ".ljust(PROMPT_BYTES, ".") for group in range(GROUPS)
            ],
            samples_per_group=SAMPLES_PER_GROUP,
            max_tokens=MAX_TOKENS,
            seed=seed,
            trainer_version=self.version,
            staleness_bound=STALENESS_BOUND,
            service="lm",
        )
        self.holder = StepHolder(
            declaration,
            self.version,
            STALENESS_BOUND,
            trial.site.executor(self.vm),
            LoopClock(),
            lambda: trial.site.try_spend_hedge(self.vm, "t"),
            lambda: trial.site.try_spend_hedge(self.vm, "t"),
            HolderOptions(),
        )
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        async for _ in self.holder.lines():
            pass
        return loop.time() - started_s, sizes

    async def publish(self):
        """Publish versions; engines switch `SWAP_INTERVAL_S` after one another."""
        while True:
            await asyncio.sleep(PUBLISH_INTERVAL_S)
            self.version += 1
            self.holder.set_version(self.version)
            for number, engine in enumerate(self.trial.engines):
                asyncio.get_running_loop().call_later(
                    number * SWAP_INTERVAL_S, engine.swap, self.version
                )


async def run_steps(make):
    """Return the excess of the first step, and the mean excess of later steps."""
    trial = make()
    trainer = Trainer(trial)
    excess = []
    for number in range(STEPS):
        duration_s, sizes = await trainer.step(number)
        excess.append(duration_s / ideal_step_s(sizes, len(trial.engines)) - 1)
    await trial.finish([])
    # The first step fills the predictor and the windows, so it is reported apart.
    return {"excess": sum(excess[1:]) / (STEPS - 1), "first_step": excess[0]}


def trainer_steps(make):
    """Return the excess of a trainer's step time over the ideal, as a share."""
    return run_virtual(run_steps(make))


async def run_publications(make):
    """Return the discarded share of the samples and the mean step duration."""
    trial = make()
    trainer = Trainer(trial)
    publish_task = asyncio.create_task(trainer.publish())
    discarded, durations = 0, []
    for number in range(STEPS):
        duration_s, _ = await trainer.step(number)
        durations.append(duration_s)
        discarded += trainer.holder.discarded + trainer.holder.cancelled
    publish_task.cancel()
    await trial.finish([])
    discarded_share = discarded / (discarded + STEPS * GROUPS * SAMPLES_PER_GROUP)
    return {"discarded": discarded_share, "step_s": sum(durations) / STEPS}


def stale_samples(make):
    """Return the share of samples discarded as too old while weights change often."""
    return run_virtual(run_publications(make))
