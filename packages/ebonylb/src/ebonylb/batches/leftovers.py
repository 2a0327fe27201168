"""Text of a trainer's last step that the next one may use."""

import asyncio
import logging

from result import Err

from ..outcomes import StepError
from .board import BatchBoard
from .holder import BatchHolder
from .model import BatchHeader
from .repository import BatchRepository
from .rows import item_hash

logger = logging.getLogger(__name__)


class StepLeftovers:
    """Finds unfinished items of one step among those of the next.

    Parameters
    ----------
    board : BatchBoard
        Progress of all batches.
    repository : BatchRepository
        Where their text is stored.
    """

    def __init__(self, board: BatchBoard, repository: BatchRepository) -> None:
        self.board = board
        self.repository = repository

    async def last_step(self, header: BatchHeader) -> dict[str, frozenset[int]]:
        """Return the hashes of the items of the trainer's last step, by batch."""
        if header.step < 1:
            return {}
        earlier = [
            seen.progress.header.batch_id
            for seen in self.board.seen.values()
            if seen.progress.header.route == header.route
            and seen.progress.header.model == header.model
            and seen.progress.header.step == header.step - 1
        ]
        answers = await asyncio.gather(*map(self.repository.item_hashes, earlier))
        found = {}
        for batch_id, answer in zip(earlier, answers, strict=True):
            if isinstance(answer, Err):
                self.note_unread(header.batch_id, answer.err_value)
            else:
                found[batch_id] = answer.ok_value
        return found

    async def use(
        self, holder: BatchHolder, earlier: dict[str, frozenset[int]]
    ) -> None:
        """Take over stored text of items that the last step left unfinished.

        Most steps have no such items, and reading all text of a step took 0.9 s on a
        small entry VM.
        """
        wanted = {item_hash(item.item_id) for item in holder.batch.items}
        for batch_id, hashes in earlier.items():
            if not wanted & hashes:
                continue
            answer = await self.repository.leftovers(batch_id)
            if isinstance(answer, Err):
                self.note_unread(holder.batch_id, answer.err_value)
                continue
            left = answer.ok_value
            used = holder.carry_over(left.results, left.partials)
            logger.info(
                "leftovers used", extra={"batch": holder.batch_id, "items": used}
            )

    def note_unread(self, batch_id: str, error: StepError) -> None:
        """Log leftovers that could not be read; their items run from the start."""
        logger.info(
            "leftovers not read", extra={"batch": batch_id, "cause": str(error)}
        )
