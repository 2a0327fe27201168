"""Orders for the servers of one pool: what is wanted, under way, lost or refused."""

from dataclasses import dataclass
from enum import Enum

# A new server serves after the boot time and is listed a little later: the list lags up
# to 0.6 s, and a busy platform was seen to take a second for an order.
BOOT_MARGIN_MS = 2_000.0
# A changed number is ordered within this time. It is longer than the 1.2 s for which
# other entry VMs wait for the last holder plus their claim delays, and shorter than the
# 3.8 s after which they may claim a lease that the holder has just used. Others thus
# take over from a holder that is gone, and repeat no order of one that is not.
ORDER_WINDOW_MS = 2_500.0
# Pause after an order without a response or beyond the rate of calls.
RETRY_PAUSE_MS = 1_000.0
# After so many failures in a row the entry VM leaves the order to others.
MAX_FAILURES = 3
# A pool that got no server is asked again after this time: long for one call, short
# for a failure domain that lacks its minimum.
UNAVAILABLE_MS = 15_000.0
# All reclaimable servers of a failure domain go at once; others may follow.
RECLAIM_PAUSE_MS = 60_000.0
LONG_AGO_MS = -1e12


class PoolEvent(Enum):
    """What a look at the listed servers shows of a pool."""

    NONE = "none"
    ADOPTED = "more than wanted"  # another entry VM ordered them
    LEFT = "leaving in order"  # restarted, or another entry VM lowered the number
    RECLAIMED = "reclaimed"  # all reclaimable servers of the failure domain leave
    LOST = "not replaced"  # did not return, nor after a repeated order


@dataclass(slots=True)
class PoolOrders:
    """Wanted number of one pool and the orders of this entry VM for it.

    Attributes
    ----------
    wanted : int
        Number that the plan wants, or that was found.
    grace_ms : float
        Time after which an accepted order shows in the list.
    listed : int
        Servers that take work.
    changed_ms : float
        Time at which the plan changed the number.
    lowered_ms : float
        Time at which the plan last lowered it.
    below_since_ms : float or None
        Time since which fewer servers are listed than wanted.
    accepted, accepted_ms : int or None, float
        Last number that the platform accepted from this entry VM, and when it was sent.
    failures : int
        Failed orders of the present number.
    unavailable_until_ms : float
        Time before which no server is ordered here.
    reason : str
        Reason of the last change.
    """

    wanted: int
    grace_ms: float
    listed: int = 0
    changed_ms: float = LONG_AGO_MS
    lowered_ms: float = LONG_AGO_MS
    below_since_ms: float | None = None
    accepted: int | None = None
    accepted_ms: float = LONG_AGO_MS
    failures: int = 0
    retry_at_ms: float = LONG_AGO_MS
    unavailable_until_ms: float = LONG_AGO_MS
    reason: str = "found at the start"

    def observe(self, listed: int, left: int, now_ms: float) -> PoolEvent:
        """Compare the wanted number with the listed servers and correct it.

        Servers that leave in order are not ordered again: the plan decides whether they
        are needed. Those that disappear are missed and ordered again.

        Parameters
        ----------
        listed, left : int
            Servers that take work, and servers that have begun to leave.
        """
        self.listed = listed
        if listed >= self.wanted:
            self.below_since_ms = None
            if listed == self.wanted or now_ms - self.lowered_ms < 2 * self.grace_ms:
                return PoolEvent.NONE
            self.adopt(listed, "ordered by another entry VM")
            return PoolEvent.ADOPTED
        if left:
            self.adopt(max(listed, self.wanted - left), "servers leave in order")
            return PoolEvent.LEFT if listed else PoolEvent.RECLAIMED
        if self.below_since_ms is None:
            self.below_since_ms = now_ms
        if self.missing_ms(now_ms) >= 2 * self.grace_ms + ORDER_WINDOW_MS:
            self.adopt(listed, "lost, and not replaced")
            self.unavailable_until_ms = now_ms + UNAVAILABLE_MS
            return PoolEvent.LOST
        return PoolEvent.NONE

    def missing_ms(self, now_ms: float) -> float:
        """Return for how long servers have been missing under the present number."""
        if self.below_since_ms is None:
            return 0.0
        return now_ms - max(self.below_since_ms, self.changed_ms)

    def forget_gap(self) -> None:
        """Forget since when servers are missing, since the list was incomplete."""
        self.below_since_ms = None

    def adopt(self, count: int, reason: str) -> None:
        """Take a number that was found for the wanted one, without an order."""
        self.wanted, self.reason = count, reason
        self.below_since_ms, self.failures = None, 0

    def change(self, wanted: int, reason: str, now_ms: float) -> None:
        """Set the number that the plan wants."""
        if wanted < self.wanted:
            self.lowered_ms = now_ms
        self.wanted, self.reason, self.changed_ms = wanted, reason, now_ms
        self.failures, self.retry_at_ms = 0, LONG_AGO_MS

    def is_due(self, now_ms: float) -> bool:
        """Return whether the wanted number should be ordered now."""
        if now_ms < self.retry_at_ms or self.failures >= MAX_FAILURES:
            return False
        if self.is_under_way(now_ms):
            return self.changed_ms > self.accepted_ms and self.accepted != self.wanted
        if self.listed == self.wanted:
            return False
        if now_ms - self.changed_ms < ORDER_WINDOW_MS or self.failures:
            return True
        # Lost servers, or an order of another entry VM that was not carried out.
        overdue_ms = self.missing_ms(now_ms) - self.grace_ms
        return 0 <= overdue_ms < ORDER_WINDOW_MS

    def is_under_way(self, now_ms: float) -> bool:
        """Return whether servers of an own order may still be booting or leaving."""
        return now_ms - self.accepted_ms < self.grace_ms

    def record_accepted(self, count: int, sent_ms: float) -> None:
        """Record that the platform accepted a number in a call begun at `sent_ms`."""
        self.accepted, self.accepted_ms, self.failures = count, sent_ms, 0

    def record_failure(self, now_ms: float) -> None:
        """Record that an order had no response or came beyond the rate of calls."""
        self.failures += 1
        self.retry_at_ms = now_ms + RETRY_PAUSE_MS

    def record_unavailable(self, now_ms: float) -> None:
        """Record that the platform has no such server there now.

        What it accepted a moment ago is still booting.
        """
        count = self.listed
        if self.accepted is not None and self.is_under_way(now_ms):
            count = max(count, self.accepted)
        self.adopt(count, "none available")
        self.unavailable_until_ms = now_ms + UNAVAILABLE_MS
