"""Demand of this entry VM for the servers of each service."""

import math
from collections import defaultdict, deque
from collections.abc import Mapping

from ..interfaces import Clock

# Requests of this time count, sent or not.
DEMAND_WINDOW_MS = 2_000.0
MAX_WEIGHT = 64


class ServiceDemand:
    """Requests that were sent or could not be sent, and requests that wait.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.wanted_ms: defaultdict[str, deque[float]] = defaultdict(deque)
        self.waiting: dict[str, int] = {}

    def record(self, service: str) -> None:
        """Record a request for a server of a service."""
        self.wanted_ms[service].append(self.clock.monotonic_ms())

    def record_waiting(self, waiting: Mapping[str, int]) -> None:
        """Record how many requests wait for a server, by service."""
        self.waiting = dict(waiting)

    def weights(self) -> dict[str, int]:
        """Return the demand for each service, as a power of two; none is left out.

        Powers of two change rarely enough to be told to the other entry VMs.
        """
        earliest_ms = self.clock.monotonic_ms() - DEMAND_WINDOW_MS
        weights = {}
        for service in {*self.wanted_ms, *self.waiting}:
            wanted_ms = self.wanted_ms[service]
            while wanted_ms and wanted_ms[0] < earliest_ms:
                wanted_ms.popleft()
            demand = len(wanted_ms) * 1_000 / DEMAND_WINDOW_MS + self.waiting.get(
                service, 0
            )
            if demand:
                exponent = max(0, round(math.log2(demand)))
                weights[service] = min(MAX_WEIGHT, 1 << exponent)
            else:
                del self.wanted_ms[service]
        return weights
