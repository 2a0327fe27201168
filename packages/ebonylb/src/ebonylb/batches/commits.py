"""Commits of a batch: results, checkpoints, and writes whose outcome is unclear."""

import logging
from collections.abc import Callable
from enum import Enum, auto

from result import Err, Ok

from ..interfaces import Metrics
from ..interfaces.row_store import Put
from ..outcomes import StepError, new_token
from . import rows
from .item_state import ItemState
from .model import ItemResult, Progress
from .recent_results import RecentResults
from .repository import BatchRepository, StoredProgress

logger = logging.getLogger(__name__)

# A transaction may have 100 entries.
MAX_RESULTS_PER_COMMIT = 40
MAX_CHECKPOINTS_PER_COMMIT = 40
MAX_COMMIT_BYTES = 600_000


class CommitOutcome(Enum):
    """What became of a commit.

    Whether an unknown commit has taken effect shows in the next one. A batch is lost to
    this holder if it has another one, was ended or was deleted.
    """

    STORED = auto()
    UNKNOWN = auto()
    BATCH_LOST = auto()


class BatchCommits:
    """Stores results and checkpoints of a batch with conditional writes of its row.

    Parameters
    ----------
    stored : StoredProgress
        Progress row that names this entry VM as holder.
    item_states : dict of str to ItemState
        Unfinished items that were started or have events; the holder changes them.
    report_progress : callable
        Called with each progress row that was written or read.
    row_bytes : int
        Maximum size of a row's value in bytes.

    Attributes
    ----------
    results : RecentResults
        Stored results.
    pending_results : list of ItemResult
        Results to be stored.
    attempted_commits : dict of str to list of ItemResult
        Results in commits whose outcome is not known, by the token of the write.
    """

    def __init__(
        self,
        stored: StoredProgress,
        item_states: dict[str, ItemState],
        repository: BatchRepository,
        metrics: Metrics,
        report_progress: Callable[[StoredProgress], None],
        row_bytes: int,
    ) -> None:
        self.stored = stored
        self.item_states = item_states
        self.repository = repository
        self.metrics = metrics
        self.report_progress = report_progress
        self.row_bytes = row_bytes
        self.results = RecentResults()
        self.pending_results: list[ItemResult] = []
        self.attempted_commits: dict[str, list[ItemResult]] = {}

    @property
    def progress(self) -> Progress:
        """Content of the last stored progress row."""
        return self.stored.progress

    @property
    def batch_id(self) -> str:
        """Id of the batch."""
        return self.progress.header.batch_id

    def is_own_write(self, token: str) -> bool:
        """Return whether the write with a token was made by this holder."""
        return token in self.attempted_commits or token == self.progress.token

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

    async def commit(self, with_checkpoints: bool, releasing: bool) -> CommitOutcome:
        """Store pending results, and that the batch has no holder if `releasing`."""
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
            ended=self.progress.closed or listed >= self.progress.header.total,
            holder="" if releasing else self.progress.holder,
            written_ms=self.repository.store_time.now_ms(),
        )
        self.attempted_commits[after.token] = committed_results
        sent = await self.repository.commit(
            self.stored.version, after, [*puts, rows.encode_progress(after)]
        )
        if isinstance(sent, Ok) and sent.ok_value is not None:
            self.apply_commit(sent.ok_value)
            self.mark_events_stored(written_states, puts)
            return CommitOutcome.STORED
        if isinstance(sent, Err) and not sent.err_value.may_have_run:
            self.attempted_commits.pop(after.token)
            return CommitOutcome.UNKNOWN
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

    async def resolve_unclear_commit(self, cause: StepError | None) -> CommitOutcome:
        """Read the progress row to find out whether an unclear commit took effect."""
        current = await self.repository.progress(self.batch_id)
        if isinstance(current, Err):
            logger.warning(
                "commit unclear", extra={"batch": self.batch_id, "cause": str(cause)}
            )
            return CommitOutcome.UNKNOWN
        stored = current.ok_value
        if stored is None:
            return CommitOutcome.BATCH_LOST
        if stored.progress.token in self.attempted_commits:
            self.apply_commit(stored)
            return CommitOutcome.STORED
        if stored.version == self.stored.version:
            return CommitOutcome.UNKNOWN
        logger.info(
            "batch has another holder or ended",
            extra={
                "batch": self.batch_id,
                "holder": stored.progress.holder,
                "closed": stored.progress.closed,
            },
        )
        self.report_progress(stored)
        return CommitOutcome.BATCH_LOST

    def apply_commit(self, stored: StoredProgress) -> None:
        """Update results and progress after a commit that has taken effect."""
        listed = self.attempted_commits.get(stored.progress.token, [])
        self.results.extend(listed)
        # Each commit takes the first of them, and only its success removes any.
        del self.pending_results[: len(listed)]
        self.attempted_commits.clear()
        self.stored = stored
        self.report_progress(stored)
        self.metrics.incr("batch.results", len(listed))
