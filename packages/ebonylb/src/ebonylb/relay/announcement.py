"""Row with which this entry VM tells the others that it runs and reaches servers."""

import asyncio
import logging

from result import Err

from ..fleet import ServerReachability
from ..interfaces import Clock
from ..interfaces.row_store import Condition, Mismatch, Put, RowKey, RowStore, StoredRow
from ..storage.follower import TableFollower
from ..storage.store_time import StoreTime
from .entry_vms import (
    MAX_ROW_AGE_MS,
    RENEWAL_INTERVAL_MS,
    TABLE,
    EntryVmRow,
    EntryVms,
    row_encoder,
)

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 5.0
RETRY_MS = 500.0
MAX_ROWS_PER_DELETION = 40


def row_key(name: str) -> RowKey:
    """Return the key of an entry VM's row."""
    return RowKey(TABLE, "", name)


class Announcement:
    """Writes this entry VM's row when what it tells has changed.

    Parameters
    ----------
    name, incarnation, failure_domain : str
        Identity and location of this entry VM.
    address : str
        ``ip:port`` for requests of other entry VMs; empty if it accepts none.
    entry_vms : EntryVms
        Rows of all entry VMs, also of this one.
    follower : TableFollower
        Keeps `entry_vms` current.
    reachability : ServerReachability
        Tells whether this entry VM reaches servers.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        failure_domain: str,
        address: str,
        store: RowStore,
        clock: Clock,
        store_time: StoreTime,
        entry_vms: EntryVms,
        follower: TableFollower,
        reachability: ServerReachability,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.failure_domain = failure_domain
        self.address = address
        self.store = store
        self.clock = clock
        self.store_time = store_time
        self.entry_vms = entry_vms
        self.follower = follower
        self.reachability = reachability
        self.leaving = False
        self.changed = asyncio.Event()
        reachability.listeners.append(self.changed.set)

    async def run(self) -> None:
        """Write the row when it is due, until cancelled."""
        await self.follower.loaded.wait()
        while True:
            self.changed.clear()
            if self.is_due() and not await self.write():
                await self.clock.sleep_ms(RETRY_MS)
                continue
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self.changed.wait()
            except TimeoutError:
                pass

    def current_row(self) -> EntryVmRow:
        """Return the row that would be written now."""
        return EntryVmRow(
            self.incarnation,
            self.address,
            self.failure_domain,
            not self.reachability.is_cut_off,
            self.store_time.now_ms(),
        )

    def is_due(self) -> bool:
        """Return whether the stored row differs from the current one, or is old."""
        if self.leaving:
            return False
        known = self.entry_vms.known.get(self.name)
        if known is None:
            return True
        row = self.current_row()
        return (row.incarnation, row.relay_address, row.reaches_servers) != (
            known.row.incarnation,
            known.row.relay_address,
            known.row.reaches_servers,
        ) or row.written_ms - known.row.written_ms >= RENEWAL_INTERVAL_MS

    async def write(self) -> bool:
        """Write the row and return whether that is confirmed.

        A write that the store applies late never replaces a newer row.
        """
        row = self.current_row()
        known = self.entry_vms.known.get(self.name)
        sent = await self.store.transact(
            [Condition(row_key(self.name), known.version if known else 0)],
            [Put(row_key(self.name), row_encoder.encode(row))],
        )
        if isinstance(sent, Err):
            logger.info(
                "row of entry VM not written", extra={"cause": str(sent.err_value)}
            )
            return False
        if isinstance(sent.ok_value, Mismatch):
            self.adopt(sent.ok_value.rows)
            return False
        self.entry_vms.record(self.name, row, sent.ok_value.version)
        await self.delete_expired()
        return True

    def adopt(self, rows: tuple[StoredRow, ...]) -> None:
        """Record the stored row after a write that it did not allow."""
        if rows:
            self.entry_vms.change_rows(rows)
        else:
            self.entry_vms.forget(self.name)

    async def delete_expired(self) -> None:
        """Delete rows of entry VMs that have ended long ago."""
        expired = [
            (row_key(name), known.version)
            for name, known in self.entry_vms.known.items()
            if self.store_time.age_ms(known.row.written_ms) > MAX_ROW_AGE_MS
        ][:MAX_ROWS_PER_DELETION]
        if expired:
            await self.store.transact(
                [Condition(key, version) for key, version in expired],
                [Put(key, None) for key, _ in expired],
            )

    async def withdraw(self) -> None:
        """Delete the row, since this entry VM leaves."""
        self.leaving = True
        known = self.entry_vms.known.get(self.name)
        if known is None:
            return
        key = row_key(self.name)
        sent = await self.store.transact(
            [Condition(key, known.version)], [Put(key, None)]
        )
        if isinstance(sent, Err):
            logger.info(
                "row of entry VM not deleted", extra={"cause": str(sent.err_value)}
            )
