"""Decides for each single request which servers it is sent to, and when it ends."""

import asyncio
import logging
from dataclasses import dataclass, field

from result import Err

from ..edges import Clock, Metrics
from ..edges.server_port import ServerAnswer, ServerPort
from ..fleet import ListedServer, ServerDirectory, ServerSelector
from ..outcomes import Outcome, StepError
from ..routes import Route, RouteKind, RouteTable, choose_target
from .attempt import SERVER_ERROR, AttemptEnd, Fate, is_spoiled, send_once
from .messages import CallerAnswer, CallerRequest, CallerStream, refuse
from .streams import open_in_time, relay_stream
from .strikes import CrashStrikes, request_fingerprint

logger = logging.getLogger(__name__)

# A second copy starts when the answer is later than this share of the target latency;
# the copy then still has time to be on target.
HEDGE_SHARE = 0.42
# Sendings that a server refused do not run and do not count as attempts, up to here.
MOST_REFUSED_SENDINGS = 6
# Pause before a request tries a service again whose servers were all full.
FULL_PAUSE_MS = 30.0
# Time before the end of the deadline at which an answer still reaches the caller.
RETURN_MARGIN_MS = 15.0
RETRY_AFTER_MS = 300  # a server's queue moves on within about this time
NO_SERVER_RETRY_MS = 1_000
# Time after which an entry VM that has no configuration yet is worth asking again.
STARTING_RETRY_MS = 500


@dataclass(slots=True)
class RequestState:
    """State of one request on its way.

    Parameters
    ----------
    ends_ms : float
        Monotonic time at which its final answer is due.
    """

    request: CallerRequest
    route: Route
    service: str
    ends_ms: float
    fingerprint: str
    tried: set[str] = field(default_factory=set)
    runs: int = 0
    refused: int = 0
    causes: list[str] = field(default_factory=list)
    sent: list[str] = field(default_factory=list)


class Forwarder:
    """Sends requests to servers and returns one final answer for each.

    Parameters
    ----------
    routes : RouteTable
        Configuration in force.
    directory : ServerDirectory
        Servers.
    choice : ServerSelector
        Ranking of servers.
    port : ServerPort
        Connections to servers.
    strikes : CrashStrikes
        Requests that crash servers.
    clock : Clock
        Source of time.
    metrics : Metrics
        Counters.
    """

    def __init__(
        self,
        routes: RouteTable,
        directory: ServerDirectory,
        choice: ServerSelector,
        port: ServerPort,
        strikes: CrashStrikes,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.routes = routes
        self.directory = directory
        self.choice = choice
        self.port = port
        self.strikes = strikes
        self.clock = clock
        self.metrics = metrics

    def find_route(self, request: CallerRequest) -> Route | CallerAnswer:
        """Return the route of a request, or the refusal when there is none."""
        if self.routes.configuration is None:
            return refuse(
                Outcome.NOT_RUN,
                "not_ready",
                "this entry VM has no configuration yet",
                STARTING_RETRY_MS,
            )
        route = self.routes.find(request.host, request.path)
        if route is None:
            return refuse(
                Outcome.NOT_RUN, "no_route", "no route has this host and path"
            )
        return route

    async def serve(
        self, request: CallerRequest, route: Route
    ) -> CallerAnswer | CallerStream:
        """Return the final answer of a request."""
        limit = route.timeout_ms
        if request.deadline_ms is not None:
            limit = min(limit, request.deadline_ms)
        state = RequestState(
            request,
            route,
            choose_target(route, request.request_id).service,
            request.received_ms + limit - RETURN_MARGIN_MS,
            request_fingerprint(
                request.method, request.host, request.target, request.body
            ),
        )
        if self.strikes.is_given_up(state.fingerprint):
            answer = refuse(
                Outcome.GIVEN_UP, "crashes_servers", "servers crashed while running it"
            )
        else:
            try:
                answer = await self.run(state)
            except asyncio.CancelledError:
                self.log_abandoned(state)
                raise
        self.log_end(state, answer)
        return answer

    async def run(self, state: RequestState) -> CallerAnswer | CallerStream:
        """Run a request by the kind of its route."""
        remaining = (state.ends_ms - self.clock.monotonic_ms()) / 1000
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                if state.route.kind is RouteKind.STREAMING:
                    return await self.open_stream(state)
                if state.route.kind is RouteKind.IDEMPOTENT:
                    return await self.run_repeatable(state)
                return await self.run_once(state)
        except TimeoutError:
            outcome = Outcome.MAY_HAVE_RUN if state.runs else Outcome.NOT_RUN
            return refuse(
                outcome, "timeout", "the time limit was reached", RETRY_AFTER_MS
            )

    def remaining_ms(self, state: RequestState) -> float:
        """Return the time left for a server."""
        return state.ends_ms - self.clock.monotonic_ms()

    def pick(self, state: RequestState) -> ListedServer | None:
        """Return the best server, an untried one if there is any."""
        server = self.choice.choose_plain(state.service, state.tried)
        return server or self.choice.choose_plain(state.service)

    async def attempt(self, state: RequestState, server: ListedServer) -> AttemptEnd:
        """Send a request once."""
        state.tried.add(server.name)
        state.sent.append(server.name)
        end = await send_once(
            self.port,
            self.directory,
            self.clock,
            server,
            state.request,
            self.remaining_ms(state),
        )
        if end.cause:
            state.causes.append(f"{server.name}: {end.cause}")
        if end.lost_connection and not await self.port.reachable(server.endpoint):
            self.strikes.strike(state.fingerprint, f"{server.name}.{server.started_ms}")
        return end

    async def run_repeatable(self, state: RequestState) -> CallerAnswer:
        """Send an idempotent request until one server answers well.

        A copy goes to another server when the first one takes long.
        """
        hedge_at = (
            self.clock.monotonic_ms() + state.route.target_latency_ms * HEDGE_SHARE
        )
        running: set[asyncio.Task[AttemptEnd]] = set()
        last: CallerAnswer | None = None
        try:
            while True:
                if not running and (refusal := await self.start_copy(state, running)):
                    return last or refusal
                wait_s = (hedge_at - self.clock.monotonic_ms()) / 1000
                may_copy = (
                    len(running) == 1
                    and state.runs < state.route.attempts
                    and not self.strikes.is_suspect(state.fingerprint)
                )
                done, _ = await asyncio.wait(
                    running,
                    timeout=max(0.0, wait_s) if may_copy else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    self.metrics.incr("forward.copies")
                    await self.start_copy(state, running)
                    hedge_at = float("inf")
                for task in done:
                    running.discard(task)
                    answer = self.judge(state, task.result())
                    if answer is not None and answer.status < 500:
                        return answer
                    last = answer or last
        finally:
            for task in running:
                task.cancel()

    def judge(self, state: RequestState, end: AttemptEnd) -> CallerAnswer | None:
        """Count an attempt that ended and return its answer, if it has one."""
        if end.fate is Fate.NOT_RUN:
            state.runs -= 1
            state.refused += 1
        return end.answer

    async def start_copy(
        self, state: RequestState, running: set[asyncio.Task[AttemptEnd]]
    ) -> CallerAnswer | None:
        """Start an attempt; return the refusal when there can be none."""
        if self.strikes.is_given_up(state.fingerprint):
            return refuse(
                Outcome.GIVEN_UP, "crashes_servers", "servers crashed while running it"
            )
        if state.runs >= state.route.attempts:
            return refuse(
                Outcome.MAY_HAVE_RUN, "attempts_used", "no server gave a whole answer"
            )
        if state.refused >= MOST_REFUSED_SENDINGS:
            return self.refuse_full(state)
        server = self.pick(state)
        if server is None:
            return self.refuse_without_server(state)
        if state.refused and state.refused % len(state.tried) == 0:
            await self.clock.sleep_ms(FULL_PAUSE_MS)
        state.runs += 1
        running.add(asyncio.create_task(self.attempt(state, server)))
        return None

    def refuse_full(self, state: RequestState) -> CallerAnswer:
        """Return the refusal of a request that every server was too full for."""
        outcome = Outcome.MAY_HAVE_RUN if state.runs else Outcome.NOT_RUN
        return refuse(outcome, "overloaded", "all servers are full", RETRY_AFTER_MS)

    def refuse_without_server(self, state: RequestState) -> CallerAnswer:
        """Return the refusal of a request that no server can run now."""
        outcome = Outcome.MAY_HAVE_RUN if state.runs else Outcome.NOT_RUN
        return refuse(
            outcome, "no_backend_server", "no server runs this", NO_SERVER_RETRY_MS
        )

    async def run_once(self, state: RequestState) -> CallerAnswer:
        """Send a non-idempotent request; again only if it surely did not run."""
        while True:
            if state.refused >= MOST_REFUSED_SENDINGS:
                return self.refuse_full(state)
            server = self.pick(state)
            if server is None:
                return self.refuse_without_server(state)
            state.runs += 1
            end = await self.attempt(state, server)
            if end.fate is Fate.ANSWERED:
                return end.answer
            if end.fate is Fate.BROKEN:
                return refuse(
                    Outcome.MAY_HAVE_RUN,
                    "answer_lost",
                    "the server gave no whole answer",
                )
            state.runs -= 1
            state.refused += 1

    async def open_stream(self, state: RequestState) -> CallerAnswer | CallerStream:
        """Open a stream; only until its head arrives the time limit applies."""
        while True:
            if state.refused >= MOST_REFUSED_SENDINGS:
                return self.refuse_full(state)
            server = self.pick(state)
            if server is None:
                return self.refuse_without_server(state)
            state.tried.add(server.name)
            state.sent.append(server.name)
            state.runs += 1
            opened = await open_in_time(self, state, server, state.request.resume_after)
            if isinstance(opened, Err):
                refusal = self.note_unopened(state, server, opened.err_value)
                if refusal is not None:
                    return refusal
                continue
            answer = opened.ok_value
            head = answer.head
            if head.not_run:
                answer.close()
                state.runs -= 1
                state.refused += 1
                continue
            if head.status >= SERVER_ERROR or is_spoiled(head):
                condition = self.directory.condition(server.name)
                condition.update_failure_share(1.0, self.clock.monotonic_ms())
                state.causes.append(f"{server.name}: status {head.status}")
                if state.route.resumable and state.runs < state.route.attempts:
                    answer.close()
                    continue
            if head.status >= 300 or not head.sealed:
                return await self.read_failure(state, answer)
            chunks = relay_stream(self, state, server, answer)
            return CallerStream(head.status, head.headers, chunks)

    def note_unopened(
        self, state: RequestState, server: ListedServer, error: StepError
    ) -> CallerAnswer | None:
        """Record a stream that did not begin; return the refusal if that is final."""
        state.causes.append(str(error))
        condition = self.directory.condition(server.name)
        condition.record_failure(self.clock.monotonic_ms())
        if not error.may_have_run:
            state.runs -= 1
            state.refused += 1
            return None
        if state.route.resumable and state.runs < state.route.attempts:
            return None
        return refuse(Outcome.MAY_HAVE_RUN, "answer_lost", "the stream did not begin")

    async def read_failure(
        self, state: RequestState, answer: ServerAnswer
    ) -> CallerAnswer:
        """Return a server's own failure in place of a stream."""
        head = answer.head
        try:
            body = await answer.body()
        except StepError as error:
            state.causes.append(str(error))
            return refuse(Outcome.MAY_HAVE_RUN, "answer_lost", "the answer ended early")
        finally:
            answer.close()
        if head.status < 300:
            return refuse(Outcome.MAY_HAVE_RUN, "answer_lost", "answer without seal")
        return CallerAnswer(head.status, head.headers, body)

    def log_abandoned(self, state: RequestState) -> None:
        """Write the line of a request whose caller left; its runs are cancelled."""
        self.metrics.incr("forward.abandoned")
        logger.info(
            "request abandoned by its caller",
            extra={
                "request_id": state.request.request_id,
                "route": state.route.name,
                "service": state.service,
                "servers": state.sent,
                "causes": state.causes,
                "elapsed_ms": round(
                    self.clock.monotonic_ms() - state.request.received_ms, 1
                ),
            },
        )

    def log_end(self, state: RequestState, answer: CallerAnswer | CallerStream) -> None:
        """Write the one line that explains the answer of a request."""
        refusal = getattr(answer, "refusal", None)
        elapsed = self.clock.monotonic_ms() - state.request.received_ms
        self.metrics.incr(f"forward.status.{answer.status}")
        self.metrics.timing_ms("forward.duration", elapsed)
        logger.info(
            "request ended",
            extra={
                "request_id": state.request.request_id,
                "route": state.route.name,
                "configuration": self.routes.version,
                "service": state.service,
                "status": answer.status,
                "reason": refusal.reason if refusal else None,
                "servers": state.sent,
                "causes": state.causes,
                "elapsed_ms": round(elapsed, 1),
                "left_ms": round(state.ends_ms - self.clock.monotonic_ms()),
            },
        )
