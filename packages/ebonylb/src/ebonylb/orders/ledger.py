"""Who may give orders to a server: one row per server in the platform's store."""

import logging
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from result import Err

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


class OrderRight(msgspec.Struct, frozen=True):
    """Who ordered a server last.

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


class OrderLedger(TableReader):
    """Rights to order servers.

    A holder writes its row before each order and sends within `SEND_WINDOW_MS` of the
    beginning of that write. Another entry VM writes the row only when it has seen it
    unchanged for that window and the lease term: then no two machines order one
    server within the term, whatever the clocks say.

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
                    extra={"server": row.at.key, "cause": str(error)},
                )
                continue
            self.known[row.at.key] = KnownRight(
                right, row.version, self.clock.boot_ms()
            )

    def may_claim(self, server: str) -> bool:
        """Tell whether this entry VM may write a server's row now."""
        known = self.known.get(server)
        if known is None or known.right.holder == self.name:
            return True
        waited = self.clock.boot_ms() - known.seen_ms
        return waited >= SEND_WINDOW_MS + self.lease_ms + CLOCK_SLACK_MS

    def holds(self, server: str) -> bool:
        """Tell whether this entry VM ordered a server last."""
        known = self.known.get(server)
        return known is not None and known.right.holder == self.name

    async def permit(self, server: str) -> SendPermit | None:
        """Write the row and return the permission to send; None when refused."""
        if not self.may_claim(server):
            return None
        known = self.known.get(server)
        fence = 1
        if known is not None:
            same = (known.right.holder, known.right.incarnation) == (
                self.name,
                self.incarnation,
            )
            fence = known.right.fence if same else known.right.fence + 1
        right = OrderRight(self.name, self.incarnation, fence)
        key = RowKey(TABLE, "", server)
        began = self.clock.boot_ms()
        sent = await self.store.transact(
            [Condition(key, known.version if known else 0)],
            [Put(key, msgspec.json.encode(right))],
        )
        if isinstance(sent, Err):
            # Should the write take effect later, the feed shows it.
            logger.info(
                "order row not written",
                extra={"server": server, "cause": str(sent.err_value)},
            )
            return None
        if not isinstance(sent.ok_value, Applied):
            self.change_rows(sent.ok_value.rows)
            return None
        self.known[server] = KnownRight(right, sent.ok_value.version, began)
        return SendPermit(fence, began + SEND_WINDOW_MS)

    def is_valid(self, permit: SendPermit) -> bool:
        """Tell whether an order may still be sent; to be asked right before."""
        return self.clock.boot_ms() < permit.until_boot_ms
