"""Changes of customers' keys between configurations, without the keys."""

import logging
from collections import Counter
from dataclasses import dataclass

from ..interfaces import Clock
from ..routes import Configuration

logger = logging.getLogger(__name__)

# Customers whose last change is kept for operators; a deployment has some hundred.
MAX_KEPT = 1_000


@dataclass(frozen=True, slots=True)
class KeyRemoval:
    """The last keys of a customer that were taken away.

    Parameters
    ----------
    removed : int
        Number of keys taken away by one configuration.
    version : int
        Version of that configuration.
    at_unix_ms : float
        Time at which it came into force at this entry VM.
    """

    removed: int
    version: int
    at_unix_ms: float


class KeyChanges:
    """Notes which customers' keys a new configuration adds or takes away.

    Keys are compared and not kept, and nothing made here contains one or a digest of
    one: short keys could be found from their digest.

    Attributes
    ----------
    removals : dict of str to KeyRemoval
        Last removal by customer, since the start of the process.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.removals: dict[str, KeyRemoval] = {}

    def observe(self, previous: Configuration | None, current: Configuration) -> None:
        """Note and log the changes of one configuration to the next."""
        if previous is None:
            return
        before, after = previous.customers_by_key, current.customers_by_key
        added, removed = Counter[str](), Counter[str]()
        for key in before.keys() | after.keys():
            old, new = before.get(key), after.get(key)
            if old is not None and (new is None or new.name != old.name):
                removed[old.name] += 1
            if new is not None and (old is None or old.name != new.name):
                added[new.name] += 1
        if not added and not removed:
            return
        counts = count_keys(current)
        now = self.clock.wall_ms()
        for name in sorted(added.keys() | removed.keys()):
            if removed[name]:
                self.removals.pop(name, None)
                self.removals[name] = KeyRemoval(removed[name], current.version, now)
            logger.info(
                "keys of customer changed",
                extra={
                    "customer": name,
                    "keys": counts[name],
                    "added": added[name],
                    "removed": removed[name],
                    "configuration": current.version,
                },
            )
        while len(self.removals) > MAX_KEPT:
            del self.removals[next(iter(self.removals))]


def count_keys(configuration: Configuration | None) -> Counter[str]:
    """Return the number of keys of each customer, 0 for one without keys."""
    if configuration is None:
        return Counter()
    counts = Counter(dict.fromkeys(configuration.customers, 0))
    counts.update(c.name for c in configuration.customers_by_key.values())
    return counts
