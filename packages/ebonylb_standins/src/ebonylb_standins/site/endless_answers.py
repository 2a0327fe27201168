"""Backend servers that send bytes without end, until the caller closes."""

import asyncio
from dataclasses import dataclass

from aiohttp import web

from .faulty_answers import ENCODING, make_chunk, make_head
from .http_servers import HttpServer, seal_of

# Segment of the path of requests that get such an answer, and of those that get a large
# one that is whole.
ENDLESS = "endless"
LARGE = "large"
LARGE_BYTES = 1_000_000
BLOCK = "x" * 65_536
# Bytes in the write buffer of a server, which waits for the caller beyond them.
MAX_BUFFERED_BYTES = 262_144
PAUSE_S = 0.002
FULL_PAUSE_S = 0.02


@dataclass(frozen=True)
class EndlessAnswer:
    """Head of an answer, and the block that follows it again and again.

    Attributes
    ----------
    head : str
        ``{}`` stands for the head's first lines, which have the request's id.
    """

    head: str
    block: str = BLOCK
    status: int = 200

    def make_head(self, request_id: str) -> bytes:
        """Return the bytes before the first block."""
        lines = make_head(request_id, self.status)
        return self.head.replace("{}", lines).encode(ENCODING)


ENDLESS_ANSWERS = {
    "body": EndlessAnswer("{}\r\n"),
    "chunks": EndlessAnswer("{}Transfer-Encoding: chunked\r\n\r\n", make_chunk(BLOCK)),
    "chunks of a 500": EndlessAnswer(
        "{}Transfer-Encoding: chunked\r\n\r\n", make_chunk(BLOCK), 500
    ),
    "length": EndlessAnswer("{}Content-Length: 1000000000000\r\n\r\n"),
    "allowed length": EndlessAnswer("{}Content-Length: 33000000\r\n\r\n"),
    "event": EndlessAnswer(
        "{}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x" * 65_536
    ),
    "head": EndlessAnswer("{}", "X-Part: 1\r\n" * 1_000),
    "interim": EndlessAnswer("", "HTTP/1.1 102 Processing\r\n\r\n" * 1_000),
}


@dataclass
class EndlessServer(HttpServer):
    """Backend server with one of these answers to some of its requests.

    Attributes
    ----------
    answer : EndlessAnswer
        Answer to requests with `ENDLESS` in their path.
    """

    answer: EndlessAnswer = ENDLESS_ANSWERS["body"]

    async def handle_request(self, request: web.Request) -> web.StreamResponse:
        """Send the answer, or run the request as a sound server does."""
        request_id = request.headers.get("Ebonylb-Request-Id", "")
        segments = request.path.split("/")
        if LARGE in segments:
            await request.read()
            headers = {
                "Ebonylb-Request-Id": request_id,
                "Ebonylb-Response-Seal": seal_of(request_id),
            }
            return web.Response(body=b"x" * LARGE_BYTES, headers=headers)
        if ENDLESS not in segments:
            return await super().handle_request(request)
        await request.read()
        self.run_counts[request_id] += 1
        transport = request.transport
        transport.write(self.answer.make_head(request_id))
        block = self.answer.block.encode(ENCODING)
        while not transport.is_closing():
            if transport.get_write_buffer_size() < MAX_BUFFERED_BYTES:
                transport.write(block)
                await asyncio.sleep(PAUSE_S)
            else:
                await asyncio.sleep(FULL_PAUSE_S)
        raise asyncio.CancelledError
