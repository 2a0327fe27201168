"""Plain services: one request, one whole answer."""

from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallRequest:
    """One call.

    Parameters
    ----------
    request_id : str
        Passed to the service as ``X-Request-Id``.
    body : bytes
        Request body, passed on unchanged.
    content_type : str
        Media type of the body.
    """

    request_id: str
    body: bytes
    content_type: str


@dataclass(frozen=True, slots=True)
class CallResponse:
    """Whole answer of a plain service."""

    status: int
    body: bytes
    content_type: str
    server: str


class PlainService(ABC):
    """One backend server that runs a plain service."""

    @abstractmethod
    async def call(self, request: CallRequest) -> CallResponse:
        """Run one call and return the whole answer.

        Raises
        ------
        StepError
            ``step="service.connect"``, ``"service.draining"`` or
            ``"service.refused"`` with ``may_have_run=False`` when nothing ran;
            ``step="service.answer"`` when the connection broke after a byte left
            or the answer is shorter than announced.
        """
