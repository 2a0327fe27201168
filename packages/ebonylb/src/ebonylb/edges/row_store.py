"""Versioned rows in partitioned tables, with conditional transactions and a feed."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from result import Result

from ..outcomes import StepError


@dataclass(frozen=True, slots=True)
class RowKey:
    """Where a row stands.

    Parameters
    ----------
    table, part, key : str
        Table, partition (may be empty) and key within the partition.
    """

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row, or the trace of a deleted one.

    Parameters
    ----------
    row_key : RowKey
        Where it stands.
    value : bytes
        Content; empty for a deleted row.
    version : int
        Number of the transaction that wrote it; grows over the whole store.
    deleted : bool
        Only set in a feed.
    """

    row_key: RowKey
    value: bytes
    version: int
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Condition:
    """A row must have this version; 0 means that it must not exist."""

    row_key: RowKey
    version: int


@dataclass(frozen=True, slots=True)
class Put:
    """New content of a row; None deletes it."""

    row_key: RowKey
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Applied:
    """The transaction took effect.

    Parameters
    ----------
    version : int
        Version of every row that it wrote.
    store_ms : float
        The store's steady clock, in milliseconds.
    """

    version: int
    store_ms: float


@dataclass(frozen=True, slots=True)
class Mismatch:
    """A condition failed and nothing was written; `rows` are the current ones."""

    rows: tuple[StoredRow, ...]
    store_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Page:
    """Answer of a read or of the feed.

    Parameters
    ----------
    rows : tuple of StoredRow
        In key order for reads, in order of change for the feed.
    version : int
        Newest version of the store at that moment.
    has_more : bool
        Further rows exist behind the last one.
    store_ms : float
        The store's steady clock, in milliseconds.
    """

    rows: tuple[StoredRow, ...]
    version: int
    has_more: bool = False
    store_ms: float = 0.0


class HistoryLostError(StepError):
    """The feed no longer has the changes asked for; read the table again."""


class RowStore(ABC):
    """The platform's store of rows.

    Every write carries conditions, so that one carried out late fails by itself. A
    `StepError` with ``may_have_run=True`` from `transact` leaves the outcome open;
    reading the rows back settles it.
    """

    @abstractmethod
    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> Result[Applied | Mismatch, StepError]:
        """Apply all writes when all conditions hold; all rows share one partition."""

    @abstractmethod
    async def read(
        self, table: str, part: str = "", start: str = "", end: str = ""
    ) -> Result[Page, StepError]:
        """Read rows with ``start <= key < end`` of one partition as of one moment."""

    @abstractmethod
    async def read_table(self, table: str) -> Result[Page, StepError]:
        """Read all partitions of a table; the version precedes all the reads."""

    @abstractmethod
    async def changes(
        self, table: str, after: int, wait_ms: int
    ) -> Result[Page, StepError]:
        """Wait for rows of a table that changed after a version.

        Fails with `HistoryLostError` when the store has dropped that history.
        """
