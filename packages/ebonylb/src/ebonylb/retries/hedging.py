"""Rule that decides whether a running attempt is hedged on another server."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """Progress of a running attempt, and the properties of its work.

    Parameters
    ----------
    elapsed_ms : float
        Time since the start of the attempt.
    received_tokens : int
        Tokens received from the attempt.
    remaining_tokens : int
        Tokens predicted to come; 1 for a plain call.
    idempotent, long : bool
        Whether the work is idempotent, and whether it is long.
    running_attempts : int
        Attempts of the same work that are running now.
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
    """Return whether a hedge on another server is worth its cost.

    A hedge continues from the received tokens, so both attempts have the same tokens
    left, and the hedge takes about one more gap for its first token. It must be
    faster by the factor `min_speedup`. Long work is not hedged: its hedge would use
    more capacity than many short requests together.
    """
    if not progress.idempotent or progress.long or progress.running_attempts != 1:
        return False
    if progress.elapsed_ms < 2 * hedge_gap_ms:
        return False
    remaining_ms = progress.remaining_tokens * current_gap_ms
    hedge_ms = (progress.remaining_tokens + 1) * hedge_gap_ms
    return remaining_ms > min_speedup * hedge_ms
