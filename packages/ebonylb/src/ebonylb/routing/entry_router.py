"""Routing of requests to shard owners, on the entry VM that accepted them."""

import logging
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from dataclasses import dataclass, replace

from ..crashes import fingerprint
from ..interfaces import CallResponse, Clock
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

MAX_HANDOVERS = 8  # handovers use no retry budget, so they need their own limit
NO_TARGET_RETRY_MS = 1_000
HANDOVER_DELAY_MS = 25
MAX_OVERLOADED_SHARDS = 2  # refusals due to load before the caller is refused
REROUTE_REASONS = frozenset({"moved", "suspect"})
OVERLOAD_REASONS = frozenset({"queue_full", "deadline"})


class LocalOwners(ABC):
    """Provides the owners of shards in this process."""

    @abstractmethod
    def owner(self, service: str, shard: int) -> Executor:
        """Return the owner of a shard, creating it on first use."""


@dataclass(slots=True)
class RequestProgress:
    """State of one request over all its attempts on shard owners.

    `may_have_run` is set once an attempt's outcome is unclear; from then on no
    refusal of this request may state "not run".
    """

    work: Work
    started_ms: float
    attempt_number: int = 0
    handover_count: int = 0
    overloaded_shards: int = 0
    may_have_run: bool = False
    failed_owners: frozenset[str] = frozenset()

    def final_error(self, refusal: Refusal) -> RefusedError:
        """Return the final refusal as an error; its outcome covers all attempts."""
        if self.may_have_run and refusal.outcome is Outcome.NOT_RUN:
            refusal = replace(refusal, outcome=Outcome.GIVEN_UP)
        return RefusedError(refusal)


class EntryRouter(Executor):
    """Sends work to shard owners, retrying on others where that is safe.

    Parameters
    ----------
    name : str
        Name of this entry VM.
    bus : PeerBus
        Links to the other entry VMs.
    owners : LocalOwners
        Owners in this process; work for them is not forwarded.
    source : TargetSource
        Known shards.
    target_choice : TargetChoice
        Selects the shard of a request.
    budget : RetryBudget
        Limits retries.
    cross_region : CrossRegionBudget
        Limits bytes on the paid link.
    clock : Clock
        Time source.
    trace : RequestTrace
        Records routing decisions.
    strikes : callable
        Maps a fingerprint to the number of crashes in which it was running. A struck
        request always goes to the same shard, whose owner does not run two of its
        copies at once.
    """

    def __init__(
        self,
        name: str,
        bus: PeerBus,
        owners: LocalOwners,
        source: TargetSource,
        target_choice: TargetChoice,
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
        self.target_choice = target_choice
        self.budget = budget
        self.cross_region = cross_region
        self.clock = clock
        self.trace = trace
        self.strikes = strikes

    async def generate(self, work: Work) -> AsyncIterator[Chunk]:
        """Stream a generation, continuing on another owner where that is safe."""
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
                    return  # only the end marker is missing
                await self.handle_failure(progress, target, error)

    async def call(self, work: Work) -> CallResponse:
        """Run a plain-service call, retrying it only where that is safe."""
        progress = self.start_request(work)
        while True:
            target, attempt_work = self.prepare_attempt(progress, "", 0)
            try:
                return await self.call_owner(target, attempt_work)
            except (StepError, RefusedError) as error:
                await self.handle_failure(progress, target, error)

    def start_request(self, work: Work) -> RequestProgress:
        """Return the state of a new request and credit its retry budget."""
        self.budget.record_first_attempt(work.party, work.service)
        return RequestProgress(work, self.clock.monotonic_ms())

    def prepare_attempt(
        self, progress: RequestProgress, text: str, tokens: int
    ) -> tuple[Target, Work]:
        """Choose a target and return it with the work that remains to be done.

        Raises
        ------
        RefusedError
            No shard can take the request, or its deadline has passed.
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
            target = self.target_choice.home(targets, request_fingerprint)
        else:
            target = self.target_choice.choose(
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
        self.target_choice.forwarded.add(target, size)
        self.source.ensure_link(target)
        attempt_work = replace(
            work,
            request_id=f"{work.request_id}.{progress.attempt_number}",
            payload=payload,
            deadline_ms=remaining_ms,
        )
        self.trace.record(
            attempt_work.request_id,
            "route",
            f"to shard {target.shard} of {target.service} in "
            f"{target.failure_domain}, owner {target.owner}, expected wait "
            f"{self.target_choice.expected_wait_ms(target):.0f} ms",
        )
        return target, attempt_work

    async def handle_failure(
        self, progress: RequestProgress, target: Target, error: StepError | RefusedError
    ) -> None:
        """Record a failed attempt; return once another attempt may be made.

        Raises
        ------
        RefusedError
            The request must not be attempted again.
        """
        work = progress.work
        self.trace.record(
            f"{work.request_id}.{progress.attempt_number}", "attempt failed", str(error)
        )
        progress.failed_owners |= {target.owner}
        if isinstance(error, RefusedError):
            self.handle_refusal(progress, error)
        else:
            self.handle_step_error(progress, target, error)
        if progress.handover_count > 1:
            # An outdated membership view would route the request to the same owner
            # again, so allow some time for it to be updated.
            await self.clock.sleep_ms(HANDOVER_DELAY_MS * progress.handover_count)

    def handle_step_error(
        self, progress: RequestProgress, target: Target, error: StepError
    ) -> None:
        """Return normally if the request may be retried after a technical failure.

        Raises
        ------
        RefusedError
            The request is not idempotent, or the retry budget is used up.
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
        if not self.budget.try_spend(work.party, work.service):
            raise RefusedError(budget_refusal(error)) from error

    def handle_refusal(self, progress: RequestProgress, error: RefusedError) -> None:
        """Return normally if another owner may take a request that one has refused.

        Raises
        ------
        RefusedError
            The refusal is final.
        """
        refusal = error.refusal
        was_not_run = refusal.outcome is Outcome.NOT_RUN
        progress.may_have_run |= not was_not_run
        if refusal.reason in REROUTE_REASONS:
            can_retry = was_not_run or progress.work.idempotent
            if can_retry and progress.handover_count < MAX_HANDOVERS:
                progress.handover_count += 1
                return
        elif was_not_run and refusal.reason in OVERLOAD_REASONS:
            progress.overloaded_shards += 1
            targets = self.source.targets(progress.work.service)
            other_owners = {target.owner for target in targets} - progress.failed_owners
            if other_owners and progress.overloaded_shards < MAX_OVERLOADED_SHARDS:
                return
        raise progress.final_error(refusal) from error

    async def stream_from_owner(
        self, target: Target, work: Work
    ) -> AsyncIterator[Chunk]:
        """Stream one attempt from a local or remote owner.

        Raises
        ------
        RefusedError
            The owner refused the work.
        StepError
            The stream ended without an end marker that matches the received tokens.
        """
        if target.owner == self.name:
            owner = self.owners.owner(target.service, target.shard)
            async with aclosing(owner.generate(work)) as chunks:
                async for chunk in chunks:
                    yield chunk
            return
        is_cross_region = target.region != self.target_choice.region
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
        raise StepError(
            "route.stream",
            target.owner,
            "stream ended without its end",
        )

    async def call_owner(self, target: Target, work: Work) -> CallResponse:
        """Run one attempt of a call on a local or remote owner.

        Raises
        ------
        RefusedError
            The owner refused the work.
        StepError
            The owner could not be reached, or its reply is of an unexpected type.
        """
        if target.owner == self.name:
            owner = self.owners.owner(target.service, target.shard)
            return await owner.call(work)
        message = call_message(work, target.shard)
        reply = await self.bus.request(target.owner, message, work.deadline_ms)
        response = response_from_message(reply, target.owner)
        if target.region != self.target_choice.region:
            size_bytes = len(message.body) + len(response.body)
            self.cross_region.charge(work.service, work.party, size_bytes)
        return response


def has_all_tokens(work: Work, tokens: int) -> bool:
    """Return whether a generation has received its maximum number of tokens."""
    payload = work.payload
    return isinstance(payload, GenerateWork) and tokens >= payload.max_tokens


DEADLINE_REFUSAL = Refusal(
    Outcome.NOT_RUN,
    "deadline",
    "the deadline passed before a backend server had it",
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
    """Return the refusal of a non-idempotent request after a lost connection."""
    return Refusal(
        Outcome.MAY_HAVE_RUN,
        "connection_lost",
        f"the connection to entry VM {error.peer} broke after the request was sent; "
        "it will not be run again",
    )


def budget_refusal(error: StepError) -> Refusal:
    """Return the refusal of a request whose retry the budget does not allow."""
    return Refusal(
        Outcome.GIVEN_UP,
        "retry_budget",
        f"{error.step} failed at {error.peer} and the retry budget is used up",
        NO_TARGET_RETRY_MS,
    )
