"""A batch on its way to the entry VM that should run it."""

from dataclasses import dataclass

# A batch handed to another entry VM is taken back when it was not claimed by then, or
# not begun within the second time after its claim: a heartbeat with its delay.
CLAIM_TIMEOUT_MS = 450.0
START_TIMEOUT_MS = 900.0


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
    changed_ms: float
    claimed: bool = False
    started: bool = False

    def check_overdue(self, version: int, now_ms: float) -> bool:
        """Take over the row's version; tell whether the next change is overdue."""
        if version != self.version:
            self.started = self.claimed
            self.claimed = True
            self.version, self.changed_ms = version, now_ms
        timeout_ms = START_TIMEOUT_MS if self.claimed else CLAIM_TIMEOUT_MS
        return not self.started and now_ms - self.changed_ms > timeout_ms
