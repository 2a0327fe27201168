"""Forwarder, which returns one final response to each single request."""

import asyncio
import functools

from ..admission import FairAdmission, Ticket
from ..interfaces import Clock
from ..outcomes import Outcome, Refusal
from ..routes import Route, RouteTable, choose_target
from .deadline import RESPONSE_MARGIN_MS, Runs, run_within_deadline
from .last_requests import LEAVING, LastRequests
from .messages import CallerRequest, CallerResponse, CallerStream, make_refusal
from .request_log import RequestLog
from .request_state import RequestState
from .strikes import CrashStrikes, request_fingerprint

# An entry VM without a configuration probably has one after this time.
NOT_READY_RETRY_AFTER_MS = 500
NOT_RUN_STATUS = 503


class Forwarder:
    """Finds the route of each request and has the request run within its deadline.

    Parameters
    ----------
    routes : RouteTable
        Configuration in force.
    runs : Runs
        Runs requests on backend servers, or through other entry VMs.
    strikes : CrashStrikes
        Requests that crashed servers.
    clock : Clock
        Source of time.
    log : RequestLog
        Logs the end of each request.
    last_requests : LastRequests
        Refuses requests that may not end before this entry VM stops.
    admission : FairAdmission or None
        Refuses requests of customers beyond their share while servers lack room; None
        to admit all.
    """

    def __init__(
        self,
        routes: RouteTable,
        runs: Runs,
        strikes: CrashStrikes,
        clock: Clock,
        log: RequestLog,
        last_requests: LastRequests,
        admission: FairAdmission | None = None,
    ) -> None:
        self.routes = routes
        self.runs = runs
        self.strikes = strikes
        self.clock = clock
        self.log = log
        self.last_requests = last_requests
        self.admission = admission

    def find_route(self, request: CallerRequest) -> Route | CallerResponse:
        """Return the route of a request, or a refusal if there is none."""
        if self.routes.configuration is None:
            return make_refusal(
                Outcome.NOT_RUN,
                "not_ready",
                "this entry VM has no configuration yet",
                NOT_READY_RETRY_AFTER_MS,
            )
        route = self.routes.find(request.host, request.path)
        if route is None:
            return make_refusal(
                Outcome.NOT_RUN, "no_route", "no route has this host and path"
            )
        return route

    async def serve(
        self, request: CallerRequest, route: Route
    ) -> CallerResponse | CallerStream:
        """Run a request and return its final response, which may be a refusal."""
        state = self.begin(request, route)
        if not self.last_requests.accepts(state.deadline_at_ms):
            return self.refuse(state, LEAVING)
        if self.admission is None:
            return await self.run_and_log(state)
        ticket = self.admission.admit(state.service, request.customer, state.priority)
        if not isinstance(ticket, Ticket):
            return self.refuse(state, ticket)
        end = functools.partial(self.admission.end, ticket)
        response = None
        try:
            response = await self.run_and_log(state)
        finally:
            if not isinstance(response, CallerStream):
                end()
        if isinstance(response, CallerStream):
            response.call_at_end(end)
        return response

    def refuse(self, state: RequestState, refusal: Refusal) -> CallerResponse:
        """Log a request that is refused before it runs, and return the response."""
        response = CallerResponse(NOT_RUN_STATUS, refusal=refusal)
        self.log.log_end(state, response)
        return response

    async def run_and_log(self, state: RequestState) -> CallerResponse | CallerStream:
        """Run a request, log its end and return its final response."""
        try:
            response = await self.run(state)
        except asyncio.CancelledError:
            self.log.log_abandoned(state)
            raise
        self.log.log_end(state, response)
        return response

    def begin(
        self,
        request: CallerRequest,
        route: Route,
        spare_slots: int = 0,
        counts_crashes: bool = True,
    ) -> RequestState:
        """Return the state of a new request.

        Parameters
        ----------
        spare_slots : int
            Servers with more free slots than this are preferred.
        counts_crashes : bool
            Whether servers that crash while they run the request count against it.
        """
        limit_ms = route.timeout_ms
        if request.deadline_ms is not None:
            limit_ms = min(limit_ms, request.deadline_ms)
        return RequestState(
            request,
            route,
            choose_target(route, request.request_id).service,
            request.received_ms + limit_ms - RESPONSE_MARGIN_MS,
            request_fingerprint(
                request.method, request.host, request.target, request.body
            )
            if counts_crashes
            else None,
            spare_slots=spare_slots,
            priority=self.routes.priority_of(request.customer, route),
        )

    async def run(self, state: RequestState) -> CallerResponse | CallerStream:
        """Run a request within its deadline, unless it is known to crash servers."""
        return await run_within_deadline(self.runs, self.strikes, self.clock, state)
