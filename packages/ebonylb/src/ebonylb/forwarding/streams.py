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
MIN_STALL_TIMEOUT_MS = 1_000.0
# Callers leave after four times the objective, where that is longer.
STALL_TIMEOUT_IN_TARGET_LATENCIES = 2.0


def stall_timeout_s(state: "RequestState") -> float | None:
    """Return the longest wait for a server, in seconds.

    None for a stream that may not be repeated: no other server could help.
    """
    if not state.route.resumable:
        return None
    return (
        max(
            MIN_STALL_TIMEOUT_MS,
            STALL_TIMEOUT_IN_TARGET_LATENCIES * state.route.target_latency_ms,
        )
        / 1000
    )


async def open_with_timeout(
    forwarder: "Forwarder",
    state: "RequestState",
    server: ListedServer,
    last_number: int | None,
) -> Result[ServerAnswer, StepError]:
    """Ask a server for a stream; an error when its head takes too long."""
    request = state.request.for_server(forwarder.remaining_ms(state), last_number)
    try:
        async with asyncio.timeout(stall_timeout_s(state)):
            return await forwarder.port.open(server.endpoint, request)
    except TimeoutError:
        return Err(StepError("stream.open", server.name, "no answer in time"))


async def read_next_event(
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
        async with asyncio.timeout(stall_timeout_s(state)):
            return await anext(blocks, None)
    except TimeoutError as error:
        raise StepError("stream.stall", server.name, "no event in time") from error


async def relay_stream(
    forwarder: "Forwarder",
    state: "RequestState",
    server: ListedServer,
    response: ServerAnswer,
) -> AsyncGenerator[bytes, None]:
    """Yield whole events in order, each once.

    A resumable stream that breaks goes on at another server after the last event
    passed on. Any other broken stream ends with the error, so that the caller sees
    an answer without its end.
    """
    last_number = state.request.resume_after or 0
    while True:
        condition = forwarder.directory.condition(server.name)
        condition.own_requests += 1
        try:
            blocks = response.raw_events()
            while (
                received := await read_next_event(state, server, blocks)
            ) is not None:
                number, block = received
                if number != last_number + 1:
                    raise StepError(
                        "stream.order",
                        server.name,
                        f"event {number} after {last_number}",
                    )
                last_number = number
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
                    "last_event": last_number,
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
            response.close()
        server, response = await resume_stream(forwarder, state, last_number)


async def resume_stream(
    forwarder: "Forwarder", state: "RequestState", last_number: int
) -> tuple[ListedServer, ServerAnswer]:
    """Open the rest of a stream on another server.

    Raises
    ------
    StepError
        The attempts or the time are used up.
    """
    while (
        state.counted_attempts < state.route.attempts
        and forwarder.remaining_ms(state) > 0
    ):
        server = forwarder.pick_server(state)
        if server is None:
            break
        state.tried_servers.add(server.name)
        state.sent_to.append(server.name)
        state.counted_attempts += 1
        opened = await open_with_timeout(forwarder, state, server, last_number)
        if isinstance(opened, Err):
            state.causes.append(str(opened.err_value))
            continue
        response = opened.ok_value
        if response.head.status == 200 and response.head.sealed:
            return server, response
        response.close()
        state.causes.append(f"{server.name}: status {response.head.status}")
    raise StepError("stream.resume", state.service, "no server continued the stream")
