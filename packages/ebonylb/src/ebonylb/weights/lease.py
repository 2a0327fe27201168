"""Leases in the table service, whose epoch is the fencing number of orders."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from ..edges import Check, Clock, Committed, Row, TableService, Write
from ..outcomes import StepError, new_token
from ..storage import transact_settled
from ..tasks import cancel_and_wait

TABLE = "lease"
# A successor of a dead holder waits for one term, within the 10 s in which a version
# has to be on all replicas. Each wave of orders checks the lease again, so that safety
# needs no long term.
TERM_MS = 3_000
# A holder stops by its own clock before another can take over, even when the two
# clocks differ in speed by some percent.
HOLDER_TERM_SHARE = 0.8
RENEWAL_TERM_SHARE = 0.3


@dataclass(slots=True)
class Observation:
    """A revision of the row and when this process first saw it."""

    revision: int
    first_seen_ms: float


class Lease:
    """One lease, as seen by one process.

    No clocks are compared. An observer that has seen the same revision of the row
    for the whole term, measured by its own monotonic clock from its own first
    reading, may take the lease over with a higher epoch. A holder counts its term
    from before it sent its last write, so it ends by its own count before that of
    any observer. A paused holder wakes without knowing that it lost the lease;
    therefore `check` reads the row strongly before each order.

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
        """Acquire or renew as needed.

        Returns
        -------
        Result
            The epoch; None while another process holds the lease.
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
        """Tell whether a row names this process and the epoch it holds."""
        return (
            row.value["holder"] == self.holder and row.value["epoch"] == self.epoch != 0
        )

    def is_expired(self, row: Row) -> bool:
        """Tell whether the row was released or stayed the same for its whole term."""
        if not row.value["holder"]:
            return True
        now = self.clock.monotonic_ms()
        if self.observation is None or self.observation.revision != row.revision:
            self.observation = Observation(row.revision, now)
        return now - self.observation.first_seen_ms >= row.value["term_ms"]

    async def write(
        self, revision: int, epoch: int, holder: str | None = None
    ) -> Result[int | None, StepError]:
        """Write the row by compare-and-set and settle a lost answer."""
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
        """Confirm by a strong read that this process holds the lease right now."""
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
        """Renew the lease while an operation of unknown length runs."""

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
        """Write additional fields into the held row."""
        if not self.epoch:
            return False
        self.value = {**self.value, **fields}
        response = await self.write(self.revision, self.epoch)
        return isinstance(response, Ok) and response.ok_value is not None

    async def release(self) -> None:
        """Give the lease up.

        When the platform does not confirm it, the epoch is kept, so that a later
        `hold` or `release` settles it. Without that, not even this process could
        take the lease again before the end of the term.
        """
        if not self.epoch:
            return
        response = await self.write(self.revision, self.epoch, holder="")
        if isinstance(response, Err):
            self.valid_until_ms = self.renew_at_ms = 0.0
            return
        self.epoch = 0
