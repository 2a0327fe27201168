"""Rows in which each entry VM stores its counts of a window."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from result import Err

from ..interfaces import Clock, Metrics
from ..interfaces.row_store import Condition, Mismatch, Put, RowKey, RowStore
from ..storage.unreadable import UnreadableRows
from .agreed_time import AgreedTime
from .attempts import UsageCounter

logger = logging.getLogger(__name__)

counts_decoder = msgspec.json.Decoder(dict[str, int])

TABLE = "usage"
# Changed counts are stored at this interval, so that the loss of this entry VM costs
# those of less than half a second.
WRITE_INTERVAL_MS = 400.0
# The store accepts 200 writes a second to one partition. With more than 53 entry VMs
# the interval grows, so that all together use two thirds of that.
WRITE_INTERVAL_MS_PER_ENTRY_VM = 7.5


def count_key(window: int, incarnation: str) -> RowKey:
    """Return the key of an entry VM's row."""
    return RowKey(TABLE, str(window), incarnation)


@dataclass(slots=True)
class StoredCounts:
    """What this entry VM has stored of a window.

    Attributes
    ----------
    version : int
        Version of the row; 0 if there is none.
    counts : dict of str to int
        Counts in the row.
    """

    version: int = 0
    counts: dict[str, int] = field(default_factory=dict)


class UsageRows:
    """Writes this entry VM's row of each window when its counts change.

    Parameters
    ----------
    incarnation : str
        Incarnation of this entry VM, the key of its rows.
    counter : UsageCounter
        Source of the counts.
    kept_ms : float
        Time after the end of a window in which its counts may still be summed.
    count_entry_vms : callable
        Returns the number of entry VMs, this one included.
    """

    def __init__(
        self,
        incarnation: str,
        store: RowStore,
        clock: Clock,
        counter: UsageCounter,
        agreed_time: AgreedTime,
        kept_ms: float,
        metrics: Metrics,
        count_entry_vms: Callable[[], int],
    ) -> None:
        self.unreadable = UnreadableRows()
        self.incarnation = incarnation
        self.store = store
        self.clock = clock
        self.counter = counter
        self.counts = counter.counts
        self.agreed_time = agreed_time
        self.kept_ms = kept_ms
        self.metrics = metrics
        self.count_entry_vms = count_entry_vms
        self.stored: dict[int, StoredCounts] = {}

    async def run(self) -> None:
        """Store changed counts until cancelled."""
        while True:
            started_ms = self.clock.monotonic_ms()
            await self.write_changed()
            interval_ms = max(
                WRITE_INTERVAL_MS,
                WRITE_INTERVAL_MS_PER_ENTRY_VM * self.count_entry_vms(),
            )
            elapsed_ms = self.clock.monotonic_ms() - started_ms
            await self.clock.sleep_ms(max(50.0, interval_ms - elapsed_ms))

    async def finish(self) -> None:
        """Store what is left before the process ends."""
        for attempt in list(self.counter.open_attempts):
            self.counter.end(attempt, attempt.request.progress.connected)
        self.counter.count_begun()
        await self.write_changed()

    def unstored(self, window: int) -> int:
        """Return the number of requests of a window that are not stored."""
        stored = self.stored.get(window, StoredCounts())
        return sum(self.counts.counts[window].values()) - sum(stored.counts.values())

    async def write_changed(self) -> None:
        """Store the counts of each window in which they have changed."""
        self.counter.count_unanswered()
        now = self.agreed_time.now_ms()
        for window in sorted(self.counts.counts):
            if self.counts.end_ms(window) + self.kept_ms < now:
                self.forget(window)
            elif self.unstored(window):
                await self.write(window)

    def forget(self, window: int) -> None:
        """Forget a window whose counts are not summed any more."""
        self.record_lost(window, "the window is over")
        self.counts.drop(window)
        self.stored.pop(window, None)

    def record_lost(self, window: int, cause: str) -> None:
        """Record the counts of a window that can't be stored any more."""
        if lost := self.unstored(window):
            self.metrics.incr("usage.counts_late", lost)
            logger.warning(
                "usage counts lost",
                extra={"window": window, "requests": lost, "cause": cause},
            )

    async def write(self, window: int) -> None:
        """Store the counts of a window.

        The counts include all before, so that a write without an answer is repeated
        safely. A write that the store applies late never replaces a newer row.
        """
        key = count_key(window, self.incarnation)
        stored = self.stored.setdefault(window, StoredCounts())
        counts = dict(self.counts.counts[window])
        sent = await self.store.transact(
            [Condition(key, stored.version)], [Put(key, msgspec.json.encode(counts))]
        )
        if isinstance(sent, Err):
            logger.info(
                "usage counts not stored",
                extra={"window": window, "cause": str(sent.err_value)},
            )
            return
        if not isinstance(sent.ok_value, Mismatch):
            stored.version, stored.counts = sent.ok_value.version, counts
        elif sent.ok_value.rows:
            # An earlier write that got no answer has taken effect.
            row = sent.ok_value.rows[0]
            stored.version = row.version
            stored.counts = self.unreadable.decode(row, counts_decoder.decode) or {}
        else:
            # The row was deleted after the sum was reported.
            self.record_lost(window, "the window is reported")
            stored.counts = counts
