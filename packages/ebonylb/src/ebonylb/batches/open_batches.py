"""Demand of all open batches for the engines of a service, from the progress rows."""

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace

from ..interfaces import Clock
from ..routes import Route, RouteTable
from ..storage.follower import TableFollower
from .model import BatchHeader
from .progress_view import BatchProgressView, ObservedProgress
from .slot_shares import OpenBatch
from .takeover_rule import SILENCE_TIMEOUT_MS

# A holder whose row stays unchanged is replaced after 1.5 to 1.9 s. Where that fails,
# its batches stop to count 3 s after it was taken for lost.
ABANDONED_TIMEOUT_MS = SILENCE_TIMEOUT_MS + 3_000.0
# Batches that were submitted within this time of each other start together: neither has
# filled engines before the other one is seen. Twice the delay of the feed and a
# division.
START_TOGETHER_MS = 110.0
# Trainers submit a step every 4 s.
RECENT_HOLDER_MS = 6_000.0


def equal_weight(header: BatchHeader) -> float:
    """Return the same weight for each batch."""
    return 1.0


@dataclass(frozen=True, slots=True)
class SeenBatch:
    """Monotonic times at which a batch was submitted and at which it is due."""

    submitted_ms: float
    due_ms: float


class OpenBatches:
    """Reads the demand of open batches from the progress rows.

    Only rows count, also for the batches of this entry VM: all entry VMs have the same
    rows, up to the delay of the feed, but each one knows only its own items.

    Parameters
    ----------
    follower : TableFollower
        Keeps the progress view current.
    weight_of : callable
        Returns the weight of a batch.

    Attributes
    ----------
    seen : dict of str to SeenBatch
        When each batch was seen first and when it is due.
    """

    def __init__(
        self,
        routes: RouteTable,
        progress_view: BatchProgressView,
        follower: TableFollower,
        clock: Clock,
        weight_of: Callable[[BatchHeader], float] = equal_weight,
    ) -> None:
        self.routes = routes
        self.progress_view = progress_view
        self.follower = follower
        self.clock = clock
        self.weight_of = weight_of
        self.seen: dict[str, SeenBatch] = {}

    def record(self, observed: ObservedProgress) -> None:
        """Record when a batch is due at the first sight of its row.

        A row that appears while the table is followed was written a moment ago. For an
        older one the wall clocks decide, which may be adjusted.
        """
        header = observed.progress.header
        if header.batch_id in self.seen:
            return
        route = self.routes.find_by_name(header.route)
        if route is None:
            return
        if self.follower.loaded.is_set():
            written_ms = observed.progress.written_ms
            age_ms = self.progress_view.store_time.age_ms(written_ms)
        else:
            age_ms = max(0.0, self.clock.wall_ms() - header.submitted_unix_ms)
        submitted_ms = self.clock.monotonic_ms() - age_ms
        self.seen[header.batch_id] = SeenBatch(
            submitted_ms, submitted_ms + route.result_deadline_ms
        )

    def of_service(self, service: str) -> list[OpenBatch]:
        """Return the open batches with items for a service."""
        self.forget_deleted()
        now = self.clock.monotonic_ms()
        healthy_ms = self.follower.healthy_since_ms
        batches = []
        for batch_id, observed in self.progress_view.by_batch_id.items():
            progress = observed.progress
            if progress.ended or not progress.holder:
                continue
            silent_ms = now - max(observed.changed_ms, healthy_ms or -math.inf)
            route = self.routes.find_by_name(progress.header.route)
            if route is None or silent_ms > ABANDONED_TIMEOUT_MS:
                continue
            self.record(observed)
            unfinished = progress.header.total - progress.listed
            batches.append(
                OpenBatch(
                    batch_id,
                    progress.holder,
                    items_for(route, service, unfinished),
                    self.seen[batch_id].due_ms,
                    self.weight_of(progress.header),
                    progress.header.customer,
                    self.priority_of(progress.header, route),
                )
            )
        return batches

    def priority_of(self, header: BatchHeader, route: Route) -> int:
        """Return the order of a batch among those of its customer."""
        if not header.customer:
            return 0
        return self.routes.priority_of(header.customer, route)

    def items_of_others(
        self, name: str, batches: Iterable[OpenBatch], min_age_ms: float
    ) -> int:
        """Return the unfinished items of other holders' batches of some age."""
        latest_ms = self.clock.monotonic_ms() - min_age_ms
        return sum(
            batch.unfinished
            for batch in batches
            if batch.holder != name
            and batch.batch_id in self.seen
            and self.seen[batch.batch_id].submitted_ms <= latest_ms
        )

    def expected_batches(
        self, name: str, service: str, batches: Sequence[OpenBatch]
    ) -> list[OpenBatch]:
        """Return batches that other holders may begin together with one of this one.

        Trainers that wait for the same event submit their steps at once, and the row of
        each step arrives after some 60 ms. Until then each holder of a recent batch is
        expected to begin one like the new one, of a customer of its own.
        """
        now = self.clock.monotonic_ms()
        new = {
            batch.holder: batch
            for batch in batches
            if now - self.seen[batch.batch_id].submitted_ms < START_TOGETHER_MS
        }
        if name not in new:
            return []
        recent = {
            observed.progress.holder
            for observed in self.progress_view.by_batch_id.values()
            if now - observed.changed_ms < RECENT_HOLDER_MS
            and (route := self.routes.find_by_name(observed.progress.header.route))
            and items_for(route, service, 1)
        }
        return [
            replace(
                new[name], batch_id=f"expected/{holder}", holder=holder, customer=""
            )
            for holder in sorted(recent - new.keys() - {""})
        ]

    def forget_deleted(self) -> None:
        """Forget deleted batches."""
        by_batch_id = self.progress_view.by_batch_id
        if len(self.seen) > 2 * len(by_batch_id):
            self.seen = {b: seen for b, seen in self.seen.items() if b in by_batch_id}


def items_for(route: Route, service: str, items: int) -> int:
    """Return how many items of a batch run on a service, if the route is split."""
    weight = sum(target.weight for target in route.targets)
    part = sum(target.weight for target in route.targets if target.service == service)
    return math.ceil(items * part / weight) if weight else 0
