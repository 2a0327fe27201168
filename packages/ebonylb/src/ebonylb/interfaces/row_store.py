"""Interface of the platform's row store.

The store keeps versioned rows in partitioned tables. It offers conditional
transactions and a feed of changes.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass, field

from result import Result

from ..outcomes import StepError


@dataclass(frozen=True, slots=True)
class RowKey:
    """Identity of a row in the store.

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
    """A row, or the record of its deletion.

    Parameters
    ----------
    row_key : RowKey
        Identity of the row.
    value : bytes
        Content; empty for a deleted row. It may contain keys of customers and is in no
        text.
    version : int
        Number of the transaction that wrote the row; increases over the whole store.
    deleted : bool
        Whether the row was deleted; only set in the feed.
    """

    row_key: RowKey
    value: bytes = field(repr=False)
    version: int
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Condition:
    """Version that a row must have; 0 if the row must not exist."""

    row_key: RowKey
    version: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write of a row; a value of None deletes it."""

    row_key: RowKey
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Applied:
    """Result of a transaction that took effect.

    Parameters
    ----------
    version : int
        Version of every row that the transaction wrote.
    store_ms : float
        Time of the store's monotonic clock, in milliseconds.
    """

    version: int
    store_ms: float


@dataclass(frozen=True, slots=True)
class Mismatch:
    """Result of a transaction with a failed condition, which wrote nothing.

    Parameters
    ----------
    rows : tuple of StoredRow
        Current rows of the conditions.
    store_ms : float
        Time of the store's monotonic clock, in milliseconds.
    """

    rows: tuple[StoredRow, ...]
    store_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Page:
    """Rows returned by a read or by the feed.

    Parameters
    ----------
    rows : tuple of StoredRow
        Rows in key order for reads, in order of change for the feed.
    version : int
        Newest version of the store at the time of the read.
    has_more : bool
        Whether further rows exist after the last one.
    store_ms : float
        Time of the store's monotonic clock, in milliseconds.
    """

    rows: tuple[StoredRow, ...]
    version: int
    has_more: bool = False
    store_ms: float = 0.0


# Smallest character in keys.
MIN_KEY_CHARACTER = " "


def next_key(key: str) -> str:
    """Return the smallest key after a key, with which the next range starts."""
    return key + MIN_KEY_CHARACTER


class HistoryLostError(StepError):
    """The feed no longer has the requested changes; the table must be read again."""


class StoreBusyError(StepError):
    """The store rejected a call because all entry VMs together make too many."""


class RowStore(ABC):
    """Client of the platform's row store.

    Every write has conditions, so that a write that is applied late fails. After a
    `StepError` with ``may_have_run=True`` from `transact` the outcome is unknown;
    reading the rows again determines it.
    """

    @abstractmethod
    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> Result[Applied | Mismatch, StepError]:
        """Apply all writes if all conditions hold; all rows are in one partition."""

    @abstractmethod
    async def read(
        self, table: str, part: str = "", start: str = "", end: str = ""
    ) -> Result[Page, StepError]:
        """Read a snapshot of rows with ``start <= key < end`` of one partition."""

    @abstractmethod
    async def read_page(
        self, table: str, part: str = "", start: str = "", end: str = ""
    ) -> Result[Page, StepError]:
        """Read the first rows of a range, as many as fit into one response."""

    @abstractmethod
    async def read_parts(self, table: str) -> Result[list[str], StepError]:
        """Return the partitions of a table."""

    @abstractmethod
    async def changes(
        self, table: str, after: int, wait_ms: int
    ) -> Result[Page, StepError]:
        """Wait for changes after a version and return the changed rows.

        The error is a `HistoryLostError` if the store has dropped that history.
        """
