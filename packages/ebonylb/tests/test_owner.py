import asyncio
import random
from contextlib import aclosing

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from result import Err, Ok

from ebonylb.backends.model import BackendServer
from ebonylb.crashes import StrikeRegistry
from ebonylb.interfaces import (
    CallResponse,
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
from ebonylb.routing.dependencies import OwnerDependencies
from ebonylb.routing.owner import ShardOwner
from ebonylb.routing.owner_table import OwnerTable
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
        self.requests = []
        self.active = set()
        self.crashes = 0

    async def generate(self, request):
        if self.down:
            raise StepError("engine.connect", self.name, "refused", False)
        self.requests.append(request)
        if self.refusing:
            raise StepError("engine.refused", self.name, "busy", False)
        start_incarnation = self.incarnation
        self.active.add(request.request_id)
        try:
            done = len(request.generated.split())
            for index in range(done, done + request.max_tokens):
                await asyncio.sleep(self.gap_s)
                if (
                    request.prompt.startswith("bad")
                    and start_incarnation == self.incarnation
                ):
                    self.incarnation += 1
                    self.crashes += 1
                if (
                    start_incarnation != self.incarnation
                    or index - done == self.break_after
                ):
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
    """Plain service that fails at random, before or after running the request."""

    def __init__(self, name, failure_rate=0.0, rng=random):
        self.name = name
        self.failure_rate = failure_rate
        self.rng = rng
        self.received_ids = []  # including refused requests
        self.executed_ids = []
        self.down = False

    async def call(self, request):
        if self.down:
            raise StepError("service.connect", self.name, "refused", False)
        self.received_ids.append(request.request_id.split(".")[0])
        await asyncio.sleep(0.001)
        if self.rng.random() < self.failure_rate:
            step = self.rng.choice(["service.answer", "service.refused"])
            if step == "service.answer":
                self.executed_ids.append(request.request_id.split(".")[0])
            raise StepError(step, self.name, "failed", step.endswith("answer"))
        self.executed_ids.append(request.request_id.split(".")[0])
        return CallResponse(200, request.body, request.content_type, self.name)


class OwnerFixture:
    """Shard owner with fake servers and recorded failure reports and strikes."""

    def __init__(self, engines=(), plains=(), limits=None, policy=None):
        self.clients = {client.name: client for client in (*engines, *plains)}
        self.listed_names = set(self.clients)
        self.reports = []
        self.published = []
        self.strike_registry = StrikeRegistry(self.publish)
        self.dependencies = OwnerDependencies(
            clock=LoopClock(),
            servers=self.servers,
            engine_for=lambda server: self.clients[server.name],
            plain_for=lambda server: self.clients[server.name],
            report=lambda server, error: self.reports.append((server.name, error)),
            weight=lambda party: 1.0,
            strike_registry=self.strike_registry,
            budget=RetryBudget(),
            limits=limits or Limits(),
            policy=policy or Policy(),
            adapt_interval_ms=10.0,
        )
        self.owner = ShardOwner("s", 0, self.dependencies)

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
            if name in self.listed_names
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


async def collect_chunks(owner, work):
    async with aclosing(owner.generate(work)) as chunks:
        return [chunk async for chunk in chunks]


async def result_or_refusal(coroutine):
    try:
        return await coroutine
    except RefusedError as error:
        return error.refusal


async def wait_until(condition, limit_s=5.0):
    end = asyncio.get_running_loop().time() + limit_s
    while not condition():
        assert asyncio.get_running_loop().time() < end, "condition not met in time"
        await asyncio.sleep(0.002)


def run_scenario(scenario):
    # On virtual time, so that results do not depend on the speed of the machine.
    return run_virtual(asyncio.wait_for(scenario, 600))


class TestGeneration:
    def test_broken_stream_continues_on_another_server(self):
        """Guards against lost and repeated tokens when a stream breaks."""

        async def scenario():
            first, second = FakeEngine("e1"), FakeEngine("e2")
            first.break_after = 3
            shard = OwnerFixture([first, second])
            second.down = True
            task = asyncio.create_task(
                collect_chunks(shard.owner, generation(tokens=8))
            )
            await wait_until(lambda: first.requests)
            second.down = False
            chunks = await task
            await shard.owner.close()
            return chunks, second.requests[0]

        chunks, resumed = run_scenario(scenario())
        assert "".join(c.text for c in chunks) == "0 1 2 3 4 5 6 7 "
        assert [c.server for c in chunks] == ["e1"] * 3 + ["e2"] * 5
        assert (resumed.generated, resumed.max_tokens) == ("0 1 2 ", 5)

    def test_cancelling_removes_queued_and_stops_running_work(self):
        """Guards against work that continues after its caller disconnected."""

        async def scenario():
            engine = FakeEngine("e1", gap_s=0.01)
            shard = OwnerFixture([engine], limits=Limits(window_start=1, window_max=1))
            tasks = [
                asyncio.create_task(
                    collect_chunks(shard.owner, generation(str(i), 500))
                )
                for i in range(3)
            ]
            await wait_until(lambda: engine.active and len(shard.owner.queue) == 2)
            for task in tasks:
                task.cancel()
            await wait_until(lambda: not engine.active and not shard.owner.jobs)
            queued = len(shard.owner.queue)
            await shard.owner.close()
            return queued, len(engine.requests), shard.strike_registry.runs.by_server

        assert run_scenario(scenario()) == (0, 1, {})

    def test_min_version_waits_for_a_server_that_has_it(self):
        """Guards against samples from a weight version that is already too old."""

        async def scenario():
            old, new = FakeEngine("e1"), FakeEngine("e2")
            shard = OwnerFixture([old, new])
            task = asyncio.create_task(
                collect_chunks(shard.owner, generation(min_version=2))
            )
            await wait_until(lambda: len(shard.owner.queue) == 1)
            new.version = 2
            chunks = await task
            await shard.owner.close()
            return {(c.server, c.version) for c in chunks}, old.requests

        assert run_scenario(scenario()) == ({("e2", 2)}, [])

    def test_a_group_stays_on_one_server(self):
        """Guards against computing a group's shared prompt prefix on each server."""

        async def scenario():
            engines = [FakeEngine(f"e{i}") for i in range(3)]
            shard = OwnerFixture(engines)
            await asyncio.gather(
                *(
                    collect_chunks(shard.owner, generation("x", group="g"))
                    for _ in range(6)
                )
            )
            await shard.owner.close()
            return sorted(len(engine.requests) for engine in engines)

        assert run_scenario(scenario()) == [0, 0, 6]

    def test_long_work_progresses_beside_a_stream_of_short_work(self):
        """Guards against long work that is starved by short work."""

        async def scenario():
            engine = FakeEngine("e1")
            shard = OwnerFixture([engine], limits=Limits(window_start=4, window_max=4))
            for _ in range(40):
                shard.owner.predictor.record("a", "s", "generate/4", 5)
                shard.owner.predictor.record("a", "s", "generate/8", 200)
            long = [
                asyncio.create_task(
                    collect_chunks(shard.owner, generation(f"l{i}", 200))
                )
                for i in range(3)
            ]
            finished = 0

            async def feed(worker):
                nonlocal finished
                while not all(task.done() for task in long):
                    prompt = f"{worker}/{finished}"
                    await collect_chunks(shard.owner, generation(prompt, 8))
                    finished += 1

            await asyncio.gather(*(feed(worker) for worker in range(12)))
            await shard.owner.close()
            return [len(task.result()) for task in long], finished

        lengths, finished = run_scenario(scenario())
        assert lengths == [200, 200, 200]
        assert finished > 50


class TestCrashes:
    @settings(max_examples=15, deadline=None, phases=set(Phase) - {Phase.shrink})
    @given(st.integers(0, 2**32))
    def test_one_request_crashes_two_servers_at_most(self, seed):
        """Guards against a request that crashes a third server.

        Holds for any arrival order. Other requests that were running on a crashed
        server must still complete.
        """

        async def scenario():
            rng = random.Random(seed)
            engines = [FakeEngine(f"e{i}") for i in range(4)]
            shard = OwnerFixture(engines)
            # Without a budget limit only strikes can refuse the other requests.
            shard.dependencies.budget.try_spend = lambda party, service: True

            async def send(index):
                await asyncio.sleep(rng.uniform(0, 0.05))
                bad = index % 4 == 0
                work = generation("bad" if bad else str(index), 6, rid=f"r{index}")
                return bad, await result_or_refusal(collect_chunks(shard.owner, work))

            results = await asyncio.gather(*(send(index) for index in range(24)))
            await shard.owner.close()
            return results, sum(engine.crashes for engine in engines)

        results, crashes = run_scenario(scenario())
        assert crashes <= 2
        for bad, result in results:
            if bad:
                assert result.outcome is Outcome.GIVEN_UP
            else:
                assert isinstance(result, list), result
                assert "".join(c.text for c in result) == "0 1 2 3 4 5 "

    def test_broken_stream_without_a_crash_gives_no_strike(self):
        """Guards against strikes for requests whose stream a network fault broke."""

        async def scenario():
            engine = FakeEngine("e1")
            engine.break_after = 1
            shard = OwnerFixture([engine])
            await result_or_refusal(collect_chunks(shard.owner, generation(tokens=20)))
            await shard.owner.close()
            return shard.published

        assert run_scenario(scenario()) == []


class TestRefusals:
    @settings(max_examples=10, deadline=None, phases=set(Phase) - {Phase.shrink})
    @given(st.integers(0, 2**32))
    def test_not_run_is_true_and_non_idempotent_runs_once(self, seed):
        """Guards against a false "not run" (P5) and repeated runs (P6).

        Servers fail and become unreachable at random, and deadlines are short.
        """

        async def scenario():
            rng = random.Random(seed)
            plains = [FakePlain(f"p{i}", 0.4, rng) for i in range(3)]
            limits = Limits(window_start=1, window_max=2, queue_requests=10)
            shard = OwnerFixture(plains=plains, limits=limits)

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
                return work, await result_or_refusal(shard.owner.call(work))

            results = await asyncio.gather(*(send(index) for index in range(60)))
            await wait_until(lambda: not shard.strike_registry.runs.by_server)
            left = [len(slot.running) for slot in shard.owner.slots.values()]
            await shard.owner.close()
            received_ids = [rid for plain in plains for rid in plain.received_ids]
            return (
                results,
                received_ids,
                [rid for p in plains for rid in p.executed_ids],
                left,
            )

        results, received_ids, executed_ids, left = run_scenario(scenario())
        assert left == [0, 0, 0]
        for work, result in results:
            runs = executed_ids.count(work.request_id)
            if not work.idempotent:
                assert received_ids.count(work.request_id) <= 1
            if isinstance(result, CallResponse):
                assert runs >= 1
            elif result.outcome is Outcome.NOT_RUN:
                assert runs == 0

    def test_extra_load_stays_within_the_budget(self):
        """Guards against retry storms when all servers fail half of their calls."""

        async def scenario():
            plains = [FakePlain(f"p{i}", 0.5) for i in range(3)]
            shard = OwnerFixture(plains=plains)
            works = [
                Work(f"r{i}", "a", "s", CallWork(str(i).encode(), "t"))
                for i in range(200)
            ]
            await asyncio.gather(
                *(result_or_refusal(shard.owner.call(work)) for work in works)
            )
            await shard.owner.close()
            return sum(len(plain.received_ids) for plain in plains)

        assert run_scenario(scenario()) <= 200 * 1.08 + 2

    def test_overload_is_refused_at_once_with_retry_after(self):
        """Guards against requests that wait until their deadline before refusal."""

        async def scenario():
            engine = FakeEngine("e1", gap_s=0.002)
            shard = OwnerFixture([engine], limits=Limits(window_start=1, window_max=1))
            tasks = [
                asyncio.create_task(collect_chunks(shard.owner, generation(str(i), 50)))
                for i in range(20)
            ]
            await wait_until(lambda: shard.owner.drain_rate.tokens_per_s > 0)
            began = asyncio.get_running_loop().time()
            late = generation("late", 50, deadline_ms=300.0)
            refusal = await result_or_refusal(collect_chunks(shard.owner, late))
            elapsed = asyncio.get_running_loop().time() - began
            for task in tasks:
                task.cancel()
            await shard.owner.close()
            return refusal, elapsed

        refusal, elapsed = run_scenario(scenario())
        assert (refusal.outcome, refusal.reason) == (Outcome.NOT_RUN, "deadline")
        assert refusal.retry_after_ms > 100
        assert elapsed < 0.2

    def test_draining_owner_refuses_queued_work_as_moved(self):
        """Guards against work lost at shutdown (P8).

        Running work must finish and queued work must be refused as moved.
        """

        async def scenario():
            engine = FakeEngine("e1", gap_s=0.002)
            shard = OwnerFixture([engine], limits=Limits(window_start=1, window_max=1))
            tasks = [
                asyncio.create_task(
                    result_or_refusal(collect_chunks(shard.owner, generation(str(i))))
                )
                for i in range(3)
            ]
            await wait_until(lambda: engine.active)
            await shard.owner.drain()
            results = [await task for task in tasks]
            await shard.owner.close()
            return results

        completed, *moved = run_scenario(scenario())
        assert len(completed) == 5
        assert [(m.outcome, m.reason) for m in moved] == [
            (Outcome.NOT_RUN, "moved")
        ] * 2


class TestHedging:
    def test_short_work_on_a_slow_server_is_hedged(self):
        """Guards against tail latency from one slow server and mixed-up chunks."""

        async def scenario():
            engines = [FakeEngine(f"e{i}", gap_s=0.002) for i in range(3)]
            shard = OwnerFixture(engines)

            async def load(worker):
                for index in range(30):
                    work = generation(f"{worker}/{index}", 20, rid=f"{worker}/{index}")
                    chunks = await collect_chunks(shard.owner, work)
                    text = "".join(chunk.text for chunk in chunks)
                    assert text == "".join(f"{i} " for i in range(20))

            async def slow_down():
                await wait_until(lambda: len(engines[0].requests) > 3)
                engines[0].gap_s = 0.05

            await asyncio.gather(slow_down(), *(load(worker) for worker in range(6)))
            extra_attempts = shard.owner.dispatcher.extra_attempt_count
            await shard.owner.close()
            return extra_attempts

        assert run_scenario(scenario()) >= 1


class TestOwnerTable:
    def test_forwarded_work_is_served_and_idle_owners_closed(self):
        """Guards against lost counters of closed owners and idle owners kept open."""

        async def scenario():
            shard = OwnerFixture([FakeEngine("e1")])
            table = OwnerTable(
                lambda service, number: ShardOwner(service, number, shard.dependencies),
                LoopClock(),
                idle_timeout_ms=0.0,
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

        items, left, refusal, served = run_scenario(scenario())
        assert items[:-1] == [AnswerChunk(f"{i} ", 1, 1, "e1") for i in range(3)]
        assert items[-1] == AnswerEnd(3)
        assert left == {} and served == {"s/a": 3}
        assert isinstance(refusal[0], Refused) and refusal[0].reason == "moved"


@pytest.mark.parametrize("profile", ["balanced", "idle_time", "tail_latency"])
def test_every_profile_serves(profile):
    """Guards against a profile whose limits admit no work."""

    async def scenario():
        shard = OwnerFixture([FakeEngine("e1")], policy=Policy(profile=profile))
        chunks = await collect_chunks(shard.owner, generation())
        await shard.owner.close()
        return len(chunks)

    assert run_scenario(scenario()) == 5
