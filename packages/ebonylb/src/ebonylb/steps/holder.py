"""Holder of a step: generates the samples that the trainer does not have yet."""

import asyncio
import random
import statistics
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from ..interfaces import Clock
from ..outcomes import Outcome, Refusal
from ..routing import Executor, GenerateWork, Work
from ..tasks import cancel_and_wait
from .attempts import Attempt, FinishedSample, StaleAttempt
from .declaration import StepDeclaration
from .stream_lines import End, Failed, Line, Moved

TAIL_START_SHARE = 0.95  # stragglers are the last 5% of a step
STRAGGLER_FACTOR = 2.0  # times the median duration
TAIL_POLL_INTERVAL_MS = 250
POLL_INTERVAL_MS = 1_000
# Without retry budget, regenerations are delayed instead of refused, because every
# step must end.
REGENERATION_DELAY_MS = 2_000
CANCEL_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class HolderOptions:
    """Limits of one holder.

    Parameters
    ----------
    concurrency : int
        Maximum number of slots in generation or waiting for delivery; bounds the
        memory of samples that a slow trainer has not read.
    deadline_ms : float
        Deadline of one generation; equals the time that the target allows for a
        whole step.
    """

    concurrency: int = 256
    deadline_ms: float = 960_000


@dataclass(slots=True)
class SlotRun:
    """Concurrent attempts of one slot: the first and at most one hedged copy."""

    started_ms: float
    attempts: list[Attempt]


class StepHolder:
    """Streams the missing samples of one session of a step.

    Parameters
    ----------
    declaration : StepDeclaration
        Declaration of the trainer.
    trainer_version : int
        Latest known weight version of the trainer.
    staleness_bound : int
        Maximum number of versions by which a sample may be older than the trainer's.
    spend_hedge_budget, spend_retry_budget : callable
        Take one unit of the party's budget for a hedged copy or a regeneration;
        return whether there was one.
    """

    attempt_type = Attempt

    def __init__(
        self,
        declaration: StepDeclaration,
        trainer_version: int,
        staleness_bound: int,
        executor: Executor,
        clock: Clock,
        spend_hedge_budget: Callable[[], bool],
        spend_retry_budget: Callable[[], bool],
        options: HolderOptions,
    ) -> None:
        self.declaration = declaration
        self.trainer_version = trainer_version
        self.staleness_bound = staleness_bound
        self.executor = executor
        self.clock = clock
        self.spend_hedge_budget = spend_hedge_budget
        self.spend_retry_budget = spend_retry_budget
        self.options = options
        acknowledged = declaration.acknowledged_slots()
        self.pending = deque(
            slot for slot in range(declaration.slots) if slot not in acknowledged
        )
        self.remaining = len(self.pending)
        self.results: asyncio.Queue[FinishedSample | Failed | None] = asyncio.Queue()
        self.running: dict[int, SlotRun] = {}
        self.durations_ms: list[float] = []
        self.workers: set[asyncio.Task[None]] = set()
        self.stopping = False
        self.moved: Moved | None = None
        self.delivered = self.failed = self.discarded = self.cancelled = 0
        self.hedged = 0
        self.attempt_count = 0

    @property
    def min_version(self) -> int:
        """Lowest weight version that may be delivered."""
        return max(0, self.trainer_version - self.staleness_bound)

    def set_version(self, version: int) -> None:
        """Apply a newer trainer version to running attempts and to delivery."""
        if version <= self.trainer_version:
            return
        self.trainer_version = version
        for run in list(self.running.values()):
            for attempt in run.attempts:
                attempt.work.min_version = self.min_version
                attempt.cancel_if_too_old(self.min_version)

    async def lines(self) -> AsyncIterator[Line]:
        """Yield each missing sample once, then the last line of the stream.

        The consumer must start to send a line before it awaits anything else, so that
        no outdated line is sent after a newer trainer version was confirmed.
        """
        if not self.stopping:
            for _ in range(min(self.options.concurrency, len(self.pending))):
                self.workers.add(asyncio.create_task(self.run_worker()))
        try:
            while self.remaining and self.moved is None:
                line = self.make_line(await self.results.get())
                if line is not None:
                    yield line
            if self.moved is not None and self.remaining:
                yield self.moved
                return
            yield End(self.delivered, self.failed, self.discarded, self.cancelled)
        finally:
            self.stop(Moved("closed"))
            if self.workers:
                await asyncio.wait(self.workers, timeout=CANCEL_TIMEOUT_S)

    def make_line(self, item: FinishedSample | Failed | None) -> Line | None:
        """Return the line of a finished slot.

        Return None if its sample is too old or the stream has been ended.
        """
        if item is None or self.moved is not None:
            return None
        if isinstance(item, Failed):
            self.remaining -= 1
            self.failed += 1
            return item
        if not self.is_fresh(item.oldest_version):
            self.discarded += 1
            item.accepted.set_result(False)
            return None
        self.remaining -= 1
        self.delivered += 1
        item.accepted.set_result(True)
        return item.sample

    def is_fresh(self, oldest_version: int | None) -> bool:
        """Return whether a sample may be delivered now."""
        return oldest_version is None or oldest_version >= self.min_version

    def stop(self, moved: Moved) -> None:
        """End the stream with the line `moved` and cancel all work."""
        self.moved = self.moved or moved
        self.stopping = True
        for worker in self.workers:
            worker.cancel()
        self.results.put_nowait(None)

    async def drain(self, timeout_ms: float) -> None:
        """Start no more slots, deliver samples that finish in time, then stop."""
        self.stopping = True
        if self.workers:
            await asyncio.wait(self.workers, timeout=timeout_ms / 1000)
        self.stop(Moved("draining"))

    async def run_worker(self) -> None:
        """Fill pending slots one after another, in the order of their groups."""
        while self.pending and not self.stopping:
            await self.fill_slot(self.pending.popleft())

    async def fill_slot(self, slot: int) -> None:
        """Generate a slot until its sample is delivered or it fails permanently."""
        while not self.stopping:
            outcome = await self.generate(slot)
            if isinstance(outcome, Refusal):
                if is_final(outcome):
                    self.results.put_nowait(
                        Failed(slot, outcome.outcome, outcome.reason, outcome.message)
                    )
                    return
                await self.clock.sleep_ms(
                    outcome.retry_after_ms * random.uniform(1.0, 1.25)
                )
                continue
            if isinstance(outcome, FinishedSample):
                self.results.put_nowait(outcome)
                if await outcome.accepted:
                    return
            else:
                self.cancelled += 1
            if not self.spend_retry_budget():
                await self.clock.sleep_ms(
                    REGENERATION_DELAY_MS * random.uniform(0.75, 1.25)
                )

    async def generate(self, slot: int) -> FinishedSample | Refusal | StaleAttempt:
        """Run one attempt, and a hedged copy if the slot becomes a straggler."""
        run = SlotRun(self.clock.monotonic_ms(), [])
        self.running[slot] = run
        tasks = {self.start_attempt(slot, run)}
        try:
            while True:
                done, tasks = await asyncio.wait(
                    tasks,
                    timeout=self.poll_interval_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                outcomes = [task.result() for task in done]
                for outcome in outcomes:
                    if isinstance(outcome, FinishedSample):
                        self.durations_ms.append(self.elapsed_ms(run))
                        return outcome
                if not tasks:
                    return outcomes[0]
                if self.is_straggler(run) and self.spend_hedge_budget():
                    self.hedged += 1
                    tasks.add(self.start_attempt(slot, run))
        finally:
            del self.running[slot]
            await cancel_and_wait(tasks)

    @property
    def poll_interval_s(self) -> float:
        """Interval in seconds at which a running slot is checked for hedging."""
        return (TAIL_POLL_INTERVAL_MS if self.is_in_tail else POLL_INTERVAL_MS) / 1000

    @property
    def is_in_tail(self) -> bool:
        """Whether only the last 5% of the step's samples are missing."""
        return self.remaining <= (1 - TAIL_START_SHARE) * self.declaration.slots

    def elapsed_ms(self, run: SlotRun) -> float:
        """Return the time since the generation of a slot started."""
        return self.clock.monotonic_ms() - run.started_ms

    def is_straggler(self, run: SlotRun) -> bool:
        """Return whether a slot should get a hedged copy."""
        if len(run.attempts) > 1 or not self.is_in_tail or not self.durations_ms:
            return False
        median = statistics.median(self.durations_ms)
        return self.elapsed_ms(run) > STRAGGLER_FACTOR * median

    def start_attempt(self, slot: int, run: SlotRun) -> asyncio.Task:
        """Start an attempt that excludes the servers of the slot's other attempts."""
        attempt = self.attempt_type(slot, self.make_work(slot, run))
        run.attempts.append(attempt)
        attempt.task = asyncio.create_task(attempt.run(self.executor))
        return attempt.task

    def make_work(self, slot: int, run: SlotRun) -> Work:
        """Return the work of an attempt; samples of a prompt name the same group."""
        declaration = self.declaration
        group = slot // declaration.samples_per_group
        step = f"{declaration.trainer}.{declaration.step}"
        self.attempt_count += 1
        servers = {attempt.server for attempt in run.attempts} - {""}
        return Work(
            f"{step}.{declaration.session}.{slot}.{self.attempt_count}",
            declaration.trainer,
            declaration.service,
            GenerateWork(
                declaration.prompts[group],
                declaration.max_tokens,
                declaration.seed + slot,
            ),
            deadline_ms=self.options.deadline_ms,
            # A hedged copy names no group, because the group's server is the slow one.
            group="" if run.attempts else f"{step}.{group}",
            min_version=self.min_version,
            exclude=tuple(sorted(servers)),
        )


def is_final(refusal: Refusal) -> bool:
    """Return whether a retry cannot succeed."""
    return refusal.outcome == Outcome.GIVEN_UP or refusal.retry_after_ms is None
