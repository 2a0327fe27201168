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
from .ledger import OrderLeases, group_of
from .plan import PlannedLoad, plan_orders

logger = logging.getLogger(__name__)

STEP_INTERVAL_MS = 100.0
# Working the plan out takes about 6 microseconds a server, and 15 ms with 2,400. At one
# plan each 0.3 ms a server it takes 2% of a core, whatever the number of servers; with
# 12,000 of them an order starts up to 3.6 s late, of the 10 s for weights.
STEP_INTERVAL_MS_PER_SERVER = 0.3
# An entry VM that is not the holder of a server's group leaves the order to it for
# this long.
HOLDER_GRACE_MS = 1_200.0
# Loading takes about a second. Until then the server refuses further orders; long after
# it, an accepted order without effect is looked into.
TYPICAL_LOAD_MS = 1_000.0
LOAD_TIMEOUT_MS = 2_500.0
# Pause before a server that refused an order is asked again.
REFUSAL_PAUSE_MS = 300.0
ACCEPTED, ALREADY_LOADED, BUSY, STALE_FENCE = 202, 200, 409, 412
KEEP = "keep"
WAIT = "wait"


@dataclass(slots=True)
class ServerOrderState:
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

    planned_since_ms: float | None = None
    accepted_orders: int | None = None
    not_before_ms: float = -1e12
    server_started_ms: int | None = None
    task: asyncio.Task[None] | None = None
    accepted_load: PlannedLoad | None = None
    load_deadline_ms: float = -1e12


class OrderController:
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
        leases: OrderLeases,
        port: ServerPort,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.name = name
        self.routes = routes
        self.directory = directory
        self.leases = leases
        self.port = port
        self.clock = clock
        self.metrics = metrics
        self.target_versions: dict[str, int] = {}
        self.order_states: dict[str, ServerOrderState] = {}
        self.leaving = False

    def set_target_version(self, target: ModelVersion) -> None:
        """Take over a named version; versions only move forward."""
        if target.version > self.target_versions.get(target.model, 0):
            self.target_versions[target.model] = target.version
            logger.info(
                "weight version named",
                extra={"model": target.model, "version": target.version},
            )

    def plan_loads(self) -> dict[str, PlannedLoad]:
        """Return the most urgent load of each server."""
        configuration = self.routes.configuration
        if configuration is None:
            return {}
        planned_loads: dict[str, PlannedLoad] = {}
        for service in configuration.services.values():
            if service.engine is None or not service.engine.models:
                continue
            servers = self.directory.ready(service.name)
            versions = {
                (server.name, model): self.directory.version_of(server, model)
                for server in servers
                for model in service.engine.models
            }
            for planned in plan_orders(
                servers, service.engine.models, self.target_versions, versions
            ):
                planned_loads.setdefault(planned.server, planned)
        return planned_loads

    async def run(self) -> None:
        """Give due orders until cancelled."""
        while True:
            await self.clock.sleep_ms(self.step_interval_ms())
            if self.leaving:
                continue
            self.step()

    def step_interval_ms(self) -> float:
        """Return the time between two looks at the plan."""
        return max(
            STEP_INTERVAL_MS, STEP_INTERVAL_MS_PER_SERVER * len(self.directory.servers)
        )

    def step(self) -> None:
        """Start the orders that are due now."""
        now = self.clock.monotonic_ms()
        planned_loads = self.plan_loads()
        for name in [n for n in self.order_states if n not in self.directory.servers]:
            del self.order_states[name]
        for name, order_state in self.order_states.items():
            if name not in planned_loads:
                order_state.planned_since_ms = None
        for name, planned in planned_loads.items():
            order_state = self.order_states.setdefault(name, ServerOrderState())
            if order_state.planned_since_ms is None:
                order_state.planned_since_ms = now
            if self.is_due(name, order_state, planned, now):
                server = self.directory.get(name)
                order_state.task = asyncio.create_task(
                    self.send_order(server, order_state, planned)
                )

    def is_due(
        self,
        name: str,
        order_state: ServerOrderState,
        planned: PlannedLoad,
        now_ms: float,
    ) -> bool:
        """Tell whether this entry VM should order a server now."""
        if order_state.task is not None and not order_state.task.done():
            return False
        if order_state.accepted_load == planned:
            if now_ms < order_state.load_deadline_ms:
                return False
            order_state.accepted_load, order_state.accepted_orders = None, None
        if now_ms < order_state.not_before_ms or not self.leases.can_claim(name):
            return False
        if self.leases.is_holder(name):
            return True
        waited = now_ms - order_state.planned_since_ms
        if self.leases.has_lease(name):
            # The delays of all entry VMs begin when the holder's time is over, however
            # long the order has been wanted.
            waited = min(waited - HOLDER_GRACE_MS, self.leases.claimable_for_ms(name))
        servers = len(self.directory.servers)
        return waited >= claim_delay_ms(group_of(name), self.name, servers)

    async def send_order(
        self, server: ListedServer, order_state: ServerOrderState, planned: PlannedLoad
    ) -> None:
        """Order one load, under a fresh permission."""
        if order_state.server_started_ms != server.started_ms:
            order_state.server_started_ms, order_state.accepted_orders = (
                server.started_ms,
                None,
            )
        permit = None
        if not self.leases.is_holder(server.name):
            # Of all that claim a group at once, only its new holder connects.
            permit = await self.leases.request_permit(server.name)
            if permit is None:
                order_state.not_before_ms = self.clock.monotonic_ms() + REFUSAL_PAUSE_MS
                return
        if order_state.accepted_orders is None and not await self.check_server(
            server, order_state, planned
        ):
            return
        if permit is None or not self.leases.is_valid(permit):
            permit = await self.leases.request_permit(server.name)
        if permit is None:
            order_state.not_before_ms = self.clock.monotonic_ms() + REFUSAL_PAUSE_MS
            return
        message = VersionOrder(
            planned.model,
            planned.version,
            self.load_mode(planned.model),
            self.name,
            permit.fence,
            order_state.accepted_orders,
        )
        if not self.leases.is_valid(permit):
            logger.warning("order not sent in time", extra={"server": server.name})
            return
        response = await self.port.order(server.target, message)
        self.metrics.incr("orders.sent")
        self.handle_response(server, order_state, planned, permit.fence, response)

    def load_mode(self, model: str) -> str:
        """Return what happens to running streams of a model.

        They go on under the new version, unless a route of batches wants text of one
        version only.
        """
        configuration = self.routes.configuration
        single_version = configuration is not None and any(
            route.single_version for route in configuration.routes
        )
        return WAIT if single_version else KEEP

    async def check_server(
        self, server: ListedServer, order_state: ServerOrderState, planned: PlannedLoad
    ) -> bool:
        """Read a server's state before an order; False when it cannot take one."""
        report = await self.port.report(server.target)
        now = self.clock.monotonic_ms()
        if isinstance(report, Err):
            order_state.not_before_ms = now + REFUSAL_PAUSE_MS
            logger.info(
                "server's report not read",
                extra={"server": server.name, "cause": str(report.err_value)},
            )
            return False
        server_state = report.ok_value
        versions = self.directory.condition(server.name).versions
        for model in server_state.models:
            versions[model.model] = max(versions.get(model.model, 0), model.version)
        if server_state.busy:
            order_state.not_before_ms = now + REFUSAL_PAUSE_MS
            return False
        order_state.accepted_orders = server_state.accepted_orders
        return versions.get(planned.model, 0) < planned.version

    def handle_response(
        self,
        server: ListedServer,
        order_state: ServerOrderState,
        planned: PlannedLoad,
        fence: int,
        response,
    ) -> None:
        """Learn from the answer to an order."""
        now = self.clock.monotonic_ms()
        status = None if isinstance(response, Err) else response.ok_value
        if status == ACCEPTED:
            if order_state.accepted_orders is not None:
                order_state.accepted_orders += 1
            order_state.not_before_ms = now + TYPICAL_LOAD_MS
            order_state.accepted_load, order_state.load_deadline_ms = (
                planned,
                now + LOAD_TIMEOUT_MS,
            )
        elif status == ALREADY_LOADED:
            self.directory.condition(server.name).versions[planned.model] = (
                planned.version
            )
        else:
            order_state.accepted_orders = None
            order_state.not_before_ms = now + REFUSAL_PAUSE_MS
        logger.info(
            "order given",
            extra={
                "server": server.name,
                "model": planned.model,
                "version": planned.version,
                "fence": fence,
                "status": status,
                "cause": str(response.err_value) if isinstance(response, Err) else None,
            },
        )
