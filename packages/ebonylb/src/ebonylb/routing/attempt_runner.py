"""Execution of single attempts on backend servers."""

import logging
from abc import ABC, abstractmethod
from contextlib import aclosing

from ..interfaces import (
    CallRequest,
    CallResponse,
    Clock,
    EngineChunk,
    GenerateRequest,
    ModelEngine,
)
from ..outcomes import StepError
from .jobs import Attempt, is_generation, may_be_crash

logger = logging.getLogger(__name__)


class AttemptObserver(ABC):
    """Receives the events of attempts; not called again after an attempt's end."""

    @abstractmethod
    def on_chunk(self, attempt: Attempt, chunk: EngineChunk) -> None:
        """Handle a chunk of generated tokens."""

    @abstractmethod
    def on_complete(self, attempt: Attempt, response: CallResponse | None) -> None:
        """Handle a successful end; `response` is None for generations."""

    @abstractmethod
    def on_error(self, attempt: Attempt, error: StepError, crashed: bool) -> None:
        """Handle a failure, after the strikes of a crash have been recorded."""


async def run_attempt(
    attempt: Attempt, observer: AttemptObserver, clock: Clock
) -> None:
    """Run an attempt and report its result to the observer."""
    try:
        response = None
        if is_generation(attempt.job.work.payload):
            await run_generation(attempt, observer)
        else:
            response = await run_call(attempt, clock)
        attempt.completed = True
        observer.on_complete(attempt, response)
    except StepError as error:
        crashed = may_be_crash(error) and await attempt.slot.check_for_crash()
        observer.on_error(attempt, error, crashed)
    except Exception as error:
        logger.exception("attempt failed in a way that the adapter does not declare")
        cause = StepError("attempt", attempt.slot.name, repr(error))
        observer.on_error(attempt, cause, False)


async def run_generation(attempt: Attempt, observer: AttemptObserver) -> None:
    """Stream a generation, continuing after the tokens of earlier attempts."""
    payload = attempt.job.remaining_payload()
    engine = attempt.slot.client
    if not isinstance(engine, ModelEngine):
        raise StepError(
            "engine.connect",
            attempt.slot.name,
            "is not an engine",
            may_have_run=False,
        )
    request = GenerateRequest(
        attempt.request_id,
        payload.prompt,
        payload.generated,
        payload.max_tokens,
        payload.seed,
    )
    async with aclosing(engine.generate(request)) as chunks:
        async for chunk in chunks:
            observer.on_chunk(attempt, chunk)


async def run_call(attempt: Attempt, clock: Clock) -> CallResponse:
    """Call a plain service and record its service time."""
    service = attempt.slot.client
    if isinstance(service, ModelEngine):
        raise StepError(
            "service.connect",
            attempt.slot.name,
            "is an engine",
            may_have_run=False,
        )
    payload = attempt.job.work.payload
    request = CallRequest(attempt.request_id, payload.body, payload.content_type)
    response = await service.call(request)
    attempt.slot.window.record_gap(clock.monotonic_ms() - attempt.started_ms)
    return response
