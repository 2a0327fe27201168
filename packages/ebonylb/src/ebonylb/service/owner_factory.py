"""Creation of shard owners with their dependencies."""

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

# Heartbeats do not bring new counters more often.
SERVED_TOKENS_REFRESH_INTERVAL_MS = 500


class HomeShard:
    """Decides whether a shard of this failure domain runs a request with strikes.

    Parameters
    ----------
    target_source : TargetSource
        Source of the known shards.
    target_choice : TargetChoice
        Rule that chooses the shard for a request with strikes.
    """

    def __init__(
        self, target_source: TargetSource, target_choice: TargetChoice
    ) -> None:
        self.target_source = target_source
        self.target_choice = target_choice

    def is_home(self, service: str, shard: int, fingerprint: str) -> bool:
        """Return whether this is the one shard that all entry VMs choose.

        Also True while no shard of the service is known.
        """
        target = self.target_choice.home(
            self.target_source.targets(service), fingerprint
        )
        own_key = self.target_choice.failure_domain, service, shard
        return target is None or target.key == own_key


class OwnerFactory:
    """Creates shard owners.

    The weights of the parties of a service follow the tokens served by all owners.

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
    configuration : ConfigurationState
        Shares in force.
    backend_access : BackendAccess
        Clients of backend servers.
    strike_registry : StrikeRegistry
        Strikes by request fingerprint.
    budget : RetryBudget
        Budget of retries and hedges, shared by all owners of this process.
    home_shard : HomeShard
        Decides which shard runs a request with strikes.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        registry: BackendRegistry,
        membership: Membership,
        configuration: ConfigurationState,
        backend_access: BackendAccess,
        strike_registry: StrikeRegistry,
        budget: RetryBudget,
        home_shard: HomeShard,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.registry = registry
        self.membership = membership
        self.configuration = configuration
        self.backend_access = backend_access
        self.strike_registry = strike_registry
        self.budget = budget
        self.home_shard = home_shard
        self.cluster_shares: dict[str, ClusterShares] = {}
        self.refreshed_ms: dict[str, float] = {}
        self.owner_table: OwnerTable | None = None

    def make_owner(self, service: str, shard: int) -> ShardOwner:
        """Return a new owner of a shard of this failure domain."""
        dependencies = OwnerDependencies(
            clock=self.clock,
            servers=self.shard_servers,
            engine_for=self.backend_access.engine_for,
            plain_for=self.backend_access.plain_for,
            report=self.registry.report,
            weight=self.make_weight_function(service),
            strike_registry=self.strike_registry,
            budget=self.budget,
            probe=self.backend_access.read_incarnation,
            is_home=self.home_shard.is_home,
            limits=self.settings.limits,
            policy=self.settings.policy,
        )
        return ShardOwner(service, shard, dependencies)

    def shard_servers(self, service: str, shard: int) -> list[BackendServer]:
        """Return the assignable servers of a shard."""
        domain = self.settings.failure_domain
        return [
            server
            for server in self.registry.assignable(service, domain)
            if self.membership.shard_of(server) == shard
        ]

    def make_weight_function(self, service: str) -> Callable[[str], float]:
        """Return a function that returns the weight of a party in a service."""

        def entitled_share(party: str) -> float:
            return self.configuration.entitled_share(service, party)

        shares = self.cluster_shares.setdefault(
            service, ClusterShares(entitled_share, self.clock)
        )

        def weight(party: str) -> float:
            self.refresh_served_tokens(service, shares)
            return shares.local_weight(party)

        return weight

    def refresh_served_tokens(self, service: str, shares: ClusterShares) -> None:
        """Update the served tokens and waiting parties of all owners, if outdated."""
        now_ms = self.clock.monotonic_ms()
        if (
            now_ms - self.refreshed_ms.get(service, float("-inf"))
            < SERVED_TOKENS_REFRESH_INTERVAL_MS
        ):
            return
        self.refreshed_ms[service] = now_ms
        for vm in self.membership.view.vms.values():
            source = f"{vm.name}/{vm.incarnation}"
            waiting_parties = (
                parties_of_service(service, vm.backlogged) if vm.alive else []
            )
            shares.observe(
                source, served_tokens_by_party(service, vm.served), waiting_parties
            )
        if self.owner_table is not None:
            shares.observe(
                self.membership.name,
                served_tokens_by_party(service, self.owner_table.served),
                parties_of_service(service, self.owner_table.backlogged),
            )
