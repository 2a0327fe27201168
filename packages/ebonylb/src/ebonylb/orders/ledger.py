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
GATHER_MS = 5.0
# Rows of one transaction: each has a condition and a write, of the 100 entries allowed.
MOST_ROWS = 40
# Two transactions write all rows. The loss of a holder stalls one group for a lease
# term, so that groups are as many as this allows.
GROUPS = 64


class OrderRight(msgspec.Struct, frozen=True):
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
class KnownRight:
    """A right with its row's version, and when this version was first seen here."""

    right: OrderRight
    version: int
    seen_ms: float


@dataclass(frozen=True, slots=True)
class SendPermit:
    """Permission to send one order, until a time of the suspension-counting clock."""

    fence: int
    until_boot_ms: float


def row_key(group: str) -> RowKey:
    """Return the key of a group's row."""
    return RowKey(TABLE, "", group)


def group_of(server: str) -> str:
    """Return the group of a server; each group has one row and one holder."""
    return f"group-{xxh64_intdigest(server.encode()) % GROUPS:02d}"


class OrderLedger(TableReader):
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
        self.known: dict[str, KnownRight] = {}
        self.asked: dict[str, asyncio.Future[SendPermit | None]] = {}
        self.writing: asyncio.Task[None] | None = None

    def replace_rows(self, rows: Sequence[StoredRow]) -> None:
        """Take over all rows."""
        self.change_rows(rows)

    def change_rows(self, rows: Sequence[StoredRow]) -> None:
        """Take over changed rows."""
        for row in rows:
            known = self.known.get(row.at.key)
            if row.deleted or (known is not None and known.version >= row.version):
                continue
            try:
                right = msgspec.json.decode(row.value, type=OrderRight)
            except msgspec.MsgspecError as error:
                logger.error(
                    "unreadable order row",
                    extra={"group": row.at.key, "cause": str(error)},
                )
                continue
            self.known[row.at.key] = KnownRight(
                right, row.version, self.clock.boot_ms()
            )

    def may_claim(self, server: str) -> bool:
        """Tell whether this entry VM may write the row of a server's group now."""
        return self.may_write(group_of(server))

    def may_write(self, group: str) -> bool:
        """Tell whether this entry VM may write a group's row now."""
        known = self.known.get(group)
        if known is None or known.right.holder == self.name:
            return True
        return self.past_term_ms(known) >= 0

    def claimable_for_ms(self, server: str) -> float:
        """Return for how long others may have written the row of a server's group.

        Negative before the end of the holder's term; infinite without a holder.
        """
        known = self.known.get(group_of(server))
        return float("inf") if known is None else self.past_term_ms(known)

    def past_term_ms(self, known: KnownRight) -> float:
        """Return the time since the end of a holder's term, negative before it."""
        term = SEND_WINDOW_MS + self.lease_ms + CLOCK_SLACK_MS
        return self.clock.boot_ms() - known.seen_ms - term

    def holds(self, server: str) -> bool:
        """Tell whether this entry VM is the holder of a server's group."""
        known = self.known.get(group_of(server))
        return known is not None and known.right.holder == self.name

    def is_known(self, server: str) -> bool:
        """Tell whether a server's group has or had a holder."""
        return group_of(server) in self.known

    async def permit(self, server: str) -> SendPermit | None:
        """Write the row and return the permission to send; None when refused.

        Rows that are asked for within `GATHER_MS` are written together, since a new
        version concerns many servers at once.
        """
        group = group_of(server)
        if not self.may_write(group):
            return None
        answer = self.asked.get(group)
        if answer is None:
            answer = asyncio.get_running_loop().create_future()
            self.asked[group] = answer
        if self.writing is None or self.writing.done():
            self.writing = asyncio.create_task(self.write_asked())
        return await asyncio.shield(answer)

    async def write_asked(self) -> None:
        """Write the rows that are asked for until none is left."""
        while self.asked:
            await self.clock.sleep_ms(GATHER_MS)
            chosen = dict(list(self.asked.items())[:MOST_ROWS])
            for group in chosen:
                del self.asked[group]
            permits: dict[str, SendPermit] = {}
            try:
                permits = await self.write(list(chosen))
            finally:
                for group, answer in chosen.items():
                    answer.set_result(permits.get(group))

    async def write(self, groups: list[str]) -> dict[str, SendPermit]:
        """Write rows in one transaction; once more without those that had changed."""
        for _ in range(2):
            rights = {g: self.next_right(g) for g in groups if self.may_write(g)}
            if not rights:
                break
            versions = {group: self.version_of(group) for group in rights}
            began = self.clock.boot_ms()
            sent = await self.store.transact(
                [Condition(row_key(g), version) for g, version in versions.items()],
                [Put(row_key(g), msgspec.json.encode(r)) for g, r in rights.items()],
            )
            if isinstance(sent, Err):
                # Should the write take effect later, the feed shows it.
                logger.info(
                    "order rows not written",
                    extra={"groups": list(rights), "cause": str(sent.err_value)},
                )
                break
            if isinstance(sent.ok_value, Applied):
                version = sent.ok_value.version
                for group, right in rights.items():
                    self.known[group] = KnownRight(right, version, began)
                until = began + SEND_WINDOW_MS
                return {
                    g: SendPermit(right.fence, until) for g, right in rights.items()
                }
            self.change_rows(sent.ok_value.rows)
            groups = [g for g in rights if self.version_of(g) == versions[g]]
        return {}

    def version_of(self, group: str) -> int:
        """Return the version of a group's row as known here; 0 when it has none."""
        known = self.known.get(group)
        return known.version if known is not None else 0

    def next_right(self, group: str) -> OrderRight:
        """Return the right that this entry VM writes for a group."""
        known = self.known.get(group)
        fence = 1
        if known is not None:
            same = (known.right.holder, known.right.incarnation) == (
                self.name,
                self.incarnation,
            )
            fence = known.right.fence if same else known.right.fence + 1
        return OrderRight(self.name, self.incarnation, fence)

    def is_valid(self, permit: SendPermit) -> bool:
        """Tell whether an order may still be sent; to be asked right before."""
        return self.clock.boot_ms() < permit.until_boot_ms
