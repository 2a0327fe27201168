"""Per-party byte budget for the paid link between regions."""

from collections import defaultdict
from collections.abc import Callable

from ..interfaces import Clock

BURST_S = 10.0  # capacity of a bucket, in seconds of its rate


class CrossRegionBudget:
    """Token buckets of bytes, one for each service and party.

    Parameters
    ----------
    clock : Clock
        Time source for refilling the buckets.
    bytes_per_s : callable
        Maps a service and a party to bytes per second; None means no limit.
    """

    def __init__(
        self, clock: Clock, bytes_per_s: Callable[[str, str], int | None]
    ) -> None:
        self.clock = clock
        self.bytes_per_s = bytes_per_s
        self.buckets: dict[tuple[str, str], tuple[float, float]] = {}
        self.used_bytes: defaultdict[tuple[str, str], int] = defaultdict(int)

    def available_bytes(self, service: str, party: str) -> float:
        """Return the bytes that a party may send now; negative after overuse."""
        bytes_per_s = self.bytes_per_s(service, party)
        if bytes_per_s is None:
            return float("inf")
        now = self.clock.monotonic_ms()
        updated_ms, level_bytes = self.buckets.get(
            (service, party), (now, bytes_per_s * BURST_S)
        )
        level_bytes = min(
            bytes_per_s * BURST_S, level_bytes + (now - updated_ms) * bytes_per_s / 1000
        )
        self.buckets[service, party] = now, level_bytes
        return level_bytes

    def can_send(self, service: str, party: str) -> bool:
        """Return whether a party may send one more request over the link."""
        return self.available_bytes(service, party) > 0

    def charge(self, service: str, party: str, size_bytes: int) -> None:
        """Count bytes sent over the link.

        The budget is checked before a request, so its response may make it negative.
        """
        self.used_bytes[service, party] += size_bytes
        level_bytes = self.available_bytes(service, party)
        if level_bytes != float("inf"):
            now, _ = self.buckets[service, party]
            self.buckets[service, party] = now, level_bytes - size_bytes
