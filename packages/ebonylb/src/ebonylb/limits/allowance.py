"""Requests that one entry VM may send to one limited server.

The store's time is divided into slots, in each of which the server accepts one
request, or a few if its limit is high. Each slot belongs to one entry VM, which all
compute alike from the server's name and the entry VMs that want to send. The limit
thus holds over all entry VMs without messages between them, however many there are.
"""

import bisect
import itertools
from collections import deque
from collections.abc import Mapping

from xxhash import xxh64_intdigest

# Shorter slots would only cost processor time; a slot then allows several requests.
MIN_SLOT_MS = 100.0
# An unused request of a past slot expires after this time, which bounds what the server
# gets at once: in any 4 s at most what its limit allows in 5.5 s.
REQUEST_LIFETIME_MS = 1_500.0
# A server that names a lower limit, also 0, gets this many requests a second from all
# entry VMs. Otherwise its next response, which may withdraw the limit, never comes.
MIN_REQUESTS_PER_S = 0.2
# The store's time never jumps by more, except when it becomes known.
MAX_TIME_JUMP_MS = 10_000.0


class SlotShares:
    """Entry VMs that share the slots of a server, each with a weight.

    Parameters
    ----------
    weights : mapping of str to int
        Positive weight of each entry VM.
    """

    def __init__(self, weights: Mapping[str, int]) -> None:
        self.names = sorted(weights)
        self.bounds = list(itertools.accumulate(weights[name] for name in self.names))

    def owner(self, server: str, slot: int) -> str:
        """Return the entry VM that owns a slot of a server."""
        point = xxh64_intdigest(f"{server}/{slot}".encode()) % self.bounds[-1]
        return self.names[bisect.bisect_right(self.bounds, point)]


class Allowance:
    """Account of the requests that this entry VM may send to one server.

    Parameters
    ----------
    server : str
        Name of the server.
    entry_vm : str
        Name of this entry VM.

    Attributes
    ----------
    expiry_ms : deque of float
        Store times at which unused requests expire.
    debt : int
        Requests sent without an allowance. The next slots pay for them.
    """

    def __init__(self, server: str, entry_vm: str) -> None:
        self.server = server
        self.entry_vm = entry_vm
        self.requests_per_s = 0.0
        self.next_slot: int | None = None
        self.expiry_ms: deque[float] = deque()
        self.debt = 0

    def is_refill_due(self, now_ms: float) -> bool:
        """Return whether a slot has begun since the last call of `refill`."""
        if self.next_slot is None:
            return True
        slot_ms = slot_duration_ms(self.requests_per_s)
        ahead_ms = self.next_slot * slot_ms - now_ms
        return ahead_ms <= 0 or ahead_ms > MAX_TIME_JUMP_MS

    def refill(self, now_ms: float, requests_per_s: float, shares: SlotShares) -> None:
        """Add the requests of own slots that have begun since the last call.

        Parameters
        ----------
        now_ms : float
            Time of the store.
        requests_per_s : float
            Limit of the server for all entry VMs together.
        shares : SlotShares
            Entry VMs that share the limit.
        """
        requests_per_s = max(MIN_REQUESTS_PER_S, requests_per_s)
        slot_ms = slot_duration_ms(requests_per_s)
        current_slot = int(now_ms // slot_ms)
        next_slot = self.next_slot
        if (
            next_slot is None
            or requests_per_s != self.requests_per_s
            or abs(next_slot - current_slot) * slot_ms > MAX_TIME_JUMP_MS + slot_ms
        ):
            self.requests_per_s, next_slot = requests_per_s, current_slot
        for slot in range(next_slot, current_slot + 1):
            if shares.owner(self.server, slot) == self.entry_vm:
                self.add(slot, slot_ms)
        self.next_slot = max(next_slot, current_slot + 1)
        while self.expiry_ms and self.expiry_ms[0] <= now_ms:
            self.expiry_ms.popleft()

    def add(self, slot: int, slot_ms: float) -> None:
        """Add the requests of one slot, after the debt is paid."""
        expiry_ms = max(slot * slot_ms + REQUEST_LIFETIME_MS, (slot + 1) * slot_ms)
        for _ in range(requests_in_slot(slot, self.requests_per_s)):
            if self.debt:
                self.debt -= 1
            else:
                self.expiry_ms.append(expiry_ms)

    def has_request(self, now_ms: float) -> bool:
        """Return whether a request may be sent now."""
        while self.expiry_ms and self.expiry_ms[0] <= now_ms:
            self.expiry_ms.popleft()
        return bool(self.expiry_ms)

    def use(self) -> None:
        """Count a request that is sent; without an allowance it becomes a debt."""
        if self.expiry_ms:
            self.expiry_ms.popleft()
        else:
            self.debt += 1


def slot_duration_ms(requests_per_s: float) -> float:
    """Return the duration of one slot of a server with a limit."""
    return max(1_000.0 / requests_per_s, MIN_SLOT_MS)


def requests_in_slot(slot: int, requests_per_s: float) -> int:
    """Return how many requests a slot allows, so that all slots make up the limit."""
    per_slot = requests_per_s * MIN_SLOT_MS / 1_000.0
    if per_slot <= 1.0:
        return 1
    return int((slot + 1) * per_slot) - int(slot * per_slot)
