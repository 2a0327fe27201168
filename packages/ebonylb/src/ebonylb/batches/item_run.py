"""One item on its way: run, continued elsewhere, until it has a result."""

import asyncio
import logging

from result import Err

from ..edges import Clock, Metrics
from ..edges.server_port import ServerAnswer, ServerPort, ServerRequest
from ..fleet import ListedServer, ServerDirectory
from ..outcomes import StepError
from ..routes import Route, choose_target
from .item_state import ItemState
from .model import BatchHeader, ItemResult
from .placement import ItemNeed, ItemPlacement

logger = logging.getLogger(__name__)

NEVER_POSSIBLE = 422
FAILED = 500
# A stream without an event for this many usual gaps, and at least this time, is given
# up: the server froze or its connection went silent.
STALL_GAPS = 8.0
SHORTEST_STALL_MS = 400.0
# A run begins with its first token; before, it may wait in the server's queue.
FIRST_EVENT_MS = 800.0
HEAD_MS = 700.0
# Time on a server before its speed is judged, and between two moves.
SETTLE_MS = 200.0
MOST_MOVES = 10
# A run with this many events, or so many expected, is likely to be the last of its
# step: a tenth of the items is longer.
LONG_EVENTS = 50
# A server that refuses a model is loading its weights, for about a second.
REFUSED_MS = 150.0
RETRY_MS = 50.0
LONGEST_RETRY_MS = 1_000.0
SERVERS_LOGGED = 6  # the last servers of an item, in its log line
# Deadline given to servers: no caller waits for a single item, and closing the
# connection ends the run.
RUN_DEADLINE_MS = 60_000.0


class MovedError(Exception):
    """The run goes on elsewhere, although this server did not fail."""


class ItemRunner:
    """Runs items on servers.

    Parameters
    ----------
    placement : ItemPlacement
        Queue in front of the servers.
    port : ServerPort
        Connections to servers.
    """

    def __init__(
        self,
        placement: ItemPlacement,
        directory: ServerDirectory,
        port: ServerPort,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.placement = placement
        self.directory = directory
        self.port = port
        self.clock = clock
        self.metrics = metrics

    def need_of(
        self, state: ItemState, header: BatchHeader, route: Route, due_ms: float
    ) -> ItemNeed:
        """Return what an item asks of a server."""
        item = state.item
        need = ItemNeed(
            service=choose_target(route, item.item_id).service,
            model=item.model or header.model,
            due_ms=due_ms,
            length_hint=item.length_hint,
            min_version=header.min_version,
            group=item.group,
        )
        if route.single_version and state.versions:
            need.exact_version = state.versions[0]
            if not self.placement.can_serve(need):
                state.restart()
                need.exact_version = None
        return need

    async def run(
        self,
        state: ItemState,
        header: BatchHeader,
        route: Route,
        due_ms: float,
        give_up_ms: float,
    ) -> ItemResult:
        """Return the result of an item, however many servers it takes."""
        pause = RETRY_MS
        avoid: str | None = None
        began_ms = self.clock.monotonic_ms()
        while True:
            if self.clock.monotonic_ms() >= give_up_ms and state.tries:
                return self.give_up(state, "retention is over")
            need = self.need_of(state, header, route, due_ms)
            need.avoid = avoid
            asked_ms = self.clock.monotonic_ms()
            server = await self.placement.acquire(need)
            state.waited_ms += self.clock.monotonic_ms() - asked_ms
            state.tries += 1
            state.servers.append(server.name)
            before = len(state.events)
            try:
                final = await self.run_on(server, state, need, header, route)
                if final is not None:
                    self.log_end(state, header, final, began_ms)
                    return final
                avoid = None
            except MovedError:
                avoid = server.name
            except StepError as error:
                avoid = server.name
                self.note_broken(server, state, error)
            finally:
                self.placement.release(server)
            if len(state.events) > before:
                pause = RETRY_MS
            else:
                await self.clock.sleep_ms(pause)
                pause = min(LONGEST_RETRY_MS, pause * 2)

    def log_end(
        self,
        state: ItemState,
        header: BatchHeader,
        result: ItemResult,
        began_ms: float,
    ) -> None:
        """Write the one line that explains how an item got its result."""
        elapsed = self.clock.monotonic_ms() - began_ms
        self.metrics.timing_ms("batch.item", elapsed)
        logger.info(
            "item ended",
            extra={
                "item": state.item.item_id,
                "batch": header.batch_id,
                "succeeded": result.succeeded,
                "events": len(state.events),
                "versions": result.versions,
                "servers": state.servers[-SERVERS_LOGGED:],
                "tries": state.tries,
                "failures": state.failures,
                "waited_ms": round(state.waited_ms),
                "elapsed_ms": round(elapsed),
            },
        )

    def note_broken(
        self, server: ListedServer, state: ItemState, error: StepError
    ) -> None:
        """Record a broken run."""
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

    def give_up(self, state: ItemState, why: str) -> ItemResult:
        """Return the result of an item that is given up."""
        logger.warning(
            "item given up",
            extra={"item": state.item.item_id, "why": why, "failures": state.failures},
        )
        self.metrics.incr("batch.items_given_up")
        return ItemResult(state.item.item_id, False)

    async def run_on(
        self,
        server: ListedServer,
        state: ItemState,
        need: ItemNeed,
        header: BatchHeader,
        route: Route,
    ) -> ItemResult | None:
        """Run an item on one server; None when it did not run there.

        Raises
        ------
        StepError
            The run broke.
        MovedError
            The server is too slow.
        """
        answer = await self.open(server, state)
        try:
            head = answer.head
            condition = self.directory.condition(server.name)
            if head.load is not None:
                now = self.clock.monotonic_ms()
                condition.record_load(head.load, now)
                usual = self.placement.choice.median_gap_ms(need.service)
                slow = condition.apply_reported_slowdown(usual, now)
                if slow and self.is_worth_moving(server, state, need):
                    self.note_move(server, state)
                    raise MovedError
            if head.not_run:
                self.note_refusal(server, need, head.wrong_server, head.status)
                await self.whole_body(answer)
                return None
            if head.status == NEVER_POSSIBLE:
                return self.give_up(state, "the server cannot do it")
            if head.status == FAILED:
                state.failures += 1
                condition.update_failure_share(1.0, self.clock.monotonic_ms())
                if state.failures >= route.attempts:
                    return self.give_up(state, "failed at each attempt")
                return None
            if head.status != 200:
                raise StepError("item.status", server.name, f"status {head.status}")
            self.check_version(server, state, need, head.weight_version, route)
            await self.read_events(server, state, need, answer, head.weight_version)
            condition.record_success(self.clock.monotonic_ms())
            return state.result()
        finally:
            answer.close()

    async def whole_body(self, answer: ServerAnswer) -> None:
        """Read a refusal to its end, so that its connection can be used again."""
        async with asyncio.timeout(HEAD_MS / 1000):
            await answer.body()

    async def open(self, server: ListedServer, state: ItemState) -> ServerAnswer:
        """Send the item and return its answer."""
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
        try:
            async with asyncio.timeout(HEAD_MS / 1000):
                opened = await self.port.open(server.endpoint, request)
        except TimeoutError as error:
            raise StepError("item.open", server.name, "no answer in time") from error
        if isinstance(opened, Err):
            raise opened.err_value
        return opened.ok_value

    def note_refusal(
        self, server: ListedServer, need: ItemNeed, wrong_server: bool, status: int
    ) -> None:
        """Record that a server did not run an item."""
        now = self.clock.monotonic_ms()
        condition = self.directory.condition(server.name)
        condition.model_refused_until_ms[need.model] = now + REFUSED_MS
        if wrong_server:
            condition.record_failure(now)
        logger.debug("item refused", extra={"server": server.name, "status": status})

    def check_version(
        self,
        server: ListedServer,
        state: ItemState,
        need: ItemNeed,
        version: int | None,
        route: Route,
    ) -> None:
        """Make sure that the weights of an answer may generate the item."""
        if version is None:
            # A run continued after its last event has no event left to have one.
            return
        if need.model:
            self.directory.condition(server.name).versions[need.model] = version
        if version < need.min_version:
            raise StepError("item.version", server.name, f"weights {version} too old")
        if route.single_version and state.versions and version != state.versions[0]:
            state.restart()
            raise StepError("item.version", server.name, "weights changed")

    async def read_events(
        self,
        server: ListedServer,
        state: ItemState,
        need: ItemNeed,
        answer: ServerAnswer,
        version: int | None,
    ) -> None:
        """Read the events of a run to its regular end."""
        condition = self.directory.condition(server.name)
        events = answer.events()
        began = last = self.clock.monotonic_ms()
        first = True
        while True:
            usual = self.placement.choice.median_gap_ms(need.service)
            stall = max(SHORTEST_STALL_MS, STALL_GAPS * usual)
            try:
                async with asyncio.timeout((FIRST_EVENT_MS if first else stall) / 1000):
                    event = await anext(events, None)
            except TimeoutError as error:
                raise StepError(
                    "item.stall", server.name, "no event in time"
                ) from error
            if event is None:
                return
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
                raise StepError("item.version", server.name, "event without weights")
            state.events.append(event.data)
            state.versions.append(version or 0)
            if not first:
                condition.record_gap(now - last, usual, now)
            first, last = False, now
            if now - began > SETTLE_MS and self.is_worth_moving(server, state, need):
                self.note_move(server, state)
                raise MovedError

    def note_move(self, server: ListedServer, state: ItemState) -> None:
        """Record that a run goes on elsewhere because this server is slow."""
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
        self, server: ListedServer, state: ItemState, need: ItemNeed
    ) -> bool:
        """Tell whether the rest of a run should be made on another server."""
        if state.moves >= MOST_MOVES:
            return False
        return self.placement.should_move(
            server, need, len(state.events) >= LONG_EVENTS
        )
