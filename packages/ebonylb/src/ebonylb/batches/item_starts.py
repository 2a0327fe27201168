"""Start of a batch's items: few at a time, and no more than servers can soon take."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..interfaces import Clock
from ..routes import Route, choose_target
from .model import BatchHeader, BatchItem

# Items of one batch that wait for a server of one kind. The engines of a service have
# some hundred slots. A waiting item needs a few kilobytes of memory.
MAX_WAITING = 512
# Items that are started in one go of the event loop. Each takes some 50 us.
ITEMS_PER_TURN = 32
CHECK_INTERVAL_MS = 20.0

Lane = tuple[str, str]


@dataclass(slots=True)
class StartLane:
    """Items of a batch for one service and model.

    Attributes
    ----------
    unstarted : deque of BatchItem
        Items in the order of their starts.
    waiting : int
        Number of started items that have no server.
    """

    unstarted: deque[BatchItem] = field(default_factory=deque)
    waiting: int = 0


class ItemStarts:
    """Starts the items of a batch in order, a limited number of them ahead.

    Items for one service, or model, do not hold up those for another.

    Parameters
    ----------
    header : BatchHeader
        Header of the batch, which names the model of items that name none.
    route : Route
        Route of the batch, which selects the service of each item.
    clock : Clock
        Source of time.
    start : callable
        Starts an item; returns False if it needs no start any more.
    """

    def __init__(
        self,
        header: BatchHeader,
        route: Route,
        clock: Clock,
        start: Callable[[BatchItem], bool],
    ) -> None:
        self.header = header
        self.route = route
        self.clock = clock
        self.start = start
        self.lanes: dict[Lane, StartLane] = {}

    def lane_of(self, item: BatchItem) -> StartLane:
        """Return the lane of an item."""
        service = choose_target(self.route, item.item_id).service
        key = (service, item.model or self.header.model)
        return self.lanes.setdefault(key, StartLane())

    async def run(self, items: Iterable[BatchItem]) -> None:
        """Start all items, each once its lane has room."""
        for number, item in enumerate(items, start=1):
            self.lane_of(item).unstarted.append(item)
            if number % ITEMS_PER_TURN == 0:
                self.start_next()
                await asyncio.sleep(0)
        while any(lane.unstarted for lane in self.lanes.values()):
            if self.start_next():
                await asyncio.sleep(0)
            else:
                await self.clock.sleep_ms(CHECK_INTERVAL_MS)

    def start_next(self) -> int:
        """Start the next items of each lane; return how many."""
        started = 0
        for lane in self.lanes.values():
            while (
                lane.unstarted
                and lane.waiting < MAX_WAITING
                and started < ITEMS_PER_TURN
            ):
                if self.start(lane.unstarted.popleft()):
                    lane.waiting += 1
                    started += 1
        return started

    def end_wait(self, item: BatchItem) -> None:
        """Record that a started item has a server, or a result without one."""
        self.lane_of(item).waiting -= 1
