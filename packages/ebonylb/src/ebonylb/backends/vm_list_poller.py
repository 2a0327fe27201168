"""Poller of the platform's VM list, shared by all components of the process."""

import logging
from collections.abc import Callable

from result import Err

from ..interfaces import Clock, VmEntry, VmList

logger = logging.getLogger(__name__)

# Comparing 12,000 entries takes 11 ms. The interval grows with the list, to 3 s at that
# size, so that the comparison uses less than 0.4% of a core.
INTERVAL_MS_PER_ENTRY = 0.25


class VmListPoller:
    """Reads the VM list periodically and passes each usable reading to listeners.

    A failed or empty reading is ignored, because it says nothing about any VM.

    Parameters
    ----------
    vm_list : VmList
        The platform's list.
    clock : Clock
        Source of time.
    interval_ms : float
        Minimum interval between readings.
    """

    def __init__(self, vm_list: VmList, clock: Clock, interval_ms: float) -> None:
        self.vm_list = vm_list
        self.clock = clock
        self.interval_ms = interval_ms
        self.listeners: list[Callable[[list[VmEntry]], None]] = []
        self.entry_count = 0
        self.last_read_failed = False

    def subscribe(self, listener: Callable[[list[VmEntry]], None]) -> None:
        """Register a listener for usable readings."""
        self.listeners.append(listener)

    async def poll_once(self) -> bool:
        """Read the list once; return whether the reading was usable."""
        reading = await self.vm_list.entries()
        failed = isinstance(reading, Err)
        if failed and not self.last_read_failed:
            logger.warning("VM list cannot be read: %s", reading.err_value)
        self.last_read_failed = failed
        if failed or not reading.ok_value:
            return False
        self.entry_count = len(reading.ok_value)
        for listener in self.listeners:
            listener(reading.ok_value)
        return True

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll_once()
            delay_ms = max(self.interval_ms, self.entry_count * INTERVAL_MS_PER_ENTRY)
            await self.clock.sleep_ms(delay_ms)
