"""Watch of the process's resident memory, which the platform limits."""

import logging
import os
from collections.abc import Callable
from pathlib import Path

from ..interfaces import Clock

logger = logging.getLogger(__name__)

CHECK_INTERVAL_MS = 500.0
# Part of the limit from which on the log says what is held. A process that exceeds its
# limit is killed and cannot log anything.
WARN_SHARE = 0.75
# Part below which the next warning is due again.
CALM_SHARE = 0.65
STATM_PATH = Path("/proc/self/statm")


def read_resident_bytes(path: Path = STATM_PATH) -> int | None:
    """Return the resident memory of this process in bytes; None if it is unknown."""
    try:
        return int(path.read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return None


class MemoryWatch:
    """Logs what is held when the resident memory comes close to its limit.

    Parameters
    ----------
    limit_bytes : int
        Memory limit of the process; 0 if unknown, so that nothing is logged.
    describe : callable
        Returns gauges of what is held, by name.
    clock : Clock
        Source of time.
    read_resident : callable
        Returns the resident memory in bytes, or None.
    """

    def __init__(
        self,
        limit_bytes: int,
        describe: Callable[[], dict[str, float]],
        clock: Clock,
        read_resident: Callable[[], int | None] = read_resident_bytes,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.describe = describe
        self.clock = clock
        self.read_resident = read_resident
        self.is_near_limit = False

    async def run(self) -> None:
        """Check the memory at an interval, until cancelled."""
        while True:
            self.check()
            await self.clock.sleep_ms(CHECK_INTERVAL_MS)

    def check(self) -> None:
        """Log once when the memory comes close to its limit."""
        resident = self.read_resident()
        if resident is None or not self.limit_bytes:
            return
        share = resident / self.limit_bytes
        if share >= WARN_SHARE and not self.is_near_limit:
            logger.warning(
                "memory close to its limit",
                extra={
                    "resident_bytes": resident,
                    "limit_bytes": self.limit_bytes,
                    "held": self.describe(),
                },
            )
        self.is_near_limit = share >= (CALM_SHARE if self.is_near_limit else WARN_SHARE)

    def gauges(self) -> dict[str, float]:
        """Return the resident memory, if it is known."""
        resident = self.read_resident()
        return {} if resident is None else {"process.resident_bytes": float(resident)}
