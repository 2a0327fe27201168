"""Deadline of a single request, at which it gets a refusal."""

import asyncio
import logging
from abc import ABC, abstractmethod

from ..interfaces import Clock
from ..outcomes import Outcome
from .messages import CallerResponse, CallerStream, make_refusal
from .request_state import RequestState
from .strikes import CrashStrikes

logger = logging.getLogger(__name__)

# Time needed to send the response to the caller before the deadline.
RESPONSE_MARGIN_MS = 15.0
TIMEOUT_RETRY_AFTER_MS = 300


class Runs(ABC):
    """Runs requests, without regard to their deadlines."""

    @abstractmethod
    async def run(self, state: RequestState) -> CallerResponse | CallerStream:
        """Run a request and return its final response, which may be a refusal."""


def refuse_crashing_request() -> CallerResponse:
    """Return the refusal of a request that crashes the servers that run it."""
    return make_refusal(
        Outcome.GIVEN_UP, "crashes_servers", "servers crashed while running it"
    )


async def run_within_deadline(
    runs: Runs, strikes: CrashStrikes, clock: Clock, state: RequestState
) -> CallerResponse | CallerStream:
    """Run a request within its deadline, unless it is known to crash servers."""
    if strikes.is_blocked(state.fingerprint, state.route.kind):
        return refuse_crashing_request()
    remaining_s = (state.deadline_at_ms - clock.monotonic_ms()) / 1000
    try:
        async with asyncio.timeout(max(0.0, remaining_s)):
            return await runs.run(state)
    except TimeoutError:
        outcome = Outcome.MAY_HAVE_RUN if state.may_have_run else Outcome.NOT_RUN
        return make_refusal(
            outcome, "timeout", "the time limit was reached", TIMEOUT_RETRY_AFTER_MS
        )
    except Exception:
        # A fault of this program costs this request, and not its caller's connection.
        logger.exception(
            "request failed unexpectedly",
            extra={"request_id": state.request.request_id, "servers": state.sent_to},
        )
        outcome = Outcome.MAY_HAVE_RUN if state.may_have_run else Outcome.NOT_RUN
        return make_refusal(
            outcome,
            "internal_error",
            "this entry VM failed to run the request",
            TIMEOUT_RETRY_AFTER_MS,
        )
