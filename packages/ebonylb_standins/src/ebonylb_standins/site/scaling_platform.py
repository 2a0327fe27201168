"""Platform that adds and removes engines of a `World` on order, with its faults."""

import asyncio
from collections.abc import Mapping

from result import Err, Ok, Result

from ebonylb.fleet import ServerStage
from ebonylb.interfaces.control_plane import (
    CallOutcome,
    ControlPlane,
    DutyAuthority,
    ServerCount,
)
from ebonylb.outcomes import StepError
from ebonylb.routes.model import ScalingSpec

from .world import ENGINE_SERVICE, World

CALL_MS = 10.0
LEAVE_MS = 6_000.0  # notice of servers that are removed on order
SLOTS = 16


class ScalingPlatform(ControlPlane):
    """Platform of the engines of a world.

    `unavailable` names the failure domains in which no new server can be had. While
    `fails`, calls have no effect and no response. `orders` has all calls with their
    time in ms.
    """

    def __init__(self, world: World, spec: ScalingSpec) -> None:
        self.world = world
        self.spec = spec
        self.unavailable: set[str] = set()
        self.fails = False
        self.orders: list[tuple[float, DutyAuthority, ServerCount]] = []
        self.booting: dict[str, tuple[str, bool]] = {}
        self.billed_from_ms = dict.fromkeys(world.domains, 0.0)
        self.billed_until_ms: dict[str, float] = {}
        self.added = 0

    async def report_usage(
        self, authority: DutyAuthority, window: int, counts: Mapping[str, int]
    ) -> Result[CallOutcome, StepError]:
        """Accept the report."""
        return Ok(CallOutcome.ACCEPTED)

    async def order_servers(
        self, authority: DutyAuthority, order: ServerCount
    ) -> Result[CallOutcome, StepError]:
        """Boot or remove servers until their number is the ordered one."""
        await self.world.clock.sleep_ms(CALL_MS)
        self.orders.append((self.world.clock.monotonic_ms(), authority, order))
        if self.fails:
            return Err(StepError("scale", "control plane", "no response"))
        pool = (order.failure_domain, order.reclaimable)
        booting = [name for name, at in self.booting.items() if at == pool]
        names = booting + self.serving(*pool)
        if order.count > len(names) and order.failure_domain in self.unavailable:
            return Ok(CallOutcome.UNAVAILABLE)
        for _ in range(order.count - len(names)):
            self.boot(pool)
        for name in names[order.count :]:
            if self.booting.pop(name, None) is None:
                self.leave(name, LEAVE_MS)
        return Ok(CallOutcome.ACCEPTED)

    def serving(self, domain: str, reclaimable: bool) -> list[str]:
        """Return the ready engines of one kind in a failure domain."""
        return [
            server.name
            for server in self.world.listed_servers()
            if server.service == ENGINE_SERVICE
            and server.stage is ServerStage.READY
            and (server.failure_domain, server.reclaimable) == (domain, reclaimable)
        ]

    def boot(self, pool: tuple[str, bool]) -> None:
        """Begin to boot a server."""
        self.added += 1
        name = f"new{self.added}"
        self.booting[name] = pool
        loop = asyncio.get_running_loop()
        loop.call_later(self.spec.boot_ms / 1000, self.list_server, name)

    def list_server(self, name: str) -> None:
        """List a server that has booted, unless its order was withdrawn."""
        if name in self.booting:
            domain, reclaimable = self.booting.pop(name)
            self.world.add_server(name, ENGINE_SERVICE, SLOTS, domain)
            self.world.listing_options[name] = {"reclaimable": reclaimable}
            self.billed_from_ms[name] = self.world.clock.monotonic_ms()
            self.world.refresh()

    def leave(self, name: str, notice_ms: float) -> None:
        """Take a server away after a notice."""
        options = self.world.listing_options.setdefault(name, {})
        options |= {"stage": ServerStage.LEAVING, "leaves_in_ms": notice_ms}
        self.world.refresh()
        asyncio.get_running_loop().call_later(notice_ms / 1000, self.lose, name)

    def lose(self, name: str) -> None:
        """Take a server away at once, as a crash does."""
        self.billed_until_ms[name] = self.world.clock.monotonic_ms()
        self.world.port.servers[name].mode = "absent"
        self.world.unlisted.add(name)
        self.world.refresh()

    def cost(self) -> float:
        """Return the price of all server seconds until now."""
        total, now = 0.0, self.world.clock.monotonic_ms()
        for name, since_ms in self.billed_from_ms.items():
            price = self.spec.domain_prices[self.world.domains[name]]
            if self.world.listing_options.get(name, {}).get("reclaimable"):
                price *= self.spec.reclaimable_price
            total += (self.billed_until_ms.get(name, now) - since_ms) / 1000 * price
        return total
