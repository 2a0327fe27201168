import asyncio
import random
from contextlib import aclosing

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from result import Err, Ok

from ebonylb.backends.model import BackendServer
from ebonylb.crashes import StrikeRegistry
from ebonylb.edges import (
    CallAnswer,
    EngineChunk,
    EngineStatus,
    ModelEngine,
    PlainService,
    VmKind,
)
from ebonylb.outcomes import Outcome, RefusedError, StepError
from ebonylb.peers.messages import AnswerChunk, AnswerEnd, ForwardGenerate, Refused
from ebonylb.retries import RetryBudget
from ebonylb.routing import CallWork, GenerateWork, Work
from ebonylb.routing.owner import ShardOwner
from ebonylb.routing.owner_table import OwnerTable
from ebonylb.routing.wiring import OwnerWiring
from ebonylb.settings import Limits, Policy
from ebonylb_standins.histories.virtual_time import LoopClock, run_virtual


class FakeEngine(ModelEngine):
    """Engine that emits numbered words and can crash, refuse, break and stall."""

    def __init__(self, name, gap_s=0.001):
        self.name = name
        self.gap_s = gap_s
        self.incarnation = 0
        self.version = 1
        self.down = self.refusing = False
        self.break_after = None
        self.seen = []
        self.active = set()
        self.crashes = 0

    async def generate(self, request):
        if self.down:
            raise StepError("engine.connect", self.name, "refused", False)
        self.seen.append(request)
        if self.refusing:
            raise StepError("engine.refused", self.name, "busy", False)
        born = self.incarnation
        self.active.add(request.request_id)
        try:
            done = len(request.generated.split())
            for index in range(done, done + request.max_tokens):
                await asyncio.sleep(self.gap_s)
                if request.prompt.startswith("bad") and born == self.incarnation:
                    self.incarnation += 1
                    self.crashes += 1
                if born != self.incarnation or index - done == self.break_after:
                    raise StepError("engine.stream", self.name, "broke")
                yield EngineChunk(f"{index} ", 1, self.version)
        finally:
            self.active.discard(request.request_id)

    async def load(self, order):
        return Ok(order.version)

    async def status(self):
        if self.down:
            return Err(StepError("engine.status", self.name, "refused", False))
        return Ok(EngineStatus(str(self.incarnation), self.version, 0, 0, False, True))


class FakePlain(PlainService):
    def __init__(self, name, fail=0.0, rng=random):
        self.name = name
        self.fail = fail
        self.rng = rng
        self.reached = []  # requests that came, refused ones included
        self.ran = []
        self.down = False

    async def call(self, request):
        if self.down:
            raise StepError("service.connect", self.name, "refused", False)
        self.reached.append(request.request_id.split(".")[0])
        await asyncio.sleep(0.001)
        if self.rng.random() < self.fail:
            step = self.rng.choice(["service.answer", "service.refused"])
            if step == "service.answer":
                self.ran.append(request.request_id.split(".")[0])
            raise StepError(step, self.name, "failed", step.endswith("answer"))
        self.ran.append(request.request_id.split(".")[0])
        return CallAnswer(200, request.body, request.content_type, self.name)


class Shard:
    """Owner with fake servers."""

    def __init__(self, engines=(), plains=(), limits=None, policy=None):
        self.clients = {client.name: client for client in (*engines, *plains)}
        self.listed = set(self.clients)
        self.reports = []
        self.published = []
        self.book = StrikeRegistry(self.publish)
        self.wiring = OwnerWiring(
            clock=LoopClock(),
            servers=self.servers,
            engine_for=lambda server: self.clients[server.name],
            plain_for=lambda server: self.clients[server.name],
            report=lambda server, error: self.reports.append((server.name, error)),
            weight=lambda party: 1.0,
            book=self.book,
            budget=RetryBudget(),
            limits=limits or Limits(),
            policy=policy or Policy(),
            adapt_ms=10.0,
        )
        self.owner = ShardOwner("s", 0, self.wiring)

    def servers(self, service, shard):
        return [
            BackendServer(
                name,
                VmKind.ENGINE if isinstance(client, ModelEngine) else VmKind.PLAIN,
                "s",
                "127.0.0.1:1",
                "d",
                "r",
                "0",
            )
            for name, client in self.clients.items()
            if name in self.listed
        ]

    async def publish(self, report):
        await asyncio.sleep(0)
        self.published.append(report)
        return True


def generation(prompt="p", tokens=5, **options):
    return Work(
        options.pop("rid", "r"),
        options.pop("party", "a"),
        "s",
        GenerateWork(prompt, tokens),
        **options,
    )


async def collect(owner, work):
    async with aclosing(owner.generate(work)) as chunks:
        return [chunk async for chunk in chunks]


async def outcome(coroutine):
    try:
        return await coroutine
    except RefusedError as error:
        return error.refusal


async def until(condition, limit_s=5.0):
    end = asyncio.get_running_loop().time() + limit_s
    while not condition():
        assert asyncio.get_running_loop().time() < end, "condition not met in time"
        await asyncio.sleep(0.002)


def run(scenario):
    # On virtual time, since no verdict may follow from the speed of the machine.
    return run_virtual(asyncio.wait_for(scenario, 600))


class TestGeneration:
    def test_a_broken_stream_continues_elsewhere(self):
        """Guards against lost and repeated tokens when a stream breaks."""

        async def scenario():
            first, second = FakeEngine("e1"), FakeEngine("e2")
            first.break_after = 3
            shard = Shard([first, second])
            second.down = True
            task = asyncio.create_task(collect(shard.owner, generation(tokens=8)))
            await until(lambda: first.seen)
            second.down = False
            chunks = await task
            await shard.owner.close()
            return chunks, second.seen[0]

        chunks, resumed = run(scenario())
        assert "".join(c.text for c in chunks) == "0 1 2 3 4 5 6 7 "
        assert [c.server for c in chunks] == ["e1"] * 3 + ["e2"] * 5
        assert (resumed.generated, resumed.max_tokens) == ("0 1 2 ", 5)

    def test_cancelling_removes_queued_and_stops_running_work(self):
        """Guards against work for callers that left."""

        async def scenario():
            engine = FakeEngine("e1", gap_s=0.01)
            shard = Shard([engine], limits=Limits(window_start=1, window_max=1))
            tasks = [
                asyncio.create_task(collect(shard.owner, generation(str(i), 500)))
                for i in range(3)
            ]
            await until(lambda: engine.active and len(shard.owner.queue) == 2)
            for task in tasks:
                task.cancel()
            await until(lambda: not engine.active and not shard.owner.jobs)
            queued = len(shard.owner.queue)
            await shard.owner.close()
            return queued, len(engine.seen), shard.book.runs.by_server

        assert run(scenario()) == (0, 1, {})

    def test_min_version_waits_for_a_server_that_has_it(self):
        """Guards against samples that are too old at once."""

        async def scenario():
            old, new = FakeEngine("e1"), FakeEngine("e2")
            shard = Shard([old, new])
            task = asyncio.create_task(collect(shard.owner, generation(min_version=2)))
            await until(lambda: len(shard.owner.queue) == 1)
            new.version = 2
            chunks = await task
            await shard.owner.close()
            return {(c.server, c.version) for c in chunks}, old.seen

        assert run(scenario()) == ({("e2", 2)}, [])

    def test_a_group_stays_on_one_server(self):
        """Guards against prompts computed again on each server."""

        async def scenario():
            engines = [FakeEngine(f"e{i}") for i in range(3)]
            shard = Shard(engines)
            await asyncio.gather(
                *(collect(shard.owner, generation("x", group="g")) for _ in range(6))
            )
            await shard.owner.close()
            return sorted(len(engine.seen) for engine in engines)

        assert run(scenario()) == [0, 0, 6]

    def test_long_work_progresses_beside_a_stream_of_short_work(self):
        """Guards against long work that never gets a slot."""

        async def scenario():
            engine = FakeEngine("e1")
            shard = Shard([engine], limits=Limits(window_start=4, window_max=4))
            for _ in range(40):
                shard.owner.predictor.record("a", "s", "generate/4", 5)
                shard.owner.predictor.record("a", "s", "generate/8", 200)
            long = [
                asyncio.create_task(collect(shard.owner, generation(f"l{i}", 200)))
                for i in range(3)
            ]
            finished = 0

            async def feed(worker):
                nonlocal finished
                while not all(task.done() for task in long):
                    prompt = f"{worker}/{finished}"
                    await collect(shard.owner, generation(prompt, 8))
                    finished += 1

            await asyncio.gather(*(feed(worker) for worker in range(12)))
            await shard.owner.close()
            return [len(task.result()) for task in long], finished

        lengths, finished = run(scenario())
        assert lengths == [200, 200, 200]
        assert finished > 50


class TestCrashes:
    @settings(max_examples=15, deadline=None, phases=set(Phase) - {Phase.shrink})
    @given(st.integers(0, 2**32))
    def test_one_request_crashes_two_servers_at_most(self, seed):
        """Guards the bound for any arrival order, and requests that shared a server."""

        async def scenario():
            rng = random.Random(seed)
            engines = [FakeEngine(f"e{i}") for i in range(4)]
            shard = Shard(engines)
            # The budget bounds retries also for bystanders; strikes must not.
            shard.wiring.budget.spend = lambda party, service: True

            async def send(index):
                await asyncio.sleep(rng.uniform(0, 0.05))
                bad = index % 4 == 0
                work = generation("bad" if bad else str(index), 6, rid=f"r{index}")
                return bad, await outcome(collect(shard.owner, work))

            answers = await asyncio.gather(*(send(index) for index in range(24)))
            await shard.owner.close()
            return answers, sum(engine.crashes for engine in engines)

        answers, crashes = run(scenario())
        assert crashes <= 2
        for bad, answer in answers:
            if bad:
                assert answer.outcome is Outcome.GIVEN_UP
            else:
                assert isinstance(answer, list), answer
                assert "".join(c.text for c in answer) == "0 1 2 3 4 5 "

    def test_a_broken_stream_alone_is_no_strike(self):
        """Guards against blocking requests because of network faults."""

        async def scenario():
            engine = FakeEngine("e1")
            engine.break_after = 1
            shard = Shard([engine])
            await outcome(collect(shard.owner, generation(tokens=20)))
            await shard.owner.close()
            return shard.published

        assert run(scenario()) == []


class TestRefusals:
    @settings(max_examples=10, deadline=None, phases=set(Phase) - {Phase.shrink})
    @given(st.integers(0, 2**32))
    def test_not_run_is_true_and_non_idempotent_runs_once(self, seed):
        """Guards P5 and P6 under random failures, cancellations and deadlines."""

        async def scenario():
            rng = random.Random(seed)
            plains = [FakePlain(f"p{i}", 0.4, rng) for i in range(3)]
            limits = Limits(window_start=1, window_max=2, queue_requests=10)
            shard = Shard(plains=plains, limits=limits)

            async def send(index):
                await asyncio.sleep(rng.uniform(0, 0.04))
                rng.choice(plains).down = rng.random() < 0.3
                work = Work(
                    f"r{index}",
                    rng.choice("ab"),
                    "s",
                    CallWork(str(index).encode(), "text/plain"),
                    idempotent=rng.random() < 0.5,
                    deadline_ms=rng.uniform(1, 60),
                )
                return work, await outcome(shard.owner.call(work))

            answers = await asyncio.gather(*(send(index) for index in range(60)))
            await until(lambda: not shard.book.runs.by_server)
            left = [len(slot.running) for slot in shard.owner.slots.values()]
            await shard.owner.close()
            reached = [rid for plain in plains for rid in plain.reached]
            return answers, reached, [rid for p in plains for rid in p.ran], left

        answers, reached, ran, left = run(scenario())
        assert left == [0, 0, 0]
        for work, answer in answers:
            runs = ran.count(work.request_id)
            if not work.idempotent:
                assert reached.count(work.request_id) <= 1
            if isinstance(answer, CallAnswer):
                assert runs >= 1
            elif answer.outcome is Outcome.NOT_RUN:
                assert runs == 0

    def test_extra_load_stays_within_the_budget(self):
        """Guards against retry storms when all servers fail half of their calls."""

        async def scenario():
            plains = [FakePlain(f"p{i}", 0.5) for i in range(3)]
            shard = Shard(plains=plains)
            works = [
                Work(f"r{i}", "a", "s", CallWork(str(i).encode(), "t"))
                for i in range(200)
            ]
            await asyncio.gather(*(outcome(shard.owner.call(work)) for work in works))
            await shard.owner.close()
            return sum(len(plain.reached) for plain in plains)

        assert run(scenario()) <= 200 * 1.08 + 2

    def test_overload_is_refused_at_once_with_a_time_to_come_back(self):
        """Guards against requests held until their deadline."""

        async def scenario():
            engine = FakeEngine("e1", gap_s=0.002)
            shard = Shard([engine], limits=Limits(window_start=1, window_max=1))
            tasks = [
                asyncio.create_task(collect(shard.owner, generation(str(i), 50)))
                for i in range(20)
            ]
            await until(lambda: shard.owner.drain_rate.per_s > 0)
            began = asyncio.get_running_loop().time()
            late = generation("late", 50, deadline_ms=300.0)
            refusal = await outcome(collect(shard.owner, late))
            elapsed = asyncio.get_running_loop().time() - began
            for task in tasks:
                task.cancel()
            await shard.owner.close()
            return refusal, elapsed

        refusal, elapsed = run(scenario())
        assert (refusal.outcome, refusal.reason) == (Outcome.NOT_RUN, "deadline")
        assert refusal.retry_after_ms > 100
        assert elapsed < 0.2

    def test_a_draining_owner_gives_queued_work_back(self):
        """Guards P8: running work finishes, queued work moves."""

        async def scenario():
            engine = FakeEngine("e1", gap_s=0.002)
            shard = Shard([engine], limits=Limits(window_start=1, window_max=1))
            tasks = [
                asyncio.create_task(outcome(collect(shard.owner, generation(str(i)))))
                for i in range(3)
            ]
            await until(lambda: engine.active)
            await shard.owner.drain()
            answers = [await task for task in tasks]
            await shard.owner.close()
            return answers

        whole, *moved = run(scenario())
        assert len(whole) == 5
        assert [(m.outcome, m.reason) for m in moved] == [
            (Outcome.NOT_RUN, "moved")
        ] * 2


class TestHedging:
    def test_short_work_on_a_slow_server_is_copied(self):
        """Guards against tail latency from one slow server, and mixed-up answers."""

        async def scenario():
            engines = [FakeEngine(f"e{i}", gap_s=0.002) for i in range(3)]
            shard = Shard(engines)

            async def load(worker):
                for index in range(30):
                    work = generation(f"{worker}/{index}", 20, rid=f"{worker}/{index}")
                    chunks = await collect(shard.owner, work)
                    text = "".join(chunk.text for chunk in chunks)
                    assert text == "".join(f"{i} " for i in range(20))

            async def slow_down():
                await until(lambda: len(engines[0].seen) > 3)
                engines[0].gap_s = 0.05

            await asyncio.gather(slow_down(), *(load(worker) for worker in range(6)))
            repeats = shard.owner.dispatcher.repeats
            await shard.owner.close()
            return repeats

        assert run(scenario()) >= 1


class TestOwnerTable:
    def test_forwards_are_answered_and_idle_owners_dropped(self):
        """Guards against lost counters and owners that pile up."""

        async def scenario():
            shard = Shard([FakeEngine("e1")])
            table = OwnerTable(
                lambda service, number: ShardOwner(service, number, shard.wiring),
                LoopClock(),
                idle_ms=0.0,
            )
            message = ForwardGenerate("r", "a", "s", 0, "p", 3, 0, "", 1_000)
            items = [item async for item in table.on_generate(message)]
            await asyncio.sleep(0.002)
            await table.drop_idle()
            left = dict(table.owners)
            table.draining = True
            refusal = [item async for item in table.on_generate(message)]
            served = table.served
            await table.close()
            await shard.owner.close()
            return items, left, refusal, served

        items, left, refusal, served = run(scenario())
        assert items[:-1] == [AnswerChunk(f"{i} ", 1, 1, "e1") for i in range(3)]
        assert items[-1] == AnswerEnd(3)
        assert left == {} and served == {"s/a": 3}
        assert isinstance(refusal[0], Refused) and refusal[0].reason == "moved"


@pytest.mark.parametrize("profile", ["balanced", "idle_time", "tail_latency"])
def test_every_profile_serves(profile):
    """Guards against a profile whose limits admit nothing."""

    async def scenario():
        shard = Shard([FakeEngine("e1")], policy=Policy(profile=profile))
        chunks = await collect(shard.owner, generation())
        await shard.owner.close()
        return len(chunks)

    assert run(scenario()) == 5
