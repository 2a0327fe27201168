"""Queue of items that wait for a server, and the choice of a server for each item."""

import asyncio
import bisect
import itertools
import logging
from collections import Counter, OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..fleet import ListedServer, ServerDirectory, ServerSelector
from ..interfaces import Clock
from .customer_order import CustomerOrder
from .holder_shares import NoSlotLimits, SlotLimits

logger = logging.getLogger(__name__)

# A server slower than the median by this factor gets no item while others accept work,
# and its runs are moved. A neighbour on the same machine that slows a server 2.5 times
# for 600 ms raises the average to 1.7, and a full batch of the engine adds a fifth.
SLOW_FACTOR = 2.2
# An item that needs this share of the time until it is due gets the fastest server.
LONG_ITEM_SHARE = 0.5
# A server processes the prompt of a group only once when the group's items run there
# together. Such a server is preferred, unless it is fuller than the emptiest server by
# this share of its slots. For a long item, the prompt is a small part of the work.
GROUP_AFFINITY_BONUS = 0.15
MAX_REMEMBERED_GROUPS = 4_000
# An item that has waited this long is sent to a server whose slots others seem to use,
# and waits in the server's own queue if they do.
FORCE_AFTER_MS = 2_000
RETRY_INTERVAL_MS = 50


@dataclass(slots=True)
class ItemRequirements:
    """Requirements of an item for its server, and its priority.

    Parameters
    ----------
    due_ms : float
        Monotonic time at which the batch is due; earlier batches go first.
    remaining_events : float
        Estimated number of events to generate. The item that must start first to be
        ready in time goes first.
    min_version, exact_version : int or None
        Minimum weight version, and the only one allowed if not None.
    software_version : str or None
        Only version of the server's software allowed, if not None.
    received_events : int
        Number of events that only servers of this software version can continue.
    group : str
        Group of items with the same prompt.
    avoid : str or None
        Name of the server that the item was moved away from or that failed it.
    route : str
        Name of the batch's route, whose texts have similar lengths.
    customer : str
        Customer of the batch; empty where there is none.
    priority : int
        Order among the items of the customer; 0 is the highest.
    """

    service: str
    model: str
    due_ms: float
    remaining_events: float = 0.0
    min_version: int = 0
    exact_version: int | None = None
    software_version: str | None = None
    received_events: int = 0
    group: str = ""
    avoid: str | None = None
    route: str = ""
    customer: str = ""
    priority: int = 0

    def server_criteria(self) -> tuple[object, ...]:
        """Return the fields that decide which servers may run the item."""
        return (
            self.service,
            self.model,
            self.min_version,
            self.exact_version,
            self.software_version,
            self.avoid,
        )


@dataclass(slots=True)
class Waiter:
    """An item in the queue; `granted_server` resolves to its server."""

    sort_key: tuple[float, int]
    need: ItemRequirements
    queued_ms: float
    granted_server: asyncio.Future[ListedServer] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class ItemPlacement:
    """Priority queue that assigns servers to items, the one that must start first.

    Parameters
    ----------
    directory : ServerDirectory
        Backend servers and their condition.
    selector : ServerSelector
        Cost of each server.
    clock : Clock
        Source of time.
    slot_limits : SlotLimits or None
        Share of this entry VM in the slots of each server; None if it shares them with
        nobody.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        selector: ServerSelector,
        clock: Clock,
        slot_limits: SlotLimits | None = None,
    ) -> None:
        self.directory = directory
        self.selector = selector
        self.clock = clock
        self.slot_limits = slot_limits or NoSlotLimits()
        self.customer_order = CustomerOrder(self.slot_limits)
        self.waiters: list[Waiter] = []
        self.arrival_numbers = itertools.count()
        self.group_servers: OrderedDict[str, str] = OrderedDict()
        self.timer: asyncio.TimerHandle | None = None
        directory.subscribe(self.grant_servers)

    async def acquire(self, need: ItemRequirements) -> ListedServer:
        """Wait for a server and return it; the caller must `release` it.

        The server counts as used by the customer of the item until then.
        """
        waiter = self.enqueue(need)
        try:
            return await waiter.granted_server
        except asyncio.CancelledError:
            if waiter.granted_server.done() and not waiter.granted_server.cancelled():
                self.release(waiter.granted_server.result(), need.customer)
            elif waiter in self.waiters:
                self.waiters.remove(waiter)
            raise

    def enqueue(self, need: ItemRequirements) -> Waiter:
        """Add an item to the queue, and grant it a server at once if one is free."""
        # The latest time to start: a long item goes before a short one that can wait.
        start_ms = need.due_ms - need.remaining_events * self.selector.median_gap_ms(
            need.service
        )
        sort_key = (start_ms, next(self.arrival_numbers))
        waiter = Waiter(sort_key, need, self.clock.monotonic_ms())
        bisect.insort(self.waiters, waiter, key=lambda w: w.sort_key)
        self.grant_servers()
        return waiter

    def release(self, server: ListedServer, customer: str = "") -> None:
        """Return a server's slot and serve waiting items."""
        self.customer_order.end(server.service, customer)
        condition = self.directory.condition(server.name)
        condition.own_requests = max(0, condition.own_requests - 1)
        self.grant_servers()

    def grant_servers(self) -> None:
        """Assign servers to waiting items in order, customers taking turns.

        Schedules a retry if items remain in the queue.
        """
        now = self.clock.monotonic_ms()
        still_waiting: list[Waiter] = []
        # Servers only become fuller in this loop: when no server fits an item, none
        # fits the later items with the same criteria.
        unmet_criteria: set[tuple[object, ...]] = set()
        for waiter in self.customer_order.arrange(self.waiters):
            if waiter.granted_server.cancelled():
                continue
            forced = now - waiter.queued_ms > FORCE_AFTER_MS
            if self.is_restart_faster(waiter, now):
                waiter.need.software_version = None
            criteria = (forced, *waiter.need.server_criteria())
            server = (
                None if criteria in unmet_criteria else self.choose(waiter.need, forced)
            )
            if server is None:
                unmet_criteria.add(criteria)
                still_waiting.append(waiter)
                continue
            self.directory.condition(server.name).own_requests += 1
            self.selector.limits.reserve(server)
            self.customer_order.begin(waiter.need)
            if waiter.need.group:
                self.remember_group(waiter.need.group, server.name)
            waiter.granted_server.set_result(server)
        still_waiting.sort(key=lambda w: w.sort_key)
        self.waiters = still_waiting
        if self.selector.limits.in_force:
            self.selector.limits.record_waiting(
                Counter(waiter.need.service for waiter in still_waiting)
            )
        if still_waiting and self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(RETRY_INTERVAL_MS / 1000, self.retry)

    def is_restart_faster(self, waiter: Waiter, now_ms: float) -> bool:
        """Return whether an item has waited for its software version for too long.

        That is the time in which another server would have made its events again.
        """
        need = waiter.need
        if need.software_version is None:
            return False
        median_gap_ms = self.selector.median_gap_ms(need.service)
        return now_ms - waiter.queued_ms > need.received_events * median_gap_ms

    def retry(self) -> None:
        """Retry the waiting items when the timer fires."""
        self.timer = None
        self.grant_servers()

    def remember_group(self, group: str, server: str) -> None:
        """Record the server that last processed a group's prompt."""
        self.group_servers[group] = server
        self.group_servers.move_to_end(group)
        if len(self.group_servers) > MAX_REMEMBERED_GROUPS:
            self.group_servers.popitem(last=False)

    def fits(
        self, server: ListedServer, need: ItemRequirements, forced: bool = False
    ) -> bool:
        """Return whether a server's software and weights may generate the item.

        If forced, an item started with one weight version may restart with another: all
        servers that had its version may have replaced it meanwhile.
        """
        if need.software_version not in (None, server.software_version):
            return False
        if not need.model:
            return True
        version = self.directory.version_of(server, need.model)
        if need.exact_version is not None and not forced:
            return version == need.exact_version
        return version >= need.min_version

    def can_serve(self, need: ItemRequirements) -> bool:
        """Return whether any ready server has a weight version for the item."""
        return any(
            self.fits(server, need) for server in self.directory.ready(need.service)
        )

    def choose(
        self,
        need: ItemRequirements,
        forced: bool = False,
        observed_only: bool = False,
    ) -> ListedServer | None:
        """Return the cheapest server with a free slot and room in its limit, or None.

        If forced, a server may also be slow, in backoff, avoided, loading weights, or
        full with items of others. Items of this entry VM never exceed its slots: they
        would wait there in order of arrival and not of priority, and hold up the items
        that are due first.
        """
        now = self.clock.monotonic_ms()
        median_gap_ms = self.selector.median_gap_ms(need.service)
        length_share = self.length_share(need, median_gap_ms)
        limits = self.slot_limits.slots_by_engine(need.service)
        if forced and limits is not None and self.is_share_unusable(need, limits):
            limits = None
        best: ListedServer | None = None
        best_cost = float("inf")
        for server in self.directory.ready(need.service):
            if not self.fits(server, need, forced):
                continue
            share = None if limits is None else limits.get(server.name, 0)
            if self.is_full(server, need, share, now, forced):
                continue
            if observed_only and not self.directory.condition(
                server.name
            ).has_recent_gap(now):
                continue
            if not self.selector.limits.can_send(server):
                continue
            if not forced and self.is_unfavourable(server, need, median_gap_ms, now):
                continue
            cost = self.selector.engine_cost(server, median_gap_ms, length_share)
            if need.group and self.group_servers.get(need.group) == server.name:
                cost -= GROUP_AFFINITY_BONUS * (1 - length_share)
            if cost < best_cost:
                best, best_cost = server, cost
        return best

    def is_full(
        self,
        server: ListedServer,
        need: ItemRequirements,
        share: int | None,
        now_ms: float,
        forced: bool,
    ) -> bool:
        """Return whether a server has no slot for another item of this entry VM.

        Where shares are in force, what a report or refusal says of others matters only
        if they exceed their shares, as plain callers do, or holders whose shares have
        shrunk while long outputs run. An item that has waited long ignores it only
        elsewhere: with shares, its turn comes.

        Parameters
        ----------
        share : int or None
            Slots that this entry VM may use; None if no shares are in force.
        """
        condition = self.directory.condition(server.name)
        if condition.own_requests >= (server.slots if share is None else share):
            return True
        if share is None and forced:
            return False
        if condition.model_refused_until_ms.get(need.model, 0) > now_ms:
            return True
        if share is not None and condition.was_refused(now_ms):
            return True
        return condition.load(now_ms) >= server.slots

    def is_share_unusable(
        self, need: ItemRequirements, limits: Mapping[str, int]
    ) -> bool:
        """Return whether this entry VM has shares only on servers that do not fit.

        Elsewhere it may then use as many slots as it has there.
        """
        own_requests = 0
        for server in self.directory.ready(need.service):
            own_requests += self.directory.condition(server.name).own_requests
            if limits.get(server.name) and self.fits(server, need, forced=True):
                return False
        return own_requests < sum(limits.values())

    def is_unfavourable(
        self,
        server: ListedServer,
        need: ItemRequirements,
        median_gap_ms: float,
        now_ms: float,
    ) -> bool:
        """Return whether an item should rather wait than go to a server."""
        condition = self.directory.condition(server.name)
        if server.name == need.avoid or condition.is_backing_off(now_ms):
            return True
        if condition.slowness(median_gap_ms, now_ms) > SLOW_FACTOR:
            return True
        # A single item probes whether the server has recovered.
        was_slow = condition.was_slow(median_gap_ms, SLOW_FACTOR)
        return was_slow and condition.own_requests > 0

    def length_share(self, need: ItemRequirements, median_gap_ms: float) -> float:
        """Return how long an item is relative to the time until it is due.

        The result is from 0 to 1. It is 1 for an item that needs `LONG_ITEM_SHARE` of
        that time, and for one that is overdue.
        """
        duration_ms = need.remaining_events * median_gap_ms
        left_ms = LONG_ITEM_SHARE * (need.due_ms - self.clock.monotonic_ms())
        return min(1.0, duration_ms / left_ms) if left_ms > 0 else 1.0
