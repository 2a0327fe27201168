"""Runner of single items: runs and resumes an item on servers until it has a result."""

import asyncio
import logging

import msgspec
from result import Err

from ..fleet import ListedServer, ServerDirectory
from ..interfaces import Clock, Metrics
from ..interfaces.server_client import ServerClient, ServerRequest, ServerResponse
from ..outcomes import StepError
from ..routes import Route, choose_target
from .item_state import ItemState
from .lengths import LengthEstimate
from .model import BatchHeader, ItemResult
from .placement import ItemPlacement, ItemRequirements
from .scoring import ItemScorer
from .silence import RunMovedError, RunSilence

logger = logging.getLogger(__name__)

UNPROCESSABLE = 422
INTERNAL_ERROR = 500
REFUSAL_BODY_TIMEOUT_MS = 700.0
# Minimum time on a server before its speed is judged, and so between two moves.
MIN_RUN_BEFORE_MOVE_MS = 200.0
MAX_MOVES = 10
# A run with this many events is likely to be the last of its step: only a tenth of the
# items is longer.
LONG_RUN_EVENTS = 50
# A server that refuses a model is loading its weights, which takes about one second.
REFUSAL_PAUSE_MS = 150.0
RETRY_MS = 50.0
MAX_RETRY_MS = 1_000.0
MAX_LOGGED_SERVERS = 6  # in the log line of an item, the last ones
# Deadline sent to servers. No caller waits for a single item, and closing the
# connection ends the run earlier.
RUN_DEADLINE_MS = 60_000.0


class ItemRunner:
    """Runs items on servers until each has a result.

    Parameters
    ----------
    placement : ItemPlacement
        Queue of items that wait for a server.
    server_client : ServerClient
        Connections to servers.
    scorer : ItemScorer
        Gets the scores of finished texts.
    lengths : LengthEstimate
        Estimates how long items still run.
    """

    def __init__(
        self,
        placement: ItemPlacement,
        directory: ServerDirectory,
        server_client: ServerClient,
        clock: Clock,
        metrics: Metrics,
        scorer: ItemScorer,
        lengths: LengthEstimate,
    ) -> None:
        self.lengths = lengths
        self.placement = placement
        self.directory = directory
        self.server_client = server_client
        self.clock = clock
        self.metrics = metrics
        self.scorer = scorer

    def requirements_of(
        self, state: ItemState, header: BatchHeader, route: Route, due_ms: float
    ) -> ItemRequirements:
        """Return the requirements of an item for its next server.

        Received events require the software version that made them, and on a route with
        a single weight version also that. If no server has it any more, the events are
        discarded.
        """
        item = state.item
        service = choose_target(route, item.item_id).service
        need = ItemRequirements(
            service=service,
            model=item.model or header.model,
            due_ms=due_ms,
            remaining_events=self.lengths.remaining_events(state, service),
            min_version=header.min_version,
            group=item.group,
            prompt_tokens=item.prompt_tokens,
        )
        if state.software_version is not None:
            if self.directory.has_ready_version(service, state.software_version):
                need.software_version = state.software_version
                need.received_events = len(state.events)
            else:
                self.restart(state, "no server has its software version any more")
        if route.single_version and state.versions:
            need.exact_version = state.versions[0]
            if not self.placement.can_serve(need):
                state.restart()
                need.exact_version = need.software_version = None
        return need

    def restart(self, state: ItemState, reason: str) -> None:
        """Discard the received events of an item, which cannot be continued."""
        self.metrics.incr("batch.restarts")
        logger.info(
            "item restarted",
            extra={
                "item": state.item.item_id,
                "events": len(state.events),
                "software_versions": list(state.software_versions),
                "why": reason,
            },
        )
        state.restart()

    async def run(
        self,
        state: ItemState,
        header: BatchHeader,
        route: Route,
        due_ms: float,
        abandon_at_ms: float,
    ) -> ItemResult:
        """Return the result of an item, with a score if the item asks for one.

        The slot of the server that generated the text is free while the score is
        waited for.
        """
        if state.complete:
            result = state.result()
        else:
            result = await self.generate(state, header, route, due_ms, abandon_at_ms)
        if state.item.scoring is None or not result.succeeded:
            return result
        state.complete = True
        score = await self.scorer.score(
            state.item, header, route, due_ms, abandon_at_ms
        )
        if score is None:
            return self.abandon(state, "its score cannot be had")
        return msgspec.structs.replace(
            result, score=score, scoring_id=state.item.scoring.request_id
        )

    async def generate(
        self,
        state: ItemState,
        header: BatchHeader,
        route: Route,
        due_ms: float,
        abandon_at_ms: float,
    ) -> ItemResult:
        """Run an item on as many servers as needed and return its text.

        The item is abandoned after `abandon_at_ms`, but not before its first attempt.
        """
        retry_ms = RETRY_MS
        avoid: str | None = None
        started_ms = self.clock.monotonic_ms()
        while True:
            if self.clock.monotonic_ms() >= abandon_at_ms and state.attempts:
                return self.abandon(state, "retention is over")
            need = self.requirements_of(state, header, route, due_ms)
            if need.software_version is None or self.directory.has_ready_version(
                need.service, need.software_version, besides=avoid
            ):
                need.avoid = avoid
            queued_ms = self.clock.monotonic_ms()
            server = await self.placement.acquire(need)
            state.waited_ms += self.clock.monotonic_ms() - queued_ms
            state.attempts += 1
            state.servers.append(server.name)
            events_before = len(state.events)
            try:
                result = await self.run_on_server(server, state, need, header, route)
                if result is not None:
                    self.log_result(state, header, result, started_ms)
                    return result
                avoid = None
            except RunMovedError:
                avoid = server.name
            except StepError as error:
                avoid = server.name
                self.record_broken_run(server, state, error)
            finally:
                self.placement.release(server, need)
            if len(state.events) > events_before:
                retry_ms = RETRY_MS
            else:
                await self.clock.sleep_ms(retry_ms)
                retry_ms = min(MAX_RETRY_MS, retry_ms * 2)

    def log_result(
        self,
        state: ItemState,
        header: BatchHeader,
        result: ItemResult,
        started_ms: float,
    ) -> None:
        """Log how an item got its result, in a single line."""
        elapsed_ms = self.clock.monotonic_ms() - started_ms
        self.metrics.timing_ms("batch.item", elapsed_ms)
        logger.info(
            "item ended",
            extra={
                "item": state.item.item_id,
                "batch": header.batch_id,
                "succeeded": result.succeeded,
                "events": len(state.events),
                "versions": result.versions,
                "software_versions": state.software_versions,
                "servers": state.servers[-MAX_LOGGED_SERVERS:],
                "tries": state.attempts,
                "failures": state.failed_attempts,
                "waited_ms": round(state.waited_ms),
                "elapsed_ms": round(elapsed_ms),
            },
        )

    def record_broken_run(
        self, server: ListedServer, state: ItemState, error: StepError
    ) -> None:
        """Record a broken run in the server's condition, the metrics and the log."""
        self.directory.condition(server.name).record_failure(self.clock.monotonic_ms())
        self.metrics.incr("batch.broken_runs")
        logger.info(
            "item run broke",
            extra={
                "item": state.item.item_id,
                "server": server.name,
                "events": len(state.events),
                "cause": str(error),
            },
        )

    def abandon(self, state: ItemState, reason: str) -> ItemResult:
        """Log that an item is abandoned and return a result without success."""
        logger.warning(
            "item abandoned",
            extra={
                "item": state.item.item_id,
                "why": reason,
                "failures": state.failed_attempts,
            },
        )
        self.metrics.incr("batch.items_given_up")
        return ItemResult(state.item.item_id, False)

    async def run_on_server(
        self,
        server: ListedServer,
        state: ItemState,
        need: ItemRequirements,
        header: BatchHeader,
        route: Route,
    ) -> ItemResult | None:
        """Run an item on one server and return its result.

        Return None if the server refused it or failed to run it, and another attempt
        is due.

        Raises
        ------
        StepError
            If the run broke.
        RunMovedError
            If the server is too slow and another one would be faster.
        """
        if state.events and server.software_version != state.software_version:
            self.restart(state, "a server of another software version was free first")
        silence = RunSilence(self.placement, self.directory, self.clock, server, need)
        async with silence.limit("item.open"):
            response = await self.open(server, state)
        silence.record_sign()
        try:
            head = response.head
            condition = self.directory.condition(server.name)
            if head.load is not None:
                now = self.clock.monotonic_ms()
                condition.record_load(head.load, now)
                median_gap_ms = self.placement.selector.median_gap_ms(need.service)
                is_slow = condition.apply_reported_slowdown(median_gap_ms, now)
                if is_slow and self.is_worth_moving(server, state, need):
                    self.record_move(server, state)
                    raise RunMovedError
            if head.not_run:
                self.record_refusal(server, need, head.wrong_server, head.status)
                await self.drain_body(server, response)
                return None
            if head.status == UNPROCESSABLE:
                return self.abandon(state, "the server cannot process the item")
            if head.status == INTERNAL_ERROR:
                state.failed_attempts += 1
                condition.update_failure_share(1.0, self.clock.monotonic_ms())
                if state.failed_attempts >= route.attempts:
                    return self.abandon(state, "failed at each attempt")
                return None
            if head.status != 200:
                raise StepError("item.status", server.name, f"status {head.status}")
            self.check_version(server, state, need, head.weight_version, route)
            async with silence.limit("item.stall"):
                await self.read_events(
                    server, state, need, response, head.weight_version, silence
                )
            condition.record_success(self.clock.monotonic_ms())
            return state.result()
        finally:
            response.close()

    async def drain_body(self, server: ListedServer, response: ServerResponse) -> None:
        """Read the body of a refusal, so that its connection can be reused.

        Raises
        ------
        StepError
            If the body ended early or did not arrive in time.
        """
        try:
            async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_MS / 1000):
                await response.body()
        except TimeoutError as error:
            raise StepError(
                "item.refusal", server.name, "body not received within the timeout"
            ) from error

    async def open(self, server: ListedServer, state: ItemState) -> ServerResponse:
        """Send the item to a server and return the response after its head arrived.

        The request resumes after the events already received.

        Raises
        ------
        StepError
            If the connection failed.
        """
        item = state.item
        request = ServerRequest(
            "POST",
            item.target,
            item.headers,
            item.body,
            item.item_id,
            RUN_DEADLINE_MS,
            len(state.events) or None,
        )
        opened = await self.server_client.open(server.endpoint, request)
        if isinstance(opened, Err):
            raise opened.err_value
        return opened.ok_value

    def record_refusal(
        self,
        server: ListedServer,
        need: ItemRequirements,
        wrong_server: bool,
        status: int,
    ) -> None:
        """Record that a server refused an item without running it."""
        now = self.clock.monotonic_ms()
        condition = self.directory.condition(server.name)
        condition.model_refused_until_ms[need.model] = now + REFUSAL_PAUSE_MS
        if wrong_server:
            condition.record_failure(now)
        logger.debug("item refused", extra={"server": server.name, "status": status})

    def check_version(
        self,
        server: ListedServer,
        state: ItemState,
        need: ItemRequirements,
        version: int | None,
        route: Route,
    ) -> None:
        """Check that the weight version of a response is allowed for the item.

        Raises
        ------
        StepError
            If the version is older than the minimum, or differs from the version of
            the received events on a route with a single version.
        """
        if version is None:
            # A run resumed after its last event has no further event with a version.
            return
        if need.model:
            self.directory.condition(server.name).versions[need.model] = version
        if version < need.min_version:
            raise StepError(
                "item.version",
                server.name,
                f"weight version {version} is older than the item's minimum",
            )
        if route.single_version and state.versions and version != state.versions[0]:
            state.restart()
            raise StepError("item.version", server.name, "weight version has changed")

    async def read_events(
        self,
        server: ListedServer,
        state: ItemState,
        need: ItemRequirements,
        response: ServerResponse,
        version: int | None,
        silence: RunSilence,
    ) -> None:
        """Append the events of a run to the item's state until the stream ends.

        Raises
        ------
        StepError
            If the stream breaks, an event is out of order or has no weight version.
        RunMovedError
            If the server is too slow and another one would be faster.
        """
        condition = self.directory.condition(server.name)
        started_ms = last_event_ms = self.clock.monotonic_ms()
        async for event in response.events():
            now = self.clock.monotonic_ms()
            if event.number != len(state.events) + 1:
                raise StepError(
                    "item.order",
                    server.name,
                    f"event {event.number} after {len(state.events)}",
                )
            if event.weight_version is not None:
                version = event.weight_version
                condition.versions[need.model] = version
            if need.model and version is None:
                raise StepError(
                    "item.version", server.name, "event has no weight version"
                )
            state.add_event(event.data, version or 0, server.software_version)
            need.software_version = state.software_version
            if not silence.has_events:
                self.placement.prompt_load.record_first_event(need)
            elif not self.placement.prompt_load.is_prefilling(server):
                median_gap_ms = self.placement.selector.median_gap_ms(need.service)
                condition.record_gap(now - last_event_ms, median_gap_ms, now)
            silence.record_event()
            last_event_ms = now
            if now - started_ms > MIN_RUN_BEFORE_MOVE_MS and self.is_worth_moving(
                server, state, need
            ):
                self.record_move(server, state)
                raise RunMovedError

    def record_move(self, server: ListedServer, state: ItemState) -> None:
        """Record that a run moves to another server because this one is slow."""
        state.moves += 1
        self.metrics.incr("batch.moves")
        logger.info(
            "item moved from slow server",
            extra={
                "item": state.item.item_id,
                "server": server.name,
                "events": len(state.events),
                "gap_ms": round(self.directory.condition(server.name).gap_ms or 0, 1),
            },
        )

    def is_worth_moving(
        self, server: ListedServer, state: ItemState, need: ItemRequirements
    ) -> bool:
        """Return whether the rest of a run should move to another server."""
        if state.moves >= MAX_MOVES:
            return False
        need.remaining_events = self.lengths.remaining_events(state, need.service)
        return self.placement.should_move(
            server, need, len(state.events) >= LONG_RUN_EVENTS
        )
