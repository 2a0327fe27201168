"""Leases for named subjects, one row of the store for each subject."""

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from result import Err
from xxhash import xxh64_hexdigest

from ..interfaces import Clock
from ..interfaces.row_store import Applied, Condition, Put, RowKey, RowStore, StoredRow
from ..storage.follower import TableReader

logger = logging.getLogger(__name__)

# The name dates from the first use of leases. Older builds, which run beside this one
# during a rolling update, know the table by it.
TABLE = "orders"
# A holder may act for this long after it began to write its row. Measured with a clock
# that also advances while the machine is suspended.
SEND_WINDOW_MS = 700.0
# Allowance for the drift between the clocks of the store and an entry VM in one term.
CLOCK_SLACK_MS = 100.0
# Permits requested within this time are written in one transaction: the weight orders
# of one round become due within it.
COALESCE_MS = 5.0
# A transaction has at most 100 entries, and each row needs a condition and a write.
MAX_ROWS_PER_WRITE = 40
# The store accepts keys of up to 200 bytes.
MAX_SUBJECT_BYTES = 199


class Lease(msgspec.Struct, frozen=True):
    """Lease of a subject, as stored in the subject's row.

    Attributes
    ----------
    holder, incarnation : str
        Entry VM that acts on the subject, and its incarnation.
    fence : int
        Fencing number; grows with each change of the holder.
    """

    holder: str
    incarnation: str
    fence: int


lease_decoder = msgspec.json.Decoder(Lease)


@dataclass(frozen=True, slots=True)
class ObservedLease:
    """A lease with the version of its row and the time of the first observation of it.

    The time is that of the local clock that includes suspension. For a row written by
    this entry VM it is the beginning of the write.
    """

    lease: Lease
    version: int
    observed_boot_ms: float


@dataclass(frozen=True, slots=True)
class SendPermit:
    """Permission for one call, valid until a time of the clock with suspension."""

    fence: int
    valid_until_boot_ms: float


def row_key(subject: str) -> RowKey:
    """Return the key of a subject's row."""
    return RowKey(TABLE, "", subject)


def make_subject(*parts: str) -> str:
    """Return the subject with the given parts, short enough for the key of a row.

    A subject that is too long ends with a hash instead. Subjects that share a row by
    chance share their holder, which is safe.
    """
    subject = "/".join(parts)
    encoded = subject.encode()
    if len(encoded) <= MAX_SUBJECT_BYTES:
        return subject
    digest = xxh64_hexdigest(encoded)
    kept = encoded[: MAX_SUBJECT_BYTES - len(digest) - 1].decode(errors="ignore")
    return f"{kept}~{digest}"


class LeaseTable(TableReader):
    """Leases of named subjects.

    A holder writes the row of a subject before each call and makes the call within
    `SEND_WINDOW_MS` of the beginning of that write. Another entry VM writes the row
    only after it has seen the row unchanged for that window plus the lease term. Two
    entry VMs therefore never act on the same subject within one term, even if their
    wall clocks differ.

    Parameters
    ----------
    name, incarnation : str
        Name and incarnation of this entry VM.
    lease_ms : float
        Time within which no two entry VMs may act on the same subject.
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
            lease = self.unreadable.decode(row, lease_decoder.decode)
            if lease is None:
                continue
            self.observed_leases[row.row_key.key] = ObservedLease(
                lease, row.version, self.clock.boot_ms()
            )

    def can_claim(self, subject: str) -> bool:
        """Return whether this entry VM may write the row of a subject now.

        That is, whether it holds the subject or the term of its holder has ended.
        """
        current = self.observed_leases.get(subject)
        if current is None or current.lease.holder == self.name:
            return True
        return self.time_since_term_ms(current) >= 0

    def claimable_for_ms(self, subject: str) -> float:
        """Return how long ago the lease of a subject became claimable.

        Negative before the end of the holder's term; infinite for a subject without a
        holder.
        """
        current = self.observed_leases.get(subject)
        return float("inf") if current is None else self.time_since_term_ms(current)

    def time_since_term_ms(self, current: ObservedLease) -> float:
        """Return the time since the end of a holder's term, negative before it."""
        return self.clock.boot_ms() - current.observed_boot_ms - self.term_ms

    @property
    def term_ms(self) -> float:
        """Time without a change of its row after which a lease has ended."""
        return SEND_WINDOW_MS + self.lease_ms + CLOCK_SLACK_MS

    def unchanged_for_ms(self, subject: str) -> float:
        """Return how long the row of a subject has been seen unchanged.

        Infinite for a subject without a holder.
        """
        current = self.observed_leases.get(subject)
        if current is None:
            return float("inf")
        return self.clock.boot_ms() - current.observed_boot_ms

    def is_holder(self, subject: str) -> bool:
        """Return whether this entry VM is the holder of a subject."""
        current = self.observed_leases.get(subject)
        return current is not None and current.lease.holder == self.name

    def holder_of(self, subject: str) -> str:
        """Return the holder of a subject; empty if there is none."""
        current = self.observed_leases.get(subject)
        return current.lease.holder if current is not None else ""

    def has_lease(self, subject: str) -> bool:
        """Return whether a subject has a lease row, current or expired."""
        return subject in self.observed_leases

    async def request_permit(self, subject: str) -> SendPermit | None:
        """Write the row of a subject and return a permit for one call.

        Return None when the subject has another holder or the write fails. Rows
        requested within `COALESCE_MS` are written together, since a new weight version
        concerns many servers at once.
        """
        if not self.can_claim(subject):
            return None
        future = self.pending_permits.get(subject)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self.pending_permits[subject] = future
        if self.write_task is None or self.write_task.done():
            self.write_task = asyncio.create_task(self.write_pending())
        return await asyncio.shield(future)

    async def write_pending(self) -> None:
        """Write the rows of pending permits until none is left."""
        while self.pending_permits:
            await self.clock.sleep_ms(COALESCE_MS)
            requested = dict(list(self.pending_permits.items())[:MAX_ROWS_PER_WRITE])
            for subject in requested:
                del self.pending_permits[subject]
            permits: dict[str, SendPermit] = {}
            try:
                permits = await self.write(list(requested))
            finally:
                for subject, future in requested.items():
                    future.set_result(permits.get(subject))

    async def write(self, subjects: list[str]) -> dict[str, SendPermit]:
        """Write rows in one transaction and return the permits by subject.

        When some rows have changed meanwhile, the others are written in a second
        attempt.
        """
        for _ in range(2):
            leases = {s: self.next_lease(s) for s in subjects if self.can_claim(s)}
            if not leases:
                break
            versions = {subject: self.version_of(subject) for subject in leases}
            started_boot_ms = self.clock.boot_ms()
            sent = await self.store.transact(
                [Condition(row_key(s), version) for s, version in versions.items()],
                [Put(row_key(s), msgspec.json.encode(r)) for s, r in leases.items()],
            )
            if isinstance(sent, Err):
                # If the write takes effect later, the table's feed delivers the row.
                logger.info(
                    "lease rows not written",
                    extra={"subjects": list(leases), "cause": str(sent.err_value)},
                )
                break
            if isinstance(sent.ok_value, Applied):
                version = sent.ok_value.version
                for subject, lease in leases.items():
                    self.observed_leases[subject] = ObservedLease(
                        lease, version, started_boot_ms
                    )
                valid_until_boot_ms = started_boot_ms + SEND_WINDOW_MS
                return {
                    s: SendPermit(lease.fence, valid_until_boot_ms)
                    for s, lease in leases.items()
                }
            self.change_rows(sent.ok_value.rows)
            subjects = [s for s in leases if self.version_of(s) == versions[s]]
        return {}

    def version_of(self, subject: str) -> int:
        """Return the last observed version of a subject's row; 0 if there is no row."""
        current = self.observed_leases.get(subject)
        return current.version if current is not None else 0

    def next_lease(self, subject: str) -> Lease:
        """Return the lease that this entry VM writes for a subject.

        The fence grows when the holder or its incarnation changes.
        """
        current = self.observed_leases.get(subject)
        fence = 1
        if current is not None:
            is_same_holder = (current.lease.holder, current.lease.incarnation) == (
                self.name,
                self.incarnation,
            )
            fence = current.lease.fence if is_same_holder else current.lease.fence + 1
        return Lease(self.name, self.incarnation, fence)

    def is_valid(self, permit: SendPermit) -> bool:
        """Return whether a call may still be made; ask this right before the call."""
        return self.clock.boot_ms() < permit.valid_until_boot_ms
