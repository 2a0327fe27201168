"""Relay of streams, which may be resumed on another server."""

import asyncio
import contextlib
import logging
from collections.abc import AsyncGenerator, AsyncIterator
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from result import Err, Result

from ..fleet import ListedServer
from ..interfaces.server_client import ResponseHead, ServerResponse
from ..outcomes import StepError

if TYPE_CHECKING:
    from .request_runs import RequestRuns
    from .request_state import RequestState

logger = logging.getLogger(__name__)

# A resumable stream without an event for this long is resumed on another server.
# Callers disconnect after a gap of 2 s at the earliest; the other server needs the
# remaining time for its first event.
MIN_STALL_TIMEOUT_MS = 1_000.0
# Callers disconnect after four times the target latency, where that is longer than 2 s.
STALL_TIMEOUT_IN_TARGET_LATENCIES = 2.0
# A stream stalls on a server, and is not only slow there, after this many of the gaps
# between events that are usual on the servers of its service now.
STALL_TIMEOUT_IN_GAPS = 8.0
# Callers disconnect after a silence of this many target latencies, or of the minimum.
# A stream that no other server can continue ends no sooner.
ABANDON_TIMEOUT_IN_TARGET_LATENCIES = 4.0
# A broken stream waits this long for room in the limits of the other servers. The rest
# of the time until its caller disconnects is for the first event.
MAX_LIMIT_WAIT_MS = 1_000.0
LIMIT_CHECK_INTERVAL_MS = 50.0
MIN_ABANDON_TIMEOUT_MS = 2_000.0
# A request that crashes servers does so when it begins to run. A crash does not count
# against a run that has made more events than these and lasted longer.
MAX_BEGINNING_EVENTS = 8
MAX_BEGINNING_MS = 1_000.0


class OtherVersionError(StepError):
    """A stream cannot begin on a sound server, since it is bound to another version."""


class OriginUnknownError(StepError):
    """A stream cannot begin at all, since nobody else could know its version."""


class StalledError(StepError):
    """A server sent no event in time; its connection is open, as far as is known."""


# Errors of a stream that say nothing of a crash.
OPEN_CONNECTION_ERRORS = (OtherVersionError, OriginUnknownError, StalledError)


@dataclass(slots=True)
class RunStart:
    """Beginning of a run of a stream on one server, in which the run may crash it.

    Attributes
    ----------
    events : int
        Number of events of this run.
    first_event_ms : float
        Monotonic time of the first event.
    """

    events: int = 0
    first_event_ms: float = 0.0

    def record_event(self, now_ms: float) -> None:
        """Record an event of this run."""
        if not self.events:
            self.first_event_ms = now_ms
        self.events += 1

    def is_over(self, now_ms: float) -> bool:
        """Return whether the run has shown that it does not crash its server."""
        return (
            self.events > MAX_BEGINNING_EVENTS
            and now_ms - self.first_event_ms > MAX_BEGINNING_MS
        )


def resolve_server(server: ListedServer, head: ResponseHead) -> ListedServer:
    """Return a server with the software version of the one that answered for it."""
    if head.answered_by is None:
        return server
    return replace(server, software_version=head.answered_by.software_version)


def stall_timeout_s(runs: "RequestRuns", state: "RequestState") -> float:
    """Return the time to wait for a server's next event, in seconds.

    Only events count as progress, so that comments or parts of an event do not extend
    it. A stream that is better off where it is may be silent until its deadline, and
    for as long as its caller waits for an event.
    """
    target_latency_ms = state.route.target_latency_ms
    remaining_ms = runs.remaining_ms(state)
    stall_timeout_ms = max(
        MIN_STALL_TIMEOUT_MS,
        STALL_TIMEOUT_IN_TARGET_LATENCIES * target_latency_ms,
        STALL_TIMEOUT_IN_GAPS * runs.pool.median_gap_ms(state.service),
    )
    # Another server needs time, too.
    if stall_timeout_ms < remaining_ms and runs.can_continue_elsewhere(state):
        return stall_timeout_ms / 1000
    abandon_timeout_ms = max(
        MIN_ABANDON_TIMEOUT_MS,
        ABANDON_TIMEOUT_IN_TARGET_LATENCIES * target_latency_ms,
        remaining_ms,
    )
    return abandon_timeout_ms / 1000


@contextlib.asynccontextmanager
async def limit_stall(
    runs: "RequestRuns", state: "RequestState"
) -> AsyncIterator[None]:
    """Limit a wait for a server; other servers may shorten it later.

    Raises
    ------
    TimeoutError
        The server sent nothing in time.
    """
    async with asyncio.timeout(stall_timeout_s(runs, state)) as stall:
        if state.route.resumable:
            runs.stalls.add(stall)
        try:
            yield
        finally:
            runs.stalls.discard(stall)


def log_stream_end(state: "RequestState", last_number: int, complete: bool) -> None:
    """Log which events of a stream were sent on and which software made them."""
    logger.info(
        "stream ended",
        extra={
            "request_id": state.request.request_id,
            "resumes": state.request.resumes,
            "service": state.service,
            "first_event": (state.request.resume_after or 0) + 1,
            "last_event": last_number,
            "complete": complete,
            "software_versions": state.software_versions,
            "servers": state.sent_to,
        },
    )


async def open_with_timeout(
    runs: "RequestRuns",
    state: "RequestState",
    server: ListedServer,
    last_number: int | None,
) -> Result[ServerResponse, StepError]:
    """Open a stream on a server, or return an error if its head comes too late."""
    remaining_ms = runs.remaining_ms(state)
    request = runs.pool.make_request(state, remaining_ms, last_number)
    attempt = (server.name, request.progress)
    state.unfinished.append(attempt)
    try:
        async with limit_stall(runs, state):
            opened = await runs.pool.send(server, request)
    except TimeoutError:
        cause = "no response in time"
        connected = request.progress.connected
        opened = Err(StalledError("stream.open", server.name, cause, connected))
    state.unfinished.remove(attempt)
    if isinstance(opened, Err):
        await record_loss(runs, state, server, opened.err_value)
    return opened


async def record_loss(
    runs: "RequestRuns", state: "RequestState", server: ListedServer, error: StepError
) -> None:
    """Record that a stream's connection broke, if that may be a crash of its server."""
    if error.may_have_run and not isinstance(error, OPEN_CONNECTION_ERRORS):
        await runs.pool.record_lost_connection(state, server)


async def read_next_event(
    runs: "RequestRuns",
    state: "RequestState",
    server: ListedServer,
    blocks: AsyncIterator[tuple[int, bytes]],
) -> tuple[int, bytes] | None:
    """Return the next event of a stream, or None at its regular end.

    Raises
    ------
    StepError
        The stream broke, or the server sent no event in time.
    """
    try:
        async with limit_stall(runs, state):
            return await anext(blocks, None)
    except TimeoutError as error:
        raise StalledError("stream.stall", server.name, "no event in time") from error


async def relay_stream(
    runs: "RequestRuns",
    state: "RequestState",
    server: ListedServer,
    response: ServerResponse,
) -> AsyncGenerator[bytes, None]:
    """Yield complete events in order, each one once.

    A resumable stream that breaks continues on another server after the last event
    yielded. Any other broken stream ends with the error, so that the caller receives an
    incomplete response.
    """
    last_number = state.request.resume_after or 0
    while True:
        condition = runs.pool.condition(server)
        condition.own_requests += 1
        last_event_ms: float | None = None
        start = RunStart()
        if state.software_versions:
            runs.origins.add_open(state.stream_id, state.service, server)
        try:
            blocks = response.raw_events()
            while (
                received := await read_next_event(runs, state, server, blocks)
            ) is not None:
                number, block = received
                now = runs.clock.monotonic_ms()
                if last_event_ms is not None:
                    median_gap_ms = runs.pool.median_gap_ms(state.service)
                    condition.record_gap(now - last_event_ms, median_gap_ms, now)
                last_event_ms = now
                start.record_event(now)
                if number != last_number + 1:
                    raise StepError(
                        "stream.order",
                        server.name,
                        f"event {number} after {last_number}",
                    )
                if state.software_version is None or not state.software_versions:
                    await runs.begin_stream(state, server)
                last_number = number
                if server.software_version not in state.software_versions:
                    state.software_versions.append(server.software_version)
                yield block
            condition.record_success(runs.clock.monotonic_ms())
            runs.strikes.record_completed(state.fingerprint)
            log_stream_end(state, last_number, complete=True)
            return
        except StepError as error:
            failure = error
            if not isinstance(error, OtherVersionError | OriginUnknownError):
                condition.record_failure(runs.clock.monotonic_ms())
            logger.warning(
                "stream broke",
                extra={
                    "request_id": state.request.request_id,
                    "server": server.name,
                    "last_event": last_number,
                    "cause": str(error),
                },
            )
        except (asyncio.CancelledError, GeneratorExit):
            runs.log.log_abandoned(state)
            log_stream_end(state, last_number, complete=False)
            raise
        finally:
            condition.own_requests -= 1
            runs.origins.end(state.stream_id)
            response.close()
        if not start.is_over(runs.clock.monotonic_ms()):
            await record_loss(runs, state, server, failure)
        if not state.route.resumable or isinstance(failure, OriginUnknownError):
            log_stream_end(state, last_number, complete=False)
            raise failure
        runs, server, response = await resume_stream(runs, state, last_number)


async def pick_server_for_rest(
    runs: "RequestRuns", state: "RequestState"
) -> ListedServer | None:
    """Return a server for the rest of a stream, waiting for room in the limits."""
    give_up_ms = runs.clock.monotonic_ms() + MAX_LIMIT_WAIT_MS
    server = runs.pool.pick(state)
    if server is None:
        runs.pool.record_unmet(state)
    while (
        server is None
        and runs.pool.has_server(state)
        and runs.clock.monotonic_ms() < give_up_ms
    ):
        await runs.clock.sleep_ms(LIMIT_CHECK_INTERVAL_MS)
        server = runs.pool.pick(state)
    return server


async def resume_stream(
    runs: "RequestRuns", state: "RequestState", last_number: int
) -> tuple["RequestRuns", ListedServer, ServerResponse]:
    """Open the rest of a stream on another server.

    Returns
    -------
    tuple
        Runs that reach the server, the server, and its response.

    Raises
    ------
    StepError
        No attempts or time are left, or no server is available.
    """
    has_failed_to_connect = False
    while True:
        chosen = await runs.choose_runs(has_failed_to_connect)
        if chosen is not runs:
            runs = chosen
            state.leave_pool()
        if not runs.has_attempts(state) or runs.remaining_ms(state) <= 0:
            break
        if runs.is_given_up(state):
            break
        server = await pick_server_for_rest(runs, state)
        if server is None:
            break
        state.tried_servers.add(server.name)
        state.sent_to.append(server.name)
        state.counted_attempts += 1
        opened = await open_with_timeout(runs, state, server, last_number)
        if isinstance(opened, Err):
            has_failed_to_connect = not opened.err_value.may_have_run
            state.causes.append(str(opened.err_value))
            continue
        response = opened.ok_value
        if response.head.status == 200 and response.head.sealed:
            return runs, resolve_server(server, response.head), response
        response.close()
        state.causes.append(f"{server.name}: status {response.head.status}")
    log_stream_end(state, last_number, complete=False)
    raise StepError("stream.resume", state.service, "no server continued the stream")
