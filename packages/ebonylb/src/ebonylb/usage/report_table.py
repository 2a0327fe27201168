"""Rows of the sums that are reported, and of the window to sum next."""

import functools
import logging
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

import msgspec
from result import Err, Ok, Result

from ..interfaces.row_store import (
    Condition,
    Mismatch,
    Put,
    RowKey,
    RowStore,
    StoredRow,
)
from ..outcomes import StepError
from ..storage.follower import TableReader

logger = logging.getLogger(__name__)

TABLE = "usage-reports"
PROGRESS_KEY = "progress"
# Reports that have ended are kept for the eyes of operators: one minute of windows.
KEPT_REPORTS = 12
MAX_ROWS_PER_DELETION = 40


class ReportState(StrEnum):
    """State of a report: still to be sent, accepted, or given up."""

    OPEN = "open"
    ACCEPTED = "accepted"
    ABANDONED = "abandoned"


class ReportRow(msgspec.Struct, frozen=True):
    """Sum of a window; its counts never change."""

    counts: dict[str, int]
    state: ReportState = ReportState.OPEN


class ProgressRow(msgspec.Struct, frozen=True):
    """First window whose sum is not stored; only grows."""

    next_window: int


@dataclass(frozen=True, slots=True)
class StoredReport:
    """Sum of a window with the version of its row."""

    window: int
    row: ReportRow
    version: int


@dataclass(frozen=True, slots=True)
class StoredProgress:
    """First window whose sum is not stored, with the version of the row."""

    next_window: int
    version: int


def report_key(window: int) -> RowKey:
    """Return the key of a window's sum; keys are in the order of the windows."""
    return RowKey(TABLE, "", f"{window:015d}")


progress_key = RowKey(TABLE, "", PROGRESS_KEY)


class ReportTable(TableReader):
    """Rows of the reports; every write is conditional on the rows that it rests on.

    Attributes
    ----------
    progress : StoredProgress or None
        None before the first entry VM has named the first window.
    reports : dict of int to StoredReport
        Sums by window.
    """

    def __init__(self, store: RowStore) -> None:
        self.store = store
        self.progress: StoredProgress | None = None
        self.reports: dict[int, StoredReport] = {}

    def replace_rows(self, rows: Sequence[StoredRow]) -> None:
        """Record all rows of the table."""
        present = {row.row_key.key for row in rows}
        for window in list(self.reports):
            if report_key(window).key not in present:
                del self.reports[window]
        self.change_rows(rows)

    def change_rows(self, rows: Sequence[StoredRow]) -> None:
        """Record changed rows; older versions are ignored."""
        for row in rows:
            self.unreadable.read(row, functools.partial(self.change_row, row))

    def change_row(self, row: StoredRow) -> None:
        """Record one row."""
        if row.row_key.key == PROGRESS_KEY:
            if not row.deleted:
                decoded = msgspec.json.decode(row.value, type=ProgressRow)
                self.record_progress(StoredProgress(decoded.next_window, row.version))
            return
        window = int(row.row_key.key)
        known = self.reports.get(window)
        if known is not None and known.version >= row.version:
            return
        if row.deleted:
            self.reports.pop(window, None)
        else:
            decoded = msgspec.json.decode(row.value, type=ReportRow)
            self.reports[window] = StoredReport(window, decoded, row.version)

    def record_progress(self, progress: StoredProgress) -> None:
        """Record the progress, unless a newer one is known."""
        if self.progress is None or progress.version > self.progress.version:
            self.progress = progress

    def first_open(self) -> StoredReport | None:
        """Return the report to send next; None if all have ended."""
        for window in sorted(self.reports):
            if self.reports[window].row.state is ReportState.OPEN:
                return self.reports[window]
        return None

    def last_accepted(self) -> int | None:
        """Return the last window whose report was accepted."""
        windows = (
            window
            for window, report in self.reports.items()
            if report.row.state is ReportState.ACCEPTED
        )
        return max(windows, default=None)

    async def read(self) -> Result[None, StepError]:
        """Read the rows as they are now."""
        response = await self.store.read(TABLE)
        if isinstance(response, Err):
            return response
        self.replace_rows(response.ok_value.rows)
        return Ok(None)

    async def begin(self, first_window: int) -> bool:
        """Name the first window, unless another entry VM has; return whether it is."""
        row = msgspec.json.encode(ProgressRow(first_window))
        await self.transact([Condition(progress_key, 0)], [Put(progress_key, row)])
        return self.progress is not None

    async def store_sum(
        self, progress: StoredProgress, counts: Mapping[str, int]
    ) -> StoredReport | None:
        """Store the sum of the next window and return it; None if that failed.

        The progress is part of the condition: an entry VM that was paused can't store
        the sum of a window that was reported and whose rows were deleted meanwhile.
        """
        window = progress.next_window
        row = ReportRow(dict(counts))
        is_stored = await self.transact(
            [
                Condition(progress_key, progress.version),
                Condition(report_key(window), 0),
            ],
            [
                Put(progress_key, msgspec.json.encode(ProgressRow(window + 1))),
                Put(report_key(window), msgspec.json.encode(row)),
            ],
        )
        return self.reports.get(window) if is_stored else None

    async def skip_to(self, progress: StoredProgress, window: int) -> bool:
        """Let the next window be a later one; return whether that is stored."""
        return await self.transact(
            [Condition(progress_key, progress.version)],
            [Put(progress_key, msgspec.json.encode(ProgressRow(window)))],
        )

    async def end(self, report: StoredReport, state: ReportState) -> bool:
        """Store that a report has ended and delete old ones; return whether it is."""
        key = report_key(report.window)
        row = ReportRow(report.row.counts, state)
        old = [
            other
            for window, other in sorted(self.reports.items())
            if window < report.window - KEPT_REPORTS
            and other.row.state is not ReportState.OPEN
        ][:MAX_ROWS_PER_DELETION]
        old_keys = [report_key(other.window) for other in old]
        conditions = [
            Condition(k, other.version) for k, other in zip(old_keys, old, strict=True)
        ]
        return await self.transact(
            [Condition(key, report.version), *conditions],
            [Put(key, msgspec.json.encode(row)), *(Put(k, None) for k in old_keys)],
        )

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> bool:
        """Write rows and record what is known of them; return whether it was done.

        After a write without an answer the rows are read again before the next one.
        """
        sent = await self.store.transact(conditions, puts)
        if isinstance(sent, Err):
            logger.info(
                "usage reports not stored", extra={"cause": str(sent.err_value)}
            )
            return False
        if isinstance(sent.ok_value, Mismatch):
            self.change_rows(sent.ok_value.rows)
            return False
        version = sent.ok_value.version
        self.change_rows(
            [
                StoredRow(put.row_key, put.value or b"", version, put.value is None)
                for put in puts
            ]
        )
        return True
