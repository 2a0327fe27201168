"""Attempts of a shard owner: launch, observation, retry and hedge."""

from typing import TYPE_CHECKING

from ..crashes import MAX_STRIKES
from ..edges import CallAnswer, EngineChunk
from ..outcomes import Outcome, StepError
from ..retries import Progress, hedge_pays
from .attempt_runner import AttemptObserver, run_attempt
from .jobs import Attempt, Job, Whole, is_generate, surely_unsent
from .overload import struck_out
from .server_slot import ServerSlot
from .work import Chunk

if TYPE_CHECKING:
    from .owner import ShardOwner


class Dispatcher(AttemptObserver):
    """Runs the attempts of one owner's jobs.

    A job has one attempt, or two while it is hedged. The first chunk of a copy, or
    the end of the first attempt, decides; until then chunks of the first attempt
    are held back, because the copy continues from the text sent so far.
    """

    def __init__(self, owner: "ShardOwner") -> None:
        self.owner = owner
        self.clock = owner.clock
        self.attempts = 0
        self.repeats = 0

    def launch(self, job: Job, slot: ServerSlot, copy: bool = False) -> None:
        """Start an attempt on a server."""
        owner, work = self.owner, job.work
        now = self.clock.monotonic_ms()
        job.launches += 1
        self.attempts += 1
        if job.launches == 1:
            owner.wiring.budget.first_attempt(work.party, work.service)
        else:
            self.repeats += 1
        request_id = work.request_id
        if job.launches > 1:
            request_id = f"{request_id}.{job.launches}"
        attempt = Attempt(job, slot, request_id, now, now, copy)
        job.attempts.append(attempt)
        slot.running.add(attempt)
        slot.launched_ms = now
        attempt.long = job.long
        slot.long_running += job.long
        slot.window.note_running(len(slot.running))
        owner.wiring.book.runs.begin(job.fingerprint, slot.name)
        owner.placement.placed(job, slot)
        attempt.task = owner.spawn(run_attempt(attempt, self, self.clock))
        # A task that is cancelled before its first step runs no cleanup of its own.
        attempt.task.add_done_callback(lambda _: self.release(attempt))

    def cancel(self, attempt: Attempt) -> None:
        """End an attempt whose result is not needed any more."""
        if attempt in attempt.job.attempts:
            attempt.job.attempts.remove(attempt)
        attempt.job.sent = attempt.job.may_have_run = True
        if attempt.task is not None:
            attempt.task.cancel()

    def on_chunk(self, attempt: Attempt, chunk: EngineChunk) -> None:
        """Pass tokens on, or hold them while a copy races."""
        job, slot = attempt.job, attempt.slot
        now = self.clock.monotonic_ms()
        if attempt.received:
            slot.window.observe((now - attempt.last_ms) / max(1, chunk.tokens))
        attempt.last_ms = now
        slot.chunk_tokens += 0.05 * (chunk.tokens - slot.chunk_tokens)
        attempt.received += chunk.tokens
        slot.version = max(slot.version, chunk.version)
        self.consume(job, chunk.tokens)
        if attempt not in job.attempts:
            return
        item = Chunk(chunk.text, chunk.tokens, chunk.version, slot.name)
        if len(job.attempts) > 1 and not attempt.copy:
            job.held.append(item)
            return
        if attempt.copy and len(job.attempts) > 1:
            self.win(attempt)
        self.emit(job, item)

    def emit(self, job: Job, item: Chunk) -> None:
        """Send a chunk to the caller; the text cannot be taken back from then on."""
        job.tokens += item.tokens
        job.generated.append(item.text)
        job.output.put_nowait(item)
        predictor = self.owner.predictor
        if not job.long and predictor.is_long(job.work.service, job.tokens):
            job.long = True
            for attempt in job.attempts:
                attempt.long = True
                attempt.slot.long_running += 1

    def win(self, attempt: Attempt) -> None:
        """Settle a race in favour of an attempt."""
        job = attempt.job
        attempt.copy = False
        for other in [a for a in job.attempts if a is not attempt]:
            self.cancel(other)
        job.held.clear()

    def consume(self, job: Job, tokens: float) -> None:
        """Count served tokens; an outgrown prediction is charged at once."""
        owner, party = self.owner, job.work.party
        owner.served[party] = owner.served.get(party, 0) + round(tokens)
        owner.drain_rate.add(tokens)
        job.consumed += tokens
        if job.consumed > job.charged:
            owner.queue.correct(party, job.charged)
            job.charged *= 2

    def on_whole(self, attempt: Attempt, answer: CallAnswer | None) -> None:
        """Finish a job with a whole answer."""
        job, owner = attempt.job, self.owner
        owner.wiring.report(attempt.slot.server, None)
        size = job.tokens
        if answer is not None:
            size = max(1, round(self.clock.monotonic_ms() - attempt.started_ms))
            self.consume(job, size)
        if attempt not in job.attempts:
            return
        if len(job.attempts) > 1:
            held = [] if attempt.copy else list(job.held)
            self.win(attempt)
            for item in held:
                self.emit(job, item)
            size = job.tokens if answer is None else size
        owner.predictor.record(job.work.party, owner.service, job.size_key, size)
        owner.queue.correct(job.work.party, job.consumed - job.charged)
        job.charged = job.consumed
        job.attempts.remove(attempt)
        owner.end(job, Whole(answer))

    def on_error(self, attempt: Attempt, error: StepError, crashed: bool) -> None:
        """Repeat the job elsewhere when that is safe and paid for, else refuse it."""
        job, owner = attempt.job, self.owner
        owner.wiring.report(attempt.slot.server, error)
        if attempt not in job.attempts:
            return
        job.attempts.remove(attempt)
        unsent = surely_unsent(error)
        if unsent:
            # An idle server that refuses connections would attract all jobs.
            attempt.slot.ready = False
        job.sent = job.sent or not unsent
        job.may_have_run = job.may_have_run or error.may_have_run
        job.avoid = job.avoid | {attempt.slot.name}
        if job.attempts:  # the other copy goes on alone
            survivor = job.attempts[0]
            held = [] if survivor.copy else list(job.held)
            job.held.clear()
            survivor.copy = False
            for item in held:
                self.emit(job, item)
            return
        owner.queue.correct(job.work.party, job.consumed - job.charged)
        job.charged = job.consumed = 0.0
        self.settle(job, error, unsent, crashed)

    def abandon(self, attempt: Attempt) -> None:
        """Fail an attempt that was running on a crashed server."""
        step = "engine.stream" if attempt.slot.is_engine else "service.answer"
        error = StepError(step, attempt.slot.name, "the server crashed")
        self.on_error(attempt, error, True)
        if attempt.task is not None:
            attempt.task.cancel()

    def settle(self, job: Job, error: StepError, unsent: bool, crashed: bool) -> None:
        """Decide what becomes of a job without an attempt."""
        owner, work = self.owner, job.work
        if is_generate(work.payload) and job.tokens_left <= 0:
            owner.end(job, Whole())  # all tokens came; only the end marker is lost
            return
        if owner.wiring.book.strikes(job.fingerprint) >= MAX_STRIKES:
            owner.end(job, struck_out())
            return
        wait = owner.overload.wait_ms(1.0, owner.queue.tokens, 0)
        if job.sent and not work.idempotent:
            # A server that states that it ran nothing still had the request, so it
            # is not sent again here; the caller may send it again.
            reason = "interrupted" if job.may_have_run else "server_refused"
            self.refuse(job, reason, str(error), wait, job.outcome())
            return
        if owner.struck(job) and not owner.wiring.is_home(
            owner.service, owner.shard, job.fingerprint
        ):
            self.refuse(job, "suspect", str(error), 0.0, job.outcome())
            return
        # A server that is leaving or cannot be reached costs no capacity, and each
        # is tried once, so only other repeats are paid from the budget.
        free = unsent or error.step.endswith(".draining")
        if free and job.launches > len(owner.slots) + 1:
            free = False
        if not free and not owner.wiring.budget.spend(work.party, work.service):
            self.refuse(job, "retry_budget", str(error), wait, job.outcome())
            return
        if owner.draining:
            self.refuse(job, "moved", str(error), 0.0, job.outcome())
            return
        owner.enqueue(job, front=True)

    def refuse(
        self, job: Job, reason: str, message: str, wait_ms: float, outcome: Outcome
    ) -> None:
        """End a job with a refusal."""
        refusal = self.owner.overload.refusal(reason, message, wait_ms, outcome)
        self.owner.end(job, refusal)

    def release(self, attempt: Attempt) -> None:
        """Free the server's slot and dispatch what waits."""
        job, slot = attempt.job, attempt.slot
        slot.running.discard(attempt)
        slot.long_running -= attempt.long
        self.owner.wiring.book.runs.end(job.fingerprint, slot.name, attempt.completed)
        if attempt in job.attempts:  # cancelled from outside
            job.attempts.remove(attempt)
            job.sent = job.may_have_run = True
        if not attempt.completed and job.done and job.charged:
            self.owner.queue.correct(job.work.party, job.consumed - job.charged)
            job.charged = job.consumed = 0.0
        self.owner.dispatch()

    def hedge(self) -> None:
        """Copy short idempotent work from slow servers to others with room."""
        owner = self.owner
        if not owner.knobs.hedge:
            return
        for slot in list(owner.slots.values()):
            if not slot.window.slow:
                continue
            for attempt in sorted(slot.running, key=lambda a: a.started_ms):
                other = self.hedge_target(attempt)
                if other is None:
                    continue
                work = attempt.job.work
                if not owner.wiring.budget.spend(work.party, work.service):
                    break
                self.launch(attempt.job, other, copy=True)

    def hedge_target(self, attempt: Attempt) -> ServerSlot | None:
        """Return the server for a copy of an attempt, if a copy pays."""
        job, slot = attempt.job, attempt.slot
        if job.done or attempt not in job.attempts:
            return None
        others = [
            other
            for other in self.owner.slots.values()
            if other is not slot
            and other.room > 0
            and other.window.gap_ms is not None
            and not other.window.slow
            and other.name not in job.work.exclude
            and other.version >= job.work.min_version
            and self.owner.wiring.book.runs.can_run(job.fingerprint, other.name, True)
        ]
        if not others:
            return None
        best = min(others, key=lambda other: other.load)
        progress = Progress(
            self.clock.monotonic_ms() - attempt.started_ms,
            attempt.received,
            job.remaining if is_generate(job.work.payload) else 1,
            job.work.idempotent,
            job.long,
            len(job.attempts),
        )
        gain = self.owner.knobs.hedge_gain
        pays = hedge_pays(progress, slot.window.gap_ms, best.window.gap_ms, gain)
        return best if pays else None
