"""Demand of a service in slots, from the progress rows that all entry VMs follow."""

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..batches.progress_view import ObservedProgress
from ..routes import Configuration, RouteKind

# A trainer sends a step every 4 s; peaks of this resolution keep some hundred values.
PEAK_INTERVAL_MS = 500.0
# A trainer that pauses, such as for an evaluation, returns with steps of the same size,
# and a server boots longer than half of the time in which a step is due.
BATCH_MEMORY_MS = 120_000.0
# Items may wait this part of their batch's time for a slot: 1.9 of 7.5 s. The longest
# items start first and need up to 90% of the time, short ones a fifth.
MAX_WAIT_SHARE = 0.25
# However short the items are, a third of those that wait get a slot at once.
MAX_ITEMS_PER_SLOT = 3.0
# Items that must have ended before their mean duration is used, and the time after
# which an ended item counts half.
MIN_ENDED_ITEMS = 20.0
DURATION_HALF_LIFE_MS = 10_000.0


@dataclass(frozen=True, slots=True)
class OpenBatch:
    """Unfinished items of one batch for one service.

    Parameters
    ----------
    model : str
        Model of all its items; empty for other work.
    unfinished : float
        Items without a result; a part of them if the route is split.
    age_ms : float
        Time since the batch was first seen; infinite if it was there at the first look.
    max_wait_ms : float
        Time that its items may wait for a slot after the submission.
    """

    batch_id: str
    model: str
    unfinished: float
    age_ms: float
    max_wait_ms: float

    def slots(self, item_ms: float | None) -> float:
        """Return the slots with which each item starts in time.

        A slot runs several items one after the other while the batch is young. Later,
        each item has its own. As long as the duration of an item is unknown, nobody
        has waited too long.
        """
        wait_left_ms = max(0.0, self.max_wait_ms - self.age_ms)
        if not item_ms:
            return self.unfinished / (MAX_ITEMS_PER_SLOT if wait_left_ms else 1.0)
        return self.unfinished / min(MAX_ITEMS_PER_SLOT, 1 + wait_left_ms / item_ms)


def slots_wanted(
    slots_of_batches: Iterable[tuple[OpenBatch, float]], models: int
) -> float:
    """Return the slots that batches use or want, from those of each batch.

    With several models, each is served by two of `models` parts of all servers, so that
    one model with most of the demand needs more servers than the sum shows.
    """
    by_model: dict[str, float] = {}
    for batch, slots in slots_of_batches:
        by_model[batch.model] = by_model.get(batch.model, 0) + slots
    total = sum(by_model.values())
    if models <= 2 or not by_model:
        return total
    return max(total, max(by_model.values()) * models / 2)


@dataclass(frozen=True, slots=True)
class Demand:
    """What the plan needs to know of a service's demand.

    Parameters
    ----------
    slots : float
        Highest number of slots in use or wanted within the window.
    batch_slots : float
        Slots of the largest batch of the last two minutes.
    item_slots : float
        Highest number of slots within the window if each item had its own.
    known_ms : float
        Time for which the knowledge has been complete without a gap.
    was_seen : bool
        Whether any batch was ever seen.
    """

    slots: float
    batch_slots: float
    known_ms: float
    was_seen: bool
    item_slots: float = 0.0


@dataclass(slots=True)
class Peak:
    """Highest demand within one interval."""

    interval: int
    slots: float
    batch_slots: float
    item_slots: float

    def raise_to(self, other: "Peak") -> None:
        """Take over what is higher in another peak of the same interval."""
        self.slots = max(self.slots, other.slots)
        self.batch_slots = max(self.batch_slots, other.batch_slots)
        self.item_slots = max(self.item_slots, other.item_slots)


class ItemDuration:
    """Mean time that an item holds a slot, from how fast items end.

    Items of closed batches end without a result, so that the estimate errs on the long
    side, which asks for more slots.
    """

    def __init__(self) -> None:
        self.busy_ms = 0.0
        self.ended = 0.0
        self.listed: dict[str, int] = {}

    def record(self, elapsed_ms: float, busy: float, listed: Mapping[str, int]) -> None:
        """Record the slots in use and the results of each batch after some time."""
        decay = 0.5 ** (elapsed_ms / DURATION_HALF_LIFE_MS)
        ended = sum(n - self.listed.get(batch_id, n) for batch_id, n in listed.items())
        self.busy_ms = self.busy_ms * decay + busy * elapsed_ms
        self.ended = self.ended * decay + max(0, ended)
        self.listed = dict(listed)

    @property
    def mean_ms(self) -> float | None:
        """Mean duration, or None before enough items have ended."""
        return self.busy_ms / self.ended if self.ended >= MIN_ENDED_ITEMS else None


class DemandHistory:
    """Peaks of the demand of one service.

    A batch is as old as this entry VM has known it: submissions carry the wall clock of
    the entry VM that accepted them, which may jump by seconds.
    """

    def __init__(self) -> None:
        self.peaks: deque[Peak] = deque()
        self.duration = ItemDuration()
        self.first_seen_ms: dict[str, float] = {}
        self.known_since_ms: float | None = None
        self.recorded_ms: float | None = None
        self.was_seen = False

    def interrupt(self) -> None:
        """Record that the rows may be incomplete from now on."""
        self.known_since_ms = self.recorded_ms = None

    def age_ms(self, batch_id: str, now_ms: float) -> float:
        """Return the time since a batch was first seen."""
        # What is there at the first look, or after a gap, may be of any age.
        unknown = self.recorded_ms is None
        first = self.first_seen_ms.setdefault(
            batch_id, -math.inf if unknown else now_ms
        )
        return now_ms - first

    def record(
        self,
        now_ms: float,
        batches: Iterable[OpenBatch],
        listed: Mapping[str, int],
        slots: int,
        models: int,
    ) -> None:
        """Record the open batches, the results of all batches and the listed slots."""
        batches = list(batches)
        elapsed_ms = 0.0 if self.recorded_ms is None else now_ms - self.recorded_ms
        unfinished = sum(batch.unfinished for batch in batches)
        self.duration.record(elapsed_ms, min(unfinished, slots), listed)
        self.first_seen_ms = {
            batch_id: at
            for batch_id, at in self.first_seen_ms.items()
            if batch_id in listed
        }
        self.recorded_ms = now_ms
        if self.known_since_ms is None:
            self.known_since_ms = now_ms
        item_ms = self.duration.mean_ms
        shared = [(batch, batch.slots(item_ms)) for batch in batches]
        wanted = slots_wanted(shared, models)
        largest = max((slots_wanted([pair], models) for pair in shared), default=0)
        items = slots_wanted([(batch, batch.unfinished) for batch in batches], models)
        self.was_seen = self.was_seen or wanted > 0
        interval = int(now_ms // PEAK_INTERVAL_MS)
        self.record_peak(Peak(interval, wanted, largest, items))

    def record_peak(self, peak: Peak) -> None:
        """Add a peak, or raise that of the same interval."""
        if self.peaks and self.peaks[-1].interval == peak.interval:
            self.peaks[-1].raise_to(peak)
        else:
            self.peaks.append(peak)
        oldest = peak.interval - BATCH_MEMORY_MS / PEAK_INTERVAL_MS
        while self.peaks[0].interval < oldest:
            self.peaks.popleft()

    def demand(self, now_ms: float, window_ms: float) -> Demand:
        """Return the demand, with the peak of the last `window_ms`."""
        oldest = (now_ms - window_ms) // PEAK_INTERVAL_MS
        recent = [peak for peak in self.peaks if peak.interval >= oldest]
        known_since_ms = now_ms if self.known_since_ms is None else self.known_since_ms
        return Demand(
            max((peak.slots for peak in recent), default=0.0),
            max((peak.batch_slots for peak in self.peaks), default=0.0),
            now_ms - known_since_ms,
            self.was_seen,
            max((peak.item_slots for peak in recent), default=0.0),
        )


def has_only_batches(configuration: Configuration, service: str) -> bool:
    """Return whether all requests to a service are items of batches."""
    kinds = {
        route.kind
        for route in configuration.routes
        if any(target.service == service for target in route.targets)
    }
    return kinds == {RouteKind.BATCH}


def open_batches(
    configuration: Configuration,
    service: str,
    observed: Mapping[str, ObservedProgress],
    history: DemandHistory,
    now_ms: float,
) -> list[OpenBatch]:
    """Return the open batches with items for a service."""
    routes = {route.name: route for route in configuration.routes}
    batches = []
    for batch_id, row in observed.items():
        header = row.progress.header
        route = routes.get(header.route)
        if route is None:
            continue
        age_ms = history.age_ms(batch_id, now_ms)
        weights = sum(target.weight for target in route.targets)
        weight = sum(t.weight for t in route.targets if t.service == service)
        unfinished = header.total - row.progress.listed
        if row.progress.ended or unfinished <= 0 or weight <= 0:
            continue
        batches.append(
            OpenBatch(
                batch_id,
                header.model,
                unfinished * weight / weights,
                age_ms,
                route.result_deadline_ms * MAX_WAIT_SHARE,
            )
        )
    return batches
