"""Reading and writing batches in the platform's store."""

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from ..edges.row_store import Applied, Condition, Mismatch, Put, RowKey, RowStore
from ..outcomes import StepError
from ..storage.store_time import StoreTime
from . import rows
from .model import Batch, BatchItem, ItemResult, Partial, Progress

logger = logging.getLogger(__name__)

# A transaction holds at most 100 entries and 1 MB of JSON, in which values grow by a
# third.
MAX_TRANSACTION_ENTRIES = 95
MAX_TRANSACTION_BYTES = 650_000


@dataclass(frozen=True, slots=True)
class StoredProgress:
    """A progress row and its version."""

    progress: Progress
    version: int


@dataclass(frozen=True, slots=True)
class BatchContent:
    """All that is stored of a batch."""

    items: tuple[BatchItem, ...]
    results: tuple[ItemResult, ...]
    partials: dict[str, Partial]


@dataclass(frozen=True, slots=True)
class ReusableOutput:
    """What is stored of a trainer's last step."""

    results: tuple[ItemResult, ...]
    partials: dict[str, Partial]


class BatchRepository:
    """Batches as rows.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    row_bytes : int
        Largest value of a row.
    store_time : StoreTime
        Clock of the store, for the time of a write.
    """

    def __init__(self, store: RowStore, row_bytes: int, store_time: StoreTime) -> None:
        self.store = store
        self.store_time = store_time
        self.row_bytes = row_bytes

    async def create(
        self, batch: Batch, progress: Progress
    ) -> Result[StoredProgress | None, StepError]:
        """Store a new batch; None when a batch with this id exists already.

        The items go first and the progress row last, since that row makes the batch
        exist. Items of a batch that was never completed belong to no batch.
        """
        batch_id = batch.header.batch_id
        puts = rows.encode_items(batch_id, batch.items, self.row_bytes)
        while sum(len(put.value) for put in puts) > MAX_TRANSACTION_BYTES:
            size, count = 0, 0
            while count < len(puts) and size < MAX_TRANSACTION_BYTES - self.row_bytes:
                size += len(puts[count].value)
                count += 1
            part, puts = puts[:count], puts[count:]
            sent = await self.store.transact([], part)
            if isinstance(sent, Err):
                return sent
        puts.append(rows.encode_item_hashes(batch_id, batch.items))
        puts.append(rows.encode_progress(progress))
        return await self.commit(0, progress, puts)

    async def commit(
        self, version: int, progress: Progress, puts: Sequence[Put]
    ) -> Result[StoredProgress | None, StepError]:
        """Write rows if the progress row has a version; None when it has another."""
        key = rows.progress_key(progress.header.batch_id)
        sent = await self.store.transact([Condition(key, version)], puts)
        if isinstance(sent, Err):
            return sent
        match sent.ok_value:
            case Applied(version=new_version):
                return Ok(StoredProgress(progress, new_version))
            case Mismatch(rows=mismatched_rows):
                for row in mismatched_rows:
                    if (
                        row.at.key == key.key
                        and rows.decode_progress(row).token == progress.token
                    ):
                        return Ok(StoredProgress(progress, row.version))
                return Ok(None)

    async def replace(
        self, version: int, progress: Progress
    ) -> Result[StoredProgress | None, StepError]:
        """Replace the progress row alone, under the same condition."""
        return await self.commit(version, progress, [rows.encode_progress(progress)])

    async def progress(self, batch_id: str) -> Result[StoredProgress | None, StepError]:
        """Read the progress of a batch; None when there is no such batch."""
        key = rows.progress_key(batch_id)
        page = await self.store.read(key.table, key.part, key.key, key.key + "!")
        if isinstance(page, Err):
            return page
        for row in page.ok_value.rows:
            if row.at.key == batch_id:
                return Ok(StoredProgress(rows.decode_progress(row), row.version))
        return Ok(None)

    async def results(
        self, batch_id: str, after: int
    ) -> Result[list[ItemResult], StepError]:
        """Read the results from a position on."""
        start, end = rows.key_range(batch_id, f"{after:08d}")
        page = await self.store.read(
            rows.RESULTS_TABLE, rows.partition_of(batch_id), start, end
        )
        if isinstance(page, Err):
            return page
        return Ok(rows.decode_results(page.ok_value.rows))

    async def items(self, batch_id: str) -> Result[tuple[BatchItem, ...], StepError]:
        """Read the items of a batch."""
        start, end = rows.key_range(batch_id, rows.ITEMS_SUFFIX)
        page = await self.store.read(
            rows.ITEMS_TABLE, rows.partition_of(batch_id), start, end
        )
        if isinstance(page, Err):
            return page
        return Ok(rows.decode_items(page.ok_value.rows))

    async def partials(self, batch_id: str) -> Result[dict[str, Partial], StepError]:
        """Read the unfinished items of a batch."""
        start, end = rows.key_range(batch_id)
        page = await self.store.read(
            rows.PARTIALS_TABLE, rows.partition_of(batch_id), start, end
        )
        if isinstance(page, Err):
            return page
        return Ok(rows.decode_partials(page.ok_value.rows))

    async def content(self, batch_id: str) -> Result[BatchContent, StepError]:
        """Read all that is needed to go on with a batch."""
        items, results, partials = await asyncio.gather(
            self.items(batch_id), self.results(batch_id, 0), self.partials(batch_id)
        )
        for result in (items, results, partials):
            if isinstance(result, Err):
                return result
        return Ok(
            BatchContent(items.ok_value, tuple(results.ok_value), partials.ok_value)
        )

    async def item_hashes(self, batch_id: str) -> Result[frozenset[int], StepError]:
        """Read the hashes of a batch's items."""
        start, _ = rows.key_range(batch_id, rows.HASHES_SUFFIX)
        end, _ = rows.key_range(batch_id, rows.ITEMS_SUFFIX)
        page = await self.store.read(
            rows.ITEMS_TABLE, rows.partition_of(batch_id), start, end
        )
        if isinstance(page, Err):
            return page
        return Ok(rows.decode_item_hashes(page.ok_value.rows))

    async def reusable_output(self, batch_id: str) -> Result[ReusableOutput, StepError]:
        """Read what another batch with the same items may use."""
        results, partials = await asyncio.gather(
            self.results(batch_id, 0), self.partials(batch_id)
        )
        for result in (results, partials):
            if isinstance(result, Err):
                return result
        return Ok(ReusableOutput(tuple(results.ok_value), partials.ok_value))

    async def delete(self, progress: StoredProgress) -> Result[bool, StepError]:
        """Delete a batch with all its rows; False when it changed meanwhile."""
        batch_id = progress.progress.header.batch_id
        start, end = rows.key_range(batch_id)
        partition = rows.partition_of(batch_id)
        keys: list[RowKey] = []
        for table in (rows.ITEMS_TABLE, rows.RESULTS_TABLE, rows.PARTIALS_TABLE):
            page = await self.store.read(table, partition, start, end)
            if isinstance(page, Err):
                return page
            keys.extend(row.at for row in page.ok_value.rows)
        # The progress row goes first: a batch without its other rows must not exist.
        keys.insert(0, rows.progress_key(batch_id))
        conditions = [Condition(keys[0], progress.version)]
        for begin in range(0, len(keys), MAX_TRANSACTION_ENTRIES):
            puts = [
                Put(key, None) for key in keys[begin : begin + MAX_TRANSACTION_ENTRIES]
            ]
            sent = await self.store.transact(conditions, puts)
            if isinstance(sent, Err):
                return sent
            if isinstance(sent.ok_value, Mismatch):
                return Ok(False)
            conditions = []
        return Ok(True)
