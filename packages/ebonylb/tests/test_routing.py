import asyncio
import random
from types import SimpleNamespace

import pytest

from ebonylb.adapters import SystemClock
from ebonylb.crashes import fingerprint
from ebonylb.interfaces import CallResponse
from ebonylb.outcomes import Outcome, Refusal, RefusedError, StepError
from ebonylb.retries import RetryBudget
from ebonylb.routing import CallWork, Chunk, GenerateWork, Work
from ebonylb.routing.cross_region import CrossRegionBudget
from ebonylb.routing.entry_router import EntryRouter
from ebonylb.routing.targets import Target, TargetChoice, TargetSource
from ebonylb.telemetry import RequestTrace


def target(owner, domain="d1", region="r1", queued=0, free=0):
    return Target(owner, domain, region, "lm", 0, queued, 1_000, free, 1.0)


class FixedTargets(TargetSource):
    def __init__(self, *targets):
        self.known_targets = list(targets)

    def targets(self, service):
        return self.known_targets

    def ensure_link(self, target):
        pass

    def report_failure(self, target):
        self.known_targets = [t for t in self.known_targets if t is not target]


class ScriptedOwner:
    """Executor that yields or raises the steps of a script, and counts runs."""

    def __init__(self, script):
        self.script = script
        self.runs = 0

    async def generate(self, work):
        for step in self.script:
            if isinstance(step, Exception):
                raise step
            self.runs += 1
            yield Chunk(step, 1, 1, "s")

    async def call(self, work):
        for step in self.script:
            if isinstance(step, Exception):
                raise step
        self.runs += 1
        return CallResponse(200, b"yes", "text/plain", "s")


def make_router(source, owners, strikes=lambda identity: 0, budget=None):
    clock = SystemClock()
    turn = iter(owners)
    table = SimpleNamespace(owner=lambda service, shard: next(turn))
    return EntryRouter(
        "here",
        None,
        table,
        source,
        TargetChoice("d1", "r1", 1.5),
        budget or RetryBudget(),
        CrossRegionBudget(clock, lambda service, party: None),
        clock,
        RequestTrace(clock),
        strikes,
    )


def collect_texts(router, tokens=3):
    work = Work("r", "p", "lm", GenerateWork("prompt", tokens), deadline_ms=5_000)

    async def scenario():
        return [chunk.text async for chunk in router.generate(work)]

    return asyncio.run(scenario())


CONNECTION_BROKEN = StepError("peer.connection", "here", "connection broke")
UNSENT = StepError("peer.send", "here", "no open connection", False)
MOVED = RefusedError(Refusal(Outcome.NOT_RUN, "moved", "the shard moves", 0))
QUEUE_FULL = RefusedError(Refusal(Outcome.NOT_RUN, "queue_full", "full", 900))


class TestTargetChoice:
    def test_nearer_shard_wins_until_its_wait_exceeds_the_distance(self):
        """Guards against traffic on the paid link while local capacity suffices."""
        choice = TargetChoice("d1", "r1", 1.5)
        near = target("a", queued=100)
        far = target("b", "d9", "r9", free=9)
        assert choice.choose([near, far], "", True) is near
        near = target("a", queued=2_000)
        assert choice.choose([near, far], "", True) is far
        assert choice.choose([near, far], "", False) is near

    def test_own_forwards_count_until_the_next_digest(self):
        """Guards against all requests going to one shard between two digests."""
        choice = TargetChoice("d1", "r1", 1.5)
        first, second = target("a", free=2), target("b", "d2", free=2)
        for _ in range(2):
            choice.forwarded.add(first, 500)
        assert choice.choose([first, second], "", True) is second

    def test_struck_request_has_one_home_for_all_entry_vms(self):
        """Guards against one request crashing servers of several owners at once."""
        targets = [target(f"v{i}", f"d{i}", f"r{i % 2}") for i in range(6)]
        homes = set()
        for domain, region in (("d1", "r1"), ("d2", "r0")):
            random.shuffle(targets)
            homes.add(TargetChoice(domain, region, 1.5).home(targets, "f").key)
        assert len(homes) == 1


class TestEntryRouter:
    def test_broken_stream_continues_on_another_owner(self):
        """Guards against lost or repeated tokens when an owner fails."""
        owners = [ScriptedOwner(["a", CONNECTION_BROKEN]), ScriptedOwner(["b", "c"])]
        source = FixedTargets(target("here"), target("here", "d2"))
        assert collect_texts(make_router(source, owners)) == ["a", "b", "c"]

    def test_refusal_after_a_partial_run_does_not_say_not_run(self):
        """Guards against a false "not run" when a later attempt is refused."""
        owners = [ScriptedOwner(["a", CONNECTION_BROKEN]), ScriptedOwner([QUEUE_FULL])]
        router = make_router(FixedTargets(target("here"), target("here", "d2")), owners)
        with pytest.raises(RefusedError) as raised:
            collect_texts(router)
        assert raised.value.refusal.outcome is Outcome.GIVEN_UP

    def test_unsent_work_moves_without_budget(self):
        """Guards against refusals and spent retries while a shard changes its owner."""
        budget = RetryBudget()
        owners = [ScriptedOwner([UNSENT]), ScriptedOwner([MOVED]), ScriptedOwner("abc")]
        source = FixedTargets(*(target("here", f"d{i}") for i in range(3)))
        assert collect_texts(make_router(source, owners, budget=budget)) == [
            "a",
            "b",
            "c",
        ]
        assert budget.spent_count == 0

    def test_retries_end_with_the_budget(self):
        """Guards against a retry storm when every owner fails."""
        budget = RetryBudget()
        owners = [ScriptedOwner([CONNECTION_BROKEN]) for _ in range(9)]
        source = FixedTargets(*(target("here", f"d{i}") for i in range(9)))
        with pytest.raises(RefusedError) as raised:
            collect_texts(make_router(source, owners, budget=budget))
        assert raised.value.refusal.reason == "retry_budget"
        assert budget.spent_count <= 2

    def test_non_idempotent_call_is_not_repeated_after_a_break(self):
        """Guards against a second run of a call whose owner was lost."""
        second = ScriptedOwner([])
        source = FixedTargets(target("here"), target("here", "d2"))
        router = make_router(source, [ScriptedOwner([CONNECTION_BROKEN]), second])
        work = Work("r", "p", "lm", CallWork(b"", "text/plain"), False, 5_000)
        with pytest.raises(RefusedError) as raised:
            asyncio.run(router.call(work))
        assert raised.value.refusal.outcome is Outcome.MAY_HAVE_RUN
        assert second.runs == 0

    def test_struck_request_goes_to_its_home(self):
        """Guards against routing a struck request by load instead of to its home."""
        near = target("here", free=9)
        targets = [near, *(target("here", f"d{i}", "r9") for i in range(2, 8))]
        source = FixedTargets(*targets)
        chosen = []
        source.ensure_link = chosen.append
        work = Work("r", "p", "lm", GenerateWork("prompt", 3))
        home = TargetChoice("d1", "r1", 1.5).home(targets, fingerprint(work))
        router = make_router(source, [ScriptedOwner("abc")], lambda identity: 1)
        collect_texts(router)
        assert chosen == [home]
