"""Expected length of the rest of an item."""

from ..routes import RouteTable
from .item_state import ItemState

# Lengths of texts have a heavy tail: one that is longer than estimated goes on for
# about this share of what it has.
OVERRUN_SHARE = 0.5


class LengthEstimate:
    """Estimates how many events an item still has to generate.

    Callers estimate the tokens of an item's text. Their estimates are right on average
    and often far off, so that the events received so far correct them.

    Parameters
    ----------
    routes : RouteTable
        Configuration, which states how many tokens an event has.
    """

    def __init__(self, routes: RouteTable) -> None:
        self.routes = routes

    def tokens_per_event(self, service: str) -> int:
        """Return the number of tokens in one event of a service."""
        configuration = self.routes.configuration
        spec = configuration.services.get(service) if configuration else None
        return max(1, spec.engine.tokens_per_event) if spec and spec.engine else 1

    def remaining_events(self, state: ItemState, service: str) -> float:
        """Return the expected number of events that an item still has to generate."""
        received = len(state.events)
        expected = state.item.length_hint / self.tokens_per_event(service)
        return max(expected - received, received * OVERRUN_SHARE)
