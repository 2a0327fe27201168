"""Controller that sends the planned weight orders, one at a time to each server."""

import asyncio
import logging
from dataclasses import dataclass

from result import Err

from ..fleet import ListedServer, ServerDirectory
from ..interfaces import Clock, Metrics
from ..interfaces.server_client import ModelVersion, ServerClient, VersionOrder
from ..leases import claim_delay_ms
from ..relay import Standby
from ..routes import RouteTable
from .leases import OrderLeases, group_of
from .plan import PlannedLoad, plan_orders

logger = logging.getLogger(__name__)

STEP_INTERVAL_MS = 100.0
# Computing the plan takes about 6 microseconds per server, 15 ms for 2,400 servers. An
# interval of 0.3 ms per server limits it to 2% of a core, whatever the number of
# servers. With 12,000 servers an order starts up to 3.6 s late, of the 10 s within
# which weights are due.
STEP_INTERVAL_MS_PER_SERVER = 0.3
# An entry VM that is not the holder of a server's group waits this long for the holder
# to send the order.
HOLDER_GRACE_MS = 1_200.0
# Loading takes about one second, during which the server refuses further orders. An
# accepted order without effect after the timeout is sent again.
TYPICAL_LOAD_MS = 1_000.0
LOAD_TIMEOUT_MS = 2_500.0
# Pause after a refused order, an unreadable report or a refused permit.
REFUSAL_PAUSE_MS = 300.0
ACCEPTED, ALREADY_LOADED, BUSY, STALE_FENCE = 202, 200, 409, 412
KEEP_STREAMS = "keep"
WAIT_FOR_STREAMS = "wait"


@dataclass(slots=True)
class ServerOrderState:
    """State of this entry VM's orders to one server.

    Attributes
    ----------
    planned_since_ms : float or None
        Monotonic time since which the plan has a load for the server.
    accepted_orders : int or None
        Number of orders that the server has accepted, if known. An order names it, and
        the server refuses an order with another number.
    not_before_ms : float
        Monotonic time before which no further order is sent.
    server_started_ms : int or None
        Start of the server process that `accepted_orders` belongs to.
    task : asyncio.Task or None
        Order in progress.
    accepted_load : PlannedLoad or None
        Load of the last accepted order, not repeated before `load_deadline_ms`.
    """

    planned_since_ms: float | None = None
    accepted_orders: int | None = None
    not_before_ms: float = -1e12
    server_started_ms: int | None = None
    task: asyncio.Task[None] | None = None
    accepted_load: PlannedLoad | None = None
    load_deadline_ms: float = -1e12


class OrderController:
    """Sends weight orders to servers whose lease this entry VM holds or can claim.

    Parameters
    ----------
    standby : Standby
        Whether this entry VM leaves the orders to others.

    Attributes
    ----------
    target_versions : dict of str to int
        Newest version announced for each model, set by the follower of the operator's
        table.
    order_states : dict of str to ServerOrderState
        State of the orders to each server.
    leaving : bool
        Whether this entry VM is shutting down and starts no further orders.
    """

    def __init__(
        self,
        name: str,
        routes: RouteTable,
        directory: ServerDirectory,
        leases: OrderLeases,
        server_client: ServerClient,
        clock: Clock,
        metrics: Metrics,
        standby: Standby,
    ) -> None:
        self.name = name
        self.routes = routes
        self.directory = directory
        self.leases = leases
        self.server_client = server_client
        self.clock = clock
        self.metrics = metrics
        self.standby = standby
        self.target_versions: dict[str, int] = {}
        self.order_states: dict[str, ServerOrderState] = {}
        self.leaving = False

    def set_target_version(self, target: ModelVersion) -> None:
        """Set the version of a model to load; older versions are ignored."""
        if target.version > self.target_versions.get(target.model, 0):
            self.target_versions[target.model] = target.version
            logger.info(
                "weight version named",
                extra={"model": target.model, "version": target.version},
            )

    def plan_loads(self) -> dict[str, PlannedLoad]:
        """Return the most urgent planned load of each server."""
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
        """Start due orders periodically until cancelled."""
        while True:
            await self.clock.sleep_ms(self.step_interval_ms())
            if self.leaving or self.standby.is_active:
                continue
            self.step()

    def step_interval_ms(self) -> float:
        """Return the interval between two computations of the plan."""
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
        """Return whether this entry VM should send an order to a server now.

        Clears the accepted load when its timeout has passed without effect.
        """
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
        waited_ms = now_ms - order_state.planned_since_ms
        if self.leases.has_lease(name):
            # The claim delays of all entry VMs count from the end of the holder's term,
            # however long the load has been planned.
            grace_ms = HOLDER_GRACE_MS
            if self.standby.is_cut_off(self.leases.holder_of(name)):
                grace_ms = 0.0
            waited_ms = min(waited_ms - grace_ms, self.leases.claimable_for_ms(name))
        servers = len(self.directory.servers)
        return waited_ms >= claim_delay_ms(group_of(name), self.name, servers)

    async def send_order(
        self, server: ListedServer, order_state: ServerOrderState, planned: PlannedLoad
    ) -> None:
        """Send one order under a valid permit."""
        if order_state.server_started_ms != server.started_ms:
            order_state.server_started_ms, order_state.accepted_orders = (
                server.started_ms,
                None,
            )
        permit = None
        if not self.leases.is_holder(server.name):
            # Of all entry VMs that claim a group at once, only the new holder opens a
            # connection to the server.
            if await self.standby.can_take_duty():
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
            logger.warning(
                "order not sent: its permit has expired", extra={"server": server.name}
            )
            return
        if not self.directory.is_ready(server):
            logger.info(
                "order not sent: its server leaves", extra={"server": server.name}
            )
            return
        response = await self.server_client.send_order(server.endpoint, message)
        self.metrics.incr("orders.sent")
        self.handle_response(server, order_state, planned, permit.fence, response)

    def load_mode(self, model: str) -> str:
        """Return what a server does with running streams when it loads a model.

        Streams continue with the new version, unless a route requires text of a single
        version: then the load waits for them.
        """
        configuration = self.routes.configuration
        single_version = configuration is not None and any(
            route.single_version for route in configuration.routes
        )
        return WAIT_FOR_STREAMS if single_version else KEEP_STREAMS

    async def check_server(
        self, server: ListedServer, order_state: ServerOrderState, planned: PlannedLoad
    ) -> bool:
        """Read a server's report and return whether to send the order.

        Return False when the report cannot be read, the server is busy or has already
        loaded the version.
        """
        report = await self.server_client.read_report(server.endpoint)
        now = self.clock.monotonic_ms()
        if isinstance(report, Err):
            order_state.not_before_ms = now + REFUSAL_PAUSE_MS
            logger.info(
                "report of server not read before an order",
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
        """Update the state of a server's orders from the response to an order."""
        now = self.clock.monotonic_ms()
        status = None if isinstance(response, Err) else response.ok_value.status
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
