"""Writing of responses to callers that may take them slowly."""

import asyncio
import contextlib
import logging

from aiohttp import web

from ..forwarding import CallerResponse, CallerStream
from ..outcomes import StepError
from ..service.held_bytes import Connection, HeldBytes
from ..service.incoming_bodies import LARGE_BYTES

logger = logging.getLogger(__name__)


class ResponseWriter:
    """Writes responses, and counts what is held until callers have taken it.

    Parameters
    ----------
    held : HeldBytes or None
        Bounds what is held; None for no bound.
    """

    def __init__(self, held: HeldBytes | None) -> None:
        self.held = held

    def watch(
        self, request: web.BaseRequest
    ) -> contextlib.AbstractContextManager[Connection]:
        """Watch what the caller of a request takes of its response."""
        if self.held is None or request.transport is None:
            return contextlib.nullcontext(Connection())
        return self.held.watch(request.transport)

    def is_large(self, answer: CallerResponse) -> bool:
        """Return whether an answer should be written by `write_large`."""
        return self.held is not None and len(answer.body) >= LARGE_BYTES

    async def write_large(
        self, request: web.BaseRequest, answer: CallerResponse, closes: bool
    ) -> web.StreamResponse:
        """Write a large answer piece by piece, so that its body is held only once.

        Parameters
        ----------
        closes : bool
            Whether the connection ends after the answer.
        """
        assert self.held is not None
        response = web.StreamResponse(status=answer.status)
        for name, value in answer.headers:
            response.headers.add(name, value)
        response.headers["Content-Length"] = str(len(answer.body))
        if closes:
            response.force_close()
        body = memoryview(answer.body)
        with self.held.hold(len(body)), self.watch(request) as connection:
            connection.finish()
            await response.prepare(request)
            for start in range(0, len(body), LARGE_BYTES):
                piece = body[start : start + LARGE_BYTES]
                connection.writing(len(piece))
                await response.write(piece)
            await response.write_eof()
        return response

    async def write_stream(
        self, request: web.BaseRequest, stream: CallerStream, closes: bool
    ) -> web.StreamResponse:
        """Write a stream; a broken stream ends without the final chunk.

        What a slow caller does not take yet is held for it within the bounds, so that
        the server is not held up.

        Parameters
        ----------
        closes : bool
            Whether the connection ends after the stream.
        """
        response = web.StreamResponse(status=stream.status)
        for name, value in stream.headers:
            response.headers.add(name, value)
        response.enable_chunked_encoding()
        if closes:
            response.force_close()
        with self.watch(request) as connection:
            try:
                await response.prepare(request)
                # Closed immediately if the caller disconnects, so that the backend
                # server stops its work.
                async with contextlib.aclosing(stream.chunks) as chunks:
                    async for chunk in chunks:
                        connection.writing(len(chunk))
                        await response.write(chunk)
                        connection.refresh()
            except StepError as error:
                logger.info("stream ended early", extra={"cause": str(error)})
                if request.transport is not None:
                    request.transport.abort()
                raise asyncio.CancelledError from error
            finally:
                stream.abandon()
            connection.finish()
            await response.write_eof()
        return response
