"""Cancellation of asyncio tasks."""

import asyncio
from collections.abc import Iterable

# Wait before a task that has not ended is cancelled again.
RECANCEL_INTERVAL_S = 0.05


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
