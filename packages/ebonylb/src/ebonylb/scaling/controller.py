"""Orders of servers as duties, from the plans of all services with scaling bounds."""

import logging
from collections.abc import Sequence
from dataclasses import dataclass

from result import Err, Result

from ..batches import BatchProgressView
from ..duties import Duty, DutySource
from ..fleet import ListedServer, ServerDirectory
from ..interfaces import Clock, Metrics
from ..interfaces.control_plane import (
    CallOutcome,
    ControlPlane,
    DutyAuthority,
    ServerCount,
)
from ..outcomes import StepError
from ..routes import RouteTable
from ..storage.follower import TableFollower
from .demand import has_only_batches
from .model import Pool
from .service_scaling import PoolStatus, ServiceScaling

logger = logging.getLogger(__name__)

STEP_INTERVAL_MS = 250.0
# A step takes 0.7 ms with 22 servers and 160 batches, and 4 ms with 1,000 and 800. This
# limits it to some 1% of a core.
STEP_INTERVAL_MS_PER_SERVER = 0.3
# Longer than a feed call that waits for a change, which takes 1 s.
MAX_SILENCE_MS = 2_000.0
# A step that comes so late shows that the process was suspended: what it knows may be
# old although no call has failed.
MAX_STEP_DELAY_MS = 1_250.0


@dataclass(frozen=True, slots=True)
class ServiceStatus:
    """Plan of one service, for an operator.

    Parameters
    ----------
    summary : str
        What the plan is based on, or why it changes nothing.
    peak_slots, batch_slots : float
        Demand of the last seconds, and of the largest batch of the last minutes.
    known_ms : float
        Time for which the knowledge has been complete.
    """

    service: str
    summary: str
    peak_slots: float
    batch_slots: float
    known_ms: float
    pools: tuple[PoolStatus, ...]


class ScaleDuty(Duty):
    """Orders for one service in one failure domain."""

    def __init__(
        self, scaling: "ScalingDuties", service: ServiceScaling, domain: str
    ) -> None:
        self.scaling = scaling
        self.service = service
        self.domain = domain
        self.subject = f"scale/{service.spec.name}/{domain}"

    def due_pool(self) -> Pool | None:
        """Return the pool to order now."""
        if not self.scaling.is_current(self.service):
            return None
        return self.service.due_pool(self.domain, self.scaling.clock.boot_ms())

    def is_due(self) -> bool:
        """Return whether a number of this failure domain should be ordered now."""
        return self.due_pool() is not None

    async def prepare(self) -> bool:
        """Return whether the order is still due after the claim of the lease."""
        self.scaling.step()
        return self.is_due()

    async def perform(self, authority: DutyAuthority) -> Result[CallOutcome, StepError]:
        """Order one number and record the response."""
        pool = self.due_pool()
        if pool is None:
            return Err(StepError("scale", self.subject, "no longer due", False))
        count = self.service.pools[pool].wanted
        order = ServerCount(
            self.service.spec.name, self.domain, pool.reclaimable, count
        )
        sent_ms = self.scaling.clock.boot_ms()
        response = await self.scaling.control_plane.order_servers(authority, order)
        self.record(pool, count, sent_ms, authority, response)
        return response

    def record(
        self,
        pool: Pool,
        count: int,
        sent_ms: float,
        authority: DutyAuthority,
        response: Result[CallOutcome, StepError],
    ) -> None:
        """Record the response to an order, and log the order with its reason."""
        now = self.scaling.clock.boot_ms()
        orders = self.service.pools[pool]
        outcome = None if isinstance(response, Err) else response.ok_value
        self.scaling.metrics.incr("scaling.orders")
        logger.info(
            "servers ordered",
            extra={
                "service": self.service.spec.name,
                "pool": str(pool),
                "count": count,
                "listed": orders.listed,
                "reason": orders.reason,
                "summary": self.service.plan.summary,
                "known_ms": round(self.service.known_ms),
                "fence": authority.fence,
                "outcome": outcome.value if outcome else None,
                "cause": str(response.err_value) if outcome is None else None,
            },
        )
        if outcome is CallOutcome.ACCEPTED:
            orders.record_accepted(count, sent_ms)
        elif outcome in (CallOutcome.UNAVAILABLE, CallOutcome.REJECTED):
            self.scaling.metrics.incr("scaling.unavailable")
            orders.record_unavailable(now)
        else:
            orders.record_failure(now)


class ScalingDuties(DutySource):
    """Plans of all services with scaling bounds, and the orders that they need.

    Parameters
    ----------
    routes : RouteTable
        Services and their bounds.
    progress_view : BatchProgressView
        Progress of all batches.
    directory : ServerDirectory
        Listed servers.
    control_plane : ControlPlane
        Receives the orders.

    Attributes
    ----------
    followers : list of TableFollower
        Followers of the tables that the plans are made from.
    services : dict of str to ServiceScaling
        State of each service with scaling bounds.
    """

    def __init__(
        self,
        routes: RouteTable,
        progress_view: BatchProgressView,
        directory: ServerDirectory,
        control_plane: ControlPlane,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.routes = routes
        self.progress_view = progress_view
        self.directory = directory
        self.control_plane = control_plane
        self.clock = clock
        self.metrics = metrics
        self.followers: list[TableFollower] = []
        self.services: dict[str, ServiceScaling] = {}
        self.stepped_ms: float | None = None

    async def run(self) -> None:
        """Update the plans periodically until cancelled."""
        while True:
            self.step()
            await self.clock.sleep_ms(self.step_interval_ms())

    def step_interval_ms(self) -> float:
        """Return the interval between two updates of the plans."""
        servers = len(self.directory.servers)
        return STEP_INTERVAL_MS + STEP_INTERVAL_MS_PER_SERVER * servers

    def is_step_recent(self) -> bool:
        """Return whether the plans were updated in time."""
        if self.stepped_ms is None:
            return False
        longest_ms = self.step_interval_ms() + MAX_STEP_DELAY_MS
        return self.clock.boot_ms() - self.stepped_ms <= longest_ms

    def is_informed(self) -> bool:
        """Return whether all followed tables are complete and up to date."""
        return all(
            follower.loaded.is_set() and follower.is_current(MAX_SILENCE_MS)
            for follower in self.followers
        )

    def is_current(self, service: ServiceScaling) -> bool:
        """Return whether the plan of a service is recent and may be carried out."""
        return (
            self.services.get(service.spec.name) is service
            and self.is_step_recent()
            and self.is_informed()
        )

    def step(self) -> None:
        """Update the plans of all services."""
        now = self.clock.boot_ms()
        was_suspended = not self.is_step_recent()
        self.stepped_ms = now
        self.update_services()
        configuration = self.routes.configuration
        if not self.services or configuration is None:
            return
        servers: dict[str, list[ListedServer]] = {}
        for server in self.directory.servers.values():
            servers.setdefault(server.service, []).append(server)
        is_informed = self.is_informed()
        for name, service in self.services.items():
            if was_suspended or not is_informed:
                service.interrupt()
            if is_informed:
                service.step(
                    configuration,
                    self.progress_view.by_batch_id,
                    servers.get(name, []),
                    now,
                )
            self.record_gauges(service)

    def update_services(self) -> None:
        """Follow the configuration; a service with changed bounds starts anew.

        A service that also gets single requests is left alone: their demand is not
        known here.
        """
        configuration = self.routes.configuration
        if configuration is None:
            return
        scaled = {
            name: spec
            for name, spec in configuration.services.items()
            if spec.scaling is not None and has_only_batches(configuration, name)
        }
        self.services = {
            name: service
            for name, service in self.services.items()
            if scaled.get(name) == service.spec
        }
        for name, spec in scaled.items():
            if name not in self.services:
                self.services[name] = ServiceScaling(spec)
                logger.info("service is scaled", extra={"service": name})

    def record_gauges(self, service: ServiceScaling) -> None:
        """Record the wanted and the listed number of servers of a service."""
        pools, name = service.pools.values(), service.spec.name
        self.metrics.gauge(f"scaling.wanted.{name}", sum(p.wanted for p in pools))
        self.metrics.gauge(f"scaling.listed.{name}", sum(p.listed for p in pools))

    def due_duties(self) -> Sequence[Duty]:
        """Return the duties of the failure domains whose number should be ordered."""
        duties = [
            ScaleDuty(self, service, domain)
            for service in self.services.values()
            for domain in sorted({pool.failure_domain for pool in service.pools})
        ]
        return [duty for duty in duties if duty.is_due()]

    def explain(self) -> list[ServiceStatus]:
        """Return the plan of each service with its reasons, for an operator."""
        now = self.clock.boot_ms()
        return [
            ServiceStatus(
                name,
                service.plan.summary,
                service.demand.slots,
                service.demand.batch_slots,
                service.known_ms,
                tuple(service.status(now)),
            )
            for name, service in sorted(self.services.items())
        ]
