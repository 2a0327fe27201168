"""Requests of callers and the responses to them."""

from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass

from ..fleet import ListedServer
from ..interfaces.server_client import Headers, ResponseHead, ServerRequest
from ..outcomes import Outcome, Refusal


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request as received from a caller.

    Parameters
    ----------
    host, path, target : str
        Host, path, and path with query.
    received_ms : float
        Monotonic time of the request's arrival.
    deadline_ms : float or None
        Time that the caller waits, counted from the arrival.
    resume_after : int or None
        Number of the last stream event that the caller has received.
    resumes : str
        Id of the caller's request that brought the first event of the stream that it
        takes up; empty for a new stream.
    customer : str
        Name of the customer to whom the request belongs; empty where there is none.
        A scoring request belongs to the customer of its batch.
    """

    request_id: str
    method: str
    host: str
    path: str
    target: str
    headers: Headers
    body: bytes
    received_ms: float
    deadline_ms: float | None = None
    resume_after: int | None = None
    resumes: str = ""
    customer: str = ""

    def for_server(
        self,
        deadline_ms: float,
        resume_after: int | None = None,
        usage_customer: str = "",
    ) -> ServerRequest:
        """Return the request to send to a server.

        Parameters
        ----------
        usage_customer : str
            Customer whose usage includes this sending; empty if it is not counted.
        """
        return ServerRequest(
            self.method,
            self.target,
            self.headers,
            self.body,
            self.request_id,
            deadline_ms,
            resume_after,
            customer=usage_customer,
        )


@dataclass(frozen=True, slots=True)
class AnswerSource:
    """Server that gave an answer, and the head with which it began."""

    server: ListedServer
    head: ResponseHead


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """A complete response: either a server's own or a refusal by this entry VM.

    Parameters
    ----------
    refusal : Refusal or None
        Set when the response is a refusal by this entry VM.
    seal : str or None
        The server's seal on its own response.
    source : AnswerSource or None
        Set for a server's own response.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    refusal: Refusal | None = None
    seal: str | None = None
    source: AnswerSource | None = None


@dataclass(slots=True)
class CallerStream:
    """A response that is relayed while it is received.

    Parameters
    ----------
    chunks : async generator of bytes
        Complete events; raises `StepError` when the stream breaks before its end.
    source : AnswerSource
        Server that began the stream.
    abandon : callable
        Closes the connection to that server; to be called at the end. A generator that
        was never started does not do so when it is closed.
    """

    status: int
    headers: Headers
    chunks: AsyncGenerator[bytes, None]
    source: AnswerSource
    abandon: Callable[[], None]

    def call_at_end(self, end: Callable[[], None]) -> None:
        """Have a function called once when the stream is abandoned."""
        abandon, pending = self.abandon, [end]

        def abandon_and_end() -> None:
            abandon()
            while pending:
                pending.pop()()

        self.abandon = abandon_and_end


def make_refusal(
    outcome: Outcome, reason: str, message: str, retry_after_ms: int | None = None
) -> CallerResponse:
    """Return the response for a refused request.

    The status states whether the request ran: 503 guarantees that it didn't run and
    never will, 504 and 502 guarantee nothing. A request without a route gets 404.
    """
    status = 503 if outcome is Outcome.NOT_RUN else 502
    if reason == "timeout" and outcome is not Outcome.NOT_RUN:
        status = 504
    if reason == "no_route":
        status = 404
    return CallerResponse(
        status, refusal=Refusal(outcome, reason, message, retry_after_ms)
    )
