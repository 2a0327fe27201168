"""A single attempt to run a request on one server."""

from dataclasses import dataclass
from enum import Enum, auto

from result import Err

from ..fleet import ListedServer, ServerCondition
from ..interfaces import Clock
from ..interfaces.server_client import ResponseHead, ServerRequest, ServerResponse
from ..outcomes import StepError
from .messages import AnswerSource, CallerResponse
from .server_pool import ServerPool

MIN_SERVER_ERROR_STATUS = 500
SUCCESS_STATUSES = range(200, 300)
BUSY_BACKOFF_MS = 100  # a full server is skipped for about one request's duration


class AttemptOutcome(Enum):
    """Outcome of an attempt.

    `MAY_HAVE_RUN` means that the server may have run the request, but there is no
    usable response.
    """

    RESPONDED = auto()
    NOT_RUN = auto()
    MAY_HAVE_RUN = auto()


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of an attempt.

    Parameters
    ----------
    response : CallerResponse or None
        Set when `outcome` is `RESPONDED`.
    cause : str
        Reason why there is no response; empty otherwise.
    connection_lost : bool
        The request could have run, but no response arrived: the server may have
        crashed.
    """

    outcome: AttemptOutcome
    server: ListedServer
    response: CallerResponse | None = None
    cause: str = ""
    connection_lost: bool = False


def is_unverified_success(head: ResponseHead) -> bool:
    """Return whether a success status lacks proof that it is the server's own.

    The server seals its responses and never encodes their content.
    """
    if head.status not in SUCCESS_STATUSES:
        return False
    encoded = any(name.lower() == "content-encoding" for name, _ in head.headers)
    return encoded or not head.sealed


async def send_to_server(
    pool: ServerPool, clock: Clock, server: ListedServer, request: ServerRequest
) -> AttemptResult:
    """Send a request to a server and read the complete response.

    Cancellation closes the connection, which makes the server stop its work.
    """
    condition = pool.condition(server)
    began_ms = clock.monotonic_ms()
    opened = await pool.send(server, request)
    if isinstance(opened, Err):
        error = opened.err_value
        condition.record_failure(clock.monotonic_ms())
        outcome = (
            AttemptOutcome.MAY_HAVE_RUN
            if error.may_have_run
            else AttemptOutcome.NOT_RUN
        )
        return AttemptResult(
            outcome, server, cause=str(error), connection_lost=error.may_have_run
        )
    response = opened.ok_value
    try:
        return await read_response(server, response, condition, clock, began_ms)
    except StepError as error:
        condition.record_failure(clock.monotonic_ms())
        return AttemptResult(AttemptOutcome.MAY_HAVE_RUN, server, cause=str(error))
    finally:
        response.close()


async def read_response(
    server: ListedServer,
    response: ServerResponse,
    condition: ServerCondition,
    clock: Clock,
    began_ms: float,
) -> AttemptResult:
    """Read a response to its end and record the server's load and outcome."""
    head = response.head
    now = clock.monotonic_ms()
    if head.refusal is not None:
        return AttemptResult(
            AttemptOutcome.RESPONDED,
            server,
            CallerResponse(head.status, refusal=head.refusal),
        )
    if head.load is not None:
        condition.record_load(head.load, now)
    if head.not_run:
        condition.backoff_until_ms = now + BUSY_BACKOFF_MS
        if head.wrong_server:
            condition.record_failure(now)
        return AttemptResult(
            AttemptOutcome.NOT_RUN,
            server,
            cause=f"server said {head.status}",
        )
    if is_unverified_success(head):
        condition.record_failure(now)
        return AttemptResult(
            AttemptOutcome.MAY_HAVE_RUN, server, cause="response without a valid seal"
        )
    body = await response.body()
    now = clock.monotonic_ms()
    if head.status >= MIN_SERVER_ERROR_STATUS:
        condition.update_failure_share(1.0, now)
    else:
        condition.record_success(now, now - began_ms)
    return AttemptResult(
        AttemptOutcome.RESPONDED,
        server,
        CallerResponse(
            head.status,
            head.headers,
            body,
            seal=head.seal,
            source=AnswerSource(server, head),
        ),
    )
