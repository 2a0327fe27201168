"""Jobs admitted by a shard owner and their attempts on servers."""

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..interfaces import CallResponse
from ..outcomes import Outcome, Refusal, StepError
from ..scheduling import QueueEntry
from .work import CallWork, Chunk, GenerateWork, Work

if TYPE_CHECKING:
    from .server_slot import ServerSlot


@dataclass(frozen=True, slots=True)
class Completion:
    """End marker of a successful job.

    Parameters
    ----------
    response : CallResponse or None
        Response of a call; None for a generation, whose chunks came before.
    """

    response: CallResponse | None = None


JobOutput = Chunk | Completion | Refusal


@dataclass(slots=True, eq=False)
class Attempt:
    """One run of a job on one server.

    Parameters
    ----------
    job : Job
        Job that is run.
    slot : ServerSlot
        Server that runs it.
    request_id : str
        Identifier sent to the server, unique per attempt.
    started_ms : float
        Monotonic time of the launch.
    last_chunk_ms : float
        Monotonic time of the last chunk, or of the launch before the first one.
    is_hedge : bool
        Whether another attempt of the job was running at the launch. Cleared once
        this attempt has won or is the only one left.
    long : bool
        Whether the server counts the attempt as long work.
    received_tokens : int
        Tokens received from the server.
    completed : bool
        Whether the attempt ended successfully.
    """

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
    """Admitted work with its state over all attempts.

    Parameters
    ----------
    work : Work
        Work as received.
    fingerprint : str
        Key under which strikes are counted.
    size_key : str
        Kind under which the size is predicted.
    predicted_size : int
        Predicted tokens, or milliseconds of service time for a call.
    long : bool
        Whether the predicted or the reached size is long.
    admitted_ms : float
        Monotonic time of the admission.
    deadline_ms : float
        Monotonic time after which the response is useless.
    held_chunks : list of Chunk
        Chunks of the first attempt that are held back while the job is hedged.
    failed_servers : frozenset of str
        Servers of failed attempts, avoided while there are others.
    generated_texts : list of str
        Texts sent to the caller.
    emitted_tokens : int
        Tokens sent to the caller.
    charged_tokens, consumed_tokens : float
        Tokens charged to the party and tokens served, since the last dispatch.
    was_sent : bool
        Whether any part of the request may have left for a server.
    may_have_run : bool
        Whether a server may have run the work.
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
        """Maximum number of tokens still to be generated; 1 for a call."""
        payload = self.work.payload
        return payload.max_tokens - self.emitted_tokens if is_generation(payload) else 1

    @property
    def predicted_remaining(self) -> int:
        """Predicted tokens still to come, at least an eighth of the predicted size."""
        return max(
            1, self.predicted_size - self.emitted_tokens, self.predicted_size // 8
        )

    def outcome(self) -> Outcome:
        """Return the outcome that a refusal of this job may state truthfully."""
        unclear = self.may_have_run or self.attempts
        return Outcome.MAY_HAVE_RUN if unclear else Outcome.NOT_RUN

    def remaining_payload(self) -> GenerateWork | CallWork:
        """Return the payload for the next attempt, which continues the emitted text."""
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
    """Return whether a payload is a generation, as opposed to a call."""
    return isinstance(payload, GenerateWork)


def proves_unsent(error: StepError) -> bool:
    """Return whether an error proves that no byte of the request was sent."""
    return error.step.endswith(".connect") and not error.may_have_run


def may_be_crash(error: StepError) -> bool:
    """Return whether an error may have been caused by a server crash."""
    return error.step in ("engine.stream", "service.answer")
