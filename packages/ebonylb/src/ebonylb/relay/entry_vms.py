"""Entry VMs that announce themselves in the store, and whether they reach servers."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec

from ..fleet import ListedServer, ServerCondition, ServerStage
from ..interfaces.row_store import StoredRow
from ..storage.follower import TableReader
from ..storage.store_time import StoreTime

TABLE = "entry-vms"
# Each write costs every entry VM a read. Rows therefore change only with what they
# tell, and are renewed seldom.
RENEWAL_INTERVAL_MS = 300_000.0
# An entry VM whose row is older has ended without removing it.
MAX_ROW_AGE_MS = 2.5 * RENEWAL_INTERVAL_MS
# Interval at which the list of helpers follows the age of the rows.
HELPERS_TTL_MS = 10_000.0


class EntryVmRow(msgspec.Struct, frozen=True, array_like=True):
    """Row of one entry VM.

    Attributes
    ----------
    relay_address : str
        ``ip:port`` for requests of other entry VMs; empty if it accepts none.
    reaches_servers : bool
        Whether it is not cut off from all backend servers.
    written_ms : float
        Store time of the write.
    """

    incarnation: str
    relay_address: str
    failure_domain: str
    reaches_servers: bool
    written_ms: float


row_encoder = msgspec.msgpack.Encoder()
row_decoder = msgspec.msgpack.Decoder(EntryVmRow)


@dataclass(slots=True)
class KnownEntryVm:
    """Row of an entry VM, the version of its write, and how relaying to it went."""

    row: EntryVmRow
    version: int
    condition: ServerCondition = field(default_factory=ServerCondition)


class EntryVms(TableReader):
    """Rows of all entry VMs.

    Parameters
    ----------
    name : str
        Name of this entry VM.
    store_time : StoreTime
        Clock of the store, for the age of rows.

    Attributes
    ----------
    listeners : list of callable
        Called when another entry VM tells that it is cut off from all servers.
    """

    def __init__(self, name: str, store_time: StoreTime) -> None:
        self.name = name
        self.store_time = store_time
        self.known: dict[str, KnownEntryVm] = {}
        self.cached_helpers: list[ListedServer] = []
        self.cached_ms: float | None = None
        self.listeners: list[Callable[[], None]] = []

    def replace_rows(self, rows: Sequence[StoredRow]) -> None:
        """Record all rows of the table."""
        present = {row.row_key.key for row in rows}
        for name in [name for name in self.known if name not in present]:
            self.forget(name)
        self.change_rows(rows)

    def change_rows(self, rows: Sequence[StoredRow]) -> None:
        """Record changed rows."""
        for stored in rows:
            name = stored.row_key.key
            if stored.deleted:
                self.forget(name)
                continue
            row = self.unreadable.decode(stored, row_decoder.decode)
            if row is None:
                continue
            self.record(name, row, stored.version)

    def forget(self, name: str) -> None:
        """Forget an entry VM whose row was deleted."""
        self.unreadable.forget(name)
        self.known.pop(name, None)
        self.cached_ms = None

    def record(self, name: str, row: EntryVmRow, version: int) -> None:
        """Record a row that was read or written, unless a newer one is known."""
        known = self.known.get(name)
        if known is None:
            self.known[name] = KnownEntryVm(row, version)
        elif version > known.version:
            if known.row.incarnation != row.incarnation:
                known.condition = ServerCondition()
            known.row, known.version = row, version
        else:
            return
        self.cached_ms = None
        if name != self.name and not row.reaches_servers:
            for listener in self.listeners:
                listener()

    def helpers(self) -> list[ListedServer]:
        """Return the other entry VMs that reach servers and accept requests.

        The list is cached, because each relayed request reads it. Callers must not
        modify it.
        """
        now = self.store_time.now_or_local_ms()
        if self.cached_ms is None or now - self.cached_ms > HELPERS_TTL_MS:
            self.cached_helpers, self.cached_ms = self.list_helpers(), now
        return self.cached_helpers

    def list_helpers(self) -> list[ListedServer]:
        """Return the other entry VMs that reach servers and accept requests."""
        return [
            entry_vm
            for entry_vm in self.list_others()
            if self.known[entry_vm.name].row.reaches_servers
        ]

    def list_others(self) -> list[ListedServer]:
        """Return the other entry VMs, whether they reach servers or not."""
        return [
            ListedServer(
                name,
                "",
                known.row.relay_address,
                known.row.failure_domain,
                ServerStage.READY,
            )
            for name, known in self.known.items()
            if name != self.name
            and known.row.relay_address
            and self.store_time.age_ms(known.row.written_ms) <= MAX_ROW_AGE_MS
        ]

    def condition(self, name: str) -> ServerCondition:
        """Return how relaying to an entry VM went; not stored for an unknown one."""
        known = self.known.get(name)
        return known.condition if known is not None else ServerCondition()

    def is_cut_off(self, name: str) -> bool:
        """Return whether an entry VM tells that it reaches no server."""
        known = self.known.get(name)
        return known is not None and not known.row.reaches_servers
