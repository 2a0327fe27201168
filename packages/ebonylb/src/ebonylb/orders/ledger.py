"""Who may give orders to a server: rows in the platform's store, by groups."""

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from result import Err
from xxhash import xxh64_intdigest

from ..edges import Clock
from ..edges.row_store import Applied, Condition, Put, RowKey, RowStore, StoredRow
from ..storage.follower import TableReader

logger = logging.getLogger(__name__)

TABLE = "orders"
# After its row is written, the holder may send for this long by a clock that also
# counts suspension.
SEND_WINDOW_MS = 700.0
# Differences between the clocks of the store and of an entry VM over one term.
CLOCK_SLACK_MS = 100.0
# The steps of one round of orders end within this time of each other.
COALESCE_MS = 5.0
# Rows of one transaction: each has a condition and a write, of the 100 entries allowed.
MAX_ROWS_PER_WRITE = 40
# Two transactions write all rows. The loss of a holder stalls one group for a lease
# term, so that groups are as many as this allows.
GROUPS = 64


class OrderLease(msgspec.Struct, frozen=True):
    """Who ordered servers of a group last.

    Attributes
    ----------
    holder, incarnation : str
        Entry VM and its start.
    fence : int
        Fencing number; grows with each change of the holder.
    """

    holder: str
    incarnation: str
    fence: int


@dataclass(frozen=True, slots=True)
class ObservedLease:
    """A right with its row's version, and when this version was first seen here."""

    lease: OrderLease
    version: int
    observed_boot_ms: float


@dataclass(frozen=True, slots=True)
class SendPermit:
    """Permission to send one order, until a time of the suspension-counting clock."""

    fence: int
    valid_until_boot_ms: float


def row_key(group: str) -> RowKey:
    """Return the key of a group's row."""
    return RowKey(TABLE, "", group)


def group_of(server: str) -> str:
    """Return the group of a server; each group has one row and one holder."""
    return f"group-{xxh64_intdigest(server.encode()) % GROUPS:02d}"


class OrderLeases(TableReader):
    """Rights to order servers, by groups of servers.

    A holder writes its row before each order and sends within `SEND_WINDOW_MS` of the
    beginning of that write. Another entry VM writes the row only when it has seen it
    unchanged for that window and the lease term: then no two machines order one
    server within the term, whatever the clocks say. All entry VMs claim a new group
    at about the same time, so that groups, and not servers, bound the writes.

    Parameters
    ----------
    name, incarnation : str
        This entry VM and its start.
    lease_ms : float
        Time within which two machines may not order one server.
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
        self.observed: dict[str, ObservedLease] = {}
        self.pending_permits: dict[str, asyncio.Future[SendPermit | None]] = {}
        self.write_task: asyncio.Task[None] | None = None

    def replace_rows(self, rows: Sequence[StoredRow]) -> None:
        """Take over all rows."""
        self.change_rows(rows)

    def change_rows(self, rows: Sequence[StoredRow]) -> None:
        """Take over changed rows."""
        for row in rows:
            current = self.observed.get(row.at.key)
            if row.deleted or (current is not None and current.version >= row.version):
                continue
            try:
                lease = msgspec.json.decode(row.value, type=OrderLease)
            except msgspec.MsgspecError as error:
                logger.error(
                    "unreadable order row",
                    extra={"group": row.at.key, "cause": str(error)},
                )
                continue
            self.observed[row.at.key] = ObservedLease(
                lease, row.version, self.clock.boot_ms()
            )

    def can_claim(self, server: str) -> bool:
        """Tell whether this entry VM may write the row of a server's group now."""
        return self.can_write(group_of(server))

    def can_write(self, group: str) -> bool:
        """Tell whether this entry VM may write a group's row now."""
        current = self.observed.get(group)
        if current is None or current.lease.holder == self.name:
            return True
        return self.time_since_term_ms(current) >= 0

    def claimable_for_ms(self, server: str) -> float:
        """Return for how long others may have written the row of a server's group.

        Negative before the end of the holder's term; infinite without a holder.
        """
        current = self.observed.get(group_of(server))
        return float("inf") if current is None else self.time_since_term_ms(current)

    def time_since_term_ms(self, current: ObservedLease) -> float:
        """Return the time since the end of a holder's term, negative before it."""
        term_ms = SEND_WINDOW_MS + self.lease_ms + CLOCK_SLACK_MS
        return self.clock.boot_ms() - current.observed_boot_ms - term_ms

    def is_holder(self, server: str) -> bool:
        """Tell whether this entry VM is the holder of a server's group."""
        current = self.observed.get(group_of(server))
        return current is not None and current.lease.holder == self.name

    def has_lease(self, server: str) -> bool:
        """Tell whether a server's group has or had a holder."""
        return group_of(server) in self.observed

    async def request_permit(self, server: str) -> SendPermit | None:
        """Write the row and return the permission to send; None when refused.

        Rows that are asked for within `GATHER_MS` are written together, since a new
        version concerns many servers at once.
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
        """Write the rows that are asked for until none is left."""
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
        """Write rows in one transaction; once more without those that had changed."""
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
                # Should the write take effect later, the feed shows it.
                logger.info(
                    "order rows not written",
                    extra={"groups": list(leases), "cause": str(sent.err_value)},
                )
                break
            if isinstance(sent.ok_value, Applied):
                version = sent.ok_value.version
                for group, lease in leases.items():
                    self.observed[group] = ObservedLease(
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
        """Return the version of a group's row as known here; 0 when it has none."""
        current = self.observed.get(group)
        return current.version if current is not None else 0

    def next_lease(self, group: str) -> OrderLease:
        """Return the right that this entry VM writes for a group."""
        current = self.observed.get(group)
        fence = 1
        if current is not None:
            is_same_holder = (current.lease.holder, current.lease.incarnation) == (
                self.name,
                self.incarnation,
            )
            fence = current.lease.fence if is_same_holder else current.lease.fence + 1
        return OrderLease(self.name, self.incarnation, fence)

    def is_valid(self, permit: SendPermit) -> bool:
        """Tell whether an order may still be sent; to be asked right before."""
        return self.clock.boot_ms() < permit.valid_until_boot_ms
