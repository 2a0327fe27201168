"""In-memory tables of the platform stand-in."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from ebonylb.interfaces import Check, Row, Write


@dataclass(slots=True)
class RowVersion:
    """State of a row since `at_ms`; `row` is None if it is absent."""

    at_ms: float
    row: Row | None


@dataclass(slots=True)
class RowHistory:
    """Versions of a row, oldest first, and its number of writes."""

    versions: list[RowVersion] = field(default_factory=list)
    revision: int = 0


def now_ms() -> float:
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * 1000


class Tables:
    """Rows with conditional transactions, write ids and lagging reads.

    Parameters
    ----------
    clock : callable
        Returns the time in milliseconds.
    retention_ms : float
        Retention of superseded versions, which limits the lag of reads.
    """

    def __init__(
        self, clock: Callable[[], float] = now_ms, retention_ms: float = 60_000
    ) -> None:
        self.clock = clock
        self.retention_ms = retention_ms
        self.tables: dict[str, dict[str, RowHistory]] = {}
        self.applied_write_ids: set[str] = set()

    def transact(
        self, write_id: str, checks: list[Check], writes: list[Write]
    ) -> list[Row | None] | None:
        """Apply a transaction; return the checked rows if a check fails.

        In checks, a deleted row is absent (revision 0). Revisions continue after a
        delete, so that an outdated check never passes again. A write id that has
        already been applied has no further effect.
        """
        if write_id in self.applied_write_ids:
            return None
        rows = [self.read(check.table, check.key, 0) for check in checks]
        for check, row in zip(checks, rows, strict=True):
            if check.revision != (row.revision if row else 0):
                return rows
        for write in writes:
            self.write(write_id, write)
        self.applied_write_ids.add(write_id)
        return None

    def write(self, write_id: str, write: Write) -> None:
        """Append a version to a row and drop versions past their retention."""
        history = self.tables.setdefault(write.table, {}).setdefault(
            write.key, RowHistory()
        )
        history.revision += 1
        row = None
        if write.value is not None:
            row = Row(write.key, write.value, history.revision, write_id)
        history.versions.append(RowVersion(self.clock(), row))
        limit = self.clock() - self.retention_ms
        while len(history.versions) > 1 and history.versions[1].at_ms < limit:
            del history.versions[0]

    def read(self, table: str, key: str, lag_ms: float) -> Row | None:
        """Return a row as of `lag_ms` ago."""
        history = self.tables.get(table, {}).get(key)
        return self.row_at(history, lag_ms) if history else None

    def row_at(self, history: RowHistory, lag_ms: float) -> Row | None:
        """Return the row in a history as of `lag_ms` ago."""
        limit = self.clock() - lag_ms
        for version in reversed(history.versions):
            if lag_ms <= 0 or version.at_ms <= limit:
                return version.row
        return None

    def scan(
        self, table: str, prefix: str, after: str, limit: int, lag_ms: float
    ) -> list[Row]:
        """Return rows in key order as of `lag_ms` ago."""
        rows: list[Row] = []
        histories = self.tables.get(table, {})
        for key in sorted(histories):
            if key <= after or not key.startswith(prefix):
                continue
            row = self.row_at(histories[key], lag_ms)
            if row is not None:
                rows.append(row)
            if len(rows) >= limit:
                break
        return rows
