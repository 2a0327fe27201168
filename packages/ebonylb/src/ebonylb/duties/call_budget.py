"""Limit of one entry VM on its calls to the platform."""

from collections.abc import Callable

# Part of the platform's limit that all entry VMs together use. A list of entry VMs that
# lags behind makes the parts too large.
USED_SHARE = 0.8


class CallBudget:
    """Token bucket with an equal part of the calls that all entry VMs may make.

    It holds the calls of one second, and at least one call.

    Parameters
    ----------
    calls_per_s : float
        Calls a second that the platform accepts from all entry VMs together.
    count_entry_vms : callable
        Returns the number of entry VMs, this one included.
    """

    def __init__(self, calls_per_s: float, count_entry_vms: Callable[[], int]) -> None:
        self.calls_per_s = calls_per_s
        self.count_entry_vms = count_entry_vms
        self.tokens = 1.0
        self.filled_ms: float | None = None

    def take(self, now_ms: float) -> bool:
        """Take one call from the budget; return False if there is none."""
        rate = self.calls_per_s * USED_SHARE / max(1, self.count_entry_vms())
        if self.filled_ms is not None:
            self.tokens += rate * (now_ms - self.filled_ms) / 1000
        self.filled_ms = now_ms
        self.tokens = min(max(1.0, rate), self.tokens)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Return a call that was taken and not made."""
        self.tokens += 1.0
