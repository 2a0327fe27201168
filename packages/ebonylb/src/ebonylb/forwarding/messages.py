"""Requests of callers and the answers to them."""

from collections.abc import AsyncGenerator
from dataclasses import dataclass

from ..edges.server_port import Headers, ServerRequest
from ..outcomes import Outcome, Refusal


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request as it came in.

    Parameters
    ----------
    host, path, target : str
        Host, path, and path with query.
    received_ms : float
        Monotonic time of its arrival.
    deadline_ms : float or None
        Time that the caller waits, from then on.
    resume_after : int or None
        Number of the last stream event that the caller has.
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

    def for_server(
        self, deadline_ms: float, resume_after: int | None = None
    ) -> ServerRequest:
        """Return the request to be sent to a server."""
        return ServerRequest(
            self.method,
            self.target,
            self.headers,
            self.body,
            self.request_id,
            deadline_ms,
            resume_after,
        )


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """A whole answer: a server's own, or a refusal of this entry VM.

    Parameters
    ----------
    refusal : Refusal or None
        Set when this entry VM made the answer.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    refusal: Refusal | None = None


@dataclass(slots=True)
class CallerStream:
    """An answer that is passed on while it is made.

    Parameters
    ----------
    chunks : async generator of bytes
        Whole events; raises `StepError` when the stream ends before its end.
    """

    status: int
    headers: Headers
    chunks: AsyncGenerator[bytes, None]


def make_refusal(
    outcome: Outcome, reason: str, message: str, retry_after_ms: int | None = None
) -> CallerResponse:
    """Return the answer of a refusal.

    The status tells whether the request ran: 503 promises that it did not and never
    will, 504 and 502 promise nothing.
    """
    status = 503 if outcome is Outcome.NOT_RUN else 502
    if reason == "timeout" and outcome is not Outcome.NOT_RUN:
        status = 504
    if reason == "no_route":
        status = 404
    return CallerResponse(
        status, refusal=Refusal(outcome, reason, message, retry_after_ms)
    )
