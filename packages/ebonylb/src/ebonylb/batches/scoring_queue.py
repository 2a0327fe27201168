"""Limit of concurrent scoring requests for each service."""

import asyncio
import bisect
import itertools
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from ..fleet import ServerDirectory

# Slots of each server that scoring requests leave to callers' own requests. The items
# of a group end together and ask for their scores at the same time.
SPARE_SLOTS = 2


@dataclass(slots=True, eq=False)
class WaitingCall:
    """A scoring request in the queue; `granted` resolves when it may be sent."""

    sort_key: tuple[float, int]
    granted: asyncio.Future[None] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class ScoringQueue:
    """Grants scoring requests in the order in which their batches are due.

    Parameters
    ----------
    directory : ServerDirectory
        Servers whose slots set the limit.
    """

    def __init__(self, directory: ServerDirectory) -> None:
        self.directory = directory
        self.waiting_calls: dict[str, list[WaitingCall]] = {}
        self.running_calls: Counter[str] = Counter()
        self.arrival_numbers = itertools.count()

    def limit(self, service: str) -> int:
        """Return how many scoring requests a service may run at once, at least 1."""
        slots = (
            max(1, server.slots - SPARE_SLOTS)
            for server in self.directory.ready(service)
        )
        return max(1, sum(slots))

    @asynccontextmanager
    async def enter(self, service: str, due_ms: float) -> AsyncIterator[None]:
        """Wait for the request's turn, and count it as running inside the context."""
        call = WaitingCall((due_ms, next(self.arrival_numbers)))
        waiting = self.waiting_calls.setdefault(service, [])
        bisect.insort(waiting, call, key=lambda waiter: waiter.sort_key)
        self.grant(service)
        try:
            await call.granted
            yield
        finally:
            if call.granted.done() and not call.granted.cancelled():
                self.running_calls[service] -= 1
            elif call in waiting:
                waiting.remove(call)
            self.grant(service)

    def grant(self, service: str) -> None:
        """Grant waiting requests up to the limit."""
        waiting = self.waiting_calls.get(service, [])
        limit = self.limit(service)
        while waiting and self.running_calls[service] < limit:
            call = waiting.pop(0)
            if not call.granted.cancelled():
                self.running_calls[service] += 1
                call.granted.set_result(None)
