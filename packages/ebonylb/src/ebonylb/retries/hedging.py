"""When a second copy of running work pays."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """What is known about a running attempt.

    Parameters
    ----------
    elapsed_ms : float
        Time since the attempt began.
    received : int
        Tokens received from it.
    remaining : int
        Tokens predicted to come; 1 for a plain call.
    idempotent, long : bool
        Properties of the work.
    copies : int
        Attempts that run now.
    """

    elapsed_ms: float
    received_tokens: int
    remaining_tokens: int
    idempotent: bool
    long: bool
    running_attempts: int


def should_hedge(
    progress: AttemptProgress,
    current_gap_ms: float,
    hedge_gap_ms: float,
    min_speedup: float,
) -> bool:
    """Tell whether a copy on another server is worth its cost.

    A copy continues from the tokens received, so both sides have the same tokens
    left; the copy also pays about one gap for its first token. `gain` is the factor
    by which the copy must be faster. Long work is left alone: its copy would cost
    more capacity than many short requests together.
    """
    if not progress.idempotent or progress.long or progress.running_attempts != 1:
        return False
    if progress.elapsed_ms < 2 * hedge_gap_ms:
        return False
    remaining_ms = progress.remaining_tokens * current_gap_ms
    hedge_ms = (progress.remaining_tokens + 1) * hedge_gap_ms
    return remaining_ms > min_speedup * hedge_ms
