"""Transactional table service of the platform."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from result import Result

from ..outcomes import StepError


@dataclass(frozen=True, slots=True)
class Row:
    """A stored row.

    Parameters
    ----------
    key : str
        Key within the table.
    value : dict
        JSON object.
    revision : int
        Grows by one with each write of this row, from 1.
    write_id : str
        Id of the transaction that wrote it last.
    """

    key: str
    value: dict[str, Any]
    revision: int
    write_id: str


@dataclass(frozen=True, slots=True)
class Check:
    """Condition of a transaction: the row has this revision; 0 means absent."""

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
    """The transaction took effect."""

    write_id: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """A check failed and nothing was written.

    Parameters
    ----------
    rows : tuple of (Row or None)
        Current rows in the order of the checks.
    """

    rows: tuple[Row | None, ...]


class TableService(ABC):
    """Transactions and reads.

    A `StepError` with ``may_have_run=True`` from `transact` means that the outcome
    is unknown; `storage.settled_transaction` finds it out through `find_write`.
    """

    @abstractmethod
    async def transact(
        self, write_id: str, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[Committed | Conflict, StepError]:
        """Apply all writes when all checks hold; the same write id applies once."""

    @abstractmethod
    async def find_write(self, write_id: str) -> Result[bool, StepError]:
        """Tell whether a transaction took effect."""

    @abstractmethod
    async def read(
        self, table: str, key: str, strong: bool = False
    ) -> Result[Row | None, StepError]:
        """Read a row; without `strong` the answer may lag behind the last write."""

    @abstractmethod
    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 500
    ) -> Result[list[Row], StepError]:
        """Read rows in key order, at most `limit`, with keys after `after`."""
