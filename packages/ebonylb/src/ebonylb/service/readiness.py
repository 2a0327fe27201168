"""Whether this entry VM should get new connections."""

from ..interfaces import Clock
from ..routes import RouteTable
from ..storage.follower import TableFollower

# Without an answer of the store for this long, new batches are better taken elsewhere;
# above the time of one feed call with its slack.
STORE_SILENCE_MS = 2_500.0


class Readiness:
    """Answer to the balancer, and the state of leaving.

    Attributes
    ----------
    leaving : bool
        Set by SIGTERM.
    in_progress : int
        Requests of callers being answered.
    """

    def __init__(self, routes: RouteTable, clock: Clock) -> None:
        self.routes = routes
        self.clock = clock
        self.followers: list[TableFollower] = []
        self.leaving = False
        self.in_progress = 0

    def has_configuration(self) -> bool:
        """Tell whether anything is known of the site."""
        return self.routes.configuration is not None

    def is_ready(self) -> bool:
        """Tell whether new connections should come."""
        return not self.leaving and self.has_configuration() and self.is_store_current()

    def is_store_current(self) -> bool:
        """Tell whether the store has confirmed all that is followed."""
        return all(
            follower.loaded.is_set() and follower.is_current(STORE_SILENCE_MS)
            for follower in self.followers
        )
