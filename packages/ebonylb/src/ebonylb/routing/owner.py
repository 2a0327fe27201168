"""Shard owner: queueing, late binding to servers, retries and hedges."""

import asyncio
from collections.abc import AsyncIterator, Coroutine
from statistics import median

from ..backends.model import BackendServer
from ..crashes import MAX_STRIKES, fingerprint
from ..interfaces import CallResponse
from ..outcomes import Outcome, Refusal, RefusedError
from ..peers.messages import ShardDigest
from ..scheduling import (
    FairQueue,
    QueueEntry,
    ServerWindow,
    SizePredictor,
    scheduling_parameters,
)
from ..tasks import cancel_and_wait
from .dependencies import OwnerDependencies
from .dispatcher import Dispatcher
from .jobs import Completion, Job, is_generation
from .overload import DrainRate, WaitEstimator, crash_refusal, moved_refusal
from .placement import Placement
from .server_slot import ServerSlot
from .work import Chunk, Executor, Work

POLL_INTERVALS = 2  # adaptation intervals between two reads of a server's state
RECONCILE_INTERVAL_MS = 50
CRASH_CHECK_RETRY_S = 0.05


class ShardOwner(Executor):
    """Queues and runs the work of one shard of a service.

    Parameters
    ----------
    service : str
        Service of the shard.
    shard : int
        Number of the shard.
    dependencies : OwnerDependencies
        Services and settings from the rest of the process.
    """

    def __init__(
        self, service: str, shard: int, dependencies: OwnerDependencies
    ) -> None:
        self.service = service
        self.shard = shard
        self.dependencies = dependencies
        self.clock = dependencies.clock
        self.parameters = scheduling_parameters(dependencies.policy)
        now = self.clock.monotonic_ms()
        self.queue = FairQueue(dependencies.weight, dependencies.limits.queue_requests)
        self.predictor = SizePredictor(self.parameters.long_factor)
        self.placement = Placement(self.parameters, dependencies.strike_registry.runs)
        self.drain_rate = DrainRate(now)
        self.wait_estimator = WaitEstimator(self.queue, self.drain_rate)
        self.slots: dict[str, ServerSlot] = {}
        self.jobs: set[Job] = set()
        self.job_count_by_fingerprint: dict[str, int] = {}
        self.served: dict[str, int] = {}
        self.draining = False
        self.last_reconciled_ms = float("-inf")
        self.last_used_ms = now
        self.dispatcher = Dispatcher(self)
        self.tasks: set[asyncio.Task[None]] = set()
        dependencies.strike_registry.listeners.add(self.on_strikes)
        self.spawn(self.run_periodic())

    def spawn(self, work: Coroutine[None, None, None]) -> "asyncio.Task[None]":
        """Start a task that `close` cancels if it is still running."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def generate(self, work: Work) -> AsyncIterator[Chunk]:
        """Stream a generation; see `Executor.generate`."""
        job = self.admit(work)
        try:
            while True:
                item = await job.output.get()
                if isinstance(item, Chunk):
                    yield item
                elif isinstance(item, Refusal):
                    raise RefusedError(item)
                else:
                    return
        finally:
            self.release_job(job)

    async def call(self, work: Work) -> CallResponse:
        """Run a plain-service call; see `Executor.call`."""
        job = self.admit(work)
        try:
            item = await job.output.get()
            if isinstance(item, Refusal):
                raise RefusedError(item)
            return item.response
        finally:
            self.release_job(job)

    def admit(self, work: Work) -> Job:
        """Queue work and dispatch it if possible.

        Raises
        ------
        RefusedError
            The request has two strikes, the owner shuts down, the expected wait is
            too long, or the queue is full.
        """
        now = self.last_used_ms = self.clock.monotonic_ms()
        request_fingerprint = fingerprint(work)
        if (
            self.dependencies.strike_registry.strikes(request_fingerprint)
            >= MAX_STRIKES
        ):
            raise RefusedError(crash_refusal())
        if self.draining:
            raise RefusedError(moved_refusal(Outcome.NOT_RUN))
        job = self.make_job(work, request_fingerprint, now)
        self.check_limits(job)
        self.jobs.add(job)
        self.job_count_by_fingerprint[request_fingerprint] = (
            self.job_count_by_fingerprint.get(request_fingerprint, 0) + 1
        )
        loop = asyncio.get_running_loop()
        job.deadline_timer = loop.call_later(
            work.deadline_ms / 1000, self.expire_job, job
        )
        if not job.long:
            self.placement.last_short_ms = now
        self.enqueue(job)
        self.dispatch()
        return job

    def make_job(self, work: Work, request_fingerprint: str, now_ms: float) -> Job:
        """Create a job with the predicted size of its work."""
        limit = work.payload.max_tokens if is_generation(work.payload) else 10_000_000
        key = work.kind
        if is_generation(work.payload):
            # One party may send both short and long work; the token limit
            # distinguishes them better than the kind alone.
            key = f"{work.kind}/{limit.bit_length()}"
        predicted_size = self.predictor.predict(work.party, self.service, key, limit)
        long = self.predictor.is_long(self.service, predicted_size)
        return Job(
            work,
            request_fingerprint,
            key,
            predicted_size,
            long,
            now_ms,
            now_ms + work.deadline_ms,
        )

    def check_limits(self, job: Job) -> None:
        """Check the expected wait and the queue limit; may displace a queued job.

        Raises
        ------
        RefusedError
            The expected wait exceeds the deadline, or the party's queue share is full.
        """
        party = job.work.party
        tokens_ahead = self.queue.party_queue(party).waiting_tokens
        free_capacity = sum(slot.free_capacity for slot in self.slots.values())
        wait_ms = self.wait_estimator.expected_wait_ms(
            self.queue.share(party), tokens_ahead, free_capacity
        )
        if wait_ms > job.work.deadline_ms:
            message = f"the expected wait of {wait_ms:.0f} ms exceeds the deadline"
            raise RefusedError(
                self.wait_estimator.make_refusal(
                    "deadline", message, wait_ms, Outcome.NOT_RUN
                )
            )
        admitted, displaced = self.queue.make_room(party)
        if not admitted:
            message = f"the queue share of {party} is full"
            raise RefusedError(
                self.wait_estimator.make_refusal(
                    "queue_full", message, wait_ms, Outcome.NOT_RUN
                )
            )
        if displaced is not None:
            displaced_job: Job = displaced.item
            message = f"the queue share of {displaced_job.work.party} is full"
            self.end_job(
                displaced_job,
                self.wait_estimator.make_refusal(
                    "queue_full", message, wait_ms, displaced_job.outcome()
                ),
            )

    def enqueue(self, job: Job, front: bool = False) -> None:
        """Queue a job, to be charged with its predicted remaining tokens.

        With `front`, the job is put before others with the same constraint.
        """
        shared = self.job_count_by_fingerprint[job.fingerprint] > 1 or front
        # Jobs with the same fingerprint may have to wait for each other. Their own
        # constraint keeps them from blocking the entries behind them.
        request_fingerprint = job.fingerprint if shared or self.is_struck(job) else ""
        constraint = (
            frozenset(job.work.exclude),
            job.failed_servers,
            job.work.min_version,
            request_fingerprint,
        )
        sequence = job.queue_entry.sequence if job.queue_entry is not None else 0
        job.queue_entry = QueueEntry(
            job.work.party, job.predicted_remaining, job.long, constraint, job, sequence
        )
        self.queue.push(job.queue_entry, front)

    def is_struck(self, job: Job) -> bool:
        """Return whether a job's request is suspected of a server crash."""
        return self.dependencies.strike_registry.strikes(job.fingerprint) > 0

    def on_strikes(self, fingerprints: list[str]) -> None:
        """Apply new strikes to the jobs of this owner.

        Two strikes end a job in any state. With one strike, only one run of the
        fingerprint continues; the others are queued again.
        """
        struck = set(fingerprints)
        kept_fingerprints: set[str] = set()
        for job in [job for job in self.jobs if job.fingerprint in struck]:
            if (
                self.dependencies.strike_registry.strikes(job.fingerprint)
                >= MAX_STRIKES
            ):
                self.end_job(job, crash_refusal())
                continue
            running = [a for a in job.attempts if a.slot.crash_check is None]
            if not running:
                continue
            if job.fingerprint not in kept_fingerprints:
                kept_fingerprints.add(job.fingerprint)
                running = [a for a in running if a.is_hedge]
            elif not job.work.idempotent:
                continue
            for attempt in running:
                self.dispatcher.cancel(attempt)
            if not job.attempts:
                self.enqueue(job, front=True)

    def dispatch(self) -> None:
        """Assign queued jobs to servers while there is free capacity."""
        now = self.clock.monotonic_ms()
        if now - self.last_reconciled_ms >= RECONCILE_INTERVAL_MS:
            self.reconcile(now)
        slots = list(self.slots.values())
        chosen: ServerSlot | None = None

        def assign_server(entry: QueueEntry) -> bool:
            nonlocal chosen
            chosen = self.placement.choose(entry.item, slots, now)
            return chosen is not None

        while len(self.queue) and any(slot.free_capacity for slot in slots):
            long_first = self.placement.is_long_due(slots, self.queue.long_count)
            entry = self.queue.pop(assign_server, long_first)
            if entry is None:
                return
            job: Job = entry.item
            if (
                self.dependencies.strike_registry.strikes(job.fingerprint)
                >= MAX_STRIKES
            ):
                self.end_job(job, crash_refusal())
                continue
            job.charged_tokens = entry.tokens
            job.consumed_tokens = 0.0
            self.dispatcher.launch(job, chosen)

    def reconcile(self, now_ms: float) -> None:
        """Add new servers of the registry and stop using those that left it."""
        self.last_reconciled_ms = now_ms
        listed_servers = {
            s.name: s for s in self.dependencies.servers(self.service, self.shard)
        }
        for name, slot in list(self.slots.items()):
            slot.assignable = name in listed_servers
            if not slot.assignable and not slot.running:
                del self.slots[name]
        for name, server in listed_servers.items():
            slot = self.slots.get(name)
            if slot is None or slot.server.address != server.address:
                self.slots[name] = slot = self.make_slot(server, now_ms)
                self.spawn(self.poll(slot))
            slot.server = server

    def make_slot(self, server: BackendServer, now_ms: float) -> ServerSlot:
        """Create the state of a server that is new to this owner."""
        dependencies = self.dependencies
        is_engine = server.kind == "engine"
        client = (
            dependencies.engine_for(server)
            if is_engine
            else dependencies.plain_for(server)
        )
        window = ServerWindow(
            dependencies.limits.window_start,
            dependencies.limits.window_max,
            self.parameters.max_gap_ratio,
            now_ms,
            dependencies.adapt_interval_ms,
        )
        return ServerSlot(
            server,
            client,
            window,
            dependencies.strike_registry,
            self.clock,
            dependencies.probe,
            self.dispatcher.fail_attempt,
        )

    async def poll(self, slot: ServerSlot) -> None:
        """Read a server's state, report an error, and dispatch queued jobs."""
        error = await slot.poll()
        if error is not None:
            self.dependencies.report(slot.server, error)
        self.dispatch()

    async def run_periodic(self) -> None:
        """Adapt limits, hedge, refuse late jobs and dispatch at a fixed interval."""
        rounds = 0
        while True:
            await self.clock.sleep_ms(self.dependencies.adapt_interval_ms)
            now = self.clock.monotonic_ms()
            self.reconcile(now)
            rounds += 1
            for slot in self.slots.values():
                if not slot.ready or rounds % POLL_INTERVALS == 0:
                    self.spawn(self.poll(slot))
            self.adapt(now)
            self.dispatcher.launch_hedges()
            for job, wait_ms in self.wait_estimator.find_unmeetable(now):
                message = "the expected wait exceeds the remaining time"
                refusal = self.wait_estimator.make_refusal(
                    "deadline", message, wait_ms, job.outcome()
                )
                self.end_job(job, refusal)
            self.dispatch()

    def adapt(self, now_ms: float) -> None:
        """Update the windows of all servers and the drain rate."""
        slots = list(self.slots.values())
        self.drain_rate.update(now_ms, len(self.queue) > 0)
        measured_slots = [
            s for s in slots if s.is_usable and s.window.gap_ms is not None
        ]
        for slot in slots:
            other_gaps_ms = [
                other.window.gap_ms for other in measured_slots if other is not slot
            ]
            peer_gap_ms = median(other_gaps_ms) if other_gaps_ms else None
            running = len(slot.running)
            slot.window.adapt(now_ms, peer_gap_ms, slot.silences_ms(), running)

    def expire_job(self, job: Job) -> None:
        """Refuse a job whose deadline has passed.

        The refusal is delayed while a crash check runs, because other entry VMs must
        know the strikes of a crash before the caller gets a response.
        """
        if any(a.slot.crash_check is not None for a in job.attempts):
            job.deadline_timer = asyncio.get_running_loop().call_later(
                CRASH_CHECK_RETRY_S, self.expire_job, job
            )
            return
        wait_ms = self.wait_estimator.expected_wait_ms(
            1.0, self.queue.waiting_tokens, 0
        )
        refusal = self.wait_estimator.make_refusal(
            "deadline", "the deadline has passed", wait_ms, job.outcome()
        )
        self.end_job(job, refusal)

    def end_job(self, job: Job, result: Completion | Refusal) -> None:
        """Deliver a job's final item and release its resources."""
        if job.done:
            return
        job.output.put_nowait(result)
        self.release_job(job)

    def release_job(self, job: Job) -> None:
        """Release a job's queue entry, attempts and deadline timer."""
        if job.done:
            return
        job.done = True
        self.jobs.discard(job)
        self.job_count_by_fingerprint[job.fingerprint] -= 1
        if not self.job_count_by_fingerprint[job.fingerprint]:
            del self.job_count_by_fingerprint[job.fingerprint]
        if job.deadline_timer is not None:
            job.deadline_timer.cancel()
        if job.queue_entry is not None:
            self.queue.remove(job.queue_entry)
        for attempt in list(job.attempts):
            self.dispatcher.cancel(attempt)
        self.last_used_ms = self.clock.monotonic_ms()

    def digest(self) -> ShardDigest:
        """Return the shard's load as reported to other entry VMs."""
        assignable_slots = [slot for slot in self.slots.values() if slot.assignable]
        return ShardDigest(
            self.service,
            self.shard,
            round(self.queue.waiting_tokens),
            round(self.drain_rate.tokens_per_s),
            max(
                0,
                sum(
                    slot.free_capacity - slot.window.lost_capacity
                    for slot in assignable_slots
                ),
            ),
            len(assignable_slots),
        )

    @property
    def backlogged(self) -> list[str]:
        """Parties that have work waiting in this owner's queue."""
        return self.queue.backlogged_parties()

    def snapshot(self) -> list[dict[str, object]]:
        """Return the state of each server, for status output."""
        return [slot.snapshot() for slot in self.slots.values()]

    async def drain(self) -> None:
        """Refuse queued work as moved, wait for running work and admit no more."""
        self.draining = True
        for entry in self.queue.waiting_entries():
            self.end_job(entry.item, moved_refusal(entry.item.outcome()))
        while self.jobs:
            await self.clock.sleep_ms(10)

    async def close(self) -> None:
        """Refuse all remaining jobs and cancel all tasks."""
        self.draining = True
        self.dependencies.strike_registry.listeners.discard(self.on_strikes)
        for job in list(self.jobs):
            self.end_job(job, moved_refusal(job.outcome()))
        await cancel_and_wait(self.tasks)
