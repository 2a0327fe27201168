"""Entry VMs with the real router, owners and target choice, without sockets."""

import asyncio
import random

import xxhash

from ebonylb.backends.model import BackendServer
from ebonylb.crashes import StrikeRegistry
from ebonylb.interfaces import ModelEngine, VmKind
from ebonylb.peers.messages import ForwardGenerate
from ebonylb.retries import RetryBudget
from ebonylb.routing.cross_region import CrossRegionBudget
from ebonylb.routing.dependencies import OwnerDependencies
from ebonylb.routing.entry_router import EntryRouter
from ebonylb.routing.owner import ShardOwner
from ebonylb.routing.owner_table import OwnerTable
from ebonylb.routing.targets import Target, TargetChoice, TargetSource
from ebonylb.scheduling import ClusterShares, parties_of_service, served_tokens_by_party
from ebonylb.settings import Limits, Policy
from ebonylb.telemetry import RequestTrace

from ..histories.virtual_time import LoopClock
from .layout import delay_ms

HEARTBEAT_S = 0.5
ENTRY_EARNED = 0.02  # as in ebonylb.service.app
GOSSIP_ROUNDS = 10  # heartbeats between two digests beyond the failure domain


class Bus:
    """Link to other entry VMs.

    The delays of both ways pass before the message arrives. The time until the
    first answer is the same, and each chunk costs no task of its own.
    """

    def __init__(self, vm, vms):
        self.vm, self.vms = vm, vms

    async def stream(self, peer, message, item_timeout_ms):
        """Deliver a forwarded generation and pass on its answers."""
        other = self.vms[peer]
        await asyncio.sleep(2 * delay_ms(self.vm.domain, other.domain) / 1000)
        if not isinstance(message, ForwardGenerate):
            raise TypeError("only generations are streamed")
        answers = other.table.on_generate(message)
        try:
            async for answer in answers:
                yield answer
        finally:
            await answers.aclose()

    async def request(self, peer, message, timeout_ms):
        """Deliver a forwarded call."""
        other = self.vms[peer]
        await asyncio.sleep(2 * delay_ms(self.vm.domain, other.domain) / 1000)
        return await other.table.on_call(message)


class Digests(TargetSource):
    """Shards of all failure domains as the latest digests describe them."""

    def __init__(self):
        self.known = {}

    def targets(self, service):
        """Return the shards of a service."""
        return [t for t in self.known.values() if t.service == service]

    def ensure_link(self, target):
        """Links are always open."""

    def report_failure(self, target):
        """No VM fails."""


class EntryVm:
    """Parts of one entry VM process that decide about requests."""

    def __init__(self, name, domain, vms, servers, profile):
        self.name, self.domain = name, domain
        clock = LoopClock()
        self.shares = ClusterShares(lambda party: 1.0, clock)
        self.budget = RetryBudget(ENTRY_EARNED)
        self.book = StrikeRegistry(self.publish)
        self.policy = Policy(profile=profile)
        self.servers = servers
        self.dependencies = OwnerDependencies(
            clock=clock,
            servers=self.registry,
            engine_for=lambda server: servers[server.name],
            plain_for=lambda server: servers[server.name],
            report=lambda server, error: None,
            weight=self.shares.local_weight,
            book=self.book,
            budget=RetryBudget(),
            limits=Limits(),
            policy=self.policy,
        )
        self.table = OwnerTable(self.make_owner, clock)
        self.source = Digests()
        choice = TargetChoice(domain.name, domain.region, self.policy.group_imbalance)
        self.cross_region = CrossRegionBudget(clock, lambda service, party: None)
        self.router = EntryRouter(
            name,
            Bus(self, vms),
            self.table,
            self.source,
            choice,
            self.budget,
            self.cross_region,
            clock,
            RequestTrace(clock, 100),
            self.book.strikes,
        )

    def make_owner(self, service, shard):
        """Create the owner of a shard of this failure domain."""
        return ShardOwner(service, shard, self.dependencies)

    def registry(self, service, shard):
        """Return the failure domain's servers of a service."""
        return [
            BackendServer(
                name,
                VmKind.ENGINE if isinstance(client, ModelEngine) else VmKind.PLAIN,
                service,
                "127.0.0.1:1",
                self.domain.name,
                self.domain.region,
                "0",
            )
            for name, client in self.servers.items()
            if name.startswith(f"{service}-")
        ]

    async def publish(self, report):
        """Acknowledge strikes."""
        return True


class PolicySite:
    """All entry VMs of a site."""

    hedges = True

    def __init__(self, domains, servers, profile, seed):
        random.seed(seed)  # the router breaks ties with the module's generator
        self.domains = domains
        self.vms = {}
        self.owner_of = {}
        for domain in domains:
            names = [f"{domain.name}-vm{n}" for n in range(domain.entry_vms)]
            for name in names:
                self.vms[name] = EntryVm(
                    name, domain, self.vms, servers[domain.name], profile
                )
            for service in ("lm", "plain"):
                self.owner_of[domain.name, service] = max(
                    names,
                    key=lambda vm, of=service: xxhash.xxh64_intdigest(
                        f"{of}/0/{vm}".encode()
                    ),
                )
        for (_, service), owner in self.owner_of.items():
            self.vms[owner].table.owner(service, 0)
        self.exchange(beyond=True)
        self.gossip = asyncio.create_task(self.spread())

    async def spread(self):
        """Send heartbeats in failure domains and digests beyond them."""
        rounds = 0
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            rounds += 1
            self.exchange(rounds % GOSSIP_ROUNDS == 0)

    def exchange(self, beyond):
        """Let all VMs read the owners' state."""
        now_ms = asyncio.get_running_loop().time() * 1000
        for owner in dict.fromkeys(self.owner_of.values()):
            sender = self.vms[owner]
            digests = sender.table.digests()
            served = served_tokens_by_party("lm", sender.table.served)
            waiting = parties_of_service("lm", sender.table.backlogged)
            for vm in self.vms.values():
                if vm.domain is not sender.domain and not beyond:
                    continue
                vm.shares.observe(owner, served, waiting)
                for digest in digests:
                    target = self.target(sender, digest, now_ms)
                    vm.source.known[target.key] = target

    def target(self, sender, digest, now_ms):
        """Return a digest as a routing target."""
        return Target(
            sender.name,
            sender.domain.name,
            sender.domain.region,
            digest.service,
            digest.shard,
            digest.queued_tokens,
            digest.tokens_per_s,
            digest.free,
            now_ms,
        )

    def executor(self, vm):
        """Return the router of a VM."""
        return self.vms[vm].router

    def may_hedge(self, vm, party):
        """Pay for a second copy."""
        return self.vms[vm].budget.try_spend(party, "lm")

    @property
    def cross_region_bytes(self):
        """Bytes that crossed so far."""
        return sum(sum(v.cross_region.used_bytes.values()) for v in self.vms.values())

    async def close(self):
        """End the owners."""
        self.gossip.cancel()
        for vm in self.vms.values():
            await vm.table.close()
