"""Admission of requests: refusal while not ready, and requests in flight."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from ..outcomes import Outcome, Refusal
from .http_messages import read_request_id, refusal_response

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

WORK_PATH_PREFIX = "/v1/"
NOT_READY_RETRY_AFTER_MS = 1_000
MAX_LISTED_REQUESTS = 5  # in the log line that lists what a shutdown waits for


class Admission:
    """Admits or refuses requests of all handlers that take work.

    Parameters
    ----------
    can_admit : callable
        Returns whether this entry VM takes new work now.

    Attributes
    ----------
    idle : asyncio.Event
        Set while no request is in flight.
    """

    def __init__(self, can_admit: Callable[[], bool]) -> None:
        self.can_admit = can_admit
        self.requests: dict[int, web.Request] = {}  # by id(); requests are unhashable
        self.idle = asyncio.Event()
        self.idle.set()

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Refuse work while not ready; record requests in flight."""
        if not request.path.startswith(WORK_PATH_PREFIX):
            return await handler(request)
        if not self.can_admit():
            response = refusal_response(
                not_ready_refusal(request), read_request_id(request)
            )
            response.force_close()
            return response
        self.requests[id(request)] = request
        self.idle.clear()
        try:
            return await handler(request)
        finally:
            del self.requests[id(request)]
            if not self.requests:
                self.idle.set()

    @property
    def in_flight(self) -> int:
        """Number of admitted requests without a complete response."""
        return len(self.requests)

    def describe_in_flight(self) -> str:
        """Return a text with the number of requests in flight and some of them."""
        listed = [
            f"{r.method} {r.path} {r.headers.get('X-Request-Id', 'without id')}"
            for r in list(self.requests.values())[:MAX_LISTED_REQUESTS]
        ]
        return f"{self.in_flight} requests in flight: {', '.join(listed)}"


def not_ready_refusal(request: web.Request) -> Refusal:
    """Return the refusal of a request while this entry VM takes no new work.

    A call with an idempotency key may have been sent earlier and have run through
    another entry VM, which is not checked here.
    """
    keyed = "Idempotency-Key" in request.headers
    return Refusal(
        Outcome.MAY_HAVE_RUN if keyed else Outcome.NOT_RUN,
        "not_ready",
        "this entry VM takes no new work; use another one",
        NOT_READY_RETRY_AFTER_MS,
    )
