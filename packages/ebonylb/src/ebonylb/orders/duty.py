"""Gives the orders of the plan, one at a time to each server."""

import asyncio
import logging
from dataclasses import dataclass

from result import Err

from ..edges import Clock, Metrics
from ..edges.server_port import ModelVersion, ServerPort, VersionOrder
from ..fleet import ListedServer, ServerDirectory
from ..routes import RouteTable
from .claim_delay import claim_delay_ms
from .ledger import OrderLedger, group_of
from .plan import Want, plan_orders

logger = logging.getLogger(__name__)

STEP_MS = 100.0
# Working the plan out takes about 6 microseconds a server, and 15 ms with 2,400. At one
# plan each 0.3 ms a server it takes 2% of a core, whatever the number of servers; with
# 12,000 of them an order starts up to 3.6 s late, of the 10 s for weights.
PLAN_MS_PER_SERVER = 0.3
# An entry VM that is not the holder of a server's group leaves the order to it for
# this long.
DEFER_MS = 1_200.0
# Loading takes about a second. Until then the server refuses further orders; long after
# it, an accepted order without effect is looked into.
LOAD_USUAL_MS = 1_000.0
LOAD_LIMIT_MS = 2_500.0
# Pause before a server that refused an order is asked again.
REFUSED_MS = 300.0
ACCEPTED, IN_PLACE, BUSY, OLD_FENCE = 202, 200, 409, 412
KEEP = "keep"
WAIT = "wait"


@dataclass(slots=True)
class ServerOrders:
    """Orders of this entry VM to one server.

    Attributes
    ----------
    wanted_since_ms : float or None
        Since when the plan wants something of the server.
    accepted_orders : int or None
        Orders that it has accepted, if known; checked by the server.
    quiet_until_ms : float
        No further order before.
    loading : Want or None
        Last accepted order, not to be repeated before `load_until_ms`.
    """

    wanted_since_ms: float | None = None
    accepted_orders: int | None = None
    quiet_until_ms: float = -1e12
    started_ms: int | None = None
    task: asyncio.Task[None] | None = None
    loading: Want | None = None
    load_until_ms: float = -1e12


class OrderDuty:
    """Weight orders of this entry VM.

    Parameters
    ----------
    named : dict of str to int
        Newest version named of each model, kept by the follower of the operator's
        table.
    """

    def __init__(
        self,
        name: str,
        routes: RouteTable,
        directory: ServerDirectory,
        ledger: OrderLedger,
        port: ServerPort,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.name = name
        self.routes = routes
        self.directory = directory
        self.ledger = ledger
        self.port = port
        self.clock = clock
        self.metrics = metrics
        self.named: dict[str, int] = {}
        self.orders: dict[str, ServerOrders] = {}
        self.leaving = False

    def name_version(self, named: ModelVersion) -> None:
        """Take over a named version; versions only move forward."""
        if named.version > self.named.get(named.model, 0):
            self.named[named.model] = named.version
            logger.info(
                "weight version named",
                extra={"model": named.model, "version": named.version},
            )

    def wants(self) -> dict[str, Want]:
        """Return the most urgent load of each server."""
        configuration = self.routes.configuration
        if configuration is None:
            return {}
        found: dict[str, Want] = {}
        for service in configuration.services.values():
            if service.engine is None or not service.engine.models:
                continue
            servers = self.directory.ready(service.name)
            versions = {
                (server.name, model): self.directory.version_of(server, model)
                for server in servers
                for model in service.engine.models
            }
            for want in plan_orders(
                servers, service.engine.models, self.named, versions
            ):
                found.setdefault(want.server, want)
        return found

    async def run(self) -> None:
        """Give due orders until cancelled."""
        while True:
            await self.clock.sleep_ms(self.step_every_ms())
            if self.leaving:
                continue
            self.step()

    def step_every_ms(self) -> float:
        """Return the time between two looks at the plan."""
        return max(STEP_MS, PLAN_MS_PER_SERVER * len(self.directory.servers))

    def step(self) -> None:
        """Start the orders that are due now."""
        now = self.clock.monotonic_ms()
        wants = self.wants()
        for name in [n for n in self.orders if n not in self.directory.servers]:
            del self.orders[name]
        for name, order in self.orders.items():
            if name not in wants:
                order.wanted_since_ms = None
        for name, want in wants.items():
            order = self.orders.setdefault(name, ServerOrders())
            if order.wanted_since_ms is None:
                order.wanted_since_ms = now
            if self.is_due(name, order, want, now):
                server = self.directory.get(name)
                order.task = asyncio.create_task(self.give(server, order, want))

    def is_due(self, name: str, order: ServerOrders, want: Want, now_ms: float) -> bool:
        """Tell whether this entry VM should order a server now."""
        if order.task is not None and not order.task.done():
            return False
        if order.loading == want:
            if now_ms < order.load_until_ms:
                return False
            order.loading, order.accepted_orders = None, None
        if now_ms < order.quiet_until_ms or not self.ledger.may_claim(name):
            return False
        if self.ledger.holds(name):
            return True
        waited = now_ms - order.wanted_since_ms
        if self.ledger.is_known(name):
            # The delays of all entry VMs begin when the holder's time is over, however
            # long the order has been wanted.
            waited = min(waited - DEFER_MS, self.ledger.claimable_for_ms(name))
        servers = len(self.directory.servers)
        return waited >= claim_delay_ms(group_of(name), self.name, servers)

    async def give(self, server: ListedServer, order: ServerOrders, want: Want) -> None:
        """Order one load, under a fresh permission."""
        if order.started_ms != server.started_ms:
            order.started_ms, order.accepted_orders = server.started_ms, None
        permit = None
        if not self.ledger.holds(server.name):
            # Of all that claim a group at once, only its new holder connects.
            permit = await self.ledger.permit(server.name)
            if permit is None:
                order.quiet_until_ms = self.clock.monotonic_ms() + REFUSED_MS
                return
        if order.accepted_orders is None and not await self.look(server, order, want):
            return
        if permit is None or not self.ledger.is_valid(permit):
            permit = await self.ledger.permit(server.name)
        if permit is None:
            order.quiet_until_ms = self.clock.monotonic_ms() + REFUSED_MS
            return
        message = VersionOrder(
            want.model,
            want.version,
            self.mode_of(want.model),
            self.name,
            permit.fence,
            order.accepted_orders,
        )
        if not self.ledger.is_valid(permit):
            logger.warning("order not sent in time", extra={"server": server.name})
            return
        answer = await self.port.order(server.endpoint, message)
        self.metrics.incr("orders.sent")
        self.take_answer(server, order, want, permit.fence, answer)

    def mode_of(self, model: str) -> str:
        """Return what happens to running streams of a model.

        They go on under the new version, unless a route of batches wants text of one
        version only.
        """
        configuration = self.routes.configuration
        single = configuration is not None and any(
            route.single_version for route in configuration.routes
        )
        return WAIT if single else KEEP

    async def look(self, server: ListedServer, order: ServerOrders, want: Want) -> bool:
        """Read a server's state before an order; False when it cannot take one."""
        report = await self.port.report(server.endpoint)
        now = self.clock.monotonic_ms()
        if isinstance(report, Err):
            order.quiet_until_ms = now + REFUSED_MS
            logger.info(
                "server's report not read",
                extra={"server": server.name, "cause": str(report.err_value)},
            )
            return False
        state = report.ok_value
        versions = self.directory.condition(server.name).versions
        for model in state.models:
            versions[model.model] = max(versions.get(model.model, 0), model.version)
        if state.busy:
            order.quiet_until_ms = now + REFUSED_MS
            return False
        order.accepted_orders = state.accepted_orders
        return versions.get(want.model, 0) < want.version

    def take_answer(
        self,
        server: ListedServer,
        order: ServerOrders,
        want: Want,
        fence: int,
        answer,
    ) -> None:
        """Learn from the answer to an order."""
        now = self.clock.monotonic_ms()
        status = None if isinstance(answer, Err) else answer.ok_value
        if status == ACCEPTED:
            if order.accepted_orders is not None:
                order.accepted_orders += 1
            order.quiet_until_ms = now + LOAD_USUAL_MS
            order.loading, order.load_until_ms = want, now + LOAD_LIMIT_MS
        elif status == IN_PLACE:
            self.directory.condition(server.name).versions[want.model] = want.version
        else:
            order.accepted_orders = None
            order.quiet_until_ms = now + REFUSED_MS
        logger.info(
            "order given",
            extra={
                "server": server.name,
                "model": want.model,
                "version": want.version,
                "fence": fence,
                "status": status,
                "cause": str(answer.err_value) if isinstance(answer, Err) else None,
            },
        )
