"""Cancellation of tasks."""

import asyncio
from contextlib import suppress


async def end_task(task: asyncio.Task) -> None:
    """Cancel a task and wait until it ends."""
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
