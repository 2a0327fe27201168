"""Polling of a condition until it is true."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from inspect import isawaitable

POLL_INTERVAL_S = 0.01


async def until(
    condition: Callable[[], object | Awaitable[object]],
    timeout_ms: float,
    description: str = "condition",
) -> object:
    """Poll a condition until it is true and return its value.

    Conditions read the state of other processes over HTTP, which cannot set an
    event in this process.

    Raises
    ------
    TimeoutError
        The condition was still false after `timeout_ms`. The message names the
        condition and its last value.
    """
    deadline_s = time.monotonic() + timeout_ms / 1000
    while True:
        value = condition()
        if isawaitable(value):
            value = await value
        if value:
            return value
        if time.monotonic() > deadline_s:
            raise TimeoutError(
                f"{description} not met within {timeout_ms:.0f} ms: {value!r}"
            )
        await asyncio.sleep(POLL_INTERVAL_S)
