"""Interface of the platform's transactional table service."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from result import Result

from ..outcomes import StepError


@dataclass(frozen=True, slots=True)
class Row:
    """Stored row of a table.

    Parameters
    ----------
    key : str
        Key within the table.
    value : dict
        JSON object.
    revision : int
        Starts at 1 and increases by one with each write of the row.
    write_id : str
        Id of the transaction that last wrote the row.
    """

    key: str
    value: dict[str, Any]
    revision: int
    write_id: str


@dataclass(frozen=True, slots=True)
class Check:
    """Condition of a transaction: the revision of a row; 0 if it must not exist."""

    table: str
    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Write:
    """One write of a transaction; a value of None deletes the row."""

    table: str
    key: str
    value: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class Committed:
    """Result of a transaction that took effect."""

    write_id: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """Result of a transaction with a failed check, which wrote nothing.

    Parameters
    ----------
    rows : tuple of (Row or None)
        Current rows in the order of the checks.
    """

    rows: tuple[Row | None, ...]


class TableService(ABC):
    """Client of the table service.

    After a `StepError` with ``may_have_run=True`` from `transact` the outcome is
    unknown; `storage.settled_transaction` determines it with `find_write`.
    """

    @abstractmethod
    async def transact(
        self, write_id: str, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[Committed | Conflict, StepError]:
        """Apply all writes if all checks hold; one write id is applied only once."""

    @abstractmethod
    async def find_write(self, write_id: str) -> Result[bool, StepError]:
        """Return whether a transaction took effect."""

    @abstractmethod
    async def read(
        self, table: str, key: str, strong: bool = False
    ) -> Result[Row | None, StepError]:
        """Read a row; without `strong` the result may miss the latest writes."""

    @abstractmethod
    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 500
    ) -> Result[list[Row], StepError]:
        """Read rows in key order, at most `limit`, with keys after `after`."""
