"""Start-time fair queueing by tokens; each party's short work precedes its long."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import Any

# A start tag lags behind the virtual time when a party has no eligible server or gets
# a refund. The lag is limited to this many mean charges; otherwise the party would
# take all servers when it becomes eligible again.
MAX_LAG_CHARGES = 32


@dataclass(slots=True, eq=False)
class QueueEntry:
    """An item in the queue with the data that decides its position.

    Parameters
    ----------
    party : str
        Holder of the share that is charged.
    tokens : float
        Predicted tokens, charged when the entry is served.
    long : bool
        Whether the entry is queued behind the short work of its party.
    constraint : Hashable
        Entries with equal constraints are eligible for the same servers, so only
        the first of them is examined.
    item : object
        Queued object, returned with the entry.
    sequence : int
        Arrival number, assigned by the first `push`; 0 before.
    waiting : bool
        Whether the entry is in the queue.
    """

    party: str
    tokens: float
    long: bool
    constraint: Hashable
    item: Any
    sequence: int = 0
    waiting: bool = False


@dataclass(slots=True)
class SubQueue:
    """FIFO of one party's entries that share a length class and a constraint."""

    entries: deque[QueueEntry] = field(default_factory=deque)
    removed_count: int = 0

    def head(self) -> QueueEntry | None:
        """Return the first waiting entry, discarding removed ones before it."""
        entries = self.entries
        while entries and not entries[0].waiting:
            entries.popleft()
            self.removed_count -= 1
        return entries[0] if entries else None

    def note_removal(self) -> None:
        """Count a removed entry; compact once removed entries are the majority.

        This amortises the cost of compaction over the removals.
        """
        self.removed_count += 1
        if self.removed_count * 2 > len(self.entries):
            self.entries = deque(entry for entry in self.entries if entry.waiting)
            self.removed_count = 0


@dataclass(slots=True)
class PartyQueue:
    """Queued entries of one party, its counters and its start tag."""

    name: str
    start_tag: float = 0.0
    entry_count: int = 0
    long_count: int = 0
    waiting_tokens: float = 0.0
    heap_version: int = 0
    sub_queues: dict[tuple[bool, Hashable], SubQueue] = field(default_factory=dict)


class FairQueue:
    """Weighted fair queue of one shard.

    A party's start tag advances by charge / weight whenever it is served, and the
    party with the lowest tag is served next. An idle party re-enters at the virtual
    time, so unused share is lent and never saved up. Push, pop and removal cost
    O(log parties) plus the sub-queues examined; the number of entries does not
    matter.

    Parameters
    ----------
    weight : callable
        Returns the current weight of a party, above 0.
    max_entries : int
        Maximum number of entries. When it is reached, a party below its share of
        the queue displaces the newest entry of the party furthest above its own.
    """

    def __init__(self, weight: Callable[[str], float], max_entries: int) -> None:
        self.weight = weight
        self.max_entries = max_entries
        self.parties: dict[str, PartyQueue] = {}
        self.heap: list[tuple[float, int, str]] = []
        self.sequence_numbers = itertools.count(1)
        self.virtual_time = 0.0
        self.entry_count = 0
        self.long_count = 0
        self.waiting_tokens = 0.0
        self.mean_charge = 1.0

    def __len__(self) -> int:
        return self.entry_count

    def party_queue(self, name: str) -> PartyQueue:
        """Return the state of a party, creating it on first use."""
        if name not in self.parties:
            self.parties[name] = PartyQueue(name, start_tag=self.virtual_time)
        return self.parties[name]

    def share(self, name: str) -> float:
        """Return a party's share among the parties that have work waiting."""
        total = self.weight(name)
        for party in self.parties.values():
            if party.entry_count and party.name != name:
                total += self.weight(party.name)
        return self.weight(name) / total

    def make_room(self, name: str) -> tuple[bool, QueueEntry | None]:
        """Check whether a party may add an entry; in a full queue, displace another.

        Returns
        -------
        admitted : bool
            Whether the party may add one entry.
        displaced : QueueEntry or None
            Entry that was removed to make room; the caller must refuse it.
        """
        if self.entry_count < self.max_entries:
            return True, None
        if self.party_queue(name).entry_count + 1 > self.max_entries * self.share(name):
            return False, None
        most_over_share = max(
            (party for party in self.parties.values() if party.entry_count),
            key=lambda party: (
                party.entry_count - self.max_entries * self.share(party.name)
            ),
        )
        if most_over_share.name == name:
            return False, None
        newest = max(
            (
                entry
                for sub_queue in most_over_share.sub_queues.values()
                if (entry := newest_waiting(sub_queue))
            ),
            key=lambda entry: (entry.long, entry.sequence),
        )
        self.remove(newest)
        return True, newest

    def push(self, entry: QueueEntry, front: bool = False) -> None:
        """Add an entry; with `front`, at the head of its sub-queue (for retries)."""
        party = self.party_queue(entry.party)
        if entry.sequence == 0:
            entry.sequence = next(self.sequence_numbers)
        entry.waiting = True
        if party.entry_count == 0:
            party.start_tag = max(party.start_tag, self.virtual_time)
        sub_queue = party.sub_queues.setdefault(
            (entry.long, entry.constraint), SubQueue()
        )
        (sub_queue.entries.appendleft if front else sub_queue.entries.append)(entry)
        self.update_counters(party, entry, 1)
        if party.entry_count == 1:
            self.push_to_heap(party)

    def pop(
        self, accept: Callable[[QueueEntry], bool], long_first: bool = False
    ) -> QueueEntry | None:
        """Remove and return the next entry in fair order for which `accept` is true.

        With `long_first`, long work of any party is considered before all short
        work. It is charged as usual, so the parties' shares do not change.
        """
        if long_first and self.long_count:
            entry = self.find_entry(
                lambda party: self.find_in_party(party, (True,), accept)
            )
            if entry is not None:
                self.charge(self.parties[entry.party], entry)
                return entry
        entry = self.find_entry(
            lambda party: self.find_in_party(party, (False, True), accept)
        )
        if entry is not None:
            # Only pops in tag order advance the virtual time: an out-of-order pop of
            # long work would otherwise delay parties that enter the queue afterwards.
            start = self.parties[entry.party].start_tag
            self.virtual_time = max(self.virtual_time, start)
            self.charge(self.parties[entry.party], entry)
        return entry

    def find_entry(
        self, choose: Callable[[PartyQueue], QueueEntry | None]
    ) -> QueueEntry | None:
        """Return the entry chosen from the first party in tag order that offers one.

        All visited parties stay in the heap; the entry is not removed.
        """
        visited: list[tuple[float, int, str]] = []
        chosen: QueueEntry | None = None
        while self.heap and chosen is None:
            item = heapq.heappop(self.heap)
            party = self.parties.get(item[2])
            if party is None or item[1] != party.heap_version or party.entry_count == 0:
                continue  # superseded by a newer heap item of the party
            chosen = choose(party)
            visited.append(item)
        for item in visited:
            heapq.heappush(self.heap, item)
        return chosen

    def find_in_party(
        self,
        party: PartyQueue,
        length_classes: tuple[bool, ...],
        accept: Callable[[QueueEntry], bool],
    ) -> QueueEntry | None:
        """Return the oldest accepted entry of the first length class that has one."""
        for long in length_classes:
            if (
                party.long_count if long else party.entry_count - party.long_count
            ) == 0:
                continue
            heads = []
            for key, sub_queue in list(party.sub_queues.items()):
                head = sub_queue.head()
                if head is None:
                    del party.sub_queues[key]
                elif key[0] == long:
                    heads.append(head)
            for head in sorted(heads, key=lambda entry: entry.sequence):
                if accept(head):
                    return head
        return None

    def charge(self, party: PartyQueue, entry: QueueEntry) -> None:
        """Remove a served entry and advance its party's start tag by the charge."""
        weight = self.weight(party.name)
        self.mean_charge += 0.01 * (entry.tokens - self.mean_charge)
        lag = MAX_LAG_CHARGES * max(self.mean_charge, entry.tokens) / weight
        start = max(party.start_tag, self.virtual_time - lag)
        party.start_tag = start + entry.tokens / weight
        party.sub_queues[(entry.long, entry.constraint)].entries.popleft()
        entry.waiting = False
        self.update_counters(party, entry, -1)
        self.push_to_heap(party)

    def remove(self, entry: QueueEntry) -> bool:
        """Remove an entry, for example after its caller disconnected.

        Return False if it was not waiting.
        """
        if not entry.waiting:
            return False
        entry.waiting = False
        party = self.parties[entry.party]
        party.sub_queues[(entry.long, entry.constraint)].note_removal()
        self.update_counters(party, entry, -1)
        return True

    def adjust_charge(self, name: str, tokens: float) -> None:
        """Charge a party, or refund it if negative, for mispredicted served work."""
        party = self.party_queue(name)
        party.start_tag += tokens / self.weight(name)
        if party.entry_count:
            self.push_to_heap(party)

    def update_counters(self, party: PartyQueue, entry: QueueEntry, sign: int) -> None:
        """Add an entry to the counters (sign 1) or subtract it (sign -1)."""
        party.entry_count += sign
        self.entry_count += sign
        party.waiting_tokens += sign * entry.tokens
        self.waiting_tokens += sign * entry.tokens
        if entry.long:
            party.long_count += sign
            self.long_count += sign

    def push_to_heap(self, party: PartyQueue) -> None:
        """Push a party onto the heap with its current tag, superseding older items."""
        party.heap_version = next(self.sequence_numbers)
        if party.entry_count:
            heapq.heappush(self.heap, (party.start_tag, party.heap_version, party.name))

    def backlogged_parties(self) -> list[str]:
        """Return the names of the parties that have waiting entries."""
        return [party.name for party in self.parties.values() if party.entry_count]

    def waiting_entries(self) -> list[QueueEntry]:
        """Return all waiting entries, oldest first within a sub-queue."""
        return [
            entry
            for party in self.parties.values()
            for sub_queue in party.sub_queues.values()
            for entry in sub_queue.entries
            if entry.waiting
        ]


def newest_waiting(sub_queue: SubQueue) -> QueueEntry | None:
    """Return the last waiting entry of a sub-queue; discard removed ones after it."""
    while sub_queue.entries and not sub_queue.entries[-1].waiting:
        sub_queue.entries.pop()
        sub_queue.removed_count -= 1
    return sub_queue.entries[-1] if sub_queue.entries else None
