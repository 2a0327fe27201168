"""Drain rate, expected waits and the refusals that follow from them."""

import random

from ..outcomes import Outcome, Refusal
from ..scheduling import FairQueue

DRAIN_RATE_SMOOTHING = 0.3  # weight of the newest interval in the drain rate
RETRY_AFTER_JITTER = 0.25
MIN_RETRY_AFTER_MS = 100
# Queued work is given back when its expected wait exceeds the time it has left by
# this factor; the margin absorbs the error of the drain rate.
DEADLINE_MARGIN = 1.5


class DrainRate:
    """Tokens per second that the shard's servers finish when they are busy.

    Only intervals with waiting work at both ends measure the capacity. The rate of
    any other interval is what callers asked for: it can raise an estimate that is
    too low, but neither start nor lower one, or a burst after quiet minutes would
    be refused.
    """

    def __init__(self, now_ms: float) -> None:
        self.tokens_per_s = 0.0
        self.tokens = 0.0
        self.interval_start_ms = now_ms
        self.was_saturated = False

    def add(self, tokens: float) -> None:
        """Count finished tokens."""
        self.tokens += tokens

    def update(self, now_ms: float, saturated: bool) -> None:
        """Close an interval.

        Parameters
        ----------
        now_ms : float
            Current time.
        saturated : bool
            Work is waiting now.
        """
        elapsed_ms = now_ms - self.interval_start_ms
        if elapsed_ms <= 0:
            return
        is_measured = saturated and self.was_saturated
        self.was_saturated = saturated
        sample = 1000 * self.tokens / elapsed_ms
        self.tokens, self.interval_start_ms = 0.0, now_ms
        if not sample:
            return
        if is_measured and not self.tokens_per_s:
            self.tokens_per_s = sample
        if is_measured or 0 < self.tokens_per_s < sample:
            self.tokens_per_s += DRAIN_RATE_SMOOTHING * (sample - self.tokens_per_s)


class WaitEstimator:
    """Expected waits of a queue.

    Parameters
    ----------
    queue : FairQueue
        Waiting work.
    drain : DrainRate
        Rate at which it is served.
    """

    def __init__(self, queue: FairQueue, drain_rate: DrainRate) -> None:
        self.queue = queue
        self.drain_rate = drain_rate

    def expected_wait_ms(
        self, share: float, tokens_ahead: float, free_capacity: int
    ) -> float:
        """Return the expected wait of a party behind some of its own tokens.

        A party gets its share of the drain rate, and at most waits for the whole
        queue.
        """
        if not self.drain_rate.tokens_per_s or (free_capacity and not len(self.queue)):
            return 0.0
        party_tokens = tokens_ahead / share
        return (
            1000
            * min(party_tokens, self.queue.waiting_tokens)
            / self.drain_rate.tokens_per_s
        )

    def make_refusal(
        self, reason: str, message: str, wait_ms: float, outcome: Outcome
    ) -> Refusal:
        """Build a refusal with a jittered time to come back."""
        base = max(MIN_RETRY_AFTER_MS, wait_ms)
        retry_after = round(
            base * random.uniform(1 - RETRY_AFTER_JITTER, 1 + RETRY_AFTER_JITTER)
        )
        return Refusal(outcome, reason, message, retry_after)

    def unmeetable(self, now_ms: float) -> list[tuple[object, float]]:
        """Return the queued items that cannot meet their deadline, with their wait."""
        unmeetable_items = []
        tokens_ahead_by_party: dict[str, float] = {}
        shares = {
            party: self.queue.share(party) for party in self.queue.backlogged_parties()
        }
        for entry in sorted(
            self.queue.waiting_entries(), key=lambda e: (e.long, e.sequence)
        ):
            tokens = tokens_ahead_by_party.get(entry.party, 0.0)
            wait = self.expected_wait_ms(shares[entry.party], tokens, 0)
            if wait > DEADLINE_MARGIN * max(0.0, entry.item.deadline_ms - now_ms):
                unmeetable_items.append((entry.item, wait))
            else:
                tokens_ahead_by_party[entry.party] = tokens + entry.tokens
        return unmeetable_items


def crash_refusal() -> Refusal:
    """Return the answer to a request that crashed two servers."""
    return Refusal(
        Outcome.GIVEN_UP, "crashes_servers", "the request was running in two crashes"
    )


def moved_refusal(outcome: Outcome) -> Refusal:
    """Return the answer of an owner that shuts down."""
    return Refusal(outcome, "moved", "the shard moves to another entry VM", 0)
