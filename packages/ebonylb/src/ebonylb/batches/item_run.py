"""Runner of single items: runs and resumes an item on servers until it has a result."""

import logging
from collections.abc import Callable

import msgspec

from ..fleet import ListedServer, ServerDirectory
from ..interfaces import Clock, Metrics
from ..interfaces.server_client import ServerClient
from ..outcomes import StepError
from ..routes import Route, choose_target
from .item_attempt import ItemAttempts, ItemFailedError, WeightsChangedError
from .item_state import ItemState
from .lengths import LengthEstimate
from .model import BatchHeader, ItemResult, are_versions_allowed
from .move_policy import MovePolicy
from .placement import ItemPlacement, ItemRequirements
from .scoring import ItemScorer
from .silence import RunMovedError

logger = logging.getLogger(__name__)

RETRY_MS = 50.0
MAX_RETRY_MS = 1_000.0
MAX_LOGGED_SERVERS = 6  # in the log line of an item, the last ones


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
        self.clock = clock
        self.metrics = metrics
        self.scorer = scorer
        self.attempts = ItemAttempts(
            placement,
            directory,
            server_client,
            clock,
            metrics,
            lengths,
            MovePolicy(placement),
        )

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
            remaining_events=self.lengths.remaining_events(
                state, service, header.route
            ),
            min_version=header.min_version,
            group=item.group,
            route=header.route,
            prompt_tokens=item.prompt_tokens,
            customer=header.customer,
        )
        if header.customer:
            need.priority = self.lengths.routes.priority_of(header.customer, route)
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
        on_server: Callable[[], None] = lambda: None,
    ) -> ItemResult:
        """Return the result of an item, with a score if the item asks for one.

        The slot of the server that generated the text is free while the score is
        waited for.

        Parameters
        ----------
        on_server : callable
            Called each time the item gets a server.
        """
        if state.complete and not self.has_allowed_versions(state, header, route):
            self.restart(state, "its text has weight versions that are not allowed")
        if state.complete:
            result = state.result()
        else:
            result = await self.generate(
                state, header, route, due_ms, abandon_at_ms, on_server
            )
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
        on_server: Callable[[], None],
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
            on_server()
            state.waited_ms += self.clock.monotonic_ms() - queued_ms
            state.attempts += 1
            state.servers.append(server.name)
            events_before = len(state.events)
            try:
                result = await self.run_on_server(server, state, need, header, route)
                if result is not None:
                    if result.succeeded:
                        self.lengths.record(header.route, len(state.events))
                    self.log_result(state, header, result, started_ms)
                    return result
                avoid = None
            except RunMovedError:
                avoid = server.name
                continue
            except WeightsChangedError:
                avoid = None
                continue
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
        WeightsChangedError
            If the server goes on with weights that the text must not have.
        RunMovedError
            If the server is too slow and another one would be faster.
        """
        if state.events and server.software_version != state.software_version:
            self.restart(state, "a server of another software version was free first")
        try:
            completed = await self.attempts.run(server, state, need, route)
        except ItemFailedError as error:
            return self.abandon(state, str(error))
        if not completed:
            return None
        if not self.has_allowed_versions(state, header, route):
            self.restart(state, "its text has weight versions that are not allowed")
            return None
        return state.result()

    def has_allowed_versions(
        self, state: ItemState, header: BatchHeader, route: Route
    ) -> bool:
        """Return whether a finished text has only weight versions that it may have."""
        versions = (
            state.finished_text.versions if state.finished_text else state.versions
        )
        return are_versions_allowed(versions, header.min_version, route.single_version)
