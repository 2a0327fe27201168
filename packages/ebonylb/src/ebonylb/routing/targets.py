"""Selection of the shard to which a request is sent."""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

SAME_REGION_COST_MS = 2.0  # round trip between failure domains
OTHER_REGION_COST_MS = 500.0  # minimum saving that justifies bytes on the paid link
DEFAULT_TOKENS_PER_S = 500  # assumed until an owner has measured its drain rate
COST_TIE_MS = 5.0  # smaller differences are ignored; digests are older than that


@dataclass(frozen=True, slots=True)
class Target:
    """A shard and the load that its owner reported last.

    Parameters
    ----------
    owner : str
        Entry VM that owns the shard.
    failure_domain, region : str
        Location of the shard's servers.
    service : str
        Service of the shard.
    shard : int
        Number of the shard within the failure domain.
    queued_tokens : int
        Predicted tokens of the queued work.
    tokens_per_s : int
        Measured drain rate; 0 when unknown.
    free : int
        Free capacity of the windows, in requests.
    reported_ms : float
        Local monotonic time of the digest, in milliseconds.
    """

    owner: str
    failure_domain: str
    region: str
    service: str
    shard: int
    queued_tokens: int
    tokens_per_s: int
    free: int
    reported_ms: float

    @property
    def key(self) -> tuple[str, str, int]:
        """Failure domain, service and shard, which identify the target."""
        return self.failure_domain, self.service, self.shard


class TargetSource(ABC):
    """Provides the known shards of a service; implemented on top of membership."""

    @abstractmethod
    def targets(self, service: str) -> Sequence[Target]:
        """Return the shards of a service that have servers, in all regions."""

    @abstractmethod
    def ensure_link(self, target: Target) -> None:
        """Open the link to a target's owner if there is none."""

    @abstractmethod
    def report_failure(self, target: Target) -> None:
        """Record that a target's owner could not be reached."""


class ForwardedTokens:
    """Counts tokens sent to each shard since its last digest.

    The digest does not include them. If they were not counted, all entry VMs would
    send to the same shard until its next digest.
    """

    def __init__(self) -> None:
        self.sent_since_digest: dict[tuple[str, str, int], tuple[float, int, int]] = {}

    def add(self, target: Target, tokens: int) -> None:
        """Count tokens forwarded to a target since its digest."""
        pending, requests = self.pending(target)
        self.sent_since_digest[target.key] = (
            target.reported_ms,
            pending + tokens,
            requests + 1,
        )

    def pending(self, target: Target) -> tuple[int, int]:
        """Return tokens and requests sent since the target's digest."""
        reported_ms, tokens, requests = self.sent_since_digest.get(
            target.key, (0.0, 0, 0)
        )
        return (tokens, requests) if reported_ms == target.reported_ms else (0, 0)


class TargetChoice:
    """Selects the target with the lowest sum of expected wait and distance cost.

    Parameters
    ----------
    failure_domain, region : str
        Location of this entry VM.
    group_imbalance : float
        A group leaves its preferred shard when that shard's cost exceeds the lowest
        cost by this factor.
    """

    def __init__(
        self, failure_domain: str, region: str, group_imbalance: float
    ) -> None:
        self.failure_domain = failure_domain
        self.region = region
        self.group_imbalance = group_imbalance
        self.forwarded = ForwardedTokens()

    def expected_wait_ms(self, target: Target) -> float:
        """Return the expected time in ms until the target could start a request."""
        tokens, requests = self.forwarded.pending(target)
        if requests < target.free:
            return 0.0
        tokens_per_s = target.tokens_per_s or DEFAULT_TOKENS_PER_S
        return (target.queued_tokens + tokens) * 1000.0 / tokens_per_s

    def distance_ms(self, target: Target) -> float:
        """Return the cost of the distance to the target in milliseconds."""
        if target.failure_domain == self.failure_domain:
            return 0.0
        if target.region == self.region:
            return SAME_REGION_COST_MS
        return OTHER_REGION_COST_MS

    def cost_ms(self, target: Target) -> float:
        """Return the sum of expected wait and distance cost in milliseconds."""
        return self.expected_wait_ms(target) + self.distance_ms(target)

    def choose(
        self,
        targets: Sequence[Target],
        group: str,
        cross_region: bool,
        failed_owners: frozenset[str] = frozenset(),
    ) -> Target | None:
        """Return the target for a request, or None if none is allowed.

        Without a group, it is the better of two random targets among those with the
        lowest cost.

        Parameters
        ----------
        targets : sequence of Target
            All known shards of the service.
        group : str
            Group of the request; its members go to one shard unless that costs too
            much more than the best one.
        cross_region : bool
            Whether the budget for cross-region bytes allows another region.
        failed_owners : frozenset of str
            Owners of failed attempts; used only if there is no other.
        """
        allowed, costs = self.candidate_costs(targets, cross_region, failed_owners)
        if not allowed:
            return None
        best = min(costs.values())
        if group:
            preferred = max(allowed, key=lambda t: (self.affinity(t, group), t.key))
            if costs[preferred.key] <= best * self.group_imbalance + COST_TIE_MS:
                return preferred
        equal_targets = [t for t in allowed if costs[t.key] <= best + COST_TIE_MS]
        sampled = random.sample(equal_targets, min(2, len(equal_targets)))
        return min(sampled, key=lambda t: (costs[t.key], self.forwarded.pending(t)))

    def home(self, targets: Sequence[Target], fingerprint: str) -> Target | None:
        """Return the target of a struck request, which is the same on all entry VMs.

        Load and distance are ignored: concurrent runs on different shards could
        crash a third server.
        """
        return max(
            targets,
            key=lambda t: xxhash.xxh64_intdigest(f"{t.key}/{fingerprint}".encode()),
            default=None,
        )

    def candidate_costs(
        self,
        targets: Sequence[Target],
        cross_region: bool,
        failed_owners: frozenset[str],
    ) -> tuple[list[Target], dict[tuple[str, str, int], float]]:
        """Return the targets to be compared, and their costs by key.

        A target in another region costs at least `OTHER_REGION_COST_MS`, so other
        regions are considered only if the local region has no cheaper target. A site
        of the target size has hundreds of shards, most of them in other regions.
        """
        usable = (
            [t for t in targets if t.owner not in failed_owners]
            if failed_owners
            else targets
        )
        near = [t for t in usable if t.region == self.region]
        costs = {t.key: self.cost_ms(t) for t in near}
        limit = OTHER_REGION_COST_MS - COST_TIE_MS
        if near and (not cross_region or min(costs.values()) < limit):
            return near, costs
        if not cross_region:
            near = [t for t in targets if t.region == self.region]
            return near, {t.key: self.cost_ms(t) for t in near}
        allowed = list(usable) or list(targets)
        return allowed, {t.key: self.cost_ms(t) for t in allowed}

    def affinity(self, target: Target, group: str) -> tuple[float, int]:
        """Return the rendezvous-hashing score of a target for a group.

        Nearer targets have a higher score, whatever their hash.
        """
        score = xxhash.xxh64_intdigest(f"{target.key}|{group}".encode())
        return -self.distance_ms(target), score
