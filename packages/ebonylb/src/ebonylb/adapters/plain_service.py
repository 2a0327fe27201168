"""Plain services over HTTP."""

import aiohttp
import msgspec
from result import Result

from ..edges import CallRequest, CallResponse, PlainService
from ..outcomes import StepError
from .http import NOT_SENT, HttpEndpoint, describe

# Header with which a service states that the call was not run, and why.
NOT_RUN_HEADER = "X-Not-Run"


class StatusAnswer(msgspec.Struct):
    """Answer to ``GET /status``."""

    incarnation: str


class HttpPlainService(HttpEndpoint, PlainService):
    """Client of one plain service; see docs/platform_protocols.md."""

    async def call(self, request: CallRequest) -> CallResponse:
        """Run one call and return the whole answer.

        A body shorter than its ``Content-Length`` is an error of aiohttp's. An
        answer without ``Content-Length`` or chunked framing ends with the
        connection, so that its length cannot be checked; it is refused.

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
                timeout=self.limits(self.timeout_ms),
            ) as answer:
                body = await answer.read()
        except (aiohttp.ClientError, OSError) as error:
            if isinstance(error, NOT_SENT):
                raise self.failure("service.connect", error) from error
            raise StepError("service.answer", self.name, describe(error)) from error
        self.check(answer, body)
        return CallResponse(answer.status, body, answer.content_type, self.name)

    async def incarnation(self) -> Result[str, StepError]:
        """Read the service's incarnation, which changes with each of its starts."""
        answer = await self.ask("service.status", "GET", "/status", StatusAnswer)
        return answer.map(lambda status: status.incarnation)

    def check(self, answer: aiohttp.ClientResponse, body: bytes) -> None:
        """Raise for an answer that states a refusal or has no checkable length."""
        cause = answer.headers.get(NOT_RUN_HEADER)
        if cause is not None:
            step = "service.draining" if cause == "draining" else "service.refused"
            raise StepError(step, self.name, cause, may_have_run=False)
        chunked = answer.headers.get("Transfer-Encoding", "").lower() == "chunked"
        if answer.content_length is None and not chunked:
            raise StepError("service.answer", self.name, "answer without a length")
