"""HTTP handlers for desks and kiosks: generations, calls and idempotency keys."""

import json
from contextlib import aclosing
from dataclasses import dataclass
from typing import Any, TypeVar

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..calls import CallService, KeyIssuer
from ..outcomes import RefusedError
from ..routing import CallWork, Chunk, Executor, GenerateWork, Work
from ..settings import Limits
from .auth import Authenticator
from .http_messages import (
    error_response,
    read_body,
    read_request_id,
    refusal_body,
    refusal_response,
)

MAX_KEYS = 1_000
MAX_DEADLINE_DIGITS = 9  # 11 days; longer numbers fail in arithmetic or parsing

Body = TypeVar("Body", bound=BaseModel)


class GenerateBody(BaseModel):
    """Body of ``POST /v1/generate``."""

    model_config = ConfigDict(extra="forbid")

    service: str
    prompt: str
    max_tokens: int = Field(256, ge=1, le=1_000_000)
    seed: int = 0
    stream: bool = False
    group: str = ""


class KeysBody(BaseModel):
    """Body of ``POST /v1/keys``."""

    model_config = ConfigDict(extra="forbid")

    count: int = Field(1, ge=1, le=MAX_KEYS)


@dataclass(slots=True)
class GenerationResponse:
    """Response assembled from chunks, with the weight versions that produced it."""

    text: str
    tokens: int
    segments: list[dict[str, Any]]

    def add(self, chunk: Chunk) -> None:
        """Append a chunk; adjacent chunks of one version and server share a segment."""
        self.text += chunk.text
        self.tokens += chunk.tokens
        last = self.segments[-1] if self.segments else None
        if last and (last["version"], last["server"]) == (chunk.version, chunk.server):
            last["tokens"] += chunk.tokens
            return
        self.segments.append(
            {
                "version": chunk.version,
                "tokens": chunk.tokens,
                "server": chunk.server,
            }
        )


class CallerApi:
    """Handlers for callers.

    Parameters
    ----------
    executor : Executor
        Runs generations and idempotent calls.
    calls : CallService
        Runs calls that must not be repeated.
    issuer : KeyIssuer
        Issues idempotency keys of this entry VM.
    authenticator : Authenticator
        Identifies the party of a request.
    limits : Limits
        Default deadline of requests.
    """

    def __init__(
        self,
        executor: Executor,
        calls: CallService,
        issuer: KeyIssuer,
        authenticator: Authenticator,
        limits: Limits,
    ) -> None:
        self.executor = executor
        self.calls = calls
        self.issuer = issuer
        self.authenticator = authenticator
        self.limits = limits

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of this interface."""
        return [
            web.post("/v1/generate", self.generate),
            web.post("/v1/call/{service}", self.call),
            web.post("/v1/keys", self.issue_keys),
        ]

    async def generate(self, request: web.Request) -> web.StreamResponse:
        """Run a generation; respond with JSON, or stream NDJSON or SSE."""
        request_id = read_request_id(request)
        party = self.authenticator.find_party(request)
        body = parse_body(GenerateBody, await read_body(request))
        work = Work(
            request_id=request_id,
            party=party,
            service=body.service,
            payload=GenerateWork(body.prompt, body.max_tokens, body.seed),
            deadline_ms=self.read_deadline_ms(request),
            group=f"{party}/{body.group}" if body.group else "",
        )
        if body.stream:
            return await self.stream(request, work)
        generation = GenerationResponse("", 0, [])
        try:
            async with aclosing(self.executor.generate(work)) as chunks:
                async for chunk in chunks:
                    generation.add(chunk)
        except RefusedError as error:
            return refusal_response(error.refusal, request_id)
        return web.json_response(
            {
                "request_id": request_id,
                "text": generation.text,
                "tokens": generation.tokens,
                "segments": generation.segments,
            },
            headers={"X-Request-Id": request_id},
        )

    async def stream(self, request: web.Request, work: Work) -> web.StreamResponse:
        """Stream a generation; a refusal before the first chunk is a plain response."""
        use_event_stream = "text/event-stream" in request.headers.get("Accept", "")
        response = web.StreamResponse(headers={"X-Request-Id": work.request_id})
        response.content_type = (
            "text/event-stream" if use_event_stream else "application/x-ndjson"
        )
        generation = GenerationResponse("", 0, [])

        async def send(item: dict[str, Any]) -> None:
            if not response.prepared:
                await response.prepare(request)
            line = json.dumps(item, ensure_ascii=False)
            await response.write(
                f"data: {line}\n\n".encode()
                if use_event_stream
                else f"{line}\n".encode()
            )

        try:
            async with aclosing(self.executor.generate(work)) as chunks:
                async for chunk in chunks:
                    generation.add(chunk)
                    await send(
                        {
                            "type": "chunk",
                            "text": chunk.text,
                            "tokens": chunk.tokens,
                            "version": chunk.version,
                        }
                    )
        except RefusedError as error:
            if not response.prepared:
                return refusal_response(error.refusal, work.request_id)
            await send(
                {"type": "refused"} | refusal_body(error.refusal, work.request_id)
            )
        else:
            await send(
                {
                    "type": "end",
                    "tokens": generation.tokens,
                    "segments": generation.segments,
                }
            )
        await response.write_eof()
        return response

    async def call(self, request: web.Request) -> web.StreamResponse:
        """Run a call of a plain service.

        A call with ``X-Idempotent: true`` may be repeated. Any other call runs at most
        once, and an ``Idempotency-Key`` lets the caller request its result again.
        """
        request_id = read_request_id(request)
        party = self.authenticator.find_party(request)
        service = request.match_info["service"]
        body = await read_body(request)
        content_type = request.headers.get("Content-Type", "application/octet-stream")
        deadline_ms = self.read_deadline_ms(request)
        try:
            if request.headers.get("X-Idempotent", "").lower() == "true":
                response = await self.executor.call(
                    Work(
                        request_id=request_id,
                        party=party,
                        service=service,
                        payload=CallWork(body, content_type),
                        deadline_ms=deadline_ms,
                    )
                )
            else:
                response = await self.calls.run(
                    request_id,
                    party,
                    service,
                    request.headers.get("Idempotency-Key"),
                    body,
                    content_type,
                    deadline_ms,
                )
        except RefusedError as error:
            return refusal_response(error.refusal, request_id)
        return web.Response(
            status=response.status,
            body=response.body,
            headers={
                "X-Request-Id": request_id,
                "Content-Type": response.content_type,
                "X-Backend-Server": response.server,
            },
        )

    async def issue_keys(self, request: web.Request) -> web.Response:
        """Issue idempotency keys that only the requesting party can use."""
        party = self.authenticator.find_party(request)
        raw = await read_body(request)
        count = parse_body(KeysBody, raw or b"{}").count
        return web.json_response(
            {"keys": [self.issuer.issue(party) for _ in range(count)]}
        )

    def read_deadline_ms(self, request: web.Request) -> float:
        """Return the remaining time that the caller sent, or the default deadline.

        Raises
        ------
        aiohttp.web.HTTPBadRequest
            The header is not a positive whole number of at most
            `MAX_DEADLINE_DIGITS` digits.
        """
        header = request.headers.get("X-Deadline-Ms")
        if header is None:
            return self.limits.default_deadline_ms
        is_valid = (
            header.isascii() and header.isdigit() and len(header) <= MAX_DEADLINE_DIGITS
        )
        if not is_valid or int(header) == 0:
            raise error_response(
                web.HTTPBadRequest,
                "bad_deadline",
                "X-Deadline-Ms takes a positive whole number of milliseconds with at "
                f"most {MAX_DEADLINE_DIGITS} digits",
            )
        return float(header)


def parse_body(model: type[Body], raw: bytes) -> Body:
    """Parse and validate a JSON body.

    Raises
    ------
    aiohttp.web.HTTPBadRequest
        The body is malformed; the message names each invalid key and the cause.
    """
    try:
        return model.model_validate_json(raw)
    except ValidationError as error:
        problems = "; ".join(
            f"{'.'.join(map(str, item['loc'])) or 'body'}: {item['msg']}"
            for item in error.errors()
        )
        raise error_response(web.HTTPBadRequest, "bad_body", problems) from None
