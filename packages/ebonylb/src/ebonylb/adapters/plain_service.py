"""HTTP client of plain services."""

import aiohttp
import msgspec
from result import Result

from ..interfaces import CallRequest, CallResponse, PlainService
from ..outcomes import StepError
from .http import (
    NOT_SENT_ERRORS,
    TRANSPORT_ERRORS,
    HttpEndpoint,
    describe_error,
    read_body,
)

# Header with which a service states that it did not run the call, and the reason.
NOT_RUN_HEADER = "X-Not-Run"


class StatusResponse(msgspec.Struct):
    """Response to ``GET /status``."""

    incarnation: str


class HttpPlainService(HttpEndpoint, PlainService):
    """Client of one plain service; see docs/platform_protocols.md."""

    async def call(self, request: CallRequest) -> CallResponse:
        """Run one call and return the complete response.

        aiohttp raises an error for a body shorter than its ``Content-Length``. A
        response without ``Content-Length`` and without chunked framing ends with the
        connection, so that its length cannot be checked; it is an error.

        Raises
        ------
        StepError
            See `PlainService.call`.
        """
        headers = {
            "X-Request-Id": request.request_id,
            "Content-Type": request.content_type,
        }
        try:
            async with self.session.post(
                self.base_url + "/call",
                data=request.body,
                headers=headers,
                timeout=self.build_timeout(self.timeout_ms),
            ) as response:
                body = await read_body(response)
        except TRANSPORT_ERRORS as error:
            if isinstance(error, NOT_SENT_ERRORS):
                raise self.make_transport_error("service.connect", error) from error
            raise StepError(
                "service.answer", self.name, describe_error(error)
            ) from error
        self.check_response(response, body)
        return CallResponse(response.status, body, response.content_type, self.name)

    async def read_incarnation(self) -> Result[str, StepError]:
        """Read the service's incarnation, which changes with each start."""
        response = await self.fetch("service.status", "GET", "/status", StatusResponse)
        return response.map(lambda status: status.incarnation)

    def check_response(self, response: aiohttp.ClientResponse, body: bytes) -> None:
        """Raise `StepError` for a refusal or a response whose length is unknown."""
        cause = response.headers.get(NOT_RUN_HEADER)
        if cause is not None:
            step = "service.draining" if cause == "draining" else "service.refused"
            raise StepError(step, self.name, cause, may_have_run=False)
        chunked = response.headers.get("Transfer-Encoding", "").lower() == "chunked"
        if response.content_length is None and not chunked:
            raise StepError("service.answer", self.name, "answer without a length")
