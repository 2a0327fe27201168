"""Entry VM process that writes its counters to a file on SIGUSR1.

The service runs unchanged. If the variable ``EBONYLB_PROFILE`` is set, it runs under
cProfile until SIGUSR2, which writes the profile to a file.
"""

import asyncio
import cProfile
import os
import signal
import sys
from pathlib import Path

import msgspec
import uvloop

from ebonylb.cli import read_settings
from ebonylb.service import app
from ebonylb.telemetry import configure_logs

CREATED_SERVICES: list[app.EntryVmService] = []


class MeasuredService(app.EntryVmService):
    """Entry VM service that can report its counters."""

    def __init__(self, settings) -> None:
        super().__init__(settings)
        CREATED_SERVICES.append(self)

    def counters(self) -> dict[str, object]:
        """Return the traffic of the peer bus, main table sizes and the alive VMs."""
        return {
            "sent": self.bus.traffic.sent,
            "received": self.bus.traffic.received,
            "links": len(self.bus.links),
            "entry_vms": len(self.membership.view.vms),
            "servers": len(self.registry.records),
            "alive": [vm.name for vm in self.membership.view.vms.values() if vm.alive],
        }


def write_counters(path: Path) -> None:
    """Write the counters atomically, so that a reader never sees a partial file."""
    temporary_path = path.with_suffix(".part")
    temporary_path.write_bytes(msgspec.json.encode(CREATED_SERVICES[-1].counters()))
    temporary_path.replace(path)


def write_profile(path: Path, profile: cProfile.Profile) -> None:
    """Stop profiling and write the profile atomically."""
    profile.disable()
    temporary_path = path.with_suffix(".part")
    profile.dump_stats(temporary_path)
    temporary_path.replace(path)


async def run(settings, settings_path: Path, profile: cProfile.Profile | None) -> None:
    """Run the service with a handler of SIGUSR1 and, with a profile, of SIGUSR2."""
    loop = asyncio.get_running_loop()
    counters_path = settings_path.with_suffix(".counters")
    loop.add_signal_handler(signal.SIGUSR1, write_counters, counters_path)
    if profile is not None:
        profile_path = settings_path.with_suffix(".profile")
        loop.add_signal_handler(signal.SIGUSR2, write_profile, profile_path, profile)
    await app.run_service(settings)


def main() -> None:
    """Run the entry VM; the arguments are ``serve --settings FILE``."""
    settings_path = Path(sys.argv[-1])
    settings = read_settings(str(settings_path))
    configure_logs(settings.name, settings.log_level)
    app.EntryVmService = MeasuredService
    profile = cProfile.Profile() if os.environ.get("EBONYLB_PROFILE") else None
    if profile is not None:
        profile.enable()
    uvloop.run(run(settings, settings_path, profile))


if __name__ == "__main__":
    main()
