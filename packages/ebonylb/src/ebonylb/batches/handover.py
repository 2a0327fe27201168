"""Tracking of a batch that was assigned to another entry VM."""

from dataclasses import dataclass

# The entry VM that handed a batch over takes it back when the new holder does not claim
# it within the first timeout or does not start it within the second one after the
# claim. The latter is one heartbeat interval plus the delay of the heartbeat.
CLAIM_TIMEOUT_MS = 450.0
START_TIMEOUT_MS = 900.0


@dataclass(slots=True)
class Handover:
    """State of a batch that another entry VM should claim and then start.

    Parameters
    ----------
    version : int
        Last observed version of the batch's progress row.
    changed_ms : float
        Monotonic time at which this version was observed.
    claimed : bool
        Whether the row has changed once since the handover: the claim.
    started : bool
        Whether the row has changed again since the claim: the first commit.
    """

    version: int
    changed_ms: float
    claimed: bool = False
    started: bool = False

    def check_overdue(self, version: int, now_ms: float) -> bool:
        """Record the row's version and return whether the next change is overdue."""
        if version != self.version:
            self.started = self.claimed
            self.claimed = True
            self.version, self.changed_ms = version, now_ms
        timeout_ms = START_TIMEOUT_MS if self.claimed else CLAIM_TIMEOUT_MS
        return not self.started and now_ms - self.changed_ms > timeout_ms
