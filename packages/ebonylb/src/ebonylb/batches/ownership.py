"""Ownership of batches: choice of holders, takeover and release of batches."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from result import Err, Ok

from ..interfaces import Clock, Metrics
from ..outcomes import new_token
from ..relay import Standby
from ..routes import RouteTable
from ..storage.follower import TableFollower
from .handover import Handover
from .holder import BatchHolder
from .holder_choice import HolderChoice
from .item_run import ItemRunner
from .model import Batch, Progress
from .output_reuse import StepOutputReuse
from .progress_view import BatchProgressView, ObservedProgress
from .repository import BatchRepository, StoredProgress
from .retention import BatchRetention
from .takeover_rule import SILENCE_TIMEOUT_MS, TakeoverRule

logger = logging.getLogger(__name__)

WATCH_INTERVAL_MS = 150.0
DELETE_INTERVAL_MS = 10_000
# Attempts to write a claim when the outcome of a write is unclear.
MAX_CLAIM_ATTEMPTS = 3
# Pause after a failed claim before the batch is considered again.
RETRY_MS = 80.0


class BatchOwnership:
    """Runs the batches held by this entry VM and chooses the holders of batches.

    Parameters
    ----------
    name, incarnation : str
        Name and incarnation of this entry VM.
    progress_view : BatchProgressView
        Progress of all batches.
    follower : TableFollower
        Keeps the progress view current. A holder counts as silent only while the
        follower is healthy.
    retention_ms : float
        Time after the submission during which a batch stays readable.
    standby : Standby
        Whether this entry VM leaves its batches to others.

    Attributes
    ----------
    holders : dict of str to BatchHolder
        Running batches by id.
    claiming_ids, releasing_ids : set of str
        Batches that this entry VM is about to run, or has released a moment ago.
    takeover_rule : TakeoverRule
        Decides which batches this entry VM takes over.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        routes: RouteTable,
        progress_view: BatchProgressView,
        follower: TableFollower,
        repository: BatchRepository,
        runner: ItemRunner,
        clock: Clock,
        metrics: Metrics,
        retention_ms: float,
        standby: Standby,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.routes = routes
        self.progress_view = progress_view
        self.follower = follower
        self.repository = repository
        self.runner = runner
        self.clock = clock
        self.metrics = metrics
        self.standby = standby
        self.holder_choice = HolderChoice(
            name, incarnation, routes, progress_view, clock, standby
        )
        self.output_reuse = StepOutputReuse(progress_view, repository)
        self.holders: dict[str, BatchHolder] = {}
        self.claiming_ids: set[str] = set()
        self.releasing_ids: set[str] = set()
        self.takeover_rule = TakeoverRule(name, incarnation, follower)
        self.retention = BatchRetention(
            name, progress_view, repository, clock, retention_ms
        )
        self.tasks: set[asyncio.Task[None]] = set()
        self.leaving = False
        self.last_delete_ms = 0.0
        progress_view.listeners.append(self.handle_progress_change)

    def handle_progress_change(self, observed: ObservedProgress) -> None:
        """Notify the batch's holder of a change; take over a batch assigned here."""
        progress = observed.progress
        batch_id = progress.header.batch_id
        holder = self.holders.get(batch_id)
        if holder is not None:
            holder.handle_progress_change(observed.stored)
        elif self.is_held_here(progress) and not progress.ended:
            self.start_takeover(observed.stored)

    def is_held_here(self, progress: Progress) -> bool:
        """Return whether a progress row names this process as holder."""
        return (progress.holder, progress.incarnation) == (self.name, self.incarnation)

    def start_takeover(
        self, stored: StoredProgress, confirm_first: bool = False
    ) -> None:
        """Start to take a batch over, unless this entry VM is already handling it.

        If `confirm_first`, the row is read before the claim and must be unchanged.
        """
        batch_id = stored.progress.header.batch_id
        if self.is_handling(batch_id):
            return
        self.claiming_ids.add(batch_id)
        self.spawn(self.take_over(stored, confirm_first))

    def start_accepted(self, batch: Batch, stored: StoredProgress) -> None:
        """Run a stored batch here, or track that its holder claims and starts it."""
        batch_id = batch.header.batch_id
        self.progress_view.record(stored)
        logger.info(
            "batch accepted",
            extra={
                "batch": batch_id,
                "holder": stored.progress.holder,
                "step": batch.header.step,
                "model": batch.header.model,
                "min_version": batch.header.min_version,
                "items": batch.header.total,
                "groups_wanted": batch.header.groups_wanted,
            },
        )
        if not self.is_held_here(stored.progress):
            now = self.clock.monotonic_ms()
            self.takeover_rule.handovers[batch_id] = Handover(stored.version, now)
            return
        holder = self.create_holder(batch, stored)
        if holder is not None:
            self.holders[batch_id] = holder
            self.spawn(self.run_accepted(holder))

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a background task."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.handle_task_end)

    def handle_task_end(self, task: asyncio.Task[None]) -> None:
        """Remove a finished task and log its exception, if any."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("batch task failed", exc_info=task.exception())

    def create_holder(self, batch: Batch, stored: StoredProgress) -> BatchHolder | None:
        """Return a new holder, or None if the batch's route is not configured."""
        route = self.routes.find_by_name(batch.header.route)
        if route is None:
            logger.warning(
                "batch not run: its route is not configured",
                extra={"batch": batch.header.batch_id, "route": batch.header.route},
            )
            return None
        return BatchHolder(
            batch,
            stored,
            route,
            self.repository,
            self.runner,
            self.clock,
            self.metrics,
            self.progress_view.record,
            self.repository.row_bytes,
        )

    async def run_accepted(self, holder: BatchHolder) -> None:
        """Run a new batch, reusing output of the trainer's previous step."""
        previous_hashes = await self.output_reuse.previous_step_hashes(
            holder.batch.header
        )
        await self.output_reuse.reuse(holder, previous_hashes)
        await self.run_holder(holder)

    async def run_holder(self, holder: BatchHolder) -> None:
        """Run a batch on this entry VM until its holder stops."""
        self.holders[holder.batch_id] = holder
        if self.leaves_batches:
            holder.release()
        try:
            await holder.run()
        finally:
            self.holders.pop(holder.batch_id, None)
            logger.info(
                "batch left",
                extra={
                    "batch": holder.batch_id,
                    "listed": holder.progress.listed,
                    "total": holder.batch.header.total,
                    "ended": holder.progress.ended,
                },
            )

    async def watch(self) -> None:
        """Take over batches and delete expired ones at an interval until cancelled.

        The takeover rule decides which batches are taken over. A batch that an earlier
        incarnation of this entry VM held is released if there is no capacity for it.
        """
        while True:
            await self.clock.sleep_ms(WATCH_INTERVAL_MS)
            if self.standby.is_active:
                self.release_all()
            if self.leaves_batches or self.follower.healthy_since_ms is None:
                continue
            now = self.clock.monotonic_ms()
            for observed in list(self.progress_view.by_batch_id.values()):
                if not self.should_take_over(observed, now):
                    continue
                if self.is_held_by_earlier_incarnation(
                    observed.progress
                ) and not self.holder_choice.has_capacity(
                    observed, {*self.holders, *self.claiming_ids}
                ):
                    self.start_release(observed.stored)
                else:
                    self.start_takeover(observed.stored, confirm_first=True)
            if now - self.last_delete_ms > DELETE_INTERVAL_MS:
                self.last_delete_ms = now
                self.spawn(self.retention.delete_expired())

    def should_take_over(self, observed: ObservedProgress, now_ms: float) -> bool:
        """Return whether this entry VM should take a batch over now."""
        progress = observed.progress
        batch_id = progress.header.batch_id
        if progress.ended:
            self.takeover_rule.forget(batch_id)
            return False
        if self.is_handling(batch_id):
            self.takeover_rule.end_handover(batch_id)
            return False
        return self.takeover_rule.is_due(observed, now_ms)

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

    def start_release(self, stored: StoredProgress) -> None:
        """Start to release a batch to other entry VMs."""
        self.releasing_ids.add(stored.progress.header.batch_id)
        self.spawn(self.release(stored))

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

    async def take_over(self, stored: StoredProgress, confirm_first: bool) -> None:
        """Claim a batch and resume it from its stored results and checkpoints."""
        batch_id = stored.progress.header.batch_id
        try:
            if self.routes.find_by_name(stored.progress.header.route) is None:
                await self.clock.sleep_ms(SILENCE_TIMEOUT_MS)
                return
            if self.leaves_batches or not await self.standby.can_take_duty():
                if self.is_held_here(stored.progress):
                    await self.write_release(stored)
                return
            started_ms = self.clock.monotonic_ms()
            if confirm_first and not await self.is_unchanged(stored):
                await self.clock.sleep_ms(RETRY_MS)
                return
            # Claim before reading, since the entry VM that handed the batch over waits
            # for the claim.
            claimed = await self.claim(stored)
            if claimed is None:
                await self.clock.sleep_ms(RETRY_MS)
                return
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
                return
            content = loaded.ok_value
            logger.info(
                "batch taken over",
                extra={
                    "batch": batch_id,
                    "from": stored.progress.holder,
                    "listed": len(content.results),
                    "partials": len(content.partials),
                    "elapsed_ms": round(self.clock.monotonic_ms() - started_ms),
                },
            )
            holder = self.create_holder(
                Batch(stored.progress.header, content.items), claimed
            )
            if holder is None:
                return
            holder.restore(content.results, content.partials)
            self.holders[batch_id] = holder
            if not content.results and not content.partials:
                await self.output_reuse.reuse(holder, previous_hashes)
        finally:
            self.claiming_ids.discard(batch_id)
        await self.run_holder(holder)

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
            self.takeover_rule.unconfirmed_ms[batch_id] = now
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

    @property
    def leaves_batches(self) -> bool:
        """Whether other entry VMs run the batches, and this one takes none."""
        return self.leaving or self.standby.is_active

    def release_all(self) -> None:
        """Start to release all batches, with checkpoints of their items."""
        for holder in list(self.holders.values()):
            if not holder.releasing:
                holder.release()

    async def leave(self) -> None:
        """Release all batches, with checkpoints of their items, and wait for that."""
        self.leaving = True
        self.release_all()
        while self.holders:
            await self.clock.sleep_ms(20)
