"""HTTP handlers for trainers."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import aclosing

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..outcomes import RefusedError
from ..steps import Moved, StepDeclaration, StepHolder, StepService, encode_line
from .answers import read_body

Authenticate = Callable[[web.Request], str | Awaitable[str]]

WATCH_INTERVAL_S = 0.5
# Time for a trainer to read the rest of a stream that has been ended.
UNREAD_TIMEOUT_S = 5.0


class VersionPost(BaseModel):
    """A trainer's new version; `step` and `session` name its newest stream."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)

    version: int = Field(ge=0, lt=2**53)
    step: int | None = Field(None, ge=0, lt=2**53)
    session: int | None = Field(None, ge=1, lt=2**53)


class TrainerApi:
    """Handlers of ``/v1/steps`` and ``/v1/trainers/{trainer}/version``.

    Parameters
    ----------
    steps : StepService
        Steps of this entry VM.
    authenticate : callable
        Takes the request and returns its party, directly or as a coroutine;
        raises an `aiohttp.web.HTTPException` for a request without one.
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
        """Write a holder's lines as they come."""
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
                    # Reaches the transport before anything else runs; see `lines`.
                    await response.write(encode_line(line))
            await response.write_eof()
        except ConnectionResetError:
            pass  # the trainer reconnects with what it has
        finally:
            watch.cancel()
        return response

    async def post_version(self, request: web.Request) -> web.Response:
        """Apply a trainer's version; answered once its holder has it."""
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
    """End the work of a trainer that left or that no longer reads."""
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
    """Return the body of a refusal."""
    return {
        "outcome": outcome,
        "reason": reason,
        "message": message,
        "retry_after_ms": retry_after_ms,
    }


def refused_response(error: RefusedError) -> web.Response:
    """Answer with a refusal: 409 when it is final, otherwise 503 with a time."""
    refusal = error.refusal
    headers = {}
    if refusal.retry_after_ms is not None:
        headers["Retry-After"] = str(-(-refusal.retry_after_ms // 1000))
    content = refusal_content(
        refusal.outcome, refusal.reason, refusal.message, refusal.retry_after_ms
    )
    return web.json_response(content, status=503 if headers else 409, headers=headers)


def not_own_trainer_response(party: str, trainer: str) -> web.Response:
    """Answer a party that reaches for another trainer's step."""
    message = f"trainer: {trainer!r} is not valid for this token; valid is {party!r}"
    return web.json_response(
        refusal_content("not_run", "not_own_trainer", message, None), status=403
    )


def invalid_body_response(error: ValidationError) -> web.Response:
    """Answer a malformed body with each key and what is valid for it."""
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
