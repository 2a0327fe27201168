"""HTTP helpers: request ids, request bodies, error responses and refusals."""

import asyncio
import json
import math
import re
from collections.abc import Callable

from aiohttp import web

from ..outcomes import Outcome, Refusal, new_request_id

# Set by the server from `limits.header_timeout_ms`.
BODY_TIMEOUT_MS = web.AppKey("body_timeout_ms", float)
DEFAULT_BODY_TIMEOUT_MS = 10_000.0

REQUEST_ID = re.compile(r"[A-Za-z0-9_-]{1,64}")

STATUS_BY_REASON = {
    "key_reused": 422,
    "overloaded": 429,
    "unknown_service": 404,
    "no_share": 403,
    "deadline": 504,
    "not_ready": 503,
}
STATUS_BY_OUTCOME = {
    Outcome.NOT_RUN: 503,
    Outcome.MAY_HAVE_RUN: 502,
    Outcome.GIVEN_UP: 500,
}


def read_request_id(request: web.Request) -> str:
    """Return the caller's request id, or a new one if the request has none.

    Raises
    ------
    aiohttp.web.HTTPBadRequest
        The id is empty, longer than 64 characters, or has characters other than
        letters, digits, ``-`` and ``_``.
    """
    header = request.headers.get("X-Request-Id")
    if header is None:
        return new_request_id()
    if REQUEST_ID.fullmatch(header) is None:
        raise error_response(
            web.HTTPBadRequest,
            "bad_request_id",
            "X-Request-Id takes 1 to 64 letters, digits, '-' and '_'",
        )
    return header


def error_response(
    error_type: Callable[..., web.HTTPException], reason: str, message: str
) -> web.HTTPException:
    """Return an error response for a request that was refused before any work."""
    return error_type(
        text=json.dumps({"outcome": "not_run", "reason": reason, "message": message}),
        content_type="application/json",
    )


async def read_body(request: web.Request) -> bytes:
    """Read the complete body within the limits of time and size.

    Raises
    ------
    aiohttp.web.HTTPRequestTimeout
        The body did not arrive before the timeout.
    aiohttp.web.HTTPRequestEntityTooLarge
        The body is larger than the settings allow.
    """
    timeout_ms = request.app.get(BODY_TIMEOUT_MS, DEFAULT_BODY_TIMEOUT_MS)
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            return await request.read()
    except TimeoutError:
        raise error_response(
            web.HTTPRequestTimeout, "slow_body", "the body did not arrive in time"
        ) from None
    except web.HTTPRequestEntityTooLarge:
        limit = request.client_max_size
        raise error_response(
            lambda **form: web.HTTPRequestEntityTooLarge(limit, limit + 1, **form),
            "body_too_large",
            f"a body of at most {limit} bytes is valid",
        ) from None


def refusal_body(refusal: Refusal, request_id: str) -> dict[str, object]:
    """Return the JSON object of a refusal."""
    return {
        "outcome": str(refusal.outcome),
        "reason": refusal.reason,
        "message": refusal.message,
        "retry_after_ms": refusal.retry_after_ms,
        "request_id": request_id,
    }


def refusal_response(refusal: Refusal, request_id: str) -> web.Response:
    """Return the HTTP response of a refusal; ``Retry-After`` is in whole seconds."""
    status = STATUS_BY_REASON.get(refusal.reason, STATUS_BY_OUTCOME[refusal.outcome])
    headers = {"X-Request-Id": request_id}
    if refusal.retry_after_ms is not None:
        headers["Retry-After"] = str(math.ceil(refusal.retry_after_ms / 1000))
    return web.json_response(
        refusal_body(refusal, request_id), status=status, headers=headers
    )
