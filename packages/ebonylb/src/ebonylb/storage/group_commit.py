"""Many independent conditional writes in few platform transactions.

The table service takes several hundred writes per second; a transaction for each
call would reach that limit long before the calls reach theirs.
"""

import asyncio
from collections import deque
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field

from result import Err, Ok, Result

from ..edges import Check, Clock, Committed, Conflict, Row, TableService, Write
from ..outcomes import StepError, new_token
from ..tasks import cancel_and_wait
from .settle import transact_settled

FLUSH_MS = 50
BATCH_ITEMS = 200
PENDING_ITEMS = 10_000
SETTLE_LIMIT_MS = 2_000
# Concurrent transactions; one that waits for an unclear answer must not block all.
IN_FLIGHT = 4

Outcome = Result[Committed | Conflict, StepError]


@dataclass(slots=True, eq=False)
class Item:
    """One caller's conditional write."""

    checks: tuple[Check, ...]
    writes: tuple[Write, ...]
    answer: "asyncio.Future[Outcome]"

    @property
    def rows(self) -> set[tuple[str, str]]:
        """Rows that the item reads or writes."""
        touched = {(check.table, check.key) for check in self.checks}
        return touched | {(write.table, write.key) for write in self.writes}

    def settle(self, outcome: Outcome) -> None:
        """Give the caller its result; a caller that left is skipped."""
        if not self.answer.done():
            self.answer.set_result(outcome)


@dataclass(slots=True)
class CommitCounts:
    """Totals since start."""

    transactions: int = 0
    rows: int = 0
    conflicts: int = 0
    failures: int = field(default=0)


class GroupCommit:
    """Groups conditional writes of many callers.

    A batch is flushed every `flush_ms` or as soon as it holds `batch_items`. Items
    that touch the same row go to different transactions. An item whose check fails
    gets its own `Conflict`; the others are sent again without it.

    Parameters
    ----------
    tables : TableService
        Platform tables.
    clock : Clock
        Source of time.
    settle_limit_ms : float
        Time after which an unclear transaction is given up with
        ``may_have_run=True``.
    pending_items : int
        Items that may wait; further ones fail with ``may_have_run=False``.
    """

    def __init__(
        self,
        tables: TableService,
        clock: Clock,
        *,
        flush_ms: float = FLUSH_MS,
        batch_items: int = BATCH_ITEMS,
        pending_items: int = PENDING_ITEMS,
        settle_limit_ms: float = SETTLE_LIMIT_MS,
    ) -> None:
        self.tables = tables
        self.clock = clock
        self.flush_ms = flush_ms
        self.batch_items = batch_items
        self.pending_items = pending_items
        self.settle_limit_ms = settle_limit_ms
        self.counts = CommitCounts()
        self.pending: deque[Item] = deque()
        self.arrived = asyncio.Event()
        self.full = asyncio.Event()
        self.room = asyncio.Semaphore(IN_FLIGHT)
        self.flushing: set[asyncio.Task[None]] = set()
        self.closed = False
        self.loop_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to flush."""
        self.loop_task = asyncio.create_task(self.run(), name="group-commit")

    async def close(self) -> None:
        """Flush what waits and stop; later submissions fail as not run."""
        self.closed = True
        if self.loop_task is not None:
            await cancel_and_wait([self.loop_task])
        while self.pending or self.flushing:
            await self.start_flush()
            await asyncio.gather(*self.flushing, return_exceptions=True)

    async def submit(self, checks: Sequence[Check], writes: Sequence[Write]) -> Outcome:
        """Write under conditions and return this item's own result.

        Returns
        -------
        Result
            As `storage.transact_settled`; the write id is that of the group.
        """
        if self.closed or len(self.pending) >= self.pending_items:
            cause = "closed" if self.closed else "too many writes are waiting"
            return Err(StepError("storage.group", "platform", cause, False))
        answer = asyncio.get_running_loop().create_future()
        self.pending.append(Item(tuple(checks), tuple(writes), answer))
        self.arrived.set()
        if len(self.pending) >= self.batch_items:
            self.full.set()
        return await answer

    async def run(self) -> None:
        """Flush one interval after the first item, or earlier when a batch is full.

        An idle process sleeps; a tick at each interval would cost it 20 wake-ups/s.
        """
        while True:
            await self.arrived.wait()
            self.arrived.clear()
            with suppress(TimeoutError):
                await asyncio.wait_for(self.full.wait(), self.flush_ms / 1000)
            self.full.clear()
            if self.pending:
                await self.start_flush()
            if self.pending:
                self.arrived.set()

    async def start_flush(self) -> None:
        """Start the transaction of one batch, once there is room for it."""
        await self.room.acquire()
        batch = self.take_batch()
        task = asyncio.create_task(self.commit(batch))
        self.flushing.add(task)
        task.add_done_callback(self.finish_flush)

    def finish_flush(self, task: asyncio.Task[None]) -> None:
        """Free the room of a finished transaction."""
        self.flushing.discard(task)
        self.room.release()
        if len(self.pending) >= self.batch_items:
            self.full.set()

    def take_batch(self) -> list[Item]:
        """Take waiting items that touch different rows, in order of arrival."""
        batch: list[Item] = []
        left: list[Item] = []
        rows: set[tuple[str, str]] = set()
        while self.pending and len(batch) < self.batch_items:
            item = self.pending.popleft()
            if item.answer.done():
                continue  # its caller was cancelled before anything was sent
            if rows & item.rows:
                left.append(item)
            else:
                batch.append(item)
            rows |= item.rows
        self.pending.extendleft(reversed(left))
        return batch

    async def commit(self, batch: list[Item]) -> None:
        """Commit a batch, without the items whose own checks fail."""
        try:
            while batch:
                outcome = await self.transact(batch)
                if isinstance(outcome, Ok) and isinstance(outcome.ok_value, Conflict):
                    batch = self.split(batch, outcome.ok_value)
                    continue
                for item in batch:
                    item.settle(outcome)
                return
        except BaseException as error:
            failure = StepError("storage.group", "platform", repr(error))
            for item in batch:
                item.settle(Err(failure))
            raise

    async def transact(self, batch: list[Item]) -> Outcome:
        """Send one transaction; its content never changes under its write id."""
        checks = [check for item in batch for check in item.checks]
        writes = [write for item in batch for write in item.writes]
        self.counts.transactions += 1
        outcome = await transact_settled(
            self.tables, self.clock, new_token(), checks, writes, self.settle_limit_ms
        )
        if isinstance(outcome, Err):
            self.counts.failures += 1
        elif isinstance(outcome.ok_value, Committed):
            self.counts.rows += len(writes)
        return outcome

    def split(self, batch: list[Item], conflict: Conflict) -> list[Item]:
        """Settle the items whose checks failed; return the others."""
        rest = []
        position = 0
        for item in batch:
            rows = conflict.rows[position : position + len(item.checks)]
            position += len(item.checks)
            if holds(item.checks, rows):
                rest.append(item)
            else:
                self.counts.conflicts += 1
                item.settle(Ok(Conflict(tuple(rows))))
        if len(rest) == len(batch):
            # The rows changed back between check and answer; nothing to single out.
            for item in rest:
                item.settle(
                    Err(StepError("storage.group", "platform", "no row differs", False))
                )
            return []
        return rest


def holds(checks: Sequence[Check], rows: Sequence[Row | None]) -> bool:
    """Tell whether rows have the revisions that the checks ask for."""
    return all(
        (row.revision if row else 0) == check.revision
        for check, row in zip(checks, rows, strict=True)
    )
