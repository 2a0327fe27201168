"""Creation of shard owners with their connections to the other duties."""

from collections.abc import Callable

from ..backends import BackendRegistry, BackendServer
from ..configuration import ConfigurationState
from ..crashes import StrikeRegistry
from ..interfaces import Clock
from ..membership import Membership
from ..retries import RetryBudget
from ..routing.dependencies import OwnerDependencies
from ..routing.owner import ShardOwner
from ..routing.owner_table import OwnerTable
from ..routing.targets import TargetChoice, TargetSource
from ..scheduling import ClusterShares, parties_of_service, served_tokens_by_party
from ..settings import Settings
from .backend_access import BackendAccess

OBSERVE_MS = 500  # heartbeats bring new counters no faster


class HomeShard:
    """Tells whether a struck fingerprint runs on a shard of this failure domain.

    Parameters
    ----------
    source : TargetSource
        Known shards.
    choice : TargetChoice
        Rule that picks the shard of a struck request.
    """

    def __init__(self, source: TargetSource, choice: TargetChoice) -> None:
        self.source = source
        self.choice = choice

    def is_home(self, service: str, shard: int, identity: str) -> bool:
        """Return True for the one shard that all entry VMs choose."""
        target = self.choice.home(self.source.targets(service), identity)
        own = self.choice.failure_domain, service, shard
        return target is None or target.key == own


class OwnerFactory:
    """Makes owners; the weights of a service follow what the cluster served.

    Parameters
    ----------
    settings : Settings
        Limits and policy.
    clock : Clock
        Source of time.
    registry : BackendRegistry
        Backend servers.
    membership : Membership
        Assignment of servers to shards, and the served tokens of all owners.
    state : ConfigurationState
        Shares in force.
    access : BackendAccess
        Connections to backend servers.
    book : StrikeRegistry
        Strikes.
    budget : RetryBudget
        Retries and hedges of all owners here.
    home : HomeShard
        Where struck requests run.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        registry: BackendRegistry,
        membership: Membership,
        state: ConfigurationState,
        access: BackendAccess,
        book: StrikeRegistry,
        budget: RetryBudget,
        home: HomeShard,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.registry = registry
        self.membership = membership
        self.state = state
        self.access = access
        self.book = book
        self.budget = budget
        self.home = home
        self.shares: dict[str, ClusterShares] = {}
        self.observed_ms: dict[str, float] = {}
        self.table: OwnerTable | None = None

    def make_owner(self, service: str, shard: int) -> ShardOwner:
        """Return a new owner of a shard of this failure domain."""
        dependencies = OwnerDependencies(
            clock=self.clock,
            servers=self.servers,
            engine_for=self.access.engine,
            plain_for=self.access.plain,
            report=self.registry.report,
            weight=self.weight_of(service),
            book=self.book,
            budget=self.budget,
            probe=self.access.incarnation,
            is_home=self.home.is_home,
            limits=self.settings.limits,
            policy=self.settings.policy,
        )
        return ShardOwner(service, shard, dependencies)

    def servers(self, service: str, shard: int) -> list[BackendServer]:
        """Return the assignable servers of a shard."""
        domain = self.settings.failure_domain
        return [
            server
            for server in self.registry.assignable(service, domain)
            if self.membership.shard_of(server) == shard
        ]

    def weight_of(self, service: str) -> Callable[[str], float]:
        """Return the function that gives the parties' weights in a service."""

        def entitled(party: str) -> float:
            return self.state.entitled_share(service, party)

        shares = self.shares.setdefault(service, ClusterShares(entitled, self.clock))

        def weight(party: str) -> float:
            self.observe(service, shares)
            return shares.local_weight(party)

        return weight

    def observe(self, service: str, shares: ClusterShares) -> None:
        """Bring the served tokens of all owners up to date."""
        now = self.clock.monotonic_ms()
        if now - self.observed_ms.get(service, float("-inf")) < OBSERVE_MS:
            return
        self.observed_ms[service] = now
        for vm in self.membership.view.vms.values():
            source = f"{vm.name}/{vm.incarnation}"
            waiting = parties_of_service(service, vm.backlogged) if vm.alive else []
            shares.observe(source, served_tokens_by_party(service, vm.served), waiting)
        if self.table is not None:
            shares.observe(
                self.membership.name,
                served_tokens_by_party(service, self.table.served),
                parties_of_service(service, self.table.backlogged),
            )
