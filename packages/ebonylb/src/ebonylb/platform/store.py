"""Client of the platform's store."""

import base64
from collections.abc import Sequence
from typing import Any

import aiohttp
import msgspec
from result import Err, Ok, Result

from ..adapters.http import HttpAnswer, HttpEndpoint
from ..edges.row_store import (
    Applied,
    Condition,
    HistoryLostError,
    Mismatch,
    Page,
    Put,
    RowKey,
    RowStore,
    StoredRow,
)
from ..outcomes import StepError
from . import names

# Five times the answer of a store slowed sixtyfold (4 ms each), so that slowness is
# not taken for an outage; a lost answer is noticed after this.
CALL_TIMEOUT_MS = 1_500
# Beyond the wait asked for, before a feed counts as silent.
FEED_SLACK_MS = 800
READ_LIMIT_ROWS = 500
PARTS_PAGE = 1_000
# Smallest character that a key holds: with it a key becomes the next range start.
FIRST_PRINTABLE = " "
HISTORY_GONE = 410
MISMATCH = 412


class WireRow(msgspec.Struct):
    """A row as the store spells it; `Ver` is the store-wide transaction number."""

    Table: str
    Key: str
    part: str = ""
    Value: str = ""
    Ver: int = 0
    Deleted: bool = False

    def decode(self) -> StoredRow:
        """Return the row in the project's terms."""
        return StoredRow(
            RowKey(self.Table, self.part, self.Key),
            base64.b64decode(self.Value),
            self.Ver,
            self.Deleted,
        )


class WirePage(msgspec.Struct):
    """Answer of reads and of the feed."""

    Rows: list[WireRow] = []
    HasMore: bool = False
    Ver: int = 0
    NowMs: float = 0.0

    def decode(self) -> Page:
        """Return the page in the project's terms."""
        rows = tuple(row.decode() for row in self.Rows)
        return Page(rows, self.Ver, self.HasMore, self.NowMs)


class WireParts(msgspec.Struct):
    """Partitions of a table."""

    parts: list[str] = []
    HasMore: bool = False
    Ver: int = 0


def wire_key(at: RowKey) -> dict[str, Any]:
    """Return the fields that name a row."""
    return {"Table": at.table, "part": at.part, "Key": at.key}


class PlatformRowStore(RowStore, HttpEndpoint):
    """The store over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Owned by the caller.
    address : str
        ``ip:port``.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        super().__init__(session, f"http://{address}", CALL_TIMEOUT_MS, "store")
        self.calls = 0

    def move_to(self, address: str) -> None:
        """Use the store at another address from the next call on."""
        self.base_url = f"http://{address}"

    async def call(
        self, step: str, method: str, path: str, timeout_ms: float, **options: Any
    ) -> Result[HttpAnswer, StepError]:
        """Send one call and count it."""
        self.calls += 1
        return await self.exchange(step, method, path, timeout_ms, **options)

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> Result[Applied | Mismatch, StepError]:
        """Apply a transaction."""
        body = {
            "Expected": [wire_key(c.row_key) | {"Ver": c.version} for c in conditions],
            "Puts": [
                wire_key(p.row_key) | {"Value": base64.b64encode(p.value).decode()}
                for p in puts
                if p.value is not None
            ],
            "Deletes": [wire_key(p.row_key) for p in puts if p.value is None],
        }
        sent = await self.call(
            "store.transact",
            "POST",
            names.ROWS_TRANSACT_PATH,
            CALL_TIMEOUT_MS,
            data=msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
        )
        if isinstance(sent, Err):
            return sent
        answer = sent.ok_value
        if answer.status == MISMATCH:
            page = self.parse("store.transact", answer, WirePage)
            if isinstance(page, Err):
                return page
            found = page.ok_value.decode()
            return Ok(Mismatch(found.rows, found.store_ms))
        done = self.decode("store.transact", answer, WirePage)
        if isinstance(done, Err):
            return done
        return Ok(Applied(done.ok_value.Ver, done.ok_value.NowMs))

    def parse(
        self, step: str, answer: HttpAnswer, model: type
    ) -> Result[Any, StepError]:
        """Decode a body whatever the status."""
        return self.decode(step, HttpAnswer(200, answer.body), model)

    async def pages(
        self, path: str, params: dict[str, str], timeout_ms: float, model: type
    ) -> Result[Any, StepError]:
        """Send one read and decode its answer."""
        step = "store" + path.removeprefix("/api").replace("/", ".")
        sent = await self.call(step, "GET", path, timeout_ms, params=params)
        if isinstance(sent, Err):
            return sent
        if sent.ok_value.status == HISTORY_GONE:
            return Err(HistoryLostError(step, self.name, "history dropped", False))
        return self.decode(step, sent.ok_value, model)

    async def read(
        self, table: str, part: str = "", start: str = "", end: str = ""
    ) -> Result[Page, StepError]:
        """Read a range, page by page; the version is that of the first page."""
        rows: list[StoredRow] = []
        version, store_ms = 0, 0.0
        while True:
            params = {"Table": table, "part": part, "Limit": str(READ_LIMIT_ROWS)}
            if start:
                params["From"] = start
            if end:
                # The wire calls the end of a range by the name of a move's target.
                params["Target"] = end
            answer = await self.pages(
                names.ROWS_READ_PATH, params, CALL_TIMEOUT_MS, WirePage
            )
            if isinstance(answer, Err):
                return answer
            page = answer.ok_value.decode()
            version, store_ms = version or page.version, page.store_ms
            rows.extend(page.rows)
            if not page.has_more or not page.rows:
                return Ok(Page(tuple(rows), version, False, store_ms))
            start = page.rows[-1].row_key.key + FIRST_PRINTABLE

    async def read_parts(self, table: str) -> Result[list[str], StepError]:
        """List the partitions of a table."""
        found: list[str] = []
        while True:
            params = {"Table": table}
            if found:
                params["After"] = found[-1]
            answer = await self.pages(
                names.ROWS_PARTS_PATH, params, CALL_TIMEOUT_MS, WireParts
            )
            if isinstance(answer, Err):
                return answer
            found.extend(answer.ok_value.parts)
            if not answer.ok_value.HasMore:
                return Ok(found)

    async def read_table(self, table: str) -> Result[Page, StepError]:
        """Read every partition; changes made meanwhile come again in the feed."""
        first = await self.read(table)
        if isinstance(first, Err):
            return first
        parts = await self.read_parts(table)
        if isinstance(parts, Err):
            return parts
        rows = list(first.ok_value.rows)
        for part in parts.ok_value:
            if part == "":
                continue
            page = await self.read(table, part)
            if isinstance(page, Err):
                return page
            rows.extend(page.ok_value.rows)
        head = first.ok_value
        return Ok(Page(tuple(rows), head.version, False, head.store_ms))

    async def changes(
        self, table: str, after: int, wait_ms: int
    ) -> Result[Page, StepError]:
        """Read the feed once."""
        params = {"Table": table, "After": str(after), "WaitMs": str(wait_ms)}
        answer = await self.pages(
            names.ROWS_FEED_PATH, params, wait_ms + FEED_SLACK_MS, WirePage
        )
        return answer if isinstance(answer, Err) else Ok(answer.ok_value.decode())
