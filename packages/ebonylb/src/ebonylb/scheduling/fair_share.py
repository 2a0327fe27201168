"""Shares across owners: local weights corrected by what the cluster served."""

from collections.abc import Callable, Iterable, Mapping

from ..edges import Clock

MIN_WEIGHT_SCALE, MAX_WEIGHT_SCALE = 1 / 8, 8.0
# With an exponent of 1, a party that is alone at one of five servers keeps 42% instead
# of a third; the other owners must push it down further than its excess.
CORRECTION_EXPONENT = 3.0
SERVED_HALF_LIFE_MS = (
    10_000  # service older than a few half-lives earns and costs nothing
)


def fair_weight(
    weight: float, served: float, entitled: float, has_competitors: bool
) -> float:
    """Return a party's local weight, scaled by a power of entitled over served tokens.

    The weight stays as it is while nobody else waits, so that unused share is lent.
    """
    if not has_competitors or served <= 0 or entitled <= 0:
        return weight
    return weight * min(
        MAX_WEIGHT_SCALE,
        max(MIN_WEIGHT_SCALE, (entitled / served) ** CORRECTION_EXPONENT),
    )


def served_tokens_by_party(service: str, served: Mapping[str, int]) -> dict[str, int]:
    """Return tokens per party from counters per ``service/party``."""
    prefix = f"{service}/"
    return {
        key.removeprefix(prefix): tokens
        for key, tokens in served.items()
        if key.startswith(prefix)
    }


def parties_of_service(service: str, backlogged: Iterable[str]) -> list[str]:
    """Return the parties of a service from a list of ``service/party``."""
    prefix = f"{service}/"
    return [key.removeprefix(prefix) for key in backlogged if key.startswith(prefix)]


class ClusterShares:
    """Recent service of each party over all owners, from their heartbeats.

    Parameters
    ----------
    weight : callable
        A party's weight in the sheet.
    clock : Clock
        Time for the decay.
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
        """Take in an owner's counters since its start.

        `source` names the owner and its incarnation. A counter that fell restarted.
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
        """Drop an owner that is gone."""
        self.backlogged.pop(source, None)
        self.last_totals = {
            key: n for key, n in self.last_totals.items() if key[0] != source
        }
        self.update_scaled_weights()

    def decay(self) -> None:
        """Age the recent service."""
        now = self.clock.monotonic_ms()
        factor = 0.5 ** ((now - self.last_decay_ms) / SERVED_HALF_LIFE_MS)
        self.last_decay_ms = now
        self.recent_tokens = {
            party: n * factor for party, n in self.recent_tokens.items()
        }

    def update_scaled_weights(self) -> None:
        """Compute the weights of the parties that wait anywhere.

        They share what was served to all of them together. A party that does not
        wait gets all it asks for and is no part of the comparison.
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
        """Return the weight that an owner's queue uses for a party."""
        return self.scaled_weights.get(party) or self.weight(party)
