"""Routing on the entry VM that holds the caller's connection."""

import logging
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from dataclasses import dataclass, replace

from ..crashes import fingerprint
from ..edges import CallAnswer, Clock
from ..outcomes import Outcome, Refusal, RefusedError, StepError
from ..peers import PeerBus
from ..peers.messages import AnswerChunk, AnswerEnd, Refused
from ..retries import RetryBudget
from ..telemetry import RequestTrace
from .cross_region import CrossRegionBudget
from .forward import (
    call_message,
    chunk_from_message,
    generate_message,
    refusal_from_message,
    response_from_message,
)
from .targets import Target, TargetChoice, TargetSource
from .work import Chunk, Executor, GenerateWork, Work

logger = logging.getLogger(__name__)

MAX_HANDOVERS = 8  # re-routes after "moved" cost nothing but must end
NO_TARGET_RETRY_MS = 1_000
HANDOVER_DELAY_MS = 25
MAX_OVERLOADED_SHARDS = 2  # shards that may refuse for load before the caller is told
REROUTE_REASONS = frozenset({"moved", "suspect"})
OVERLOAD_REASONS = frozenset({"queue_full", "deadline"})


class LocalOwners(ABC):
    """Shards that this entry VM owns itself."""

    @abstractmethod
    def owner(self, service: str, shard: int) -> Executor:
        """Return the owner of a shard, creating it when it is new."""


@dataclass(slots=True)
class RequestProgress:
    """Progress of one request over its attempts on shard owners.

    `may_have_run` is set once an attempt's outcome is unclear; from then on no
    refusal of this request may say "not run".
    """

    work: Work
    started_ms: float
    attempt_number: int = 0
    handover_count: int = 0
    overloaded_shards: int = 0
    may_have_run: bool = False
    failed_owners: frozenset[str] = frozenset()

    def final_error(self, refusal: Refusal) -> RefusedError:
        """Return the final answer, true for all attempts together."""
        if self.may_have_run and refusal.outcome is Outcome.NOT_RUN:
            refusal = replace(refusal, outcome=Outcome.GIVEN_UP)
        return RefusedError(refusal)


class EntryRouter(Executor):
    """Sends work to shard owners and collects the whole answer.

    Parameters
    ----------
    name : str
        Name of this entry VM.
    bus : PeerBus
        Links to the other entry VMs.
    owners : LocalOwners
        Shards owned here; work for them takes no hop.
    source : TargetSource
        Known shards.
    choice : TargetChoice
        Rule that picks one.
    budget : RetryBudget
        Limits repeated work.
    cross_region : CrossRegionBudget
        Limits bytes on the paid link.
    clock : Clock
        Source of time.
    trace : RequestTrace
        Receives the decisions.
    strikes : callable
        Maps a fingerprint to the crashes that it was running in. A struck request
        goes to one shard of the system, whose owner keeps its runs apart.
    """

    def __init__(
        self,
        name: str,
        bus: PeerBus,
        owners: LocalOwners,
        source: TargetSource,
        choice: TargetChoice,
        budget: RetryBudget,
        cross_region: CrossRegionBudget,
        clock: Clock,
        trace: RequestTrace,
        strikes: Callable[[str], int],
    ) -> None:
        self.name = name
        self.bus = bus
        self.owners = owners
        self.source = source
        self.choice = choice
        self.budget = budget
        self.cross_region = cross_region
        self.clock = clock
        self.trace = trace
        self.strikes = strikes

    async def generate(self, work: Work) -> AsyncIterator[Chunk]:
        """Stream a generation, moving to another owner where that is safe."""
        progress = self.start_request(work)
        text, tokens = "", 0
        while True:
            target, attempt_work = self.prepare_attempt(progress, text, tokens)
            try:
                async with aclosing(
                    self.stream_from_owner(target, attempt_work)
                ) as chunks:
                    async for chunk in chunks:
                        text += chunk.text
                        tokens += chunk.tokens
                        yield chunk
                return
            except (StepError, RefusedError) as error:
                if has_all_tokens(work, tokens):
                    return  # only the end marker was lost
                await self.handle_failure(progress, target, error)

    async def call(self, work: Work) -> CallAnswer:
        """Run a plain-service call, repeating it only where that is safe."""
        progress = self.start_request(work)
        while True:
            target, attempt_work = self.prepare_attempt(progress, "", 0)
            try:
                return await self.call_owner(target, attempt_work)
            except (StepError, RefusedError) as error:
                await self.handle_failure(progress, target, error)

    def start_request(self, work: Work) -> RequestProgress:
        """Start the account of a request and earn retry budget for it."""
        self.budget.first_attempt(work.party, work.service)
        return RequestProgress(work, self.clock.monotonic_ms())

    def prepare_attempt(
        self, progress: RequestProgress, text: str, tokens: int
    ) -> tuple[Target, Work]:
        """Pick a target and return the work that is still to do there.

        Raises
        ------
        RefusedError
            No shard can take it, or its time is over.
        """
        work = progress.work
        remaining_ms = work.deadline_ms - (
            self.clock.monotonic_ms() - progress.started_ms
        )
        if remaining_ms <= 0:
            raise progress.final_error(DEADLINE_REFUSAL)
        cross_region_allowed = self.cross_region.can_send(work.service, work.party)
        targets = self.source.targets(work.service)
        request_fingerprint = fingerprint(work)
        if self.strikes(request_fingerprint):
            target = self.choice.home(targets, request_fingerprint)
        else:
            target = self.choice.choose(
                targets, work.group, cross_region_allowed, progress.failed_owners
            )
        if target is None:
            raise progress.final_error(no_target_refusal(work))
        progress.attempt_number += 1
        payload = work.payload
        if isinstance(payload, GenerateWork) and tokens:
            payload = replace(
                payload,
                generated=payload.generated + text,
                max_tokens=payload.max_tokens - tokens,
            )
        size = payload.max_tokens if isinstance(payload, GenerateWork) else 1
        self.choice.forwarded.add(target, size)
        self.source.ensure_link(target)
        attempt_work = replace(
            work,
            request_id=f"{work.request_id}.{progress.attempt_number}",
            payload=payload,
            deadline_ms=remaining_ms,
        )
        self.trace.note(
            attempt_work.request_id,
            "route",
            f"to shard {target.shard} of {target.service} in "
            f"{target.failure_domain}, owner {target.owner}, expected wait "
            f"{self.choice.expected_wait_ms(target):.0f} ms",
        )
        return target, attempt_work

    async def handle_failure(
        self, progress: RequestProgress, target: Target, error: StepError | RefusedError
    ) -> None:
        """Return when another attempt may follow.

        Raises
        ------
        RefusedError
            The final answer of the request.
        """
        work = progress.work
        self.trace.note(
            f"{work.request_id}.{progress.attempt_number}", "attempt failed", str(error)
        )
        progress.failed_owners |= {target.owner}
        if isinstance(error, RefusedError):
            self.handle_refusal(progress, error)
        else:
            self.handle_step_error(progress, target, error)
        if progress.handover_count > 1:
            # A view that lags would send it to the same owner again at once.
            await self.clock.sleep_ms(HANDOVER_DELAY_MS * progress.handover_count)

    def handle_step_error(
        self, progress: RequestProgress, target: Target, error: StepError
    ) -> None:
        """Return when work whose owner was lost may go to another one.

        Raises
        ------
        RefusedError
            The final answer of the request.
        """
        work = progress.work
        if error.step.startswith("peer."):
            self.source.report_failure(target)
        if not error.may_have_run and progress.handover_count < MAX_HANDOVERS:
            progress.handover_count += 1
            return
        progress.may_have_run |= error.may_have_run
        if not work.idempotent:
            raise RefusedError(lost_owner_refusal(error)) from error
        if not self.budget.spend(work.party, work.service):
            raise RefusedError(budget_refusal(error)) from error

    def handle_refusal(self, progress: RequestProgress, error: RefusedError) -> None:
        """Return when another owner may take refused work.

        Raises
        ------
        RefusedError
            The final answer of the request.
        """
        refusal = error.refusal
        not_run = refusal.outcome is Outcome.NOT_RUN
        progress.may_have_run |= not not_run
        if refusal.reason in REROUTE_REASONS:
            can_repeat = not_run or progress.work.idempotent
            if can_repeat and progress.handover_count < MAX_HANDOVERS:
                progress.handover_count += 1
                return
        elif not_run and refusal.reason in OVERLOAD_REASONS:
            progress.overloaded_shards += 1
            targets = self.source.targets(progress.work.service)
            other_owners = {target.owner for target in targets} - progress.failed_owners
            if other_owners and progress.overloaded_shards < MAX_OVERLOADED_SHARDS:
                return
        raise progress.final_error(refusal) from error

    async def stream_from_owner(
        self, target: Target, work: Work
    ) -> AsyncIterator[Chunk]:
        """Stream one attempt; the end marker must match the tokens received."""
        if target.owner == self.name:
            owner = self.owners.owner(target.service, target.shard)
            async with aclosing(owner.generate(work)) as chunks:
                async for chunk in chunks:
                    yield chunk
            return
        is_cross_region = target.region != self.choice.region
        message = generate_message(work, target.shard)
        if is_cross_region:
            self.cross_region.charge(work.service, work.party, len(message.prompt))
        received_tokens = 0
        async with aclosing(
            self.bus.stream(target.owner, message, work.deadline_ms)
        ) as replies:
            async for reply in replies:
                if isinstance(reply, AnswerChunk):
                    received_tokens += reply.tokens
                    if is_cross_region:
                        self.cross_region.charge(
                            work.service, work.party, len(reply.text)
                        )
                    yield chunk_from_message(reply)
                elif isinstance(reply, AnswerEnd) and reply.tokens == received_tokens:
                    return
                elif isinstance(reply, Refused):
                    raise RefusedError(refusal_from_message(reply))
                else:
                    break
        raise StepError("route.stream", target.owner, "stream ended without its end")

    async def call_owner(self, target: Target, work: Work) -> CallAnswer:
        """Run one attempt of a call."""
        if target.owner == self.name:
            owner = self.owners.owner(target.service, target.shard)
            return await owner.call(work)
        message = call_message(work, target.shard)
        reply = await self.bus.request(target.owner, message, work.deadline_ms)
        response = response_from_message(reply, target.owner)
        if target.region != self.choice.region:
            size_bytes = len(message.body) + len(response.body)
            self.cross_region.charge(work.service, work.party, size_bytes)
        return response


def has_all_tokens(work: Work, tokens: int) -> bool:
    """Tell whether all tokens that a generation may have were received."""
    payload = work.payload
    return isinstance(payload, GenerateWork) and tokens >= payload.max_tokens


DEADLINE_REFUSAL = Refusal(
    Outcome.NOT_RUN, "deadline", "the deadline passed before a backend server had it"
)


def no_target_refusal(work: Work) -> Refusal:
    """Return the refusal of a request that no known shard can take."""
    return Refusal(
        Outcome.NOT_RUN,
        "no_backend_server",
        f"no backend server of {work.service} can be reached from here",
        NO_TARGET_RETRY_MS,
    )


def lost_owner_refusal(error: StepError) -> Refusal:
    """Return the refusal of a non-idempotent request whose owner was lost."""
    return Refusal(
        Outcome.MAY_HAVE_RUN,
        "connection_lost",
        f"the connection to entry VM {error.peer} broke after the request was sent; "
        "it will not be run again",
    )


def budget_refusal(error: StepError) -> Refusal:
    """Return the refusal of a request that may not be repeated now."""
    return Refusal(
        Outcome.GIVEN_UP,
        "retry_budget",
        f"{error.step} failed at {error.peer} and the retry budget is used up",
        NO_TARGET_RETRY_MS,
    )
