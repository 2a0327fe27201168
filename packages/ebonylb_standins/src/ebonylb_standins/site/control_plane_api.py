"""The platform's API for usage reports and orders of servers, over HTTP."""

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web
from result import Err

from ebonylb.interfaces.control_plane import CallOutcome

from .control_plane import FakeControlPlane, RecordedCall

STATUSES = {
    CallOutcome.ACCEPTED: 200,
    CallOutcome.UNAVAILABLE: 409,
    CallOutcome.BUSY: 429,
    CallOutcome.REJECTED: 412,
}

OrderHandler = Callable[[dict[str, Any]], None]


class ControlPlaneApi:
    """HTTP handlers of the API.

    Parameters
    ----------
    platform : FakeControlPlane
        Records the calls and has the faults.
    carry_out : callable
        Gets the body of each accepted order of servers.
    """

    def __init__(
        self, platform: FakeControlPlane, carry_out: OrderHandler = lambda body: None
    ) -> None:
        self.platform = platform
        self.carry_out = carry_out

    def build_app(self) -> web.Application:
        """Return a web application that serves the paths of the API."""
        app = web.Application()
        app.router.add_post("/usage", self.handle_usage)
        app.router.add_post("/scale", self.handle_scale)
        return app

    async def handle_usage(self, request: web.Request) -> web.Response:
        """Respond to a usage report."""
        body = await request.json()
        outcome = await self.receive(request, "usage", body["Counts"], body["Window"])
        return web.Response(status=STATUSES[outcome])

    async def handle_scale(self, request: web.Request) -> web.Response:
        """Respond to an order of servers, and carry it out if it is accepted."""
        body = await request.json()
        subject = f"scale/{body['Service']}/{body['Zone']}"
        outcome = await self.receive(request, subject, body)
        if outcome is CallOutcome.ACCEPTED:
            self.carry_out(body)
        return web.Response(status=STATUSES[outcome])

    async def receive(
        self,
        request: web.Request,
        subject: str,
        content: object,
        window: int | None = None,
    ) -> CallOutcome:
        """Record a call and return its answer; abort the connection if it is lost."""
        holder = request.headers["Ebonylb-Lease-Holder"]
        fence = int(request.headers["Ebonylb-Fencing-Token"])
        now = self.platform.clock.monotonic_ms()
        call = RecordedCall(now, subject, holder, fence, content, window)
        result = await self.platform.receive(holder, call)
        if isinstance(result, Err):
            if request.transport is not None:
                request.transport.abort()
            raise asyncio.CancelledError
        return result.ok_value
