"""Leases in the table service; their epoch is the fencing number of orders."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from ..interfaces import Check, Clock, Committed, Row, TableService, Write
from ..outcomes import StepError, new_token
from ..storage import transact_settled
from ..tasks import cancel_and_wait

TABLE = "lease"
# The successor of a dead holder waits for one term, within the 10 s in which a version
# has to be on all replicas. A longer term is not needed for safety, because the lease
# is checked again before each wave of orders.
TERM_MS = 3_000
# A holder stops before another process can take over, even if the speeds of their
# clocks differ by some percent.
HOLDER_TERM_SHARE = 0.8
RENEWAL_TERM_SHARE = 0.3


@dataclass(slots=True)
class Observation:
    """A revision of the row and the time at which this process first read it."""

    revision: int
    first_seen_ms: float


class Lease:
    """State of one lease in one process.

    Clocks of different processes are never compared. An observer that has read the same
    revision of the row for the whole term, measured by its own monotonic clock from its
    first read, may take over the lease with a higher epoch. The holder's term starts
    before its last write is sent, so it ends before the term that any observer
    measures. A holder that was paused doesn't know that it lost the lease; therefore
    `check` confirms the lease with a strong read of the row before each order.

    Parameters
    ----------
    tables : TableService
        The platform's table service.
    clock : Clock
        Monotonic clock.
    key : str
        Key of the row in the table `lease`.
    holder : str
        Name and incarnation of this process.
    term_ms : float
        Term of the lease.
    """

    def __init__(
        self,
        tables: TableService,
        clock: Clock,
        key: str,
        holder: str,
        term_ms: float = TERM_MS,
    ) -> None:
        self.tables = tables
        self.clock = clock
        self.key = key
        self.holder = holder
        self.term_ms = term_ms
        self.epoch = 0
        self.revision = 0
        self.valid_until_ms = 0.0
        self.renew_at_ms = 0.0
        self.value: dict[str, Any] = {}
        self.observation: Observation | None = None

    async def hold(self) -> Result[int | None, StepError]:
        """Acquire or renew the lease if needed.

        Returns
        -------
        Result
            The epoch, or None while another process holds the lease.
        """
        now = self.clock.monotonic_ms()
        if self.epoch and now < min(self.renew_at_ms, self.valid_until_ms):
            return Ok(self.epoch)
        response = await self.tables.read(TABLE, self.key, strong=True)
        if isinstance(response, Err):
            return response
        row = response.ok_value
        if row is None:
            return await self.write(0, 1)
        self.value = row.value
        if self.is_held_here(row):
            return await self.write(row.revision, row.value["epoch"])
        self.epoch = 0
        if self.is_expired(row):
            return await self.write(row.revision, row.value["epoch"] + 1)
        return Ok(None)

    def is_held_here(self, row: Row) -> bool:
        """Return whether a row contains this process and the epoch that it holds."""
        return (
            row.value["holder"] == self.holder and row.value["epoch"] == self.epoch != 0
        )

    def is_expired(self, row: Row) -> bool:
        """Return whether the lease was released or unchanged for its whole term."""
        if not row.value["holder"]:
            return True
        now = self.clock.monotonic_ms()
        if self.observation is None or self.observation.revision != row.revision:
            self.observation = Observation(row.revision, now)
        return now - self.observation.first_seen_ms >= row.value["term_ms"]

    async def write(
        self, revision: int, epoch: int, holder: str | None = None
    ) -> Result[int | None, StepError]:
        """Write the row by compare-and-set, repeated if the response is lost."""
        sent_ms = self.clock.monotonic_ms()
        value = {
            **self.value,
            "holder": self.holder if holder is None else holder,
            "epoch": epoch,
            "term_ms": self.term_ms,
        }
        response = await transact_settled(
            self.tables,
            self.clock,
            new_token(),
            [Check(TABLE, self.key, revision)],
            [Write(TABLE, self.key, value)],
            self.term_ms / 4,
        )
        if isinstance(response, Err):
            return response
        if not isinstance(response.ok_value, Committed):
            self.epoch = 0
            return Ok(None)
        self.epoch = epoch
        self.revision = revision + 1
        self.value = value
        self.valid_until_ms = sent_ms + self.term_ms * HOLDER_TERM_SHARE
        self.renew_at_ms = sent_ms + self.term_ms * RENEWAL_TERM_SHARE
        return Ok(epoch)

    async def check(self) -> bool:
        """Return whether this process holds the lease, confirmed by a strong read."""
        response = await self.tables.read(TABLE, self.key, strong=True)
        if isinstance(response, Err) or response.ok_value is None:
            return False
        row = response.ok_value
        is_held = self.is_held_here(row)
        if not is_held:
            self.epoch = 0
        self.value = row.value
        return is_held and self.clock.monotonic_ms() < self.valid_until_ms

    @asynccontextmanager
    async def keep_renewed(self) -> AsyncIterator[None]:
        """Renew the lease regularly during an operation of unknown duration."""

        async def renew() -> None:
            while True:
                await self.clock.sleep_ms(self.term_ms * RENEWAL_TERM_SHARE)
                await self.hold()

        task = asyncio.create_task(renew(), name=f"lease-{self.key}")
        try:
            yield
        finally:
            await cancel_and_wait([task])

    async def store_fields(self, fields: dict[str, Any]) -> bool:
        """Write additional fields into the row of a lease that is held."""
        if not self.epoch:
            return False
        self.value = {**self.value, **fields}
        response = await self.write(self.revision, self.epoch)
        return isinstance(response, Ok) and response.ok_value is not None

    async def release(self) -> None:
        """Release the lease.

        If the platform doesn't confirm the release, the epoch is kept, so that a later
        `hold` or `release` completes it. Otherwise not even this process could acquire
        the lease again before the end of the term.
        """
        if not self.epoch:
            return
        response = await self.write(self.revision, self.epoch, holder="")
        if isinstance(response, Err):
            self.valid_until_ms = self.renew_at_ms = 0.0
            return
        self.epoch = 0
