"""Streams that are continued on another server within one answer."""

import asyncio
import logging
from collections.abc import AsyncGenerator, AsyncIterator
from typing import TYPE_CHECKING

from result import Err, Result

from ..edges.server_port import ServerAnswer
from ..fleet import ListedServer
from ..outcomes import StepError

if TYPE_CHECKING:
    from .forwarder import Forwarder, RequestState

logger = logging.getLogger(__name__)

# A resumable stream without an event for this long goes on elsewhere: callers leave
# after a gap of 2 s at the earliest, and another server needs the rest for its first
# event.
SHORTEST_STALL_MS = 1_000.0
# Callers leave after four times the objective, where that is longer.
STALL_TARGETS = 2.0


def stall_s(state: "RequestState") -> float | None:
    """Return the longest wait for a server, in seconds.

    None for a stream that may not be repeated: no other server could help.
    """
    if not state.route.resumable:
        return None
    return max(SHORTEST_STALL_MS, STALL_TARGETS * state.route.target_latency_ms) / 1000


async def open_in_time(
    forwarder: "Forwarder",
    state: "RequestState",
    server: ListedServer,
    last: int | None,
) -> Result[ServerAnswer, StepError]:
    """Ask a server for a stream; an error when its head takes too long."""
    request = state.request.for_server(forwarder.remaining_ms(state), last)
    try:
        async with asyncio.timeout(stall_s(state)):
            return await forwarder.port.open(server.endpoint, request)
    except TimeoutError:
        return Err(StepError("stream.open", server.name, "no answer in time"))


async def next_block(
    state: "RequestState",
    server: ListedServer,
    blocks: AsyncIterator[tuple[int, bytes]],
) -> tuple[int, bytes] | None:
    """Return the next event of a stream; None at its regular end.

    Raises
    ------
    StepError
        The stream broke, or its server is silent.
    """
    try:
        async with asyncio.timeout(stall_s(state)):
            return await anext(blocks, None)
    except TimeoutError as error:
        raise StepError("stream.stall", server.name, "no event in time") from error


async def relay_stream(
    forwarder: "Forwarder",
    state: "RequestState",
    server: ListedServer,
    answer: ServerAnswer,
) -> AsyncGenerator[bytes, None]:
    """Yield whole events in order, each once.

    A resumable stream that breaks goes on at another server after the last event
    passed on. Any other broken stream ends with the error, so that the caller sees
    an answer without its end.
    """
    last = state.request.resume_after or 0
    while True:
        condition = forwarder.directory.condition(server.name)
        condition.own_requests += 1
        try:
            blocks = answer.raw_events()
            while (received := await next_block(state, server, blocks)) is not None:
                number, block = received
                if number != last + 1:
                    raise StepError(
                        "stream.order", server.name, f"event {number} after {last}"
                    )
                last = number
                yield block
            condition.record_success(forwarder.clock.monotonic_ms())
            return
        except StepError as error:
            condition.record_failure(forwarder.clock.monotonic_ms())
            logger.warning(
                "stream broke",
                extra={
                    "request_id": state.request.request_id,
                    "server": server.name,
                    "last_event": last,
                    "cause": str(error),
                },
            )
            if not state.route.resumable:
                raise
        except (asyncio.CancelledError, GeneratorExit):
            forwarder.log_abandoned(state)
            raise
        finally:
            condition.own_requests -= 1
            answer.close()
        server, answer = await resume(forwarder, state, last)


async def resume(
    forwarder: "Forwarder", state: "RequestState", last: int
) -> tuple[ListedServer, ServerAnswer]:
    """Open the rest of a stream on another server.

    Raises
    ------
    StepError
        The attempts or the time are used up.
    """
    while state.runs < state.route.attempts and forwarder.remaining_ms(state) > 0:
        server = forwarder.pick(state)
        if server is None:
            break
        state.tried.add(server.name)
        state.sent.append(server.name)
        state.runs += 1
        opened = await open_in_time(forwarder, state, server, last)
        if isinstance(opened, Err):
            state.causes.append(str(opened.err_value))
            continue
        answer = opened.ok_value
        if answer.head.status == 200 and answer.head.sealed:
            return server, answer
        answer.close()
        state.causes.append(f"{server.name}: status {answer.head.status}")
    raise StepError("stream.resume", state.service, "no server continued the stream")
