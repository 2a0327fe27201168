"""The platform's store over HTTP, with faults that tests switch on."""

import asyncio
import base64
import random
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


@dataclass
class HttpStoreFaults:
    """Shares of calls that go wrong, from 0 to 1.

    Attributes
    ----------
    down : bool
        Every call is answered 503 and not done.
    lose, late : float
        Writes that are done without an answer, and that are done seconds later.
    slow_ms : float
        Time added to each call.
    """

    down: bool = False
    lose: float = 0.0
    late: float = 0.0
    slow_ms: float = 0.0


def wire_row(row: StoredRow) -> dict[str, Any]:
    """Return a row as the platform spells it."""
    return {
        "Table": row.row_key.table,
        "part": row.row_key.part,
        "Key": row.row_key.key,
        "Value": base64.b64encode(row.value).decode(),
        "Ver": row.version,
        **({"Deleted": True} if row.deleted else {}),
    }


def row_key(fields: dict[str, Any]) -> RowKey:
    """Return the key that a call names."""
    return RowKey(fields["Table"], fields.get("part", ""), fields["Key"])


class HttpStore:
    """Handlers of the store's calls.

    Parameters
    ----------
    seed : int
        Of the draws of faults.
    """

    def __init__(self, seed: int = 0) -> None:
        self.data = StoreData()
        self.rows = MemoryRowStore(self.data, SystemClock())
        self.rows.faults.delay_ms = 0
        self.faults = HttpStoreFaults()
        self.random = random.Random(seed)
        self.tasks: set[asyncio.Task[None]] = set()
        self.calls = 0

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=2_000_000)
        app.router.add_post("/api/rows-tx", self.transact)
        app.router.add_get("/api/rows-get", self.read)
        app.router.add_get("/api/rows-feed", self.feed)
        app.router.add_get("/api/rows-parts", self.parts)
        return app

    async def begin(self) -> None:
        """Apply the faults that hold for all calls."""
        self.calls += 1
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        if self.faults.down:
            raise web.HTTPServiceUnavailable

    def answer(self, rows: list[StoredRow], status: int = 200) -> web.Response:
        """Return rows with the newest version."""
        body = {
            "Rows": [wire_row(row) for row in rows],
            "HasMore": False,
            "Ver": self.data.version,
            "NowMs": 0,
        }
        return web.json_response(body, status=status)

    async def transact(self, request: web.Request) -> web.Response:
        """Apply a transaction."""
        await self.begin()
        body = await request.json()
        conditions = [Condition(row_key(f), f["Ver"]) for f in body["Expected"]]
        puts = [
            Put(row_key(fields), base64.b64decode(fields["Value"]))
            for fields in body["Puts"]
        ]
        puts += [Put(row_key(fields), None) for fields in body["Deletes"]]
        parts = {put.row_key.part for put in puts} | {
            c.row_key.part for c in conditions
        }
        if len(parts) > 1 or len(puts) + len(conditions) > 100:
            raise web.HTTPBadRequest(text="one part and 100 entries at most")
        if self.random.random() < self.faults.late:
            delay = self.random.uniform(1.0, 4.0)
            task = asyncio.create_task(self.apply_late(delay, conditions, puts))
            self.tasks.add(task)
            await self.drop(request)
        done = self.data.apply(conditions, puts)
        if self.random.random() < self.faults.lose:
            await self.drop(request)
        if isinstance(done, Applied):
            return self.answer([])
        return self.answer(list(done.rows), status=412)

    async def apply_late(
        self, delay_s: float, conditions: list[Condition], puts: list[Put]
    ) -> None:
        """Carry a transaction out after its caller got no answer."""
        await asyncio.sleep(delay_s)
        self.data.apply(conditions, puts)

    async def drop(self, request: web.Request) -> None:
        """Break the connection without an answer."""
        if request.transport is not None:
            request.transport.abort()
        raise asyncio.CancelledError

    async def read(self, request: web.Request) -> web.Response:
        """Read a range."""
        await self.begin()
        query = request.query
        found = await self.rows.read(
            query["Table"],
            query.get("part", ""),
            query.get("From", ""),
            query.get("Target", ""),
        )
        return self.answer(list(found.ok_value.rows))

    async def feed(self, request: web.Request) -> web.Response:
        """Wait for changes."""
        await self.begin()
        query = request.query
        found = await self.rows.changes(
            query["Table"], int(query["After"]), int(query["WaitMs"])
        )
        if found.is_err() and isinstance(found.err_value, HistoryLostError):
            raise web.HTTPGone
        return self.answer(list(found.ok_value.rows))

    async def parts(self, request: web.Request) -> web.Response:
        """List the partitions of a table."""
        await self.begin()
        table = request.query["Table"]
        parts = sorted({at.part for at in self.data.rows if at.table == table})
        return web.json_response({"parts": parts, "HasMore": False, "Ver": 0})
