"""One attempt to run an item, on one server."""

import asyncio
import logging

from result import Err

from ..fleet import ListedServer, ServerDirectory
from ..interfaces import Clock, Metrics
from ..interfaces.server_client import (
    ResponseHead,
    ServerClient,
    ServerRequest,
    ServerResponse,
)
from ..outcomes import StepError
from ..routes import Route
from .item_state import ItemState
from .lengths import LengthEstimate
from .model import are_versions_allowed, distinct_versions
from .move_policy import MovePolicy
from .placement import ItemPlacement, ItemRequirements
from .silence import RunMovedError, RunSilence

logger = logging.getLogger(__name__)

UNPROCESSABLE = 422
INTERNAL_ERROR = 500
REFUSAL_BODY_TIMEOUT_MS = 700.0
# Minimum time on a server before its speed is judged, and so between two moves.
MIN_RUN_BEFORE_MOVE_MS = 200.0
MAX_MOVES = 10
# A full server has a free slot again after about this time.
REFUSAL_PAUSE_MS = 150.0
# A server that refuses a model although it has free slots is loading its weights, which
# takes about one second.
LOADING_PAUSE_MS = 450.0
# Deadline sent to servers. No caller waits for a single item, and closing the
# connection ends the run earlier.
RUN_DEADLINE_MS = 60_000.0


class ItemFailedError(Exception):
    """No further attempt may give the item a result."""


class WeightsChangedError(Exception):
    """A sound server goes on with weights that the text must not have."""


class ItemAttempts:
    """Opens runs of items on servers, reads their events and checks both.

    Parameters
    ----------
    placement : ItemPlacement
        Tells whether a silent run has a better place.
    server_client : ServerClient
        Connections to servers.
    lengths : LengthEstimate
        Estimates how long items still run.
    move_policy : MovePolicy
        Decides when a run leaves a slow server.
    """

    def __init__(
        self,
        placement: ItemPlacement,
        directory: ServerDirectory,
        server_client: ServerClient,
        clock: Clock,
        metrics: Metrics,
        lengths: LengthEstimate,
        move_policy: MovePolicy,
    ) -> None:
        self.placement = placement
        self.directory = directory
        self.server_client = server_client
        self.clock = clock
        self.metrics = metrics
        self.lengths = lengths
        self.move_policy = move_policy

    async def run(
        self,
        server: ListedServer,
        state: ItemState,
        need: ItemRequirements,
        route: Route,
    ) -> bool:
        """Run an item on one server and return whether its text is complete.

        Return False if the server refused the item or failed to run it.

        Raises
        ------
        ItemFailedError
            If the item cannot have a result.
        StepError
            If the run broke.
        WeightsChangedError
            If the server goes on with weights that the text must not have.
        RunMovedError
            If the server is too slow and another one would be faster.
        """
        silence = RunSilence(self.placement, self.directory, self.clock, server, need)
        async with silence.limit("item.open"):
            response = await self.open(server, state)
        silence.record_sign()
        try:
            head = response.head
            self.apply_load(server, state, need, head)
            if head.not_run:
                self.record_refusal(server, need, head)
                await self.drain_body(server, response)
                return False
            if not self.check_status(server, state, head.status, route):
                return False
            self.check_version(server, state, need, head.weight_version, route)
            async with silence.limit("item.stall"):
                await self.read_events(
                    server, state, need, response, head.weight_version, silence, route
                )
            self.directory.condition(server.name).record_success(
                self.clock.monotonic_ms()
            )
            return True
        finally:
            response.close()

    def apply_load(
        self,
        server: ListedServer,
        state: ItemState,
        need: ItemRequirements,
        head: ResponseHead,
    ) -> None:
        """Record the load that a response reports.

        Raises
        ------
        RunMovedError
            If the server says that it is slow and another one would be faster.
        """
        if head.load is None:
            return
        now = self.clock.monotonic_ms()
        condition = self.directory.condition(server.name)
        condition.record_load(head.load, now)
        median_gap_ms = self.placement.selector.median_gap_ms(need.service)
        is_slow = condition.apply_reported_slowdown(median_gap_ms, now)
        if is_slow and self.is_worth_moving(server, state, need):
            self.record_move(server, state)
            raise RunMovedError

    def check_status(
        self, server: ListedServer, state: ItemState, status: int, route: Route
    ) -> bool:
        """Return whether a response begins a run, or False if the server failed.

        Raises
        ------
        ItemFailedError
            If the server cannot process the item, or it failed at each attempt.
        StepError
            If the status is not expected.
        """
        if status == UNPROCESSABLE:
            raise ItemFailedError("the server cannot process the item")
        if status == INTERNAL_ERROR:
            state.failed_attempts += 1
            self.directory.condition(server.name).update_failure_share(
                1.0, self.clock.monotonic_ms()
            )
            if state.failed_attempts >= route.attempts:
                raise ItemFailedError("failed at each attempt")
            return False
        if status != 200:
            raise StepError("item.status", server.name, f"status {status}")
        return True

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
        self, server: ListedServer, need: ItemRequirements, head: ResponseHead
    ) -> None:
        """Record that a server refused an item without running it."""
        now = self.clock.monotonic_ms()
        condition = self.directory.condition(server.name)
        load = head.load
        is_loading = load is not None and load.running + load.waiting < server.slots
        pause_ms = LOADING_PAUSE_MS if is_loading else REFUSAL_PAUSE_MS
        condition.model_refused_until_ms[need.model] = now + pause_ms
        condition.record_refusal(now)
        if head.wrong_server:
            condition.record_failure(now)
        logger.debug(
            "item refused",
            extra={
                "server": server.name,
                "status": head.status,
                "is_loading": is_loading,
            },
        )

    def check_event_version(
        self,
        server: ListedServer,
        state: ItemState,
        need: ItemRequirements,
        version: int,
        route: Route,
    ) -> None:
        """Check the weight version of an event before it becomes part of the text.

        The head names the version with which a run begins. An order that keeps runs may
        be carried out later, whatever is ordered for the route by then.

        Raises
        ------
        WeightsChangedError
            The text must not have an event of this version.
        """
        if not need.model or (state.versions and version == state.versions[-1]):
            return
        if are_versions_allowed(
            (*state.versions[:1], version), need.min_version, route.single_version
        ):
            return
        self.metrics.incr("batch.weights_changed")
        logger.info(
            "weights changed during the run of an item",
            extra={
                "item": state.item.item_id,
                "server": server.name,
                "events": len(state.events),
                "version": version,
                "versions": distinct_versions(state.versions),
            },
        )
        raise WeightsChangedError

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
        route: Route,
    ) -> None:
        """Append the events of a run to the item's state until the stream ends.

        Raises
        ------
        StepError
            If the stream breaks, an event is out of order or has no weight version.
        WeightsChangedError
            If the text must not have an event of its weight version.
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
            self.check_event_version(server, state, need, version or 0, route)
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
        need.remaining_events = self.lengths.remaining_events(
            state, need.service, need.route
        )
        is_long = self.lengths.is_long(state, need.route)
        return self.move_policy.should_move(server, need, is_long)
