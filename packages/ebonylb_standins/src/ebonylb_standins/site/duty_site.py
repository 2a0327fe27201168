"""Site of entry VM processes with duties towards the platform's API over HTTP."""

import asyncio
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import web
from result import Err

from ebonylb.adapters import SystemClock
from ebonylb.interfaces.control_plane import CallOutcome

from .control_plane import FakeControlPlane, RecordedCall
from .http_site import LOOPBACK_NETWORK, EntryVmProcess, HttpSite

STATUSES = {
    CallOutcome.ACCEPTED: 200,
    CallOutcome.UNAVAILABLE: 409,
    CallOutcome.BUSY: 429,
    CallOutcome.REJECTED: 412,
}


@dataclass
class DutyVmProcess(EntryVmProcess):
    """Entry VM process with further settings."""

    settings: tuple[str, ...] = ()

    def write_settings(self) -> Path:
        """Write the settings file and return its path."""
        path = super().write_settings()
        with path.open("a") as file:
            file.writelines(f"{line}\n" for line in self.settings)
        return path


@dataclass
class DutySite(HttpSite):
    """Site whose entry VMs report the usage of windows of one second.

    Attributes
    ----------
    platform : FakeControlPlane
        Records the calls and has the faults.
    """

    platform: FakeControlPlane = field(
        default_factory=lambda: FakeControlPlane(SystemClock())
    )

    async def start(self) -> None:
        """Start the platform's API and the site."""
        app = web.Application()
        app.router.add_post("/usage", self.handle_usage)
        app.router.add_post("/scale", self.handle_scale)
        self.platform_address = await self.listen(app)
        await super().start()

    async def add_entry_vm(self, name: str, zone: str) -> EntryVmProcess:
        """Start an entry VM on its own loopback address."""
        vm = DutyVmProcess(
            name,
            str(LOOPBACK_NETWORK + self.first_ip + len(self.vms)),
            zone,
            self.store_address_for(name),
            self.folder,
            self.program,
            settings=(
                f"Cloud.Address={self.platform_address}",
                "Cloud.Duties=usage_report,autoscale",
                "Cloud.DutyPerS=50",
                "Bounds.ReportWindowS=1",
                "Bounds.UsageLateS=3",
            ),
        )
        self.vms[name] = vm
        await vm.start()
        return vm

    async def handle_usage(self, request: web.Request) -> web.Response:
        """Respond to a usage report."""
        body = await request.json()
        return await self.respond(request, "usage", body["Counts"], body["Window"])

    async def handle_scale(self, request: web.Request) -> web.Response:
        """Respond to an order of servers."""
        body = await request.json()
        subject = f"scale/{body['Service']}/{body['Zone']}"
        return await self.respond(request, subject, body)

    async def respond(
        self,
        request: web.Request,
        subject: str,
        content: object,
        window: int | None = None,
    ) -> web.Response:
        """Record a call and respond as the faults say."""
        holder = request.headers["Ebonylb-Lease-Holder"]
        fence = int(request.headers["Ebonylb-Fencing-Token"])
        now = self.platform.clock.monotonic_ms()
        call = RecordedCall(now, subject, holder, fence, content, window)
        result = await self.platform.receive(holder, call)
        if isinstance(result, Err):
            if request.transport is not None:
                request.transport.abort()
            raise asyncio.CancelledError
        return web.Response(status=STATUSES[result.ok_value])
