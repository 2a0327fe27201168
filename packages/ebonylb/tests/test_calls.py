import asyncio
import os

import pytest
from result import Ok

from ebonylb.calls import ClaimStore
from ebonylb.calls.refusals import platform_unavailable
from ebonylb.interfaces import Check, Conflict, Write
from ebonylb.outcomes import Outcome, RefusedError
from ebonylb.storage import GroupCommit
from ebonylb_standins.histories import CHECKERS, LoopClock, check_all, run_virtual
from ebonylb_standins.histories.calls_world import (
    RETENTION_MS,
    Backend,
    kill,
    record_random_history,
    send,
    start_vm,
)
from ebonylb_standins.histories.events import CallRan, read_history, write_history
from ebonylb_standins.histories.world import Platform, World

SEEDS = [int(s) for s in os.environ.get("SEEDS", "1,2,3,4,5,6,7,8").split(",")]


def run_scenario(
    seed, scenario, names="abc", claim_type=ClaimStore, world=None, **limits
):
    """Run a scenario in a simulated site of entry VMs and return its result."""

    async def main():
        active_world = world or World(seed)
        backend = Backend(active_world)
        for name in names:
            await start_vm(active_world, name, backend, claim_type, **limits)
        result = await asyncio.wait_for(scenario(active_world, backend), 3_600)
        assert not check_all(active_world.events)
        return result

    return run_virtual(main())


def count_runs(world):
    """Return how many calls backend servers have run."""
    return sum(isinstance(event, CallRan) for event in world.events)


class NoClaim(ClaimStore):
    """Broken variant: dispatches calls without a claim."""

    async def acquire(self, record, deadline_ms):
        return None


class ClaimAfterDispatch(ClaimStore):
    """Broken variant: dispatches the call while its claim is being written."""

    async def acquire(self, record, deadline_ms):
        self.late = asyncio.ensure_future(super().acquire(record, deadline_ms))
        self.late.add_done_callback(lambda task: task.cancelled() or task.exception())


class UncheckedRefusal(ClaimStore):
    """Broken variant: reports "not run" without a look at other entry VMs."""

    async def request_from_all(self, record):
        raise platform_unavailable(True)


class SilentHolderNeverDispatched(ClaimStore):
    """Broken variant: treats a holder without a reply as one that never dispatched."""

    async def request_from_holder(self, record, row, deadline_ms):
        try:
            return await super().request_from_holder(record, row, 500)
        except RefusedError:
            return None


class IgnoresBody(ClaimStore):
    """Broken variant: returns the recorded response for any body under the key."""

    async def resolve_conflict(self, record, row, deadline_ms):
        record.fingerprint = row.value["fingerprint"]
        return await super().resolve_conflict(record, row, deadline_ms)


class TestHistories:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_promises_hold_under_random_faults(self, seed):
        """Guards against broken promises under any mix of faults.

        P4: a response is complete and belongs to its request. P5: work refused as not
        run has not run. P6: non-idempotent work runs at most once.
        """
        print("seed", seed)
        events, answered = record_random_history(seed)
        assert check_all(events) == []
        assert answered > 20

    @pytest.mark.parametrize(
        ("variant", "promise"),
        [
            (NoClaim, "P6"),
            (ClaimAfterDispatch, "P6"),
            (SilentHolderNeverDispatched, "P6"),
            (UncheckedRefusal, "P5"),
        ],
    )
    def test_checkers_report_broken_variants(self, variant, promise):
        """Guards against a checker that accepts every history."""
        violations = []
        for seed in range(1, 13):
            violations += CHECKERS[promise](record_random_history(seed, variant)[0])
        if violations:
            print(variant.__name__, len(violations), violations[0])
        assert violations

    def test_response_to_another_body_is_reported(self):
        """Guards against a checker that accepts the response of another request."""

        async def scenario(world, backend):
            await send(world, "a", "r1", "k", "one")
            await asyncio.sleep(1)
            await send(world, "b", "r2", "k", "two")
            violations = CHECKERS["P4"](world.events)
            world.events.clear()
            return violations

        violations = run_scenario(1, scenario, claim_type=IgnoresBody)
        assert [v.cause for v in violations] == ["response belongs to other work"]

    def test_history_round_trips_through_file(self, tmp_path):
        """Guards against events that change when a history is written and read."""
        events, _ = record_random_history(1, callers=5)
        path = str(tmp_path / "history.jsonl")
        write_history(path, events)
        assert read_history(path) == events


class TestJournal:
    def test_backlog_of_an_outage_is_paced(self):
        """Guards against all entry VMs flushing at once when the platform is back."""

        async def scenario(world, backend):
            service = world.vms["a"].services["calls"]
            world.platform_down = True
            keys = [service.issuer.issue("p") for _ in range(900)]
            sends = (send(world, "a", f"r{i}", key) for i, key in enumerate(keys))
            await asyncio.gather(*sends)
            await asyncio.sleep(30)
            backlog, world.platform_down = service.journal.backlog, False
            first_second_rows, back_ms = None, world.now_ms
            while service.journal.backlog:
                await asyncio.sleep(1)
                first_second_rows = (
                    len(world.rows) if first_second_rows is None else first_second_rows
                )
            return backlog, first_second_rows, len(world.rows), world.now_ms - back_ms

        backlog, first_second_rows, rows, took_ms = run_scenario(1, scenario)
        assert backlog == rows == 900
        assert first_second_rows <= 200 and 5_000 < took_ms < 20_000

    def test_shutdown_writes_at_once(self):
        """Guards against results lost with the memory of a leaving entry VM."""

        async def scenario(world, backend):
            service = world.vms["a"].services["calls"]
            world.platform_down = True
            for i in range(20):
                await send(world, "a", f"r{i}", service.issuer.issue("p"))
            world.platform_down = False
            left = await service.close(3_000)
            return left, len(world.rows)

        assert run_scenario(1, scenario) == (0, 20)


class TestCallerKeys:
    @pytest.mark.parametrize("names", ["aa", "ab"])
    def test_same_key_twice_at_once_runs_once(self, names):
        """Guards against two runs of one key, sent to one entry VM or to two."""

        async def scenario(world, backend):
            first, second = await asyncio.gather(
                *(send(world, name, f"r{i}", "k") for i, name in enumerate(names))
            )
            return first == second and isinstance(first, str), count_runs(world)

        assert run_scenario(1, scenario) == (True, 1)

    def test_recorded_response_is_returned_by_another_entry_vm(self):
        """Guards against a resend that gets less than the recorded response."""

        async def scenario(world, backend):
            first = await send(world, "a", "r1", "k", "y" * 40_000)
            await asyncio.sleep(1)
            kill(world, "a")
            return first == await send(world, "b", "r2", "k", "y" * 40_000)

        assert run_scenario(1, scenario)

    def test_delayed_claim_after_refusal_does_not_block_the_key(self):
        """Guards against a key blocked by a claim that was committed after its refusal.

        The refused call is never dispatched, so nobody records a result for the claim.
        """

        async def scenario(world, backend):
            world.delayed_share = 1.0
            refused = await send(world, "a", "r1", "k")
            world.delayed_share = 0.0
            await asyncio.sleep(10)
            claimed = len(world.rows)
            response = await send(world, "b", "r2", "k")
            return refused.outcome, claimed, response

        world = World(1, max_delay_s=9)
        assert run_scenario(1, scenario, world=world) == (Outcome.NOT_RUN, 1, "x#r2")

    @pytest.mark.parametrize(
        ("fault", "reason", "comes_back"),
        [
            ("kill", "holder_gone", False),
            ("freeze", "holder_unreachable", True),
            ("cut", "holder_unreachable", True),
        ],
    )
    def test_holder_lost_after_dispatch(self, fault, reason, comes_back):
        """Guards against a second run while the holder cannot reply."""

        async def scenario(world, backend):
            backend.responses_allowed.clear()
            first = asyncio.ensure_future(send(world, "a", "r1", "k"))
            await asyncio.sleep(0.5)
            if fault == "kill":
                kill(world, "a")
                await asyncio.sleep(2)
            elif fault == "freeze":
                world.vms["a"].not_frozen.clear()
            else:
                world.cuts.add(frozenset("ab"))
            refusal = await send(world, "b", "r2", "k")
            first.cancel()
            backend.responses_allowed.set()
            return refusal, count_runs(world)

        refusal, count = run_scenario(1, scenario)
        assert (refusal.outcome, refusal.reason) == (Outcome.MAY_HAVE_RUN, reason)
        assert ((refusal.retry_after_ms or 0) > 0) == comes_back
        assert count == 1

    def test_outage_between_claim_and_recording(self):
        """Guards against a result lost because the platform failed after the claim."""

        async def scenario(world, backend):
            backend.responses_allowed.clear()
            first = asyncio.ensure_future(send(world, "a", "r1", "k"))
            await asyncio.sleep(0.5)
            world.platform_down = True
            backend.responses_allowed.set()
            responses = [await first, await send(world, "b", "r2", "k")]
            fresh = await send(world, "c", "r3", "new")
            key = world.vms["b"].services["calls"].issuer.issue("p")
            issued = await send(world, "c", "r4", key)
            world.platform_down = False
            await asyncio.sleep(15)
            kill(world, "a")
            responses.append(await send(world, "c", "r5", "k"))
            return responses, fresh, issued

        responses, fresh, issued = run_scenario(1, scenario)
        assert responses == ["x#r1"] * 3 and issued == "x#r4"
        assert fresh.outcome == Outcome.NOT_RUN and fresh.retry_after_ms > 0

    def test_other_body_under_same_key_is_refused(self):
        """Guards against a recorded response for another body under the same key."""

        async def scenario(world, backend):
            await send(world, "a", "r1", "k")
            issued = world.vms["a"].services["calls"].issuer.issue("p")
            await send(world, "b", "r2", issued)
            sent = [("a", "k"), ("b", "k"), ("a", issued), ("c", issued)]
            return [
                (await send(world, name, f"r3{i}", key, "other")).reason
                for i, (name, key) in enumerate(sent)
            ]

        assert run_scenario(1, scenario) == ["key_reused"] * 4


class TestIssuedKeys:
    def test_ended_issuer_leads_to_journal_or_final_refusal(self):
        """Guards against a run of an issued key by another process than its issuer."""

        async def scenario(world, backend):
            issuer = world.vms["a"].services["calls"].issuer
            used, unused = issuer.issue("p"), issuer.issue("p")
            response = await send(world, "b", "r1", used)
            await asyncio.sleep(1)
            kill(world, "a")
            early = await send(world, "b", "r2", unused)
            await asyncio.sleep(2)
            again = await send(world, "c", "r3", used)
            return response == again, early, await send(world, "b", "r4", unused)

        same, early, late = run_scenario(1, scenario)
        assert same and early.reason == "issuer_unreachable" and early.retry_after_ms
        assert late.reason == "issuer_gone" and late.retry_after_ms is None

    def test_key_of_another_party_or_forged_is_refused(self):
        """Guards against the use of a key by a party that it was not issued to."""

        async def scenario(world, backend):
            key = world.vms["a"].services["calls"].issuer.issue("p")
            forged = key.replace(".1.", ".2.")
            return [
                (await send(world, "b", "r1", key, party="q")).reason,
                (await send(world, "b", "r2", forged)).reason,
            ]

        assert run_scenario(1, scenario) == ["key_invalid", "key_invalid"]

    def test_retention_bounds_memory_and_never_runs_again(self):
        """Guards against a second run or unbounded records after the retention."""

        async def scenario(world, backend):
            service = world.vms["a"].services["calls"]
            keys = [service.issuer.issue("p") for _ in range(6)]
            full = [(await send(world, "a", f"r{i}", keys[i])) for i in range(5)]
            await asyncio.sleep(RETENTION_MS / 1000 + 5)
            again = await send(world, "a", "s0", keys[0])
            unused = await send(world, "a", "s1", keys[5])
            return full, again, unused, len(service.records.by_row)

        full, again, unused, left = run_scenario(1, scenario, max_rows=4)
        assert full[4].reason == "journal_full" and full[4].outcome == "not_run"
        assert again == full[0] and unused.reason == "key_expired" and left == 0

    def test_stored_bodies_leave_memory_under_the_byte_limit(self):
        """Guards against response bodies that fill the memory of a small VM."""

        async def scenario(world, backend):
            service = world.vms["a"].services["calls"]
            keys = [service.issuer.issue("p") for _ in range(4)]
            body = "z" * 800
            sent = [
                await send(world, "a", f"r{i}", k, body) for i, k in enumerate(keys)
            ]
            await asyncio.sleep(1)
            again = await send(world, "a", "s", keys[0], body)
            return sent[0] == again, service.records.body_bytes

        same, size = run_scenario(1, scenario, max_bytes=1_000)
        assert same and size <= 1_000


class TestGroupCommit:
    def test_items_get_separate_results(self):
        """Guards against a conflict that fails the other writes of its batch."""

        async def scenario(world, backend):
            group = GroupCommit(
                Platform(world, world.vms["a"]), LoopClock(), max_batch_items=50
            )
            await group.start()
            write = [Write("t", "3", {"n": 0})]
            assert isinstance(await group.submit([Check("t", "3", 0)], write), Ok)
            outcomes = await asyncio.gather(
                *(
                    group.submit(
                        [Check("t", str(i), 0)], [Write("t", str(i), {"n": i})]
                    )
                    for i in range(120)
                )
            )
            await group.close()
            kinds = [isinstance(outcome.ok_value, Conflict) for outcome in outcomes]
            return kinds.index(True), sum(kinds), group.counts

        index, conflicts, counts = run_scenario(1, scenario)
        assert (index, conflicts, counts.rows) == (3, 1, 120)
        assert counts.transactions == 5  # 1 alone, 3 batches, 1 sent again

    @pytest.mark.parametrize("steps", range(6))
    def test_close_ends_while_a_batch_becomes_full(self, steps):
        """Guards against a shutdown that never ends.

        When a batch became full in the same event loop iteration in which the group
        was closed, the wait for the batch returned and the cancellation was lost.
        """

        async def scenario(world, backend):
            group = GroupCommit(
                Platform(world, world.vms["a"]),
                LoopClock(),
                flush_interval_ms=1_000,
                max_batch_items=2,
            )
            await group.start()
            waiting = []
            for key in ("0", "1"):
                submitted = group.submit([Check("t", key, 0)], [Write("t", key, {})])
                waiting.append(asyncio.ensure_future(submitted))
                await asyncio.sleep(0.1 if key == "0" else 0)
            for _ in range(steps):
                await asyncio.sleep(0)
            closing = asyncio.ensure_future(group.close())
            _, unfinished = await asyncio.wait([closing], timeout=5)
            assert not unfinished
            return [
                isinstance(outcome, Ok) for outcome in await asyncio.gather(*waiting)
            ]

        assert run_scenario(1, scenario) == [True, True]

    def test_bounded_and_settled_after_lost_responses(self):
        """Guards against writes that fail or apply twice after a lost response."""

        async def scenario(world, backend):
            world.lost_share = 0.4
            group = GroupCommit(
                Platform(world, world.vms["a"]),
                LoopClock(),
                max_pending_items=5,
                settle_timeout_ms=60_000,
            )
            writes = [[Write("t", str(i), {})] for i in range(8)]
            waiting = [
                asyncio.ensure_future(group.submit([Check("t", str(i), 0)], w))
                for i, w in enumerate(writes)
            ]
            await asyncio.sleep(0)
            await group.start()
            await group.close()
            outcomes = await asyncio.gather(*waiting)
            revisions = {row.revision for row in world.rows.values()}
            return [isinstance(outcome, Ok) for outcome in outcomes], revisions

        kinds, revisions = run_scenario(3, scenario)
        assert kinds == [True] * 5 + [False] * 3 and revisions == {1}
