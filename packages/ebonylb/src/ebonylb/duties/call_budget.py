"""Limit of one entry VM on its calls to the platform."""

from collections.abc import Callable

# Part of the platform's limit that all entry VMs together use. Their counts of holders
# may differ for a while.
USED_SHARE = 0.8


class CallBudget:
    """Token bucket with an equal part of the calls that all holders may make.

    It holds the calls of one second, and at least one call.

    Parameters
    ----------
    calls_per_s : float
        Calls a second that the platform accepts from all entry VMs together.
    count_holders : callable
        Returns the largest possible number of entry VMs that hold a subject.
    """

    def __init__(self, calls_per_s: float, count_holders: Callable[[], int]) -> None:
        self.calls_per_s = calls_per_s
        self.count_holders = count_holders
        self.tokens = 1.0
        self.filled_ms: float | None = None

    def take(self, now_ms: float) -> bool:
        """Take one call from the budget; return False if there is none."""
        rate = self.calls_per_s * USED_SHARE / max(1, self.count_holders())
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
