"""Requests of one customer for one service at this entry VM."""

import math
from dataclasses import dataclass

# Time constants of the averages. The requests of plain services take some ten to some
# hundred milliseconds.
IN_PROGRESS_TIME_CONSTANT_MS = 400.0
ARRIVALS_TIME_CONSTANT_MS = 1_000.0
# Weight of the newest duration in the average, and the average before the first one.
DURATION_WEIGHT = 0.1
DEFAULT_DURATION_MS = 50.0
MIN_DURATION_MS = 0.1
# Unused room is kept for this time, so that arrivals may be uneven.
CREDIT_MS = 100.0


@dataclass(slots=True)
class CustomerLoad:
    """Requests of one customer for one service at this entry VM.

    Attributes
    ----------
    mean_in_progress : float
        Moving average of `in_progress`.
    arrivals : float
        Decaying number of arrivals, admitted or not.
    duration_ms : float
        Average time that a request is in progress.
    room : float
        Requests in progress that the customer may have here on average; infinite where
        there is no limit.
    credit_ms : float
        Time of one request in progress by which the customer is below `room`; negative
        if it has used more.
    next_room_ms : float
        Monotonic time at which there is room after those who were told to come back.
    urgent_priority : int
        Priority of the most urgent request that was told to come back.
    urgent_until_ms : float
        Monotonic time until which it may come back.
    """

    updated_ms: float
    in_progress: int = 0
    mean_in_progress: float = 0.0
    arrivals: float = 0.0
    duration_ms: float = DEFAULT_DURATION_MS
    room: float = math.inf
    credit_ms: float = 0.0
    next_room_ms: float = -math.inf
    urgent_priority: int = 0
    urgent_until_ms: float = -math.inf

    @property
    def offered(self) -> float:
        """Average number that would be in progress if all arrivals were admitted."""
        return self.arrivals * self.duration_ms / ARRIVALS_TIME_CONSTANT_MS

    def end(self, duration_ms: float) -> None:
        """Count the end of a request."""
        self.in_progress -= 1
        change = DURATION_WEIGHT * (duration_ms - self.duration_ms)
        self.duration_ms = max(MIN_DURATION_MS, self.duration_ms + change)

    def advance(self, now_ms: float) -> None:
        """Bring the averages and the credit up to a time."""
        elapsed_ms = now_ms - self.updated_ms
        if elapsed_ms <= 0:
            return
        self.updated_ms = now_ms
        kept = math.exp(-elapsed_ms / IN_PROGRESS_TIME_CONSTANT_MS)
        self.mean_in_progress += (1 - kept) * (self.in_progress - self.mean_in_progress)
        self.arrivals *= math.exp(-elapsed_ms / ARRIVALS_TIME_CONSTANT_MS)
        if self.room < math.inf:
            self.credit_ms += (self.room - self.in_progress) * elapsed_ms

    def limit(self, room: float) -> None:
        """Set the room of the customer.

        Less than one request in progress means one now and then: each one uses up
        credit, which grows again while there is none. Only one request's use is
        remembered, since earlier ones were admitted under other limits.
        """
        if self.room == math.inf:
            self.credit_ms = 0.0
        self.room = room
        most_ms = max(1.0, room) * CREDIT_MS
        self.credit_ms = max(-self.duration_ms, min(most_ms, self.credit_ms))

    def lift_limit(self) -> None:
        """Let the customer have any number of requests in progress."""
        self.room = math.inf

    def has_room(self) -> bool:
        """Return whether the customer may have one more request in progress."""
        return self.in_progress < math.ceil(self.room) and self.credit_ms >= 0

    def expect_back(self, priority: int, now_ms: float, until_ms: float) -> None:
        """Keep room for a refused request unless a more urgent one is expected."""
        if now_ms > self.urgent_until_ms or priority <= self.urgent_priority:
            self.urgent_priority, self.urgent_until_ms = priority, until_ms

    def is_kept_for_others(self, priority: int, now_ms: float) -> bool:
        """Return whether a more urgent request of the customer is expected back."""
        return now_ms <= self.urgent_until_ms and self.urgent_priority < priority

    def is_idle(self) -> bool:
        """Return whether nothing of the customer is left to remember."""
        return not self.in_progress and self.arrivals < 0.01
