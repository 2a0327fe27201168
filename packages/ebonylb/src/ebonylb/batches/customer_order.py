"""Order in which the waiting items of several customers get the slots of engines."""

import heapq
from collections import Counter, deque
from collections.abc import Iterator, Mapping, Sequence
from typing import TYPE_CHECKING

from .holder_shares import SlotLimits

if TYPE_CHECKING:
    from .placement import ItemRequirements, Waiter

# A customer without a slot in the current window comes after those below their share.
NO_SLOT_SHARE = 0.5
# Until its row has arrived and the slots have been divided again, a customer counts as
# one with this share; that takes some 110 ms.
UNKNOWN_SHARE = 1

Owner = tuple[str, str]


class CustomerOrder:
    """Gives each free slot to the customer that uses the least of its share.

    Slots of engines are divided among holders by the rows of all batches. Items of one
    holder would otherwise go by due time only, and a customer with many batches there
    would take the slots that the division counts for another one. No slot stays free
    while any item waits for it.

    Parameters
    ----------
    slot_limits : SlotLimits
        Slots due to the batches of this entry VM by customer.

    Attributes
    ----------
    in_progress : Counter of (str, str)
        Items that use a slot, by service and customer.
    """

    def __init__(self, slot_limits: SlotLimits) -> None:
        self.slot_limits = slot_limits
        self.in_progress: Counter[Owner] = Counter()

    def begin(self, need: "ItemRequirements") -> None:
        """Count an item that was granted a slot."""
        self.in_progress[need.service, need.customer] += 1

    def end(self, service: str, customer: str) -> None:
        """Count a slot that a customer has given back."""
        owner = (service, customer)
        self.in_progress[owner] -= 1
        if self.in_progress[owner] <= 0:
            del self.in_progress[owner]

    def arrange(self, waiters: Sequence["Waiter"]) -> Iterator["Waiter"]:
        """Return all waiters in the order in which slots should be granted.

        Each grant must be counted before the next waiter is taken. Items of one
        customer go by priority and then by the order in which they wait. Without
        customers that order is returned as it is.
        """
        if not any(waiter.need.customer for waiter in waiters):
            yield from waiters
            return
        by_owner: dict[Owner, list[Waiter]] = {}
        for waiter in waiters:
            owner = (waiter.need.service, waiter.need.customer)
            by_owner.setdefault(owner, []).append(waiter)
        services = {service for service, _ in by_owner}
        shares = {s: self.slot_limits.customer_slots(s) for s in services}
        queues = {
            owner: deque(sorted(own, key=lambda w: (w.need.priority, w.sort_key)))
            for owner, own in by_owner.items()
        }
        heap = [
            (self.used_share(owner, shares), queue[0].sort_key, owner)
            for owner, queue in queues.items()
        ]
        heapq.heapify(heap)
        while heap:
            owner = heapq.heappop(heap)[-1]
            queue = queues[owner]
            yield queue.popleft()
            if queue:
                used = self.used_share(owner, shares)
                heapq.heappush(heap, (used, queue[0].sort_key, owner))

    def used_share(
        self, owner: Owner, shares: Mapping[str, Mapping[str, int]]
    ) -> float:
        """Return which part of its share a customer would use with one more slot."""
        service, customer = owner
        share = shares[service].get(customer, UNKNOWN_SHARE)
        return (self.in_progress[owner] + 1) / (share or NO_SLOT_SHARE)
