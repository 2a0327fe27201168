import asyncio
import time

import zmq
from hypothesis import given, settings
from hypothesis import strategies as st

from ebonylb.backends import BackendRegistry, MarkPropagator
from ebonylb.interfaces import Clock, VmEntry, VmKind, VmState
from ebonylb.membership import LocalState, Membership, new_incarnation
from ebonylb.membership.delta import HeartbeatDelta, has_load_changed
from ebonylb.membership.gossip import MAX_GOSSIP_BYTES, choose_domains
from ebonylb.membership.rendezvous import RESHARD_DELAY_MS, ShardCounts
from ebonylb.membership.view import GONE_TIMEOUT_MS, ClusterView, MergeResult
from ebonylb.peers import CurveKeys, PeerBus
from ebonylb.peers.messages import Heartbeat, ServerMark, ShardDigest, encode
from ebonylb.settings import PeerSeed, Settings

KEYS = CurveKeys(*zmq.curve_keypair())


class ManualClock(Clock):
    now = 0.0

    def monotonic_ms(self):
        return self.now

    def wall_ms(self):
        return int(self.now)

    async def sleep_ms(self, duration_ms):
        self.now += duration_ms
        await asyncio.sleep(0)


class RealClock(Clock):
    def monotonic_ms(self):
        return time.monotonic() * 1000

    def wall_ms(self):
        return int(time.time() * 1000)

    async def sleep_ms(self, duration_ms):
        await asyncio.sleep(duration_ms / 1000)


def heartbeat(incarnation="a", sequence=1, tokens=0, name="v", lifecycle="ready"):
    shards = [ShardDigest("lm", 0, tokens, 10, 1, 5)]
    return Heartbeat(
        name, incarnation, "127.0.0.1:1", "d1", "r1", sequence, lifecycle, shards,
        {"p": tokens}, [], sequence,
    )  # fmt: skip


def entry(name, domain="d1", kind=VmKind.ENTRY_VM, address="127.0.0.1:1"):
    service = "" if kind is VmKind.ENTRY_VM else "lm"
    return VmEntry(name, kind, service, address, domain, "r1", "i", VmState.LIVE)


class Node:
    """Membership of one entry VM on a real peer bus."""

    def __init__(self, name, clock=None, domain="d1"):
        self.lifecycle, self.revision, self.tokens = "ready", 1, 0
        self.bus = PeerBus(name, "127.0.0.1:0", KEYS)
        clock = clock or RealClock()

        async def probe(server):
            return None

        drop = [].append
        self.registry = BackendRegistry(clock, probe, drop, drop, domain)
        configuration = {
            "name": name, "failure_domain": domain, "region": "r1",
            "http_address": "127.0.0.1:1", "peer_address": "127.0.0.1:1",
            "platform": dict.fromkeys(["tables", "objects", "weights", "vms"], "http://x"),
            "curve": {"public": "x" * 40, "secret": "x" * 40},
            "key_secret": "x" * 16,
            "timing": {"heartbeat_ms": 50, "gossip_ms": 100},
        }  # fmt: skip
        local = LocalState(
            lambda: self.revision,
            lambda: self.lifecycle,
            lambda: [ShardDigest("lm", 0, self.tokens, 10, 1, 1)],
            lambda: {"p": self.tokens},
            lambda: [],
        )
        self.membership = Membership(
            Settings(**configuration), self.bus, clock, self.registry, local
        )

    async def start(self):
        await self.bus.start()
        self.membership.register(self.bus)
        await self.membership.start()

    async def close(self):
        await self.membership.close()
        await self.bus.close()


async def until(condition, limit_s=10):
    deadline = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < deadline, "condition not met in time"
        await asyncio.sleep(0.005)


def run_cluster(scenario, domains=("d1", "d1", "d1")):
    async def run():
        nodes = [Node(f"v{i}", domain=domain) for i, domain in enumerate(domains)]
        try:
            for node in nodes:
                await node.start()
            listed = [
                entry(node.membership.name, domain, address=node.bus.address)
                for node, domain in zip(nodes, domains, strict=True)
            ]
            listed.append(entry("e1", kind=VmKind.ENGINE))
            for node in nodes:
                node.registry.apply_list(listed)
                node.membership.apply_list(listed)
            await scenario(nodes)
        finally:
            for node in nodes:
                await node.close()

    asyncio.run(run())


class TestView:
    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 5)), max_size=12),
        st.randoms(use_true_random=False),
    )
    def test_order_of_heartbeats_does_not_matter(self, versions, random):
        """Guards against views that never converge or revert to an older heartbeat."""

        def final_view(order):
            view, last = ClusterView(), ("", -1)
            for incarnation, sequence in order:
                view.merge(heartbeat(incarnation, sequence, sequence), 0)
                vm = view.vms["v"]
                assert (vm.incarnation, vm.sequence) >= last
                last = (vm.incarnation, vm.sequence)
            vm = view.vms.get("v")
            return vm and (vm.incarnation, vm.sequence, vm.shards, vm.served)

        shuffled = [*versions, *versions]
        random.shuffle(shuffled)
        assert final_view(versions) == final_view(shuffled)

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 300),
                st.integers(0, 2),
                st.sampled_from(["ready", "leaving"]),
                st.sampled_from(["sent", "sent", "lost", "restarted"]),
            ),
            max_size=20,
        )
    )
    def test_deltas_reproduce_the_sender_state(self, steps):
        """Guards against a change that a lost message or a restart hides forever."""
        view, delta, sequence = ClusterView(), HeartbeatDelta(), 0
        for tokens, owned, lifecycle, fate in steps:
            sequence += 1
            state = heartbeat("x" * 20, sequence, tokens, lifecycle=lifecycle)
            state.shards = [ShardDigest("lm", i, tokens, 9, 1, 5) for i in range(owned)]
            message = delta.encode(state, sequence, 0)
            if fate == "lost":
                delta.reset()
                continue
            if fate == "restarted":
                view = ClusterView()
            if view.merge(message, 0) is MergeResult.BASE_MISSING:
                delta.reset()
                view.merge(delta.encode(state, sequence, 0), 0)
            vm = view.vms["v"]
            pairs = zip(vm.shards.values(), state.shards, strict=True)
            assert not any(has_load_changed(known, sent) for known, sent in pairs)
            assert (vm.lifecycle, vm.revision) == (lifecycle, sequence)

    def test_served_totals_survive_a_restart(self):
        """Guards against shares that jump when an entry VM is replaced."""
        node = Node("me", ManualClock(), domain="d2")
        node.membership.view.merge(heartbeat("a", 9, 100), 0)
        node.membership.view.merge(heartbeat("b", 1, 5), 0)
        assert node.membership.served_totals() == {"p": 105}

    def test_incarnation_has_ended_only_after_replacement_or_absence(self):
        """Guards against a final result for a key while its issuer still runs."""
        view = ClusterView()
        view.merge(heartbeat("b"), 0)
        assert view.has_incarnation_ended("v", "a")
        assert not view.has_incarnation_ended("v", "b")
        assert not view.has_incarnation_ended("v", "c")
        view.apply_list([entry("w")], 0)
        assert not view.has_incarnation_ended("x", "a")
        view.apply_list([entry("w")], GONE_TIMEOUT_MS)
        assert view.has_incarnation_ended("x", "a")
        assert not view.has_incarnation_ended("w", "a")

    def test_incarnations_sort_by_start_even_if_the_clock_is_behind(self):
        """Guards against peers rejecting a replacement as the older incarnation."""
        clock = ManualClock()
        clock.now = 5_000
        first = new_incarnation(clock)
        clock.now = 1_000
        assert new_incarnation(clock, first) > first


class TestShards:
    def test_count_changes_only_after_the_reshard_delay(self):
        """Guards against shards that move with each server restart near a threshold."""
        clock, servers = ManualClock(), []
        counts = ShardCounts(clock, lambda service: servers)
        node = Node("me", clock)
        listed = [entry(f"e{i}", kind=VmKind.ENGINE) for i in range(33)]
        node.registry.apply_list(listed)
        servers.extend(node.registry.servers("lm")[:32])
        assert counts.get("lm", "d1") == 1
        servers.append(node.registry.servers("lm")[32])
        counts.on_server_changed(servers[0])
        for _ in range(3):
            assert counts.get("lm", "d1") == 1
        clock.now += RESHARD_DELAY_MS
        assert counts.get("lm", "d1") == 2

    def test_leaving_member_owns_nothing_immediately(self):
        """Guards against new work for an entry VM that is shutting down."""

        async def scenario(nodes):
            memberships = [node.membership for node in nodes]
            await until(
                lambda: all(
                    len(membership.eligible_owners("d1")) == 3
                    for membership in memberships
                )
            )
            owners = {membership.owner("lm", 0, "d1") for membership in memberships}
            assert len(owners) == 1
            leaver = next(n for n in nodes if n.membership.name in owners)
            assert leaver.membership.owned_shards() == [("lm", 0)]
            leaver.lifecycle = "leaving"
            assert len(await leaver.membership.announce()) == 2
            assert {
                membership.owner("lm", 0, "d1") for membership in memberships
            }.isdisjoint(owners)
            assert leaver.membership.owned_shards() == []

        run_cluster(scenario)

    def test_dead_member_loses_shards_and_returning_member_is_reported(self):
        """Guards against shards that stay with a dead process."""

        async def scenario(nodes):
            first, *others = nodes
            await until(lambda: len(first.membership.eligible_owners("d1")) == 3)
            back = []
            first.membership.on_reconnect = back.append
            for node in others:
                await node.close()
            await until(lambda: first.membership.eligible_owners("d1") == ["v0"])
            assert first.membership.owner("lm", 0, "d1") == "v0"
            again = Node("v1")
            nodes[1] = again
            await again.start()
            again.membership.apply_list([entry("v0", address=first.bus.address)])
            await until(lambda: back == ["v1"])

        run_cluster(scenario)

    def test_replacement_within_a_heartbeat_limit_is_reported(self):
        """Guards against marks lost when a whole domain is replaced at once.

        The new processes start before their predecessors are suspected.
        """

        async def scenario(nodes):
            first = nodes[0].membership
            await until(lambda: len(first.eligible_owners("d1")) == 2)
            back = []
            first.on_reconnect = back.append
            for name in ("v1", "v2"):
                vm = first.view.vms[name]
                first.receive_heartbeat(replace_incarnation(vm, "9" + vm.incarnation))
                first.receive_heartbeat(replace_incarnation(vm, vm.incarnation))
            assert back == ["v1", "v2"]

        run_cluster(scenario, ("d1", "d1", "d2"))


def replace_incarnation(vm, incarnation):
    heartbeat = vm.heartbeat(vm.heartbeat_made_ms)
    heartbeat.incarnation = incarnation
    heartbeat.sequence += 1
    return heartbeat


class TestMarkPropagation:
    def test_mark_reaches_members_and_other_domains(self):
        """Guards against other entry VMs sending work to a leaving server."""

        async def scenario(nodes):
            for node in nodes:
                membership = node.membership
                propagator = MarkPropagator(node.bus, membership.members)
                node.registry.broadcast = propagator.broadcast
                node.registry.gossip = propagator.gossip
                membership.on_gossip_round = propagator.send_gossip_round
                node.bus.on(ServerMark, node.registry.accept_mark)
            await until(lambda: len(nodes[0].membership.eligible_owners("d1")) == 2)
            nodes[0].registry.mark("e1", True, "operator")
            registries = [node.registry for node in nodes]
            await until(
                lambda: (
                    not any(
                        registry.assignable("lm", "d1") for registry in registries[:2]
                    )
                ),
                3,
            )
            await until(lambda: not registries[2].assignable("lm", "d1"))

        run_cluster(scenario, ("d1", "d1", "d2"))


class TestGossip:
    def test_seed_is_enough_to_join(self):
        """Guards against a VM that stays isolated during an outage of the VM list."""

        async def scenario(nodes):
            await until(lambda: len(nodes[0].membership.eligible_owners("d1")) == 2)
            late = Node("late")
            nodes.append(late)
            address = nodes[0].bus.address
            late.membership.seeds = [PeerSeed(name="v0", address=address)]
            await late.start()
            memberships = [node.membership for node in nodes]
            await until(
                lambda: all(
                    len(membership.eligible_owners("d1")) == 3
                    for membership in memberships
                )
            )

        run_cluster(scenario, ("d1", "d1"))

    def test_gossip_reaches_every_domain(self):
        """Guards against domains that no chain of gossip partners connects."""
        domains = {f"d{i:02}": f"r{i % 9}" for i in range(21)}
        reached, rounds = {"d00"}, 0
        while len(reached) < len(domains):
            rounds += 1
            for own in sorted(reached):
                others = {d: r for d, r in domains.items() if d != own}
                chosen = choose_domains(own, domains[own], others, rounds)
                assert len(chosen) <= 2
                reached.update(chosen)
            assert rounds <= 12
        assert rounds >= 1

    def test_urgent_changes_go_first_and_the_size_is_bounded(self):
        """Guards against lifecycle changes delayed by the load of hundreds of VMs."""
        node = Node("me", ManualClock())
        node.bus.address = "127.0.0.1:1"
        gossip, view = node.membership.gossip, node.membership.view
        for sequence, limit in ((1, 1_000_000), (2, MAX_GOSSIP_BYTES)):
            for number in range(40):
                last = number == 39 and sequence == 2
                message = heartbeat("a", sequence, sequence, f"v{number}")
                message.failure_domain = "d2"
                message.revision = 1
                message.lifecycle = "leaving" if last else "ready"
                view.merge(message, sequence)
            chosen = gossip.select("partner", limit)
        assert chosen[1].entry_vm == "v39"
        size = sum(len(encode(relayed)) for relayed in chosen[1:])
        assert size <= MAX_GOSSIP_BYTES

    def test_digests_cross_domains(self):
        """Guards against a domain that never receives another domain's load."""

        async def scenario(nodes):
            membership = nodes[0].membership
            nodes[2].tokens, nodes[2].revision = 70, 4
            seen = []
            membership.on_revision = lambda peer, revision: seen.append(
                (peer, revision)
            )
            await until(
                lambda: any(
                    report.owner == "v2" and report.digest.queued_tokens == 70
                    for report in membership.shard_reports("lm")
                )
            )
            await until(lambda: ("v2", 4) in seen)
            assert membership.served_totals()["p"] == 70

        run_cluster(scenario, ("d1", "d1", "d2"))


class TestSuperseded:
    @settings(max_examples=5)
    @given(st.booleans())
    def test_superseded_process_owns_no_shards(self, starting):
        """Guards against a resumed process owning its replacement's shards."""
        node = Node("me", ManualClock())
        node.bus.address = "127.0.0.1:1"
        node.lifecycle = "starting" if starting else "ready"
        newer = new_incarnation(node.membership.clock, node.membership.incarnation)
        node.membership.on_own_newer_incarnation(newer)
        node.lifecycle = "ready"
        assert (node.membership.eligible_owners("d1") == ["me"]) is starting
        assert (node.membership.incarnation > newer) is starting
