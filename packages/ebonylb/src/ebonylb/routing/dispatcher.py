"""Launch, observation, retry and hedging of attempts for a shard owner."""

from typing import TYPE_CHECKING

from ..crashes import MAX_STRIKES
from ..interfaces import CallResponse, EngineChunk
from ..outcomes import Outcome, StepError
from ..retries import AttemptProgress, should_hedge
from .attempt_runner import AttemptObserver, run_attempt
from .jobs import Attempt, Completion, Job, is_generation, proves_unsent
from .overload import crash_refusal
from .server_slot import ServerSlot
from .work import Chunk

if TYPE_CHECKING:
    from .owner import ShardOwner


class Dispatcher(AttemptObserver):
    """Runs the attempts of one owner's jobs.

    A job has one attempt, or two while it is hedged. The first chunk of the hedge, or
    the end of either attempt, decides which one wins. Until then chunks of the first
    attempt are held back, because the hedge continues from the text sent so far.
    """

    def __init__(self, owner: "ShardOwner") -> None:
        self.owner = owner
        self.clock = owner.clock
        self.attempt_count = 0
        self.extra_attempt_count = 0

    def launch(self, job: Job, slot: ServerSlot, is_hedge: bool = False) -> None:
        """Start an attempt of a job on a server."""
        owner, work = self.owner, job.work
        now = self.clock.monotonic_ms()
        job.launch_count += 1
        self.attempt_count += 1
        if job.launch_count == 1:
            owner.dependencies.budget.record_first_attempt(work.party, work.service)
        else:
            self.extra_attempt_count += 1
        request_id = work.request_id
        if job.launch_count > 1:
            request_id = f"{request_id}.{job.launch_count}"
        attempt = Attempt(job, slot, request_id, now, now, is_hedge)
        job.attempts.append(attempt)
        slot.running.add(attempt)
        slot.last_launch_ms = now
        attempt.long = job.long
        slot.long_running += job.long
        slot.window.record_running(len(slot.running))
        owner.dependencies.strike_registry.runs.begin(job.fingerprint, slot.name)
        owner.placement.remember_group(job, slot)
        attempt.task = owner.spawn(run_attempt(attempt, self, self.clock))
        # A task that is cancelled before its first step never runs its own cleanup.
        attempt.task.add_done_callback(lambda _: self.release(attempt))

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt whose result is no longer needed."""
        if attempt in attempt.job.attempts:
            attempt.job.attempts.remove(attempt)
        attempt.job.was_sent = attempt.job.may_have_run = True
        if attempt.task is not None:
            attempt.task.cancel()

    def on_chunk(self, attempt: Attempt, chunk: EngineChunk) -> None:
        """Emit a chunk, or hold it back while the job is hedged."""
        job, slot = attempt.job, attempt.slot
        now = self.clock.monotonic_ms()
        if attempt.received_tokens:
            slot.window.record_gap((now - attempt.last_chunk_ms) / max(1, chunk.tokens))
        attempt.last_chunk_ms = now
        slot.mean_chunk_tokens += 0.05 * (chunk.tokens - slot.mean_chunk_tokens)
        attempt.received_tokens += chunk.tokens
        slot.version = max(slot.version, chunk.version)
        self.charge_served(job, chunk.tokens)
        if attempt not in job.attempts:
            return
        item = Chunk(chunk.text, chunk.tokens, chunk.version, slot.name)
        if len(job.attempts) > 1 and not attempt.is_hedge:
            job.held_chunks.append(item)
            return
        if attempt.is_hedge and len(job.attempts) > 1:
            self.select_winner(attempt)
        self.emit(job, item)

    def emit(self, job: Job, item: Chunk) -> None:
        """Send a chunk to the caller; every later attempt must continue after it."""
        job.emitted_tokens += item.tokens
        job.generated_texts.append(item.text)
        job.output.put_nowait(item)
        predictor = self.owner.predictor
        if not job.long and predictor.is_long(job.work.service, job.emitted_tokens):
            job.long = True
            for attempt in job.attempts:
                attempt.long = True
                attempt.slot.long_running += 1

    def select_winner(self, attempt: Attempt) -> None:
        """Cancel the other attempts of a hedged job and discard its held chunks."""
        job = attempt.job
        attempt.is_hedge = False
        for other in [a for a in job.attempts if a is not attempt]:
            self.cancel(other)
        job.held_chunks.clear()

    def charge_served(self, job: Job, tokens: float) -> None:
        """Count served tokens; double the job's charge when they exceed the charge."""
        owner, party = self.owner, job.work.party
        owner.served[party] = owner.served.get(party, 0) + round(tokens)
        owner.drain_rate.add(tokens)
        job.consumed_tokens += tokens
        if job.consumed_tokens > job.charged_tokens:
            owner.queue.adjust_charge(party, job.charged_tokens)
            job.charged_tokens *= 2

    def on_complete(self, attempt: Attempt, response: CallResponse | None) -> None:
        """End a job whose attempt completed, and correct the charge to its size."""
        job, owner = attempt.job, self.owner
        owner.dependencies.report(attempt.slot.server, None)
        size = job.emitted_tokens
        if response is not None:
            size = max(1, round(self.clock.monotonic_ms() - attempt.started_ms))
            self.charge_served(job, size)
        if attempt not in job.attempts:
            return
        if len(job.attempts) > 1:
            held_chunks = [] if attempt.is_hedge else list(job.held_chunks)
            self.select_winner(attempt)
            for item in held_chunks:
                self.emit(job, item)
            size = job.emitted_tokens if response is None else size
        owner.predictor.record(job.work.party, owner.service, job.size_key, size)
        owner.queue.adjust_charge(
            job.work.party, job.consumed_tokens - job.charged_tokens
        )
        job.charged_tokens = job.consumed_tokens
        job.attempts.remove(attempt)
        owner.end_job(job, Completion(response))

    def on_error(self, attempt: Attempt, error: StepError, crashed: bool) -> None:
        """Retry the job if that is safe and within the budget, else refuse it."""
        job, owner = attempt.job, self.owner
        owner.dependencies.report(attempt.slot.server, error)
        if attempt not in job.attempts:
            return
        job.attempts.remove(attempt)
        is_unsent = proves_unsent(error)
        if is_unsent:
            # A server that refuses connections stays idle and so looks least loaded;
            # without this it would get all jobs.
            attempt.slot.ready = False
        job.was_sent = job.was_sent or not is_unsent
        job.may_have_run = job.may_have_run or error.may_have_run
        job.failed_servers = job.failed_servers | {attempt.slot.name}
        if job.attempts:  # the other attempt of a hedged job continues
            survivor = job.attempts[0]
            held_chunks = [] if survivor.is_hedge else list(job.held_chunks)
            job.held_chunks.clear()
            survivor.is_hedge = False
            for item in held_chunks:
                self.emit(job, item)
            return
        owner.queue.adjust_charge(
            job.work.party, job.consumed_tokens - job.charged_tokens
        )
        job.charged_tokens = job.consumed_tokens = 0.0
        self.retry_or_end(job, error, is_unsent, crashed)

    def fail_attempt(self, attempt: Attempt) -> None:
        """Fail an attempt that was running on a crashed server."""
        step = "engine.stream" if attempt.slot.is_engine else "service.answer"
        error = StepError(step, attempt.slot.name, "the server crashed")
        self.on_error(attempt, error, True)
        if attempt.task is not None:
            attempt.task.cancel()

    def retry_or_end(
        self, job: Job, error: StepError, is_unsent: bool, crashed: bool
    ) -> None:
        """Queue a job again after its last attempt failed, or end it."""
        owner, work = self.owner, job.work
        if is_generation(work.payload) and job.max_remaining_tokens <= 0:
            # All tokens were received; only the end marker is missing.
            owner.end_job(job, Completion())
            return
        if owner.dependencies.strike_registry.strikes(job.fingerprint) >= MAX_STRIKES:
            owner.end_job(job, crash_refusal())
            return
        wait_ms = owner.wait_estimator.expected_wait_ms(
            1.0, owner.queue.waiting_tokens, 0
        )
        if job.was_sent and not work.idempotent:
            # The request reached a server, even if the server reports that it did not
            # run it. It is not sent again here; the caller may do so.
            reason = "interrupted" if job.may_have_run else "server_refused"
            self.refuse(job, reason, str(error), wait_ms, job.outcome())
            return
        if owner.is_struck(job) and not owner.dependencies.is_home(
            owner.service, owner.shard, job.fingerprint
        ):
            self.refuse(job, "suspect", str(error), 0.0, job.outcome())
            return
        # A draining or unreachable server uses no capacity, and each is tried only
        # once, so only other retries are charged to the budget.
        is_budget_exempt = is_unsent or error.step.endswith(".draining")
        if is_budget_exempt and job.launch_count > len(owner.slots) + 1:
            is_budget_exempt = False
        if not is_budget_exempt and not owner.dependencies.budget.try_spend(
            work.party, work.service
        ):
            self.refuse(job, "retry_budget", str(error), wait_ms, job.outcome())
            return
        if owner.draining:
            self.refuse(job, "moved", str(error), 0.0, job.outcome())
            return
        owner.enqueue(job, front=True)

    def refuse(
        self, job: Job, reason: str, message: str, wait_ms: float, outcome: Outcome
    ) -> None:
        """End a job with a refusal."""
        refusal = self.owner.wait_estimator.make_refusal(
            reason, message, wait_ms, outcome
        )
        self.owner.end_job(job, refusal)

    def release(self, attempt: Attempt) -> None:
        """Release an attempt's place on its server and dispatch waiting jobs."""
        job, slot = attempt.job, attempt.slot
        slot.running.discard(attempt)
        slot.long_running -= attempt.long
        self.owner.dependencies.strike_registry.runs.end(
            job.fingerprint, slot.name, attempt.completed
        )
        if attempt in job.attempts:  # the task was cancelled, but not by `cancel`
            job.attempts.remove(attempt)
            job.was_sent = job.may_have_run = True
        if not attempt.completed and job.done and job.charged_tokens:
            self.owner.queue.adjust_charge(
                job.work.party, job.consumed_tokens - job.charged_tokens
            )
            job.charged_tokens = job.consumed_tokens = 0.0
        self.owner.dispatch()

    def launch_hedges(self) -> None:
        """Hedge short idempotent work of slow servers on servers with free capacity."""
        owner = self.owner
        if not owner.parameters.hedge:
            return
        for slot in list(owner.slots.values()):
            if not slot.window.slow:
                continue
            for attempt in sorted(slot.running, key=lambda a: a.started_ms):
                other = self.find_hedge_server(attempt)
                if other is None:
                    continue
                work = attempt.job.work
                if not owner.dependencies.budget.try_spend(work.party, work.service):
                    break
                self.launch(attempt.job, other, is_hedge=True)

    def find_hedge_server(self, attempt: Attempt) -> ServerSlot | None:
        """Return the server for a hedge of an attempt.

        Return None if no server is suitable or a hedge is not worth its cost.
        """
        job, slot = attempt.job, attempt.slot
        if job.done or attempt not in job.attempts:
            return None
        candidates = [
            candidate
            for candidate in self.owner.slots.values()
            if candidate is not slot
            and candidate.free_capacity > 0
            and candidate.window.gap_ms is not None
            and not candidate.window.slow
            and candidate.name not in job.work.exclude
            and candidate.version >= job.work.min_version
            and self.owner.dependencies.strike_registry.runs.can_run(
                job.fingerprint, candidate.name, True
            )
        ]
        if not candidates:
            return None
        best = min(candidates, key=lambda candidate: candidate.load)
        progress = AttemptProgress(
            self.clock.monotonic_ms() - attempt.started_ms,
            attempt.received_tokens,
            job.predicted_remaining if is_generation(job.work.payload) else 1,
            job.work.idempotent,
            job.long,
            len(job.attempts),
        )
        min_speedup = self.owner.parameters.min_hedge_speedup
        is_worthwhile = should_hedge(
            progress, slot.window.gap_ms, best.window.gap_ms, min_speedup
        )
        return best if is_worthwhile else None
