"""Scores of finished texts, asked for with the scoring requests of their items."""

import logging
from dataclasses import dataclass, field

from ..forwarding import CallerRequest, CallerResponse, Forwarder, RequestState
from ..interfaces import Clock, Metrics
from ..routes import Route, RouteKind, choose_target
from .model import BatchHeader, BatchItem, ScoringRequest
from .scoring_queue import SPARE_SLOTS, ScoringQueue

logger = logging.getLogger(__name__)

RETRY_MS = 50.0
MAX_RETRY_MS = 1_000.0
SUCCESS_STATUSES = range(200, 300)
PLAIN_KINDS = (RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT)
MAX_LOGGED_CAUSES, MAX_LOGGED_SERVERS = 4, 6


@dataclass(slots=True)
class ScoringProgress:
    """Statistics of one item's scoring.

    Attributes
    ----------
    score : str or None
        Seal of the response, once there is one.
    cause : str
        Reason why the last try gave no score; empty otherwise.
    waited_ms : float
        Total time spent in the queue.
    """

    started_ms: float
    score: str | None = None
    cause: str = ""
    tries: int = 0
    internal_errors: int = 0
    waited_ms: float = 0.0
    servers: list[str] = field(default_factory=list)


class ItemScorer:
    """Sends scoring requests through their routes until each has a score.

    A scoring request may be repeated, whatever the kind of its route. It is sent like a
    caller's request: to the target of the route, with hedged copies. Servers that crash
    while they run it do not count against it: work that was handed in for later never
    crashes servers by itself, and its score is still owed.

    Parameters
    ----------
    forwarder : Forwarder
        Runs the requests.
    queue : ScoringQueue
        Limits how many run at once.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        queue: ScoringQueue,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.forwarder = forwarder
        self.queue = queue
        self.clock = clock
        self.metrics = metrics

    async def score(
        self,
        item: BatchItem,
        header: BatchHeader,
        route: Route,
        due_ms: float,
        abandon_at_ms: float,
    ) -> str | None:
        """Return the score of an item's text; None if it cannot be had.

        That is the case after as many internal errors as the route of the item or that
        of its scoring request has attempts, or when the time of the item is over.
        """
        scoring = item.scoring
        assert scoring is not None
        progress = ScoringProgress(self.clock.monotonic_ms())
        retry_ms = RETRY_MS
        while not await self.try_once(scoring, header, route, due_ms, progress):
            if self.clock.monotonic_ms() >= abandon_at_ms:
                break
            self.metrics.incr("batch.scoring.retries")
            await self.clock.sleep_ms(retry_ms)
            retry_ms = min(MAX_RETRY_MS, retry_ms * 2)
        self.log_end(item, header, progress)
        return progress.score

    async def try_once(
        self,
        scoring: ScoringRequest,
        header: BatchHeader,
        item_route: Route,
        due_ms: float,
        progress: ScoringProgress,
    ) -> bool:
        """Send a scoring request once and return whether no retry is due."""
        progress.tries += 1
        scoring_route = self.find_route(scoring)
        if scoring_route is None:
            progress.cause = "no route for plain requests"
            return False
        service = choose_target(scoring_route, scoring.request_id).service
        queued_ms = self.clock.monotonic_ms()
        async with self.queue.enter(service, due_ms):
            now = self.clock.monotonic_ms()
            progress.waited_ms += now - queued_ms
            call = self.forwarder.begin(
                make_caller_request(scoring, header.customer, now),
                scoring_route,
                SPARE_SLOTS,
                counts_crashes=False,
            )
            response = await self.forwarder.run(call)
        progress.servers.extend(call.sent_to)
        progress.internal_errors += call.internal_errors
        progress.cause = describe_failure(call, response)
        if not progress.cause:
            progress.score = response.seal
            return True
        return progress.internal_errors >= max(
            item_route.attempts, scoring_route.attempts
        )

    def find_route(self, scoring: ScoringRequest) -> Route | None:
        """Return the route of a scoring request; None if it has none."""
        path = scoring.target.partition("?")[0]
        route = self.forwarder.routes.find(scoring.host, path)
        return route if route is not None and route.kind in PLAIN_KINDS else None

    def log_end(
        self, item: BatchItem, header: BatchHeader, progress: ScoringProgress
    ) -> None:
        """Log how the scoring of an item ended, in a single line."""
        scored = progress.score is not None
        elapsed_ms = self.clock.monotonic_ms() - progress.started_ms
        self.metrics.incr("batch.scoring.scored" if scored else "batch.scoring.failed")
        self.metrics.timing_ms("batch.scoring", elapsed_ms)
        logger.info(
            "item scored" if scored else "item not scored",
            extra={
                "item": item.item_id,
                "batch": header.batch_id,
                "scoring_request": item.scoring and item.scoring.request_id,
                "tries": progress.tries,
                "internal_errors": progress.internal_errors,
                "servers": progress.servers[-MAX_LOGGED_SERVERS:],
                "cause": progress.cause or None,
                "waited_ms": round(progress.waited_ms),
                "elapsed_ms": round(elapsed_ms),
            },
        )


def make_caller_request(
    scoring: ScoringRequest, customer: str, now_ms: float
) -> CallerRequest:
    """Return a scoring request in the form of a request of its batch's customer."""
    return CallerRequest(
        request_id=scoring.request_id,
        method="POST",
        host=scoring.host,
        path=scoring.target.partition("?")[0],
        target=scoring.target,
        headers=(("Host", scoring.host), *scoring.headers),
        body=scoring.body,
        received_ms=now_ms,
        customer=customer,
    )


def describe_failure(call: RequestState, response: CallerResponse) -> str:
    """Return why a response has no score; empty if it has one."""
    if response.refusal is not None:
        return "; ".join([response.refusal.reason, *call.causes[-MAX_LOGGED_CAUSES:]])
    if response.status not in SUCCESS_STATUSES:
        return f"status {response.status}"
    return "" if response.seal else "no seal"
