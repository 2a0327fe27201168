"""Repository of batches in the platform's store."""

import asyncio
import functools
import logging
import random
import zlib
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import ParamSpec, TypeVar

from result import Err, Ok, Result

from ..interfaces.row_store import (
    Applied,
    Condition,
    Mismatch,
    Put,
    RowKey,
    RowStore,
    StoredRow,
    next_key,
)
from ..outcomes import DECODING_ERRORS, StepError
from ..storage.store_time import StoreTime
from . import rows
from .model import Batch, BatchItem, ItemResult, Partial, Progress
from .recent_results import RecentResults

logger = logging.getLogger(__name__)

Parameters = ParamSpec("Parameters")
Content = TypeVar("Content")

# The store accepts at most 100 entries and 1 MB of JSON per transaction. Values grow by
# a third in JSON.
MAX_TRANSACTION_ENTRIES = 95
MAX_TRANSACTION_BYTES = 650_000
# Submissions with one id at several entry VMs may overwrite each other's parts. A part
# takes a write of 5 to 25 ms; with random pauses one of the submissions comes through.
MAX_CREATIONS = 4
MAX_CREATION_PAUSE_MS = 200.0


@dataclass(frozen=True, slots=True)
class StoredProgress:
    """Content of a progress row with the row's version."""

    progress: Progress
    version: int


@dataclass(frozen=True, slots=True)
class BatchContent:
    """What is needed to resume a batch.

    Parameters
    ----------
    items : tuple of BatchItem
        All items.
    finished_ids : list of str
        Items with a result, in the order of the positions of their results.
    recent_results : RecentResults
        The last results. All texts of a batch may take more memory than its items.
    partials : dict of str to Partial
        Stored events of unfinished items.
    """

    items: tuple[BatchItem, ...]
    finished_ids: list[str]
    recent_results: RecentResults
    partials: dict[str, Partial]


@dataclass(frozen=True, slots=True)
class ReusableOutput:
    """Stored output of a batch that a later batch with the same items can use."""

    results: tuple[ItemResult, ...]
    partials: dict[str, Partial]


def report_unreadable(
    read: Callable[Parameters, Awaitable[Result[Content, StepError]]],
) -> Callable[Parameters, Awaitable[Result[Content, StepError]]]:
    """Return a method that gives an error where it finds a row that it cannot read.

    The row costs the call that needs it, and not the task that made the call.
    """

    @functools.wraps(read)
    async def read_or_report(
        *arguments: Parameters.args, **options: Parameters.kwargs
    ) -> Result[Content, StepError]:
        try:
            return await read(*arguments, **options)
        except (*DECODING_ERRORS, zlib.error) as error:
            cause = f"unreadable row: {type(error).__name__}: {error}"[:300]
            logger.warning("row of a batch cannot be read", extra={"cause": cause})
            return Err(StepError("batch.read", "store", cause))

    return read_or_report


class BatchRepository:
    """Reads and writes batches as rows of the store.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    row_bytes : int
        Maximum size of a row's value in bytes.
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
        """Store a new batch and return its progress; None if the id exists already.

        The progress row is written last, since a batch exists from this row on. Items
        of a submission that failed before belong to no batch and are overwritten. The
        whole is written again if another submission has overwritten a part meanwhile.
        """
        parts = await self.split_items(batch)
        for _ in range(MAX_CREATIONS):
            created = await self.try_create(batch, progress, parts)
            if isinstance(created, Err) or created.ok_value or len(parts) == 1:
                return created
            current = await self.progress(batch.header.batch_id)
            if isinstance(current, Err):
                # A batch with this id may exist.
                error = current.err_value
                return Err(StepError(error.step, error.peer, error.message))
            if current.ok_value is not None:
                return Ok(None)
            pause_ms = random.uniform(0, MAX_CREATION_PAUSE_MS)
            await self.store_time.clock.sleep_ms(pause_ms)
        message = "other submissions with this id are under way"
        return Err(StepError("create", batch.header.batch_id, message, False))

    async def split_items(self, batch: Batch) -> list[list[Put]]:
        """Return the writes of a batch's items in parts, one for each transaction."""
        puts = await rows.encode_items(
            batch.header.batch_id, batch.items, self.row_bytes
        )
        parts = []
        while sum(len(put.value) for put in puts) > MAX_TRANSACTION_BYTES:
            size, count = 0, 0
            while count < len(puts) and size < MAX_TRANSACTION_BYTES - self.row_bytes:
                size += len(puts[count].value)
                count += 1
            parts.append(puts[:count])
            puts = puts[count:]
        return [*parts, puts]

    async def try_create(
        self, batch: Batch, progress: Progress, parts: Sequence[Sequence[Put]]
    ) -> Result[StoredProgress | None, StepError]:
        """Store a new batch; None if it exists or a part was overwritten meanwhile.

        Each transaction requires that no batch with this id exists. The last one also
        requires that the parts before it are still those of this submission. Of each
        part, its first row is enough: parts are written whole, and all rows of items
        but the last are equally large, so that the parts of all submissions begin at
        the same rows.
        """
        batch_id = batch.header.batch_id
        is_absent = Condition(rows.progress_key(batch_id), 0)
        own_parts: list[Condition] = []
        for part in parts[:-1]:
            sent = await self.store.transact([is_absent], part)
            if isinstance(sent, Err):
                return sent
            if isinstance(sent.ok_value, Mismatch):
                return Ok(None)
            own_parts.append(Condition(part[0].row_key, sent.ok_value.version))
        puts = [
            *parts[-1],
            *(await rows.encode_item_hashes(batch_id, batch.items, self.row_bytes)),
            rows.encode_progress(progress),
        ]
        return await self.commit(0, progress, puts, own_parts)

    @report_unreadable
    async def commit(
        self,
        version: int,
        progress: Progress,
        puts: Sequence[Put],
        conditions: Sequence[Condition] = (),
    ) -> Result[StoredProgress | None, StepError]:
        """Write rows on condition that the progress row has the given version.

        Return the new progress, or None if the row has another version or one of the
        further conditions fails. If the stored row carries the token of `progress`, an
        earlier attempt of the same write has succeeded.
        """
        key = rows.progress_key(progress.header.batch_id)
        sent = await self.store.transact([Condition(key, version), *conditions], puts)
        if isinstance(sent, Err):
            return sent
        match sent.ok_value:
            case Applied(version=new_version):
                return Ok(StoredProgress(progress, new_version))
            case Mismatch(rows=mismatched_rows):
                for row in mismatched_rows:
                    if (
                        row.row_key == key
                        and rows.decode_progress(row).token == progress.token
                    ):
                        return Ok(StoredProgress(progress, row.version))
                return Ok(None)

    async def replace(
        self, version: int, progress: Progress
    ) -> Result[StoredProgress | None, StepError]:
        """Replace only the progress row, on the same condition as `commit`."""
        return await self.commit(version, progress, [rows.encode_progress(progress)])

    @report_unreadable
    async def progress(self, batch_id: str) -> Result[StoredProgress | None, StepError]:
        """Read the progress of a batch; None if there is no such batch."""
        key = rows.progress_key(batch_id)
        page = await self.store.read(key.table, key.part, key.key, key.key + "!")
        if isinstance(page, Err):
            return page
        for row in page.ok_value.rows:
            if row.row_key.key == batch_id:
                return Ok(StoredProgress(rows.decode_progress(row), row.version))
        return Ok(None)

    @report_unreadable
    async def results(
        self, batch_id: str, after: int
    ) -> Result[list[ItemResult], StepError]:
        """Read all results starting at a position."""
        start, end = rows.key_range(batch_id, f"{after:08d}")
        page = await self.store.read(
            rows.RESULTS_TABLE, rows.partition_of(batch_id), start, end
        )
        if isinstance(page, Err):
            return page
        return Ok(await rows.decode_results(page.ok_value.rows))

    @report_unreadable
    async def next_results(
        self, batch_id: str, after: int
    ) -> Result[list[ItemResult], StepError]:
        """Read some results starting at a position, as many as one response holds.

        At least one, if there is any.
        """
        start, end = rows.key_range(batch_id, f"{after:08d}")
        partition = rows.partition_of(batch_id)
        read: list[StoredRow] = []
        while True:
            page = await self.store.read_page(rows.RESULTS_TABLE, partition, start, end)
            if isinstance(page, Err):
                return page
            read.extend(page.ok_value.rows)
            whole = read
            if page.ok_value.has_more and read:
                # The last result may continue in rows that the response left out.
                last = rows.value_of(read[-1])
                whole = [row for row in read if rows.value_of(row) != last]
                start = next_key(read[-1].row_key.key)
            if whole or not page.ok_value.has_more:
                return Ok(await rows.decode_results(whole))

    @report_unreadable
    async def finished(
        self, batch_id: str
    ) -> Result[tuple[list[str], RecentResults], StepError]:
        """Read which items have results, page by page, and keep the last results."""
        start, end = rows.key_range(batch_id, "0")
        partition = rows.partition_of(batch_id)
        finished_ids: list[str] = []
        recent = RecentResults()
        rest: list[StoredRow] = []
        while True:
            page = await self.store.read_page(rows.RESULTS_TABLE, partition, start, end)
            if isinstance(page, Err):
                return page
            whole, rest = [*rest, *page.ok_value.rows], []
            is_last = not page.ok_value.has_more or not page.ok_value.rows
            if not is_last:
                start = next_key(page.ok_value.rows[-1].row_key.key)
                # The last result may continue in the next page.
                last = rows.value_of(whole[-1])
                rest = [row for row in whole if rows.value_of(row) == last]
                whole = whole[: -len(rest)]
            results = await rows.decode_results(whole)
            finished_ids.extend(result.item_id for result in results)
            recent.extend(results)
            if is_last:
                return Ok((finished_ids, recent))

    @report_unreadable
    async def items(self, batch_id: str) -> Result[tuple[BatchItem, ...], StepError]:
        """Read the items of a batch."""
        stored = await self.stored_items(batch_id)
        return stored if isinstance(stored, Err) else Ok(await stored.ok_value.decode())

    @report_unreadable
    async def item(
        self, batch_id: str, item_id: str
    ) -> Result[BatchItem | None, StepError]:
        """Read one item of a batch; None if there is no such item."""
        stored = await self.stored_items(batch_id)
        if isinstance(stored, Err):
            return stored
        return Ok(await stored.ok_value.find(item_id))

    async def stored_items(self, batch_id: str) -> Result[rows.StoredItems, StepError]:
        """Read the items of a batch page by page, and keep no page."""
        start, end = rows.key_range(batch_id, rows.ITEMS_SUFFIX)
        partition = rows.partition_of(batch_id)
        stored = rows.StoredItems()
        while True:
            page = await self.store.read_page(rows.ITEMS_TABLE, partition, start, end)
            if isinstance(page, Err):
                return page
            for row in page.ok_value.rows:
                await stored.add(row.value)
            if not page.ok_value.has_more or not page.ok_value.rows:
                return Ok(stored)
            start = next_key(page.ok_value.rows[-1].row_key.key)

    @report_unreadable
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
        """Read everything that is needed to resume a batch."""
        items, finished, partials = await asyncio.gather(
            self.items(batch_id), self.finished(batch_id), self.partials(batch_id)
        )
        for result in (items, finished, partials):
            if isinstance(result, Err):
                return result
        return Ok(BatchContent(items.ok_value, *finished.ok_value, partials.ok_value))

    @report_unreadable
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
        """Read the output that another batch with the same items can use."""
        results, partials = await asyncio.gather(
            self.results(batch_id, 0), self.partials(batch_id)
        )
        for result in (results, partials):
            if isinstance(result, Err):
                return result
        return Ok(ReusableOutput(tuple(results.ok_value), partials.ok_value))

    async def delete(self, progress: StoredProgress) -> Result[bool, StepError]:
        """Delete a batch with all its rows; return False if it changed meanwhile."""
        batch_id = progress.progress.header.batch_id
        start, end = rows.key_range(batch_id)
        partition = rows.partition_of(batch_id)
        keys: list[RowKey] = []
        for table in (rows.ITEMS_TABLE, rows.RESULTS_TABLE, rows.PARTIALS_TABLE):
            page = await self.store.read(table, partition, start, end)
            if isinstance(page, Err):
                return page
            keys.extend(row.row_key for row in page.ok_value.rows)
        # The progress row is deleted first, since a batch must not exist without its
        # other rows.
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
