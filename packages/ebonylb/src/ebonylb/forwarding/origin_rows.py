"""Rows of the store with the software versions on which streams began."""

import asyncio
import logging
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from result import Err, Ok, Result
from xxhash import xxh64_intdigest

from ..interfaces import Clock
from ..interfaces.row_store import (
    Condition,
    Mismatch,
    Put,
    RowKey,
    RowStore,
    StoredRow,
    next_key,
)
from ..outcomes import StepError

logger = logging.getLogger(__name__)

TABLE = "stream-origins"
# Each partition accepts 200 transactions a second.
PARTITIONS = 8
# A transaction may have 100 entries, and each row is one condition and one write.
MAX_ROWS_PER_WRITE = 45
MAX_ROWS_PER_DELETION = 90
# Rows are deleted after this time, longer than any stream lasts.
RETENTION_MS = 120_000.0
DELETE_INTERVAL_MS = 10_000.0


def row_key(stream_id: str) -> RowKey:
    """Return the key of a stream's row."""
    partition = xxh64_intdigest(stream_id.encode()) % PARTITIONS
    return RowKey(TABLE, f"p{partition}", stream_id[:200])


def decode_version(row: StoredRow) -> str:
    """Return the software version that a row names."""
    return row.value.decode("utf-8", "replace")


@dataclass(frozen=True, slots=True)
class PendingRow:
    """Row to be written, and the future of the version that the store then names."""

    put: Put
    written: asyncio.Future[Result[str, StepError]]


class OriginRows:
    """Writes each stream's row once; what stands in the store is never replaced.

    A write may take effect long after its answer was given up. Since it is conditional,
    the first row of a stream holds, whichever entry VM wrote it.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    clock : Clock
        Source of time.
    """

    def __init__(self, store: RowStore, clock: Clock) -> None:
        self.store = store
        self.clock = clock
        self.pending: dict[str, dict[str, PendingRow]] = {}
        self.flushes: dict[str, asyncio.Task[None]] = {}
        self.written: deque[tuple[float, RowKey]] = deque()

    def write(
        self, stream_id: str, software_version: str
    ) -> asyncio.Future[Result[str, StepError]]:
        """Add a row to the next write of its partition.

        Returns
        -------
        Future
            The software version in the store, which may be one that was there before.
            The error has ``may_have_run=False`` if the row was certainly not written.
        """
        key = row_key(stream_id)
        rows = self.pending.setdefault(key.part, {})
        if stream_id not in rows:
            rows[stream_id] = PendingRow(
                Put(key, software_version.encode()),
                asyncio.get_running_loop().create_future(),
            )
        flush = self.flushes.get(key.part)
        if flush is None or flush.done():
            self.flushes[key.part] = asyncio.create_task(self.flush(key.part))
        return rows[stream_id].written

    async def flush(self, part: str) -> None:
        """Write the pending rows of a partition."""
        # Requests that begin at the same moment share a transaction.
        await asyncio.sleep(0)
        while pending := self.pending.get(part):
            batch = [
                pending.pop(stream_id)
                for stream_id in list(pending)[:MAX_ROWS_PER_WRITE]
            ]
            await self.write_batch(batch)

    async def write_batch(self, batch: Sequence[PendingRow]) -> None:
        """Write rows, without those that the store has already."""
        while batch:
            stored = await self.store.transact(
                [Condition(row.put.row_key, 0) for row in batch],
                [row.put for row in batch],
            )
            if isinstance(stored, Err):
                logger.warning(
                    "software versions of streams not stored",
                    extra={"streams": len(batch), "cause": str(stored.err_value)},
                )
                self.settle(batch, {}, stored)
                return
            now = self.clock.monotonic_ms()
            if not isinstance(stored.ok_value, Mismatch):
                self.written.extend((now, row.put.row_key) for row in batch)
                self.settle(batch, {}, None)
                return
            found = {row.row_key: row for row in stored.ok_value.rows}
            existing = [row for row in batch if row.put.row_key in found]
            if not existing:
                error = StepError("stream.origin", "store", "no row in the conflict")
                self.settle(batch, {}, Err(error))
                return
            self.written.extend((now, row.put.row_key) for row in existing)
            self.settle(existing, found, None)
            batch = [row for row in batch if row.put.row_key not in found]

    def settle(
        self,
        batch: Sequence[PendingRow],
        found: dict[RowKey, StoredRow],
        error: Err[StepError] | None,
    ) -> None:
        """Give the outcome of a write to those who wait for it."""
        for row in batch:
            if row.written.done():
                continue
            stored = found.get(row.put.row_key)
            if error is not None:
                row.written.set_result(error)
            elif stored is not None:
                row.written.set_result(Ok(decode_version(stored)))
            else:
                row.written.set_result(Ok(row.put.value.decode()))

    async def read(self, stream_id: str) -> Result[str | None, StepError]:
        """Return the software version in the store; None if there is no row."""
        key = row_key(stream_id)
        page = await self.store.read(key.table, key.part, key.key, next_key(key.key))
        if isinstance(page, Err):
            return page
        for row in page.ok_value.rows:
            if row.row_key.key == key.key:
                return Ok(decode_version(row))
        return Ok(None)

    async def delete_expired(self) -> None:
        """Delete the rows of streams that ended long ago, until cancelled."""
        while True:
            await self.clock.sleep_ms(DELETE_INTERVAL_MS)
            latest_ms = self.clock.monotonic_ms() - RETENTION_MS
            keys_by_part: dict[str, list[RowKey]] = {}
            while self.written and self.written[0][0] < latest_ms:
                _, key = self.written.popleft()
                keys_by_part.setdefault(key.part, []).append(key)
            for keys in keys_by_part.values():
                for first in range(0, len(keys), MAX_ROWS_PER_DELETION):
                    chunk = keys[first : first + MAX_ROWS_PER_DELETION]
                    await self.store.transact([], [Put(key, None) for key in chunk])
