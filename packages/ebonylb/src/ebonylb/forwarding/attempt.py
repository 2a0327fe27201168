"""One sending of a request to one server."""

from dataclasses import dataclass
from enum import Enum, auto

from result import Err

from ..edges import Clock
from ..edges.server_port import AnswerHead, ServerAnswer, ServerPort
from ..fleet import ListedServer, ServerCondition, ServerDirectory
from ..outcomes import StepError
from .messages import CallerAnswer, CallerRequest

SERVER_ERROR = 500
SUCCESS = range(200, 300)
BUSY_REST_MS = 100  # a full server is passed over for about one request's duration


class Fate(Enum):
    """What is known after an attempt."""

    ANSWERED = auto()
    NOT_RUN = auto()
    BROKEN = auto()  # it may have run, and there is no usable answer


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """Result of an attempt.

    Parameters
    ----------
    answer : CallerAnswer or None
        Set when `fate` is `ANSWERED`.
    lost_connection : bool
        The connection broke before an answer: the server may have crashed.
    """

    fate: Fate
    server: ListedServer
    answer: CallerAnswer | None = None
    cause: str = ""
    lost_connection: bool = False


def is_spoiled(head: AnswerHead) -> bool:
    """Tell whether a success cannot be the server's own: no seal, or encoded."""
    if head.status not in SUCCESS:
        return False
    encoded = any(name.lower() == "content-encoding" for name, _ in head.headers)
    return encoded or not head.sealed


async def send_once(
    port: ServerPort,
    directory: ServerDirectory,
    clock: Clock,
    server: ListedServer,
    request: CallerRequest,
    deadline_ms: float,
) -> AttemptEnd:
    """Send a request to a server and read the whole answer.

    Cancelling it closes the connection, and with it the server's work.
    """
    condition = directory.condition(server.name)
    began = clock.monotonic_ms()
    condition.own_requests += 1
    try:
        opened = await port.open(server.endpoint, request.for_server(deadline_ms))
        if isinstance(opened, Err):
            error = opened.err_value
            condition.record_failure(clock.monotonic_ms())
            fate = Fate.BROKEN if error.may_have_run else Fate.NOT_RUN
            return AttemptEnd(
                fate, server, cause=str(error), lost_connection=error.may_have_run
            )
        answer = opened.ok_value
        try:
            return await read_answer(server, answer, condition, clock, began)
        except StepError as error:
            condition.record_failure(clock.monotonic_ms())
            return AttemptEnd(Fate.BROKEN, server, cause=str(error))
        finally:
            answer.close()
    finally:
        condition.own_requests -= 1


async def read_answer(
    server: ListedServer,
    answer: ServerAnswer,
    condition: ServerCondition,
    clock: Clock,
    began_ms: float,
) -> AttemptEnd:
    """Read an answer to its end and take over what it says of the server."""
    head = answer.head
    now = clock.monotonic_ms()
    if head.load is not None:
        condition.record_load(head.load, now)
    if head.not_run:
        condition.backoff_until_ms = now + BUSY_REST_MS
        if head.wrong_server:
            condition.record_failure(now)
        await answer.body()
        return AttemptEnd(Fate.NOT_RUN, server, cause=f"server said {head.status}")
    if is_spoiled(head):
        condition.record_failure(now)
        return AttemptEnd(Fate.BROKEN, server, cause="answer without seal")
    body = await answer.body()
    now = clock.monotonic_ms()
    if head.status >= SERVER_ERROR:
        condition.update_failure_share(1.0, now)
    else:
        condition.record_success(now, now - began_ms)
    return AttemptEnd(
        Fate.ANSWERED, server, CallerAnswer(head.status, head.headers, body)
    )
