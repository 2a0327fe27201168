"""Drain rate and expected waits of a shard's queue, and refusals by its owner."""

import random

from ..outcomes import Outcome, Refusal
from ..scheduling import FairQueue

DRAIN_RATE_SMOOTHING = 0.3  # weight of the newest interval in the drain rate
RETRY_AFTER_JITTER = 0.25
MIN_RETRY_AFTER_MS = 100
# Queued work is refused when its expected wait exceeds its remaining time by this
# factor, which absorbs the error of the drain rate.
DEADLINE_MARGIN = 1.5


class DrainRate:
    """Tokens per second that the shard's servers finish under saturation.

    Only intervals with waiting work at their start and end measure the capacity. In
    any other interval the rate is limited by demand: it may raise an existing
    estimate, but neither start nor lower one. Otherwise a burst after some idle
    minutes would be refused.
    """

    def __init__(self, now_ms: float) -> None:
        self.tokens_per_s = 0.0
        self.tokens = 0.0
        self.interval_start_ms = now_ms
        self.was_saturated = False

    def add(self, tokens: float) -> None:
        """Count finished tokens of the current interval."""
        self.tokens += tokens

    def update(self, now_ms: float, saturated: bool) -> None:
        """Close the current interval and update the rate.

        Parameters
        ----------
        now_ms : float
            Current time.
        saturated : bool
            Whether work is waiting now.
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
    """Estimates how long the entries of a queue will wait.

    Parameters
    ----------
    queue : FairQueue
        Waiting work.
    drain_rate : DrainRate
        Rate at which the queue is served.
    """

    def __init__(self, queue: FairQueue, drain_rate: DrainRate) -> None:
        self.queue = queue
        self.drain_rate = drain_rate

    def expected_wait_ms(
        self, share: float, tokens_ahead: float, free_capacity: int
    ) -> float:
        """Return the expected wait behind `tokens_ahead` of the same party.

        A party gets its share of the drain rate and waits at most for the whole
        queue. The wait is 0 while the drain rate is unknown, or if the queue is empty
        and there is free capacity.
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
        """Return a refusal whose retry-after time is the wait with jitter."""
        base = max(MIN_RETRY_AFTER_MS, wait_ms)
        retry_after = round(
            base * random.uniform(1 - RETRY_AFTER_JITTER, 1 + RETRY_AFTER_JITTER)
        )
        return Refusal(outcome, reason, message, retry_after)

    def find_unmeetable(self, now_ms: float) -> list[tuple[object, float]]:
        """Return the queued items that cannot meet their deadline, with their waits.

        Listed items are not counted in the waits of later ones, since they will be
        refused.
        """
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
    """Return the refusal of a request that was running in two server crashes."""
    return Refusal(
        Outcome.GIVEN_UP,
        "crashes_servers",
        "the request was running in two crashes",
    )


def moved_refusal(outcome: Outcome) -> Refusal:
    """Return the refusal of work at an owner that shuts down."""
    return Refusal(outcome, "moved", "the shard moves to another entry VM", 0)
