"""Backend servers to which this entry VM sends requests itself."""

from result import Ok, Result

from ..admission import RoomObserver
from ..admission.model import IgnoredRoom
from ..fleet import (
    ListedServer,
    ServerCondition,
    ServerDirectory,
    ServerReachability,
    ServerSelector,
)
from ..interfaces.server_client import ServerClient, ServerRequest, ServerResponse
from ..outcomes import Outcome, StepError
from ..routes import Route
from .messages import CallerResponse, make_refusal
from .request_state import RequestState
from .server_pool import ServerPool
from .strikes import CrashStrikes

# A hedged copy starts after this share of the target latency, so that it can still
# respond within the target latency.
HEDGE_DELAY_SHARE = 0.42
NO_SERVER_RETRY_AFTER_MS = 1_000
FULL_RETRY_AFTER_MS = 300  # a server's queue advances within about this time
# Least delay of a retry after the servers' limits were reached.
MIN_LIMIT_RETRY_AFTER_MS = 50
LIMIT_REASON = "server_limit"


class DirectPool(ServerPool):
    """Listed backend servers.

    Parameters
    ----------
    directory : ServerDirectory
        Listed servers and their conditions.
    selector : ServerSelector
        Selection of servers.
    server_client : ServerClient
        Connections to servers.
    strikes : CrashStrikes
        Requests that crashed servers.
    reachability : ServerReachability
        Tells a crashed server from a partition of this entry VM.

    Attributes
    ----------
    room : RoomObserver
        Is told whether servers have room; set once.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        selector: ServerSelector,
        server_client: ServerClient,
        strikes: CrashStrikes,
        reachability: ServerReachability,
    ) -> None:
        self.directory = directory
        self.selector = selector
        self.server_client = server_client
        self.strikes = strikes
        self.reachability = reachability
        self.room: RoomObserver = IgnoredRoom()

    @property
    def hedge_delay_share(self) -> float:
        """Share of the target latency after which a hedged copy starts."""
        return HEDGE_DELAY_SHARE

    def max_attempts(self, route: Route) -> int:
        """Return how many attempts a request may have in this pool."""
        return route.attempts

    def pick(self, state: RequestState) -> ListedServer | None:
        """Return the cheapest server, untried ones first; None if there is none."""
        server = self.selector.choose_plain(
            state.service,
            state.tried_servers,
            state.spare_slots,
            state.software_version,
        ) or self.selector.choose_plain(
            state.service,
            spare_slots=state.spare_slots,
            software_version=state.software_version,
        )
        if server is not None:
            self.selector.limits.reserve(server)
        return server

    def has_server(self, state: RequestState) -> bool:
        """Return whether any server may run a request, busy or not."""
        if state.software_version is None:
            return bool(self.directory.ready(state.service))
        return self.directory.has_ready_version(state.service, state.software_version)

    def can_continue_elsewhere(self, state: RequestState) -> bool:
        """Return whether another server can continue a stream better than its own."""
        now = self.selector.clock.monotonic_ms()
        return any(
            server.name != state.sent_to[-1]
            and state.software_version in (None, server.software_version)
            and not self.directory.condition(server.name).is_backing_off(now)
            and self.selector.limits.can_send(server)
            for server in self.directory.ready(state.service)
        )

    def refuse(self, state: RequestState) -> CallerResponse:
        """Return the refusal of a request because no server is available."""
        response = self.find_refusal(state)
        if response.refusal.reason == LIMIT_REASON:
            self.record_unmet(state)
            self.room.record_attempt(state.service, refused=True)
        return response

    def find_refusal(self, state: RequestState) -> CallerResponse:
        """Return the refusal without a record of it.

        Another entry VM may have a share of the limits left, so that the caller may
        return as soon as the servers accept the next request.
        """
        outcome = Outcome.MAY_HAVE_RUN if state.may_have_run else Outcome.NOT_RUN
        if state.software_version is not None and not self.has_server(state):
            return make_refusal(
                outcome,
                "other_software_version",
                "no server has the software version on which the stream began",
                NO_SERVER_RETRY_AFTER_MS,
            )
        if self.directory.ready(state.service):
            retry_after_ms = self.selector.limits.retry_after_ms(state.service)
            return make_refusal(
                outcome,
                LIMIT_REASON,
                "the servers of this service accept no more requests now",
                max(MIN_LIMIT_RETRY_AFTER_MS, round(retry_after_ms)),
            )
        return make_refusal(
            outcome,
            "no_backend_server",
            "no server runs this",
            NO_SERVER_RETRY_AFTER_MS,
        )

    def refuse_full(self, state: RequestState) -> CallerResponse:
        """Return the refusal of a request because all servers are full."""
        outcome = Outcome.MAY_HAVE_RUN if state.may_have_run else Outcome.NOT_RUN
        return make_refusal(
            outcome, "overloaded", "all servers are full", FULL_RETRY_AFTER_MS
        )

    def record_unmet(self, state: RequestState) -> None:
        """Record a request that no server may be sent now."""
        self.selector.limits.record_unmet(state.service)

    def condition(self, server: ListedServer) -> ServerCondition:
        """Return the condition of a server."""
        return self.directory.condition(server.name)

    def median_gap_ms(self, service: str) -> float:
        """Return the usual gap between the events of a service's streams."""
        return self.selector.median_gap_ms(service)

    def make_request(
        self, state: RequestState, deadline_ms: float, resume_after: int | None
    ) -> ServerRequest:
        """Return the request to send."""
        return state.request.for_server(
            deadline_ms, resume_after, state.usage_customer(resume_after)
        )

    async def send(
        self, server: ListedServer, request: ServerRequest
    ) -> Result[ServerResponse, StepError]:
        """Send a request and return its response once the head has arrived."""
        opened = await self.server_client.open(server.endpoint, request)
        if isinstance(opened, Ok):
            head = opened.ok_value.head
            lacks_room = head.not_run and not head.wrong_server and not head.leaving
            self.room.record_attempt(server.service, lacks_room)
        return opened

    async def record_lost_connection(
        self, state: RequestState, server: ListedServer
    ) -> None:
        """Record a crash of the server if it cannot be reached, but others can."""
        if (
            state.fingerprint is not None
            and not await self.server_client.is_reachable(server.endpoint)
            and await self.reachability.check()
        ):
            self.strikes.record_crash(
                state.fingerprint, f"{server.name}.{server.started_ms}"
            )
