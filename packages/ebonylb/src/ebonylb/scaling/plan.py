"""Plan of the number of servers of a service in each failure domain and of each kind.

Callers come first: a plan raises numbers at once and by as many as are missing, and
lowers them one at a time. Servers that the platform cannot reclaim are enough for the
peak alone. The reserve stands in for the loss of any one failure domain, and may be
reclaimable.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass

from ..routes.model import ScalingSpec
from .model import Pool, ScalingPlan, ScalingSituation

# Servers whose entries lapsed with the store return within 2 s of its recovery.
MIN_KNOWN_MS = 3_000.0
# Numbers are lowered when the demand has been lower for this many boot times, and not
# less than five of a trainer's steps of 4 s.
CALM_BOOTS = 5
MIN_CALM_MS = 20_000.0
# Between two steps down: the effect of one step on the batches must be seen.
MIN_PAUSE_MS = 2_000.0
# Lowering leaves this much more than a slot for each item of the peak. A fuller engine
# generates each token more slowly, 1 to 2% for each request beside it, so that servers
# that raising does not ask for still make steps complete sooner.
LOWERING_MARGIN = 1.1


def calm_ms(spec: ScalingSpec) -> float:
    """Return the time for which the demand must be lower before a number is lowered."""
    return max(MIN_CALM_MS, CALM_BOOTS * spec.boot_ms)


def pause_ms(spec: ScalingSpec) -> float:
    """Return the time between two steps that lower a number."""
    return max(MIN_PAUSE_MS, spec.boot_ms)


@dataclass(slots=True)
class Draft:
    """Numbers that a plan is about to want, with what they cost and withstand."""

    spec: ScalingSpec
    counts: dict[Pool, int]
    unavailable: frozenset[Pool]

    @property
    def domains(self) -> list[str]:
        """Failure domains with a price or with servers."""
        with_servers = {pool.failure_domain for pool, n in self.counts.items() if n}
        return sorted(with_servers | set(self.spec.domain_prices))

    def in_domain(self, domain: str) -> int:
        """Return the number of servers of both kinds in a failure domain."""
        return self.counts.get(Pool(domain), 0) + self.counts.get(Pool(domain, True), 0)

    def of_kind(self, reclaimable: bool) -> int:
        """Return the number of servers of one kind."""
        return sum(n for p, n in self.counts.items() if p.reclaimable is reclaimable)

    def price(self, pool: Pool) -> float:
        """Return the price of a server second; without a price, the highest one."""
        prices = self.spec.domain_prices
        price = prices.get(pool.failure_domain, max(prices.values(), default=1.0))
        factor = self.spec.reclaimable_price
        return price * factor if pool.reclaimable and factor is not None else price

    def is_fullest(self, domain: str) -> bool:
        """Return whether no other failure domain has as many servers."""
        others = [self.in_domain(d) for d in self.domains if d != domain]
        return self.in_domain(domain) > max(others, default=-1)

    def can_add(self, pool: Pool) -> bool:
        """Return whether a server may be ordered in a pool."""
        domain = pool.failure_domain
        prices, factor = self.spec.domain_prices, self.spec.reclaimable_price
        return (
            pool not in self.unavailable
            and (not prices or domain in prices)
            and (not pool.reclaimable or (factor is not None and factor < 1))
            and self.in_domain(domain) < self.spec.max_servers
        )

    def changed(self, pool: Pool, change: int) -> "Draft":
        """Return a copy with a changed number."""
        counts = {**self.counts, pool: self.counts.get(pool, 0) + change}
        return Draft(self.spec, counts, self.unavailable)

    def add(self, pool: Pool, number: int = 1) -> None:
        """Add servers, as far as the failure domain has room."""
        room = self.spec.max_servers - self.in_domain(pool.failure_domain)
        self.counts[pool] = self.counts.get(pool, 0) + min(number, room)

    def survivors(self) -> int:
        """Return the servers left after the loss of the fullest failure domain.

        If there is only one failure domain, the loss of one server is assumed.
        """
        counts = [self.in_domain(domain) for domain in self.domains]
        total = sum(counts)
        return total - (max(counts, default=0) if len(counts) > 1 else min(1, total))

    def is_enough(self, need: int) -> bool:
        """Return whether the peak is served without reclaimable servers, and without
        any one failure domain.
        """
        return self.of_kind(False) >= need and self.survivors() >= need


def servers_needed(situation: ScalingSituation) -> int:
    """Return the number of servers with which the peak is served in time."""
    demand = situation.demand
    return servers_for(situation, max(demand.slots, demand.batch_slots))


def servers_to_keep(situation: ScalingSituation) -> int:
    """Return the number of servers below which no number is lowered."""
    demand = situation.demand
    slots = max(demand.slots, demand.batch_slots, demand.item_slots)
    return servers_for(situation, slots * LOWERING_MARGIN)


def servers_for(situation: ScalingSituation, slots: float) -> int:
    """Return the number of servers with a number of slots."""
    # Rounded, so that a sum of fractions just above a whole server does not add one.
    servers = math.ceil(round(slots / situation.slots_per_server, 6))
    return max(servers, situation.models, 1)


def plan_servers(situation: ScalingSituation) -> ScalingPlan:
    """Return the wanted number of servers of each pool."""
    demand = situation.demand
    if not demand.was_seen:
        return unchanged(situation, "no demand seen yet")
    if demand.known_ms < MIN_KNOWN_MS:
        return unchanged(situation, "the rows were incomplete a moment ago")
    draft = Draft(situation.spec, dict(situation.wanted), situation.unavailable)
    need = servers_needed(situation)
    reasons = raise_numbers(draft, need)
    if reasons:
        summary = f"the peak of {demand.slots:.0f} slots needs {need} servers"
        return ScalingPlan(draft.counts, reasons, summary, is_raise=True)
    waits_for = reason_not_to_lower(situation)
    if waits_for:
        return unchanged(situation, waits_for)
    return lower_one(situation, draft)


def unchanged(situation: ScalingSituation, summary: str) -> ScalingPlan:
    """Return a plan that keeps the present numbers."""
    return ScalingPlan(dict(situation.wanted), {}, summary)


def raise_numbers(draft: Draft, need: int) -> dict[Pool, str]:
    """Add the servers that are missing, and return the reason for each pool."""
    reasons: dict[Pool, str] = {}
    for domain in draft.domains:
        pool = Pool(domain)
        while draft.in_domain(domain) < draft.spec.min_servers and draft.can_add(pool):
            draft.add(pool)
            reasons[pool] = f"at least {draft.spec.min_servers} servers stay here"
    while draft.of_kind(False) < need:
        pool = next(pools_for_peak(draft), None)
        if pool is None:
            break
        draft.add(pool, need - draft.of_kind(False))
        reasons[pool] = f"{need} servers for the peak, here at the lowest price"
    while draft.survivors() < need:
        pool = next(pools_for_reserve(draft, need), None)
        if pool is None:
            break
        draft.add(pool)
        reasons.setdefault(pool, f"{need} servers remain if a failure domain is lost")
    return reasons


def pools_for_peak(draft: Draft) -> Iterator[Pool]:
    """Yield the pools that may take a server for the peak, the cheapest first."""
    pools = [Pool(domain) for domain in draft.domains]
    yield from sorted(
        filter(draft.can_add, pools), key=lambda pool: (draft.price(pool), pool)
    )


def pools_for_reserve(draft: Draft, need: int) -> Iterator[Pool]:
    """Yield the pools that may take a server for the reserve, the best first.

    Reclaimable servers are spread over the failure domains; there are none unless the
    others are enough for the peak.
    """
    kinds = (True, False) if draft.of_kind(False) >= need else (False,)
    has_others = len(draft.domains) > 1
    pools = [
        pool
        for domain in draft.domains
        # One more server in the fullest failure domain would be lost with it.
        if not (has_others and draft.is_fullest(domain))
        for pool in (Pool(domain, kind) for kind in kinds)
        if draft.can_add(pool)
    ]
    highest = max((draft.in_domain(d) for d in draft.domains), default=0)

    def rank(pool: Pool) -> tuple:
        at_top = draft.in_domain(pool.failure_domain) == highest
        present = draft.counts.get(pool, 0) if pool.reclaimable else 0
        return at_top, not pool.reclaimable, present, draft.price(pool), pool

    yield from sorted(pools, key=rank)


def reason_not_to_lower(situation: ScalingSituation) -> str:
    """Return why no number may be lowered now; empty if one may."""
    spec, demand = situation.spec, situation.demand
    if demand.known_ms < calm_ms(spec) or situation.since_raise_ms < calm_ms(spec):
        return "the demand has to stay lower for some time"
    if situation.since_change_ms < pause_ms(spec):
        return "the last change has to show its effect"
    pools = set(situation.listed) | set(situation.wanted)
    if any(situation.listed.get(p, 0) != situation.wanted.get(p, 0) for p in pools):
        return "the listed servers are not the wanted ones yet"
    return ""


def lower_one(situation: ScalingSituation, draft: Draft) -> ScalingPlan:
    """Return a plan with one server less, or with a cheaper one that replaces it."""
    need = servers_to_keep(situation)
    pool = next(removable_pools(draft, need), None)
    if pool is not None:
        reason = f"{need} servers are enough, and this is the dearest one"
        return ScalingPlan(draft.changed(pool, -1).counts, {pool: reason}, reason)
    for replacement in pools_for_reserve(draft, need):
        if not replacement.reclaimable:
            continue
        larger = draft.changed(replacement, 1)
        pool = next(removable_pools(larger, need), None)
        # Exchanges among reclaimable servers would save little and change much.
        if pool is not None and not pool.reclaimable:
            reason = f"replaces a server of {pool} in the reserve"
            return ScalingPlan(larger.counts, {replacement: reason}, reason)
    return unchanged(situation, f"{need} servers and their reserve are there")


def removable_pools(draft: Draft, need: int) -> Iterator[Pool]:
    """Yield the pools that can spare a server, the dearest first.

    A failure domain above its maximum spares one even if the need is not met.
    """

    def rank(pool: Pool) -> tuple:
        return -draft.price(pool), -draft.in_domain(pool.failure_domain), pool

    for pool in sorted((p for p, n in draft.counts.items() if n > 0), key=rank):
        count = draft.in_domain(pool.failure_domain)
        is_over = count > draft.spec.max_servers
        can_spare = count > draft.spec.min_servers
        if is_over or (can_spare and draft.changed(pool, -1).is_enough(need)):
            yield pool
