"""Readiness of an entry VM for new connections."""

from ..interfaces import Clock
from ..relay import Standby
from ..routes import RouteTable
from ..storage.follower import TableFollower

# After this time without a response from the store, other entry VMs should accept new
# batches. It exceeds the duration of one feed call including its slack.
MAX_STORE_SILENCE_MS = 2_500.0


class Readiness:
    """State that decides the response to the balancer's readiness check.

    Attributes
    ----------
    leaving : bool
        Set on SIGTERM.
    in_progress : int
        Number of caller requests in progress.
    followers : list of TableFollower
        Followers that must be up to date.
    is_listening : bool
        Whether callers can connect.
    standby : Standby or None
        Tells whether other entry VMs reach servers that this one does not.
    """

    def __init__(self, routes: RouteTable, clock: Clock) -> None:
        self.routes = routes
        self.clock = clock
        self.followers: list[TableFollower] = []
        self.leaving = False
        self.is_listening = True
        self.in_progress = 0
        self.standby: Standby | None = None

    def has_configuration(self) -> bool:
        """Return whether a configuration has been loaded."""
        return self.routes.configuration is not None

    def is_ready(self) -> bool:
        """Return whether the balancer should send new connections."""
        return (
            not self.leaving
            and self.is_listening
            and self.has_configuration()
            and self.is_store_current()
            and not self.is_on_standby()
        )

    def is_on_standby(self) -> bool:
        """Return whether other entry VMs serve new callers better.

        The balancer may send callers all the same, when few entry VMs are ready.
        """
        return self.standby is not None and self.standby.is_active

    def is_store_current(self) -> bool:
        """Return whether the store has recently confirmed all followed tables."""
        return all(
            follower.loaded.is_set() and follower.is_current(MAX_STORE_SILENCE_MS)
            for follower in self.followers
        )
