"""Follower that replicates a table of the platform's store."""

import asyncio
import contextlib
import functools
import logging
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

from result import Err

from ..interfaces import Clock
from ..interfaces.row_store import (
    HistoryLostError,
    RowStore,
    StoreBusyError,
    StoredRow,
)
from .feed_pause import MIN_FEED_PAUSE_MS
from .store_time import StoreTime
from .table_read import TableRead
from .unreadable import UnreadableRows

logger = logging.getLogger(__name__)

# The store returns a feed call without changes after this time, so that a silent
# connection is detected within about two seconds.
FEED_WAIT_MS = 1_000
# Interval between the starts of two calls that fail; it doubles up to the maximum. A
# call that times out has already taken longer. All entry VMs lose the store at the same
# time, so the jitter spreads their calls before the store recovers.
INITIAL_RETRY_INTERVAL_MS = 150
MAX_RETRY_INTERVAL_MS = 600
RETRY_JITTER_MS = 150
# A table whose calls a busy store has rejected for this time counts as lost. Less than
# the silence after which the holder of a batch is taken for lost.
MAX_REJECTED_MS = 1_000.0
# The pause between two feed calls grows by the first factor with each call that a busy
# store rejects, up to the maximum, and shrinks by the second one with each response.
BUSY_PAUSE_GROWTH = 1.5
BUSY_PAUSE_DECAY = 0.97
MAX_BUSY_PAUSE_FACTOR = 4.0
LONG_AGO_MS = -1e12


class TableReader(ABC):
    """Receives the content of a followed table."""

    @functools.cached_property
    def unreadable(self) -> UnreadableRows:
        """Rows of the table that cannot be read."""
        return UnreadableRows()

    @abstractmethod
    def replace_rows(self, rows: Sequence[StoredRow]) -> None:
        """Replace the content by all rows of the table."""

    @abstractmethod
    def change_rows(self, rows: Sequence[StoredRow]) -> None:
        """Apply changed and deleted rows in order."""

    def reject_row(self, row: StoredRow) -> None:  # noqa: B027 - most readers keep it
        """Drop what is known of a row that could not be applied."""

    def on_rows_applied(self, began_ms: float) -> None:  # noqa: B027 - optional
        """React to the end of a change, which contains all earlier writes.

        Parameters
        ----------
        began_ms : float
            Time including suspension at which the call began whose rows were applied.
            Every write that the store acknowledged before it is among the rows so far.
        """

    def on_store_regained(self) -> None:  # noqa: B027 - most readers ignore it
        """React to the store's recovery after an outage, before its rows follow."""


class TableFollower:
    """Follows one table by reading it once and then its change feed.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    clock : Clock
        Source of time.
    table : str
        Name of the table.
    reader : TableReader
        Receives the rows.
    store_time : StoreTime
        Updated with the store's time from each response.
    pause_ms : callable
        Returns the pause between two feed calls that both returned rows. It limits the
        rate of calls for a table that changes continuously.
    partitioned : bool
        Whether the table has named partitions.
    wait_ms : int
        Time after which the store returns a feed call without changes.

    Attributes
    ----------
    busy_factor : float
        Factor on the pause, at least 1; above 1 while the store rejects calls.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        table: str,
        reader: TableReader,
        store_time: StoreTime,
        pause_ms: Callable[[], float] = lambda: MIN_FEED_PAUSE_MS,
        partitioned: bool = False,
        wait_ms: int = FEED_WAIT_MS,
    ) -> None:
        self.store = store
        self.clock = clock
        self.table = table
        self.reader = reader
        self.store_time = store_time
        self.pause_ms = pause_ms
        self.partitioned = partitioned
        self.wait_ms = wait_ms
        self.busy_factor = 1.0
        self.table_read: TableRead | None = None
        self.loaded = asyncio.Event()
        self.version = 0
        self.healthy_since_ms: float | None = None
        self.has_failed = False
        self.confirmed_ms = LONG_AGO_MS

    def is_current(self, within_ms: float) -> bool:
        """Return whether the store has responded within the last `within_ms`."""
        return self.clock.monotonic_ms() - self.confirmed_ms <= within_ms

    def record_success(self) -> None:
        """Record a response; the first one after failures is reported to the reader."""
        now = self.clock.monotonic_ms()
        self.confirmed_ms = now
        self.busy_factor = max(1.0, self.busy_factor * BUSY_PAUSE_DECAY)
        if self.healthy_since_ms is None:
            # Without a failure since the start, the store is assumed to have been up.
            self.healthy_since_ms = now if self.has_failed else LONG_AGO_MS
            if self.loaded.is_set():
                logger.info("store regained", extra={"table": self.table})
                self.reader.on_store_regained()

    def record_failure(self, error: Exception) -> None:
        """Record a failure; after the first load, only the first in a row is logged."""
        if self.healthy_since_ms is not None or not self.loaded.is_set():
            logger.warning(
                "store lost", extra={"table": self.table, "cause": str(error)}
            )
        self.healthy_since_ms = None
        self.has_failed = True

    def record_rejection(self, error: StoreBusyError) -> None:
        """Record that the busy store rejected a call, and call it less often.

        A few rejections are no outage. When nothing else was received for
        `MAX_REJECTED_MS`, the rows here are too old to judge what others do.
        """
        if not self.is_current(MAX_REJECTED_MS):
            self.record_failure(error)
        if self.busy_factor == 1.0:
            logger.info("store busy", extra={"table": self.table})
        self.busy_factor = min(
            MAX_BUSY_PAUSE_FACTOR, self.busy_factor * BUSY_PAUSE_GROWTH
        )

    async def run(self) -> None:
        """Follow the table until cancelled."""
        retry_interval_ms = INITIAL_RETRY_INTERVAL_MS
        needs_full_read = True
        while True:
            started_ms = self.clock.monotonic_ms()
            failure = await (
                self.read_all() if needs_full_read else self.read_changes()
            )
            if failure is None:
                needs_full_read, retry_interval_ms = False, INITIAL_RETRY_INTERVAL_MS
                continue
            needs_full_read = needs_full_read or isinstance(failure, HistoryLostError)
            if isinstance(failure, HistoryLostError):
                logger.info("table read again", extra={"table": self.table})
                continue
            if isinstance(failure, StoreBusyError):
                self.record_rejection(failure)
            else:
                self.record_failure(failure)
            elapsed_ms = self.clock.monotonic_ms() - started_ms
            await self.clock.sleep_ms(
                max(0.0, retry_interval_ms - elapsed_ms)
                + random.uniform(0.0, RETRY_JITTER_MS)
            )
            retry_interval_ms = min(MAX_RETRY_INTERVAL_MS, retry_interval_ms * 2)

    async def read_all(self) -> Exception | None:
        """Read the rest of the table and return the failure, if any."""
        if self.table_read is None:
            self.table_read = TableRead(
                self.store, self.table, self.partitioned, self.clock
            )
        response = await self.table_read.run()
        if isinstance(response, Err):
            return response.err_value
        began_ms = self.table_read.began_ms
        self.table_read = None
        self.record_success()
        page = response.ok_value
        self.store_time.record(page.store_ms)
        self.version = page.version
        self.apply(self.reader.replace_rows, page.rows)
        self.reader.on_rows_applied(began_ms)
        self.loaded.set()
        return None

    def apply(
        self,
        apply_rows: Callable[[Sequence[StoredRow]], None],
        rows: Sequence[StoredRow],
    ) -> None:
        """Apply rows; one that the reader fails to apply costs itself alone.

        Without this, one value that no check has refused would end the following of
        the table, and with it the readiness of this entry VM.
        """
        try:
            apply_rows(rows)
        except Exception:
            logger.exception("rows not applied together", extra={"table": self.table})
        else:
            return
        applied = [row for row in rows if self.apply_alone(row)]
        try:
            apply_rows(applied)
        except Exception:
            logger.exception("rows not applied", extra={"table": self.table})

    def apply_alone(self, row: StoredRow) -> bool:
        """Return whether the reader can apply a row."""
        try:
            self.reader.change_rows([row])
        except Exception as error:
            self.reader.unreadable.record(row, error)
            with contextlib.suppress(Exception):
                self.reader.reject_row(row)
            return False
        return True

    async def read_changes(self) -> Exception | None:
        """Read the change feed once and return the failure, if any."""
        # After a failure, the call does not wait for changes: a recovered store
        # responds at once, and the call to a silent store times out earlier.
        wait_ms = 0 if self.healthy_since_ms is None else self.wait_ms
        began_ms = self.clock.boot_ms()
        response = await self.store.changes(self.table, self.version, wait_ms)
        if isinstance(response, Err):
            return response.err_value
        self.record_success()
        page = response.ok_value
        self.store_time.record(page.store_ms)
        if page.rows:
            self.apply(self.reader.change_rows, page.rows)
        self.version = max(self.version, page.version)
        # Further changes that did not fit into the response may be older than the call.
        if not page.has_more:
            self.reader.on_rows_applied(began_ms)
        if page.rows:
            await self.clock.sleep_ms(self.pause_ms() * self.busy_factor)
        return None
