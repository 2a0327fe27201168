"""Queue in front of the engines: which item goes to which server, and when."""

import asyncio
import bisect
import itertools
import logging
from collections import OrderedDict
from dataclasses import dataclass, field

from ..edges import Clock
from ..fleet import ListedServer, ServerDirectory, ServerSelector

logger = logging.getLogger(__name__)

# A server slower than this gets no item while others take work, and its runs are
# moved. A neighbour that slows it 2.5 times for 600 ms brings the average to 1.7, and
# a full batch adds a fifth.
SLOW = 2.2
# A long run leaves a server that is disturbed this much for one that is not: a step is
# as long as its longest item, and disturbances would add a fifth to it.
DISTURBED = 1.7
CALM = 1.25
# The prompt of a group is read once where the group runs together: a server that has
# it is preferred unless it is this much of a batch fuller than the emptiest one.
GROUP_BONUS = 0.15
GROUPS_REMEMBERED = 4_000
# An item that waits this long is started although no server has a free slot, so that
# it waits in the server's own queue.
FORCE_AFTER_MS = 2_000
PUMP_MS = 50


@dataclass(slots=True)
class ItemNeed:
    """What an item asks of a server.

    Parameters
    ----------
    due_ms : float
        Monotonic time at which its batch is due; earlier ones go first.
    length_hint : int
        Estimated output tokens; within a batch long items go first, since they end
        last.
    min_version, exact_version : int or None
        Weights that may generate its text.
    group : str
        Items with the same prompt.
    avoid : str or None
        Server that it was moved away from.
    """

    service: str
    model: str
    due_ms: float
    length_hint: int = 0
    min_version: int = 0
    exact_version: int | None = None
    group: str = ""
    avoid: str | None = None

    def conditions(self) -> tuple[object, ...]:
        """Return what decides whether a server may take the item."""
        return (
            self.service,
            self.model,
            self.min_version,
            self.exact_version,
            self.avoid,
        )


@dataclass(slots=True)
class Waiter:
    """An item that waits for a server."""

    order: tuple[float, int, int]
    need: ItemNeed
    since_ms: float
    granted: asyncio.Future[ListedServer] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class ItemPlacement:
    """Grants servers to items in order of urgency.

    Parameters
    ----------
    directory : ServerDirectory
        Servers.
    choice : ServerSelector
        Costs of servers.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, directory: ServerDirectory, choice: ServerSelector, clock: Clock
    ) -> None:
        self.directory = directory
        self.choice = choice
        self.clock = clock
        self.waiters: list[Waiter] = []
        self.numbers = itertools.count()
        self.group_servers: OrderedDict[str, str] = OrderedDict()
        self.timer: asyncio.TimerHandle | None = None
        directory.subscribe(self.pump)

    async def acquire(self, need: ItemNeed) -> ListedServer:
        """Wait for a server; `release` must follow."""
        order = (need.due_ms, -need.length_hint, next(self.numbers))
        waiter = Waiter(order, need, self.clock.monotonic_ms())
        bisect.insort(self.waiters, waiter, key=lambda w: w.order)
        self.pump()
        try:
            return await waiter.granted
        except asyncio.CancelledError:
            if waiter.granted.done() and not waiter.granted.cancelled():
                self.release(waiter.granted.result())
            elif waiter in self.waiters:
                self.waiters.remove(waiter)
            raise

    def release(self, server: ListedServer) -> None:
        """Give a server back."""
        condition = self.directory.condition(server.name)
        condition.own_requests = max(0, condition.own_requests - 1)
        self.pump()

    def pump(self) -> None:
        """Grant servers to waiting items in their order."""
        now = self.clock.monotonic_ms()
        left: list[Waiter] = []
        # Servers only become fuller in this loop: of the items that ask for the same,
        # the first one without a server speaks for all.
        in_vain: set[tuple[object, ...]] = set()
        for waiter in self.waiters:
            if waiter.granted.cancelled():
                continue
            forced = now - waiter.since_ms > FORCE_AFTER_MS
            asked = (forced, *waiter.need.conditions())
            server = None if asked in in_vain else self.choose(waiter.need, forced)
            if server is None:
                in_vain.add(asked)
                left.append(waiter)
                continue
            self.directory.condition(server.name).own_requests += 1
            if waiter.need.group:
                self.remember_group(waiter.need.group, server.name)
            waiter.granted.set_result(server)
        self.waiters = left
        if left and self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(PUMP_MS / 1000, self.tick)

    def tick(self) -> None:
        """Try again what waits."""
        self.timer = None
        self.pump()

    def remember_group(self, group: str, server: str) -> None:
        """Note where a group's prompt was read."""
        self.group_servers[group] = server
        self.group_servers.move_to_end(group)
        if len(self.group_servers) > GROUPS_REMEMBERED:
            self.group_servers.popitem(last=False)

    def fits(self, server: ListedServer, need: ItemNeed, forced: bool = False) -> bool:
        """Tell whether a server has weights that may generate the item.

        When forced, an item that was begun with one version may start anew with
        another: the servers that had that version have changed it meanwhile.
        """
        if not need.model:
            return True
        version = self.directory.version_of(server, need.model)
        if need.exact_version is not None and not forced:
            return version == need.exact_version
        return version >= need.min_version

    def can_serve(self, need: ItemNeed) -> bool:
        """Tell whether any server has weights that may generate the item."""
        return any(
            self.fits(server, need) for server in self.directory.ready(need.service)
        )

    def choose(self, need: ItemNeed, forced: bool = False) -> ListedServer | None:
        """Return the cheapest server with room; when forced, also a full one."""
        now = self.clock.monotonic_ms()
        usual = self.choice.median_gap_ms(need.service)
        best: ListedServer | None = None
        best_cost = float("inf")
        for server in self.directory.ready(need.service):
            condition = self.directory.condition(server.name)
            if not self.fits(server, need, forced):
                continue
            if not forced:
                if server.name == need.avoid or condition.is_backing_off(now):
                    continue
                if condition.model_refused_until_ms.get(need.model, 0) > now:
                    continue
                if condition.load(now) >= server.slots:
                    continue
                if condition.slowness(usual, now) > SLOW:
                    continue
                if condition.was_slow(usual, SLOW) and condition.own_requests:
                    # One item finds out whether the server has recovered.
                    continue
            cost = self.choice.engine_cost(server, usual)
            if need.group and self.group_servers.get(need.group) == server.name:
                cost -= GROUP_BONUS
            if cost < best_cost:
                best, best_cost = server, cost
        return best

    def should_move(
        self, server: ListedServer, need: ItemNeed, long: bool = False
    ) -> bool:
        """Tell whether a run would end sooner on another server.

        A long run also leaves a server that is only disturbed for the moment.
        """
        now = self.clock.monotonic_ms()
        usual = self.choice.median_gap_ms(need.service)
        condition = self.directory.condition(server.name)
        slow = condition.slowness(usual, now) > SLOW
        disturbed = long and condition.recent_slowness(usual, now) > DISTURBED
        if not slow and not disturbed:
            return False
        other = self.choose(need)
        if other is None or other.name == server.name:
            return False
        there = self.directory.condition(other.name)
        return slow or there.recent_slowness(usual, now) < CALM
