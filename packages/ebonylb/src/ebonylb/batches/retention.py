"""Deletion of ended batches whose retention is over."""

import logging

from result import Err

from ..interfaces import Clock
from .progress_view import BatchProgressView
from .repository import BatchRepository

logger = logging.getLogger(__name__)

# Batches are kept this much longer than the retention, since the wall clocks of entry
# VMs differ.
DELETE_SLACK_MS = 60_000


class BatchRetention:
    """Deletes ended batches.

    Parameters
    ----------
    name : str
        Name of this entry VM.
    retention_ms : float
        Time after the submission during which a batch stays readable.
    """

    def __init__(
        self,
        name: str,
        progress_view: BatchProgressView,
        repository: BatchRepository,
        clock: Clock,
        retention_ms: float,
    ) -> None:
        self.name = name
        self.progress_view = progress_view
        self.repository = repository
        self.clock = clock
        self.retention_ms = retention_ms

    async def delete_expired(self) -> None:
        """Delete ended batches whose retention is over.

        The holder of a batch deletes it; others do so only after twice the time. A
        batch without a holder may be deleted by any entry VM.
        """
        now = self.clock.wall_ms()
        limit_ms = self.retention_ms + DELETE_SLACK_MS
        for observed in list(self.progress_view.by_batch_id.values()):
            header = observed.progress.header
            age_ms = now - header.submitted_unix_ms
            if not observed.progress.ended or age_ms < limit_ms:
                continue
            if (
                observed.progress.holder not in ("", self.name)
                and age_ms < 2 * limit_ms
            ):
                continue
            result = await self.repository.delete(observed.stored)
            if isinstance(result, Err):
                logger.warning("batch not deleted", extra={"batch": header.batch_id})
                return
            self.progress_view.remove(header.batch_id)
