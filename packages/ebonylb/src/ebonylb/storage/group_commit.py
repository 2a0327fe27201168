"""Group commit: many independent conditional writes in few platform transactions.

The table service accepts several hundred writes per second. With one transaction per
call, that limit would be reached long before the limit of the calls.
"""

import asyncio
from collections import deque
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field

from result import Err, Ok, Result

from ..interfaces import Check, Clock, Committed, Conflict, Row, TableService, Write
from ..outcomes import StepError, new_token
from ..tasks import cancel_and_wait
from .settled_transaction import transact_settled

FLUSH_INTERVAL_MS = 50
MAX_BATCH_ITEMS = 200
MAX_PENDING_ITEMS = 10_000
SETTLE_TIMEOUT_MS = 2_000
# A transaction that waits for an unclear outcome must not block all others.
MAX_CONCURRENT_TRANSACTIONS = 4

Outcome = Result[Committed | Conflict, StepError]


@dataclass(slots=True, eq=False)
class PendingWrite:
    """A caller's conditional write that is not committed yet."""

    checks: tuple[Check, ...]
    writes: tuple[Write, ...]
    future: "asyncio.Future[Outcome]"

    @property
    def rows(self) -> set[tuple[str, str]]:
        """Rows that are checked or written, as (table, key)."""
        touched = {(check.table, check.key) for check in self.checks}
        return touched | {(write.table, write.key) for write in self.writes}

    def complete(self, outcome: Outcome) -> None:
        """Set the caller's result, unless the caller was cancelled."""
        if not self.future.done():
            self.future.set_result(outcome)


@dataclass(slots=True)
class CommitCounts:
    """Totals since the start."""

    transactions: int = 0
    rows: int = 0
    conflicts: int = 0
    failures: int = field(default=0)


class GroupCommit:
    """Groups conditional writes of many callers into transactions.

    A batch is committed `flush_interval_ms` after its first write, or as soon as it has
    `max_batch_items` writes. Writes that touch the same row go to different
    transactions. A write whose checks fail gets its own `Conflict`; the others are sent
    again without it.

    Parameters
    ----------
    tables : TableService
        Platform tables.
    clock : Clock
        Source of time.
    flush_interval_ms : float
        Time after the first write at which a batch is committed.
    max_batch_items : int
        Maximum number of writes in a transaction.
    max_pending_items : int
        Maximum number of waiting writes; further ones fail with ``may_have_run=False``.
    settle_timeout_ms : float
        Time after which a transaction with an unknown outcome fails with
        ``may_have_run=True``.
    """

    def __init__(
        self,
        tables: TableService,
        clock: Clock,
        *,
        flush_interval_ms: float = FLUSH_INTERVAL_MS,
        max_batch_items: int = MAX_BATCH_ITEMS,
        max_pending_items: int = MAX_PENDING_ITEMS,
        settle_timeout_ms: float = SETTLE_TIMEOUT_MS,
    ) -> None:
        self.tables = tables
        self.clock = clock
        self.flush_interval_ms = flush_interval_ms
        self.max_batch_items = max_batch_items
        self.max_pending_items = max_pending_items
        self.settle_timeout_ms = settle_timeout_ms
        self.counts = CommitCounts()
        self.pending: deque[PendingWrite] = deque()
        self.item_arrived = asyncio.Event()
        self.batch_full = asyncio.Event()
        self.transaction_slots = asyncio.Semaphore(MAX_CONCURRENT_TRANSACTIONS)
        self.transactions: set[asyncio.Task[None]] = set()
        self.closed = False
        self.flush_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the task that commits batches."""
        self.flush_task = asyncio.create_task(self.run(), name="group-commit")

    async def close(self) -> None:
        """Commit all waiting writes and stop; later submissions fail as not run."""
        self.closed = True
        if self.flush_task is not None:
            await cancel_and_wait([self.flush_task])
        while self.pending or self.transactions:
            await self.start_transaction()
            await asyncio.gather(*self.transactions, return_exceptions=True)

    async def submit(self, checks: Sequence[Check], writes: Sequence[Write]) -> Outcome:
        """Submit a conditional write and return its own result.

        Returns
        -------
        Result
            As `storage.transact_settled`; the write id is that of the group.
        """
        if self.closed or len(self.pending) >= self.max_pending_items:
            cause = "closed" if self.closed else "too many writes are waiting"
            return Err(StepError("storage.group", "platform", cause, False))
        future = asyncio.get_running_loop().create_future()
        self.pending.append(PendingWrite(tuple(checks), tuple(writes), future))
        self.item_arrived.set()
        if len(self.pending) >= self.max_batch_items:
            self.batch_full.set()
        return await future

    async def run(self) -> None:
        """Commit one interval after the first write, or earlier when a batch is full.

        The task sleeps while no write is waiting; a periodic timer would cause 20
        wake-ups/s in an idle process.
        """
        while True:
            await self.item_arrived.wait()
            self.item_arrived.clear()
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    self.batch_full.wait(), self.flush_interval_ms / 1000
                )
            self.batch_full.clear()
            if self.pending:
                await self.start_transaction()
            if self.pending:
                self.item_arrived.set()

    async def start_transaction(self) -> None:
        """Start the transaction of one batch as soon as a transaction slot is free."""
        await self.transaction_slots.acquire()
        batch = self.take_batch()
        task = asyncio.create_task(self.commit(batch))
        self.transactions.add(task)
        task.add_done_callback(self.finish_transaction)

    def finish_transaction(self, task: asyncio.Task[None]) -> None:
        """Release the slot of a finished transaction."""
        self.transactions.discard(task)
        self.transaction_slots.release()
        if len(self.pending) >= self.max_batch_items:
            self.batch_full.set()

    def take_batch(self) -> list[PendingWrite]:
        """Remove and return waiting writes that touch different rows, in order."""
        batch: list[PendingWrite] = []
        deferred: list[PendingWrite] = []
        rows: set[tuple[str, str]] = set()
        while self.pending and len(batch) < self.max_batch_items:
            item = self.pending.popleft()
            if item.future.done():
                continue  # the caller was cancelled before anything was sent
            if rows & item.rows:
                deferred.append(item)
            else:
                batch.append(item)
            rows |= item.rows
        self.pending.extendleft(reversed(deferred))
        return batch

    async def commit(self, batch: list[PendingWrite]) -> None:
        """Commit a batch, without the writes whose own checks fail."""
        try:
            while batch:
                outcome = await self.transact(batch)
                if isinstance(outcome, Ok) and isinstance(outcome.ok_value, Conflict):
                    batch = self.settle_conflicts(batch, outcome.ok_value)
                    continue
                for item in batch:
                    item.complete(outcome)
                return
        except BaseException as error:
            failure = StepError("storage.group", "platform", repr(error))
            for item in batch:
                item.complete(Err(failure))
            raise

    async def transact(self, batch: list[PendingWrite]) -> Outcome:
        """Send one transaction; a write id is never reused with other content."""
        checks = [check for item in batch for check in item.checks]
        writes = [write for item in batch for write in item.writes]
        self.counts.transactions += 1
        outcome = await transact_settled(
            self.tables, self.clock, new_token(), checks, writes, self.settle_timeout_ms
        )
        if isinstance(outcome, Err):
            self.counts.failures += 1
        elif isinstance(outcome.ok_value, Committed):
            self.counts.rows += len(writes)
        return outcome

    def settle_conflicts(
        self, batch: list[PendingWrite], conflict: Conflict
    ) -> list[PendingWrite]:
        """Complete the writes whose checks failed and return the others."""
        remaining = []
        position = 0
        for item in batch:
            rows = conflict.rows[position : position + len(item.checks)]
            position += len(item.checks)
            if checks_hold(item.checks, rows):
                remaining.append(item)
            else:
                self.counts.conflicts += 1
                item.complete(Ok(Conflict(tuple(rows))))
        if len(remaining) == len(batch):
            # The rows changed back between the check and the response, so no write can
            # be identified as conflicting.
            for item in remaining:
                item.complete(
                    Err(StepError("storage.group", "platform", "no row differs", False))
                )
            return []
        return remaining


def checks_hold(checks: Sequence[Check], rows: Sequence[Row | None]) -> bool:
    """Return whether the rows have the revisions that the checks require."""
    return all(
        (row.revision if row else 0) == check.revision
        for check, row in zip(checks, rows, strict=True)
    )
