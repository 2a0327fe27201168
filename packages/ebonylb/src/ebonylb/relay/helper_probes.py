"""Connections that show which other entry VMs still run."""

import asyncio
import random

from ..fleet import ListedServer, ServerReachability
from ..interfaces import Clock
from ..interfaces.relay import RelayClient
from .entry_vms import EntryVms

PROBE_INTERVAL_MS = 2_000.0
MAX_PROBED = 16


class HelperProbes:
    """Connects to other entry VMs while this one is cut off from the servers.

    The row of an entry VM that has lost power lasts for minutes. Without the probes,
    each request could meet several of them.

    Parameters
    ----------
    entry_vms : EntryVms
        Entry VMs, and where the results are recorded.
    relay_client : RelayClient
        Connections to entry VMs.
    reachability : ServerReachability
        Whether this entry VM reaches servers.
    """

    def __init__(
        self,
        entry_vms: EntryVms,
        relay_client: RelayClient,
        reachability: ServerReachability,
        clock: Clock,
    ) -> None:
        self.entry_vms = entry_vms
        self.relay_client = relay_client
        self.reachability = reachability
        self.clock = clock
        self.due = asyncio.Event()

    def probe_soon(self) -> None:
        """Probe at once, since an entry VM that has answered is lost."""
        self.due.set()

    async def run(self) -> None:
        """Probe at an interval while cut off, until cancelled."""
        while True:
            await self.reachability.wait_cut_off()
            self.due.clear()
            helpers = self.entry_vms.helpers()
            probed = random.sample(helpers, min(MAX_PROBED, len(helpers)))
            await asyncio.gather(*(self.probe(helper) for helper in probed))
            try:
                async with asyncio.timeout(PROBE_INTERVAL_MS / 1000):
                    await self.due.wait()
            except TimeoutError:
                pass

    async def probe(self, helper: ListedServer) -> None:
        """Connect to an entry VM and record whether it accepts the connection."""
        is_reachable = await self.relay_client.is_reachable(helper.endpoint)
        condition = self.entry_vms.condition(helper.name)
        if is_reachable:
            condition.last_sign_ms = self.clock.monotonic_ms()
        else:
            condition.last_sign_ms = -1e12
            condition.record_failure(self.clock.monotonic_ms())
