"""Queue in front of the engines: which item goes to which server, and when."""

import asyncio
import bisect
import itertools
import logging
from collections import OrderedDict
from dataclasses import dataclass, field

from ..edges import Clock
from ..fleet import ListedServer, ServerChoice, ServerDirectory

logger = logging.getLogger(__name__)

# A server slower than this gets no item while others take work, and its runs are
# moved. A neighbour that slows it 2.5 times for 600 ms brings the average to 1.7, and
# a full batch adds a fifth.
SLOW_FACTOR = 2.2
# A long run leaves a server that is disturbed this much for one that is not: a step is
# as long as its longest item, and disturbances would add a fifth to it.
DISTURBED_FACTOR = 1.7
UNDISTURBED_FACTOR = 1.25
# The prompt of a group is read once where the group runs together: a server that has
# it is preferred unless it is this much of a batch fuller than the emptiest one.
GROUP_AFFINITY_BONUS = 0.15
MAX_REMEMBERED_GROUPS = 4_000
# An item that waits this long is started although no server has a free slot, so that
# it waits in the server's own queue.
FORCE_AFTER_MS = 2_000
RETRY_INTERVAL_MS = 50


@dataclass(slots=True)
class ItemRequirements:
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

    def server_criteria(self) -> tuple[object, ...]:
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

    sort_key: tuple[float, int, int]
    need: ItemRequirements
    queued_ms: float
    granted_server: asyncio.Future[ListedServer] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class ItemPlacement:
    """Grants servers to items in order of urgency.

    Parameters
    ----------
    directory : ServerDirectory
        Servers.
    choice : ServerChoice
        Costs of servers.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, directory: ServerDirectory, choice: ServerChoice, clock: Clock
    ) -> None:
        self.directory = directory
        self.choice = choice
        self.clock = clock
        self.waiters: list[Waiter] = []
        self.arrival_numbers = itertools.count()
        self.group_servers: OrderedDict[str, str] = OrderedDict()
        self.timer: asyncio.TimerHandle | None = None
        directory.subscribe(self.grant_servers)

    async def acquire(self, need: ItemRequirements) -> ListedServer:
        """Wait for a server; `release` must follow."""
        sort_key = (need.due_ms, -need.length_hint, next(self.arrival_numbers))
        waiter = Waiter(sort_key, need, self.clock.monotonic_ms())
        bisect.insort(self.waiters, waiter, key=lambda w: w.sort_key)
        self.grant_servers()
        try:
            return await waiter.granted_server
        except asyncio.CancelledError:
            if waiter.granted_server.done() and not waiter.granted_server.cancelled():
                self.release(waiter.granted_server.result())
            elif waiter in self.waiters:
                self.waiters.remove(waiter)
            raise

    def release(self, server: ListedServer) -> None:
        """Give a server back."""
        condition = self.directory.condition(server.name)
        condition.own = max(0, condition.own - 1)
        self.grant_servers()

    def grant_servers(self) -> None:
        """Grant servers to waiting items in their order."""
        now = self.clock.monotonic_ms()
        still_waiting: list[Waiter] = []
        # Servers only become fuller in this loop: of the items that ask for the same,
        # the first one without a server speaks for all.
        unmet_criteria: set[tuple[object, ...]] = set()
        for waiter in self.waiters:
            if waiter.granted_server.cancelled():
                continue
            forced = now - waiter.queued_ms > FORCE_AFTER_MS
            criteria = (forced, *waiter.need.server_criteria())
            server = (
                None if criteria in unmet_criteria else self.choose(waiter.need, forced)
            )
            if server is None:
                unmet_criteria.add(criteria)
                still_waiting.append(waiter)
                continue
            self.directory.condition(server.name).own += 1
            if waiter.need.group:
                self.remember_group(waiter.need.group, server.name)
            waiter.granted_server.set_result(server)
        self.waiters = still_waiting
        if still_waiting and self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(RETRY_INTERVAL_MS / 1000, self.retry)

    def retry(self) -> None:
        """Try again what waits."""
        self.timer = None
        self.grant_servers()

    def remember_group(self, group: str, server: str) -> None:
        """Note where a group's prompt was read."""
        self.group_servers[group] = server
        self.group_servers.move_to_end(group)
        if len(self.group_servers) > MAX_REMEMBERED_GROUPS:
            self.group_servers.popitem(last=False)

    def fits(
        self, server: ListedServer, need: ItemRequirements, forced: bool = False
    ) -> bool:
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

    def can_serve(self, need: ItemRequirements) -> bool:
        """Tell whether any server has weights that may generate the item."""
        return any(
            self.fits(server, need) for server in self.directory.ready(need.service)
        )

    def choose(
        self, need: ItemRequirements, forced: bool = False
    ) -> ListedServer | None:
        """Return the cheapest server with room; when forced, also a full one."""
        now = self.clock.monotonic_ms()
        typical_gap_ms = self.choice.usual_gap_ms(need.service)
        best: ListedServer | None = None
        best_cost = float("inf")
        for server in self.directory.ready(need.service):
            condition = self.directory.condition(server.name)
            if not self.fits(server, need, forced):
                continue
            if not forced:
                if server.name == need.avoid or condition.rests(now):
                    continue
                if condition.refused_until_ms.get(need.model, 0) > now:
                    continue
                if condition.load(now) >= server.slots:
                    continue
                if condition.slowness(typical_gap_ms, now) > SLOW_FACTOR:
                    continue
                if condition.was_slow(typical_gap_ms, SLOW_FACTOR) and condition.own:
                    # One item finds out whether the server has recovered.
                    continue
            cost = self.choice.engine_cost(server, typical_gap_ms)
            if need.group and self.group_servers.get(need.group) == server.name:
                cost -= GROUP_AFFINITY_BONUS
            if cost < best_cost:
                best, best_cost = server, cost
        return best

    def should_move(
        self, server: ListedServer, need: ItemRequirements, long: bool = False
    ) -> bool:
        """Tell whether a run would end sooner on another server.

        A long run also leaves a server that is only disturbed for the moment.
        """
        now = self.clock.monotonic_ms()
        typical_gap_ms = self.choice.usual_gap_ms(need.service)
        condition = self.directory.condition(server.name)
        slow = condition.slowness(typical_gap_ms, now) > SLOW_FACTOR
        disturbed = (
            long and condition.disturbance(typical_gap_ms, now) > DISTURBED_FACTOR
        )
        if not slow and not disturbed:
            return False
        other = self.choose(need)
        if other is None or other.name == server.name:
            return False
        other_condition = self.directory.condition(other.name)
        return (
            slow
            or other_condition.disturbance(typical_gap_ms, now) < UNDISTURBED_FACTOR
        )
