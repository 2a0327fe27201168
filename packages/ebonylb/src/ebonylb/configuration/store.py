"""Storage of sheets and audit rows in the platform's table service."""

import logging
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from ..interfaces import Check, Clock, Committed, Conflict, Row, TableService, Write
from ..outcomes import StepError, new_token
from ..storage import transact_settled
from .differences import Change, diff
from .sheet import EMPTY_SHEET, Sheet, parse_sheet

logger = logging.getLogger(__name__)

CONFIG_TABLE, CURRENT_KEY, AUDIT_TABLE = "config", "current", "audit"
APPLY_TIMEOUT_MS = 5_000  # leaves 3 s of the worst case of 8 s for propagation
MAX_AUDIT_TIME_MS = 10**14 - 1  # audit keys count down from it, to list newest first


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """Configuration stored on the platform; revision 0 if none was ever applied.

    `row_revision` is the table service's revision of the row, for the compare-and-set.
    """

    revision: int
    sheet: Sheet
    author: str
    row_revision: int


@dataclass(frozen=True, slots=True)
class Applied:
    """Result of an apply that stored the sheet under a new revision."""

    revision: int
    sheet: Sheet
    changes: list[Change]


@dataclass(frozen=True, slots=True)
class ApplyConflict:
    """Result of an apply that changed nothing because another sheet is current.

    `difference` holds the changes from the current sheet to the rejected one.
    """

    current_revision: int
    author: str
    difference: list[Change]


@dataclass(frozen=True, slots=True)
class ApplyRefused:
    """Result of an apply that changed nothing because the sheet is invalid."""

    problems: list[str]


@dataclass(frozen=True, slots=True)
class ApplyUnavailable:
    """Result of an apply during which the platform did not respond.

    `may_have_applied` is false only if the sheet certainly has no effect.
    """

    message: str
    may_have_applied: bool


ApplyResult = Applied | ApplyConflict | ApplyRefused | ApplyUnavailable


class ConfigurationStore:
    """Applies sheets by compare-and-set on ``config/current`` and writes audit rows.

    Parameters
    ----------
    tables : TableService
        Platform's table service.
    clock : Clock
        Source of time, for audit rows and the timeout of an apply.
    entry_vm : str
        Name of this entry VM, for audit rows.
    """

    def __init__(self, tables: TableService, clock: Clock, entry_vm: str) -> None:
        self.tables = tables
        self.clock = clock
        self.entry_vm = entry_vm

    async def read(self, strong: bool) -> Result[StoredConfiguration, StepError]:
        """Read the stored configuration, which may be stale unless `strong` is set."""
        result = await self.tables.read(CONFIG_TABLE, CURRENT_KEY, strong=strong)
        if isinstance(result, Err):
            return result
        return decode_row(result.ok_value)

    async def apply(
        self, sheet_text: str, base_revision: int | None, author: str
    ) -> ApplyResult:
        """Make a sheet current if `base_revision` is still the current revision.

        Parameters
        ----------
        sheet_text : str
            Sheet in JSON with comments.
        base_revision : int or None
            Revision that the author based the sheet on; None for the current one.
        author : str
            Name of the operator.
        """
        parsed = parse_sheet(sheet_text)
        if isinstance(parsed, Err):
            problems = parsed.err_value.problems
            await self.write_audit_row(
                author, base_revision, None, "refused", {"problems": problems}
            )
            return ApplyRefused(problems)
        sheet = parsed.ok_value
        read = await self.read(strong=True)
        if isinstance(read, Err):
            return ApplyUnavailable(str(read.err_value), may_have_applied=False)
        current = read.ok_value
        if base_revision is not None and base_revision != current.revision:
            return await self.report_conflict(sheet, base_revision, current, author)
        return await self.write(sheet, current, author)

    async def write(
        self, sheet: Sheet, current: StoredConfiguration, author: str
    ) -> ApplyResult:
        """Store a sheet under the revision that follows the current one.

        Returns an `ApplyConflict` if another sheet became current meanwhile, and
        `ApplyUnavailable` if the platform failed.
        """
        write_id = new_token()
        revision, changes = current.revision + 1, diff(current.sheet, sheet)
        row = {
            "revision": revision,
            "sheet": sheet.document(),
            "author": author,
            "at_ms": self.clock.wall_ms(),
            "write_id": write_id,
        }
        detail = {"changes": [change.document() for change in changes]}
        audit = self.build_audit_write(
            author, current.revision, revision, "applied", detail
        )
        result = await transact_settled(
            self.tables,
            self.clock,
            write_id,
            [Check(CONFIG_TABLE, CURRENT_KEY, current.row_revision)],
            [Write(CONFIG_TABLE, CURRENT_KEY, row), audit],
            APPLY_TIMEOUT_MS,
        )
        if isinstance(result, Err):
            error = result.err_value
            return ApplyUnavailable(str(error), error.may_have_run)
        if isinstance(result.ok_value, Committed):
            return Applied(revision, sheet, changes)
        winner = await self.read_winner(result.ok_value)
        if isinstance(winner, Err):
            return ApplyUnavailable(str(winner.err_value), may_have_applied=False)
        return await self.report_conflict(
            sheet, current.revision, winner.ok_value, author
        )

    async def read_winner(
        self, conflict: Conflict
    ) -> Result[StoredConfiguration, StepError]:
        """Return the configuration that caused a conflict."""
        if conflict.rows:
            return decode_row(conflict.rows[0])
        return await self.read(strong=True)

    async def report_conflict(
        self,
        sheet: Sheet,
        base_revision: int,
        current: StoredConfiguration,
        author: str,
    ) -> ApplyConflict:
        """Audit a conflict with the current configuration and return it."""
        difference = diff(current.sheet, sheet)
        detail = {
            "current_revision": current.revision,
            "current_author": current.author,
        }
        await self.write_audit_row(author, base_revision, None, "conflict", detail)
        return ApplyConflict(current.revision, current.author, difference)

    def build_audit_write(
        self,
        author: str,
        from_revision: int | None,
        to_revision: int | None,
        outcome: str,
        detail: dict[str, Any],
    ) -> Write:
        """Return the write operation of an audit row."""
        at_ms = self.clock.wall_ms()
        # The random part distinguishes rows of the same millisecond.
        key = f"{MAX_AUDIT_TIME_MS - at_ms:014d}-{new_token()[:8]}"
        value = {
            "author": author,
            "at_ms": at_ms,
            "entry_vm": self.entry_vm,
            "from_revision": from_revision,
            "to_revision": to_revision,
            "outcome": outcome,
        }
        return Write(AUDIT_TABLE, key, value | detail)

    async def write_audit_row(
        self,
        author: str,
        from_revision: int | None,
        to_revision: int | None,
        outcome: str,
        detail: dict[str, Any],
    ) -> None:
        """Write a single audit row; a failure of the platform is only logged."""
        row = self.build_audit_write(
            author, from_revision, to_revision, outcome, detail
        )
        result = await self.tables.transact(new_token(), [], [row])
        if isinstance(result, Err):
            logger.warning("audit row was not written: %s", result.err_value)

    async def read_audit(
        self, limit: int = 50, before: str = ""
    ) -> Result[list[dict[str, Any]], StepError]:
        """Read audit rows, newest first, with their `key`.

        Parameters
        ----------
        limit : int
            Maximum number of rows.
        before : str
            Key of the last row of the previous page; empty for the first page.
        """
        result = await self.tables.scan(AUDIT_TABLE, after=before, limit=limit)
        if isinstance(result, Err):
            return result
        return Ok([{"key": row.key} | row.value for row in result.ok_value])


def decode_row(row: Row | None) -> Result[StoredConfiguration, StepError]:
    """Decode the configuration in a row; return an error if it is invalid."""
    if row is None:
        return Ok(StoredConfiguration(0, EMPTY_SHEET, "", 0))
    try:
        sheet = Sheet.model_validate(row.value["sheet"])
        revision, author = int(row.value["revision"]), str(row.value["author"])
    except (KeyError, TypeError, ValueError) as error:
        message = f"row {CONFIG_TABLE}/{CURRENT_KEY} is not readable: {error!r}"
        return Err(StepError("configuration.decode", "platform", message, False))
    return Ok(StoredConfiguration(revision, sheet, author, row.revision))
