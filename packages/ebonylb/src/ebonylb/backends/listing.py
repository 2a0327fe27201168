"""Polling of the platform's VM list, once for all duties of the process."""

import logging
from collections.abc import Callable

from result import Err

from ..edges import Clock, VmEntry, VmList

logger = logging.getLogger(__name__)

# Comparing 12,000 entries takes 11 ms; the interval grows with the list, to 3 s
# there, so that this stays below 0.4% of a core.
INTERVAL_MS_PER_ENTRY = 0.25


class VmListPoller:
    """One task that reads the list and hands each usable reading on.

    A failed or empty reading is dropped: it says nothing about any VM.

    Parameters
    ----------
    vm_list : VmList
        The platform's list.
    clock : Clock
        Source of time.
    interval_ms : float
        Shortest interval between readings.
    """

    def __init__(self, vm_list: VmList, clock: Clock, interval_ms: float) -> None:
        self.vm_list = vm_list
        self.clock = clock
        self.interval_ms = interval_ms
        self.listeners: list[Callable[[list[VmEntry]], None]] = []
        self.entry_count = 0
        self.last_read_failed = False

    def subscribe(self, listener: Callable[[list[VmEntry]], None]) -> None:
        """Call a function with each usable reading."""
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
