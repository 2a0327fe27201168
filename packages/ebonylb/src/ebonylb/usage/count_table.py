"""Counts of all entry VMs in the store, read and deleted by the reporting one."""

import logging
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from ..interfaces.row_store import Condition, Put, RowStore, StoredRow
from ..outcomes import StepError
from ..storage.unreadable import UnreadableRows
from .count_rows import TABLE

logger = logging.getLogger(__name__)

counts_decoder = msgspec.json.Decoder(dict[str, int])

# A transaction has at most 100 entries, and each row needs a condition and a deletion.
MAX_ROWS_PER_DELETION = 40


@dataclass(frozen=True, slots=True)
class WindowSum:
    """Sum of the counts of a window, and the number of rows that it was made of."""

    counts: dict[str, int]
    rows: int


def sum_rows(rows: tuple[StoredRow, ...]) -> dict[str, int]:
    """Return the sum of the counts in rows; unreadable ones are skipped."""
    total: Counter[str] = Counter()
    unreadable = UnreadableRows()
    for row in rows:
        counts = unreadable.decode(row, counts_decoder.decode)
        if counts is not None:
            total.update(counts)
    return dict(sorted(total.items()))


class CountTable:
    """Partitions of counts, one for each window."""

    def __init__(self, store: RowStore) -> None:
        self.store = store

    async def read_sum(self, window: int) -> Result[WindowSum, StepError]:
        """Return the sum of all rows of a window."""
        response = await self.store.read(TABLE, str(window))
        if isinstance(response, Err):
            return response
        rows = response.ok_value.rows
        return Ok(WindowSum(sum_rows(rows), len(rows)))

    async def delete(self, window: int, reported: Mapping[str, int]) -> int:
        """Delete the rows of a window and return the requests not in its report."""
        response = await self.store.read(TABLE, str(window))
        if isinstance(response, Err):
            return 0
        rows = response.ok_value.rows
        for first in range(0, len(rows), MAX_ROWS_PER_DELETION):
            some = rows[first : first + MAX_ROWS_PER_DELETION]
            sent = await self.store.transact(
                [Condition(row.row_key, row.version) for row in some],
                [Put(row.row_key, None) for row in some],
            )
            if isinstance(sent, Err):
                logger.info(
                    "usage counts not deleted",
                    extra={"window": window, "cause": str(sent.err_value)},
                )
                break
        return sum(sum_rows(rows).values()) - sum(reported.values())

    async def delete_before(self, window: int) -> int:
        """Delete the rows of windows that nobody sums; return their requests."""
        response = await self.store.read_parts(TABLE)
        if isinstance(response, Err):
            return 0
        parts = [int(part) for part in response.ok_value if part.isdecimal()]
        return sum([await self.delete(part, {}) for part in parts if part < window])
