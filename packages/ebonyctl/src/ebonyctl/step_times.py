"""Where the time of each batch went, from log files: ``ebonyctl steps``.

A batch takes as long as its last item. The table shows for each batch how long that
item waited for a server, ran, and waited for its score, and how long its result took to
be stored. It needs no running system.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime

from .traces import LogLine

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
SCORED_MESSAGES = ("item scored", "item not scored")
HEADER = (
    f"{'accepted':>12} {'batch':16} {'step':>4} {'items':>5} {'took':>6} "
    f"{'waited':>6} {'ran':>6} {'scored':>6} {'stored':>6} {'events':>6} {'tries':>5}"
)


@dataclass(frozen=True)
class StepTime:
    """Duration of one batch in ms, and the stages of its last item.

    Attributes
    ----------
    took_ms : float
        From the acceptance until all results were stored.
    waited_ms, ran_ms, scored_ms : float
        Time in which the last item waited for a server, ran on servers, and waited for
        its score.
    stored_ms : float
        From the end of the last item until all results were stored.
    """

    accepted: str
    batch: str
    step: int
    items: int
    took_ms: float
    waited_ms: float
    ran_ms: float
    scored_ms: float
    stored_ms: float
    events: int
    tries: int

    def format(self) -> str:
        """Return the row of the table."""
        return (
            f"{self.accepted[11:]:>12} {self.batch[:16]:16} {self.step:4} "
            f"{self.items:5} {self.took_ms:6.0f} {self.waited_ms:6.0f} "
            f"{self.ran_ms:6.0f} {self.scored_ms:6.0f} {self.stored_ms:6.0f} "
            f"{self.events:6} {self.tries:5}"
        )


@dataclass
class BatchLines:
    """Log lines of one batch."""

    accepted: LogLine
    ended_items: dict[str, LogLine] = field(default_factory=dict)
    scored_items: dict[str, LogLine] = field(default_factory=dict)
    finished: LogLine | None = None

    def last_end(self, item: str) -> str:
        """Return when an item had its text, and its score if it has one."""
        scored = self.scored_items.get(item)
        return max(self.ended_items[item].time, scored.time if scored else "")


def elapsed_ms(start: str, end: str) -> float:
    """Return the time between two log lines."""
    started = datetime.strptime(start, TIME_FORMAT)
    return (datetime.strptime(end, TIME_FORMAT) - started).total_seconds() * 1000


def collect_batches(lines: Iterable[LogLine]) -> dict[str, BatchLines]:
    """Return the lines of each accepted batch, by batch id."""
    batches: dict[str, BatchLines] = {}
    for line in sorted(lines, key=lambda line: line.time):
        batch_id = line.fields.get("batch")
        if line.message == "batch accepted":
            batches.setdefault(batch_id, BatchLines(line))
        batch = batches.get(batch_id)
        if batch is None:
            continue
        if line.message == "item ended":
            batch.ended_items[line.fields["item"]] = line
        elif line.message in SCORED_MESSAGES:
            batch.scored_items[line.fields["item"]] = line
        elif line.message == "batch left" and line.fields.get("ended"):
            batch.finished = batch.finished or line
    return batches


def measure_batch(batch: BatchLines) -> StepTime | None:
    """Return where the time of a batch went; None if it did not finish."""
    if batch.finished is None or not batch.ended_items:
        return None
    last_item = max(batch.ended_items, key=batch.last_end)
    ended = batch.ended_items[last_item].fields
    scored = batch.scored_items.get(last_item)
    accepted, finished = batch.accepted, batch.finished
    return StepTime(
        accepted=accepted.time,
        batch=accepted.fields["batch"],
        step=accepted.fields["step"],
        items=accepted.fields["items"],
        took_ms=elapsed_ms(accepted.time, finished.time),
        waited_ms=ended["waited_ms"],
        ran_ms=ended["elapsed_ms"] - ended["waited_ms"],
        scored_ms=scored.fields["elapsed_ms"] if scored else 0,
        stored_ms=elapsed_ms(batch.last_end(last_item), finished.time),
        events=ended["events"],
        tries=ended["tries"],
    )


def measure_batches(lines: Iterable[LogLine]) -> list[StepTime]:
    """Return where the time of each finished batch went, in order of acceptance."""
    measured = map(measure_batch, collect_batches(lines).values())
    return [step_time for step_time in measured if step_time is not None]
