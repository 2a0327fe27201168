"""The progress of all batches, as followed from the store."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from ..edges import Clock
from ..edges.row_store import StoredRow
from ..storage.follower import TableReader
from ..storage.store_time import StoreTime
from . import rows
from .model import Progress
from .repository import StoredProgress

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Seen:
    """A progress row, and when its last change was seen here."""

    stored: StoredProgress
    changed_ms: float

    @property
    def progress(self) -> Progress:
        """The progress itself."""
        return self.stored.progress


class BatchBoard(TableReader):
    """Progress by batch id; versions only move forward.

    Parameters
    ----------
    clock : Clock
        Source of time.
    store_time : StoreTime
        Tells how old a row is that was there before this entry VM started.
    """

    def __init__(self, clock: Clock, store_time: StoreTime) -> None:
        self.clock = clock
        self.store_time = store_time
        self.seen: dict[str, Seen] = {}
        self.listeners: list[Callable[[Seen], None]] = []
        self.changed = asyncio.Event()

    def get(self, batch_id: str) -> Progress | None:
        """Return the progress of a batch, if it is known here."""
        found = self.seen.get(batch_id)
        return found.progress if found else None

    def note(self, stored: StoredProgress) -> None:
        """Take over a progress row that was read or written."""
        batch_id = stored.progress.header.batch_id
        known = self.seen.get(batch_id)
        if known is not None and known.stored.version >= stored.version:
            return
        seen = Seen(stored, self.clock.monotonic_ms())
        self.seen[batch_id] = seen
        self.changed.set()
        self.changed = asyncio.Event()
        for listener in self.listeners:
            listener(seen)

    def forget(self, batch_id: str) -> None:
        """Drop a deleted batch."""
        self.seen.pop(batch_id, None)

    def replace_rows(self, found: Sequence[StoredRow]) -> None:
        """Take over all rows; batches that are not among them were deleted."""
        present = {row.at.key for row in found}
        newest = max((row.version for row in found), default=0)
        for batch_id in [b for b in self.seen if b not in present]:
            if self.seen[batch_id].stored.version <= newest:
                self.forget(batch_id)
        known = set(self.seen)
        self.change_rows(found)
        for batch_id, seen in self.seen.items():
            if batch_id not in known:
                seen.changed_ms -= self.store_time.age_ms(seen.progress.written_ms)

    def change_rows(self, found: Sequence[StoredRow]) -> None:
        """Take over changed and deleted rows."""
        for row in found:
            if row.deleted:
                self.forget(row.at.key)
                continue
            try:
                progress = rows.decode_progress(row)
            except msgspec.MsgspecError as error:
                logger.error(
                    "unreadable progress row",
                    extra={"batch": row.at.key, "cause": str(error)},
                )
                continue
            self.note(StoredProgress(progress, row.version))

    async def wait_for_result(self, batch_id: str, after: int, limit_ms: float) -> None:
        """Wait until a batch has a result at a position, at most for a time."""
        try:
            async with asyncio.timeout(limit_ms / 1000):
                while True:
                    found = self.seen.get(batch_id)
                    if found and (
                        found.progress.listed > after or found.progress.ended
                    ):
                        return
                    await self.changed.wait()
        except TimeoutError:
            return
