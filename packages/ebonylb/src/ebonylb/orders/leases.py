"""Leases for sending orders to servers, one row of the store per group of servers."""

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from result import Err
from xxhash import xxh64_intdigest

from ..interfaces import Clock
from ..interfaces.row_store import Applied, Condition, Put, RowKey, RowStore, StoredRow
from ..storage.follower import TableReader

logger = logging.getLogger(__name__)

TABLE = "orders"
# A holder may send orders for this long after it began to write its row. Measured with
# a clock that also advances while the machine is suspended.
SEND_WINDOW_MS = 700.0
# Allowance for the drift between the clocks of the store and an entry VM in one term.
CLOCK_SLACK_MS = 100.0
# Permits requested within this time are written in one transaction: the orders of one
# round become due within it.
COALESCE_MS = 5.0
# A transaction has at most 100 entries, and each row needs a condition and a write.
MAX_ROWS_PER_WRITE = 40
# The loss of a holder stalls each of its groups for a lease term, so that many small
# groups are better. Two transactions can still write the rows of all 64.
GROUPS = 64


class OrderLease(msgspec.Struct, frozen=True):
    """Lease to order the servers of a group, as stored in the group's row.

    Attributes
    ----------
    holder, incarnation : str
        Entry VM that sends the orders, and its incarnation.
    fence : int
        Fencing number; grows with each change of the holder.
    """

    holder: str
    incarnation: str
    fence: int


@dataclass(frozen=True, slots=True)
class ObservedLease:
    """A lease with the version of its row and the time of the first observation of it.

    The time is that of the local clock that includes suspension. For a row written by
    this entry VM it is the beginning of the write.
    """

    lease: OrderLease
    version: int
    observed_boot_ms: float


@dataclass(frozen=True, slots=True)
class SendPermit:
    """Permission to send one order, valid until a time of the clock with suspension."""

    fence: int
    valid_until_boot_ms: float


def row_key(group: str) -> RowKey:
    """Return the key of a group's row."""
    return RowKey(TABLE, "", group)


def group_of(server: str) -> str:
    """Return the group of a server; each group has one row and one holder."""
    return f"group-{xxh64_intdigest(server.encode()) % GROUPS:02d}"


class OrderLeases(TableReader):
    """Leases to order servers, one for each group of servers.

    A holder writes its row before each order and sends the order within
    `SEND_WINDOW_MS` of the beginning of that write. Another entry VM writes the row
    only after it has seen the row unchanged for that window plus the lease term. Two
    entry VMs therefore never order the same server within one term, even if their wall
    clocks differ. All entry VMs claim a new group at about the same time; leases of
    groups rather than single servers bound the number of these writes.

    Parameters
    ----------
    name, incarnation : str
        Name and incarnation of this entry VM.
    lease_ms : float
        Time within which no two entry VMs may order the same server.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        name: str,
        incarnation: str,
        lease_ms: float,
    ) -> None:
        self.store = store
        self.clock = clock
        self.name = name
        self.incarnation = incarnation
        self.lease_ms = lease_ms
        self.observed_leases: dict[str, ObservedLease] = {}
        self.pending_permits: dict[str, asyncio.Future[SendPermit | None]] = {}
        self.write_task: asyncio.Task[None] | None = None

    def replace_rows(self, rows: Sequence[StoredRow]) -> None:
        """Record all rows of the table."""
        self.change_rows(rows)

    def change_rows(self, rows: Sequence[StoredRow]) -> None:
        """Record changed rows; older versions and deleted rows are ignored."""
        for row in rows:
            current = self.observed_leases.get(row.row_key.key)
            if row.deleted or (current is not None and current.version >= row.version):
                continue
            try:
                lease = msgspec.json.decode(row.value, type=OrderLease)
            except msgspec.MsgspecError as error:
                logger.error(
                    "order row cannot be decoded",
                    extra={"group": row.row_key.key, "cause": str(error)},
                )
                continue
            self.observed_leases[row.row_key.key] = ObservedLease(
                lease, row.version, self.clock.boot_ms()
            )

    def can_claim(self, server: str) -> bool:
        """Return whether this entry VM may write the row of a server's group now."""
        return self.can_write(group_of(server))

    def can_write(self, group: str) -> bool:
        """Return whether this entry VM holds a group or its holder's term has ended."""
        current = self.observed_leases.get(group)
        if current is None or current.lease.holder == self.name:
            return True
        return self.time_since_term_ms(current) >= 0

    def claimable_for_ms(self, server: str) -> float:
        """Return how long ago the lease of a server's group became claimable.

        Negative before the end of the holder's term; infinite for a group without a
        holder.
        """
        current = self.observed_leases.get(group_of(server))
        return float("inf") if current is None else self.time_since_term_ms(current)

    def time_since_term_ms(self, current: ObservedLease) -> float:
        """Return the time since the end of a holder's term, negative before it."""
        term_ms = SEND_WINDOW_MS + self.lease_ms + CLOCK_SLACK_MS
        return self.clock.boot_ms() - current.observed_boot_ms - term_ms

    def is_holder(self, server: str) -> bool:
        """Return whether this entry VM is the holder of a server's group."""
        current = self.observed_leases.get(group_of(server))
        return current is not None and current.lease.holder == self.name

    def holder_of(self, server: str) -> str:
        """Return the holder of a server's group; empty if there is none."""
        current = self.observed_leases.get(group_of(server))
        return current.lease.holder if current is not None else ""

    def has_lease(self, server: str) -> bool:
        """Return whether a server's group has a lease row, current or expired."""
        return group_of(server) in self.observed_leases

    async def request_permit(self, server: str) -> SendPermit | None:
        """Write the row of a server's group and return a permit to send one order.

        Return None when the group has another holder or the write fails. Rows requested
        within `COALESCE_MS` are written together, since a new version concerns many
        servers at once.
        """
        group = group_of(server)
        if not self.can_write(group):
            return None
        future = self.pending_permits.get(group)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self.pending_permits[group] = future
        if self.write_task is None or self.write_task.done():
            self.write_task = asyncio.create_task(self.write_pending())
        return await asyncio.shield(future)

    async def write_pending(self) -> None:
        """Write the rows of pending permits until none is left."""
        while self.pending_permits:
            await self.clock.sleep_ms(COALESCE_MS)
            requested = dict(list(self.pending_permits.items())[:MAX_ROWS_PER_WRITE])
            for group in requested:
                del self.pending_permits[group]
            permits: dict[str, SendPermit] = {}
            try:
                permits = await self.write(list(requested))
            finally:
                for group, future in requested.items():
                    future.set_result(permits.get(group))

    async def write(self, groups: list[str]) -> dict[str, SendPermit]:
        """Write rows in one transaction and return the permits by group.

        When some rows have changed meanwhile, the others are written in a second
        attempt.
        """
        for _ in range(2):
            leases = {g: self.next_lease(g) for g in groups if self.can_write(g)}
            if not leases:
                break
            versions = {group: self.version_of(group) for group in leases}
            started_boot_ms = self.clock.boot_ms()
            sent = await self.store.transact(
                [Condition(row_key(g), version) for g, version in versions.items()],
                [Put(row_key(g), msgspec.json.encode(r)) for g, r in leases.items()],
            )
            if isinstance(sent, Err):
                # If the write takes effect later, the table's feed delivers the row.
                logger.info(
                    "order rows not written",
                    extra={"groups": list(leases), "cause": str(sent.err_value)},
                )
                break
            if isinstance(sent.ok_value, Applied):
                version = sent.ok_value.version
                for group, lease in leases.items():
                    self.observed_leases[group] = ObservedLease(
                        lease, version, started_boot_ms
                    )
                valid_until_boot_ms = started_boot_ms + SEND_WINDOW_MS
                return {
                    g: SendPermit(lease.fence, valid_until_boot_ms)
                    for g, lease in leases.items()
                }
            self.change_rows(sent.ok_value.rows)
            groups = [g for g in leases if self.version_of(g) == versions[g]]
        return {}

    def version_of(self, group: str) -> int:
        """Return the last observed version of a group's row; 0 if there is no row."""
        current = self.observed_leases.get(group)
        return current.version if current is not None else 0

    def next_lease(self, group: str) -> OrderLease:
        """Return the lease that this entry VM writes for a group.

        The fence grows when the holder or its incarnation changes.
        """
        current = self.observed_leases.get(group)
        fence = 1
        if current is not None:
            is_same_holder = (current.lease.holder, current.lease.incarnation) == (
                self.name,
                self.incarnation,
            )
            fence = current.lease.fence if is_same_holder else current.lease.fence + 1
        return OrderLease(self.name, self.incarnation, fence)

    def is_valid(self, permit: SendPermit) -> bool:
        """Return whether an order may still be sent; call this right before sending."""
        return self.clock.boot_ms() < permit.valid_until_boot_ms
