"""Runs one batch on this entry VM and stores its results."""

import asyncio
import contextlib
import logging
from collections.abc import Callable

from result import Err, Ok

from ..edges import Clock, Metrics
from ..edges.row_store import Put
from ..outcomes import StepError, new_token
from ..routes import Route
from ..tasks import cancel_and_wait
from . import rows
from .item_run import ItemRunner
from .item_state import ItemState
from .model import Batch, ItemResult, Partial, Progress
from .repository import BatchRepository, StoredProgress

logger = logging.getLogger(__name__)

# Results that come within this time share one transaction.
GROUP_MS = 15.0
# The holder changes the progress row at least this often; other entry VMs take a batch
# over when it stays unchanged for several times as long.
HEARTBEAT_MS = 500.0
# Events of unfinished items are stored this often: what a lost holder costs.
CHECKPOINT_MS = 720.0
# Entries of one transaction, of the 100 allowed.
MOST_RESULTS = 40
MOST_CHECKPOINTS = 40
MOST_BYTES = 600_000
RETRY_MS = 100.0
LONGEST_RETRY_MS = 600.0
# Wall clocks of entry VMs may differ, or be set: no item is given up before its
# retention is over by any of them.
CLOCK_SLACK_MS = 10_000.0


class BatchHolder:
    """All running items of one batch, and the commits of their results.

    What makes a result true is the conditional write of the progress row: of two
    holders that run the same batch for a while, one commits a position and the other
    learns that it lost the batch.

    Parameters
    ----------
    stored : StoredProgress
        Progress row that names this entry VM as holder.
    route : Route
        Route of the batch.
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
        note: Callable[[StoredProgress], None],
        row_bytes: int,
    ) -> None:
        self.batch = batch
        self.stored = stored
        self.route = route
        self.repository = repository
        self.runner = runner
        self.clock = clock
        self.metrics = metrics
        self.note = note
        self.row_bytes = row_bytes
        self.states = {item.item_id: ItemState(item) for item in batch.items}
        self.results: list[ItemResult] = []
        self.pending: list[ItemResult] = []
        self.attempted: dict[str, list[ItemResult]] = {}
        self.wake = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.stopping = False
        self.releasing = False
        now = clock.monotonic_ms()
        age = max(0, clock.wall_ms() - batch.header.submitted_unix_ms)
        age = min(age, route.retention_ms)
        self.due_ms = now + route.result_deadline_ms - age
        self.give_up_ms = now + route.retention_ms + CLOCK_SLACK_MS - age

    @property
    def batch_id(self) -> str:
        """Id of the batch."""
        return self.batch.header.batch_id

    @property
    def progress(self) -> Progress:
        """Progress as last stored."""
        return self.stored.progress

    def adopt(
        self, results: tuple[ItemResult, ...], partials: dict[str, Partial]
    ) -> None:
        """Start from what an earlier holder has stored."""
        self.results = list(results)
        for result in results:
            self.states.pop(result.item_id, None)
        for item_id, partial in partials.items():
            if item_id in self.states and self.may_use(partial.versions):
                self.states[item_id].adopt(partial)

    def carry_over(
        self, results: tuple[ItemResult, ...], partials: dict[str, Partial]
    ) -> int:
        """Use what the trainer's last batch has stored of the same items.

        Returns the number of items that need not run from the start.
        """
        used = 0
        for result in results:
            state = self.states.get(result.item_id)
            if state and result.succeeded and self.may_use(result.versions):
                self.states.pop(result.item_id)
                self.pending.append(result)
                used += 1
        for item_id, partial in partials.items():
            state = self.states.get(item_id)
            if state and partial.events and self.may_use(partial.versions):
                state.adopt(partial)
                state.stored = 0  # the new batch has no checkpoint of its own yet
                used += 1
        return used

    def may_use(self, versions: tuple[int, ...]) -> bool:
        """Tell whether text of these weight versions fits the batch."""
        distinct = set(versions)
        if self.route.single_version and len(distinct) > 1:
            return False
        return all(version >= self.batch.header.min_version for version in distinct)

    async def run(self) -> None:
        """Run until all results are stored, the batch ended, or another took over."""
        # Long items take the free slots first, since they end last.
        longest_first = sorted(
            self.states.values(), key=lambda state: -state.item.length_hint
        )
        for state in longest_first:
            self.tasks.add(asyncio.create_task(self.run_item(state)))
        try:
            await self.commit_until_done()
        finally:
            await cancel_and_wait(self.tasks)

    async def run_item(self, state: ItemState) -> None:
        """Run one item and hand its result to the next commit."""
        result = await self.runner.run(
            state, self.batch.header, self.route, self.due_ms, self.give_up_ms
        )
        self.states.pop(state.item.item_id, None)
        self.pending.append(result)
        self.wake.set()

    def stop(self) -> None:
        """Stop at once: the batch ended or has another holder."""
        self.stopping = True
        for task in self.tasks:
            task.cancel()
        self.wake.set()

    def release(self) -> None:
        """Store what there is and give the batch up to another entry VM."""
        self.releasing = True
        for task in self.tasks:
            task.cancel()
        self.wake.set()

    def take_over_progress(self, stored: StoredProgress) -> None:
        """Learn of a change of the progress row; stop when it is not ours any more."""
        if stored.version <= self.stored.version:
            return
        if stored.progress.token in self.attempted or stored.progress.token == (
            self.progress.token
        ):
            return
        if stored.progress.closed or not self.is_mine(stored.progress):
            self.stop()

    def is_mine(self, progress: Progress) -> bool:
        """Tell whether a progress row names this process as holder."""
        mine = self.progress
        return (progress.holder, progress.incarnation) == (
            mine.holder,
            mine.incarnation,
        )

    async def commit_until_done(self) -> None:
        """Commit results and heartbeats."""
        pause = RETRY_MS
        checkpoint_ms = self.clock.monotonic_ms()
        # The first commit is due at once: it shows the entry VM that handed the batch
        # over that it was begun.
        last_ms = checkpoint_ms - HEARTBEAT_MS
        began_ms = checkpoint_ms
        begun = False
        while not self.stopping:
            timeout = (last_ms + HEARTBEAT_MS - self.clock.monotonic_ms()) / 1000
            with contextlib.suppress(TimeoutError):
                if not self.pending and not self.releasing:
                    async with asyncio.timeout(max(0.0, timeout)):
                        await self.wake.wait()
            self.wake.clear()
            if self.stopping:
                break
            if self.pending and not self.releasing:
                await self.clock.sleep_ms(GROUP_MS)
            now = self.clock.monotonic_ms()
            due = self.releasing or now - checkpoint_ms >= CHECKPOINT_MS
            committed = await self.commit(with_checkpoints=due)
            if committed and not begun:
                begun = True
                elapsed = round(self.clock.monotonic_ms() - began_ms)
                logger.info(
                    "batch begun",
                    extra={"batch": self.batch_id, "elapsed_ms": elapsed},
                )
            if committed:
                last_ms, pause = now, RETRY_MS
                checkpoint_ms = now if due else checkpoint_ms
                if self.progress.ended or self.releasing:
                    return
            elif not self.stopping:
                await self.clock.sleep_ms(pause)
                pause = min(LONGEST_RETRY_MS, pause * 2)
        if self.progress.closed or not self.releasing:
            await self.store_leftovers()

    async def store_leftovers(self) -> None:
        """Checkpoint the unfinished items of a closed batch for the next one.

        The trainer may ask for the same items again. A failure costs that work only.
        """
        puts = self.checkpoints()
        if not puts:
            return
        current = await self.repository.progress(self.batch_id)
        if isinstance(current, Err) or current.ok_value is None:
            logger.info("leftovers not stored", extra={"batch": self.batch_id})
            return
        stored = current.ok_value
        if not stored.progress.closed:
            return
        after = stored.progress.written(new_token())
        done = await self.repository.commit(
            stored.version, after, [*puts, rows.encode_progress(after)]
        )
        if isinstance(done, Ok) and done.ok_value is not None:
            self.note(done.ok_value)

    def checkpoints(self) -> list[Put]:
        """Return the writes of events that are not stored yet, most events first."""
        puts = []
        size = 0
        most_first = sorted(
            self.states.items(), key=lambda pair: pair[1].stored - len(pair[1].events)
        )
        for item_id, state in most_first:
            count = len(state.events)
            if count == state.stored:
                break
            put = rows.encode_partial(
                self.batch_id,
                item_id,
                state.stored,
                state.events[state.stored : count],
                state.versions[state.stored : count],
            )
            size += len(put.value)
            if len(put.value) > self.row_bytes or size > MOST_BYTES:
                continue
            puts.append(put)
            if len(puts) >= MOST_CHECKPOINTS:
                break
        return puts

    async def commit(self, with_checkpoints: bool) -> bool:
        """Store pending results; False when it did not or may not have succeeded."""
        chosen: list[ItemResult] = []
        puts: list[Put] = []
        size = 0
        position = self.progress.listed
        for result in self.pending[:MOST_RESULTS]:
            writes = rows.encode_result(
                self.batch_id, position + len(chosen), result, self.row_bytes
            )
            size += sum(len(put.value) for put in writes)
            if chosen and size > MOST_BYTES:
                break
            chosen.append(result)
            puts.extend(writes)
        counts = {}
        if with_checkpoints:
            counts = {i: len(state.events) for i, state in self.states.items()}
            room = 90 - len(puts)
            puts.extend(self.checkpoints()[: max(0, room)])
        listed = position + len(chosen)
        after = self.progress.written(
            new_token(),
            listed=listed,
            ended=self.progress.closed or listed >= self.batch.header.total,
            holder="" if self.releasing else self.progress.holder,
            written_ms=self.repository.store_time.now_ms(),
        )
        self.attempted[after.token] = chosen
        sent = await self.repository.commit(
            self.stored.version, after, [*puts, rows.encode_progress(after)]
        )
        if isinstance(sent, Ok) and sent.ok_value is not None:
            self.accept(sent.ok_value)
            self.mark_stored(counts, puts)
            return True
        if isinstance(sent, Err) and not sent.err_value.may_have_run:
            self.attempted.pop(after.token)
            return False
        return await self.settle(sent.err_value if isinstance(sent, Err) else None)

    def mark_stored(self, counts: dict[str, int], puts: list[Put]) -> None:
        """Note which events the last commit has stored."""
        written = {
            put.at.key.partition("/")[2].rpartition(".")[0]
            for put in puts
            if put.at.table == rows.PARTIALS_TABLE
        }
        for item_id, count in counts.items():
            state = self.states.get(item_id)
            if state is not None and item_id in written:
                state.stored = min(count, len(state.events))

    async def settle(self, cause: StepError | None) -> bool:
        """Find out what became of a commit by reading the progress row."""
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
        if stored.progress.token in self.attempted:
            self.accept(stored)
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
        self.note(stored)
        self.stop()
        return False

    def accept(self, stored: StoredProgress) -> None:
        """Take over a commit that took effect."""
        listed = self.attempted.get(stored.progress.token, [])
        known = {result.item_id for result in listed}
        self.results.extend(listed)
        self.pending = [r for r in self.pending if r.item_id not in known]
        self.attempted.clear()
        self.stored = stored
        self.note(stored)
        self.metrics.incr("batch.results", len(listed))
