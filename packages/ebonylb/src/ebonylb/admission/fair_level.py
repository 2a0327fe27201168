"""Level of a service up to which each customer may have requests in progress."""

import math
from collections.abc import Iterable, Mapping, Sequence

# Servers that refused something within this time are taken to lack room. The level
# grows several times in this time, so that a lasting overload is noticed again before.
RECENT_REFUSAL_MS = 3_000.0
# Interval of the changes of the level; some ten requests of a plain service.
STEP_MS = 200.0
# Share of refused attempts at which servers are well used: uneven arrivals at a service
# with 100 slots have this share refused at a load of 95%. They are sent elsewhere.
TOLERATED_REFUSALS = 0.05
# Fewer attempts than this in an interval do not show a share.
MIN_ATTEMPTS = 5
# The level follows the share of refused attempts down, at most by this factor an
# interval, and grows by the other one.
MIN_STEP_FACTOR = 0.7
GROWTH = 1.15
# Above this multiple of the largest customer's load the level limits nobody, and is
# found anew at the next lack of room.
MAX_HEADROOM = 2.0
# Weight of the levels that others told, which are up to a second old: a larger one
# would hold back each change until it has gone round.
TOLD_WEIGHT = 0.1
# A customer with less in progress on average has no demand.
MIN_LOAD = 0.02
# The level at which nearly all that is in progress fits.
ALMOST_ALL = 0.999
# All entry VMs that lack room have told their loads after this time. Until then, the
# level is no measure for theirs.
SETTLE_MS = 1_200.0


def fill_level(loads: Iterable[float], capacity: float) -> float:
    """Return the max-min fair level at which loads, cut to it, add up to a capacity.

    Infinite if the loads do not exceed the capacity.
    """
    ascending = sorted(loads)
    for number, load in enumerate(ascending):
        level = capacity / (len(ascending) - number)
        if load > level:
            return level
        capacity -= load
    return math.inf


class FairLevel:
    """Finds the level at which the servers of one service just have room.

    It begins at the max-min fair division of what the servers did not refuse, then
    follows the share of attempts that they refuse, and the level of other entry VMs,
    which see the same servers.

    Attributes
    ----------
    level : float
        Requests in progress that each customer may have; infinite for no limit.
    others : int
        Number of other entry VMs whose loads are included.
    """

    def __init__(self) -> None:
        self.level = math.inf
        self.others = 0
        self.common_since_ms = math.inf
        self.attempts = 0
        self.refused = 0
        self.refused_ms = -math.inf
        self.next_step_ms = -math.inf

    def record_attempt(self, refused: bool, now_ms: float) -> None:
        """Record an attempt, and whether its server refused it for lack of room."""
        self.attempts += 1
        if refused:
            self.refused += 1
            self.refused_ms = now_ms

    def lacks_room(self, now_ms: float) -> bool:
        """Return whether servers refused work for lack of room a moment ago."""
        return now_ms - self.refused_ms <= RECENT_REFUSAL_MS

    def is_common(self, now_ms: float) -> bool:
        """Return whether the level is one for all entry VMs together."""
        return self.level < math.inf and now_ms - self.common_since_ms >= SETTLE_MS

    def is_step_due(self, now_ms: float) -> bool:
        """Return whether `step` should be called."""
        return now_ms >= self.next_step_ms

    def step(
        self,
        loads: Mapping[str, float],
        told_levels: Sequence[float],
        others: int,
        now_ms: float,
    ) -> None:
        """Adjust the level.

        Parameters
        ----------
        loads : mapping of str to float
            Requests in progress by customer, at all entry VMs that are known.
        told_levels : sequence of float
            Levels of other entry VMs.
        others : int
            Number of other entry VMs whose loads are included.
        """
        was_current = now_ms - self.next_step_ms <= RECENT_REFUSAL_MS
        self.next_step_ms = now_ms + STEP_MS
        enough = self.attempts >= MIN_ATTEMPTS
        refused_share = self.refused / self.attempts if enough else 0.0
        if enough:
            self.attempts = self.refused = 0
        if not was_current:
            self.level = math.inf
            self.common_since_ms = math.inf
            self.others = 0
        total, largest = sum(loads.values()), max(loads.values(), default=0.0)
        self.follow_others(loads, told_levels, others, now_ms)
        excess = refused_share - TOLERATED_REFUSALS
        if excess > 0:
            if self.level > MAX_HEADROOM * largest:
                self.level = fill_level(loads.values(), (1 - refused_share) * total)
            else:
                self.level *= max(MIN_STEP_FACTOR, 1 - excess)
        elif enough:
            self.level *= GROWTH
        # An equal part of what is in progress is due to everybody in any case.
        active = sum(load > MIN_LOAD for load in loads.values())
        self.level = max(self.level, total / max(1, active))

    def follow_others(
        self,
        loads: Mapping[str, float],
        told_levels: Sequence[float],
        others: int,
        now_ms: float,
    ) -> None:
        """Adjust the level to what other entry VMs told.

        Levels of one entry VM and of all of them are no measure for each other. While
        their loads come into view or go out of it, the level is found anew.
        """
        if not others:
            self.common_since_ms = math.inf
        elif not self.others:
            self.common_since_ms = now_ms
        is_settling = now_ms - self.common_since_ms < SETTLE_MS
        if self.level < math.inf and (
            (self.others == 0) != (others == 0)
            or (is_settling and self.others != others)
        ):
            self.level = fill_level(loads.values(), ALMOST_ALL * sum(loads.values()))
        self.others = others
        if told_levels and not is_settling and others:
            common = math.exp(sum(map(math.log, told_levels)) / len(told_levels))
            if self.level == math.inf:
                self.level = common
            self.level *= (common / self.level) ** TOLD_WEIGHT
