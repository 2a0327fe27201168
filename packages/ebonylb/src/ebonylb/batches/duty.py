"""What callers ask of batches: submission, reading, and ending."""

import logging
from dataclasses import dataclass

from result import Err, Ok, Result

from ..edges import Clock
from ..outcomes import Outcome, Refusal, new_token
from ..routes import RouteTable
from .board import BatchBoard
from .custody import BatchCustody
from .model import Batch, ItemResult, Progress
from .repository import BatchRepository

logger = logging.getLogger(__name__)

SETTLE_LIMIT_MS = 1_500.0
RETRY_MS = 80.0
STORE_RETRY_AFTER_MS = 500
# Largest text of one answer; the callers take at most 1 MB of results.
ANSWER_BYTES = 900_000


@dataclass(frozen=True, slots=True)
class ResultsPage:
    """Results of a batch from a position on."""

    total: int
    next_position: int
    results: list[ItemResult]


UNSURE = Refusal(
    Outcome.NOT_RUN,
    "store_unreachable",
    "this entry VM cannot reach the store that keeps batches",
    STORE_RETRY_AFTER_MS,
)
UNKNOWN_BATCH = Refusal(Outcome.NOT_RUN, "no_batch", "no batch has this id")
UNCLEAR = Refusal(
    Outcome.MAY_HAVE_RUN,
    "store_unclear",
    "the store did not confirm the batch; send it again",
    STORE_RETRY_AFTER_MS,
)


class BatchDuty:
    """Batches as callers see them.

    Parameters
    ----------
    custody : BatchCustody
        Holders of this entry VM.
    """

    def __init__(
        self,
        custody: BatchCustody,
        routes: RouteTable,
        board: BatchBoard,
        repository: BatchRepository,
        clock: Clock,
    ) -> None:
        self.custody = custody
        self.routes = routes
        self.board = board
        self.repository = repository
        self.clock = clock

    async def submit(self, batch: Batch) -> Refusal | None:
        """Store a batch and start it; None when it is accepted, also earlier."""
        batch_id = batch.header.batch_id
        if self.board.get(batch_id) is not None:
            return None
        route = self.routes.find_by_name(batch.header.route)
        if self.custody.leaving or route is None:
            return UNSURE
        holder, incarnation = self.custody.usual_holder(batch.header)
        progress = Progress(
            batch.header,
            holder,
            incarnation,
            token=new_token(),
            written_ms=self.repository.store_time.now_ms(),
        )
        if self.custody.is_mine(progress):
            self.custody.claiming.add(batch_id)
        created = await self.repository.create(batch, progress)
        try:
            if isinstance(created, Err):
                return await self.settle_submission(batch, progress, created.err_value)
            if created.ok_value is not None:
                self.custody.accepted(batch, created.ok_value)
        finally:
            self.custody.claiming.discard(batch_id)
        return None

    async def settle_submission(
        self, batch: Batch, progress: Progress, error: Exception
    ) -> Refusal | None:
        """Find out whether a submission was stored.

        A write without an answer may still be carried out later, so that only a write
        that surely failed is refused as not run.
        """
        logger.warning(
            "submission not confirmed",
            extra={"batch": batch.header.batch_id, "cause": str(error)},
        )
        if not error.may_have_run:
            return UNSURE
        found = await self.repository.progress(batch.header.batch_id)
        if isinstance(found, Ok) and found.ok_value is not None:
            if found.ok_value.progress.token == progress.token:
                self.custody.accepted(batch, found.ok_value)
            return None
        return UNCLEAR

    async def find(self, batch_id: str) -> Result[Progress, Refusal]:
        """Return the progress of a batch, from the store when it is not known here."""
        known = self.board.get(batch_id)
        if known is not None:
            return Ok(known)
        found = await self.repository.progress(batch_id)
        if isinstance(found, Err):
            return Err(UNSURE)
        if found.ok_value is None:
            return Err(UNKNOWN_BATCH)
        self.board.note(found.ok_value)
        return Ok(found.ok_value.progress)

    async def read(
        self, batch_id: str, after: int, wait_ms: float
    ) -> Result[ResultsPage, Refusal]:
        """Return results from a position on, after waiting for the first of them."""
        found = await self.find(batch_id)
        if isinstance(found, Err):
            return found
        progress = found.ok_value
        if progress.listed <= after and not progress.ended and wait_ms > 0:
            await self.board.wait_for_result(batch_id, after, wait_ms)
        holder = self.custody.holders.get(batch_id)
        if holder is not None and len(holder.results) > after:
            results = holder.results[after:]
        else:
            stored = await self.repository.results(batch_id, after)
            if isinstance(stored, Err):
                return Err(UNSURE)
            results = stored.ok_value
        size, count = 0, 0
        for result in results:
            size += len(result.text) + 200
            if count and size > ANSWER_BYTES:
                break
            count += 1
        return Ok(ResultsPage(progress.header.total, after + count, results[:count]))

    async def item_body(self, batch_id: str, item_id: str) -> Result[bytes, Refusal]:
        """Return the body of an item."""
        holder = self.custody.holders.get(batch_id)
        if holder is not None:
            items = holder.batch.items
        else:
            found = await self.find(batch_id)
            if isinstance(found, Err):
                return found
            stored = await self.repository.items(batch_id)
            if isinstance(stored, Err):
                return Err(UNSURE)
            items = stored.ok_value
        for item in items:
            if item.item_id == item_id:
                return Ok(item.body)
        return Err(UNKNOWN_BATCH)

    async def end(self, batch_id: str) -> Refusal | None:
        """End a batch; None when it is ended, also earlier."""
        give_up = self.clock.monotonic_ms() + SETTLE_LIMIT_MS
        token = new_token()
        known = self.board.seen.get(batch_id)
        stored = known.stored if known else None
        while self.clock.monotonic_ms() < give_up:
            if stored is None:
                found = await self.repository.progress(batch_id)
                if isinstance(found, Err):
                    await self.clock.sleep_ms(RETRY_MS)
                    continue
                if found.ok_value is None:
                    return UNKNOWN_BATCH
                stored = found.ok_value
            if stored.progress.closed:
                self.board.note(stored)
                return None
            after = stored.progress.written(token, ended=True, closed=True)
            done = await self.repository.replace(stored.version, after)
            if isinstance(done, Ok) and done.ok_value is not None:
                self.board.note(done.ok_value)
                return None
            stored = None
        return UNSURE
