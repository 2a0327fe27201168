"""Rows of the store in which entry VMs tell the requests of customers."""

import logging
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import msgspec
from result import Err

from ..interfaces import Clock
from ..interfaces.row_store import Condition, Mismatch, Put, RowKey, RowStore, StoredRow
from ..storage.follower import TableFollower, TableReader
from ..storage.store_time import StoreTime
from .model import OtherEntryVms, ToldLoad

logger = logging.getLogger(__name__)

TABLE = "customer-loads"
# Interval of the writes while servers lack room, and the least one for each entry VM,
# which limits the writes of all of them to 100 a second.
WRITE_INTERVAL_MS = 500.0
INTERVAL_PER_ENTRY_VM_MS = 10.0
# Rows that are older no longer count: more than the interval at 300 entry VMs.
MAX_AGE_MS = 4_000.0
# Interval at which it is checked whether there are customers or a lack of room.
CHECK_INTERVAL_MS = 100.0
# Rows of entry VMs that ended are deleted after this time, a few at once.
DELETE_AFTER_MS = 300_000.0
MAX_ROWS_PER_DELETION = 40


class LoadRow(msgspec.Struct, frozen=True, array_like=True):
    """Row of one entry VM.

    Attributes
    ----------
    written_ms : float
        Store time of the write.
    services : dict of str to ToldLoad
        Load by service.
    """

    written_ms: float
    services: dict[str, ToldLoad]


row_encoder = msgspec.msgpack.Encoder()
row_decoder = msgspec.msgpack.Decoder(LoadRow)


@dataclass(frozen=True, slots=True)
class StoredLoadRow:
    """Row of an entry VM with the version of the write."""

    row: LoadRow
    version: int


class LoadRows(TableReader, OtherEntryVms):
    """Rows of all entry VMs, and the writes of this entry VM's own row.

    Rows are written only while servers lack room, and by no request. They are followed
    only where the configuration has customers.

    Parameters
    ----------
    name : str
        Name of this entry VM.
    store : RowStore
        The platform's store.
    clock : Clock
        Source of time.
    store_time : StoreTime
        Clock of the store, for the age of rows.
    has_customers : callable
        Returns whether the configuration has customers.

    Attributes
    ----------
    follower : TableFollower or None
        Keeps the rows current; set once, since it needs this reader.
    own_loads : callable
        Returns what to tell, by service; set once.
    lacking_room : callable
        Returns the services whose servers lack room here; set once.
    """

    def __init__(
        self,
        name: str,
        store: RowStore,
        clock: Clock,
        store_time: StoreTime,
        has_customers: Callable[[], bool],
    ) -> None:
        self.name = name
        self.store = store
        self.clock = clock
        self.store_time = store_time
        self.has_customers = has_customers
        self.follower: TableFollower | None = None
        self.own_loads: Callable[[], Mapping[str, ToldLoad]] = dict
        self.lacking_room: Callable[[], list[str]] = list
        self.stored: dict[str, StoredLoadRow] = {}

    def replace_rows(self, rows: Sequence[StoredRow]) -> None:
        """Record all rows of the table."""
        self.stored = {}
        self.change_rows(rows)

    def change_rows(self, rows: Sequence[StoredRow]) -> None:
        """Record changed rows."""
        for stored in rows:
            name = stored.row_key.key
            if stored.deleted:
                self.stored.pop(name, None)
                continue
            row = self.unreadable.decode(stored, row_decoder.decode)
            if row is None:
                row = LoadRow(0.0, {})
            self.record(name, row, stored.version)

    def record(self, name: str, row: LoadRow, version: int) -> None:
        """Record a row that was read or written, unless a newer one is known."""
        known = self.stored.get(name)
        if known is None or version > known.version:
            self.stored[name] = StoredLoadRow(row, version)

    def recent_rows(self) -> list[LoadRow]:
        """Return the rows of other entry VMs that were written a short time ago.

        Without the store they soon count no more, as their age goes on.
        """
        earliest_ms = self.store_time.now_ms() - MAX_AGE_MS
        return [
            stored.row
            for name, stored in self.stored.items()
            if name != self.name and stored.row.written_ms >= earliest_ms
        ]

    def loads_of(self, service: str) -> list[ToldLoad]:
        """Return what other entry VMs told of a service a short time ago."""
        return [
            row.services[service]
            for row in self.recent_rows()
            if service in row.services
        ]

    def services_to_tell(self) -> set[str]:
        """Return the services whose servers lack room here or at another entry VM."""
        services = set(self.lacking_room())
        for row in self.recent_rows():
            services.update(s for s, told in row.services.items() if told.level)
        return services

    async def follow(self) -> None:
        """Follow the rows once the configuration has customers, until cancelled."""
        assert self.follower is not None
        while not self.has_customers():
            await self.clock.sleep_ms(CHECK_INTERVAL_MS)
        await self.follower.run()

    async def run(self) -> None:
        """Write the own row while servers lack room, until cancelled."""
        assert self.follower is not None
        await self.follower.loaded.wait()
        while True:
            interval_ms = CHECK_INTERVAL_MS
            if services := self.services_to_tell():
                loads = self.own_loads()
                told = {s: loads[s] for s in services if s in loads}
                await self.write(LoadRow(self.store_time.now_ms(), told))
                interval_ms = max(
                    WRITE_INTERVAL_MS, INTERVAL_PER_ENTRY_VM_MS * len(self.stored)
                )
            await self.clock.sleep_ms(interval_ms)

    async def write(self, row: LoadRow) -> None:
        """Write the own row and delete rows of entry VMs that ended long ago.

        A write that the store applies late never replaces a newer row.
        """
        key = RowKey(TABLE, "", self.name)
        own = self.stored.get(self.name)
        latest_ms = row.written_ms - DELETE_AFTER_MS
        expired = [
            (RowKey(TABLE, "", name), stored.version)
            for name, stored in self.stored.items()
            if name != self.name and stored.row.written_ms < latest_ms
        ][:MAX_ROWS_PER_DELETION]
        sent = await self.store.transact(
            [
                Condition(key, own.version if own else 0),
                *(Condition(other, version) for other, version in expired),
            ],
            [
                Put(key, row_encoder.encode(row)),
                *(Put(other, None) for other, _ in expired),
            ],
        )
        if isinstance(sent, Err):
            logger.debug("loads not told", extra={"cause": str(sent.err_value)})
        elif isinstance(sent.ok_value, Mismatch):
            for stale in (key, *(other for other, _ in expired)):
                self.stored.pop(stale.key, None)
            self.change_rows(sent.ok_value.rows)
        else:
            self.record(self.name, row, sent.ok_value.version)
