"""Scaling of one service: demand, plan and pools, without calls."""

import logging
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from ..batches.progress_view import ObservedProgress
from ..fleet import ListedServer, ServerStage
from ..interfaces.server_client import ServerAddress
from ..routes import Configuration, ServiceSpec
from .demand import Demand, DemandHistory, open_batches
from .model import Pool, ScalingPlan, ScalingSituation
from .plan import MIN_KNOWN_MS, calm_ms, plan_servers
from .pool_orders import (
    BOOT_MARGIN_MS,
    LONG_AGO_MS,
    RECLAIM_PAUSE_MS,
    PoolEvent,
    PoolOrders,
)

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class PoolStatus:
    """Numbers of one pool with the reason, for an operator."""

    service: str
    failure_domain: str
    reclaimable: bool
    listed: int
    wanted: int
    is_unavailable: bool
    reason: str


class ServiceScaling:
    """State of the scaling of one service.

    Every entry VM keeps it, so that any of them can take over: the numbers start as
    the listed ones and follow the plan and the list, whoever sends the orders.

    Parameters
    ----------
    spec : ServiceSpec
        The service; it has bounds for scaling.
    """

    def __init__(self, spec: ServiceSpec) -> None:
        self.spec = spec
        self.history = DemandHistory()
        self.pools: dict[Pool, PoolOrders] = {}
        self.leaving: set[ServerAddress] = set()
        self.plan = ScalingPlan({}, {}, "not known yet")
        self.changed_ms = LONG_AGO_MS
        self.raised_ms = LONG_AGO_MS
        self.demand = Demand(0.0, 0.0, 0.0, False)

    @property
    def known_ms(self) -> float:
        """Time for which the knowledge has been complete."""
        return self.demand.known_ms

    @property
    def is_informed(self) -> bool:
        """Whether the knowledge has been complete long enough to order servers."""
        return self.known_ms >= MIN_KNOWN_MS

    def interrupt(self) -> None:
        """Record that the rows may be incomplete; numbers stay and nothing is due."""
        self.demand = replace(self.demand, known_ms=0.0)
        self.history.interrupt()
        for orders in self.pools.values():
            orders.forget_gap()

    def step(
        self,
        configuration: Configuration,
        observed: Mapping[str, ObservedProgress],
        servers: Sequence[ListedServer],
        now_ms: float,
    ) -> None:
        """Record the demand and the servers, and change the plan."""
        ready = [s for s in servers if s.stage is ServerStage.READY]
        batches = open_batches(
            configuration, self.spec.name, observed, self.history, now_ms
        )
        results = {batch_id: o.progress.listed for batch_id, o in observed.items()}
        self.history.record(
            now_ms, batches, results, sum(s.slots for s in ready), self.models
        )
        self.demand = self.history.demand(now_ms, calm_ms(self.spec.scaling))
        if not self.is_informed:
            return
        self.observe_pools(ready, servers, now_ms)
        situation = ScalingSituation(
            self.spec.scaling,
            self.demand,
            min((s.slots for s in ready), default=self.slots),
            {pool: orders.listed for pool, orders in self.pools.items()},
            {pool: orders.wanted for pool, orders in self.pools.items()},
            self.unavailable(now_ms),
            self.models,
            now_ms - self.changed_ms,
            now_ms - self.raised_ms,
        )
        self.apply(plan_servers(situation), now_ms)

    @property
    def models(self) -> int:
        """Number of models of the service; 1 if it has none."""
        return max(1, len(self.spec.engine.models)) if self.spec.engine else 1

    @property
    def slots(self) -> int:
        """Declared slots of a server."""
        return max(1, self.spec.engine.slots) if self.spec.engine else 1

    def observe_pools(
        self, ready: Sequence[ListedServer], servers: Sequence[ListedServer], now: float
    ) -> None:
        """Compare each pool with the listed servers."""
        listed = Counter(Pool(s.failure_domain, s.reclaimable) for s in ready)
        leaving = [s for s in servers if s.stage is ServerStage.LEAVING]
        left = Counter(
            Pool(s.failure_domain, s.reclaimable)
            for s in leaving
            if s.endpoint not in self.leaving
        )
        self.leaving = {server.endpoint for server in leaving}
        for pool in sorted(set(listed) | set(left) | set(self.pools)):
            if pool not in self.pools:
                self.pools[pool] = self.new_orders(listed[pool])
            orders = self.pools[pool]
            previous = orders.wanted
            event = orders.observe(listed[pool], left[pool], now)
            if event is PoolEvent.RECLAIMED and pool.reclaimable:
                self.pause_reclaimable(now)
            if event is not PoolEvent.NONE:
                self.changed_ms = now
                logger.info(
                    "number of servers differs from the wanted one",
                    extra={
                        "service": self.spec.name,
                        "pool": str(pool),
                        "wanted": previous,
                        "listed": listed[pool],
                        "cause": event.value,
                    },
                )

    def new_orders(self, listed: int) -> PoolOrders:
        """Return the orders of a pool, whose wanted number starts as the listed one."""
        return PoolOrders(listed, self.spec.scaling.boot_ms + BOOT_MARGIN_MS, listed)

    def pause_reclaimable(self, now_ms: float) -> None:
        """Order no reclaimable servers for some time, in no failure domain."""
        domains = {pool.failure_domain for pool in self.pools}
        for domain in domains | set(self.spec.scaling.domain_prices):
            orders = self.pools.setdefault(Pool(domain, True), self.new_orders(0))
            orders.unavailable_until_ms = now_ms + RECLAIM_PAUSE_MS

    def unavailable(self, now_ms: float) -> frozenset[Pool]:
        """Return the pools in which no server is ordered now."""
        return frozenset(
            pool
            for pool, orders in self.pools.items()
            if now_ms < orders.unavailable_until_ms
        )

    def apply(self, plan: ScalingPlan, now_ms: float) -> None:
        """Take over the numbers of a plan."""
        if plan.summary != self.plan.summary:
            logger.debug(
                "plan of servers",
                extra={"service": self.spec.name, "summary": plan.summary},
            )
        self.plan = plan
        if not plan.reasons:
            return
        self.changed_ms = now_ms
        if plan.is_raise:
            self.raised_ms = now_ms
        for pool, reason in plan.reasons.items():
            orders = self.pools.setdefault(pool, self.new_orders(0))
            orders.change(plan.wanted[pool], reason, now_ms)

    def due_pool(self, domain: str, now_ms: float) -> Pool | None:
        """Return the pool of a failure domain to order now, more servers first."""
        due = [
            pool
            for pool in (Pool(domain), Pool(domain, True))
            if self.is_informed and pool in self.pools and self.is_due(pool, now_ms)
        ]
        return min(due, key=self.is_lower, default=None)

    def is_due(self, pool: Pool, now_ms: float) -> bool:
        """Return whether a pool should be ordered; fewer only if all others are there.

        The check is repeated for each call, since another entry VM may have lowered a
        number of another failure domain after this one made its plan.
        """
        if not self.pools[pool].is_due(now_ms):
            return False
        return not self.is_lower(pool) or all(
            orders.listed >= orders.wanted for orders in self.pools.values()
        )

    def is_lower(self, pool: Pool) -> bool:
        """Return whether an order would remove servers."""
        return self.pools[pool].wanted < self.pools[pool].listed

    def status(self, now_ms: float) -> list[PoolStatus]:
        """Return the numbers of all pools with their reasons."""
        unavailable = self.unavailable(now_ms)
        return [
            PoolStatus(
                self.spec.name,
                pool.failure_domain,
                pool.reclaimable,
                orders.listed,
                orders.wanted,
                pool in unavailable,
                orders.reason,
            )
            for pool, orders in sorted(self.pools.items())
        ]
