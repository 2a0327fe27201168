"""HTTP client of model engines, with NDJSON streams."""

from collections.abc import AsyncIterator
from contextlib import aclosing

import aiohttp
import msgspec
from result import Err, Result

from ..interfaces import (
    EngineChunk,
    EngineStatus,
    GenerateRequest,
    LoadOrder,
    ModelEngine,
)
from ..outcomes import DECODING_ERRORS, StepError
from .http import (
    NOT_SENT_ERRORS,
    HttpEndpoint,
    HttpResponse,
    describe_error,
    read_body,
)

# Longer than for other requests, because an order waits for the transfer of weights.
LOAD_TIMEOUT_MS = 60_000


class StreamLine(msgspec.Struct, omit_defaults=True):
    """One line of a stream.

    `id` repeats the request id and `at` is the number of tokens sent before the line,
    so that lines of other requests and repeated or missing lines are detected.
    """

    id: str
    at: int = 0
    text: str = ""
    tokens: int = 0
    version: int = 0
    waiting: bool = False
    end: bool = False


class LoadResponse(msgspec.Struct):
    """Response to an order, with the version that the engine has afterwards."""

    version: int


LINE_DECODER = msgspec.json.Decoder(StreamLine)


class HttpModelEngine(HttpEndpoint, ModelEngine):
    """Client of one engine; see docs/platform_protocols.md.

    The timeout of a stream limits the time between two lines, not the duration of the
    stream: engines send a line at least once a second, also while a request waits.
    """

    def generate(self, request: GenerateRequest) -> AsyncIterator[EngineChunk]:
        """Stream a generation; see `ModelEngine.generate`."""
        return self.stream(request)

    async def stream(self, request: GenerateRequest) -> AsyncIterator[EngineChunk]:
        """Stream a generation; convert transport errors to `StepError`."""
        timeout = aiohttp.ClientTimeout(
            total=None,
            connect=self.timeout_ms / 1000,
            sock_read=self.timeout_ms / 1000,
        )
        try:
            async with self.session.post(
                self.base_url + "/generate",
                data=msgspec.json.encode(request),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
            ) as response:
                if response.status != 200:
                    complete = HttpResponse(response.status, await read_body(response))
                    raise self.make_response_error(complete)
                async with aclosing(
                    self.read_lines(request.request_id, response)
                ) as chunks:
                    async for chunk in chunks:
                        yield chunk
        except (
            aiohttp.ClientError,
            *DECODING_ERRORS,
            OSError,
            ValueError,  # aiohttp's error for a line over its buffer limit
        ) as error:
            if isinstance(error, NOT_SENT_ERRORS):
                raise self.make_transport_error("engine.connect", error) from error
            raise StepError(
                "engine.stream", self.name, describe_error(error)
            ) from error

    async def read_lines(
        self, request_id: str, response: aiohttp.ClientResponse
    ) -> AsyncIterator[EngineChunk]:
        """Yield the chunks of a stream and check that it is complete.

        The body is read to its end after the end marker, because the connection can
        only be reused then.
        """
        received = 0
        ended = False
        try:
            async for raw in response.content:
                line = LINE_DECODER.decode(raw)
                if line.id != request_id:
                    raise self.make_stream_error(f"line of another request, {line.id}")
                if ended:
                    raise self.make_stream_error("line after the end marker")
                if line.waiting:
                    continue
                if line.at != received:
                    raise self.make_stream_error(
                        f"token {line.at} came in place of {received}"
                    )
                ended = line.end
                received += line.tokens
                if not ended:
                    yield EngineChunk(line.text, line.tokens, line.version)
        except (aiohttp.ClientError, OSError):
            if not ended:
                raise
        if not ended:
            raise self.make_stream_error("stream ended without the end marker")

    def make_stream_error(self, message: str) -> StepError:
        """Return the error for an invalid stream, whose request may have run."""
        return StepError("engine.stream", self.name, message)

    def make_response_error(self, response: HttpResponse) -> StepError:
        """Return the error for a response without a stream.

        Engines respond with 4xx and 503 only before they admit a request; after any
        other status the request may have run.
        """
        text = response.body[:200].decode("utf-8", "replace")
        message = f"HTTP status {response.status}: {text}"
        if response.status == 503 and '"draining"' in text:
            return StepError("engine.draining", self.name, message, False)
        if 400 <= response.status < 500 or response.status == 503:
            return StepError("engine.refused", self.name, message, False)
        return StepError("engine.stream", self.name, message)

    async def load(self, order: LoadOrder) -> Result[int, StepError]:
        """Order a weight version; return the version the engine has afterwards."""
        response = await self.send_request(
            "engine.load",
            "POST",
            "/load",
            timeout_ms=LOAD_TIMEOUT_MS,
            data=msgspec.json.encode(order),
            headers={"Content-Type": "application/json"},
        )
        if isinstance(response, Err):
            return response
        if response.ok_value.status != 200:
            refused = self.make_response_error(response.ok_value)
            step = "engine.load" if refused.may_have_run else refused.step
            return Err(
                StepError(step, self.name, refused.message, refused.may_have_run)
            )
        loaded = self.decode("engine.load", response.ok_value, LoadResponse)
        return loaded.map(lambda decoded: decoded.version)

    async def status(self) -> Result[EngineStatus, StepError]:
        """Read the engine's status."""
        return await self.fetch("engine.status", "GET", "/status", EngineStatus)
