"""Service for callers of batches: submission, reading of results, and ending."""

import logging
from dataclasses import dataclass

from result import Err, Ok, Result

from ..customers import EVERY_BATCH, BatchAccess
from ..interfaces import Clock
from ..outcomes import Outcome, Refusal, new_token
from ..routes import RouteTable
from .batch_memory import memory_of, text_bytes_of
from .model import Batch, BatchHeader, ItemResult, Progress
from .ownership import BatchOwnership
from .progress_view import BatchProgressView
from .repository import BatchRepository

logger = logging.getLogger(__name__)

END_TIMEOUT_MS = 1_500.0
RETRY_MS = 80.0
STORE_RETRY_AFTER_MS = 500
NO_MEMORY_RETRY_AFTER_MS = 500
# Maximum size of one page of results; callers accept at most 1 MB.
MAX_PAGE_BYTES = 900_000


@dataclass(frozen=True, slots=True)
class ResultsPage:
    """Results of a batch starting at a position."""

    total: int
    next_position: int
    results: list[ItemResult]


STORE_UNREACHABLE = Refusal(
    Outcome.NOT_RUN,
    "store_unreachable",
    "this entry VM cannot reach the store that keeps batches",
    STORE_RETRY_AFTER_MS,
)
NO_MEMORY = Refusal(
    Outcome.NOT_RUN,
    "memory",
    "this entry VM has no room for the batch beside the open ones; "
    "send it to another one",
    NO_MEMORY_RETRY_AFTER_MS,
)
UNKNOWN_BATCH = Refusal(Outcome.NOT_RUN, "no_batch", "no batch has this id")
STORE_UNCLEAR = Refusal(
    Outcome.MAY_HAVE_RUN,
    "store_unclear",
    "the store did not confirm the batch; send it again",
    STORE_RETRY_AFTER_MS,
)


class BatchService:
    """Submits, reads and ends batches on behalf of callers.

    Parameters
    ----------
    ownership : BatchOwnership
        Holders of this entry VM, and the choice of holders.
    """

    def __init__(
        self,
        ownership: BatchOwnership,
        routes: RouteTable,
        progress_view: BatchProgressView,
        repository: BatchRepository,
        clock: Clock,
    ) -> None:
        self.ownership = ownership
        self.routes = routes
        self.progress_view = progress_view
        self.repository = repository
        self.clock = clock

    async def submit(
        self, batch: Batch, access: BatchAccess = EVERY_BATCH
    ) -> Refusal | None:
        """Store a batch and start it.

        Return None if the batch is accepted or was accepted before, else a refusal. The
        id of a batch to which the caller has no access is refused.
        """
        batch_id = batch.header.batch_id
        if self.progress_view.get(batch_id) is not None:
            return await self.check_access(batch_id, access)
        refusal = self.find_refusal(batch.header)
        if refusal is not None:
            return refusal
        chosen = self.ownership.holder_choice.choose_holder(batch.header)
        size = memory_of(batch.header)
        # Whoever holds it, it is in the memory of this process until it is stored.
        if chosen is None or not self.ownership.memory.may_accept(size):
            return NO_MEMORY
        with self.ownership.memory.hold(size):
            return await self.store(batch, *chosen, access)

    async def store(
        self, batch: Batch, holder: str, incarnation: str, access: BatchAccess
    ) -> Refusal | None:
        """Store a batch for a holder and start it; see `submit`."""
        batch_id = batch.header.batch_id
        progress = Progress(
            batch.header,
            holder,
            incarnation,
            token=new_token(),
            written_ms=self.repository.store_time.now_ms(),
        )
        if self.ownership.is_held_here(progress):
            self.ownership.claiming_ids.add(batch_id)
        created = await self.repository.create(batch, progress)
        try:
            if isinstance(created, Err):
                return await self.resolve_unclear_submission(
                    batch, progress, created.err_value, access
                )
            if created.ok_value is None:
                refusal = await self.check_access(batch_id, access)
                # The batch exists, whether or not the store has said whose it is.
                return STORE_UNCLEAR if refusal is STORE_UNREACHABLE else refusal
            self.ownership.start_accepted(batch, created.ok_value)
        finally:
            self.ownership.claiming_ids.discard(batch_id)
        return None

    async def check_access(self, batch_id: str, access: BatchAccess) -> Refusal | None:
        """Return None if a caller may use a batch, else a refusal.

        A batch to which the caller has no access does not exist for that caller.
        """
        if access.every_batch:
            return None
        current = await self.find(batch_id)
        if isinstance(current, Err):
            return current.err_value
        if access.allows(current.ok_value.header.customer):
            return None
        return UNKNOWN_BATCH

    def find_refusal(self, header: BatchHeader) -> Refusal | None:
        """Return the refusal of a new batch, before an attempt to store it."""
        route = self.routes.find_by_name(header.route)
        if self.ownership.leaving or route is None:
            return STORE_UNREACHABLE
        return None

    async def resolve_unclear_submission(
        self, batch: Batch, progress: Progress, error: Exception, access: BatchAccess
    ) -> Refusal | None:
        """Read the progress row to find out whether a submission was stored.

        Return None if a batch with this id is stored, else a refusal. A write without
        a response may still take effect later. Only a write that has certainly failed
        is therefore refused as not run.
        """
        logger.warning(
            "submission not confirmed",
            extra={"batch": batch.header.batch_id, "cause": str(error)},
        )
        if not error.may_have_run:
            return STORE_UNREACHABLE
        current = await self.repository.progress(batch.header.batch_id)
        if isinstance(current, Ok) and current.ok_value is not None:
            if current.ok_value.progress.token == progress.token:
                self.ownership.start_accepted(batch, current.ok_value)
                return None
            owner = current.ok_value.progress.header.customer
            return None if access.allows(owner) else UNKNOWN_BATCH
        return STORE_UNCLEAR

    async def find(self, batch_id: str) -> Result[Progress, Refusal]:
        """Return the progress of a batch from the local view, else from the store."""
        observed = self.progress_view.get(batch_id)
        if observed is not None:
            return Ok(observed)
        current = await self.repository.progress(batch_id)
        if isinstance(current, Err):
            return Err(STORE_UNREACHABLE)
        if current.ok_value is None:
            return Err(UNKNOWN_BATCH)
        self.progress_view.record(current.ok_value)
        return Ok(current.ok_value.progress)

    async def read(
        self, batch_id: str, after: int, wait_ms: float
    ) -> Result[ResultsPage, Refusal]:
        """Return results starting at a position, after waiting for the first of them.

        The wait ends after `wait_ms` at the latest.
        """
        current = await self.find(batch_id)
        if isinstance(current, Err):
            return current
        progress = current.ok_value
        if progress.listed <= after and not progress.ended and wait_ms > 0:
            await self.progress_view.wait_for_result(batch_id, after, wait_ms)
        holder = self.ownership.holders.get(batch_id)
        results = holder.results.since(after) if holder is not None else []
        if not results:
            stored = await self.repository.next_results(batch_id, after)
            if isinstance(stored, Err):
                return Err(STORE_UNREACHABLE)
            results = stored.ok_value
        size, count = 0, 0
        for result in results:
            size += len(result.text) + 200
            if count and size > MAX_PAGE_BYTES:
                break
            count += 1
        return Ok(ResultsPage(progress.header.total, after + count, results[:count]))

    async def item_body(self, batch_id: str, item_id: str) -> Result[bytes, Refusal]:
        """Return the body of an item."""
        holder = self.ownership.holders.get(batch_id)
        if holder is not None:
            item = holder.items_by_id.get(item_id)
            return Err(UNKNOWN_BATCH) if item is None else Ok(item.body)
        current = await self.find(batch_id)
        if isinstance(current, Err):
            return current
        memory = self.ownership.memory.budget
        size = text_bytes_of(current.ok_value.header)
        if not memory.has_room(size):
            return Err(NO_MEMORY)
        with memory.hold(size):
            stored = await self.repository.item(batch_id, item_id)
        if isinstance(stored, Err):
            return Err(STORE_UNREACHABLE)
        if stored.ok_value is None:
            return Err(UNKNOWN_BATCH)
        return Ok(stored.ok_value.body)

    async def end(self, batch_id: str) -> Refusal | None:
        """End a batch.

        Return None if the batch is ended or was ended before, else a refusal.
        """
        deadline_ms = self.clock.monotonic_ms() + END_TIMEOUT_MS
        token = new_token()
        observed = self.progress_view.by_batch_id.get(batch_id)
        stored = observed.stored if observed else None
        while self.clock.monotonic_ms() < deadline_ms:
            if stored is None:
                current = await self.repository.progress(batch_id)
                if isinstance(current, Err):
                    await self.clock.sleep_ms(RETRY_MS)
                    continue
                if current.ok_value is None:
                    return UNKNOWN_BATCH
                stored = current.ok_value
            if stored.progress.closed:
                self.progress_view.record(stored)
                return None
            after = stored.progress.next_state(token, ended=True, closed=True)
            result = await self.repository.replace(stored.version, after)
            if isinstance(result, Ok) and result.ok_value is not None:
                self.progress_view.record(result.ok_value)
                return None
            stored = None
        return STORE_UNREACHABLE
