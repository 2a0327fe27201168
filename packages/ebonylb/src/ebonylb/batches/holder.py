"""Holder of a batch: runs its items on this entry VM and stores their results."""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from ..interfaces import Clock, Metrics
from ..routes import Route
from ..tasks import cancel_and_wait
from .commits import BatchCommits, CommitOutcome
from .item_run import ItemRunner
from .item_starts import ItemStarts
from .item_state import ItemState
from .model import (
    Batch,
    BatchItem,
    ItemResult,
    Partial,
    Progress,
    are_versions_allowed,
)
from .recent_results import RecentResults
from .repository import BatchContent, BatchRepository, StoredProgress

logger = logging.getLogger(__name__)

# A commit waits this long for further results, to store them in the same transaction.
COMMIT_DELAY_MS = 15.0
# The holder changes the progress row at least this often. Other entry VMs take a batch
# over when its row stays unchanged for several intervals.
HEARTBEAT_INTERVAL_MS = 500.0
# Interval at which events of unfinished items are stored. The loss of a holder costs
# the events since the last checkpoint.
CHECKPOINT_INTERVAL_MS = 720.0
RETRY_MS = 100.0
# Pause before an item that failed unexpectedly runs again.
ITEM_RESTART_DELAY_MS = 1_000.0
MAX_RETRY_MS = 600.0
# Wall clocks of entry VMs may differ or be adjusted. With this allowance no item is
# abandoned before its retention is over by the clock of each entry VM.
CLOCK_SLACK_MS = 10_000.0


class BatchHolder:
    """Runs all items of one batch and commits their results.

    A result is final once the conditional write of the progress row has succeeded. If
    two holders run the same batch for a while, only one of them commits a position; the
    write of the other fails, and it stops.

    Parameters
    ----------
    stored : StoredProgress
        Progress row that names this entry VM as holder.
    route : Route
        Route of the batch.
    report_progress : callable
        Called with each progress row that the holder has written or read.
    row_bytes : int
        Maximum size of a row's value in bytes.

    Attributes
    ----------
    items_by_id : dict of str to BatchItem
        All items.
    unstarted : dict of str to BatchItem
        Items without a result that have not been started, by id.
    item_states : dict of str to ItemState
        Items without a result that were started or have events, by id.
    """

    def __init__(
        self,
        batch: Batch,
        stored: StoredProgress,
        route: Route,
        repository: BatchRepository,
        runner: ItemRunner,
        clock: Clock,
        metrics: Metrics,
        report_progress: Callable[[StoredProgress], None],
        row_bytes: int,
    ) -> None:
        self.batch = batch
        self.route = route
        self.runner = runner
        self.clock = clock
        self.metrics = metrics
        self.items_by_id = {item.item_id: item for item in batch.items}
        self.unstarted = dict(self.items_by_id)
        self.item_states: dict[str, ItemState] = {}
        self.starts = ItemStarts(batch.header, route, clock, self.start_item)
        self.commits = BatchCommits(
            stored, self.item_states, repository, metrics, report_progress, row_bytes
        )
        self.wake_event = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.stopping = False
        self.releasing = False
        now = clock.monotonic_ms()
        age_ms = max(0, clock.wall_ms() - batch.header.submitted_unix_ms)
        age_ms = min(age_ms, route.retention_ms)
        self.due_ms = now + route.result_deadline_ms - age_ms
        self.abandon_at_ms = now + route.retention_ms + CLOCK_SLACK_MS - age_ms

    @property
    def batch_id(self) -> str:
        """Id of the batch."""
        return self.batch.header.batch_id

    @property
    def progress(self) -> Progress:
        """Content of the last stored progress row."""
        return self.commits.progress

    @property
    def results(self) -> RecentResults:
        """Stored results that are kept in memory."""
        return self.commits.results

    def restore(self, content: BatchContent) -> None:
        """Resume from the results and checkpoints that earlier holders have stored."""
        self.commits.results = content.recent_results
        for item_id in content.finished_ids:
            self.unstarted.pop(item_id, None)
        for item_id, partial in content.partials.items():
            if item_id in self.unstarted and self.can_use(partial):
                self.state_of(item_id).restore(partial)

    def reuse_output(
        self, results: tuple[ItemResult, ...], partials: dict[str, Partial]
    ) -> int:
        """Reuse output that a batch of the trainer's previous step has stored.

        Return the number of items that need not run from the start.
        """
        reused_items = 0
        for result in results:
            if (
                result.item_id in self.unstarted
                and result.succeeded
                and self.can_use_versions(result.versions)
            ):
                self.reuse_result(result)
                reused_items += 1
        for item_id, partial in partials.items():
            if item_id in self.unstarted and partial.events and self.can_use(partial):
                state = self.state_of(item_id)
                state.restore(partial)
                # The new batch has no checkpoint of its own yet.
                state.mark_stored(0, False)
                reused_items += 1
        return reused_items

    def state_of(self, item_id: str) -> ItemState:
        """Return the state of an item without a result."""
        state = self.item_states.get(item_id)
        if state is None:
            state = self.item_states[item_id] = ItemState(self.unstarted[item_id])
        return state

    def reuse_result(self, result: ItemResult) -> None:
        """Reuse a result of the previous step, or only its text if its score differs.

        A score belongs to one scoring request.
        """
        scoring = self.unstarted[result.item_id].scoring
        if scoring is not None and scoring.request_id != result.scoring_id:
            self.state_of(result.item_id).restore_text(result)
            return
        self.unstarted.pop(result.item_id)
        self.item_states.pop(result.item_id, None)
        self.commits.pending_results.append(result)

    def can_use(self, partial: Partial) -> bool:
        """Return whether an item of the batch may begin with stored events."""
        return partial.can_continue and self.can_use_versions(partial.versions)

    def can_use_versions(self, versions: tuple[int, ...]) -> bool:
        """Return whether the batch may contain text of these weight versions."""
        return are_versions_allowed(
            versions, self.batch.header.min_version, self.route.single_version
        )

    async def run(self) -> None:
        """Run until all results are stored, or the batch is ended, released or lost."""
        # Long items get the free slots first, since they end last.
        longest_first = sorted(
            self.unstarted.values(), key=lambda item: -item.length_hint
        )
        self.add_task(self.start_items(longest_first))
        try:
            await self.commit_until_done()
        finally:
            await cancel_and_wait(list(self.tasks))

    def add_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine until it ends or the batch is left."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start_items(self, items: Sequence[BatchItem]) -> None:
        """Start all items.

        An unexpected exception costs a pause: items that never start would keep the
        batch from its end.
        """
        while True:
            try:
                await self.starts.run(items)
                return
            except Exception:
                logger.exception("start of items failed")
                self.metrics.incr("batch.item_errors")
                await self.clock.sleep_ms(ITEM_RESTART_DELAY_MS)

    def start_item(self, item: BatchItem) -> bool:
        """Start an item; return False if it has a result or the batch is left."""
        if self.stopping or self.releasing or item.item_id not in self.unstarted:
            return False
        state = self.state_of(item.item_id)
        del self.unstarted[item.item_id]
        self.add_task(self.run_item(state))
        return True

    async def run_item(self, state: ItemState) -> None:
        """Run one item and hand its result to the next commit.

        An unexpected exception costs a pause and not the item, without whose result
        the batch would never end.
        """
        has_waited = False

        # Later waits, for a server after the first one, do not hold up other starts.
        def end_wait() -> None:
            nonlocal has_waited
            if not has_waited:
                has_waited = True
                self.starts.end_wait(state.item)

        while True:
            try:
                result = await self.runner.run(
                    state,
                    self.batch.header,
                    self.route,
                    self.due_ms,
                    self.abandon_at_ms,
                    end_wait,
                )
                break
            except Exception:
                item_id = state.item.item_id
                logger.exception("item run failed", extra={"item": item_id})
                self.metrics.incr("batch.item_errors")
                await self.clock.sleep_ms(ITEM_RESTART_DELAY_MS)
        end_wait()
        self.item_states.pop(state.item.item_id, None)
        self.commits.pending_results.append(result)
        self.wake_event.set()

    def stop(self) -> None:
        """Stop at once, since the batch was ended or has another holder."""
        self.stopping = True
        for task in list(self.tasks):
            task.cancel()
        self.wake_event.set()

    def release(self) -> None:
        """Store results and checkpoints and release the batch to other entry VMs."""
        self.releasing = True
        for task in list(self.tasks):
            task.cancel()
        self.wake_event.set()

    def handle_progress_change(self, stored: StoredProgress) -> None:
        """Stop if a change of the progress row ended the batch or changed its holder.

        Changes written by this holder itself are ignored.
        """
        if stored.version <= self.commits.stored.version:
            return
        if self.commits.is_own_write(stored.progress.token):
            return
        if stored.progress.closed or not self.has_same_holder(stored.progress):
            self.stop()

    def has_same_holder(self, progress: Progress) -> bool:
        """Return whether a progress row names this holder and its incarnation."""
        own_progress = self.progress
        return (progress.holder, progress.incarnation) == (
            own_progress.holder,
            own_progress.incarnation,
        )

    async def commit_until_done(self) -> None:
        """Commit results, checkpoints and heartbeats until the batch is left."""
        retry_ms = RETRY_MS
        last_checkpoint_ms = self.clock.monotonic_ms()
        # The first commit is due at once: from it, the entry VM that handed the batch
        # over sees that this holder has started the batch.
        last_commit_ms = last_checkpoint_ms - HEARTBEAT_INTERVAL_MS
        started_ms = last_checkpoint_ms
        started = False
        while not self.stopping:
            timeout_s = (
                last_commit_ms + HEARTBEAT_INTERVAL_MS - self.clock.monotonic_ms()
            ) / 1000
            with contextlib.suppress(TimeoutError):
                if not self.commits.pending_results and not self.releasing:
                    async with asyncio.timeout(max(0.0, timeout_s)):
                        await self.wake_event.wait()
            self.wake_event.clear()
            if self.stopping:
                break
            if self.commits.pending_results and not self.releasing:
                await self.clock.sleep_ms(COMMIT_DELAY_MS)
            now = self.clock.monotonic_ms()
            checkpoint_due = (
                self.releasing or now - last_checkpoint_ms >= CHECKPOINT_INTERVAL_MS
            )
            outcome = await self.commits.commit(checkpoint_due, self.releasing)
            if outcome is CommitOutcome.BATCH_LOST:
                self.stop()
            committed = outcome is CommitOutcome.STORED
            if committed and not started:
                started = True
                elapsed_ms = round(self.clock.monotonic_ms() - started_ms)
                logger.info(
                    "batch begun",
                    extra={"batch": self.batch_id, "elapsed_ms": elapsed_ms},
                )
            if committed:
                last_commit_ms, retry_ms = now, RETRY_MS
                last_checkpoint_ms = now if checkpoint_due else last_checkpoint_ms
                # A commit that was under way when the release began did not release.
                if self.progress.ended or not self.progress.holder:
                    return
            elif not self.stopping:
                await self.clock.sleep_ms(retry_ms)
                retry_ms = min(MAX_RETRY_MS, retry_ms * 2)
        if self.progress.closed or not self.releasing:
            await self.commits.store_unfinished_items()
