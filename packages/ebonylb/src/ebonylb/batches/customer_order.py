"""Order in which the waiting items of several customers get the slots of engines."""

import heapq
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from typing import TYPE_CHECKING

from .holder_shares import SlotLimits
from .waiting_items import Line, Owner

if TYPE_CHECKING:
    from .placement import ItemRequirements

# A customer without a slot in the current window comes after those below their share.
NO_SLOT_SHARE = 0.5
# Until its row has arrived and the slots have been divided again, a customer counts as
# one with this share; that takes some 110 ms.
UNKNOWN_SHARE = 1

# Stands for all items where there are no customers.
NO_OWNER: Owner = ("", "")
QueuedLine = tuple[tuple[int, tuple[float, int]], int, Line]


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

    def arrange(self, lines: Sequence[Line]) -> Iterator[Line]:
        """Yield the line whose first item should be granted a slot next.

        The consumer takes that item out of the line, and its slot is counted, before
        the next line is taken; a line whose first item stays is passed over from then
        on. Items of one customer go by priority and then by the order in which they
        must start. Without customers, all items go by that order.
        """
        has_customers = any(line.owner[1] for line in lines)
        queues: dict[Owner, list[QueuedLine]] = {}
        for number, line in enumerate(lines):
            owner = line.owner if has_customers else NO_OWNER
            queues.setdefault(owner, []).append((line.first().order, number, line))
        services = {service for service, _ in queues} - {NO_OWNER[0]}
        shares = {s: self.slot_limits.customer_slots(s) for s in services}
        heap = []
        for owner, queue in queues.items():
            heapq.heapify(queue)
            heap.append(self.rank(owner, queue, shares))
        heapq.heapify(heap)
        while heap:
            owner = heapq.heappop(heap)[-1]
            queue = queues[owner]
            _, number, line = queue[0]
            first = line.first()
            yield line
            following = line.first()
            if following is None or following is first:
                heapq.heappop(queue)
            else:
                heapq.heapreplace(queue, (following.order, number, line))
            if queue:
                heapq.heappush(heap, self.rank(owner, queue, shares))

    def rank(
        self,
        owner: Owner,
        queue: Sequence[QueuedLine],
        shares: Mapping[str, Mapping[str, int]],
    ) -> tuple[float, tuple[float, int], Owner]:
        """Return the sort key of a customer's queue, the next one first."""
        used = 0.0 if owner == NO_OWNER else self.used_share(owner, shares)
        _, sort_key = queue[0][0]
        return used, sort_key, owner

    def used_share(
        self, owner: Owner, shares: Mapping[str, Mapping[str, int]]
    ) -> float:
        """Return which part of its share a customer would use with one more slot."""
        service, customer = owner
        share = shares[service].get(customer, UNKNOWN_SHARE)
        return (self.in_progress[owner] + 1) / (share or NO_SLOT_SHARE)
