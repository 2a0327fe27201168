"""What this entry VM has observed of one backend server."""

import math
from dataclasses import dataclass, field

from ..edges.server_port import ServerLoad

# Load that other entry VMs cause is known from answers only and is forgotten at this
# rate; an engine's item lasts about a second.
REPORT_LIFE_MS = 1_500
# A server that failed is tried again after this, doubled with each further failure.
FIRST_REST_MS = 250
LONGEST_REST_MS = 4_000
# Time constant of the average gap. Neighbours on the same machine slow a server for
# some 600 ms at a time, which should not look like a slow server.
GAP_TIME_MS = 1_000.0
# Time constant of the pace, which follows just these disturbances: about three events.
PACE_TIME_MS = 120.0
# A pace is forgotten after this: a disturbance lasts some 600 ms.
PACE_LIFE_MS = 400.0
# Weight of the newest observation in the other moving averages.
DURATION_WEIGHT = 0.2
FAILURE_WEIGHT = 0.15
# An observed slowness counts for this long and then fades, so that a server that has
# recovered gets work again.
SLOWNESS_LIFE_MS = 2_500
# A server that reports this slowdown is slow itself: its neighbours slow it 2.5 times.
SLOW_REPORT = 2.6
# Share of failed requests fades with this half-life.
FAILURE_HALF_LIFE_MS = 4_000


@dataclass(slots=True)
class ServerCondition:
    """Load, speed and failures of one incarnation of a server.

    Attributes
    ----------
    own : int
        Requests of this entry VM in progress there.
    others : float
        Requests of other entry VMs at the time of the last report.
    slowdown : float
        Duration of work relative to the usual one, as last reported.
    gap_ms : float or None
        Average time between stream events.
    pace_ms : float
        Time between the last few stream events.
    duration_ms : float or None
        Average duration of a plain request.
    failure_share : float
        Recent share of failed requests, from 0 to 1.
    resting_until_ms : float
        No new work before, unless there is no other server.
    versions : dict of str to int
        Weight versions seen in answers or caused by own orders.
    """

    own: int = 0
    others: float = 0.0
    reported_ms: float = -1e12
    slowdown: float = 1.0
    gap_ms: float | None = None
    gap_seen_ms: float = -1e12
    pace_ms: float = 0.0
    duration_ms: float | None = None
    failure_share: float = 0.0
    failure_seen_ms: float = 0.0
    failures_in_row: int = 0
    resting_until_ms: float = -1e12
    refused_until_ms: dict[str, float] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)

    def load(self, now_ms: float) -> float:
        """Return the estimated number of requests in progress there."""
        age = max(0.0, now_ms - self.reported_ms)
        return self.own + self.others * max(0.0, 1.0 - age / REPORT_LIFE_MS)

    def note_load(self, load: ServerLoad, now_ms: float) -> None:
        """Take over a reported load; what is not ours belongs to other entry VMs."""
        self.others = max(0.0, load.running + load.waiting - self.own)
        self.reported_ms = now_ms
        self.slowdown = load.slowdown

    def note_gap(self, gap_ms: float, usual_gap_ms: float, now_ms: float) -> None:
        """Take over the time between two events of a stream.

        The average moves with time and not with the number of events: many streams
        on one server report the same disturbance.
        """
        if self.gap_ms is None or now_ms - self.gap_seen_ms > SLOWNESS_LIFE_MS:
            self.gap_ms = self.pace_ms = usual_gap_ms
            self.gap_seen_ms = now_ms - gap_ms
        span = min(gap_ms, now_ms - self.gap_seen_ms)
        self.gap_ms += (1 - math.exp(-span / GAP_TIME_MS)) * (gap_ms - self.gap_ms)
        self.pace_ms += (1 - math.exp(-span / PACE_TIME_MS)) * (gap_ms - self.pace_ms)
        self.gap_seen_ms = now_ms

    def note_success(self, now_ms: float, duration_ms: float | None = None) -> None:
        """Take over a whole answer."""
        self.failures_in_row = 0
        self.resting_until_ms = -1e12
        self.move_failure_share(0.0, now_ms)
        if duration_ms is not None:
            known = self.duration_ms
            self.duration_ms = (
                duration_ms
                if known is None
                else known + DURATION_WEIGHT * (duration_ms - known)
            )

    def note_failure(self, now_ms: float) -> None:
        """Take over a failure; the server rests for a while that doubles."""
        rest = min(LONGEST_REST_MS, FIRST_REST_MS * 2**self.failures_in_row)
        self.failures_in_row = min(self.failures_in_row + 1, 8)
        self.resting_until_ms = now_ms + rest
        self.move_failure_share(1.0, now_ms)

    def move_failure_share(self, outcome: float, now_ms: float) -> None:
        """Move the average of failures towards one outcome."""
        faded = self.faded_failure_share(now_ms)
        self.failure_share = faded + FAILURE_WEIGHT * (outcome - faded)
        self.failure_seen_ms = now_ms

    def faded_failure_share(self, now_ms: float) -> float:
        """Return the share of failures, faded by its age."""
        age = max(0.0, now_ms - self.failure_seen_ms)
        return self.failure_share * 0.5 ** (age / FAILURE_HALF_LIFE_MS)

    def note_reported_slowness(self, usual_gap_ms: float, now_ms: float) -> bool:
        """Take over a reported slowdown; tell whether the server itself is slow."""
        if self.slowdown < SLOW_REPORT:
            if self.gap_ms is not None:
                self.pace_ms = usual_gap_ms * self.slowdown
            return False
        self.gap_ms = self.pace_ms = usual_gap_ms * self.slowdown
        self.gap_seen_ms = now_ms
        return True

    def disturbance(self, usual_gap_ms: float, now_ms: float) -> float:
        """Return the present pace relative to the usual one; 1 when it is unknown."""
        if self.gap_ms is None or now_ms - self.gap_seen_ms > PACE_LIFE_MS:
            return 1.0
        return max(1.0, self.pace_ms / usual_gap_ms)

    def was_slow(self, usual_gap_ms: float, limit: float) -> bool:
        """Tell whether the server was slow when it was last observed."""
        return self.gap_ms is not None and self.gap_ms > limit * usual_gap_ms

    def slowness(self, usual_gap_ms: float, now_ms: float) -> float:
        """Return the gap relative to the usual one; 1 when nothing recent is known."""
        if self.gap_ms is None or now_ms - self.gap_seen_ms > SLOWNESS_LIFE_MS:
            return 1.0
        return max(1.0, self.gap_ms / usual_gap_ms)

    def rests(self, now_ms: float) -> bool:
        """Tell whether the server should get no work now."""
        return now_ms < self.resting_until_ms
