"""Drain rate, expected waits and the refusals that follow from them."""

import random

from ..outcomes import Outcome, Refusal
from ..scheduling import FairQueue

SMOOTHING = 0.3  # weight of the newest interval in the drain rate
JITTER = 0.25
SHORTEST_RETRY_MS = 100
# Queued work is given back when its expected wait exceeds the time it has left by
# this factor; the margin absorbs the error of the drain rate.
SHED_MARGIN = 1.5


class DrainRate:
    """Tokens per second that the shard's servers finish when they are busy.

    Only intervals with waiting work at both ends measure the capacity. The rate of
    any other interval is what callers asked for: it can raise an estimate that is
    too low, but neither start nor lower one, or a burst after quiet minutes would
    be refused.
    """

    def __init__(self, now_ms: float) -> None:
        self.per_s = 0.0
        self.tokens = 0.0
        self.since_ms = now_ms
        self.saturated = False

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
        elapsed_ms = now_ms - self.since_ms
        if elapsed_ms <= 0:
            return
        measured = saturated and self.saturated
        self.saturated = saturated
        sample = 1000 * self.tokens / elapsed_ms
        self.tokens, self.since_ms = 0.0, now_ms
        if not sample:
            return
        if measured and not self.per_s:
            self.per_s = sample
        if measured or 0 < self.per_s < sample:
            self.per_s += SMOOTHING * (sample - self.per_s)


class Overload:
    """Expected waits of a queue.

    Parameters
    ----------
    queue : FairQueue
        Waiting work.
    drain : DrainRate
        Rate at which it is served.
    """

    def __init__(self, queue: FairQueue, drain: DrainRate) -> None:
        self.queue = queue
        self.drain = drain

    def wait_ms(self, share: float, tokens_ahead: float, room: int) -> float:
        """Return the expected wait of a party behind some of its own tokens.

        A party gets its share of the drain rate, and at most waits for the whole
        queue.
        """
        if not self.drain.per_s or (room and not len(self.queue)):
            return 0.0
        own = tokens_ahead / share
        return 1000 * min(own, self.queue.waiting_tokens) / self.drain.per_s

    def refusal(
        self, reason: str, message: str, wait_ms: float, outcome: Outcome
    ) -> Refusal:
        """Build a refusal with a jittered time to come back."""
        base = max(SHORTEST_RETRY_MS, wait_ms)
        retry_after = round(base * random.uniform(1 - JITTER, 1 + JITTER))
        return Refusal(outcome, reason, message, retry_after)

    def hopeless(self, now_ms: float) -> list[tuple[object, float]]:
        """Return the queued items that cannot meet their deadline, with their wait."""
        found = []
        ahead: dict[str, float] = {}
        shares = {
            party: self.queue.share(party) for party in self.queue.backlogged_parties()
        }
        for entry in sorted(
            self.queue.waiting_entries(), key=lambda e: (e.long, e.sequence)
        ):
            tokens = ahead.get(entry.party, 0.0)
            wait = self.wait_ms(shares[entry.party], tokens, 0)
            if wait > SHED_MARGIN * max(0.0, entry.item.deadline_ms - now_ms):
                found.append((entry.item, wait))
            else:
                ahead[entry.party] = tokens + entry.tokens
        return found


def struck_out() -> Refusal:
    """Return the answer to a request that crashed two servers."""
    return Refusal(
        Outcome.GIVEN_UP, "crashes_servers", "the request was running in two crashes"
    )


def moved(outcome: Outcome) -> Refusal:
    """Return the answer of an owner that shuts down."""
    return Refusal(outcome, "moved", "the shard moves to another entry VM", 0)
