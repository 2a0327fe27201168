"""Which server a piece of work goes to."""

import random
import statistics
from collections.abc import Iterable
from dataclasses import dataclass

from ..edges import Clock
from .directory import ServerDirectory
from .model import ListedServer

# Round trips between places, in milliseconds: within a failure domain, a region, and
# across regions (one way 0.2, 1.4 and 12 ms on today's sites).
ROUND_TRIP_MS = (0.4, 2.8, 24.0)
# Time that a failed attempt costs a caller: the delay until a second copy starts.
FAILURE_COST_MS = 150.0
# Duration of a plain request before any was observed.
DEFAULT_DURATION_MS = 30.0
# Gap between stream events before any was observed.
DEFAULT_GAP_MS = 40.0
# Each stream event asks for the median over all servers; it is kept for half of a gap.
MEDIAN_GAP_TTL_MS = 20.0
# Servers whose gaps are known before their median counts alone.
MIN_OBSERVED_GAPS = 3
# A full batch counts like this much slowness: tokens of a full batch take about a
# third longer, and work behind a full batch waits.
LOAD_COST = 1.0
# Preference for near engines: bytes across regions are paid and cost a round trip.
ENGINE_DISTANCE_COST = (0.0, 0.02, 0.1)
# Failures on an engine cost a resumption on another one.
ENGINE_FAILURE_COST = 2.0


@dataclass(frozen=True, slots=True)
class Locality:
    """Failure domain and region of this entry VM, and the regions of all domains."""

    failure_domain: str
    region: str
    regions: dict[str, str]


def distance_of(locality: Locality, failure_domain: str) -> int:
    """Return 0 for the same failure domain, 1 for the same region, 2 beyond."""
    if failure_domain == locality.failure_domain:
        return 0
    return 1 if locality.regions.get(failure_domain) == locality.region else 2


@dataclass(frozen=True, slots=True)
class MedianGap:
    """Median gap of a service, and when it was worked out."""

    gap_ms: float
    computed_ms: float


class ServerSelector:
    """Ranks the servers of a service by what they are expected to cost.

    Parameters
    ----------
    directory : ServerDirectory
        Servers and their conditions.
    clock : Clock
        Source of time.
    locality : Locality
        Where this entry VM is.
    """

    def __init__(
        self, directory: ServerDirectory, clock: Clock, locality: Locality
    ) -> None:
        self.directory = directory
        self.clock = clock
        self.locality = locality
        self.median_gaps: dict[str, MedianGap] = {}

    def plain_cost_ms(self, server: ListedServer) -> float:
        """Return the expected duration of a plain request."""
        now = self.clock.monotonic_ms()
        condition = self.directory.condition(server.name)
        duration_ms = condition.duration_ms or DEFAULT_DURATION_MS
        queue_factor = max(0.0, condition.load(now) + 1 - server.slots) / server.slots
        load_factor = condition.load(now) / server.slots
        return (
            duration_ms * (1 + queue_factor + 0.3 * load_factor)
            + ROUND_TRIP_MS[distance_of(self.locality, server.failure_domain)]
            + condition.decayed_failure_share(now) * FAILURE_COST_MS
        )

    def choose_plain(
        self, service: str, excluded: Iterable[str] = ()
    ) -> ListedServer | None:
        """Return the cheapest server that is not excluded; resting ones come last."""
        now = self.clock.monotonic_ms()
        excluded = set(excluded)
        candidates = [
            s for s in self.directory.ready(service) if s.name not in excluded
        ]
        available = [
            s
            for s in candidates
            if not self.directory.condition(s.name).is_backing_off(now)
        ]
        if available:
            return min(
                available, key=lambda s: (self.plain_cost_ms(s), random.random())
            )
        return min(
            candidates,
            key=lambda s: self.directory.condition(s.name).backoff_until_ms,
            default=None,
        )

    def median_gap_ms(self, service: str) -> float:
        """Return the median gap between events over the servers of a service."""
        now = self.clock.monotonic_ms()
        cached = self.median_gaps.get(service)
        if cached is None or now - cached.computed_ms >= MEDIAN_GAP_TTL_MS:
            cached = MedianGap(self.compute_median_gap_ms(service), now)
            self.median_gaps[service] = cached
        return cached.gap_ms

    def compute_median_gap_ms(self, service: str) -> float:
        """Work the median gap of a service out."""
        gaps = [
            gap
            for server in self.directory.ready(service)
            if (gap := self.directory.condition(server.name).gap_ms) is not None
        ]
        # Few observations may all come from the one slow server.
        gaps.extend([DEFAULT_GAP_MS] * (MIN_OBSERVED_GAPS - len(gaps)))
        return statistics.median_low(gaps)

    def engine_cost(self, server: ListedServer, median_gap_ms: float) -> float:
        """Return the cost of one more stream on an engine; 1 for an idle near one."""
        now = self.clock.monotonic_ms()
        condition = self.directory.condition(server.name)
        return (
            max(
                condition.slowness(median_gap_ms, now),
                condition.recent_slowness(median_gap_ms, now),
            )
            * (1 + LOAD_COST * condition.load(now) / server.slots)
            + ENGINE_DISTANCE_COST[distance_of(self.locality, server.failure_domain)]
            + ENGINE_FAILURE_COST * condition.decayed_failure_share(now)
        )
