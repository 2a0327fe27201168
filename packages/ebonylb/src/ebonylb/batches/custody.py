"""Which batches this entry VM runs: new ones, and those whose holder went silent."""

import asyncio
import logging
from collections import Counter
from collections.abc import Coroutine
from typing import Any

from result import Err, Ok
from xxhash import xxh64_intdigest

from ..edges import Clock, Metrics
from ..outcomes import new_token
from ..routes import RouteTable
from ..storage.follower import TableFollower
from .board import BatchBoard, Seen
from .handover import Handover
from .holder import BatchHolder
from .item_run import ItemRunner
from .leftovers import StepLeftovers
from .model import Batch, BatchHeader, Progress
from .repository import BatchRepository, StoredProgress

logger = logging.getLogger(__name__)

# Three heartbeats of a holder, so that one slow commit does not move a batch. A step is
# due after 7.5 s and takes 5 to 7 s: each second of silence counts.
SILENCE_MS = 1_500.0
# Entry VMs take over at different times, so that they do not all claim the batch.
SPREAD_MS = 400.0
RELEASED_SPREAD_MS = 250.0
WATCH_MS = 150.0
# A holder whose last commit is no older than this is taken to be alive: two heartbeats.
ALIVE_MS = 1_000.0
# Items that one entry VM should have in progress for all routes together: 200 streams
# with an event each 40 ms take about half a core of an entry VM.
MOST_OPEN_ITEMS = 200
# Kept beyond the agreed retention, since clocks of the entry VMs differ.
DELETE_SLACK_MS = 60_000
DELETE_CHECK_MS = 10_000
# Attempts to write a claim while the store loses or fails writes.
CLAIM_TRIES = 3
# Pause before a batch that was lost to another entry VM is looked at again.
RETRY_MS = 80.0


class BatchCustody:
    """The holders of this entry VM, and the choice of holders.

    Parameters
    ----------
    name, incarnation : str
        This entry VM and its start.
    board : BatchBoard
        Progress of all batches.
    follower : TableFollower
        Keeps the board; silence of a holder counts only while it is healthy.
    retention_ms : float
        Batches stay readable this long after their submission.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        routes: RouteTable,
        board: BatchBoard,
        follower: TableFollower,
        repository: BatchRepository,
        runner: ItemRunner,
        clock: Clock,
        metrics: Metrics,
        retention_ms: float,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.routes = routes
        self.board = board
        self.follower = follower
        self.repository = repository
        self.runner = runner
        self.clock = clock
        self.metrics = metrics
        self.retention_ms = retention_ms
        self.leftovers = StepLeftovers(board, repository)
        self.holders: dict[str, BatchHolder] = {}
        self.claiming: set[str] = set()
        self.releasing: set[str] = set()
        self.handed_over: dict[str, Handover] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.leaving = False
        self.deleted_ms = 0.0
        board.listeners.append(self.note_change)

    def note_change(self, seen: Seen) -> None:
        """Tell the holder of a batch what became of it; begin what was handed here."""
        progress = seen.progress
        batch_id = progress.header.batch_id
        holder = self.holders.get(batch_id)
        if holder is not None:
            holder.take_over_progress(seen.stored)
        elif self.is_mine(progress) and not progress.ended:
            self.begin_take_over(seen.stored)

    def is_mine(self, progress: Progress) -> bool:
        """Tell whether a progress row names this process as holder."""
        return (progress.holder, progress.incarnation) == (self.name, self.incarnation)

    def begin_take_over(self, stored: StoredProgress, in_doubt: bool = False) -> None:
        """Take a batch over, unless that goes on already.

        When in doubt, the store is asked first whether the row is still the same.
        """
        batch_id = stored.progress.header.batch_id
        if self.is_busy_with(batch_id):
            return
        self.claiming.add(batch_id)
        self.start(self.take_over(stored, in_doubt))

    def usual_holder(self, header: BatchHeader) -> tuple[str, str]:
        """Return the entry VM that should run a new batch, with its incarnation.

        Batches of one service stay with one entry VM while it is alive: it has
        connections to the servers, sees the pace of each of them, and starts the
        longest items of all batches first. Where that is too much work for one, the
        batches of each route stay together.
        """
        now = self.clock.monotonic_ms()
        service = self.service_of(header.route)
        open_items: Counter[str] = Counter()
        alive: list[Seen] = []
        for seen in self.board.seen.values():
            progress = seen.progress
            if not progress.ended:
                open_items[progress.holder] += progress.header.total - progress.listed
            if progress.holder and now - seen.changed_ms <= ALIVE_MS:
                alive.append(seen)
        alive.sort(key=lambda seen: seen.stored.version, reverse=True)
        for seen in alive:
            progress = seen.progress
            same_route = progress.header.route == header.route
            same_service = self.service_of(progress.header.route) == service
            room = open_items[progress.holder] + header.total <= MOST_OPEN_ITEMS
            if same_service and (same_route or room):
                return progress.holder, progress.incarnation
        return self.name, self.incarnation

    def service_of(self, route_name: str) -> str | None:
        """Return the service that runs a route's batches."""
        route = self.routes.find_by_name(route_name)
        return route.targets[0].service if route else None

    def accepted(self, batch: Batch, stored: StoredProgress) -> None:
        """Run a batch that was stored, or watch that its holder begins it."""
        batch_id = batch.header.batch_id
        self.board.note(stored)
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
        if not self.is_mine(stored.progress):
            now = self.clock.monotonic_ms()
            self.handed_over[batch_id] = Handover(stored.version, now)
            return
        holder = self.holder_of(batch, stored)
        if holder is not None:
            self.holders[batch_id] = holder
            self.start(self.run_accepted(holder))

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine that ends by itself."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.finish_task)

    def finish_task(self, task: asyncio.Task[None]) -> None:
        """Log an unexpected end."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("batch task failed", exc_info=task.exception())

    def holder_of(self, batch: Batch, stored: StoredProgress) -> BatchHolder | None:
        """Return a new holder; None when the batch's route is gone."""
        route = self.routes.find_by_name(batch.header.route)
        if route is None:
            logger.warning(
                "route of a batch is gone",
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
            self.board.note,
            self.repository.row_bytes,
        )

    async def run_accepted(self, holder: BatchHolder) -> None:
        """Run a new batch, with what is left of the trainer's last one."""
        earlier = await self.leftovers.last_step(holder.batch.header)
        await self.leftovers.use(holder, earlier)
        await self.run_holder(holder)

    async def run_holder(self, holder: BatchHolder) -> None:
        """Run a batch to its end here."""
        self.holders[holder.batch_id] = holder
        if self.leaving:
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
        """Take over batches whose holder went silent, until cancelled."""
        while True:
            await self.clock.sleep_ms(WATCH_MS)
            if self.leaving or self.follower.healthy_since_ms is None:
                continue
            now = self.clock.monotonic_ms()
            for seen in list(self.board.seen.values()):
                if not self.is_abandoned(seen, now):
                    continue
                if self.is_mine_of_before(seen.progress) and not self.has_room(seen):
                    self.begin_release(seen.stored)
                else:
                    self.begin_take_over(seen.stored, in_doubt=True)
            if now - self.deleted_ms > DELETE_CHECK_MS:
                self.deleted_ms = now
                self.start(self.delete_expired())

    def is_abandoned(self, seen: Seen, now_ms: float) -> bool:
        """Tell whether this entry VM should take a batch over now."""
        progress = seen.progress
        batch_id = progress.header.batch_id
        if progress.ended or self.is_busy_with(batch_id):
            self.handed_over.pop(batch_id, None)
            return False
        handed = self.handed_over.get(batch_id)
        if handed is not None:
            if handed.is_late(seen.stored.version, now_ms):
                return True
            if not handed.begun:
                return False
            del self.handed_over[batch_id]
        healthy_ms = self.follower.healthy_since_ms
        silent = now_ms - max(
            seen.changed_ms, now_ms if healthy_ms is None else healthy_ms
        )
        if progress.holder == self.name:
            return progress.incarnation != self.incarnation or silent > SILENCE_MS
        rank = xxh64_intdigest(f"{batch_id}/{self.name}".encode()) % 1_000 / 1_000
        if progress.holder == "":
            return silent > rank * RELEASED_SPREAD_MS
        return silent > SILENCE_MS + rank * SPREAD_MS

    def is_mine_of_before(self, progress: Progress) -> bool:
        """Tell whether a row names an earlier start of this entry VM as holder."""
        return progress.holder == self.name and progress.incarnation != self.incarnation

    def has_room(self, seen: Seen) -> bool:
        """Tell whether a batch would still be one of few here.

        A holder that restarts may find the batches of all trainers. Reading them all
        took a small entry VM over three seconds, and the others were idle.
        """
        taken = [
            self.board.seen[batch_id].progress
            for batch_id in {*self.holders, *self.claiming}
            if batch_id in self.board.seen
        ]
        open_items = sum(p.header.total - p.listed for p in taken)
        left = seen.progress.header.total - seen.progress.listed
        return not taken or open_items + left <= MOST_OPEN_ITEMS

    def is_busy_with(self, batch_id: str) -> bool:
        """Tell whether this entry VM runs, claims or has just given up a batch."""
        return (
            batch_id in self.holders
            or batch_id in self.claiming
            or batch_id in self.releasing
        )

    def begin_release(self, stored: StoredProgress) -> None:
        """Leave a batch to other entry VMs."""
        self.releasing.add(stored.progress.header.batch_id)
        self.start(self.release(stored))

    async def release(self, stored: StoredProgress) -> None:
        """Write that a batch has no holder, and give the others time to claim it."""
        batch_id = stored.progress.header.batch_id
        self.releasing.add(batch_id)
        logger.info(
            "batch left to others",
            extra={"batch": batch_id, "in_progress": len(self.holders)},
        )
        try:
            await self.hand_back(stored)
            await self.clock.sleep_ms(SILENCE_MS)
        finally:
            self.releasing.discard(batch_id)

    async def take_over(self, stored: StoredProgress, in_doubt: bool) -> None:
        """Claim a batch and run it from what is stored."""
        batch_id = stored.progress.header.batch_id
        try:
            if self.routes.find_by_name(stored.progress.header.route) is None:
                await self.clock.sleep_ms(SILENCE_MS)
                return
            if self.leaving:
                await self.hand_back(stored)
                return
            began = self.clock.monotonic_ms()
            if in_doubt and not await self.is_unchanged(stored):
                await self.clock.sleep_ms(RETRY_MS)
                return
            # The entry VM that handed the batch over waits for this claim.
            claimed = await self.claim(stored)
            if claimed is None:
                await self.clock.sleep_ms(RETRY_MS)
                return
            content, earlier = await asyncio.gather(
                self.repository.content(batch_id),
                self.leftovers.last_step(stored.progress.header),
            )
            if isinstance(content, Err):
                logger.warning(
                    "batch content not read",
                    extra={"batch": batch_id, "cause": str(content.err_value)},
                )
                # Another entry VM may have a faster link to the store.
                await self.release(claimed)
                return
            found = content.ok_value
            logger.info(
                "batch taken over",
                extra={
                    "batch": batch_id,
                    "from": stored.progress.holder,
                    "listed": len(found.results),
                    "partials": len(found.partials),
                    "elapsed_ms": round(self.clock.monotonic_ms() - began),
                },
            )
            holder = self.holder_of(Batch(stored.progress.header, found.items), claimed)
            if holder is None:
                return
            holder.adopt(found.results, found.partials)
            self.holders[batch_id] = holder
            if not found.results and not found.partials:
                await self.leftovers.use(holder, earlier)
        finally:
            self.claiming.discard(batch_id)
        await self.run_holder(holder)

    async def is_unchanged(self, stored: StoredProgress) -> bool:
        """Tell whether the store answers and its row is the one seen here.

        A store that has just gone silent looks like a silent holder, and a claim sent
        then may take effect when it returns, while the holder still runs the batch.
        """
        read = await self.repository.progress(stored.progress.header.batch_id)
        if isinstance(read, Err):
            logger.info(
                "holder's silence not confirmed",
                extra={
                    "batch": stored.progress.header.batch_id,
                    "holder": stored.progress.holder,
                    "cause": str(read.err_value),
                },
            )
            return False
        current = read.ok_value
        return current is not None and current.version == stored.version

    async def claim(self, stored: StoredProgress) -> StoredProgress | None:
        """Become the holder of a batch; None when that did not succeed.

        After an unclear answer the row itself says whether the write took effect.
        """
        batch_id = stored.progress.header.batch_id
        for _ in range(CLAIM_TRIES):
            after = stored.progress.written(
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
                self.board.note(claimed)
            return claimed
        return None

    async def hand_back(self, stored: StoredProgress) -> None:
        """Write that a batch has no holder, so that others claim it at once."""
        after = stored.progress.written(new_token(), holder="")
        done = await self.repository.replace(stored.version, after)
        if isinstance(done, Err):
            logger.info(
                "batch not handed back",
                extra={"batch": stored.progress.header.batch_id},
            )

    async def delete_expired(self) -> None:
        """Delete batches that no caller may read any more; one entry VM does it."""
        now = self.clock.wall_ms()
        limit = self.retention_ms + DELETE_SLACK_MS
        for seen in list(self.board.seen.values()):
            header = seen.progress.header
            age = now - header.submitted_unix_ms
            if not seen.progress.ended or age < limit:
                continue
            if seen.progress.holder not in ("", self.name) and age < 2 * limit:
                continue
            done = await self.repository.delete(seen.stored)
            if isinstance(done, Err):
                logger.warning("batch not deleted", extra={"batch": header.batch_id})
                return
            self.board.forget(header.batch_id)

    async def leave(self) -> None:
        """Give all batches up, with what there is of their items."""
        self.leaving = True
        for holder in list(self.holders.values()):
            holder.release()
        while self.holders:
            await self.clock.sleep_ms(20)
