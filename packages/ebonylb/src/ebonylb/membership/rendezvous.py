"""Rendezvous hashing of shards to entry VMs, and shard counts."""

from collections.abc import Callable, Iterable

from xxhash import xxh64_intdigest

from ..backends import BackendServer
from ..interfaces import Clock

SERVERS_PER_SHARD = 32
# A new shard count takes effect only after this delay, so that a number of servers
# that fluctuates around a threshold does not reshuffle the shards. The delay is the
# same on all VMs and keeps no path-dependent state, so that a VM that starts later
# computes the same count.
RESHARD_DELAY_MS = 10_000


def highest_score(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest hash score for a key, or None if none given."""
    return max(
        names,
        key=lambda name: (xxh64_intdigest(f"{key}|{name}".encode()), name),
        default=None,
    )


def shard_id(service: str, failure_domain: str, shard: int) -> str:
    """Return the identifier by which a shard is owned and leased."""
    return f"{service}.{failure_domain}.{shard}"


def shard_index(server: str, shard_count: int) -> int:
    """Return the index of the shard that a server belongs to."""
    return xxh64_intdigest(server.encode()) % shard_count


def target_shard_count(servers: int) -> int:
    """Return ceil(servers / 32) rounded up to a power of two, at least 1."""
    return 1 << max(0, (-(-servers // SERVERS_PER_SHARD) - 1).bit_length())


class ShardCounts:
    """Number of shards of each service and failure domain, with hysteresis.

    Parameters
    ----------
    clock : Clock
        Source of time.
    servers : callable
        Returns the servers of a service in any state. Suspect and leaving servers
        count too, so that short faults do not move shards.
    """

    def __init__(
        self, clock: Clock, servers: Callable[[str], list[BackendServer]]
    ) -> None:
        self.clock = clock
        self.servers = servers
        self.server_counts: dict[str, dict[str, int]] = {}
        self.counts: dict[tuple[str, str], int] = {}
        self.pending: dict[tuple[str, str], tuple[int, float]] = {}

    def on_server_changed(self, server: BackendServer) -> None:
        """Discard the cached server counts of a changed server's service.

        Listener for `BackendRegistry.subscribe`.
        """
        self.server_counts.pop(server.service, None)

    def server_count(self, service: str, failure_domain: str) -> int:
        """Return the number of servers of a service in a failure domain."""
        counts_by_domain = self.server_counts.get(service)
        if counts_by_domain is None:
            counts_by_domain = self.server_counts[service] = {}
            for server in self.servers(service):
                domain = server.failure_domain
                counts_by_domain[domain] = counts_by_domain.get(domain, 0) + 1
        return counts_by_domain.get(failure_domain, 0)

    def get(self, service: str, failure_domain: str) -> int:
        """Return the number of shards in effect, a power of two.

        A new target count takes effect once it has stayed the same for
        `RESHARD_DELAY_MS`.
        """
        key = (service, failure_domain)
        servers = self.server_count(service, failure_domain)
        target_count = target_shard_count(servers)
        count = self.counts.get(key)
        if count is None:
            if servers:
                self.counts[key] = target_count
            return target_count
        if target_count == count:
            self.pending.pop(key, None)
            return count
        now_ms = self.clock.monotonic_ms()
        pending = self.pending.get(key)
        if pending is None or pending[0] != target_count:
            self.pending[key] = (target_count, now_ms)
        elif now_ms - pending[1] >= RESHARD_DELAY_MS:
            del self.pending[key]
            self.counts[key] = target_count
        return self.counts[key]
