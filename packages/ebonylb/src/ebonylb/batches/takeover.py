"""Takeover of batches from other holders."""

import asyncio
import logging
from collections.abc import Mapping
from dataclasses import dataclass

from result import Err, Ok

from ..interfaces import Clock
from ..outcomes import new_token
from ..storage.follower import TableFollower
from .holder import BatchHolder
from .model import Progress
from .output_reuse import StepOutputReuse
from .progress_view import BatchProgressView, ObservedProgress
from .repository import BatchContent, BatchRepository, StoredProgress
from .takeover_rule import SILENCE_TIMEOUT_MS, TakeoverRule

logger = logging.getLogger(__name__)

# Attempts to write a claim when the outcome of a write is unclear.
MAX_CLAIM_ATTEMPTS = 3
# Pause after a failed claim before the batch is considered again.
RETRY_MS = 80.0


@dataclass(frozen=True, slots=True)
class ClaimedBatch:
    """A claimed batch with its stored content, to be resumed here.

    Parameters
    ----------
    stored : StoredProgress
        Progress row with the claim.
    previous_hashes : dict of str to frozenset of int
        Item hashes of the trainer's previous step by batch id.
    """

    stored: StoredProgress
    content: BatchContent
    previous_hashes: dict[str, frozenset[int]]


class BatchTakeover:
    """Judges the holders of batches, and claims and releases batches.

    Parameters
    ----------
    name, incarnation : str
        Name and incarnation of this entry VM.
    follower : TableFollower
        Keeps the progress view current. A holder counts as silent only while the
        follower is healthy.
    output_reuse : StepOutputReuse
        Finds output of earlier steps.
    holders : mapping of str to BatchHolder
        Batches that run on this entry VM by id.

    Attributes
    ----------
    claiming_ids, releasing_ids : set of str
        Batches that this entry VM is about to run, or has released a moment ago.
    rule : TakeoverRule
        Decides which batches this entry VM takes over.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        progress_view: BatchProgressView,
        follower: TableFollower,
        repository: BatchRepository,
        clock: Clock,
        output_reuse: StepOutputReuse,
        holders: Mapping[str, BatchHolder],
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.progress_view = progress_view
        self.repository = repository
        self.clock = clock
        self.output_reuse = output_reuse
        self.holders = holders
        self.claiming_ids: set[str] = set()
        self.releasing_ids: set[str] = set()
        self.rule = TakeoverRule(name, incarnation, follower)

    def is_held_here(self, progress: Progress) -> bool:
        """Return whether a progress row names this process as holder."""
        return (progress.holder, progress.incarnation) == (self.name, self.incarnation)

    def should_take_over(self, observed: ObservedProgress, now_ms: float) -> bool:
        """Return whether this entry VM should take a batch over now."""
        progress = observed.progress
        batch_id = progress.header.batch_id
        if progress.ended:
            self.rule.forget(batch_id)
            return False
        if self.is_handling(batch_id):
            self.rule.end_handover(batch_id)
            return False
        return self.rule.is_due(observed, now_ms)

    def is_held_by_earlier_incarnation(self, progress: Progress) -> bool:
        """Return whether a row names an earlier incarnation of this entry VM."""
        return progress.holder == self.name and progress.incarnation != self.incarnation

    def is_handling(self, batch_id: str) -> bool:
        """Return whether this entry VM runs, claims or has just released a batch."""
        return (
            batch_id in self.holders
            or batch_id in self.claiming_ids
            or batch_id in self.releasing_ids
        )

    async def release(self, stored: StoredProgress) -> None:
        """Remove the holder of a batch and give other entry VMs time to claim it."""
        batch_id = stored.progress.header.batch_id
        self.releasing_ids.add(batch_id)
        logger.info(
            "batch left to others",
            extra={"batch": batch_id, "in_progress": len(self.holders)},
        )
        try:
            await self.write_release(stored)
            await self.clock.sleep_ms(SILENCE_TIMEOUT_MS)
        finally:
            self.releasing_ids.discard(batch_id)

    async def claim_content(
        self, stored: StoredProgress, confirm_first: bool
    ) -> ClaimedBatch | None:
        """Claim a batch and read its content; None if either failed.

        If `confirm_first`, the row is read before the claim and must be unchanged.
        """
        batch_id = stored.progress.header.batch_id
        started_ms = self.clock.monotonic_ms()
        if confirm_first and not await self.is_unchanged(stored):
            await self.clock.sleep_ms(RETRY_MS)
            return None
        # Claim before reading, since the entry VM that handed the batch over waits for
        # the claim.
        claimed = await self.claim(stored)
        if claimed is None:
            await self.clock.sleep_ms(RETRY_MS)
            return None
        loaded, previous_hashes = await asyncio.gather(
            self.repository.content(batch_id),
            self.output_reuse.previous_step_hashes(stored.progress.header),
        )
        if isinstance(loaded, Err):
            logger.warning(
                "batch content not read",
                extra={"batch": batch_id, "cause": str(loaded.err_value)},
            )
            # Another entry VM may have a faster link to the store.
            await self.release(claimed)
            return None
        content = loaded.ok_value
        logger.info(
            "batch taken over",
            extra={
                "batch": batch_id,
                "from": stored.progress.holder,
                "listed": len(content.finished_ids),
                "partials": len(content.partials),
                "elapsed_ms": round(self.clock.monotonic_ms() - started_ms),
            },
        )
        return ClaimedBatch(claimed, content, previous_hashes)

    async def is_unchanged(self, stored: StoredProgress) -> bool:
        """Return whether the store responds and the row has the observed version.

        A store that has just become silent looks like a silent holder. A claim sent
        then may take effect when the store returns, while the holder still runs the
        batch.
        """
        read = await self.repository.progress(stored.progress.header.batch_id)
        if isinstance(read, Err):
            batch_id = stored.progress.header.batch_id
            now = self.clock.monotonic_ms()
            self.rule.unconfirmed_ms[batch_id] = now
            logger.info(
                "holder's silence not confirmed",
                extra={
                    "batch": batch_id,
                    "holder": stored.progress.holder,
                    "cause": str(read.err_value),
                },
            )
            return False
        current = read.ok_value
        return current is not None and current.version == stored.version

    async def claim(self, stored: StoredProgress) -> StoredProgress | None:
        """Write a claim and return the stored progress, or None if it failed.

        After an unclear response, the row is read to see whether the claim has taken
        effect.
        """
        batch_id = stored.progress.header.batch_id
        for _ in range(MAX_CLAIM_ATTEMPTS):
            after = stored.progress.next_state(
                new_token(),
                holder=self.name,
                incarnation=self.incarnation,
                written_ms=self.repository.store_time.now_ms(),
            )
            sent = await self.repository.replace(stored.version, after)
            claimed = sent.ok_value if isinstance(sent, Ok) else None
            if isinstance(sent, Err):
                logger.info(
                    "batch claim unclear",
                    extra={"batch": batch_id, "cause": str(sent.err_value)},
                )
                read = await self.repository.progress(batch_id)
                current = read.ok_value if isinstance(read, Ok) else None
                if current is None:
                    return None
                if current.version == stored.version:
                    continue
                claimed = current if current.progress.token == after.token else None
            if claimed is not None:
                self.progress_view.record(claimed)
            return claimed
        return None

    async def write_release(self, stored: StoredProgress) -> None:
        """Write that a batch has no holder, so that others can claim it at once."""
        after = stored.progress.next_state(new_token(), holder="")
        result = await self.repository.replace(stored.version, after)
        if isinstance(result, Err):
            logger.info(
                "release of batch not confirmed",
                extra={"batch": stored.progress.header.batch_id},
            )
