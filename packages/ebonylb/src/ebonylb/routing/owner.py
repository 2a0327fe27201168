"""Owner of one shard: queue, late binding, retries and hedges."""

import asyncio
from collections.abc import AsyncIterator, Coroutine
from statistics import median

from ..backends.model import BackendServer
from ..crashes import MAX_STRIKES, fingerprint
from ..edges import CallAnswer
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
from .dispatcher import Dispatcher
from .jobs import Job, Whole, is_generate
from .overload import DrainRate, Overload, moved, struck_out
from .placement import Placement
from .server_slot import ServerSlot
from .wiring import OwnerWiring
from .work import Chunk, Executor, Work

POLL_INTERVALS = 2  # adaptation intervals between two readings of a server's state
RECONCILE_MS = 50
EXAMINATION_RETRY_S = 0.05


class ShardOwner(Executor):
    """Runs the work of one shard of a service.

    Parameters
    ----------
    service : str
        Service of the shard.
    shard : int
        Number of the shard.
    wiring : OwnerWiring
        Rest of the process.
    """

    def __init__(self, service: str, shard: int, wiring: OwnerWiring) -> None:
        self.service = service
        self.shard = shard
        self.wiring = wiring
        self.clock = wiring.clock
        self.parameters = scheduling_parameters(wiring.policy)
        now = self.clock.monotonic_ms()
        self.queue = FairQueue(wiring.weight, wiring.limits.queue_requests)
        self.predictor = SizePredictor(self.parameters.long_factor)
        self.placement = Placement(self.parameters, wiring.book.runs)
        self.drain_rate = DrainRate(now)
        self.overload = Overload(self.queue, self.drain_rate)
        self.slots: dict[str, ServerSlot] = {}
        self.jobs: set[Job] = set()
        self.same: dict[str, int] = {}  # jobs per fingerprint
        self.served: dict[str, int] = {}
        self.draining = False
        self.reconciled_ms = float("-inf")
        self.used_ms = now
        self.dispatcher = Dispatcher(self)
        self.tasks: set[asyncio.Task[None]] = set()
        wiring.book.listeners.add(self.on_strikes)
        self.spawn(self.run())

    def spawn(self, work: Coroutine[None, None, None]) -> "asyncio.Task[None]":
        """Start a task that `close` ends."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def generate(self, work: Work) -> AsyncIterator[Chunk]:
        """Stream an answer; see `Executor.generate`."""
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
            self.finish(job)

    async def call(self, work: Work) -> CallAnswer:
        """Run a plain-service call; see `Executor.call`."""
        job = self.admit(work)
        try:
            item = await job.output.get()
            if isinstance(item, Refusal):
                raise RefusedError(item)
            return item.answer
        finally:
            self.finish(job)

    def admit(self, work: Work) -> Job:
        """Queue work, or refuse it at once.

        Raises
        ------
        RefusedError
            Two strikes, shutdown, too long a wait, or the queue limit.
        """
        now = self.used_ms = self.clock.monotonic_ms()
        identity = fingerprint(work)
        if self.wiring.book.strikes(identity) >= MAX_STRIKES:
            raise RefusedError(struck_out())
        if self.draining:
            raise RefusedError(moved(Outcome.NOT_RUN))
        job = self.make_job(work, identity, now)
        self.shed(job)
        self.jobs.add(job)
        self.same[identity] = self.same.get(identity, 0) + 1
        loop = asyncio.get_running_loop()
        job.timer = loop.call_later(work.deadline_ms / 1000, self.expire, job)
        if not job.long:
            self.placement.short_seen_ms = now
        self.enqueue(job)
        self.dispatch()
        return job

    def make_job(self, work: Work, identity: str, now_ms: float) -> Job:
        """Predict the size of work."""
        limit = work.payload.max_tokens if is_generate(work.payload) else 10_000_000
        key = work.kind
        if is_generate(work.payload):
            # One party may send both short and long work; the token limit tells
            # them apart better than the kind alone.
            key = f"{work.kind}/{limit.bit_length()}"
        predicted = self.predictor.predict(work.party, self.service, key, limit)
        long = self.predictor.is_long(self.service, predicted)
        return Job(
            work, identity, key, predicted, long, now_ms, now_ms + work.deadline_ms
        )

    def shed(self, job: Job) -> None:
        """Refuse a job whose deadline or whose party's queue share is exceeded."""
        party = job.work.party
        ahead = self.queue.party_queue(party).waiting_tokens
        room = sum(slot.room for slot in self.slots.values())
        wait = self.overload.wait_ms(self.queue.share(party), ahead, room)
        if wait > job.work.deadline_ms:
            message = f"the expected wait of {wait:.0f} ms exceeds the deadline"
            raise RefusedError(
                self.overload.refusal("deadline", message, wait, Outcome.NOT_RUN)
            )
        admitted, displaced = self.queue.make_room(party)
        if not admitted:
            message = f"the queue share of {party} is full"
            raise RefusedError(
                self.overload.refusal("queue_full", message, wait, Outcome.NOT_RUN)
            )
        if displaced is not None:
            other: Job = displaced.item
            message = f"the queue share of {other.work.party} is full"
            self.end(
                other,
                self.overload.refusal("queue_full", message, wait, other.outcome()),
            )

    def enqueue(self, job: Job, front: bool = False) -> None:
        """Put a job into the queue, charged with the tokens it still needs."""
        shared = self.same[job.fingerprint] > 1 or front
        # Limits on copies of one request must not hold up work behind them.
        identity = job.fingerprint if shared or self.struck(job) else ""
        constraint = (
            frozenset(job.work.exclude),
            job.avoid,
            job.work.min_version,
            identity,
        )
        sequence = job.entry.sequence if job.entry is not None else 0
        job.entry = QueueEntry(
            job.work.party, job.remaining, job.long, constraint, job, sequence
        )
        self.queue.push(job.entry, front)

    def struck(self, job: Job) -> bool:
        """Tell whether a job is a suspect."""
        return self.wiring.book.strikes(job.fingerprint) > 0

    def on_strikes(self, fingerprints: list[str]) -> None:
        """Apply new strikes to jobs in hand.

        Two strikes end a job wherever it is. With one, only one of its runs goes
        on; the others wait for their turn.
        """
        struck = set(fingerprints)
        kept: set[str] = set()
        for job in [job for job in self.jobs if job.fingerprint in struck]:
            if self.wiring.book.strikes(job.fingerprint) >= MAX_STRIKES:
                self.end(job, struck_out())
                continue
            running = [a for a in job.attempts if a.slot.examination is None]
            if not running:
                continue
            if job.fingerprint not in kept:
                kept.add(job.fingerprint)
                running = [a for a in running if a.copy]
            elif not job.work.idempotent:
                continue
            for attempt in running:
                self.dispatcher.cancel(attempt)
            if not job.attempts:
                self.enqueue(job, front=True)

    def dispatch(self) -> None:
        """Bind waiting jobs to servers while there is room."""
        now = self.clock.monotonic_ms()
        if now - self.reconciled_ms >= RECONCILE_MS:
            self.reconcile(now)
        slots = list(self.slots.values())
        chosen: ServerSlot | None = None

        def admit(entry: QueueEntry) -> bool:
            nonlocal chosen
            chosen = self.placement.choose(entry.item, slots, now)
            return chosen is not None

        while len(self.queue) and any(slot.room for slot in slots):
            due = self.placement.long_is_due(slots, self.queue.long_count)
            entry = self.queue.pop(admit, due)
            if entry is None:
                return
            job: Job = entry.item
            if self.wiring.book.strikes(job.fingerprint) >= MAX_STRIKES:
                self.end(job, struck_out())
                continue
            job.charged = entry.tokens
            job.consumed = 0.0
            self.dispatcher.launch(job, chosen)

    def reconcile(self, now_ms: float) -> None:
        """Follow the registry: add new servers, stop using those that left."""
        self.reconciled_ms = now_ms
        present = {s.name: s for s in self.wiring.servers(self.service, self.shard)}
        for name, slot in list(self.slots.items()):
            slot.assignable = name in present
            if not slot.assignable and not slot.running:
                del self.slots[name]
        for name, server in present.items():
            slot = self.slots.get(name)
            if slot is None or slot.server.address != server.address:
                self.slots[name] = slot = self.new_slot(server, now_ms)
                self.spawn(self.poll(slot))
            slot.server = server

    def new_slot(self, server: BackendServer, now_ms: float) -> ServerSlot:
        """Build the state of a server that was not used so far."""
        wiring = self.wiring
        engine = server.kind == "engine"
        client = wiring.engine_for(server) if engine else wiring.plain_for(server)
        window = ServerWindow(
            wiring.limits.window_start,
            wiring.limits.window_max,
            self.parameters.max_gap_ratio,
            now_ms,
            wiring.adapt_ms,
        )
        return ServerSlot(
            server,
            client,
            window,
            wiring.book,
            self.clock,
            wiring.probe,
            self.dispatcher.abandon,
        )

    async def poll(self, slot: ServerSlot) -> None:
        """Read a server's state and dispatch if that made room."""
        error = await slot.poll()
        if error is not None:
            self.wiring.report(slot.server, error)
        self.dispatch()

    async def run(self) -> None:
        """Take the periodic decisions until cancelled."""
        rounds = 0
        while True:
            await self.clock.sleep_ms(self.wiring.adapt_ms)
            now = self.clock.monotonic_ms()
            self.reconcile(now)
            rounds += 1
            for slot in self.slots.values():
                if not slot.ready or rounds % POLL_INTERVALS == 0:
                    self.spawn(self.poll(slot))
            self.adapt(now)
            self.dispatcher.hedge()
            for job, wait in self.overload.hopeless(now):
                message = "the expected wait exceeds the remaining time"
                refusal = self.overload.refusal(
                    "deadline", message, wait, job.outcome()
                )
                self.end(job, refusal)
            self.dispatch()

    def adapt(self, now_ms: float) -> None:
        """Adapt the windows and the drain rate."""
        slots = list(self.slots.values())
        self.drain_rate.update(now_ms, len(self.queue) > 0)
        known = [s for s in slots if s.usable and s.window.gap_ms is not None]
        for slot in slots:
            peers = [other.window.gap_ms for other in known if other is not slot]
            gap_ms = median(peers) if peers else None
            running = len(slot.running)
            slot.window.adapt(now_ms, gap_ms, slot.silences_ms(), running)

    def expire(self, job: Job) -> None:
        """Refuse a job whose deadline has passed.

        Strikes of a crash under examination must be known to others before the
        answer.
        """
        if any(a.slot.examination is not None for a in job.attempts):
            job.timer = asyncio.get_running_loop().call_later(
                EXAMINATION_RETRY_S, self.expire, job
            )
            return
        wait = self.overload.wait_ms(1.0, self.queue.waiting_tokens, 0)
        refusal = self.overload.refusal(
            "deadline", "the deadline has passed", wait, job.outcome()
        )
        self.end(job, refusal)

    def end(self, job: Job, last: Whole | Refusal) -> None:
        """Give a job its final item and release what it holds."""
        if job.done:
            return
        job.output.put_nowait(last)
        self.finish(job)

    def finish(self, job: Job) -> None:
        """Release a job: its queue entry, its attempts and its timer."""
        if job.done:
            return
        job.done = True
        self.jobs.discard(job)
        self.same[job.fingerprint] -= 1
        if not self.same[job.fingerprint]:
            del self.same[job.fingerprint]
        if job.timer is not None:
            job.timer.cancel()
        if job.entry is not None:
            self.queue.remove(job.entry)
        for attempt in list(job.attempts):
            self.dispatcher.cancel(attempt)
        self.used_ms = self.clock.monotonic_ms()

    def digest(self) -> ShardDigest:
        """Return the shard's load for other entry VMs."""
        usable = [slot for slot in self.slots.values() if slot.assignable]
        return ShardDigest(
            self.service,
            self.shard,
            round(self.queue.waiting_tokens),
            round(self.drain_rate.per_s),
            max(0, sum(slot.room - slot.window.lost_capacity for slot in usable)),
            len(usable),
        )

    @property
    def backlogged(self) -> list[str]:
        """Parties that have work waiting here."""
        return self.queue.backlogged_parties()

    def snapshot(self) -> list[dict[str, object]]:
        """Return the state of each server, for status output."""
        return [slot.snapshot() for slot in self.slots.values()]

    async def drain(self) -> None:
        """Give queued work back and wait for running work; admits nothing more."""
        self.draining = True
        for entry in self.queue.waiting_entries():
            self.end(entry.item, moved(entry.item.outcome()))
        while self.jobs:
            await self.clock.sleep_ms(10)

    async def close(self) -> None:
        """Refuse what is left and end all tasks."""
        self.draining = True
        self.wiring.book.listeners.discard(self.on_strikes)
        for job in list(self.jobs):
            self.end(job, moved(job.outcome()))
        await cancel_and_wait(self.tasks)
