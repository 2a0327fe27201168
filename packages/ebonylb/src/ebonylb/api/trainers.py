"""HTTP handlers for trainers: streams of steps and new weight versions."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import aclosing

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..outcomes import RefusedError
from ..steps import Moved, StepDeclaration, StepHolder, StepService, encode_line
from .http_messages import read_body

Authenticate = Callable[[web.Request], str | Awaitable[str]]

WATCH_INTERVAL_S = 0.5
# Time for a trainer to read the rest of an ended stream before its connection is cut.
UNREAD_TIMEOUT_S = 5.0


class VersionPost(BaseModel):
    """New weight version of a trainer; `step` and `session` name its newest stream."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)

    version: int = Field(ge=0, lt=2**53)
    step: int | None = Field(None, ge=0, lt=2**53)
    session: int | None = Field(None, ge=1, lt=2**53)


class TrainerApi:
    """Handlers of ``/v1/steps`` and ``/v1/trainers/{trainer}/version``.

    Parameters
    ----------
    steps : StepService
        Opens the steps of this entry VM.
    authenticate : callable
        Takes a request and returns its party, directly or as an awaitable; raises an
        `aiohttp.web.HTTPException` if the request has no valid token.
    """

    def __init__(self, steps: StepService, authenticate: Authenticate) -> None:
        self.steps = steps
        self.authenticate = authenticate

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of this interface."""
        return [
            web.post("/v1/steps", self.post_step),
            web.post("/v1/trainers/{trainer}/version", self.post_version),
        ]

    async def find_party(self, request: web.Request) -> str:
        """Return the party of a request."""
        party = self.authenticate(request)
        return party if isinstance(party, str) else await party

    async def post_step(self, request: web.Request) -> web.StreamResponse:
        """Open or resume a step and stream its lines."""
        party = await self.find_party(request)
        try:
            declaration = StepDeclaration.model_validate_json(await read_body(request))
        except ValidationError as error:
            return invalid_body_response(error)
        if party != declaration.trainer:
            return not_own_trainer_response(party, declaration.trainer)
        try:
            holder = self.steps.open(declaration)
        except RefusedError as error:
            return refused_response(error)
        try:
            return await self.stream(request, holder)
        finally:
            self.steps.close(holder)

    async def stream(
        self, request: web.Request, holder: StepHolder
    ) -> web.StreamResponse:
        """Write the lines of a holder to the response as they are produced."""
        response = web.StreamResponse(
            headers={
                "Content-Type": "application/x-ndjson",
                "X-Staleness-Bound": str(holder.staleness_bound),
            }
        )
        watch = asyncio.create_task(watch_connection(request, holder))
        try:
            async with aclosing(holder.lines()) as lines:
                await response.prepare(request)
                async for line in lines:
                    # `write` passes the line to the transport before it awaits, which
                    # `StepHolder.lines` requires.
                    await response.write(encode_line(line))
            await response.write_eof()
        except ConnectionResetError:
            pass  # the trainer reconnects and declares the samples that it has
        finally:
            watch.cancel()
        return response

    async def post_version(self, request: web.Request) -> web.Response:
        """Apply a trainer's version; respond once the holder of its step has it."""
        party = await self.find_party(request)
        trainer = request.match_info["trainer"]
        if party != trainer:
            return not_own_trainer_response(party, trainer)
        try:
            post = VersionPost.model_validate_json(await read_body(request))
        except ValidationError as error:
            return invalid_body_response(error)
        try:
            await self.steps.set_version(trainer, post.version, post.step, post.session)
        except RefusedError as error:
            return refused_response(error)
        return web.json_response({"trainer": trainer, "version": post.version})


async def watch_connection(request: web.Request, holder: StepHolder) -> None:
    """Stop a holder whose trainer disconnected; cut a stream that is not read."""
    unread_s = 0.0
    while True:
        await asyncio.sleep(WATCH_INTERVAL_S)
        transport = request.transport
        if transport is None or transport.is_closing():
            holder.stop(Moved("disconnected"))
            return
        if holder.moved is not None and holder.remaining:
            unread_s += WATCH_INTERVAL_S
        if unread_s >= UNREAD_TIMEOUT_S:
            transport.abort()


def refusal_content(
    outcome: str, reason: str, message: str, retry_after_ms: int | None
) -> dict:
    """Return the JSON object of a refusal."""
    return {
        "outcome": outcome,
        "reason": reason,
        "message": message,
        "retry_after_ms": retry_after_ms,
    }


def refused_response(error: RefusedError) -> web.Response:
    """Return the response of a refusal: 409 if it is final, else 503 with a delay."""
    refusal = error.refusal
    headers = {}
    if refusal.retry_after_ms is not None:
        headers["Retry-After"] = str(-(-refusal.retry_after_ms // 1000))
    content = refusal_content(
        refusal.outcome, refusal.reason, refusal.message, refusal.retry_after_ms
    )
    return web.json_response(content, status=503 if headers else 409, headers=headers)


def not_own_trainer_response(party: str, trainer: str) -> web.Response:
    """Return the response to a party that names another trainer than itself."""
    message = f"trainer: {trainer!r} is not valid for this token; valid is {party!r}"
    return web.json_response(
        refusal_content("not_run", "not_own_trainer", message, None), status=403
    )


def invalid_body_response(error: ValidationError) -> web.Response:
    """Return the response to a malformed body, with the problem of each key."""
    problems = []
    for item in error.errors(include_url=False, include_context=False):
        key = ".".join(str(part) for part in item["loc"]) or "(whole body)"
        advice = item["msg"]
        if item["type"] == "extra_forbidden":
            valid = sorted(StepDeclaration.model_fields)
            if error.title == VersionPost.__name__:
                valid = sorted(VersionPost.model_fields)
            advice = f"unknown key; valid keys are {', '.join(valid)}"
        problems.append({"key": key, "valid": advice})
    message = "; ".join(f"{p['key']}: {p['valid']}" for p in problems)
    content = refusal_content("not_run", "declaration_invalid", message, None)
    return web.json_response({**content, "problems": problems}, status=422)
