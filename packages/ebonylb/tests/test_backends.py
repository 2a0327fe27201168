import asyncio
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from ebonylb.backends import (
    BackendRegistry,
    MarkPropagator,
    ServerState,
    VmListPoller,
)
from ebonylb.backends.registry import ABSENCE_TIMEOUT_MS, ROLLBACK_CONFIRM_MS
from ebonylb.interfaces import Clock, VmEntry, VmKind, VmState
from ebonylb.outcomes import StepError
from ebonylb.peers.messages import MarksQuery, ServerMark
from ebonylb.service.mark_recovery import recover_marks


class ManualClock(Clock):
    now = 0.0

    def monotonic_ms(self):
        return self.now

    def wall_ms(self):
        return int(self.now)

    async def sleep_ms(self, duration_ms):
        self.now += duration_ms
        await asyncio.sleep(0)


def entry(name="e1", incarnation="i1", state=VmState.LIVE):
    return VmEntry(
        name, VmKind.ENGINE, "lm", "127.0.0.1:1", "d1", "r1", incarnation, state
    )


def make_registry(probe=None):
    sent = []

    async def healthy(server):
        return None

    created = BackendRegistry(
        ManualClock(), probe or healthy, sent.append, lambda mark: None, "d1"
    )
    created.apply_list([entry()])
    return created, sent


class TestMarks:
    def test_lagging_list_does_not_revive(self):
        """Guards against new work for a leaving server that the list shows as live."""
        registry, sent = make_registry()
        registry.report("e1", StepError("engine.draining", "e1", "leaving", False))
        registry.apply_list([entry()])
        assert registry.assignable("lm", "d1") == []
        assert [mark.leaving for mark in sent] == [True]

    def test_newer_incarnation_revives_and_older_one_stays_replaced(self):
        """Guards against a replacement that gets no work, and an outdated reading."""
        registry, _ = make_registry()
        registry.mark("e1", True, "operator")
        registry.apply_list([entry(incarnation="i2")])
        registry.apply_list([entry(incarnation="i1", state=VmState.LEAVING)])
        assert [s.incarnation for s in registry.assignable("lm", "d1")] == ["i2"]

    def test_incarnation_that_the_list_keeps_showing_is_accepted(self):
        """Guards against a server lost forever after one outdated first reading."""
        registry, _ = make_registry()
        registry.apply_list([entry(incarnation="old")])
        for _ in range(2):
            registry.apply_list([entry()])
            registry.clock.now += ROLLBACK_CONFIRM_MS
        assert [s.incarnation for s in registry.assignable("lm", "d1")] == ["i1"]

    def test_operator_revokes_while_the_list_still_shows_leaving(self):
        """Guards against the list overriding an operator's later mark."""
        registry, _ = make_registry()
        registry.apply_list([entry(state=VmState.LEAVING)])
        registry.mark("e1", False, "operator")
        registry.apply_list([entry(state=VmState.LEAVING)])
        assert len(registry.assignable("lm", "d1")) == 1

    def test_mark_before_the_server_is_known(self):
        """Guards against work for a server whose mark arrives before its list entry."""
        registry, _ = make_registry()
        asyncio.run(registry.accept_mark(ServerMark("e2", "i1", 1, "peer", True)))
        registry.apply_list([entry(), entry("e2")])
        assert [s.name for s in registry.assignable("lm", "d1")] == ["e1"]

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["i1", "i2"]),
                st.integers(1, 4),
                st.booleans(),
                st.sampled_from(["list", "operator"]),
            ),
            max_size=8,
        ),
        st.randoms(use_true_random=False),
    )
    def test_order_of_marks_does_not_matter(self, marks, random):
        """Guards against VMs whose views of the same marks never converge."""

        def final_view(order):
            registry, _ = make_registry()
            numbers = []
            for incarnation, number, leaving, reason in order:
                mark = ServerMark("e1", incarnation, number, reason, leaving)
                asyncio.run(registry.accept_mark(mark))
                held = registry.mark_table.get("e1", "i1")
                numbers.append(held.number if held else 0)
            assert numbers == sorted(numbers)
            return registry.get("e1").state, registry.mark_table.get("e1", "i1")

        shuffled = [*marks, *marks]
        random.shuffle(shuffled)
        assert final_view(marks) == final_view(shuffled)


class FakeBus:
    """Peers by name; the value tells whether the peer acknowledges marks."""

    def __init__(self, **peers):
        self.peers = peers
        self.acknowledged_by = []

    async def request(self, peer, message, timeout_ms):
        await asyncio.sleep(0)
        if not self.peers[peer]:
            raise StepError("peer.send", peer, "no open connection", False)
        self.acknowledged_by.append(peer)


class TestRecovery:
    """An entry VM reads the marks of a peer during startup, before it serves."""

    def recover(self, **peers):
        async def scenario():
            source, _ = make_registry()
            source.mark("e1", True, "operator ann")
            started, _ = make_registry()
            bus = FakeBus(**peers)
            bus.stream = lambda peer, message, limit: stream_marks(bus, peer, source)
            membership = SimpleNamespace(
                name="a",
                seeds=["b"],
                entry_vms=lambda: ["a", *peers],
                ready_peers=list,
                ensure_link=lambda peer: True,
            )
            propagator = MarkPropagator(bus, list)
            clock = ManualClock()
            done = await recover_marks(membership, propagator, started, clock)
            return done, started.get("e1").state, clock.now

        async def stream_marks(bus, peer, source):
            await bus.request(peer, None, 0)
            async for mark in source.stream_marks(MarksQuery()):
                yield mark

        return asyncio.run(scenario())

    def test_drain_is_known_before_the_first_request(self):
        done, state, _ = self.recover(b=False, c=True)
        assert done and state is ServerState.LEAVING

    def test_isolated_domain_serves_without_marks(self):
        done, _, waited_ms = self.recover(b=False)
        assert not done and waited_ms <= 1_100


class TestReplication:
    """A leaving entry VM replicates a mark before it acknowledges it.

    Guards against a lost drain (seed 74021 of the proof): the only entry VM of a
    domain accepted a drain while it was leaving, and its replacement never received
    the mark.
    """

    MARK = ServerMark("e1", "i1", 1, "operator ann", True)

    def replicate(self, **peers):
        async def scenario():
            bus = FakeBus(**peers)
            propagator = MarkPropagator(bus, list)
            confirmed = await propagator.replicate(self.MARK, list(peers))
            await propagator.flush()
            return confirmed, bus.acknowledged_by

        return asyncio.run(scenario())

    def test_one_acknowledgement_suffices(self):
        assert self.replicate(b=False, c=True, d=False) == (True, ["c"])

    def test_all_reachable_peers_receive_the_mark(self):
        assert self.replicate(b=True, c=True) == (True, ["b", "c"])

    def test_no_acknowledgement_is_not_confirmed(self):
        assert self.replicate(b=False, c=False) == (False, [])
        assert self.replicate() == (False, [])


class TestSuspicion:
    def test_connection_failure_is_cleared_by_a_probe(self):
        """Guards against a server that gets no more work after a short fault."""

        async def scenario():
            responses = [StepError("engine.connect", "e1", "refused", False), None]
            states = []

            async def probe(server):
                states.append(server.state)
                return responses.pop(0)

            registry, sent = make_registry(probe)
            registry.report("e1", StepError("engine.stream", "e1", "broken"))
            task = registry.probe_tasks["e1"]
            await asyncio.wait_for(asyncio.gather(task, return_exceptions=True), 5)
            return states, registry.get("e1").state, sent

        states, state, sent = asyncio.run(scenario())
        assert states == [ServerState.SUSPECT] * 2
        assert state is ServerState.LIVE
        assert sent == []

    def test_result_of_an_earlier_incarnation_is_ignored(self):
        """Guards against a late draining response that marks the replacement."""
        registry, _ = make_registry()
        old = registry.get("e1")
        registry.apply_list([entry(incarnation="i2")])
        registry.report(old, StepError("engine.draining", "e1", "leaving", False))
        assert len(registry.assignable("lm", "d1")) == 1


class TestVmList:
    def test_empty_or_failing_list_removes_nothing(self):
        """Guards against an outage of the list that removes all servers."""
        registry, _ = make_registry()
        responses = [Ok([]), Err(StepError("platform.vms", "p", "down")), Ok([])]

        class Fake:
            async def entries(self):
                return responses.pop(0)

        poller = VmListPoller(Fake(), registry.clock, 1_000)
        poller.subscribe(registry.apply_list)
        for _ in range(3):
            assert not asyncio.run(poller.poll_once())
            registry.apply_list([])
            registry.clock.now += ABSENCE_TIMEOUT_MS
        assert len(registry.servers("lm")) == 1

    def test_absent_server_is_removed_only_after_the_timeout(self):
        """Guards against an incomplete reading removing servers, and against leaks.

        The list may be incomplete just after an outage.
        """
        registry, _ = make_registry()
        for _ in range(2):
            registry.apply_list([entry("e2")])
        assert len(registry.servers("lm")) == 2
        registry.clock.now += ABSENCE_TIMEOUT_MS
        registry.apply_list([entry("e2")])
        assert [s.name for s in registry.servers("lm")] == ["e2"]
