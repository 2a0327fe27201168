"""Ownership of batches: those that run here, and the choice of holders."""

import asyncio
import contextlib
import logging
from collections.abc import Coroutine
from typing import Any

from ..interfaces import Clock, Metrics
from ..relay import Standby
from ..routes import RouteTable
from ..storage.follower import TableFollower
from .batch_memory import BatchMemory, memory_of
from .handover import Handover
from .holder import BatchHolder
from .holder_choice import HolderChoice
from .item_run import ItemRunner
from .model import Batch, Progress
from .output_reuse import StepOutputReuse
from .progress_view import BatchProgressView, ObservedProgress
from .repository import BatchRepository, StoredProgress
from .retention import BatchRetention
from .takeover import BatchTakeover
from .takeover_rule import SILENCE_TIMEOUT_MS

logger = logging.getLogger(__name__)

WATCH_INTERVAL_MS = 150.0
DELETE_INTERVAL_MS = 10_000


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
    memory : BatchMemory
        Which batches have room in the memory of this process.

    Attributes
    ----------
    holders : dict of str to BatchHolder
        Running batches by id.
    takeover : BatchTakeover
        Judges other holders and claims their batches.
    claiming_ids : set of str
        Batches that this entry VM is about to run.
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
        memory: BatchMemory,
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
        self.memory = memory
        self.holder_choice = HolderChoice(
            name, incarnation, routes, progress_view, clock, standby, memory
        )
        self.output_reuse = StepOutputReuse(progress_view, repository)
        self.holders: dict[str, BatchHolder] = {}
        self.takeover = BatchTakeover(
            name,
            incarnation,
            progress_view,
            follower,
            repository,
            clock,
            self.output_reuse,
            self.holders,
        )
        self.claiming_ids = self.takeover.claiming_ids
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
        return self.takeover.is_held_here(progress)

    def start_takeover(
        self, stored: StoredProgress, confirm_first: bool = False
    ) -> None:
        """Start to take a batch over, unless this entry VM is already handling it.

        If `confirm_first`, the row is read before the claim and must be unchanged.
        """
        batch_id = stored.progress.header.batch_id
        if self.takeover.is_handling(batch_id):
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
            self.takeover.rule.handovers[batch_id] = Handover(stored.version, now)
            return
        holder = self.create_holder(batch, stored)
        if holder is not None:
            self.holders[batch_id] = holder
            # Counted from now on, and not only when the task begins.
            held = contextlib.ExitStack()
            held.enter_context(self.memory.hold(memory_of(batch.header)))
            self.spawn(self.run_accepted(holder, held))

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

    async def run_accepted(
        self, holder: BatchHolder, held: contextlib.ExitStack
    ) -> None:
        """Run a new batch, reusing output of the trainer's previous step.

        Parameters
        ----------
        held : contextlib.ExitStack
            Counts the batch until it is left.
        """
        with held:
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
                if not self.takeover.should_take_over(observed, now):
                    continue
                header = observed.progress.header
                has_room = self.memory.may_take_over(memory_of(header))
                if self.takeover.is_held_by_earlier_incarnation(
                    observed.progress
                ) and not (
                    has_room
                    and self.holder_choice.has_capacity(
                        observed, {*self.holders, *self.claiming_ids}
                    )
                ):
                    self.start_release(observed.stored)
                elif has_room:
                    self.start_takeover(observed.stored, confirm_first=True)
            if now - self.last_delete_ms > DELETE_INTERVAL_MS:
                self.last_delete_ms = now
                self.spawn(self.retention.delete_expired())

    def start_release(self, stored: StoredProgress) -> None:
        """Start to release a batch to other entry VMs."""
        self.takeover.releasing_ids.add(stored.progress.header.batch_id)
        self.spawn(self.takeover.release(stored))

    async def take_over(self, stored: StoredProgress, confirm_first: bool) -> None:
        """Claim a batch and run it, if there is room for it."""
        header = stored.progress.header
        size = memory_of(header)
        if self.memory.may_take_over(size):
            with self.memory.hold(size):
                await self.resume(stored, confirm_first)
            return
        logger.info(
            "no room for batch", extra={"batch": header.batch_id, "bytes": size}
        )
        try:
            if self.is_held_here(stored.progress):
                await self.takeover.release(stored)
        finally:
            self.claiming_ids.discard(header.batch_id)

    async def resume(self, stored: StoredProgress, confirm_first: bool) -> None:
        """Claim a batch and resume it from its stored results and checkpoints."""
        batch_id = stored.progress.header.batch_id
        try:
            if self.routes.find_by_name(stored.progress.header.route) is None:
                await self.clock.sleep_ms(SILENCE_TIMEOUT_MS)
                return
            if self.leaves_batches or not await self.standby.can_take_duty():
                if self.is_held_here(stored.progress):
                    await self.takeover.write_release(stored)
                return
            async with self.memory.reading(stored.progress.header, self.clock):
                claimed = await self.takeover.claim_content(stored, confirm_first)
            if claimed is None:
                return
            content = claimed.content
            holder = self.create_holder(
                Batch(stored.progress.header, content.items), claimed.stored
            )
            if holder is None:
                return
            holder.restore(content)
            self.holders[batch_id] = holder
            if not content.finished_ids and not content.partials:
                await self.output_reuse.reuse(holder, claimed.previous_hashes)
        finally:
            self.claiming_ids.discard(batch_id)
        await self.run_holder(holder)

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
