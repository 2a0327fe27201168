"""A batch on its way to the entry VM that should run it."""

from dataclasses import dataclass

# A batch handed to another entry VM is taken back when it was not claimed by then, or
# not begun within the second time after its claim: a heartbeat with its delay.
HANDOVER_MS = 450.0
BEGIN_MS = 900.0


@dataclass(slots=True)
class Handover:
    """A batch that another entry VM should claim, and then begin.

    Parameters
    ----------
    version : int
        Version of its progress row when it changed last.
    since_ms : float
        Monotonic time at which that was seen.
    """

    version: int
    since_ms: float
    claimed: bool = False
    begun: bool = False

    def is_late(self, version: int, now_ms: float) -> bool:
        """Take over the row's version; tell whether the next change is overdue."""
        if version != self.version:
            self.begun = self.claimed
            self.claimed = True
            self.version, self.since_ms = version, now_ms
        limit = BEGIN_MS if self.claimed else HANDOVER_MS
        return not self.begun and now_ms - self.since_ms > limit
