"""Graceful shutdown of this entry VM: stages in a fixed order with one timeout."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import IntEnum

from ..interfaces import Clock
from ..tasks import cancel_and_wait
from .lifecycle import EntryVmLifecycle

logger = logging.getLogger(__name__)

StageFunction = Callable[[], Awaitable[object]]

# Share of the timeout that is reserved for the journal, even if earlier stages do not
# end: the journal holds results that callers may request again.
JOURNAL_FLUSH_SHARE = 0.1
# Interval at which a running stage logs what it waits for. Most stages end earlier;
# streams can delay one for minutes, which logs one line per interval.
PROGRESS_LOG_INTERVAL_MS = 2_000.0


class StageKind(IntEnum):
    """Stages of a shutdown, in the order in which they run."""

    TELL_PEERS = 1
    BALANCER_GRACE = 2
    HAND_BACK_QUEUE = 3
    WAIT_IN_FLIGHT = 4
    END_STEPS = 5
    FLUSH_JOURNAL = 6


@dataclass(frozen=True, slots=True)
class StageReport:
    """Duration and outcome of one stage: done, failed or timed_out."""

    stage: StageKind
    duration_ms: float
    outcome: str


@dataclass(slots=True)
class ShutdownStages:
    """Registered functions by stage.

    Functions of one stage run concurrently. The streams of trainers' steps can last
    many minutes, so `WAIT_IN_FLIGHT` must not include them: running samples end in an
    earlier stage or in `END_STEPS`.
    """

    stages: dict[StageKind, list[StageFunction]] = field(default_factory=dict)
    wait_descriptions: dict[StageKind, list[Callable[[], str]]] = field(
        default_factory=dict
    )

    def add(
        self,
        kind: StageKind,
        stage: StageFunction,
        describe_wait: Callable[[], str] | None = None,
    ) -> None:
        """Register a function of a stage.

        Parameters
        ----------
        kind : StageKind
            Stage in which the function runs.
        stage : callable
            Asynchronous function without arguments.
        describe_wait : callable or None
            Returns a text that says what `stage` waits for.
        """
        self.stages.setdefault(kind, []).append(stage)
        if describe_wait is not None:
            self.wait_descriptions.setdefault(kind, []).append(describe_wait)

    def functions(self, kind: StageKind) -> list[StageFunction]:
        """Return the functions of a stage."""
        return self.stages.get(kind, [])

    def describe_wait(self, kind: StageKind) -> str:
        """Return a text that says what the functions of a stage wait for."""
        return (
            "; ".join(describe() for describe in self.wait_descriptions.get(kind, []))
            or "not known"
        )


async def shutdown(
    lifecycle: EntryVmLifecycle,
    stages: ShutdownStages,
    clock: Clock,
    balancer_grace_ms: float,
    timeout_ms: float,
) -> list[StageReport]:
    """Run the shutdown sequence once.

    A failed stage is logged and the next one runs. A stage that reaches its deadline
    is cancelled, and the stages after it share the time reserved for the journal.
    If two entry VMs leave together, each hands its queue to owners chosen from the
    entry VMs that are still ready; if there are none, queued work gets ``not_run``.

    Parameters
    ----------
    lifecycle : EntryVmLifecycle
        Enters leaving at once, finishing after the grace period, stopped at the end.
    stages : ShutdownStages
        Functions to run.
    clock : Clock
        Source of time.
    balancer_grace_ms : float
        Time for which requests are still admitted.
    timeout_ms : float
        Maximum duration of all stages together.

    Returns
    -------
    list of StageReport
        Duration and outcome of each stage; empty if a shutdown has already begun.
    """
    if lifecycle.state not in ("starting", "ready"):
        return []
    started_ms = clock.monotonic_ms()
    lifecycle.leave()
    reports = []
    for kind in StageKind:
        functions = stages.functions(kind)
        if kind is StageKind.BALANCER_GRACE:
            functions = [*functions, lambda: clock.sleep_ms(balancer_grace_ms)]
        elif kind is StageKind.HAND_BACK_QUEUE and lifecycle.state == "leaving":
            lifecycle.finish()
        deadline_ms = stage_deadline_ms(kind, started_ms, timeout_ms, clock)
        wait_logger = asyncio.create_task(log_waits(kind, stages, clock))
        try:
            reports.append(await run_stage(kind, functions, clock, deadline_ms))
        finally:
            await cancel_and_wait([wait_logger])
    lifecycle.stop()
    return reports


async def log_waits(kind: StageKind, stages: ShutdownStages, clock: Clock) -> None:
    """Log at an interval what a stage waits for, until cancelled."""
    while True:
        await clock.sleep_ms(PROGRESS_LOG_INTERVAL_MS)
        logger.info(
            "shutdown stage %s still runs, waits for: %s",
            kind.name,
            stages.describe_wait(kind),
        )


def stage_deadline_ms(
    kind: StageKind, started_ms: float, timeout_ms: float, clock: Clock
) -> float:
    """Return the time at which a stage is cancelled, on the monotonic clock."""
    if kind is StageKind.FLUSH_JOURNAL:
        return started_ms + timeout_ms
    deadline_ms = started_ms + timeout_ms * (1 - JOURNAL_FLUSH_SHARE)
    if kind is StageKind.END_STEPS:
        # Trainers must be able to read `moved` even if earlier stages used up their
        # time.
        deadline_ms = max(
            deadline_ms, clock.monotonic_ms() + timeout_ms * JOURNAL_FLUSH_SHARE / 2
        )
    return deadline_ms


async def run_stage(
    kind: StageKind, functions: list[StageFunction], clock: Clock, deadline_ms: float
) -> StageReport:
    """Run the functions of a stage concurrently; cancel them at the deadline."""
    started_ms = clock.monotonic_ms()
    outcome = "done"
    tasks = [asyncio.ensure_future(function()) for function in functions]
    if tasks:
        timer = asyncio.ensure_future(
            clock.sleep_ms(max(0.0, deadline_ms - started_ms))
        )
        all_results = asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.wait([all_results, timer], return_when=asyncio.FIRST_COMPLETED)
        timer.cancel()
        if not all_results.done():
            outcome = "timed_out"
            for task in tasks:
                task.cancel()
        for result in await all_results:
            if isinstance(result, Exception):
                outcome = "failed"
                logger.error("shutdown stage %s failed", kind.name, exc_info=result)
    duration_ms = clock.monotonic_ms() - started_ms
    logger.info("shutdown stage %s: %s after %.0f ms", kind.name, outcome, duration_ms)
    return StageReport(kind, duration_ms, outcome)
