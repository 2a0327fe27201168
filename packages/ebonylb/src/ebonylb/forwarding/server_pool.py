"""Interface for the servers among which the attempts of a request choose."""

from abc import ABC, abstractmethod

from result import Result

from ..fleet import ListedServer, ServerCondition
from ..interfaces.server_client import ServerRequest, ServerResponse
from ..outcomes import StepError
from ..routes import Route
from .messages import CallerResponse
from .request_state import RequestState


class ServerPool(ABC):
    """Servers that can run requests, and the way to reach them."""

    @property
    @abstractmethod
    def hedge_delay_share(self) -> float:
        """Share of the target latency after which a hedged copy starts."""

    @abstractmethod
    def max_attempts(self, route: Route) -> int:
        """Return how many attempts a request may have in this pool."""

    @abstractmethod
    def pick(self, state: RequestState) -> ListedServer | None:
        """Return the cheapest server, untried ones first; None if there is none.

        The request counts for the limit of the server, so that it must be sent.
        """

    @abstractmethod
    def has_server(self, state: RequestState) -> bool:
        """Return whether any server may run a request, busy or not."""

    @abstractmethod
    def can_continue_elsewhere(self, state: RequestState) -> bool:
        """Return whether another server can continue a stream better than its own.

        A stream whose other servers have all failed a moment ago stays where it is.
        """

    @abstractmethod
    def refuse(self, state: RequestState) -> CallerResponse:
        """Return the refusal of a request because `pick` found no server."""

    @abstractmethod
    def refuse_full(self, state: RequestState) -> CallerResponse:
        """Return the refusal of a request that all servers tried have refused."""

    @abstractmethod
    def record_unmet(self, state: RequestState) -> None:
        """Record a request that no server may be sent now."""

    @abstractmethod
    def condition(self, server: ListedServer) -> ServerCondition:
        """Return the condition of a server."""

    @abstractmethod
    def median_gap_ms(self, service: str) -> float:
        """Return the usual gap between the events of a service's streams."""

    @abstractmethod
    def make_request(
        self, state: RequestState, deadline_ms: float, resume_after: int | None
    ) -> ServerRequest:
        """Return the request to send.

        Parameters
        ----------
        deadline_ms : float
            Time that the server may spend on it.
        resume_after : int or None
            Number of the last stream event already received; None for a new stream.
        """

    @abstractmethod
    async def send(
        self, server: ListedServer, request: ServerRequest
    ) -> Result[ServerResponse, StepError]:
        """Send a request and return its response once the head has arrived."""

    @abstractmethod
    async def record_lost_connection(
        self, state: RequestState, server: ListedServer
    ) -> None:
        """Record that the connection of a request broke before its response."""
