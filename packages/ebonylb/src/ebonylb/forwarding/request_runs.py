"""Runs of single requests on the servers of one pool, by the kind of their routes."""

import asyncio
from abc import ABC, abstractmethod

from result import Err

from ..fleet import ListedServer
from ..interfaces import Clock, Metrics
from ..interfaces.server_client import ServerResponse
from ..outcomes import Outcome, StepError
from ..routes import RouteKind
from .attempt import (
    MIN_SERVER_ERROR_STATUS,
    SUCCESS_STATUSES,
    AttemptOutcome,
    AttemptResult,
    is_unverified_success,
    send_to_server,
)
from .deadline import Runs, refuse_crashing_request
from .messages import AnswerSource, CallerResponse, CallerStream, make_refusal
from .request_log import RequestLog
from .request_state import RequestState
from .server_pool import ServerPool
from .stream_origins import StreamOrigins
from .streams import (
    OriginUnknownError,
    OtherVersionError,
    open_with_timeout,
    relay_stream,
    resolve_server,
)
from .strikes import CrashStrikes

INTERNAL_ERROR = 500
# An attempt that a server refused didn't run and doesn't count against the route's
# attempts. The request is refused after this many of them.
MAX_REFUSED_ATTEMPTS = 6
# Delay before another attempt when all servers of a service were full.
ALL_FULL_DELAY_MS = 30.0


class Failover(ABC):
    """Choice between the runs on servers and the runs through other entry VMs."""

    @abstractmethod
    def current_runs(self) -> "RequestRuns":
        """Return the runs for work that begins now."""

    @abstractmethod
    async def choose_runs(self, has_failed_to_connect: bool) -> "RequestRuns":
        """Return the runs for work that begins now, after a check if one has failed."""


class RequestRuns(Runs):
    """Runs requests on the servers of a pool and returns one final response for each.

    Parameters
    ----------
    pool : ServerPool
        Servers among which the attempts choose.
    strikes : CrashStrikes
        Requests that crashed servers.
    origins : StreamOrigins
        Software versions on which streams began.
    clock : Clock
        Source of time.
    metrics : Metrics
        Receiver of counters.
    log : RequestLog
        Logs requests whose callers disconnect.

    Attributes
    ----------
    failover : Failover or None
        Chooses the runs that continue a broken stream; None for always these.
    stalls : set of asyncio.Timeout
        Waits for the next events of streams that other servers can continue.
    """

    def __init__(
        self,
        pool: ServerPool,
        strikes: CrashStrikes,
        origins: StreamOrigins,
        clock: Clock,
        metrics: Metrics,
        log: RequestLog,
    ) -> None:
        self.pool = pool
        self.strikes = strikes
        self.origins = origins
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.failover: Failover | None = None
        self.stalls: set[asyncio.Timeout] = set()

    async def run(self, state: RequestState) -> CallerResponse | CallerStream:
        """Run a request according to the kind of its route."""
        if state.route.kind is RouteKind.STREAMING:
            return await self.open_stream(state)
        if state.route.kind is RouteKind.IDEMPOTENT:
            return await self.run_idempotent(state)
        return await self.run_non_idempotent(state)

    def remaining_ms(self, state: RequestState) -> float:
        """Return the time until the request's deadline."""
        return state.deadline_at_ms - self.clock.monotonic_ms()

    def has_attempts(self, state: RequestState) -> bool:
        """Return whether the request may have another attempt."""
        return state.counted_attempts < self.pool.max_attempts(state.route)

    def is_given_up(self, state: RequestState) -> bool:
        """Return whether the request crashes the servers that run it."""
        return self.strikes.is_blocked(state.fingerprint, state.route.kind)

    def start_sending(
        self, state: RequestState, server: ListedServer
    ) -> asyncio.Task[AttemptResult]:
        """Start an attempt, which counts as load of its server at once.

        A burst of requests that arrive together would otherwise choose one server.
        """
        condition = self.pool.condition(server)
        condition.own_requests += 1

        def end_load(task: asyncio.Task[AttemptResult]) -> None:
            condition.own_requests -= 1

        task = asyncio.create_task(self.send_attempt(state, server))
        task.add_done_callback(end_load)
        return task

    async def send_attempt(
        self, state: RequestState, server: ListedServer
    ) -> AttemptResult:
        """Send a request to a server and record what became of the attempt."""
        state.tried_servers.add(server.name)
        state.sent_to.append(server.name)
        request = self.pool.make_request(state, self.remaining_ms(state), None)
        attempt = (server.name, request.progress)
        state.unfinished.append(attempt)
        result = await send_to_server(self.pool, self.clock, server, request)
        state.unfinished.remove(attempt)
        state.failed_connections += not request.progress.connected
        if result.cause:
            state.causes.append(f"{server.name}: {result.cause}")
        if result.connection_lost:
            await self.pool.record_lost_connection(state, server)
        if result.response is not None and result.response.status in SUCCESS_STATUSES:
            self.strikes.record_completed(state.fingerprint)
        return result

    async def run_idempotent(self, state: RequestState) -> CallerResponse:
        """Send an idempotent request until a server responds without a server error.

        A hedged copy is sent to another server when the first one is slow.
        """
        hedge_at_ms = (
            self.clock.monotonic_ms()
            + state.route.target_latency_ms * self.pool.hedge_delay_share
        )
        running: set[asyncio.Task[AttemptResult]] = set()
        last_error: CallerResponse | None = None
        try:
            while True:
                if not running and (
                    refusal := await self.start_attempt(state, running)
                ):
                    return self.settle(state, last_error or refusal)
                wait_s = (hedge_at_ms - self.clock.monotonic_ms()) / 1000
                can_hedge = (
                    len(running) == 1
                    and self.has_attempts(state)
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
                if last_error is not None and last_error.refusal and not running:
                    return self.settle(state, last_error)
        finally:
            for task in running:
                task.cancel()

    def count_attempt(
        self, state: RequestState, result: AttemptResult
    ) -> CallerResponse | None:
        """Count an attempt that ended and return its response, if there is one."""
        refusal = result.response.refusal if result.response else None
        if result.outcome is AttemptOutcome.NOT_RUN or (
            refusal is not None and refusal.outcome is Outcome.NOT_RUN
        ):
            state.counted_attempts -= 1
            state.refused_attempts += 1
        elif result.response is not None and result.response.status == INTERNAL_ERROR:
            state.internal_errors += 1
        return result.response

    def settle(self, state: RequestState, response: CallerResponse) -> CallerResponse:
        """Return a response that does not deny attempts which may have run."""
        refusal = response.refusal
        if (
            refusal is None
            or refusal.outcome is not Outcome.NOT_RUN
            or not state.may_have_run
        ):
            return response
        return make_refusal(
            Outcome.MAY_HAVE_RUN,
            refusal.reason,
            refusal.message,
            refusal.retry_after_ms,
        )

    async def start_attempt(
        self, state: RequestState, running: set[asyncio.Task[AttemptResult]]
    ) -> CallerResponse | None:
        """Start an attempt, or return a refusal if no attempt is possible."""
        if self.is_given_up(state):
            return refuse_crashing_request()
        if not self.has_attempts(state):
            return make_refusal(
                Outcome.MAY_HAVE_RUN,
                "attempts_used",
                "no server gave a whole answer",
            )
        if state.refused_attempts >= MAX_REFUSED_ATTEMPTS:
            return self.pool.refuse_full(state)
        server = self.pool.pick(state)
        if server is None:
            return self.pool.refuse(state)
        if (
            state.refused_attempts
            and state.refused_attempts % len(state.tried_servers) == 0
        ):
            await self.clock.sleep_ms(ALL_FULL_DELAY_MS)
        state.counted_attempts += 1
        running.add(self.start_sending(state, server))
        return None

    async def run_non_idempotent(self, state: RequestState) -> CallerResponse:
        """Send a non-idempotent request, and again only if it did not run."""
        while True:
            if state.refused_attempts >= MAX_REFUSED_ATTEMPTS:
                return self.pool.refuse_full(state)
            server = self.pool.pick(state)
            if server is None:
                return self.pool.refuse(state)
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

    async def open_stream(self, state: RequestState) -> CallerResponse | CallerStream:
        """Open a stream; the deadline applies only until the response head arrives."""
        if state.software_version is None:
            required = await self.origins.required_version(state.request, state.service)
            if isinstance(required, Err):
                return required.err_value
            state.software_version = required.ok_value
        while True:
            if self.is_given_up(state):
                return refuse_crashing_request()
            if state.refused_attempts >= MAX_REFUSED_ATTEMPTS:
                return self.pool.refuse_full(state)
            server = self.pool.pick(state)
            if server is None:
                return self.pool.refuse(state)
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
            server = resolve_server(server, head)
            if head.not_run:
                response.close()
                state.counted_attempts -= 1
                state.refused_attempts += 1
                continue
            if head.refusal is not None:
                response.close()
                if head.refusal.outcome is Outcome.NOT_RUN:
                    state.counted_attempts -= 1
                refused = CallerResponse(head.status, refusal=head.refusal)
                return self.settle(state, refused)
            if head.status >= MIN_SERVER_ERROR_STATUS or is_unverified_success(head):
                condition = self.pool.condition(server)
                condition.update_failure_share(1.0, self.clock.monotonic_ms())
                state.causes.append(f"{server.name}: status {head.status}")
                if state.route.resumable and self.has_attempts(state):
                    response.close()
                    continue
            if head.status >= 300 or not head.sealed:
                return await self.read_error_response(state, server, response)
            chunks = relay_stream(self, state, server, response)
            source = AnswerSource(server, head)
            return CallerStream(
                head.status, head.headers, chunks, source, response.close
            )

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
        condition = self.pool.condition(server)
        condition.record_failure(self.clock.monotonic_ms())
        if not error.may_have_run:
            state.failed_connections += 1
            state.counted_attempts -= 1
            state.refused_attempts += 1
            return None
        if state.route.resumable and self.has_attempts(state):
            return None
        return make_refusal(
            Outcome.MAY_HAVE_RUN, "answer_lost", "the stream did not begin"
        )

    async def read_error_response(
        self, state: RequestState, server: ListedServer, response: ServerResponse
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
        source = AnswerSource(server, head)
        return CallerResponse(head.status, head.headers, body, source=source)

    async def begin_stream(self, state: RequestState, server: ListedServer) -> None:
        """Bind a stream to the software version of its server, before its first event.

        Raises
        ------
        OtherVersionError
            The stream must begin again on another version.
        OriginUnknownError
            Another entry VM could continue the stream on another version, whichever
            it begins on.
        """
        if state.request.resume_after and state.software_version is not None:
            return
        bound = await self.origins.begin(state.stream_id, state.service, server)
        state.software_version = server.software_version
        if not state.route.resumable:
            return
        if isinstance(bound, Err):
            cause = f"software version not stored: {bound.err_value}"
            raise OriginUnknownError("stream.origin", server.name, cause)
        if bound.ok_value != server.software_version:
            state.software_version = bound.ok_value
            raise OtherVersionError(
                "stream.origin", server.name, f"bound to version {bound.ok_value}"
            )

    async def choose_runs(self, has_failed_to_connect: bool) -> "RequestRuns":
        """Return the runs that continue a broken stream."""
        if self.failover is None:
            return self
        return await self.failover.choose_runs(has_failed_to_connect)

    def can_continue_elsewhere(self, state: RequestState) -> bool:
        """Return whether another server can continue a stream better than its own.

        The last attempt stays where it is.
        """
        if not state.route.resumable:
            return False
        if self.failover is not None and self.failover.current_runs() is not self:
            return True
        return self.has_attempts(state) and self.pool.can_continue_elsewhere(state)

    def hurry_stalled_streams(self, limit_s: float) -> None:
        """Let streams that other servers can continue wait no longer for an event."""
        limit_at_s = asyncio.get_running_loop().time() + limit_s
        for stall in self.stalls:
            if not stall.expired() and stall.when() > limit_at_s:
                stall.reschedule(limit_at_s)
