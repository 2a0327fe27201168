"""Local view of the progress of all batches, kept current by a table follower."""

import asyncio
import functools
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..interfaces import Clock
from ..interfaces.row_store import StoredRow
from ..storage.follower import TableReader
from ..storage.store_time import StoreTime
from . import rows
from .model import Progress
from .repository import StoredProgress


@dataclass(slots=True)
class ObservedProgress:
    """A progress row and the monotonic time at which its last change was observed."""

    stored: StoredProgress
    changed_ms: float

    @property
    def progress(self) -> Progress:
        """Content of the progress row."""
        return self.stored.progress


class BatchProgressView(TableReader):
    """Progress of all batches by batch id; older versions of a row are ignored.

    Parameters
    ----------
    clock : Clock
        Source of time.
    store_time : StoreTime
        Clock of the store, for the age of rows written before this entry VM started.
    """

    def __init__(self, clock: Clock, store_time: StoreTime) -> None:
        self.clock = clock
        self.store_time = store_time
        self.by_batch_id: dict[str, ObservedProgress] = {}
        self.listeners: list[Callable[[ObservedProgress], None]] = []
        self.change_event = asyncio.Event()

    def get(self, batch_id: str) -> Progress | None:
        """Return the progress of a batch, or None if this entry VM has not seen it."""
        observed = self.by_batch_id.get(batch_id)
        return observed.progress if observed else None

    def record(self, stored: StoredProgress) -> None:
        """Record a progress row that was read or written, and notify the listeners."""
        batch_id = stored.progress.header.batch_id
        previous = self.by_batch_id.get(batch_id)
        if previous is not None and previous.stored.version >= stored.version:
            return
        observed = ObservedProgress(stored, self.clock.monotonic_ms())
        self.by_batch_id[batch_id] = observed
        self.change_event.set()
        self.change_event = asyncio.Event()
        for listener in self.listeners:
            listener(observed)

    def remove(self, batch_id: str) -> None:
        """Remove a deleted batch."""
        self.by_batch_id.pop(batch_id, None)

    def replace_rows(self, stored_rows: Sequence[StoredRow]) -> None:
        """Record all rows of the table and remove the batches that have none.

        A batch recorded with a version newer than all rows was created after the read
        and is kept. New batches get the age that the store's clock shows for them.
        """
        present = {row.row_key.key for row in stored_rows}
        newest = max((row.version for row in stored_rows), default=0)
        for batch_id in [b for b in self.by_batch_id if b not in present]:
            if self.by_batch_id[batch_id].stored.version <= newest:
                self.remove(batch_id)
        previous_ids = set(self.by_batch_id)
        self.change_rows(stored_rows)
        for batch_id, observed in self.by_batch_id.items():
            if batch_id not in previous_ids:
                observed.changed_ms -= self.store_time.age_ms(
                    observed.progress.written_ms
                )

    def change_rows(self, stored_rows: Sequence[StoredRow]) -> None:
        """Record changed rows and remove deleted batches."""
        for row in stored_rows:
            if row.deleted:
                self.remove(row.row_key.key)
                self.unreadable.forget(row.row_key.key)
                continue
            progress = self.unreadable.read(
                row, functools.partial(rows.decode_progress, row)
            )
            if progress is None:
                continue
            self.record(StoredProgress(progress, row.version))

    async def wait_for_result(
        self, batch_id: str, position: int, timeout_ms: float
    ) -> None:
        """Wait until a batch has a result at a position or has ended, or a timeout."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                while True:
                    observed = self.by_batch_id.get(batch_id)
                    if observed and (
                        observed.progress.listed > position or observed.progress.ended
                    ):
                        return
                    await self.change_event.wait()
        except TimeoutError:
            return
