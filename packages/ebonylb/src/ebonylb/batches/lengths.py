"""Expected length of the rest of an item."""

from ..routes import RouteTable
from .item_state import ItemState

# Lengths of texts have a heavy tail: one that is longer than estimated goes on for
# about this share of what it has. Used until enough texts of that length were seen.
OVERRUN_SHARE = 0.5
MIN_LONGER_TEXTS = 4
# A text longer than nine tenths of the others is likely to be the last of its step.
# Before enough texts were seen, that is one of this many events.
LONG_SHARE = 0.1
MIN_KNOWN_TEXTS = 20
LONG_EVENTS = 50


class LengthHistory:
    """Lengths of the ended items of one route.

    Attributes
    ----------
    longer_counts, longer_sums : list of int
        Number of the texts with more events than the index, and the sum of their
        events.
    """

    def __init__(self) -> None:
        self.longer_counts: list[int] = []
        self.longer_sums: list[int] = []

    def record(self, events: int) -> None:
        """Record the number of events of an ended item."""
        missing = [0] * (events - len(self.longer_counts))
        self.longer_counts += missing
        self.longer_sums += missing
        for received in range(events):
            self.longer_counts[received] += 1
            self.longer_sums[received] += events

    def remaining_events(self, received: int) -> float | None:
        """Return the mean rest of the texts that were longer; None if too few were."""
        if received >= len(self.longer_counts):
            return None
        count = self.longer_counts[received]
        if count < MIN_LONGER_TEXTS:
            return None
        return self.longer_sums[received] / count - received

    def is_long(self, received: int) -> bool:
        """Return whether few texts have more events than this number."""
        known = self.longer_counts[0] if self.longer_counts else 0
        if known < MIN_KNOWN_TEXTS:
            return received >= LONG_EVENTS
        if received >= len(self.longer_counts):
            return True
        return self.longer_counts[received] <= LONG_SHARE * known


class LengthEstimate:
    """Estimates how many events an item still has to generate.

    Callers estimate the tokens of an item's text. Their estimates are right on average
    and often far off, so that the events received so far correct them. What a text that
    is longer than estimated still needs is learned from those of the same route.

    Parameters
    ----------
    routes : RouteTable
        Configuration, which states how many tokens an event has.
    """

    def __init__(self, routes: RouteTable) -> None:
        self.routes = routes
        self.histories: dict[str, LengthHistory] = {}

    def record(self, route: str, events: int) -> None:
        """Record the number of events of an ended item of a route."""
        self.histories.setdefault(route, LengthHistory()).record(events)

    def tokens_per_event(self, service: str) -> int:
        """Return the number of tokens in one event of a service."""
        configuration = self.routes.configuration
        spec = configuration.services.get(service) if configuration else None
        return max(1, spec.engine.tokens_per_event) if spec and spec.engine else 1

    def remaining_events(
        self, state: ItemState, service: str, route: str = ""
    ) -> float:
        """Return the expected number of events that an item still has to generate."""
        received = len(state.events)
        expected = state.item.length_hint / self.tokens_per_event(service)
        if received < expected:
            return max(expected - received, received * OVERRUN_SHARE)
        history = self.histories.get(route)
        learned = history.remaining_events(received) if history else None
        return received * OVERRUN_SHARE if learned is None else learned

    def is_long(self, state: ItemState, route: str) -> bool:
        """Return whether an item is one of the longest of its route."""
        history = self.histories.get(route) or LengthHistory()
        return history.is_long(len(state.events))
