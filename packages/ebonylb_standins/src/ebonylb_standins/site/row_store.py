"""In-memory store of versioned rows, with the faults of the platform's store."""

import asyncio
import bisect
from collections.abc import Sequence
from dataclasses import dataclass, field

from result import Err, Ok, Result

from ebonylb.interfaces import Clock
from ebonylb.interfaces.row_store import (
    Applied,
    Condition,
    HistoryLostError,
    Mismatch,
    Page,
    Put,
    RowKey,
    RowStore,
    StoredRow,
)
from ebonylb.outcomes import StepError

# Timeouts of a client whose store does not respond, as in the adapter of the users'
# store; the feed's timeout is its wait time plus the margin.
CALL_TIMEOUT_MS = 1_500.0
FEED_TIMEOUT_MARGIN_MS = 800.0
PAGE_ROWS = 500  # most rows of one response
PAGE_BYTES = 700_000  # most bytes of their values, which grow by a third in JSON
STORE_CLOCK_OFFSET_MS = 5_000_000.0


@dataclass(slots=True)
class StoreFaults:
    """Faults of the following calls.

    Attributes
    ----------
    down : bool
        Calls fail after `delay_ms` and have no effect.
    silent : bool
        Calls get no response until they time out, and have no effect.
    lost_responses : int
        Number of next transactions that are applied and whose response is lost.
    late_writes_ms : list of float
        Delays of the next transactions: each gets no response and is applied after
        its delay if its conditions still hold.
    delay_ms : float
        Duration of each call.
    """

    down: bool = False
    silent: bool = False
    lost_responses: int = 0
    late_writes_ms: list[float] = field(default_factory=list)
    delay_ms: float = 4.0


class StoreData:
    """Rows and change log shared by all clients of one store.

    Attributes
    ----------
    history_start_version : int
        Changes up to this version are no longer available to feeds.
    failing_parts : set of str
        Partitions whose reads and transactions fail for all clients.
    """

    def __init__(self) -> None:
        self.rows: dict[RowKey, StoredRow] = {}
        self.keys: dict[tuple[str, str], list[str]] = {}
        self.log: list[StoredRow] = []
        self.version = 0
        self.history_start_version = 0
        self.changed = asyncio.Event()
        self.transactions = 0
        self.failing_parts: set[str] = set()

    def apply(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> Applied | Mismatch:
        """Apply a transaction if its conditions hold, else return the current rows."""
        self.transactions += 1
        for condition in conditions:
            row = self.rows.get(condition.row_key)
            if (row.version if row else 0) != condition.version:
                current_rows = (self.rows.get(c.row_key) for c in conditions)
                return Mismatch(tuple(row for row in current_rows if row))
        self.version += 1
        for put in puts:
            deleted = put.value is None
            row = StoredRow(put.row_key, put.value or b"", self.version, deleted)
            self.log.append(row)
            self.index(put.row_key, deleted)
            if deleted:
                self.rows.pop(put.row_key, None)
            else:
                self.rows[put.row_key] = row
        self.changed.set()
        self.changed = asyncio.Event()
        return Applied(self.version, 0.0)

    def index(self, row_key: RowKey, deleted: bool) -> None:
        """Keep the keys of a partition sorted, before a row is written or deleted."""
        keys = self.keys.setdefault((row_key.table, row_key.part), [])
        if deleted == (row_key in self.rows):
            if deleted:
                del keys[bisect.bisect_left(keys, row_key.key)]
            else:
                bisect.insort(keys, row_key.key)

    def find_rows(
        self, table: str, part: str, start: str, end: str, limit: int | None = None
    ) -> list[StoredRow]:
        """Return the rows of a key range in order, up to a limit."""
        keys = self.keys.get((table, part), [])
        first = bisect.bisect_left(keys, start)
        last = bisect.bisect_left(keys, end) if end else len(keys)
        if limit is not None:
            last = min(last, first + limit)
        return [self.rows[RowKey(table, part, key)] for key in keys[first:last]]

    def drop_history(self) -> None:
        """Drop all changes so far; a feed that starts before them fails."""
        self.history_start_version = self.version

    def put(self, table: str, key: str, value: bytes | None, part: str = "") -> None:
        """Write a row unconditionally, as the operator or a server does."""
        self.apply([], [Put(RowKey(table, part, key), value)])


class MemoryRowStore(RowStore):
    """One client's access to a store; faults are set per client.

    Parameters
    ----------
    data : StoreData
        Rows shared with other clients.
    """

    def __init__(self, data: StoreData, clock: Clock) -> None:
        self.data = data
        self.clock = clock
        self.faults = StoreFaults()
        self.tasks: set[asyncio.Task[None]] = set()

    def store_ms(self) -> float:
        """Return the store's time, which has an offset to its clients' clocks."""
        return self.clock.monotonic_ms() + STORE_CLOCK_OFFSET_MS

    async def fails_after_delay(self, timeout_ms: float = 0.0) -> bool:
        """Wait for the duration of a call; return whether the call fails.

        Parameters
        ----------
        timeout_ms : float
            Timeout of the client, used when the store does not respond.
        """
        if self.faults.silent:
            await self.clock.sleep_ms(timeout_ms)
            return True
        await self.clock.sleep_ms(self.faults.delay_ms)
        return self.faults.down

    def call_error(self, may_have_run: bool) -> Err[StepError]:
        """Return the error of a failed call."""
        return Err(StepError("store", "memory", "fault", may_have_run))

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> Result[Applied | Mismatch, StepError]:
        """Apply a transaction, or fail according to the faults."""
        silent = self.faults.silent
        if await self.fails_after_delay(CALL_TIMEOUT_MS):
            return self.call_error(silent)
        if any(put.row_key.part in self.data.failing_parts for put in puts):
            return self.call_error(True)
        if self.faults.late_writes_ms:
            delay_ms = self.faults.late_writes_ms.pop(0)
            task = asyncio.create_task(self.apply_late(delay_ms, conditions, puts))
            self.tasks.add(task)
            return self.call_error(True)
        outcome = self.data.apply(conditions, puts)
        if self.faults.lost_responses:
            self.faults.lost_responses -= 1
            return self.call_error(True)
        return Ok(outcome)

    async def apply_late(
        self, delay_ms: float, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> None:
        """Apply a transaction after its caller received an error."""
        await self.clock.sleep_ms(delay_ms)
        self.data.apply(conditions, puts)

    async def read(
        self, table: str, part: str = "", start: str = "", end: str = ""
    ) -> Result[Page, StepError]:
        """Return the rows of a key range of one partition."""
        if await self.fails_after_delay(CALL_TIMEOUT_MS):
            return self.call_error(False)
        if part in self.data.failing_parts:
            return self.call_error(False)
        rows = self.data.find_rows(table, part, start, end)
        return Ok(Page(tuple(rows), self.data.version, store_ms=self.store_ms()))

    async def read_page(
        self, table: str, part: str = "", start: str = "", end: str = ""
    ) -> Result[Page, StepError]:
        """Return the first rows of a key range of one partition."""
        if await self.fails_after_delay(CALL_TIMEOUT_MS):
            return self.call_error(False)
        if part in self.data.failing_parts:
            return self.call_error(False)
        rows = self.data.find_rows(table, part, start, end, PAGE_ROWS + 1)
        count, size = 0, 0
        for row in rows[:PAGE_ROWS]:
            size += len(row.value)
            if count and size > PAGE_BYTES:
                break
            count += 1
        return Ok(
            Page(
                tuple(rows[:count]),
                self.data.version,
                count < len(rows),
                self.store_ms(),
            )
        )

    async def read_parts(self, table: str) -> Result[list[str], StepError]:
        """Return the partitions of a table."""
        if await self.fails_after_delay(CALL_TIMEOUT_MS):
            return self.call_error(False)
        return Ok(sorted({at.part for at in self.data.rows if at.table == table}))

    async def changes(
        self, table: str, after: int, wait_ms: int
    ) -> Result[Page, StepError]:
        """Return changes after a version; wait up to `wait_ms` for the first."""
        if await self.fails_after_delay(wait_ms + FEED_TIMEOUT_MARGIN_MS):
            return self.call_error(False)
        deadline_ms = self.clock.monotonic_ms() + wait_ms
        while True:
            if self.faults.down:
                return self.call_error(False)
            if self.faults.silent:
                remaining_ms = (
                    deadline_ms + FEED_TIMEOUT_MARGIN_MS - self.clock.monotonic_ms()
                )
                await self.clock.sleep_ms(remaining_ms)
                return self.call_error(False)
            if after < self.data.history_start_version:
                return Err(HistoryLostError("store", "memory", "dropped", False))
            first = bisect.bisect_right(
                self.data.log, after, key=lambda row: row.version
            )
            rows = [row for row in self.data.log[first:] if row.row_key.table == table]
            remaining_ms = deadline_ms - self.clock.monotonic_ms()
            if rows or remaining_ms <= 0:
                return Ok(
                    Page(tuple(rows), self.data.version, store_ms=self.store_ms())
                )
            try:
                async with asyncio.timeout(remaining_ms / 1000):
                    await self.data.changed.wait()
            except TimeoutError:
                # The virtual time may stop a rounding error before the deadline.
                deadline_ms = self.clock.monotonic_ms()
