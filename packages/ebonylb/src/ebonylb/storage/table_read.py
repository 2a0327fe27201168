"""Read of a whole table in pages, which continues after a failed call."""

from result import Err, Ok, Result

from ..interfaces import Clock
from ..interfaces.row_store import Page, RowStore, StoredRow, next_key
from ..outcomes import StepError


class TableRead:
    """Reads a table page by page and keeps the pages of earlier calls.

    After a loss of all entry VMs, hundreds of them read the same tables at the same
    time, and the store rejects many of their calls. An entry VM that started over after
    each rejected call would hardly ever read a table of many pages to its end.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    table : str
        Name of the table.
    partitioned : bool
        Whether rows may be in other partitions than the unnamed one.
    clock : Clock
        Source of time.

    Attributes
    ----------
    began_ms : float
        Time including suspension at which the call began that returned the first page.
        The other pages are newer, and may be read much later where calls fail.
    version : int
        Version of the first page. Changes that are made while the other pages are read
        follow in the feed from this version on.
    """

    def __init__(
        self, store: RowStore, table: str, partitioned: bool, clock: Clock
    ) -> None:
        self.store = store
        self.table = table
        self.rows: list[StoredRow] = []
        self.clock = clock
        self.version = 0
        self.began_ms: float | None = None
        self.store_ms = 0.0
        self.part = ""
        self.start_key = ""
        # None until the partitions are listed, which the version must precede.
        self.remaining_parts: list[str] | None = None if partitioned else []

    async def run(self) -> Result[Page, StepError]:
        """Read the remaining pages; after an error, the next call continues."""
        while True:
            began_ms = self.clock.boot_ms()
            response = await self.store.read_page(self.table, self.part, self.start_key)
            if isinstance(response, Err):
                return response
            if self.began_ms is None:
                self.began_ms = began_ms
            page = response.ok_value
            self.version = self.version or page.version
            self.store_ms = page.store_ms
            self.rows.extend(page.rows)
            if page.has_more and page.rows:
                self.start_key = next_key(page.rows[-1].row_key.key)
                continue
            next_part = await self.take_next_part()
            if isinstance(next_part, Err):
                # Its rows were added, so that only an empty rest is read again.
                if page.rows:
                    self.start_key = next_key(page.rows[-1].row_key.key)
                return next_part
            if next_part.ok_value is None:
                return Ok(Page(tuple(self.rows), self.version, False, self.store_ms))
            self.part, self.start_key = next_part.ok_value, ""

    async def take_next_part(self) -> Result[str | None, StepError]:
        """Return the next partition to read, or None after the last one."""
        if self.remaining_parts is None:
            response = await self.store.read_parts(self.table)
            if isinstance(response, Err):
                return response
            self.remaining_parts = [part for part in response.ok_value if part]
        return Ok(self.remaining_parts.pop(0) if self.remaining_parts else None)
