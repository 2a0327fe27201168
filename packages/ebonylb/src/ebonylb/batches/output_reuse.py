"""Reuse of output of a trainer's previous step for repeated items of the next step."""

import asyncio
import logging

from result import Err

from ..outcomes import StepError
from .holder import BatchHolder
from .model import BatchHeader
from .progress_view import BatchProgressView
from .repository import BatchRepository
from .rows import item_hash

logger = logging.getLogger(__name__)


class StepOutputReuse:
    """Finds items of a batch that the trainer's previous step has begun to run.

    Parameters
    ----------
    progress_view : BatchProgressView
        Progress of all batches.
    repository : BatchRepository
        Source of their stored output.
    """

    def __init__(
        self, progress_view: BatchProgressView, repository: BatchRepository
    ) -> None:
        self.progress_view = progress_view
        self.repository = repository

    async def previous_step_hashes(
        self, header: BatchHeader
    ) -> dict[str, frozenset[int]]:
        """Return the item hashes of the trainer's previous step by batch id.

        Batches whose hashes cannot be read are left out.
        """
        if header.step < 1:
            return {}
        previous_ids = [
            observed.progress.header.batch_id
            for observed in self.progress_view.by_batch_id.values()
            if observed.progress.header.route == header.route
            and observed.progress.header.model == header.model
            and observed.progress.header.step == header.step - 1
        ]
        results = await asyncio.gather(*map(self.repository.item_hashes, previous_ids))
        hashes_by_batch = {}
        for batch_id, result in zip(previous_ids, results, strict=True):
            if isinstance(result, Err):
                self.log_read_failure(header.batch_id, result.err_value)
            else:
                hashes_by_batch[batch_id] = result.ok_value
        return hashes_by_batch

    async def reuse(
        self, holder: BatchHolder, hashes_by_batch: dict[str, frozenset[int]]
    ) -> None:
        """Pass stored output of repeated items to the holder of a batch.

        The output of a batch is read only if it has items of the new batch. Most steps
        have none, and reading all output of a step took 0.9 s on a small entry VM.
        """
        item_hashes = {item_hash(item.item_id) for item in holder.batch.items}
        for batch_id, hashes in hashes_by_batch.items():
            if not item_hashes & hashes:
                continue
            result = await self.repository.reusable_output(batch_id)
            if isinstance(result, Err):
                self.log_read_failure(holder.batch_id, result.err_value)
                continue
            output = result.ok_value
            reused_items = holder.reuse_output(output.results, output.partials)
            logger.info(
                "output of the previous step reused",
                extra={"batch": holder.batch_id, "items": reused_items},
            )

    def log_read_failure(self, batch_id: str, error: StepError) -> None:
        """Log that output could not be read; its items run from the start."""
        logger.info(
            "output of the previous step not read",
            extra={"batch": batch_id, "cause": str(error)},
        )
