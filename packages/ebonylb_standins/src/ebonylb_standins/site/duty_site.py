"""Site of entry VM processes with duties towards the platform's API over HTTP."""

from dataclasses import dataclass, field

from ebonylb.adapters import SystemClock

from .control_plane import FakeControlPlane
from .control_plane_api import ControlPlaneApi
from .http_site import HttpSite


def duty_settings(address: str) -> tuple[str, ...]:
    """Return the settings of entry VMs with all duties and windows of one second."""
    return (
        f"Cloud.Address={address}",
        "Cloud.Duties=usage_report,autoscale",
        "Cloud.DutyPerS=50",
        "Bounds.ReportWindowS=1",
        # Reports are summed after 0.6 of this time. An unanswered request counts after
        # 1.5 s and its row is stored within 0.4 s, so that less time would miss it.
        "Bounds.UsageLateS=4",
    )


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
        address = await self.listen(ControlPlaneApi(self.platform).build_app())
        self.settings = (*self.settings, *duty_settings(address))
        await super().start()
