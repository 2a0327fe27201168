"""Forwarder, which runs each single request on servers within its deadline."""

import asyncio
import logging

from result import Err

from ..fleet import ListedServer, ServerDirectory, ServerSelector
from ..interfaces import Clock, Metrics
from ..interfaces.server_client import ServerClient, ServerResponse
from ..outcomes import Outcome, StepError
from ..routes import Route, RouteKind, RouteTable, choose_target
from .attempt import (
    MIN_SERVER_ERROR_STATUS,
    AttemptOutcome,
    AttemptResult,
    is_unverified_success,
    send_to_server,
)
from .messages import CallerRequest, CallerResponse, CallerStream, make_refusal
from .request_state import RequestState
from .stream_origins import StreamOrigins
from .streams import open_with_timeout, relay_stream
from .strikes import CrashStrikes, request_fingerprint

logger = logging.getLogger(__name__)

INTERNAL_ERROR = 500
# A hedged copy starts after this share of the target latency, so that it can still
# respond within the target latency.
HEDGE_DELAY_SHARE = 0.42
# An attempt that a server refused didn't run and doesn't count against the route's
# attempts. The request is refused after this many of them.
MAX_REFUSED_ATTEMPTS = 6
# Delay before another attempt when all servers of a service were full.
ALL_FULL_DELAY_MS = 30.0
# Time needed to send the response to the caller before the deadline.
RESPONSE_MARGIN_MS = 15.0
RETRY_AFTER_MS = 300  # a server's queue advances within about this time
NO_SERVER_RETRY_AFTER_MS = 1_000
# Least delay of a retry after the servers' limits were reached.
MIN_LIMIT_RETRY_AFTER_MS = 50
# An entry VM without a configuration probably has one after this time.
NOT_READY_RETRY_AFTER_MS = 500


class Forwarder:
    """Sends requests to servers and returns one final response for each.

    Parameters
    ----------
    routes : RouteTable
        Configuration in force.
    directory : ServerDirectory
        Listed servers and their conditions.
    selector : ServerSelector
        Selection of servers.
    server_client : ServerClient
        Connections to servers.
    strikes : CrashStrikes
        Requests that crashed servers.
    origins : StreamOrigins
        Software versions on which streams began.
    clock : Clock
        Source of time.
    metrics : Metrics
        Receiver of counters and durations.
    """

    def __init__(
        self,
        routes: RouteTable,
        directory: ServerDirectory,
        selector: ServerSelector,
        server_client: ServerClient,
        strikes: CrashStrikes,
        origins: StreamOrigins,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.routes = routes
        self.directory = directory
        self.selector = selector
        self.server_client = server_client
        self.strikes = strikes
        self.origins = origins
        self.clock = clock
        self.metrics = metrics

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
        try:
            response = await self.run(state)
        except asyncio.CancelledError:
            self.log_abandoned(state)
            raise
        self.log_end(state, response)
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
        )

    async def run(self, state: RequestState) -> CallerResponse | CallerStream:
        """Run a request unless it is known to crash servers."""
        if self.strikes.is_blocked(state.fingerprint):
            return make_refusal(
                Outcome.GIVEN_UP, "crashes_servers", "servers crashed while running it"
            )
        return await self.dispatch(state)

    async def dispatch(self, state: RequestState) -> CallerResponse | CallerStream:
        """Run a request according to the kind of its route, within its deadline."""
        remaining_s = (state.deadline_at_ms - self.clock.monotonic_ms()) / 1000
        try:
            async with asyncio.timeout(max(0.0, remaining_s)):
                if state.route.kind is RouteKind.STREAMING:
                    return await self.open_stream(state)
                if state.route.kind is RouteKind.IDEMPOTENT:
                    return await self.run_idempotent(state)
                return await self.run_non_idempotent(state)
        except TimeoutError:
            outcome = Outcome.MAY_HAVE_RUN if state.may_have_run else Outcome.NOT_RUN
            return make_refusal(
                outcome, "timeout", "the time limit was reached", RETRY_AFTER_MS
            )

    def remaining_ms(self, state: RequestState) -> float:
        """Return the time until the request's deadline."""
        return state.deadline_at_ms - self.clock.monotonic_ms()

    def pick_server(self, state: RequestState) -> ListedServer | None:
        """Return the cheapest server, untried ones first; None if there is none.

        The request counts for the limit of the server, so that it must be sent.
        """
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

    def start_sending(
        self, state: RequestState, server: ListedServer
    ) -> asyncio.Task[AttemptResult]:
        """Start an attempt, which counts as load of its server at once.

        A burst of requests that arrive together would otherwise choose one server.
        """
        condition = self.directory.condition(server.name)
        condition.own_requests += 1

        def end_load(task: asyncio.Task[AttemptResult]) -> None:
            condition.own_requests -= 1

        task = asyncio.create_task(self.send_attempt(state, server))
        task.add_done_callback(end_load)
        return task

    async def send_attempt(
        self, state: RequestState, server: ListedServer
    ) -> AttemptResult:
        """Send a request to a server and record a crash of that server.

        A server has crashed if the connection was lost and it can't be reached again.
        """
        state.tried_servers.add(server.name)
        state.sent_to.append(server.name)
        request = state.request.for_server(self.remaining_ms(state))
        attempt = (server.name, request.progress)
        state.unfinished.append(attempt)
        result = await send_to_server(
            self.server_client, self.directory, self.clock, server, request
        )
        state.unfinished.remove(attempt)
        if result.cause:
            state.causes.append(f"{server.name}: {result.cause}")
        if (
            state.fingerprint is not None
            and result.connection_lost
            and not await self.server_client.is_reachable(server.endpoint)
        ):
            self.strikes.record_crash(
                state.fingerprint, f"{server.name}.{server.started_ms}"
            )
        return result

    async def run_idempotent(self, state: RequestState) -> CallerResponse:
        """Send an idempotent request until a server responds without a server error.

        A hedged copy is sent to another server when the first one is slow.
        """
        hedge_at_ms = (
            self.clock.monotonic_ms()
            + state.route.target_latency_ms * HEDGE_DELAY_SHARE
        )
        running: set[asyncio.Task[AttemptResult]] = set()
        last_error: CallerResponse | None = None
        try:
            while True:
                if not running and (
                    refusal := await self.start_attempt(state, running)
                ):
                    return last_error or refusal
                wait_s = (hedge_at_ms - self.clock.monotonic_ms()) / 1000
                can_hedge = (
                    len(running) == 1
                    and state.counted_attempts < state.route.attempts
                    and not self.strikes.is_suspect(state.fingerprint)
                )
                done, _ = await asyncio.wait(
                    running,
                    timeout=max(0.0, wait_s) if can_hedge else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    self.metrics.incr("forward.copies")
                    await self.start_attempt(state, running)
                    hedge_at_ms = float("inf")
                for task in done:
                    running.discard(task)
                    response = self.count_attempt(state, task.result())
                    if response is not None and response.status < 500:
                        return response
                    last_error = response or last_error
        finally:
            for task in running:
                task.cancel()

    def count_attempt(
        self, state: RequestState, result: AttemptResult
    ) -> CallerResponse | None:
        """Count an attempt that ended and return its response, if there is one."""
        if result.outcome is AttemptOutcome.NOT_RUN:
            state.counted_attempts -= 1
            state.refused_attempts += 1
        elif result.response is not None and result.response.status == INTERNAL_ERROR:
            state.internal_errors += 1
        return result.response

    async def start_attempt(
        self, state: RequestState, running: set[asyncio.Task[AttemptResult]]
    ) -> CallerResponse | None:
        """Start an attempt, or return a refusal if no attempt is possible."""
        if self.strikes.is_blocked(state.fingerprint):
            return make_refusal(
                Outcome.GIVEN_UP, "crashes_servers", "servers crashed while running it"
            )
        if state.counted_attempts >= state.route.attempts:
            return make_refusal(
                Outcome.MAY_HAVE_RUN,
                "attempts_used",
                "no server gave a whole answer",
            )
        if state.refused_attempts >= MAX_REFUSED_ATTEMPTS:
            return self.refuse_overloaded(state)
        server = self.pick_server(state)
        if server is None:
            return self.refuse_no_server(state)
        if (
            state.refused_attempts
            and state.refused_attempts % len(state.tried_servers) == 0
        ):
            await self.clock.sleep_ms(ALL_FULL_DELAY_MS)
        state.counted_attempts += 1
        running.add(self.start_sending(state, server))
        return None

    def refuse_overloaded(self, state: RequestState) -> CallerResponse:
        """Return the refusal of a request because all servers are full."""
        outcome = Outcome.MAY_HAVE_RUN if state.may_have_run else Outcome.NOT_RUN
        return make_refusal(
            outcome, "overloaded", "all servers are full", RETRY_AFTER_MS
        )

    def refuse_no_server(self, state: RequestState) -> CallerResponse:
        """Return the refusal of a request because no server is available.

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
            self.selector.limits.record_unmet(state.service)
            retry_after_ms = self.selector.limits.retry_after_ms(state.service)
            return make_refusal(
                outcome,
                "server_limit",
                "the servers of this service accept no more requests now",
                max(MIN_LIMIT_RETRY_AFTER_MS, round(retry_after_ms)),
            )
        return make_refusal(
            outcome,
            "no_backend_server",
            "no server runs this",
            NO_SERVER_RETRY_AFTER_MS,
        )

    async def run_non_idempotent(self, state: RequestState) -> CallerResponse:
        """Send a non-idempotent request, and again only if it did not run."""
        while True:
            if state.refused_attempts >= MAX_REFUSED_ATTEMPTS:
                return self.refuse_overloaded(state)
            server = self.pick_server(state)
            if server is None:
                return self.refuse_no_server(state)
            state.counted_attempts += 1
            result = await self.start_sending(state, server)
            if result.outcome is AttemptOutcome.RESPONDED:
                return result.response
            if result.outcome is AttemptOutcome.MAY_HAVE_RUN:
                return make_refusal(
                    Outcome.MAY_HAVE_RUN,
                    "answer_lost",
                    "the server gave no whole answer",
                )
            state.counted_attempts -= 1
            state.refused_attempts += 1

    def has_server(self, state: RequestState) -> bool:
        """Return whether any server may run a request, busy or not."""
        if state.software_version is None:
            return bool(self.directory.ready(state.service))
        return self.directory.has_ready_version(state.service, state.software_version)

    async def open_stream(self, state: RequestState) -> CallerResponse | CallerStream:
        """Open a stream; the deadline applies only until the response head arrives."""
        required = await self.origins.required_version(state.request, state.service)
        if isinstance(required, Err):
            return required.err_value
        state.software_version = required.ok_value
        while True:
            if state.refused_attempts >= MAX_REFUSED_ATTEMPTS:
                return self.refuse_overloaded(state)
            server = self.pick_server(state)
            if server is None:
                return self.refuse_no_server(state)
            state.tried_servers.add(server.name)
            state.sent_to.append(server.name)
            state.counted_attempts += 1
            opened = await open_with_timeout(
                self, state, server, state.request.resume_after
            )
            if isinstance(opened, Err):
                refusal = self.record_open_failure(state, server, opened.err_value)
                if refusal is not None:
                    return refusal
                continue
            response = opened.ok_value
            head = response.head
            if head.not_run:
                response.close()
                state.counted_attempts -= 1
                state.refused_attempts += 1
                continue
            if head.status >= MIN_SERVER_ERROR_STATUS or is_unverified_success(head):
                condition = self.directory.condition(server.name)
                condition.update_failure_share(1.0, self.clock.monotonic_ms())
                state.causes.append(f"{server.name}: status {head.status}")
                if (
                    state.route.resumable
                    and state.counted_attempts < state.route.attempts
                ):
                    response.close()
                    continue
            if head.status >= 300 or not head.sealed:
                return await self.read_error_response(state, response)
            chunks = relay_stream(self, state, server, response)
            return CallerStream(head.status, head.headers, chunks)

    def record_open_failure(
        self, state: RequestState, server: ListedServer, error: StepError
    ) -> CallerResponse | None:
        """Record a stream that could not be opened.

        Returns
        -------
        CallerResponse or None
            The refusal of the request; None if another attempt is allowed.
        """
        state.causes.append(str(error))
        condition = self.directory.condition(server.name)
        condition.record_failure(self.clock.monotonic_ms())
        if not error.may_have_run:
            state.counted_attempts -= 1
            state.refused_attempts += 1
            return None
        if state.route.resumable and state.counted_attempts < state.route.attempts:
            return None
        return make_refusal(
            Outcome.MAY_HAVE_RUN, "answer_lost", "the stream did not begin"
        )

    async def read_error_response(
        self, state: RequestState, response: ServerResponse
    ) -> CallerResponse:
        """Return a server's error response in place of a stream.

        Return a refusal if the response ended early or is a success without a seal.
        """
        head = response.head
        try:
            body = await response.body()
        except StepError as error:
            state.causes.append(str(error))
            return make_refusal(
                Outcome.MAY_HAVE_RUN, "answer_lost", "the answer ended early"
            )
        finally:
            response.close()
        if head.status < 300:
            return make_refusal(
                Outcome.MAY_HAVE_RUN, "answer_lost", "answer without seal"
            )
        return CallerResponse(head.status, head.headers, body)

    def log_abandoned(self, state: RequestState) -> None:
        """Log a request whose caller disconnected; its runs are cancelled."""
        self.metrics.incr("forward.abandoned")
        logger.info(
            "request abandoned by its caller",
            extra={
                "request_id": state.request.request_id,
                "route": state.route.name,
                "service": state.service,
                "servers": state.sent_to,
                "causes": state.all_causes(),
                "elapsed_ms": round(
                    self.clock.monotonic_ms() - state.request.received_ms, 1
                ),
            },
        )

    def log_end(
        self, state: RequestState, response: CallerResponse | CallerStream
    ) -> None:
        """Log the outcome of a request in a single line."""
        refusal = getattr(response, "refusal", None)
        elapsed_ms = self.clock.monotonic_ms() - state.request.received_ms
        self.metrics.incr(f"forward.status.{response.status}")
        self.metrics.timing_ms("forward.duration", elapsed_ms)
        logger.info(
            "request ended",
            extra={
                "request_id": state.request.request_id,
                "route": state.route.name,
                "configuration": self.routes.version,
                "service": state.service,
                "status": response.status,
                "reason": refusal.reason if refusal else None,
                "servers": state.sent_to,
                "causes": state.all_causes(),
                "elapsed_ms": round(elapsed_ms, 1),
                "left_ms": round(state.deadline_at_ms - self.clock.monotonic_ms()),
            },
        )
