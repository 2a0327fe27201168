"""Selection of servers by expected cost."""

import logging
import random
import statistics
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..interfaces import Clock
from .cost import ServerCost
from .directory import ServerDirectory
from .model import ListedServer
from .sending_limits import NoSendingLimits, SendingLimits

logger = logging.getLogger(__name__)

# Round-trip times within a failure domain, within a region, and across regions. One-way
# latencies of the sites are 0.2, 1.4 and 12 ms.
ROUND_TRIP_MS = (0.4, 2.8, 24.0)
# A failed attempt costs the caller the delay until a hedged copy starts.
FAILURE_COST_MS = 150.0
# Assumed duration of a plain request before one was observed.
DEFAULT_DURATION_MS = 30.0
# Assumed gap between stream events before one was observed.
DEFAULT_GAP_MS = 40.0
# The median over all servers is requested for each stream event. It is cached for half
# of a gap, so that the servers aren't scanned each time.
MEDIAN_GAP_TTL_MS = 20.0
# With fewer observed gaps, the median is computed with the default gap in place of the
# missing ones.
MIN_OBSERVED_GAPS = 3
# Slowness that a full batch adds: tokens of a full batch take about a third longer, and
# further work has to wait.
LOAD_COST = 1.0
# A long stream has its slot already when others have to wait, so that only the slower
# tokens count.
LONG_STREAM_LOAD_COST = 0.25
# Nearby engines are preferred: traffic across regions is paid for and costs a round
# trip. Indexed by distance.
ENGINE_DISTANCE_COST = (0.0, 0.02, 0.1)
# After a failure on an engine, the run has to be resumed on another one.
ENGINE_FAILURE_COST = 2.0


@dataclass(frozen=True, slots=True)
class Locality:
    """Failure domain and region of this entry VM, and the regions of all domains."""

    failure_domain: str
    region: str
    regions: dict[str, str]


def distance_of(locality: Locality, failure_domain: str) -> int:
    """Return the distance to a failure domain.

    It is 0 for the entry VM's own failure domain, 1 within its region, and 2 otherwise.
    """
    if failure_domain == locality.failure_domain:
        return 0
    return 1 if locality.regions.get(failure_domain) == locality.region else 2


@dataclass(frozen=True, slots=True)
class MedianGap:
    """Cached median gap of a service and the time of its computation."""

    gap_ms: float
    computed_ms: float


class ServerSelector:
    """Ranks the servers of a service by their expected cost.

    Parameters
    ----------
    directory : ServerDirectory
        Listed servers and their conditions.
    clock : Clock
        Source of time.
    locality : Locality
        Location of this entry VM.
    limits : SendingLimits or None
        Limits on what may be sent to servers; None for none.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        clock: Clock,
        locality: Locality,
        limits: SendingLimits | None = None,
    ) -> None:
        self.directory = directory
        self.clock = clock
        self.locality = locality
        self.limits = limits or NoSendingLimits()
        self.median_gaps: dict[str, MedianGap] = {}

    def plain_cost(self, server: ListedServer) -> ServerCost:
        """Return the expected duration of a plain request on a server, in ms."""
        now = self.clock.monotonic_ms()
        condition = self.directory.condition(server.name)
        duration_ms = condition.duration_ms or DEFAULT_DURATION_MS
        queue_factor = max(0.0, condition.load(now) + 1 - server.slots) / server.slots
        load_factor = condition.load(now) / server.slots
        distance = distance_of(self.locality, server.failure_domain)
        return ServerCost(
            duration=duration_ms,
            queue=duration_ms * queue_factor,
            load=duration_ms * 0.3 * load_factor,
            distance=ROUND_TRIP_MS[distance],
            failures=condition.decayed_failure_share(now) * FAILURE_COST_MS,
        )

    def choose_plain(
        self,
        service: str,
        excluded: Iterable[str] = (),
        spare_slots: int = 0,
        software_version: str | None = None,
    ) -> ListedServer | None:
        """Return the cheapest server that is not excluded and whose limit has room.

        If `software_version` is not None, only servers of that version are considered.

        Servers in backoff are used only if there is no other server; the one whose
        backoff ends first is then returned. Of the others, those that would keep
        `spare_slots` free slots are preferred.
        """
        excluded = set(excluded)
        candidates = [
            s
            for s in self.directory.ready(service)
            if s.name not in excluded
            and self.plain_exclusion(s, software_version, self.limits.can_send) is None
        ]
        preferred = self.preferred(candidates, spare_slots)
        return min(
            preferred,
            key=lambda s: (self.total_cost(s), random.random()),
            default=None,
        )

    def total_cost(self, server: ListedServer) -> float:
        """Return the cost of a server; infinity if it cannot be computed.

        An odd value in a server's entry costs that server its place in the choice, and
        not the request.
        """
        try:
            return self.plain_cost(server).total
        except (ArithmeticError, TypeError, ValueError) as error:
            logger.warning(
                "cost of a server cannot be computed",
                extra={"server": server.name, "cause": repr(error)},
            )
            return float("inf")

    def plain_exclusion(
        self,
        server: ListedServer,
        software_version: str | None,
        can_send: Callable[[ListedServer], bool],
    ) -> str | None:
        """Return what excludes a server from a plain request; None if nothing does.

        Parameters
        ----------
        can_send : callable
            Whether the limit of a server has room.
        """
        if software_version not in (None, server.software_version):
            return "version"
        return None if can_send(server) else "limit"

    def preferred(
        self, candidates: list[ListedServer], spare_slots: int = 0
    ) -> list[ListedServer]:
        """Return the candidates among which the cost decides.

        These are the ones that are not in backoff, or else the one whose backoff ends
        first; of them, those that would keep `spare_slots` free slots.
        """
        now = self.clock.monotonic_ms()
        condition = self.directory.condition
        available = [s for s in candidates if not condition(s.name).is_backing_off(now)]
        if not available:
            first = min(
                candidates,
                key=lambda s: condition(s.name).backoff_until_ms,
                default=None,
            )
            return [first] if first is not None else []
        if not spare_slots:
            return available
        return [
            s for s in available if condition(s.name).load(now) + spare_slots < s.slots
        ] or available

    def median_gap_ms(self, service: str) -> float:
        """Return the cached median gap between events over a service's servers."""
        now = self.clock.monotonic_ms()
        cached = self.median_gaps.get(service)
        if cached is None or now - cached.computed_ms >= MEDIAN_GAP_TTL_MS:
            cached = MedianGap(self.compute_median_gap_ms(service), now)
            self.median_gaps[service] = cached
        return cached.gap_ms

    def peek_median_gap_ms(self, service: str) -> float:
        """Return what `median_gap_ms` would return, without a change of its cache."""
        cached = self.median_gaps.get(service)
        now = self.clock.monotonic_ms()
        if cached is not None and now - cached.computed_ms < MEDIAN_GAP_TTL_MS:
            return cached.gap_ms
        return self.compute_median_gap_ms(service)

    def compute_median_gap_ms(self, service: str) -> float:
        """Compute the median gap between events over a service's servers."""
        gaps = [
            gap
            for server in self.directory.ready(service)
            if (gap := self.directory.condition(server.name).gap_ms) is not None
        ]
        # A few observations may all come from one slow server.
        gaps.extend([DEFAULT_GAP_MS] * (MIN_OBSERVED_GAPS - len(gaps)))
        return statistics.median_low(gaps)

    def engine_cost(
        self, server: ListedServer, median_gap_ms: float, length_share: float
    ) -> ServerCost:
        """Return the cost of one more stream on an engine.

        It is 1 for an idle engine in the same failure domain. A long stream should run
        on a fast engine, even if it is fuller. A short one loses little on a slow one,
        where it leaves the fast ones to the long streams.

        Parameters
        ----------
        length_share : float
            Expected duration of the stream relative to the time until it is due, from
            0 to 1.
        """
        now = self.clock.monotonic_ms()
        condition = self.directory.condition(server.name)
        slowness = max(
            condition.slowness(median_gap_ms, now),
            condition.recent_slowness(median_gap_ms, now),
        )
        load_cost = LOAD_COST + length_share * (LONG_STREAM_LOAD_COST - LOAD_COST)
        duration = 1 + length_share * (slowness - 1)
        distance = distance_of(self.locality, server.failure_domain)
        return ServerCost(
            duration=duration,
            load=duration * load_cost * condition.load(now) / server.slots,
            distance=ENGINE_DISTANCE_COST[distance],
            failures=ENGINE_FAILURE_COST * condition.decayed_failure_share(now),
        )
