"""Correction of a party's local weight by the tokens served across the cluster."""

from collections.abc import Callable, Iterable, Mapping

from ..interfaces import Clock

MIN_WEIGHT_SCALE, MAX_WEIGHT_SCALE = 1 / 8, 8.0
# The exponent exceeds 1 because the other owners must reduce a party by more than its
# excess: with an exponent of 1, a party that is alone at one of five servers keeps 42%
# of the tokens instead of a third.
CORRECTION_EXPONENT = 3.0
SERVED_HALF_LIFE_MS = 10_000  # tokens served a few half-lives ago have no effect


def fair_weight(
    weight: float, served: float, entitled: float, has_competitors: bool
) -> float:
    """Return a party's local weight, scaled by a power of entitled over served tokens.

    The weight is unchanged without competitors, so that unused share is lent.
    """
    if not has_competitors or served <= 0 or entitled <= 0:
        return weight
    return weight * min(
        MAX_WEIGHT_SCALE,
        max(MIN_WEIGHT_SCALE, (entitled / served) ** CORRECTION_EXPONENT),
    )


def served_tokens_by_party(service: str, served: Mapping[str, int]) -> dict[str, int]:
    """Return a service's served tokens by party from counters by ``service/party``."""
    prefix = f"{service}/"
    return {
        key.removeprefix(prefix): tokens
        for key, tokens in served.items()
        if key.startswith(prefix)
    }


def parties_of_service(service: str, backlogged: Iterable[str]) -> list[str]:
    """Return the parties of a service from a list of ``service/party`` keys."""
    prefix = f"{service}/"
    return [key.removeprefix(prefix) for key in backlogged if key.startswith(prefix)]


class ClusterShares:
    """Weights that follow the tokens recently served to each party by all owners.

    Owners report their counters in heartbeats.

    Parameters
    ----------
    weight : callable
        Returns a party's weight in the sheet.
    clock : Clock
        Time source for the decay.
    """

    def __init__(self, weight: Callable[[str], float], clock: Clock) -> None:
        self.weight = weight
        self.clock = clock
        self.last_totals: dict[tuple[str, str], int] = {}
        self.backlogged: dict[str, frozenset[str]] = {}
        self.recent_tokens: dict[str, float] = {}
        self.last_decay_ms = clock.monotonic_ms()
        self.scaled_weights: dict[str, float] = {}

    def observe(
        self, source: str, served: Mapping[str, int], backlogged: list[str]
    ) -> None:
        """Add an owner's served tokens since its last report and update the weights.

        `source` names the owner and its incarnation. `served` counts since the
        owner's start; a counter that decreased is taken as restarted from 0.
        """
        self.decay()
        for party, total in served.items():
            before = self.last_totals.get((source, party), 0)
            gained = total - before if total >= before else total
            self.last_totals[(source, party)] = total
            self.recent_tokens[party] = self.recent_tokens.get(party, 0.0) + gained
        self.backlogged[source] = frozenset(backlogged)
        self.update_scaled_weights()

    def remove_source(self, source: str) -> None:
        """Remove the counters and waiting parties of an owner that left."""
        self.backlogged.pop(source, None)
        self.last_totals = {
            key: n for key, n in self.last_totals.items() if key[0] != source
        }
        self.update_scaled_weights()

    def decay(self) -> None:
        """Reduce the recently served tokens by the time since the last decay."""
        now = self.clock.monotonic_ms()
        factor = 0.5 ** ((now - self.last_decay_ms) / SERVED_HALF_LIFE_MS)
        self.last_decay_ms = now
        self.recent_tokens = {
            party: n * factor for party, n in self.recent_tokens.items()
        }

    def update_scaled_weights(self) -> None:
        """Compute the weights of the parties that have work waiting at any owner.

        Each is entitled to its part of the tokens served to all of them together. A
        party without waiting work gets all it requests and is not compared.
        """
        waiting = set().union(*self.backlogged.values()) if self.backlogged else set()
        total_weight = sum(self.weight(party) for party in waiting)
        total = sum(self.recent_tokens.get(party, 0.0) for party in waiting)
        self.scaled_weights = {
            party: fair_weight(
                self.weight(party),
                self.recent_tokens.get(party, 0.0),
                total * self.weight(party) / total_weight,
                len(waiting) > 1,
            )
            for party in waiting
        }

    def local_weight(self, party: str) -> float:
        """Return a party's weight for the queues of this process."""
        return self.scaled_weights.get(party) or self.weight(party)
