"""Backend servers that answer with other bytes than a whole response.

Each answer is a sequence of parts that are sent as they are, with a pause before each
further one; then the connection is closed.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web

from .http_servers import HttpServer, seal_of

PAUSE_S = 0.1
# Of the answers, in which each character is one byte.
ENCODING = "latin-1"
# No part of a sound response has this text.
ERROR_TEXT = "Internal Server Error"
ERROR_HEAD = f"HTTP/1.1 500 {ERROR_TEXT}\r\nContent-Length: 0\r\n\r\n"

Answer = Callable[[str, str], list[str]]


def make_head(
    request_id: str, status: int | str = 200, seal: bool = True, **fields
) -> str:
    """Return the lines of a head, without the empty line at its end.

    Underscores in the names of `fields` are sent as hyphens.
    """
    lines = [f"HTTP/1.1 {status} Status", f"Ebonylb-Request-Id: {request_id}"]
    if seal:
        lines.append(f"Ebonylb-Response-Seal: {seal_of(request_id)}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return "".join(f"{line}\r\n" for line in lines)


def make_stream_head(request_id: str) -> str:
    """Return the whole head of an event stream in chunks."""
    fields = {"Content_Type": "text/event-stream", "Transfer_Encoding": "chunked"}
    return make_head(request_id, Ebonylb_Weight_Versions=1, **fields) + "\r\n"


def make_chunk(text: str) -> str:
    """Return one chunk of a body; an empty one ends it."""
    return f"{len(text):x}\r\n{text}\r\n"


def make_error(status: int, seal: bool, content_type: str = "text/plain") -> Answer:
    """Return a complete answer whose body is the text of an error."""

    def answer(request_id: str, _: str) -> list[str]:
        fields = {"Content_Type": content_type, "Content_Length": len(ERROR_TEXT)}
        return [make_head(request_id, status, seal, **fields) + f"\r\n{ERROR_TEXT}"]

    return answer


def make_stream_of(*pieces: str) -> Answer:
    """Return a complete stream with these pieces; ``{}`` stands for the next event."""

    def answer(request_id: str, event: str) -> list[str]:
        chunks = [make_chunk(piece.replace("{}", event)) for piece in pieces]
        return ["".join([make_stream_head(request_id), *chunks, make_chunk("")])]

    return answer


def make_plain(
    *lines: str, status: int | str = 200, length_name: str = "Content-Length"
) -> Answer:
    """Return a complete answer with the sound body.

    Parameters
    ----------
    *lines : str
        Further lines of the head.
    length_name : str
        Name of the field with the length of the body.
    """

    def answer(request_id: str, body: str) -> list[str]:
        head = make_head(request_id, status, **{length_name: len(body)})
        return [head + "".join(f"{line}\r\n" for line in lines) + f"\r\n{body}"]

    return answer


def make_chunked(field: str) -> Answer:
    """Return a complete answer with the sound body in one chunk.

    Parameters
    ----------
    field : str
        Line of the head that says so.
    """

    def answer(request_id: str, body: str) -> list[str]:
        chunks = make_chunk(body) + make_chunk("")
        return [f"{make_head(request_id)}{field}\r\n\r\n{chunks}"]

    return answer


# Sound but for their heads, which are none by the protocol's grammar.
MALFORMED_HEADS: dict[str, Answer] = {
    "status 000": make_plain(status="000"),
    "status 600": make_plain(status=600),
    "blank after a name": make_plain("X-Part : 1"),
    "blank after the length": make_plain(length_name="Content-Length "),
    "blank after the coding": make_chunked("Transfer-Encoding : chunked"),
    "blank before a name": make_plain(" X-Part: 1"),
    "blank in a name": make_plain("X Part: 1"),
    "control byte in a name": make_plain("X\x01Part: 1"),
    "control byte in a value": make_plain("X-Part: a\x01b"),
}
# Sound answers with heads that the protocol's grammar allows and few servers send.
SOUND_HEADS: dict[str, Answer] = {
    "status 299": make_plain(status=299),
    "UTF-8 in a value": make_plain("X-Part: \xc3\xa9"),
    "Latin-1 in a value": make_plain("X-Part: \xe9"),
    "all characters of a token": make_plain("!#$%&'*+-.^_`|~0zA: 1"),
    "tab in a value": make_plain("X-Part: a\tb"),
    "chunks": make_chunked("Transfer-Encoding: Chunked"),
}
# Answers of a server that should go on with a stream, none of which does. They get the
# request's id and the next event of the stream.
BROKEN_CONTINUATIONS: dict[str, Answer] = {
    **MALFORMED_HEADS,
    "sealed 500": make_error(500, seal=True),
    "500": make_error(500, seal=False),
    "503 that ran": make_error(503, seal=True),
    "400": make_error(400, seal=True),
    "sealed text": make_error(200, seal=True),
    "text": make_error(200, seal=False),
    "error as a stream": make_error(200, seal=True, content_type="text/event-stream"),
    "error and the end": make_stream_of(f"{ERROR_TEXT}\n\n"),
    "error and an event": make_stream_of(f"{ERROR_TEXT}\n", "{}"),
    "error head and an event": make_stream_of(ERROR_HEAD, "{}"),
    "error head between chunks": lambda request_id, event: [
        make_stream_head(request_id),
        ERROR_HEAD,
    ],
    "events without a head": lambda request_id, event: [event],
    "events before a head": lambda request_id, event: [
        event + make_stream_head(request_id)
    ],
    "half a head": lambda request_id, event: [make_head(request_id)],
    "half a head and a pause": lambda request_id, event: [make_head(request_id), ""],
}
# Answers of a server that runs a plain request, none of which is whole. The second
# argument is the body that a sound server sends.
BROKEN_ANSWERS: dict[str, Answer] = {
    **MALFORMED_HEADS,
    "half a head": lambda request_id, body: [make_head(request_id)],
    "half a head with a length": lambda request_id, body: [
        make_head(request_id, Content_Length=0)
    ],
    "half a line of a head": lambda request_id, body: [
        make_head(request_id) + "Content-Le"
    ],
    "half a head and a pause": lambda request_id, body: [
        make_head(request_id, Content_Length=len(body)),
        "",
    ],
    "half a body": lambda request_id, body: [
        make_head(request_id, Content_Length=len(body)) + f"\r\n{body[:-1]}"
    ],
    "error head between chunks": lambda request_id, body: [
        make_head(request_id, Transfer_Encoding="chunked") + "\r\n" + make_chunk(body),
        ERROR_HEAD,
    ],
}


def pause_in_head(request_id: str, body: str) -> list[str]:
    """Return a sound answer whose head ends after a pause."""
    return [make_head(request_id, Content_Length=len(body)), f"\r\n{body}"]


@dataclass
class FaultyServer(HttpServer):
    """Backend server with one of these answers.

    Attributes
    ----------
    answer : callable or None
        Answer to plain requests and to requests to go on with a stream; None for sound
        ones. With an answer, streams break off in the middle.
    answers_new_streams : bool
        Whether the answer is also that to new streams.
    """

    answer: Answer | None = None
    answers_new_streams: bool = False

    async def handle_request(self, request: web.Request) -> web.StreamResponse:
        """Send the answer, or run the request as a sound server does."""
        is_taken_up = "Last-Event-Id" in request.headers
        is_new_stream = bool(self.models) and not is_taken_up
        if self.answer is None or (is_new_stream and not self.answers_new_streams):
            self.fault = "" if self.answer is None else "reset"
            return await super().handle_request(request)
        request_id = request.headers.get("Ebonylb-Request-Id", "")
        body = await request.read()
        self.run_counts[request_id] += 1
        sound_body = f"{request_id}:{body.decode(ENCODING)}"
        if is_taken_up:
            number = int(request.headers["Last-Event-Id"]) + 1
            sound_body = f"id: {number}\ndata: {request_id}/{number}\n\n"
        first, *others = self.answer(request_id, sound_body)
        request.transport.write(first.encode(ENCODING))
        for part in others:
            await asyncio.sleep(PAUSE_S)
            request.transport.write(part.encode(ENCODING))
        request.transport.close()
        raise asyncio.CancelledError
