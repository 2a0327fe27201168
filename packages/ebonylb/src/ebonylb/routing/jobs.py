"""Work in the hands of a shard owner, and its attempts on servers."""

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..edges import CallAnswer
from ..outcomes import Outcome, Refusal, StepError
from ..scheduling import QueueEntry
from .work import CallWork, Chunk, GenerateWork, Work

if TYPE_CHECKING:
    from .server_slot import ServerSlot


@dataclass(frozen=True, slots=True)
class Completion:
    """End marker of a whole answer; a call's answer comes with it."""

    response: CallAnswer | None = None


JobOutput = Chunk | Completion | Refusal


@dataclass(slots=True, eq=False)
class Attempt:
    """One run of a job on one server."""

    job: "Job"
    slot: "ServerSlot"
    request_id: str
    started_ms: float
    last_chunk_ms: float
    is_hedge: bool = False
    long: bool = False
    received_tokens: int = 0
    completed: bool = False
    task: "asyncio.Task[None] | None" = None


@dataclass(slots=True, eq=False)
class Job:
    """One admitted piece of work.

    Parameters
    ----------
    work : Work
        What to run, as received.
    fingerprint : str
        Identity for strikes.
    size_key : str
        Kind under which the size is predicted.
    predicted : int
        Predicted tokens (milliseconds of service for a call).
    long : bool
        Predicted or found to be long.
    deadline_ms : float
        Monotonic time at which the answer is of no use any more.
    """

    work: Work
    fingerprint: str
    size_key: str
    predicted_size: int
    long: bool
    admitted_ms: float
    deadline_ms: float
    queue_entry: QueueEntry | None = None
    output: "asyncio.Queue[JobOutput]" = field(default_factory=asyncio.Queue)
    attempts: list[Attempt] = field(default_factory=list)
    held_chunks: list[Chunk] = field(default_factory=list)
    failed_servers: frozenset[str] = frozenset()
    generated_texts: list[str] = field(default_factory=list)
    emitted_tokens: int = 0
    charged_tokens: float = 0.0
    consumed_tokens: float = 0.0
    launch_count: int = 0
    was_sent: bool = False
    may_have_run: bool = False
    done: bool = False
    deadline_timer: asyncio.TimerHandle | None = None

    @property
    def max_remaining_tokens(self) -> int:
        """Return the tokens that may still be generated."""
        payload = self.work.payload
        return payload.max_tokens - self.emitted_tokens if is_generation(payload) else 1

    @property
    def predicted_remaining(self) -> int:
        """Return the tokens predicted to come."""
        return max(
            1, self.predicted_size - self.emitted_tokens, self.predicted_size // 8
        )

    def outcome(self) -> Outcome:
        """Return what a refusal may truthfully say."""
        unclear = self.may_have_run or self.attempts
        return Outcome.MAY_HAVE_RUN if unclear else Outcome.NOT_RUN

    def remaining_payload(self) -> GenerateWork | CallWork:
        """Return the payload for the next attempt, continued after what is known."""
        payload = self.work.payload
        if not is_generation(payload) or not self.emitted_tokens:
            return payload
        return GenerateWork(
            payload.prompt,
            self.max_remaining_tokens,
            payload.seed,
            payload.generated + "".join(self.generated_texts),
        )


def is_generation(payload: GenerateWork | CallWork) -> bool:
    """Tell generations from calls."""
    return isinstance(payload, GenerateWork)


def proves_unsent(error: StepError) -> bool:
    """Tell whether an error proves that no byte of the request left."""
    return error.step.endswith(".connect") and not error.may_have_run


def may_be_crash(error: StepError) -> bool:
    """Tell whether an error may be the sign of a crashed server."""
    return error.step in ("engine.stream", "service.answer")
