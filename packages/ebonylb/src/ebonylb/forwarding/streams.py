"""Relay of streams, which may be resumed on another server."""

import asyncio
import logging
from collections.abc import AsyncGenerator, AsyncIterator
from typing import TYPE_CHECKING

from result import Err, Result

from ..fleet import ListedServer
from ..interfaces.server_client import ServerResponse
from ..outcomes import StepError

if TYPE_CHECKING:
    from .forwarder import Forwarder, RequestState

logger = logging.getLogger(__name__)

# A resumable stream without an event for this long is resumed on another server.
# Callers disconnect after a gap of 2 s at the earliest; the other server needs the
# remaining time for its first event.
MIN_STALL_TIMEOUT_MS = 1_000.0
# Callers disconnect after four times the target latency, where that is longer than 2 s.
STALL_TIMEOUT_IN_TARGET_LATENCIES = 2.0


def stall_timeout_s(state: "RequestState") -> float | None:
    """Return the time to wait for a server's next event, in seconds.

    It is None for a stream that must not be resumed, because no other server could
    continue it.
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
) -> Result[ServerResponse, StepError]:
    """Open a stream on a server, or return an error if its head comes too late."""
    request = state.request.for_server(forwarder.remaining_ms(state), last_number)
    try:
        async with asyncio.timeout(stall_timeout_s(state)):
            return await forwarder.server_client.open(server.endpoint, request)
    except TimeoutError:
        return Err(StepError("stream.open", server.name, "no response in time"))


async def read_next_event(
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
        async with asyncio.timeout(stall_timeout_s(state)):
            return await anext(blocks, None)
    except TimeoutError as error:
        raise StepError("stream.stall", server.name, "no event in time") from error


async def relay_stream(
    forwarder: "Forwarder",
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
) -> tuple[ListedServer, ServerResponse]:
    """Open the rest of a stream on another server.

    Raises
    ------
    StepError
        No attempts or time are left, or no server is available.
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
