"""Streams that are continued on another server within one answer."""

import logging
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

from result import Err

from ..edges.server_port import ServerAnswer
from ..fleet import ListedServer
from ..outcomes import StepError

if TYPE_CHECKING:
    from .forwarder import Forwarder, RequestState

logger = logging.getLogger(__name__)


async def relay_stream(
    forwarder: "Forwarder",
    state: "RequestState",
    server: ListedServer,
    answer: ServerAnswer,
) -> AsyncIterator[bytes]:
    """Yield whole events in order, each once.

    A resumable stream that breaks goes on at another server after the last event
    passed on. Any other broken stream ends with the error, so that the caller sees
    an answer without its end.
    """
    last = state.request.resume_after or 0
    while True:
        condition = forwarder.directory.condition(server.name)
        condition.own += 1
        try:
            async for number, block in answer.raw_events():
                if number != last + 1:
                    raise StepError(
                        "stream.order", server.name, f"event {number} after {last}"
                    )
                last = number
                yield block
            condition.note_success(forwarder.clock.monotonic_ms())
            return
        except StepError as error:
            condition.note_failure(forwarder.clock.monotonic_ms())
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
        finally:
            condition.own -= 1
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
        opened = await forwarder.port.open(
            server.target,
            state.request.for_server(forwarder.remaining_ms(state), last),
        )
        if isinstance(opened, Err):
            state.causes.append(str(opened.err_value))
            continue
        answer = opened.ok_value
        if answer.head.status == 200 and answer.head.sealed:
            return server, answer
        answer.close()
        state.causes.append(f"{server.name}: status {answer.head.status}")
    raise StepError("stream.resume", state.service, "no server continued the stream")
