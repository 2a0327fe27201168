"""Items that wait for a server, grouped by what decides which servers they may use."""

import asyncio
import heapq
import itertools
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..fleet import ListedServer
    from .placement import ItemRequirements

# An item that has waited this long is sent to a server whose slots others seem to use,
# and waits in the server's own queue if they do.
FORCE_AFTER_MS = 2_000
# Items of one group that become overdue in one pass; the others follow in the next one.
MAX_OVERDUE_PER_PASS = 1_000

Owner = tuple[str, str]
Criteria = tuple[object, ...]


@dataclass(slots=True, eq=False)
class Waiter:
    """An item in the queue.

    Attributes
    ----------
    sort_key : tuple of (float, int)
        Latest time to start, and the number of its arrival.
    granted_server : asyncio.Future
        Resolves to its server.
    line : Line or None
        Where it waits; None if it does not.
    """

    sort_key: tuple[float, int]
    need: "ItemRequirements"
    queued_ms: float
    granted_server: "asyncio.Future[ListedServer]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    line: "Line | None" = None

    @property
    def order(self) -> tuple[int, tuple[float, int]]:
        """Order among the items of its customer."""
        return self.need.priority, self.sort_key


@dataclass(slots=True, eq=False)
class Line:
    """Waiting items of one customer with the same criteria, in their order.

    If no server fits the first of them, none fits the others.

    Attributes
    ----------
    forced : bool
        Whether the items have waited longer than `FORCE_AFTER_MS`.
    heap : list
        Items by their order; those that have left the line are dropped at its head.
    """

    owner: Owner
    criteria: Criteria
    forced: bool
    heap: list[tuple[tuple[int, tuple[float, int]], Waiter]] = field(
        default_factory=list
    )

    def put(self, waiter: Waiter) -> None:
        """Add an item, which leaves its former line."""
        waiter.line = self
        heapq.heappush(self.heap, (waiter.order, waiter))

    def first(self) -> Waiter | None:
        """Return the first item; None if the line is empty."""
        while self.heap:
            waiter = self.heap[0][1]
            # A cancelled item leaves the queue only when its task runs again.
            if waiter.line is self and not waiter.granted_server.done():
                return waiter
            heapq.heappop(self.heap)
        return None


@dataclass(slots=True, eq=False)
class WaitingGroup:
    """Both lines of items with the same criteria, and when they become overdue."""

    line: Line
    overdue: Line
    arrivals: list[tuple[float, int, Waiter]] = field(default_factory=list)

    def put(self, waiter: Waiter) -> None:
        """Add an item."""
        self.line.put(waiter)
        heapq.heappush(self.arrivals, (waiter.queued_ms, waiter.sort_key[1], waiter))

    def move_overdue(self, now_ms: float) -> None:
        """Move the items that have waited for long to the line of the overdue."""
        for _ in range(MAX_OVERDUE_PER_PASS):
            if not self.arrivals or now_ms - self.arrivals[0][0] <= FORCE_AFTER_MS:
                return
            waiter = heapq.heappop(self.arrivals)[-1]
            if waiter.line is self.line:
                self.overdue.put(waiter)


class WaitingItems:
    """Queue of waiting items; a pass over it looks at the first of each line only.

    Attributes
    ----------
    groups : dict of (Owner, Criteria) to WaitingGroup
        Lines by the customer and the criteria of their items.
    counts : Counter of str
        Number of waiting items by service.
    bound : dict of int to Waiter
        Items that need a certain software version, by the number of their arrival.
    """

    def __init__(self) -> None:
        self.groups: dict[tuple[Owner, Criteria], WaitingGroup] = {}
        self.counts: Counter[str] = Counter()
        self.bound: dict[int, Waiter] = {}
        self.arrival_numbers = itertools.count()

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return self.counts.total()

    def add(self, waiter: Waiter, criteria: Criteria) -> bool:
        """Add an item; return whether others with its criteria wait already."""
        need = waiter.need
        owner = (need.service, need.customer)
        group = self.groups.get((owner, criteria))
        has_others = group is not None and (
            group.line.first() is not None or group.overdue.first() is not None
        )
        if group is None:
            group = self.groups[owner, criteria] = WaitingGroup(
                Line(owner, criteria, False), Line(owner, criteria, True)
            )
        group.put(waiter)
        self.counts[need.service] += 1
        if need.software_version is not None:
            self.bound[waiter.sort_key[1]] = waiter
        return has_others

    def remove(self, waiter: Waiter) -> None:
        """Remove an item that was granted a server, was cancelled or changes."""
        if waiter.line is None:
            return
        waiter.line = None
        service = waiter.need.service
        self.counts[service] -= 1
        if not self.counts[service]:
            del self.counts[service]
        self.bound.pop(waiter.sort_key[1], None)

    def update(self, now_ms: float) -> list[Line]:
        """Return the lines that have items, after those that became overdue moved."""
        lines: list[Line] = []
        for key, group in list(self.groups.items()):
            group.move_overdue(now_ms)
            filled = [x for x in (group.line, group.overdue) if x.first() is not None]
            if not filled:
                del self.groups[key]
            lines.extend(filled)
        return lines

    def in_order(self) -> list[Waiter]:
        """Return all items in the order in which they must start."""
        waiters = (
            waiter
            for group in self.groups.values()
            for line in (group.line, group.overdue)
            for _, waiter in line.heap
            if waiter.line is line
        )
        return sorted(waiters, key=lambda waiter: waiter.sort_key)
