"""Stand-in for the platform's store over HTTP, with faults that tests switch on."""

import asyncio
import base64
import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from ebonylb.adapters import SystemClock
from ebonylb.interfaces.row_store import (
    Applied,
    Condition,
    HistoryLostError,
    Put,
    RowKey,
    StoredRow,
)

from .row_store import MemoryRowStore, StoreData

ADDRESS_OF = web.AppKey("address_of", Callable)


@dataclass
class HttpStoreFaults:
    """Faults of the store's calls; shares are from 0 to 1.

    Attributes
    ----------
    down : bool
        Every call gets status 503 and has no effect.
    lost_response_share : float
        Share of transactions that are applied and whose response is lost.
    late_write_share : float
        Share of transactions that get no response and are applied 1 to 4 s later.
    added_delay_ms : float
        Time added to each call.
    """

    down: bool = False
    lost_response_share: float = 0.0
    late_write_share: float = 0.0
    added_delay_ms: float = 0.0


AddressOf = Callable[[str], str | None]


def replace_address(row: StoredRow, address_of: AddressOf) -> bytes:
    """Return the value of a server's row with the address that a reader should use."""
    address = address_of(row.row_key.key)
    if row.row_key.table != "servers" or row.deleted or address is None:
        return row.value
    return json.dumps({**json.loads(row.value), "Address": address}).encode()


def encode_row(row: StoredRow, address_of: AddressOf) -> dict[str, Any]:
    """Return the fields of a row in the platform's JSON format."""
    return {
        "Table": row.row_key.table,
        "part": row.row_key.part,
        "Key": row.row_key.key,
        "Value": base64.b64encode(replace_address(row, address_of)).decode(),
        "Ver": row.version,
        **({"Deleted": True} if row.deleted else {}),
    }


def decode_row_key(fields: dict[str, Any]) -> RowKey:
    """Return the row key given by the fields of a call."""
    return RowKey(fields["Table"], fields.get("part", ""), fields["Key"])


class HttpStore:
    """HTTP handlers of the store's calls.

    Parameters
    ----------
    seed : int
        Seed of the random choice of faults.
    """

    def __init__(self, seed: int = 0) -> None:
        self.data = StoreData()
        self.rows = MemoryRowStore(self.data, SystemClock())
        self.rows.faults.delay_ms = 0
        self.faults = HttpStoreFaults()
        self.random = random.Random(seed)
        self.tasks: set[asyncio.Task[None]] = set()
        self.call_count = 0

    def build_app(self, address_of: AddressOf = lambda name: None) -> web.Application:
        """Return a web application that serves the store's paths.

        Parameters
        ----------
        address_of : callable
            Returns the address of a server in this view of the store, by its name;
            None for that of its row.
        """
        app = web.Application(client_max_size=2_000_000)
        app[ADDRESS_OF] = address_of
        app.router.add_post("/api/rows-tx", self.handle_transaction)
        app.router.add_get("/api/rows-get", self.handle_read)
        app.router.add_get("/api/rows-feed", self.handle_feed)
        app.router.add_get("/api/rows-parts", self.handle_partitions)
        return app

    async def apply_faults(self) -> None:
        """Count a call and apply the faults that concern all calls."""
        self.call_count += 1
        if self.faults.added_delay_ms:
            await asyncio.sleep(self.faults.added_delay_ms / 1000)
        if self.faults.down:
            raise web.HTTPServiceUnavailable

    def rows_response(
        self,
        request: web.Request,
        rows: list[StoredRow],
        status: int = 200,
        has_more: bool = False,
    ) -> web.Response:
        """Return a response with rows and the store's current version."""
        address_of = request.app[ADDRESS_OF]
        body = {
            "Rows": [encode_row(row, address_of) for row in rows],
            "HasMore": has_more,
            "Ver": self.data.version,
            "NowMs": int(asyncio.get_running_loop().time() * 1_000),
        }
        return web.json_response(body, status=status)

    async def handle_transaction(self, request: web.Request) -> web.Response:
        """Apply a transaction, or lose its response or delay it as the faults say."""
        await self.apply_faults()
        body = await request.json()
        conditions = [Condition(decode_row_key(f), f["Ver"]) for f in body["Expected"]]
        puts = [
            Put(decode_row_key(fields), base64.b64decode(fields["Value"]))
            for fields in body["Puts"]
        ]
        puts += [Put(decode_row_key(fields), None) for fields in body["Deletes"]]
        parts = {put.row_key.part for put in puts} | {
            c.row_key.part for c in conditions
        }
        if len(parts) > 1 or len(puts) + len(conditions) > 100:
            raise web.HTTPBadRequest(text="one part and 100 entries at most")
        if self.random.random() < self.faults.late_write_share:
            delay_s = self.random.uniform(1.0, 4.0)
            task = asyncio.create_task(self.apply_late(delay_s, conditions, puts))
            self.tasks.add(task)
            await self.abort_connection(request)
        outcome = self.data.apply(conditions, puts)
        if self.random.random() < self.faults.lost_response_share:
            await self.abort_connection(request)
        if isinstance(outcome, Applied):
            return self.rows_response(request, [])
        return self.rows_response(request, list(outcome.rows), status=412)

    async def apply_late(
        self, delay_s: float, conditions: list[Condition], puts: list[Put]
    ) -> None:
        """Apply a transaction after a delay, when its caller got no response."""
        await asyncio.sleep(delay_s)
        self.data.apply(conditions, puts)

    async def abort_connection(self, request: web.Request) -> None:
        """Abort the connection without a response."""
        if request.transport is not None:
            request.transport.abort()
        raise asyncio.CancelledError

    async def handle_read(self, request: web.Request) -> web.Response:
        """Respond with the first rows of a key range, as many as a page holds."""
        await self.apply_faults()
        query = request.query
        page = await self.rows.read_page(
            query["Table"],
            query.get("part", ""),
            query.get("From", ""),
            query.get("Target", ""),
        )
        rows, has_more = list(page.ok_value.rows), page.ok_value.has_more
        return self.rows_response(request, rows, has_more=has_more)

    async def handle_feed(self, request: web.Request) -> web.Response:
        """Wait for changes of a table; 410 when the history was dropped."""
        await self.apply_faults()
        query = request.query
        page = await self.rows.changes(
            query["Table"], int(query["After"]), int(query["WaitMs"])
        )
        if page.is_err() and isinstance(page.err_value, HistoryLostError):
            raise web.HTTPGone
        return self.rows_response(request, list(page.ok_value.rows))

    async def handle_partitions(self, request: web.Request) -> web.Response:
        """Respond with the partitions of a table."""
        await self.apply_faults()
        table = request.query["Table"]
        parts = sorted({at.part for at in self.data.rows if at.table == table})
        return web.json_response({"parts": parts, "HasMore": False, "Ver": 0})
