"""HTTP client of the table service."""

from collections.abc import Sequence
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from ..interfaces import Check, Committed, Conflict, Row, TableService, Write
from ..outcomes import StepError
from .http import HttpEndpoint, HttpResponse


class RowResponse(msgspec.Struct):
    """Response to a read."""

    row: Row | None


class RowsResponse(msgspec.Struct):
    """Response to a scan."""

    rows: list[Row]


class ConflictResponse(msgspec.Struct):
    """Response to a transaction with a failed check, with the checks' rows."""

    rows: tuple[Row | None, ...]


class CommittedResponse(msgspec.Struct):
    """Response to a transaction that took effect."""

    write_id: str


class FoundResponse(msgspec.Struct):
    """Response that states whether a write id was found."""

    found: bool


class HttpTableService(HttpEndpoint, TableService):
    """Client of the table service; see docs/platform_protocols.md."""

    async def transact(
        self, write_id: str, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[Committed | Conflict, StepError]:
        """Apply all writes if all checks hold; one write id is applied only once."""
        step = "platform.transact"
        body = {"write_id": write_id, "checks": checks, "writes": writes}
        response = await self.send_request(
            step,
            "POST",
            "/transact",
            data=msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
        )
        if isinstance(response, Err):
            return response
        if response.ok_value.status == 409:
            complete = HttpResponse(200, response.ok_value.body)
            conflict = self.decode(step, complete, ConflictResponse)
            return conflict.map(lambda decoded: Conflict(decoded.rows))
        committed = self.decode(step, response.ok_value, CommittedResponse)
        if isinstance(committed, Ok) and committed.ok_value.write_id != write_id:
            return Err(StepError(step, self.name, "answer names another write id"))
        return committed.map(lambda decoded: Committed(decoded.write_id))

    async def find_write(self, write_id: str) -> Result[bool, StepError]:
        """Return whether a transaction took effect."""
        path = "/writes/" + quote(write_id, safe="")
        response = await self.fetch("platform.find_write", "GET", path, FoundResponse)
        return response.map(lambda decoded: decoded.found)

    async def read(
        self, table: str, key: str, strong: bool = False
    ) -> Result[Row | None, StepError]:
        """Read a row; without `strong` the result may miss the latest writes."""
        params = {"table": table, "key": key, "strong": str(int(strong))}
        response = await self.fetch(
            "platform.read", "GET", "/row", RowResponse, params=params
        )
        return response.map(lambda decoded: decoded.row)

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 500
    ) -> Result[list[Row], StepError]:
        """Read rows in key order, at most `limit`, with keys after `after`."""
        params = {
            "table": table,
            "prefix": prefix,
            "after": after,
            "limit": str(limit),
        }
        response = await self.fetch(
            "platform.scan", "GET", "/rows", RowsResponse, params=params
        )
        return response.map(lambda decoded: decoded.rows)
