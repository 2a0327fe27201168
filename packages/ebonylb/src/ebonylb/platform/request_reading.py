"""Reading of callers' requests within the limits of their bodies."""

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.web_exceptions import HTTPRequestEntityTooLarge

from ..adapters.http_server import CallerHttpRequest
from ..service.incoming_bodies import NoRoomError, UnsizedUpload

# Maximum size of a body; the limit in the configuration never exceeds it.
MAX_BODY_BYTES = 33_554_432
# The body, and its copy in the write buffer of a server that reads it slowly.
COPIES_OF_BODY = 2


def make_request(
    message: Any,
    payload: Any,
    protocol: Any,
    writer: Any,
    task: Any,
    max_bytes: int = MAX_BODY_BYTES,
) -> web.BaseRequest:
    """Return an aiohttp request that accepts bodies of up to `max_bytes`."""
    loop = asyncio.get_running_loop()
    return CallerHttpRequest(
        message,
        payload,
        protocol,
        writer,
        task,
        loop,
        client_max_size=max_bytes,
    )


async def read_counted(request: web.BaseRequest, upload: UnsizedUpload) -> bytes:
    """Read the body of a request, and count it when it arrives.

    Raises
    ------
    HTTPRequestEntityTooLarge
        It is larger than the request may be.
    NoRoomError
        Too much is held for others.
    """
    chunks, size = [], 0
    async for chunk in request.content.iter_any():
        chunks.append(chunk)
        size += len(chunk)
        if size > request.client_max_size:
            raise HTTPRequestEntityTooLarge(request.client_max_size, size)
        if not await upload.grow(COPIES_OF_BODY * size):
            raise NoRoomError("no room for the rest of the body")
    return b"".join(chunks)
