"""Ending tasks."""

import asyncio
from collections.abc import Iterable

# Pause before a task that did not end is cancelled again.
RECANCEL_INTERVAL_S = 0.05


async def cancel_and_wait(tasks: "Iterable[asyncio.Task[None]]") -> None:
    """Cancel tasks and wait until they have ended.

    A task is cancelled until it ends: when a cancellation and a timeout of the HTTP
    library fall into the same step of the event loop, the library reports the timeout
    and the cancellation is lost. Timers expire together after a process was paused.
    """
    tasks = list(tasks)
    pending = {task for task in tasks if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=RECANCEL_INTERVAL_S)
    await asyncio.gather(*tasks, return_exceptions=True)
