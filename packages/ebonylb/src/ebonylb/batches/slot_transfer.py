"""Slots that other holders still use after their shares have shrunk."""

import math
from collections.abc import Mapping, Sequence

from .slot_shares import EngineSlots

# Other holders go on to start runs until they know of the new batch: the feed takes
# some 60 ms, and they divide the slots every 50 ms.
NOTICE_MS = 110.0
# Time constant at which runs on an engine end: outputs have 19 events on average, of 45
# to 53 ms each.
DRAIN_MS = 950.0
# Rounding up to a slot that is nearly free costs less than leaving it idle.
NEARLY_FREE = 0.05


class SlotTransfer:
    """Delays the use of slots that a new batch takes from batches which run already.

    Their holders start nothing new there, but runs in progress keep their slots until
    they end. Requests sent before that would be rejected. Slots that others give up by
    themselves, because they have fewer items left, are free at once.

    Attributes
    ----------
    occupied : dict of str to float
        Slots of each engine that others used when the transfer began.
    began_ms : float
        Monotonic time at which the transfer began.
    """

    def __init__(self) -> None:
        self.occupied: dict[str, float] = {}
        self.began_ms = -1e12

    def begin(
        self,
        engines: Sequence[EngineSlots],
        previous: Mapping[str, int],
        others_items: int,
        now_ms: float,
    ) -> None:
        """Begin to take slots for a new batch of this entry VM.

        Parameters
        ----------
        previous : mapping of str to int
            Slots that this entry VM was allowed before.
        others_items : int
            Unfinished items of other holders that may run already.
        """
        slots = sum(engine.slots for engine in engines)
        used = min(1.0, others_items / slots) if slots else 0.0
        left = self.remaining(now_ms)
        occupied = {}
        for engine in engines:
            others = min(
                used * engine.slots, engine.slots - previous.get(engine.name, 0)
            )
            earlier = left * self.occupied.get(engine.name, 0.0)
            if others > 0 or earlier > 0:
                occupied[engine.name] = max(others, earlier)
        self.occupied, self.began_ms = occupied, now_ms

    def remaining(self, now_ms: float) -> float:
        """Return the share of the occupied slots that have not become free."""
        drained_ms = max(0.0, now_ms - self.began_ms - NOTICE_MS)
        return math.exp(-drained_ms / DRAIN_MS)

    def usable(
        self, shares: Mapping[str, int], engines: Sequence[EngineSlots], now_ms: float
    ) -> dict[str, int]:
        """Return the slots of each engine that may be used now."""
        if not self.occupied:
            return dict(shares)
        left = self.remaining(now_ms)
        usable = {}
        delayed = False
        for engine in engines:
            share = shares.get(engine.name, 0)
            occupied = left * self.occupied.get(engine.name, 0.0)
            free = int(engine.slots - occupied + NEARLY_FREE)
            if free < share:
                delayed = True
            if share and free > 0:
                usable[engine.name] = min(share, free)
        if not delayed:
            self.occupied = {}
        return usable
