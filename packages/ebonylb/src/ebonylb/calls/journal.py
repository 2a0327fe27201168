"""Results of calls on their way to the platform, and back from it."""

import asyncio
import base64
import logging
import math
import random
from collections import deque
from dataclasses import dataclass

from result import Err, Ok, Result

from ..edges import CallAnswer, Check, Clock, ObjectStore, Row, TableService, Write
from ..outcomes import Outcome, Refusal, StepError
from ..storage import GroupCommit
from ..tasks import cancel_and_wait
from .records import INLINE_BYTES, TABLE, CallRecord, result_value, row_value

logger = logging.getLogger(__name__)

BATCH_ROWS = 200
# All entry VMs find the platform back at the same time; each spreads its backlog.
# An outage shorter than the group commit's settling fails no batch and is not spread.
SPREAD_MS = 10_000
FIRST_PAUSE_MS = 250
LONGEST_PAUSE_MS = 2_000


@dataclass(slots=True, eq=False)
class Entry:
    """One row to write: a result, or the release of a claim that was not run."""

    record: CallRecord
    result: CallAnswer | Refusal | None
    size_bytes: int


class Journal:
    """Bounded queue of results, written by group commit.

    Parameters
    ----------
    group : GroupCommit
        Writes rows.
    tables, objects : TableService, ObjectStore
        Read rows; hold answers over `INLINE_BYTES`.
    holder : str
        Name of this entry VM, stored in the rows.
    max_rows, max_bytes : int
        Limits of what may wait; `has_room` is asked before a call is dispatched.
    """

    def __init__(
        self,
        group: GroupCommit,
        tables: TableService,
        objects: ObjectStore,
        clock: Clock,
        holder: str,
        max_rows: int,
        max_bytes: int,
    ) -> None:
        self.group = group
        self.tables = tables
        self.objects = objects
        self.clock = clock
        self.holder = holder
        self.max_rows = max_rows
        self.max_bytes = max_bytes
        self.waiting: deque[Entry] = deque()
        self.waiting_bytes = 0
        self.writing = 0
        self.written = 0
        self.conflicts = 0
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    @property
    def backlog(self) -> int:
        """Rows that are not yet surely stored."""
        return len(self.waiting) + self.writing

    def has_room(self, running: int) -> bool:
        """Tell whether one more call may start, with `running` calls unfinished."""
        return (
            self.backlog + running < self.max_rows
            and self.waiting_bytes < self.max_bytes
        )

    def add(self, record: CallRecord, result: CallAnswer | Refusal | None) -> None:
        """Queue a result, or with None the release of the record's claim."""
        size = len(result.body) if isinstance(result, CallAnswer) else 0
        self.waiting.append(Entry(record, result, size))
        self.waiting_bytes += size
        self.wake.set()

    async def start(self) -> None:
        """Start to write."""
        self.task = asyncio.create_task(self.run(), name="call-journal")

    async def close(self, limit_ms: float) -> int:
        """Write what waits, without spreading; return the number of rows left."""
        if self.task is not None:
            await cancel_and_wait([self.task])
        deadline = self.clock.monotonic_ms() + limit_ms
        pause = FIRST_PAUSE_MS
        while self.waiting and self.clock.monotonic_ms() < deadline:
            if not await self.write_batch(BATCH_ROWS):
                await self.clock.sleep_ms(pause)
                pause = min(pause * 2, LONGEST_PAUSE_MS)
        return self.backlog

    async def run(self) -> None:
        """Write batches; after an outage, probe with one row and then spread."""
        while True:
            if not self.waiting:
                self.wake.clear()
                await self.wake.wait()
            if await self.write_batch(BATCH_ROWS):
                continue
            pause = FIRST_PAUSE_MS
            while True:
                await self.clock.sleep_ms(pause * random.uniform(0.5, 1.0))
                pause = min(pause * 2, LONGEST_PAUSE_MS)
                if await self.write_batch(1):
                    break
            await self.spread()

    async def spread(self) -> None:
        """Write the backlog of an outage over `SPREAD_MS`."""
        batches = math.ceil(len(self.waiting) / BATCH_ROWS)
        for _ in range(batches):
            await self.clock.sleep_ms(SPREAD_MS / batches * random.uniform(0.5, 1.0))
            if not await self.write_batch(BATCH_ROWS):
                return

    async def write_batch(self, limit: int) -> bool:
        """Write up to `limit` rows; rows that failed wait again, in order."""
        count = min(limit, len(self.waiting))
        entries = [self.waiting.popleft() for _ in range(count)]
        self.writing += count
        stored = [False] * count
        try:
            stored = await asyncio.gather(*(self.try_write(e) for e in entries))
        finally:
            self.writing -= count
            failed = [e for e, done in zip(entries, stored, strict=True) if not done]
            self.waiting.extendleft(reversed(failed))
        return not failed

    async def try_write(self, entry: Entry) -> bool:
        """Write one row; an unexpected error must not end the journal's task."""
        try:
            return await self.write(entry)
        except Exception:
            logger.exception("call row %s was not written", entry.record.row_key)
            return False

    async def write(self, entry: Entry) -> bool:
        """Write one row; False when it has to be tried again."""
        object_key = ""
        if entry.size_bytes > INLINE_BYTES:
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
        outcome = await self.group.submit(
            [Check(TABLE, record.row_key, record.row_revision)],
            [Write(TABLE, record.row_key, value)],
        )
        if isinstance(outcome, Err):
            return False
        self.settle(entry, getattr(outcome.ok_value, "rows", None))
        return True

    def settle(self, entry: Entry, rows: tuple[Row | None, ...] | None) -> None:
        """Count a stored row; a conflict with an own earlier write is stored too."""
        row = rows[0] if rows else None
        foreign = rows is not None and (
            row is None or row.value.get("token") != entry.record.token
        )
        if foreign and entry.result is not None:
            self.conflicts += 1
            logger.error("result of call row %s has a conflict", entry.record.row_key)
        self.waiting_bytes -= entry.size_bytes
        self.written += 1
        entry.record.journaled = True

    async def find(self, row_key: str) -> Result[Row | None, StepError]:
        """Read the row of a call as it surely is."""
        return await self.tables.read(TABLE, row_key, strong=True)

    async def load(self, row: Row) -> Result[CallAnswer | Refusal, StepError]:
        """Return the result of an answered row."""
        refusal = row.value.get("refusal")
        if refusal is not None:
            return Ok(
                Refusal(
                    Outcome(refusal["outcome"]), refusal["reason"], refusal["message"]
                )
            )
        answer = row.value["answer"]
        if "object" in answer:
            found = await self.objects.get(answer["object"])
            if isinstance(found, Err):
                return found
            body = found.ok_value
        else:
            body = base64.b64decode(answer["body"])
        if body is None or len(body) != answer["size_bytes"]:
            cause = "the recorded answer is missing or truncated"
            return Err(StepError("journal.load", "platform", cause))
        return Ok(
            CallAnswer(answer["status"], body, answer["content_type"], answer["server"])
        )
