"""Write-behind journal that stores results of calls on the platform."""

import asyncio
import base64
import logging
import math
import random
from collections import deque
from dataclasses import dataclass

from result import Err, Ok, Result

from ..interfaces import (
    CallResponse,
    Check,
    Clock,
    ObjectStore,
    Row,
    TableService,
    Write,
)
from ..outcomes import Outcome, Refusal, StepError
from ..storage import GroupCommit
from ..tasks import cancel_and_wait
from .records import MAX_INLINE_BYTES, TABLE, CallRecord, result_value, row_value

logger = logging.getLogger(__name__)

MAX_BATCH_ROWS = 200
# All entry VMs notice the end of an outage at the same time, so each distributes the
# writes of its backlog over this period. An outage shorter than the settling time of
# the group commit fails no batch, so the rows written after it are not paced.
BACKLOG_FLUSH_MS = 10_000
MIN_BACKOFF_MS = 250
MAX_BACKOFF_MS = 2_000


@dataclass(slots=True, eq=False)
class JournalEntry:
    """One row to write: a result, or the release of a claim whose call was not run."""

    record: CallRecord
    result: CallResponse | Refusal | None
    size_bytes: int


class Journal:
    """Bounded queue of results that a background task writes by group commit.

    Parameters
    ----------
    group_commit : GroupCommit
        Writes the rows.
    tables : TableService
        Reads the rows.
    objects : ObjectStore
        Holds response bodies of more than `MAX_INLINE_BYTES`.
    holder : str
        Name of this entry VM, stored in the rows.
    max_rows, max_bytes : int
        Limits of the queue. Check `has_capacity` before a call is dispatched.
    """

    def __init__(
        self,
        group_commit: GroupCommit,
        tables: TableService,
        objects: ObjectStore,
        clock: Clock,
        holder: str,
        max_rows: int,
        max_bytes: int,
    ) -> None:
        self.group_commit = group_commit
        self.tables = tables
        self.objects = objects
        self.clock = clock
        self.holder = holder
        self.max_rows = max_rows
        self.max_bytes = max_bytes
        self.queue: deque[JournalEntry] = deque()
        self.queued_bytes = 0
        self.rows_in_write = 0
        self.rows_written = 0
        self.conflicts = 0
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    @property
    def backlog(self) -> int:
        """Number of rows that are not yet known to be stored."""
        return len(self.queue) + self.rows_in_write

    def has_capacity(self, running_calls: int) -> bool:
        """Return whether a call may start while `running_calls` other calls run."""
        return (
            self.backlog + running_calls < self.max_rows
            and self.queued_bytes < self.max_bytes
        )

    def add(self, record: CallRecord, result: CallResponse | Refusal | None) -> None:
        """Queue a result; None queues the release of the record's claim."""
        size_bytes = len(result.body) if isinstance(result, CallResponse) else 0
        self.queue.append(JournalEntry(record, result, size_bytes))
        self.queued_bytes += size_bytes
        self.wake.set()

    async def start(self) -> None:
        """Start the task that writes queued rows."""
        self.task = asyncio.create_task(self.run(), name="call-journal")

    async def close(self, timeout_ms: float) -> int:
        """Write the queued rows without pacing; return the number of rows left."""
        if self.task is not None:
            await cancel_and_wait([self.task])
        deadline_ms = self.clock.monotonic_ms() + timeout_ms
        backoff_ms = MIN_BACKOFF_MS
        while self.queue and self.clock.monotonic_ms() < deadline_ms:
            if not await self.write_batch(MAX_BATCH_ROWS):
                await self.clock.sleep_ms(backoff_ms)
                backoff_ms = min(backoff_ms * 2, MAX_BACKOFF_MS)
        return self.backlog

    async def run(self) -> None:
        """Write batches; after a failure, probe with one row, then pace the backlog."""
        while True:
            if not self.queue:
                self.wake.clear()
                await self.wake.wait()
            if await self.write_batch(MAX_BATCH_ROWS):
                continue
            backoff_ms = MIN_BACKOFF_MS
            while True:
                await self.clock.sleep_ms(backoff_ms * random.uniform(0.5, 1.0))
                backoff_ms = min(backoff_ms * 2, MAX_BACKOFF_MS)
                if await self.write_batch(1):
                    break
            await self.flush_backlog()

    async def flush_backlog(self) -> None:
        """Write the backlog of an outage, distributed over `BACKLOG_FLUSH_MS`."""
        batches = math.ceil(len(self.queue) / MAX_BATCH_ROWS)
        for _ in range(batches):
            await self.clock.sleep_ms(
                BACKLOG_FLUSH_MS / batches * random.uniform(0.5, 1.0)
            )
            if not await self.write_batch(MAX_BATCH_ROWS):
                return

    async def write_batch(self, max_entries: int) -> bool:
        """Write up to `max_entries` rows; return whether all of them were stored.

        Rows that failed return to the head of the queue in their order.
        """
        count = min(max_entries, len(self.queue))
        entries = [self.queue.popleft() for _ in range(count)]
        self.rows_in_write += count
        stored = [False] * count
        try:
            stored = await asyncio.gather(*(self.try_write(e) for e in entries))
        finally:
            self.rows_in_write -= count
            failed = [e for e, done in zip(entries, stored, strict=True) if not done]
            self.queue.extendleft(reversed(failed))
        return not failed

    async def try_write(self, entry: JournalEntry) -> bool:
        """Write one row; log unexpected errors, so that they do not end the task."""
        try:
            return await self.write(entry)
        except Exception:
            logger.exception("call row %s was not written", entry.record.row_key)
            return False

    async def write(self, entry: JournalEntry) -> bool:
        """Write one row; return False if the write has to be retried."""
        object_key = ""
        if entry.size_bytes > MAX_INLINE_BYTES:
            object_key = f"calls/{entry.record.row_key}/{entry.record.token}"
            stored = await self.objects.put(object_key, entry.result.body)
            if isinstance(stored, Err):
                return False
        record = entry.record
        if entry.result is None:
            value = row_value(record, "released", self.holder)
        else:
            value = row_value(record, "answered", self.holder)
            value |= result_value(entry.result, object_key)
        outcome = await self.group_commit.submit(
            [Check(TABLE, record.row_key, record.row_revision)],
            [Write(TABLE, record.row_key, value)],
        )
        if isinstance(outcome, Err):
            return False
        self.mark_journaled(entry, getattr(outcome.ok_value, "rows", None))
        return True

    def mark_journaled(
        self, entry: JournalEntry, rows: tuple[Row | None, ...] | None
    ) -> None:
        """Mark a row as stored.

        A conflict with an earlier write of the same token also means that the row is
        stored; a conflict with another token is counted and logged.
        """
        row = rows[0] if rows else None
        written_by_other = rows is not None and (
            row is None or row.value.get("token") != entry.record.token
        )
        if written_by_other and entry.result is not None:
            self.conflicts += 1
            logger.error("result of call row %s has a conflict", entry.record.row_key)
        self.queued_bytes -= entry.size_bytes
        self.rows_written += 1
        entry.record.journaled = True

    async def read_row(self, row_key: str) -> Result[Row | None, StepError]:
        """Read the row of a call with strong consistency."""
        return await self.tables.read(TABLE, row_key, strong=True)

    async def load_result(self, row: Row) -> Result[CallResponse | Refusal, StepError]:
        """Return the result that an answered row holds."""
        refusal = row.value.get("refusal")
        if refusal is not None:
            return Ok(
                Refusal(
                    Outcome(refusal["outcome"]), refusal["reason"], refusal["message"]
                )
            )
        response = row.value["answer"]
        if "object" in response:
            fetched = await self.objects.get(response["object"])
            if isinstance(fetched, Err):
                return fetched
            body = fetched.ok_value
        else:
            body = base64.b64decode(response["body"])
        if body is None or len(body) != response["size_bytes"]:
            cause = "the recorded response body is missing or truncated"
            return Err(StepError("journal.load", "platform", cause))
        return Ok(
            CallResponse(
                response["status"], body, response["content_type"], response["server"]
            )
        )
