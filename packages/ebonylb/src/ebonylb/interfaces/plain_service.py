"""Interface of plain services, which send one complete response per request."""

from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallRequest:
    """Request for one call of a plain service.

    Parameters
    ----------
    request_id : str
        Sent to the service as ``X-Request-Id``.
    body : bytes
        Request body, forwarded unchanged.
    content_type : str
        Media type of the body.
    """

    request_id: str
    body: bytes
    content_type: str


@dataclass(frozen=True, slots=True)
class CallResponse:
    """Complete response of a plain service."""

    status: int
    body: bytes
    content_type: str
    server: str


class PlainService(ABC):
    """Client of one backend server that runs a plain service."""

    @abstractmethod
    async def call(self, request: CallRequest) -> CallResponse:
        """Run one call and return the complete response.

        Raises
        ------
        StepError
            ``step="service.connect"``, ``"service.draining"`` or
            ``"service.refused"`` with ``may_have_run=False`` if the call was not
            run; ``step="service.answer"`` if the connection broke after a byte was
            sent or the response is shorter than announced.
        """
