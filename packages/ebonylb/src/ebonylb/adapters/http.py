"""Base class of the HTTP adapters."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import aiohttp
import msgspec
from result import Err, Ok, Result

from ..outcomes import DECODING_ERRORS, StepError

Model = TypeVar("Model")

# Errors raised before a connection exists, so that no byte of the request was sent. The
# last one stands for a port out of range.
NOT_SENT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    OverflowError,
)
TRANSPORT_ERRORS = (aiohttp.ClientError, OSError, ValueError, OverflowError)

# A response with a larger body is no response. The limit is that of callers' requests.
MAX_BODY_BYTES = 33_554_432

# Statuses with which the platform states that it did not run the request.
NOT_RUN_STATUSES = frozenset({429, 503})


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Complete response to an HTTP request."""

    status: int
    body: bytes


async def read_body(
    response: aiohttp.ClientResponse,
    max_bytes: int = MAX_BODY_BYTES,
    wait_to_read_on: Callable[[int], Awaitable[None]] | None = None,
) -> bytes:
    """Read a complete body; raise `ValueError` if it is larger than `max_bytes`.

    Parameters
    ----------
    wait_to_read_on : callable or None
        Called with the number of bytes read so far, before more are read.
    """
    if (response.content_length or 0) > max_bytes:
        raise ValueError(f"body of more than {max_bytes} bytes")
    chunks, size = [], 0
    async for chunk in response.content.iter_any():
        chunks.append(chunk)
        size += len(chunk)
        if size > max_bytes:
            raise ValueError(f"body of more than {max_bytes} bytes")
        if wait_to_read_on is not None:
            await wait_to_read_on(size)
    return b"".join(chunks)


class HttpEndpoint:
    """Base class of the HTTP adapters.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Owned and closed by the caller.
    base_url : str
        URL to which the paths of the protocol are appended.
    timeout_ms : float
        Timeout of one request, including the connect.
    name : str
        Name of the server in errors and responses; by default its address.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        timeout_ms: float,
        name: str = "",
    ) -> None:
        self.session = session
        self.base_url = base_url.rstrip("/")
        self.timeout_ms = timeout_ms
        self.name = name or self.base_url.split("://", 1)[-1].split("/", 1)[0]

    def build_timeout(self, timeout_ms: float) -> aiohttp.ClientTimeout:
        """Return the timeouts of one request whose response is read completely.

        The connect timeout is half of the total timeout. Otherwise a connect that is
        still in progress at the total timeout could not be distinguished from a
        request without a response.
        """
        return aiohttp.ClientTimeout(total=timeout_ms / 1000, connect=timeout_ms / 2000)

    async def send_request(
        self,
        step: str,
        method: str,
        path: str,
        timeout_ms: float | None = None,
        **options: object,
    ) -> Result[HttpResponse, StepError]:
        """Send a request and read its complete response."""
        try:
            async with self.session.request(
                method,
                self.base_url + path,
                timeout=self.build_timeout(timeout_ms or self.timeout_ms),
                **options,
            ) as response:
                return Ok(HttpResponse(response.status, await read_body(response)))
        except TRANSPORT_ERRORS as error:
            return Err(self.make_transport_error(step, error))

    def make_transport_error(self, step: str, error: Exception) -> StepError:
        """Return the `StepError` for a transport error."""
        return StepError(
            step,
            self.name,
            describe_error(error),
            not isinstance(error, NOT_SENT_ERRORS),
        )

    def make_status_error(self, step: str, response: HttpResponse) -> StepError:
        """Return the error for a response with an unexpected status."""
        text = response.body[:200].decode("utf-8", "replace")
        return StepError(
            step,
            self.name,
            f"HTTP status {response.status}: {text}",
            response.status not in NOT_RUN_STATUSES,
        )

    def decode(
        self, step: str, response: HttpResponse, model: type[Model]
    ) -> Result[Model, StepError]:
        """Decode the body of a response; any status except 200 is an error."""
        if response.status != 200:
            return Err(self.make_status_error(step, response))
        try:
            return Ok(msgspec.json.decode(response.body, type=model))
        except DECODING_ERRORS as error:
            return Err(StepError(step, self.name, f"malformed answer: {error}"))

    async def fetch(
        self, step: str, method: str, path: str, model: type[Model], **options: object
    ) -> Result[Model, StepError]:
        """Send a request and return its decoded response."""
        response = await self.send_request(step, method, path, **options)
        if isinstance(response, Err):
            return response
        return self.decode(step, response.ok_value, model)


def describe_error(error: Exception) -> str:
    """Return the text of an error, or its class name for one without, like timeouts."""
    return str(error) or type(error).__name__
