"""Queue of items that wait for a server, and the choice of a server for each item."""

import asyncio
import logging
from collections import Counter, OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..fleet import ListedServer, ServerCost, ServerDirectory, ServerSelector
from ..interfaces import Clock
from .customer_order import CustomerOrder
from .holder_shares import NoSlotLimits, SlotLimits
from .prompt_load import PromptLoad
from .waiting_items import Criteria, Waiter, WaitingItems

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
RETRY_INTERVAL_MS = 50
# A pass ends after this many choices without a server. Each takes some 50 us, and only
# long prompts, whose groups have criteria of their own, need as many.
MAX_VAIN_CHOICES = 200


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
    prompt_tokens : int
        Length of the prompt; 0 if it is unknown.
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
    prompt_tokens: int = 0
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

    Attributes
    ----------
    put_off : set of Criteria
        Criteria that no server fitted in a pass that ended early; the next pass passes
        over them.
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
        self.waiting = WaitingItems()
        self.put_off: set[Criteria] = set()
        self.group_servers: OrderedDict[str, str] = OrderedDict()
        self.timer: asyncio.TimerHandle | None = None
        self.prompt_load = PromptLoad(clock)
        directory.subscribe(self.grant_servers)

    @property
    def waiters(self) -> list[Waiter]:
        """Waiting items in the order in which they must start."""
        return self.waiting.in_order()

    async def acquire(self, need: ItemRequirements) -> ListedServer:
        """Wait for a server and return it; the caller must `release` it.

        The server counts as used by the customer of the item until then.
        """
        waiter = self.enqueue(need)
        try:
            return await waiter.granted_server
        except asyncio.CancelledError:
            if waiter.granted_server.done() and not waiter.granted_server.cancelled():
                self.release(waiter.granted_server.result(), need)
            self.waiting.remove(waiter)
            raise

    def enqueue(self, need: ItemRequirements) -> Waiter:
        """Add an item to the queue, and grant it a server at once if one is free.

        No server was free for items with its criteria if any wait already; the next
        pass, of a release or of the timer, includes it.
        """
        start_ms = self.latest_start_ms(need, self.selector.median_gap_ms(need.service))
        sort_key = (start_ms, next(self.waiting.arrival_numbers))
        waiter = Waiter(sort_key, need, self.clock.monotonic_ms())
        if not self.waiting.add(waiter, self.criteria(need)):
            self.grant_servers()
        return waiter

    def criteria(self, need: ItemRequirements) -> Criteria:
        """Return what decides which servers may run an item now.

        The prompt of a group is cached on one server only.
        """
        group = need.group if self.prompt_load.may_be_long(need) else None
        return (group, *need.server_criteria())

    def latest_start_ms(self, need: ItemRequirements, median_gap_ms: float) -> float:
        """Return the latest time to start, in the order of which items are placed.

        A long item goes before a short one that can wait.
        """
        return need.due_ms - need.remaining_events * median_gap_ms

    def release(
        self, server: ListedServer, need: ItemRequirements | None = None
    ) -> None:
        """Return a server's slot and serve waiting items."""
        if need is not None:
            self.prompt_load.end(need)
            self.customer_order.end(need.service, need.customer)
        condition = self.directory.condition(server.name)
        condition.own_requests = max(0, condition.own_requests - 1)
        self.grant_servers()

    def grant_servers(self) -> None:
        """Assign servers to waiting items in order, customers taking turns.

        Schedules a retry if items remain in the queue. Its time grows with the number
        of lines and grants, not with that of the items.
        """
        now = self.clock.monotonic_ms()
        self.free_from_version(now)
        # Servers only become fuller in this loop: when no server fits an item, none
        # fits the later items with the same criteria.
        unmet = set(self.put_off)
        choices = 0
        for line in self.customer_order.arrange(self.waiting.update(now)):
            criteria = (line.forced, *line.criteria)
            if criteria in unmet:
                continue
            waiter = line.first()
            server = self.choose(waiter.need, line.forced)
            if server is not None:
                self.grant(waiter, server)
                continue
            unmet.add(criteria)
            choices += 1
            if choices >= MAX_VAIN_CHOICES:
                break
        # Lines that this pass has not come to are the first ones in the next.
        self.put_off = unmet if choices >= MAX_VAIN_CHOICES else set()
        if self.selector.limits.in_force:
            self.selector.limits.record_waiting(Counter(self.waiting.counts))
        if len(self.waiting) and self.timer is None:
            loop = asyncio.get_running_loop()
            delay_ms = self.prompt_load.retry_ms(RETRY_INTERVAL_MS)
            self.timer = loop.call_later(delay_ms / 1000, self.retry)

    def free_from_version(self, now_ms: float) -> None:
        """Let items that have waited too long for their software version restart."""
        for waiter in list(self.waiting.bound.values()):
            if self.is_restart_faster(waiter, now_ms):
                self.waiting.remove(waiter)
                waiter.need.software_version = None
                self.waiting.add(waiter, self.criteria(waiter.need))

    def grant(self, waiter: Waiter, server: ListedServer) -> None:
        """Assign a server to a waiting item."""
        need = waiter.need
        self.waiting.remove(waiter)
        self.directory.condition(server.name).own_requests += 1
        self.selector.limits.reserve(server)
        self.customer_order.begin(need)
        self.prompt_load.begin(
            server,
            need,
            self.has_cached_prompt(server, need),
            self.selector.median_gap_ms(need.service),
        )
        if need.group:
            self.remember_group(need.group, server.name)
        waiter.granted_server.set_result(server)

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

    def has_cached_prompt(self, server: ListedServer, need: ItemRequirements) -> bool:
        """Return whether a server was the last to process the prompt of the item."""
        return bool(need.group) and self.group_servers.get(need.group) == server.name

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
        can_send = self.selector.limits.can_send
        shares = self.slot_shares(need, forced)
        best: ListedServer | None = None
        best_cost = float("inf")
        for server in self.directory.ready(need.service):
            try:
                if self.exclusion(
                    server, need, forced, median_gap_ms, can_send, shares
                ):
                    continue
                cost = self.cost(server, need, median_gap_ms, length_share).total
            except (ArithmeticError, TypeError, ValueError) as error:
                # An odd value in a server's entry costs that server its place only.
                logger.warning(
                    "cost of a server cannot be computed",
                    extra={"server": server.name, "cause": repr(error)},
                )
                continue
            condition = self.directory.condition(server.name)
            if observed_only and not condition.has_recent_gap(now):
                continue
            if cost < best_cost:
                best, best_cost = server, cost
        return best

    def slot_shares(
        self, need: ItemRequirements, forced: bool
    ) -> Mapping[str, int] | None:
        """Return the slots of each server that an item may use; None if any."""
        shares = self.slot_limits.slots_by_engine(need.service)
        if forced and shares is not None and self.is_share_unusable(need, shares):
            return None
        return shares

    def exclusion(
        self,
        server: ListedServer,
        need: ItemRequirements,
        forced: bool,
        median_gap_ms: float,
        can_send: Callable[[ListedServer], bool],
        shares: Mapping[str, int] | None,
    ) -> str | None:
        """Return what excludes a server from an item now; None if nothing does."""
        now = self.clock.monotonic_ms()
        if not self.fits(server, need, forced):
            return "version"
        share = None if shares is None else shares.get(server.name, 0)
        if reason := self.lack_of_room(server, need, share, now, forced):
            return reason
        if not can_send(server):
            return "limit"
        if self.prompt_load.may_be_long(need) and not self.prompt_load.admits(
            server, need, self.has_cached_prompt(server, need), median_gap_ms
        ):
            return "long prompts"
        if forced:
            return None
        return self.disadvantage(server, need, median_gap_ms, now)

    def lack_of_room(
        self,
        server: ListedServer,
        need: ItemRequirements,
        share: int | None,
        now_ms: float,
        forced: bool,
    ) -> str | None:
        """Return why a server has no slot for another item of this entry VM, or None.

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
            return "full" if share is None else "share"
        if share is None and forced:
            return None
        if condition.model_refused_until_ms.get(need.model, 0) > now_ms:
            return "refused the model"
        if share is not None and condition.was_refused(now_ms):
            return "full"
        return "full" if condition.load(now_ms) >= server.slots else None

    def is_share_unusable(
        self, need: ItemRequirements, shares: Mapping[str, int]
    ) -> bool:
        """Return whether this entry VM has shares only on servers that do not fit.

        Elsewhere it may then use as many slots as it has there.
        """
        own_requests = 0
        for server in self.directory.ready(need.service):
            own_requests += self.directory.condition(server.name).own_requests
            if shares.get(server.name) and self.fits(server, need, forced=True):
                return False
        return own_requests < sum(shares.values())

    def disadvantage(
        self,
        server: ListedServer,
        need: ItemRequirements,
        median_gap_ms: float,
        now_ms: float,
    ) -> str | None:
        """Return why an item should rather wait than go to a server, or None."""
        condition = self.directory.condition(server.name)
        if server.name == need.avoid:
            return "avoided"
        if condition.is_backing_off(now_ms):
            return "backoff"
        if condition.slowness(median_gap_ms, now_ms) > SLOW_FACTOR:
            return "slow"
        if condition.was_slow(median_gap_ms, SLOW_FACTOR) and condition.own_requests:
            return "slow"  # a single item probes whether the server has recovered
        return None

    def cost(
        self,
        server: ListedServer,
        need: ItemRequirements,
        median_gap_ms: float,
        length_share: float,
    ) -> ServerCost:
        """Return the cost of a server for an item."""
        cached = self.has_cached_prompt(server, need)
        cost = self.selector.engine_cost(server, median_gap_ms, length_share)
        bonus = GROUP_AFFINITY_BONUS * (1 - length_share) if cached else 0.0
        extra = self.prompt_load.extra_cost(server, need, cached, median_gap_ms)
        if bonus or extra:
            return cost._replace(group=-bonus, long_prompt=extra)
        return cost

    def length_share(self, need: ItemRequirements, median_gap_ms: float) -> float:
        """Return how long an item is relative to the time until it is due.

        The result is from 0 to 1. It is 1 for an item that needs `LONG_ITEM_SHARE` of
        that time, and for one that is overdue.
        """
        duration_ms = need.remaining_events * median_gap_ms
        left_ms = LONG_ITEM_SHARE * (need.due_ms - self.clock.monotonic_ms())
        return min(1.0, duration_ms / left_ms) if left_ms > 0 else 1.0
