"""Store of versioned rows in memory, with the faults of the platform's store."""

import asyncio
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

# A client gives a silent store up after these, as the adapter of the users' store does.
CALL_TIMEOUT_MS = 1_500.0
FEED_SLACK_MS = 800.0
STORE_AHEAD_MS = 5_000_000.0


@dataclass(slots=True)
class StoreFaults:
    """What goes wrong from now on.

    Attributes
    ----------
    down : bool
        Calls fail at once and nothing is done.
    silent : bool
        Calls that begin now get no answer until they time out, and nothing is done.
    lose_answers : int
        So many transactions are done and not answered.
    late_ms : list of float
        The next transactions get no answer and are done after these times, if their
        conditions still hold.
    delay_ms : float
        Duration of each call.
    """

    down: bool = False
    silent: bool = False
    lose_answers: int = 0
    late_ms: list[float] = field(default_factory=list)
    delay_ms: float = 4.0


class StoreData:
    """Rows shared by all clients of one store."""

    def __init__(self) -> None:
        self.rows: dict[RowKey, StoredRow] = {}
        self.log: list[StoredRow] = []
        self.version = 0
        self.dropped_before = 0
        self.changed = asyncio.Event()
        self.transactions = 0

    def apply(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> Applied | Mismatch:
        """Apply a transaction as the store does."""
        self.transactions += 1
        for condition in conditions:
            row = self.rows.get(condition.row_key)
            if (row.version if row else 0) != condition.version:
                found = (self.rows.get(c.row_key) for c in conditions)
                return Mismatch(tuple(row for row in found if row))
        self.version += 1
        for put in puts:
            deleted = put.value is None
            row = StoredRow(put.row_key, put.value or b"", self.version, deleted)
            self.log.append(row)
            if deleted:
                self.rows.pop(put.row_key, None)
            else:
                self.rows[put.row_key] = row
        self.changed.set()
        self.changed = asyncio.Event()
        return Applied(self.version, 0.0)

    def drop_history(self) -> None:
        """Forget all changes so far; a feed from before fails."""
        self.dropped_before = self.version

    def put(self, table: str, key: str, value: bytes | None, part: str = "") -> None:
        """Write a row as the operator or a server does."""
        self.apply([], [Put(RowKey(table, part, key), value)])


class MemoryRowStore(RowStore):
    """One client's access to a store, with faults of its own.

    Parameters
    ----------
    data : StoreData
        The shared rows.
    clock : Clock
        Source of time.
    """

    def __init__(self, data: StoreData, clock: Clock) -> None:
        self.data = data
        self.clock = clock
        self.faults = StoreFaults()
        self.tasks: set[asyncio.Task[None]] = set()

    def store_ms(self) -> float:
        """Return the store's own time, which differs from that of its callers."""
        return self.clock.monotonic_ms() + STORE_AHEAD_MS

    async def is_lost(self, wait_ms: float = 0.0) -> bool:
        """Take the time of a call; tell whether it fails.

        Parameters
        ----------
        wait_ms : float
            Longest time after which the caller gives a silent store up.
        """
        if self.faults.silent:
            await self.clock.sleep_ms(wait_ms)
            return True
        await self.clock.sleep_ms(self.faults.delay_ms)
        return self.faults.down

    def failure(self, may_have_run: bool) -> Err[StepError]:
        """Return the error of a call."""
        return Err(StepError("store", "memory", "fault", may_have_run))

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> Result[Applied | Mismatch, StepError]:
        """Apply a transaction, or fail as the faults say."""
        silent = self.faults.silent
        if await self.is_lost(CALL_TIMEOUT_MS):
            return self.failure(silent)
        if self.faults.late_ms:
            delay = self.faults.late_ms.pop(0)
            task = asyncio.create_task(self.apply_late(delay, conditions, puts))
            self.tasks.add(task)
            return self.failure(True)
        done = self.data.apply(conditions, puts)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return self.failure(True)
        return Ok(done)

    async def apply_late(
        self, delay_ms: float, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> None:
        """Carry a transaction out after its caller gave up."""
        await self.clock.sleep_ms(delay_ms)
        self.data.apply(conditions, puts)

    async def read(
        self, table: str, part: str = "", start: str = "", end: str = ""
    ) -> Result[Page, StepError]:
        """Read a range."""
        if await self.is_lost(CALL_TIMEOUT_MS):
            return self.failure(False)
        rows = [
            row
            for at, row in self.data.rows.items()
            if (at.table, at.part) == (table, part)
            and at.key >= start
            and (not end or at.key < end)
        ]
        rows.sort(key=lambda row: row.row_key.key)
        return Ok(Page(tuple(rows), self.data.version, store_ms=self.store_ms()))

    async def read_table(self, table: str) -> Result[Page, StepError]:
        """Read all partitions."""
        if await self.is_lost(CALL_TIMEOUT_MS):
            return self.failure(False)
        rows = [row for at, row in self.data.rows.items() if at.table == table]
        return Ok(Page(tuple(rows), self.data.version, store_ms=self.store_ms()))

    async def changes(
        self, table: str, after: int, wait_ms: int
    ) -> Result[Page, StepError]:
        """Wait for changes."""
        if await self.is_lost(wait_ms + FEED_SLACK_MS):
            return self.failure(False)
        ends_ms = self.clock.monotonic_ms() + wait_ms
        while True:
            if self.faults.down:
                return self.failure(False)
            if self.faults.silent:
                left = ends_ms + FEED_SLACK_MS - self.clock.monotonic_ms()
                await self.clock.sleep_ms(left)
                return self.failure(False)
            if after < self.data.dropped_before:
                return Err(HistoryLostError("store", "memory", "dropped", False))
            rows = [
                row
                for row in self.data.log
                if row.version > after and row.row_key.table == table
            ]
            left = ends_ms - self.clock.monotonic_ms()
            if rows or left <= 0:
                return Ok(
                    Page(tuple(rows), self.data.version, store_ms=self.store_ms())
                )
            try:
                async with asyncio.timeout(left / 1000):
                    await self.data.changed.wait()
            except TimeoutError:
                continue
