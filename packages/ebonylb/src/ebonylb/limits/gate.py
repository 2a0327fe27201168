"""Decision whether a limited server may be sent a request by this entry VM now."""

import copy
from collections import Counter
from collections.abc import Mapping

from ..fleet import ListedServer, ServerDirectory
from ..fleet.sending_limits import SendingLimits
from ..interfaces.server_client import ServerAddress
from ..storage.store_time import StoreTime
from .allowance import MIN_REQUESTS_PER_S, Allowance
from .demand import ServiceDemand
from .registry import LimitRegistry
from .shares import LimitShares, SharingEntryVm


class LimitGate(SendingLimits, SharingEntryVm):
    """Allowances of this entry VM for the limited servers.

    Parameters
    ----------
    entry_vm : str
        Name of this entry VM.
    directory : ServerDirectory
        Services of the servers.
    store_time : StoreTime
        Time that all entry VMs share.
    registry : LimitRegistry
        Limits in force.
    demand : ServiceDemand
        Records what this entry VM wants to send.

    Attributes
    ----------
    shares : LimitShares or None
        Entry VMs that share a limit; set once, since they need the gate's demand.
    charge_counts : Counter of str
        Orders and reports that this entry VM has sent to each limited server.
    """

    def __init__(
        self,
        entry_vm: str,
        directory: ServerDirectory,
        store_time: StoreTime,
        registry: LimitRegistry,
        demand: ServiceDemand,
    ) -> None:
        self.entry_vm = entry_vm
        self.directory = directory
        self.store_time = store_time
        self.registry = registry
        self.demand = demand
        self.shares: LimitShares | None = None
        self.allowances: dict[str, Allowance] = {}
        self.charge_counts: Counter[str] = Counter()

    @property
    def in_force(self) -> bool:
        """Whether any server has a limit, or had one a short time ago."""
        return bool(self.registry.observed)

    def can_send(self, server: ListedServer) -> bool:
        """Return whether a request may be sent to a server now."""
        if server.name not in self.registry.observed:
            return True
        allowance = self.refilled_allowance(server.endpoint, server.service)
        return allowance is None or allowance.has_request(
            self.store_time.now_or_local_ms()
        )

    def would_accept(self, server: ListedServer) -> bool:
        """Return what `can_send` would return, without a change of any state."""
        if self.registry.get(server.endpoint) is None:
            return True
        allowance = self.allowances.get(server.name)
        if allowance is None:
            allowance = Allowance(server.name, self.entry_vm)
        allowance = copy.deepcopy(allowance)
        self.refill(allowance, server.endpoint, server.service)
        return allowance.has_request(self.store_time.now_or_local_ms())

    def reserve(self, server: ListedServer) -> None:
        """Count a request that is about to be sent to a server."""
        if not self.in_force:
            return
        self.demand.record(server.service)
        allowance = self.refilled_allowance(server.endpoint, server.service)
        if allowance is not None:
            allowance.use()

    def charge(self, server: ServerAddress) -> None:
        """Count an order or a report, which is sent whatever the limit allows.

        A server that is not ordered to load new weights soon serves nothing, so that
        orders come first. The entry VMs that share the limit send less instead.
        """
        if self.registry.get(server) is not None:
            self.charge_counts[server.name] += 1

    def told_charges(self) -> dict[str, int]:
        """Return the counts of charges to the servers that still have a limit."""
        for name in [n for n in self.charge_counts if n not in self.registry.observed]:
            del self.charge_counts[name]
        return dict(self.charge_counts)

    def pay(self, entry_vm: str, server_name: str, charges: range) -> None:
        """Pay this entry VM's part of the numbered charges of an entry VM.

        Each charge is paid by one of the entry VMs that share the limit, which all
        compute alike.
        """
        server = self.directory.get(server_name)
        if server is None:
            return
        allowance = self.refilled_allowance(server.endpoint, server.service)
        if allowance is None:
            return
        assert self.shares is not None
        shares = self.shares.slot_shares(server.service)
        for charge in charges:
            if shares.owner(f"{server_name}/{entry_vm}", charge) == self.entry_vm:
                allowance.use()

    def refilled_allowance(
        self, server: ServerAddress, service: str
    ) -> Allowance | None:
        """Return the current allowance for a server; None if it has no limit."""
        if self.registry.get(server) is None:
            self.allowances.pop(server.name, None)
            return None
        allowance = self.allowances.get(server.name)
        if allowance is None:
            allowance = Allowance(server.name, self.entry_vm)
            self.allowances[server.name] = allowance
        self.refill(allowance, server, service)
        return allowance

    def refill(self, allowance: Allowance, server: ServerAddress, service: str) -> None:
        """Add what the limit of a server has allowed since the last call."""
        limit = self.registry.get(server)
        now = self.store_time.now_or_local_ms()
        if limit is not None and allowance.is_refill_due(now):
            assert self.shares is not None
            shares = self.shares.slot_shares(service)
            allowance.refill(now, limit.requests_per_s, shares)

    def record_unmet(self, service: str) -> None:
        """Record a request that no server of a service may be sent now."""
        if self.in_force:
            self.demand.record(service)

    def record_waiting(self, waiting: Mapping[str, int]) -> None:
        """Record how many requests wait for a server, by service."""
        self.demand.record_waiting(waiting)

    def limited_services(self) -> set[str]:
        """Return the services with a ready server that has a limit."""
        services = set()
        for name in self.registry.observed:
            server = self.directory.get(name)
            if server is not None and self.registry.get(server.endpoint) is not None:
                services.add(server.service)
        return services

    def limited_demand(self) -> dict[str, int]:
        """Return the weight of this entry VM for each service with limited servers."""
        if not self.in_force:
            return {}
        services = self.limited_services()
        return {
            service: weight
            for service, weight in self.demand.weights().items()
            if service in services
        }

    def retry_after_ms(self, service: str) -> float:
        """Return the average time between two requests that a service accepts."""
        limits = (
            self.registry.get(server.endpoint)
            for server in self.directory.ready(service)
        )
        requests_per_s = sum(
            max(MIN_REQUESTS_PER_S, limit.requests_per_s) for limit in limits if limit
        )
        return 1_000.0 / requests_per_s if requests_per_s else 0.0
