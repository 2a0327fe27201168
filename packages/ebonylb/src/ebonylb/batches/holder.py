"""Holder of a batch: runs its items on this entry VM and stores their results."""

import asyncio
import contextlib
import logging
from collections.abc import Callable

from result import Err, Ok

from ..interfaces import Clock, Metrics
from ..interfaces.row_store import Put
from ..outcomes import StepError, new_token
from ..routes import Route
from ..tasks import cancel_and_wait
from . import rows
from .item_run import ItemRunner
from .item_state import ItemState
from .model import Batch, ItemResult, Partial, Progress
from .repository import BatchRepository, StoredProgress

logger = logging.getLogger(__name__)

# A commit waits this long for further results, to store them in the same transaction.
COMMIT_DELAY_MS = 15.0
# The holder changes the progress row at least this often. Other entry VMs take a batch
# over when its row stays unchanged for several intervals.
HEARTBEAT_INTERVAL_MS = 500.0
# Interval at which events of unfinished items are stored. The loss of a holder costs
# the events since the last checkpoint.
CHECKPOINT_INTERVAL_MS = 720.0
# A transaction may have 100 entries.
MAX_RESULTS_PER_COMMIT = 40
MAX_CHECKPOINTS_PER_COMMIT = 40
MAX_COMMIT_BYTES = 600_000
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
        self.stored = stored
        self.route = route
        self.repository = repository
        self.runner = runner
        self.clock = clock
        self.metrics = metrics
        self.report_progress = report_progress
        self.row_bytes = row_bytes
        self.item_states = {item.item_id: ItemState(item) for item in batch.items}
        self.results: list[ItemResult] = []
        self.pending_results: list[ItemResult] = []
        self.attempted_commits: dict[str, list[ItemResult]] = {}
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
        return self.stored.progress

    def restore(
        self, results: tuple[ItemResult, ...], partials: dict[str, Partial]
    ) -> None:
        """Resume from the results and checkpoints that earlier holders have stored."""
        self.results = list(results)
        for result in results:
            self.item_states.pop(result.item_id, None)
        for item_id, partial in partials.items():
            if item_id in self.item_states and self.can_use(partial):
                self.item_states[item_id].restore(partial)

    def reuse_output(
        self, results: tuple[ItemResult, ...], partials: dict[str, Partial]
    ) -> int:
        """Reuse output that a batch of the trainer's previous step has stored.

        Return the number of items that need not run from the start.
        """
        reused_items = 0
        for result in results:
            state = self.item_states.get(result.item_id)
            if state and result.succeeded and self.can_use_versions(result.versions):
                self.reuse_result(state, result)
                reused_items += 1
        for item_id, partial in partials.items():
            state = self.item_states.get(item_id)
            if state and partial.events and self.can_use(partial):
                state.restore(partial)
                # The new batch has no checkpoint of its own yet.
                state.mark_stored(0, False)
                reused_items += 1
        return reused_items

    def reuse_result(self, state: ItemState, result: ItemResult) -> None:
        """Reuse a result of the previous step, or only its text if its score differs.

        A score belongs to one scoring request.
        """
        scoring = state.item.scoring
        if scoring is not None and scoring.request_id != result.scoring_id:
            state.restore_text(result)
            return
        self.item_states.pop(result.item_id)
        self.pending_results.append(result)

    def can_use(self, partial: Partial) -> bool:
        """Return whether an item of the batch may begin with stored events."""
        return partial.can_continue and self.can_use_versions(partial.versions)

    def can_use_versions(self, versions: tuple[int, ...]) -> bool:
        """Return whether the batch may contain text of these weight versions."""
        distinct = set(versions)
        if self.route.single_version and len(distinct) > 1:
            return False
        return all(version >= self.batch.header.min_version for version in distinct)

    async def run(self) -> None:
        """Run until all results are stored, or the batch is ended, released or lost."""
        # Long items get the free slots first, since they end last.
        longest_first = sorted(
            self.item_states.values(), key=lambda state: -state.item.length_hint
        )
        for state in longest_first:
            self.tasks.add(asyncio.create_task(self.run_item(state)))
        try:
            await self.commit_until_done()
        finally:
            await cancel_and_wait(self.tasks)

    async def run_item(self, state: ItemState) -> None:
        """Run one item and hand its result to the next commit.

        An unexpected exception costs a pause and not the item, without whose result
        the batch would never end.
        """
        while True:
            try:
                result = await self.runner.run(
                    state,
                    self.batch.header,
                    self.route,
                    self.due_ms,
                    self.abandon_at_ms,
                )
                break
            except Exception:
                item_id = state.item.item_id
                logger.exception("item run failed", extra={"item": item_id})
                self.metrics.incr("batch.item_errors")
                await self.clock.sleep_ms(ITEM_RESTART_DELAY_MS)
        self.item_states.pop(state.item.item_id, None)
        self.pending_results.append(result)
        self.wake_event.set()

    def stop(self) -> None:
        """Stop at once, since the batch was ended or has another holder."""
        self.stopping = True
        for task in self.tasks:
            task.cancel()
        self.wake_event.set()

    def release(self) -> None:
        """Store results and checkpoints and release the batch to other entry VMs."""
        self.releasing = True
        for task in self.tasks:
            task.cancel()
        self.wake_event.set()

    def handle_progress_change(self, stored: StoredProgress) -> None:
        """Stop if a change of the progress row ended the batch or changed its holder.

        Changes written by this holder itself are ignored.
        """
        if stored.version <= self.stored.version:
            return
        if stored.progress.token in self.attempted_commits or stored.progress.token == (
            self.progress.token
        ):
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
                if not self.pending_results and not self.releasing:
                    async with asyncio.timeout(max(0.0, timeout_s)):
                        await self.wake_event.wait()
            self.wake_event.clear()
            if self.stopping:
                break
            if self.pending_results and not self.releasing:
                await self.clock.sleep_ms(COMMIT_DELAY_MS)
            now = self.clock.monotonic_ms()
            checkpoint_due = (
                self.releasing or now - last_checkpoint_ms >= CHECKPOINT_INTERVAL_MS
            )
            committed = await self.commit(with_checkpoints=checkpoint_due)
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
            await self.store_unfinished_items()

    async def store_unfinished_items(self) -> None:
        """Store checkpoints of the unfinished items of a batch that the caller ended.

        The trainer's next batch may contain the same items. If the write fails, only
        that work is lost.
        """
        puts = self.checkpoints()
        if not puts:
            return
        current = await self.repository.progress(self.batch_id)
        if isinstance(current, Err) or current.ok_value is None:
            logger.info(
                "unfinished items of an ended batch not stored",
                extra={"batch": self.batch_id},
            )
            return
        stored = current.ok_value
        if not stored.progress.closed:
            return
        after = stored.progress.next_state(new_token())
        result = await self.repository.commit(
            stored.version, after, [*puts, rows.encode_progress(after)]
        )
        if isinstance(result, Ok) and result.ok_value is not None:
            self.report_progress(result.ok_value)

    def checkpoints(self) -> list[Put]:
        """Return writes that store new events, for the items with the most first."""
        puts = []
        size = 0
        most_events_first = sorted(
            self.item_states.items(),
            key=lambda pair: pair[1].stored_events - len(pair[1].events),
        )
        for item_id, state in most_events_first:
            if not state.has_unstored_text:
                continue
            count = len(state.events)
            put = rows.encode_partial(
                self.batch_id,
                item_id,
                state.stored_events,
                state.events[state.stored_events : count],
                state.versions[state.stored_events : count],
                state.complete,
                state.software_version,
            )
            size += len(put.value)
            if len(put.value) > self.row_bytes or size > MAX_COMMIT_BYTES:
                continue
            puts.append(put)
            if len(puts) >= MAX_CHECKPOINTS_PER_COMMIT:
                break
        return puts

    async def commit(self, with_checkpoints: bool) -> bool:
        """Store pending results and return whether the commit has taken effect.

        Return False also if that is unknown.
        """
        committed_results: list[ItemResult] = []
        puts: list[Put] = []
        size = 0
        position = self.progress.listed
        for result in self.pending_results[:MAX_RESULTS_PER_COMMIT]:
            writes = rows.encode_result(
                self.batch_id, position + len(committed_results), result, self.row_bytes
            )
            size += sum(len(put.value) for put in writes)
            if committed_results and size > MAX_COMMIT_BYTES:
                break
            committed_results.append(result)
            puts.extend(writes)
        written_states = {}
        if with_checkpoints:
            written_states = {
                item_id: (len(state.events), state.complete)
                for item_id, state in self.item_states.items()
            }
            free_entries = 90 - len(puts)
            puts.extend(self.checkpoints()[: max(0, free_entries)])
        listed = position + len(committed_results)
        after = self.progress.next_state(
            new_token(),
            listed=listed,
            ended=self.progress.closed or listed >= self.batch.header.total,
            holder="" if self.releasing else self.progress.holder,
            written_ms=self.repository.store_time.now_ms(),
        )
        self.attempted_commits[after.token] = committed_results
        sent = await self.repository.commit(
            self.stored.version, after, [*puts, rows.encode_progress(after)]
        )
        if isinstance(sent, Ok) and sent.ok_value is not None:
            self.apply_commit(sent.ok_value)
            self.mark_events_stored(written_states, puts)
            return True
        if isinstance(sent, Err) and not sent.err_value.may_have_run:
            self.attempted_commits.pop(after.token)
            return False
        return await self.resolve_unclear_commit(
            sent.err_value if isinstance(sent, Err) else None
        )

    def mark_events_stored(
        self, written_states: dict[str, tuple[int, bool]], puts: list[Put]
    ) -> None:
        """Record which events the last commit has stored.

        `written_states` has for each item the number of events, and whether they were
        all, when the commit was made.
        """
        written = {
            put.row_key.key.partition("/")[2].rpartition(".")[0]
            for put in puts
            if put.row_key.table == rows.PARTIALS_TABLE
        }
        for item_id, (count, complete) in written_states.items():
            state = self.item_states.get(item_id)
            if state is not None and item_id in written:
                state.mark_stored(count, complete)

    async def resolve_unclear_commit(self, cause: StepError | None) -> bool:
        """Read the progress row and return whether an unclear commit has taken effect.

        Stop if the batch has another holder, was ended or was deleted.
        """
        current = await self.repository.progress(self.batch_id)
        if isinstance(current, Err):
            logger.warning(
                "commit unclear", extra={"batch": self.batch_id, "cause": str(cause)}
            )
            return False
        stored = current.ok_value
        if stored is None:
            self.stop()
            return False
        if stored.progress.token in self.attempted_commits:
            self.apply_commit(stored)
            return True
        if stored.version == self.stored.version:
            return False
        logger.info(
            "batch has another holder or ended",
            extra={
                "batch": self.batch_id,
                "holder": stored.progress.holder,
                "closed": stored.progress.closed,
            },
        )
        self.report_progress(stored)
        self.stop()
        return False

    def apply_commit(self, stored: StoredProgress) -> None:
        """Update results and progress after a commit that has taken effect."""
        listed = self.attempted_commits.get(stored.progress.token, [])
        committed_ids = {result.item_id for result in listed}
        self.results.extend(listed)
        self.pending_results = [
            r for r in self.pending_results if r.item_id not in committed_ids
        ]
        self.attempted_commits.clear()
        self.stored = stored
        self.report_progress(stored)
        self.metrics.incr("batch.results", len(listed))
