"""Supervision and cancellation of asyncio tasks."""

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Sequence
from typing import TypeVar

logger = logging.getLogger(__name__)

Value = TypeVar("Value")

# Pause before a background task that failed starts again.
RESTART_DELAY_S = 1.0
# Wait before a task that has not ended is cancelled again.
RECANCEL_INTERVAL_S = 0.05


async def run_supervised(
    name: str, run: Callable[[], Awaitable[None]], on_failure: Callable[[], None]
) -> None:
    """Run a background task until it is cancelled, and again after each exception.

    Nobody waits for the result of such a task. Without a restart, a single unexpected
    message would end the duty on this entry VM without a trace.

    Parameters
    ----------
    name : str
        Name of the task in the log.
    run : callable
        Returns a new coroutine of the task.
    on_failure : callable
        Called after each exception, to count it.
    """
    while True:
        try:
            await run()
            return
        except Exception:
            logger.exception("background task failed", extra={"task": name})
            on_failure()
        await asyncio.sleep(RESTART_DELAY_S)


async def cancel_and_wait(tasks: "Iterable[asyncio.Task[None]]") -> None:
    """Cancel tasks and wait until they have ended.

    The cancellation is repeated until a task ends. If a cancellation and a timeout of
    the HTTP library occur in the same iteration of the event loop, the library raises
    the timeout and the cancellation is lost. This happens after a pause of the process,
    when many timers expire together.
    """
    tasks = list(tasks)
    pending = {task for task in tasks if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=RECANCEL_INTERVAL_S)
    await asyncio.gather(*tasks, return_exceptions=True)


async def in_turns(
    values: Sequence[Value], per_turn: int
) -> AsyncIterator[Sequence[Value]]:
    """Iterate over slices of a sequence, each in its own turn of the event loop.

    Long work would otherwise hold up everything else on the loop, heartbeats included.
    """
    for first in range(0, len(values), per_turn):
        if first:
            await asyncio.sleep(0)
        yield values[first : first + per_turn]
