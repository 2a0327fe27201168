"""HTTP client of the platform's row store."""

import base64
from collections.abc import Sequence
from typing import Any

import aiohttp
import msgspec
from result import Err, Ok, Result

from ..adapters.http import HttpEndpoint, HttpResponse
from ..interfaces.row_store import (
    Applied,
    Condition,
    HistoryLostError,
    Mismatch,
    Page,
    Put,
    RowKey,
    RowStore,
    StoreBusyError,
    StoredRow,
    next_key,
)
from ..outcomes import StepError
from . import wire_names

# Timeout after which a response counts as lost. It is five times the response time of
# a store slowed down sixtyfold (normally 4 ms per call), so that a slow store does not
# count as an outage.
CALL_TIMEOUT_MS = 1_500
# Added to the requested wait before a feed request times out.
FEED_TIMEOUT_MARGIN_MS = 800
MAX_READ_ROWS = 500
HISTORY_LOST_STATUS = 410
MISMATCH_STATUS = 412
BUSY_STATUS = 429


# Value of a row whose encoding is malformed; it decodes as no type.
UNREADABLE_VALUE = b"\xff"


class WireRow(msgspec.Struct):
    """Row of the store; `Ver` is the store-wide number of a transaction."""

    Table: str
    Key: str
    part: str = ""
    Value: str = ""
    Ver: int = 0
    Deleted: bool = False

    def decode(self) -> StoredRow:
        """Return the row as the internal type."""
        try:
            value = base64.b64decode(self.Value)
        except ValueError:
            # A value that no reader can decode, so that the row costs only itself.
            value = UNREADABLE_VALUE
        return StoredRow(
            RowKey(self.Table, self.part, self.Key),
            value,
            self.Ver,
            self.Deleted,
        )


class WirePage(msgspec.Struct):
    """Response of reads and of the feed."""

    Rows: list[WireRow] = []
    HasMore: bool = False
    Ver: int = 0
    NowMs: float = 0.0

    def decode(self) -> Page:
        """Return the page as the internal type."""
        rows = tuple(row.decode() for row in self.Rows)
        return Page(rows, self.Ver, self.HasMore, self.NowMs)


class WireParts(msgspec.Struct):
    """Response with the partitions of a table."""

    parts: list[str] = []
    HasMore: bool = False
    Ver: int = 0


def encode_row_key(row_key: RowKey) -> dict[str, Any]:
    """Return the wire fields that identify a row."""
    return {"Table": row_key.table, "part": row_key.part, "Key": row_key.key}


class PlatformRowStore(RowStore, HttpEndpoint):
    """HTTP client of the row store.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Owned by the caller.
    address : str
        ``ip:port`` of the store.

    Attributes
    ----------
    call_count : int
        Number of calls sent.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        super().__init__(session, f"http://{address}", CALL_TIMEOUT_MS, "store")
        self.call_count = 0

    def set_address(self, address: str) -> None:
        """Send all further calls to another address."""
        self.base_url = f"http://{address}"

    async def send_call(
        self, step: str, method: str, path: str, timeout_ms: float, **options: Any
    ) -> Result[HttpResponse, StepError]:
        """Send one call and count it."""
        self.call_count += 1
        return await self.send_request(step, method, path, timeout_ms, **options)

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> Result[Applied | Mismatch, StepError]:
        """Apply all writes if all conditions hold."""
        body = {
            "Expected": [
                encode_row_key(c.row_key) | {"Ver": c.version} for c in conditions
            ],
            "Puts": [
                encode_row_key(p.row_key)
                | {"Value": base64.b64encode(p.value).decode()}
                for p in puts
                if p.value is not None
            ],
            "Deletes": [encode_row_key(p.row_key) for p in puts if p.value is None],
        }
        result = await self.send_call(
            "store.transact",
            "POST",
            wire_names.ROWS_TRANSACT_PATH,
            CALL_TIMEOUT_MS,
            data=msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
        )
        if isinstance(result, Err):
            return result
        response = result.ok_value
        if response.status == MISMATCH_STATUS:
            decoded = self.decode_any_status("store.transact", response, WirePage)
            if isinstance(decoded, Err):
                return decoded
            page = decoded.ok_value.decode()
            return Ok(Mismatch(page.rows, page.store_ms))
        applied = self.decode("store.transact", response, WirePage)
        if isinstance(applied, Err):
            return applied
        return Ok(Applied(applied.ok_value.Ver, applied.ok_value.NowMs))

    def decode_any_status(
        self, step: str, response: HttpResponse, model: type
    ) -> Result[Any, StepError]:
        """Decode the body of a response regardless of its status."""
        return self.decode(step, HttpResponse(200, response.body), model)

    async def fetch_page(
        self, path: str, params: dict[str, str], timeout_ms: float, model: type
    ) -> Result[Any, StepError]:
        """Send one read and decode its response."""
        step = "store" + path.removeprefix("/api").replace("/", ".")
        result = await self.send_call(step, "GET", path, timeout_ms, params=params)
        if isinstance(result, Err):
            return result
        if result.ok_value.status == HISTORY_LOST_STATUS:
            return Err(HistoryLostError(step, self.name, "history dropped", False))
        if result.ok_value.status == BUSY_STATUS:
            return Err(StoreBusyError(step, self.name, "too many calls", False))
        return self.decode(step, result.ok_value, model)

    async def read_page(
        self, table: str, part: str = "", start: str = "", end: str = ""
    ) -> Result[Page, StepError]:
        """Read the first rows of a range, as many as fit into one response."""
        params = {"Table": table, "part": part, "Limit": str(MAX_READ_ROWS)}
        if start:
            params["From"] = start
        if end:
            # The wire format names the end of a range "Target", like the target of a
            # move.
            params["Target"] = end
        response = await self.fetch_page(
            wire_names.ROWS_READ_PATH, params, CALL_TIMEOUT_MS, WirePage
        )
        return response if isinstance(response, Err) else Ok(response.ok_value.decode())

    async def read(
        self, table: str, part: str = "", start: str = "", end: str = ""
    ) -> Result[Page, StepError]:
        """Read a range page by page; the version is that of the first page."""
        rows: list[StoredRow] = []
        version = 0
        while True:
            response = await self.read_page(table, part, start, end)
            if isinstance(response, Err):
                return response
            page = response.ok_value
            version = version or page.version
            rows.extend(page.rows)
            if not page.has_more or not page.rows:
                return Ok(Page(tuple(rows), version, False, page.store_ms))
            start = next_key(page.rows[-1].row_key.key)

    async def read_parts(self, table: str) -> Result[list[str], StepError]:
        """Return the partitions of a table."""
        parts: list[str] = []
        while True:
            params = {"Table": table}
            if parts:
                params["After"] = parts[-1]
            response = await self.fetch_page(
                wire_names.ROWS_PARTS_PATH, params, CALL_TIMEOUT_MS, WireParts
            )
            if isinstance(response, Err):
                return response
            parts.extend(response.ok_value.parts)
            if not response.ok_value.HasMore:
                return Ok(parts)

    async def changes(
        self, table: str, after: int, wait_ms: int
    ) -> Result[Page, StepError]:
        """Wait for changes after a version and return the changed rows."""
        params = {"Table": table, "After": str(after), "WaitMs": str(wait_ms)}
        response = await self.fetch_page(
            wire_names.ROWS_FEED_PATH,
            params,
            wait_ms + FEED_TIMEOUT_MARGIN_MS,
            WirePage,
        )
        return response if isinstance(response, Err) else Ok(response.ok_value.decode())
