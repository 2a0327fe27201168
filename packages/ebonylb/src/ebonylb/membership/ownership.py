"""Shard owners, computed from the eligible entry VMs of each failure domain."""

from typing import TYPE_CHECKING

from .rendezvous import ShardCounts, highest_score, shard_id
from .view import EntryVm

if TYPE_CHECKING:
    from .controller import Membership

# VMs of other domains become reachable again by time, without an event that could
# invalidate the cache.
OUTSIDE_CACHE_TTL_MS = 1_000


class Ownership:
    """Cache of eligible VMs and shard owners, invalidated when a domain's VMs change.

    Parameters
    ----------
    membership : Membership
        Provides the view, the registry and the local state.
    """

    def __init__(self, membership: "Membership") -> None:
        self.membership = membership
        registry = membership.registry
        self.shard_counts = ShardCounts(membership.clock, registry.servers)
        registry.subscribe(self.shard_counts.on_server_changed)
        self.owners: dict[str, dict[tuple[str, int], str | None]] = {}
        self.cached_eligible_owners: dict[str, tuple[list[str], float]] = {}
        self.last_lifecycle = ""

    def invalidate(self, failure_domain: str) -> None:
        """Discard the cached eligible VMs and shard owners of a domain."""
        self.cached_eligible_owners.pop(failure_domain, None)
        self.owners.pop(failure_domain, None)

    def eligible_owners(self, failure_domain: str) -> list[str]:
        """Return the entry VMs of a domain that may own shards, sorted."""
        lifecycle = self.membership.local.lifecycle()
        if lifecycle != self.last_lifecycle:
            self.last_lifecycle = lifecycle
            self.invalidate(self.membership.failure_domain)
        now_ms = self.membership.clock.monotonic_ms()
        names, valid_until_ms = self.cached_eligible_owners.get(
            failure_domain, ([], 0.0)
        )
        if now_ms < valid_until_ms:
            return names
        self.invalidate(failure_domain)
        names = self.compute_eligible_owners(failure_domain, lifecycle, now_ms)
        is_own_domain = failure_domain == self.membership.failure_domain
        valid_until_ms = (
            float("inf") if is_own_domain else now_ms + OUTSIDE_CACHE_TTL_MS
        )
        self.cached_eligible_owners[failure_domain] = (names, valid_until_ms)
        return names

    def compute_eligible_owners(
        self, failure_domain: str, lifecycle: str, now_ms: float
    ) -> list[str]:
        """Compute the entry VMs of a domain that may own shards from the view."""
        membership = self.membership
        names = [
            vm.name
            for vm in membership.view.vms.values()
            if vm.failure_domain == failure_domain and self.can_own(vm, now_ms)
        ]
        is_own_domain = failure_domain == membership.failure_domain
        if is_own_domain and lifecycle == "ready" and not membership.superseded:
            names.append(membership.name)
        return sorted(names)

    def can_own(self, vm: EntryVm, now_ms: float) -> bool:
        """Return whether another VM may own shards.

        A VM of another domain whose lifecycle is not known yet may own shards,
        because its own domain decides on ownership.
        """
        is_other_domain = vm.failure_domain != self.membership.failure_domain
        return (
            vm.name != self.membership.name
            and vm.alive
            and not vm.listed_leaving
            and vm.unreachable_until_ms <= now_ms
            and (vm.lifecycle == "ready" or (is_other_domain and not vm.lifecycle))
        )

    def owner(self, service: str, shard: int, failure_domain: str) -> str | None:
        """Return the owner of a shard, or None if the domain has no eligible VM."""
        eligible = self.eligible_owners(failure_domain)
        owners = self.owners.setdefault(failure_domain, {})
        key = (service, shard)
        if key not in owners:
            owners[key] = highest_score(
                shard_id(service, failure_domain, shard), eligible
            )
        return owners[key]

    def owned_shards(self) -> list[tuple[str, int]]:
        """Return the shards of this domain that this VM owns."""
        membership, domain = self.membership, self.membership.failure_domain
        return [
            (service, shard)
            for service in membership.registry.services()
            if self.shard_counts.server_count(service, domain)
            for shard in range(self.shard_counts.get(service, domain))
            if self.owner(service, shard, domain) == membership.name
        ]
