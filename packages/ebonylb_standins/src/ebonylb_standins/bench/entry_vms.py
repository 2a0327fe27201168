"""Entry VMs with the product's router, owners and target choice, without sockets."""

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
HEARTBEATS_PER_DIGEST = 10  # digests leave the failure domain on every tenth heartbeat


class InProcessBus:
    """Link to other entry VMs.

    The delays of both directions elapse before the message is delivered. The time to
    the first reply is the same, and no chunk needs a task of its own.
    """

    def __init__(self, vm, vms):
        self.vm, self.vms = vm, vms

    async def stream(self, peer, message, item_timeout_ms):
        """Deliver a forwarded generation and yield its replies.

        Raises
        ------
        TypeError
            The message is not a generation.
        """
        peer_vm = self.vms[peer]
        await asyncio.sleep(2 * delay_ms(self.vm.domain, peer_vm.domain) / 1000)
        if not isinstance(message, ForwardGenerate):
            raise TypeError(f"cannot stream a {type(message).__name__}")
        replies = peer_vm.table.on_generate(message)
        try:
            async for reply in replies:
                yield reply
        finally:
            await replies.aclose()

    async def request(self, peer, message, timeout_ms):
        """Deliver a forwarded call and return its reply."""
        peer_vm = self.vms[peer]
        await asyncio.sleep(2 * delay_ms(self.vm.domain, peer_vm.domain) / 1000)
        return await peer_vm.table.on_call(message)


class DigestTargets(TargetSource):
    """Shards of all failure domains as described by their latest digests."""

    def __init__(self):
        self.targets_by_key = {}

    def targets(self, service):
        """Return the shards of a service."""
        return [t for t in self.targets_by_key.values() if t.service == service]

    def ensure_link(self, target):
        """Do nothing; in-process links are always open."""

    def report_failure(self, target):
        """Do nothing; no entry VM fails in the bench."""


class EntryVm:
    """Components of one entry VM process that route and schedule requests."""

    def __init__(self, name, domain, vms, servers, profile):
        self.name, self.domain = name, domain
        clock = LoopClock()
        self.shares = ClusterShares(lambda party: 1.0, clock)
        self.budget = RetryBudget(ENTRY_EARNED)
        self.strike_registry = StrikeRegistry(self.publish)
        self.policy = Policy(profile=profile)
        self.servers = servers
        self.dependencies = OwnerDependencies(
            clock=clock,
            servers=self.service_servers,
            engine_for=lambda server: servers[server.name],
            plain_for=lambda server: servers[server.name],
            report=lambda server, error: None,
            weight=self.shares.local_weight,
            strike_registry=self.strike_registry,
            budget=RetryBudget(),
            limits=Limits(),
            policy=self.policy,
        )
        self.table = OwnerTable(self.make_owner, clock)
        self.digest_targets = DigestTargets()
        choice = TargetChoice(domain.name, domain.region, self.policy.group_imbalance)
        self.cross_region = CrossRegionBudget(clock, lambda service, party: None)
        self.router = EntryRouter(
            name,
            InProcessBus(self, vms),
            self.table,
            self.digest_targets,
            choice,
            self.budget,
            self.cross_region,
            clock,
            RequestTrace(clock, 100),
            self.strike_registry.strikes,
        )

    def make_owner(self, service, shard):
        """Create the owner of a shard of this failure domain."""
        return ShardOwner(service, shard, self.dependencies)

    def service_servers(self, service, shard):
        """Return the servers of a service in the failure domain."""
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
        """Acknowledge a strike report without sending it."""
        return True


class PolicySite:
    """All entry VMs of a site with the product's routing."""

    hedges = True

    def __init__(self, domains, servers, profile, seed):
        random.seed(seed)  # the router breaks ties with the module's generator
        self.domains = domains
        self.vms = {}
        self.owners = {}
        for domain in domains:
            names = [f"{domain.name}-vm{n}" for n in range(domain.entry_vms)]
            for name in names:
                self.vms[name] = EntryVm(
                    name, domain, self.vms, servers[domain.name], profile
                )
            for service in ("lm", "plain"):
                self.owners[domain.name, service] = max(
                    names,
                    key=lambda vm, of=service: xxhash.xxh64_intdigest(
                        f"{of}/0/{vm}".encode()
                    ),
                )
        for (_, service), owner in self.owners.items():
            self.vms[owner].table.owner(service, 0)
        self.exchange_state(across_domains=True)
        self.propagation_task = asyncio.create_task(self.propagate_state())

    async def propagate_state(self):
        """Exchange state in failure domains on each heartbeat, at times beyond them."""
        heartbeats = 0
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            heartbeats += 1
            self.exchange_state(heartbeats % HEARTBEATS_PER_DIGEST == 0)

    def exchange_state(self, across_domains):
        """Pass the owners' digests and party statistics to the other entry VMs."""
        now_ms = asyncio.get_running_loop().time() * 1000
        for owner in dict.fromkeys(self.owners.values()):
            sender = self.vms[owner]
            digests = sender.table.digests()
            served = served_tokens_by_party("lm", sender.table.served)
            waiting = parties_of_service("lm", sender.table.backlogged)
            for vm in self.vms.values():
                if vm.domain is not sender.domain and not across_domains:
                    continue
                vm.shares.observe(owner, served, waiting)
                for digest in digests:
                    target = self.digest_target(sender, digest, now_ms)
                    vm.digest_targets.targets_by_key[target.key] = target

    def digest_target(self, sender, digest, now_ms):
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
        """Return the router of an entry VM."""
        return self.vms[vm].router

    def try_spend_hedge(self, vm, party):
        """Charge a hedge to the entry VM's retry budget; return whether it had room."""
        return self.vms[vm].budget.try_spend(party, "lm")

    @property
    def cross_region_bytes(self):
        """Return the bytes sent between regions so far."""
        return sum(sum(v.cross_region.used_bytes.values()) for v in self.vms.values())

    async def close(self):
        """Stop the propagation and close the owners."""
        self.propagation_task.cancel()
        for vm in self.vms.values():
            await vm.table.close()
