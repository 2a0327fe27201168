"""What the entry VMs tell one another about limits, as one row each of the store."""

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec
from result import Err

from ..interfaces import Clock
from ..interfaces.row_store import Condition, Mismatch, Put, RowKey, RowStore, StoredRow
from ..interfaces.server_client import ServerAddress
from ..storage.follower import TableFollower, TableReader
from ..storage.store_time import StoreTime
from .allowance import SlotShares
from .registry import LimitRegistry

logger = logging.getLogger(__name__)

TABLE = "limits"
CHECK_INTERVAL_MS = 200.0
# An entry VM whose row is older no longer shares the limits. Its row is renewed more
# than twice in that time while it has a demand.
MAX_DEMAND_AGE_MS = 5_000.0
RENEWAL_INTERVAL_MS = 2_000.0
# An entry VM whose row is older has ended. Its row is renewed twice in that time.
MAX_ROW_AGE_MS = 150_000.0
ROW_RENEWAL_INTERVAL_MS = 60_000.0
# Without a response of the store for this time, the rows do not show any more which
# entry VMs have a demand: the feed responds at least once a second.
MAX_FEED_SILENCE_MS = 2_500.0
# Time after which all entry VMs know each other's demand. Until then, those that share
# a limit already and those that do not know of them yet would use the same slots.
SETTLE_MS = 1_000.0
# A withdrawn limit is told to the others for this time.
WITHDRAWAL_TOLD_MS = 30_000.0


class ToldLimit(msgspec.Struct, frozen=True, array_like=True):
    """Statement of a server that the writer of the row has received."""

    address: str
    started_ms: int | None
    requests_per_s: float | None
    observed_ms: float


class EntryVmRow(msgspec.Struct, frozen=True, array_like=True):
    """Row of one entry VM.

    Attributes
    ----------
    written_ms : float
        Store time of the write.
    demand : dict of str to int
        Weight by service; only services with limited servers.
    limits : dict of str to ToldLimit
        Statements of servers by name.
    charges : dict of str to int
        Orders and reports that were sent to each limited server.
    clock_offset_ms : float or None
        Offset between the wall clock and the store's clock; None if it is not told.
    """

    incarnation: str
    written_ms: float
    demand: dict[str, int]
    limits: dict[str, ToldLimit]
    charges: dict[str, int]
    clock_offset_ms: float | None = None


row_encoder = msgspec.msgpack.Encoder()
row_decoder = msgspec.msgpack.Decoder(EntryVmRow)


def encode_row(row: EntryVmRow) -> bytes:
    """Return the value of a row, without an offset that is not told.

    It then has the bytes that older builds write; they skip the offset.
    """
    if row.clock_offset_ms is None:
        return row_encoder.encode(msgspec.structs.astuple(row)[:-1])
    return row_encoder.encode(row)


@dataclass(slots=True)
class StoredVmRow:
    """Row of an entry VM with the version of the write."""

    row: EntryVmRow
    version: int


class SharingEntryVm(ABC):
    """What this entry VM tells the others, and what it learns from them."""

    @abstractmethod
    def limited_demand(self) -> dict[str, int]:
        """Return the weight of this entry VM for each service with limited servers."""

    @abstractmethod
    def told_charges(self) -> dict[str, int]:
        """Return the counts of charges to the servers that still have a limit."""

    @abstractmethod
    def pay(self, entry_vm: str, server_name: str, charges: range) -> None:
        """Pay this entry VM's part of the numbered charges of an entry VM."""


class LimitShares(TableReader):
    """Rows of all entry VMs, and the writes of this entry VM's own row.

    Each entry VM that runs has a row. While it has a demand for a service with limited
    servers, the row names the demand, and the entry VM shares these limits with the
    others that do. As long as this is not confirmed, it counts all entry VMs as sharing
    alike, which allows it too little rather than too much.

    Parameters
    ----------
    name, incarnation : str
        Name and incarnation of this entry VM.
    store : RowStore
        The platform's store.
    clock : Clock
        Source of time.
    store_time : StoreTime
        Clock of the store, for the age of rows.
    registry : LimitRegistry
        Source of the limits to tell, and destination of those told by others.
    sharing : SharingEntryVm
        Source of the demand and the charges of this entry VM.

    Attributes
    ----------
    follower : TableFollower or None
        Keeps the rows current; set once, since it needs this reader.
    demand_since_ms : dict of str to float
        Monotonic time since which the own row has named a demand, by service.
    observe_clock_offset : callable
        Returns the offset of this entry VM's wall clock to tell; None for none.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        store: RowStore,
        clock: Clock,
        store_time: StoreTime,
        registry: LimitRegistry,
        sharing: SharingEntryVm,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.store = store
        self.clock = clock
        self.store_time = store_time
        self.registry = registry
        self.sharing = sharing
        self.follower: TableFollower | None = None
        self.stored: dict[str, StoredVmRow] = {}
        self.demand_since_ms: dict[str, float] = {}
        self.observe_clock_offset: Callable[[], float | None] = lambda: None

    def replace_rows(self, rows: Sequence[StoredRow]) -> None:
        """Record all rows of the table."""
        present = {row.row_key.key for row in rows}
        for name in [name for name in self.stored if name not in present]:
            del self.stored[name]
        self.change_rows(rows)

    def change_rows(self, rows: Sequence[StoredRow]) -> None:
        """Record changed rows and adopt the limits that they tell."""
        for stored in rows:
            name = stored.row_key.key
            if stored.deleted:
                self.stored.pop(name, None)
                self.unreadable.forget(name)
                continue
            row = self.unreadable.decode(stored, row_decoder.decode)
            if row is None:
                continue
            self.record(name, row, stored.version)
            if name != self.name:
                for server, told in row.limits.items():
                    self.registry.adopt(
                        ServerAddress(server, told.address, told.started_ms),
                        told.requests_per_s,
                        told.observed_ms,
                    )

    def record(self, name: str, row: EntryVmRow, version: int) -> None:
        """Record a row that was read or written, unless a newer one is known."""
        known = self.stored.get(name)
        if known is not None and known.version >= version:
            return
        self.stored[name] = StoredVmRow(row, version)
        if name == self.name:
            now = self.clock.monotonic_ms()
            self.demand_since_ms = {
                service: self.demand_since_ms.get(service, now)
                for service in row.demand
            }
        if known is None:
            # Charges from before this entry VM knew the row were paid by others.
            return
        is_same = known.row.incarnation == row.incarnation
        for server, count in row.charges.items():
            paid = known.row.charges.get(server, 0) if is_same else 0
            self.sharing.pay(name, server, range(paid, count))

    def on_store_regained(self) -> None:
        """Wait until the entry VMs know each other's demand again."""
        now = self.clock.monotonic_ms()
        self.demand_since_ms = dict.fromkeys(self.demand_since_ms, now)

    def feed_silence_ms(self) -> float:
        """Return the time since the store last confirmed the rows."""
        if self.follower is None:
            return float("inf")
        return self.clock.monotonic_ms() - self.follower.confirmed_ms

    def fresh_rows(self, max_age_ms: float) -> dict[str, EntryVmRow]:
        """Return the rows that are not older, at the time of the last confirmation."""
        confirmed_ms = self.store_time.now_ms() - self.feed_silence_ms()
        return {
            name: stored.row
            for name, stored in self.stored.items()
            if confirmed_ms - stored.row.written_ms <= max_age_ms
        }

    def clock_offsets(self) -> dict[str, float]:
        """Return the offsets of wall clocks that running entry VMs tell."""
        return {
            name: row.clock_offset_ms
            for name, row in self.fresh_rows(MAX_ROW_AGE_MS).items()
            if row.clock_offset_ms is not None
        }

    def is_demand_known(self, service: str) -> bool:
        """Return whether the other entry VMs know this one's demand for a service."""
        since_ms = self.demand_since_ms.get(service)
        own = self.stored.get(self.name)
        return (
            self.feed_silence_ms() <= MAX_FEED_SILENCE_MS
            and own is not None
            and own.row.incarnation == self.incarnation
            and since_ms is not None
            and self.clock.monotonic_ms() - since_ms >= SETTLE_MS
        )

    def slot_shares(self, service: str) -> SlotShares:
        """Return the entry VMs that share the limits of a service's servers."""
        if self.is_demand_known(service):
            weights = {
                name: row.demand[service]
                for name, row in self.fresh_rows(MAX_DEMAND_AGE_MS).items()
                if service in row.demand
            }
            if self.name in weights:
                return SlotShares(weights)
        names = {*self.fresh_rows(MAX_ROW_AGE_MS), self.name}
        return SlotShares(dict.fromkeys(names, 1))

    def told_limits(self) -> dict[str, ToldLimit]:
        """Return the statements that servers have made to this entry VM."""
        now = self.store_time.now_ms()
        return {
            name: ToldLimit(
                observed.server.address,
                observed.server.started_ms,
                observed.requests_per_s,
                observed.observed_ms,
            )
            for name, observed in self.registry.observed.items()
            if observed.is_own
            and (
                observed.requests_per_s is not None
                or now - observed.observed_ms <= WITHDRAWAL_TOLD_MS
            )
        }

    def is_write_due(self, row: EntryVmRow) -> bool:
        """Return whether a row that would be written now should be written."""
        own = self.stored.get(self.name)
        if own is None or own.row.incarnation != self.incarnation:
            return True
        previous = own.row
        age_ms = row.written_ms - previous.written_ms
        if (row.demand.keys(), row.charges) != (
            previous.demand.keys(),
            previous.charges,
        ):
            return True
        if {name: told.requests_per_s for name, told in row.limits.items()} != {
            name: told.requests_per_s for name, told in previous.limits.items()
        }:
            return True
        interval_ms = RENEWAL_INTERVAL_MS if row.demand else ROW_RENEWAL_INTERVAL_MS
        return age_ms >= interval_ms

    async def run(self) -> None:
        """Write the own row when it changes or is due again, until cancelled."""
        assert self.follower is not None
        await self.follower.loaded.wait()
        while True:
            row = EntryVmRow(
                self.incarnation,
                self.store_time.now_ms(),
                self.sharing.limited_demand(),
                self.told_limits(),
                self.sharing.told_charges(),
                self.observe_clock_offset(),
            )
            if self.is_write_due(row):
                await self.write(row)
            await self.clock.sleep_ms(CHECK_INTERVAL_MS)

    async def write(self, row: EntryVmRow) -> None:
        """Write the own row on condition that nobody has changed it.

        A write that the store applies late thus never replaces a newer row.
        """
        key = RowKey(TABLE, "", self.name)
        own = self.stored.get(self.name)
        sent = await self.store.transact(
            [Condition(key, own.version if own else 0)],
            [Put(key, encode_row(row))],
        )
        if isinstance(sent, Err):
            logger.debug("limits not told", extra={"cause": str(sent.err_value)})
        elif isinstance(sent.ok_value, Mismatch):
            self.change_rows(sent.ok_value.rows)
        else:
            self.record(self.name, row, sent.ok_value.version)
