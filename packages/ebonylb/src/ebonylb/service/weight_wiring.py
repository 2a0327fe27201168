"""Connections of the weight rollout to membership and the registry."""

from ..backends import BackendServer, ServerState
from ..configuration import ConfigurationState
from ..interfaces import VmKind
from ..membership import Membership
from ..weights import ShardRef


class WeightScope:
    """What this entry VM rolls out, and where the weights can come from.

    Parameters
    ----------
    membership : Membership
        Ownership of shards.
    state : ConfigurationState
        Services in force.
    """

    def __init__(self, membership: Membership, state: ConfigurationState) -> None:
        self.membership = membership
        self.state = state

    def services(self) -> list[str]:
        """Return the engine services of the sheet in force."""
        return [
            name
            for name, service in self.state.sheet.services.items()
            if service.kind == "engine"
        ]

    def owned(self) -> list[ShardRef]:
        """Return the owned shards of engine services."""
        engines = set(self.services())
        membership = self.membership
        return [
            ShardRef(service, membership.failure_domain, membership.region, shard)
            for service, shard in membership.owned_shards()
            if service in engines
        ]

    def region_servers(self, service: str) -> list[tuple[str, BackendServer]]:
        """Return (shard key, server) of the servers of a service in this region."""
        membership = self.membership
        return [
            (
                ShardRef(
                    service,
                    server.failure_domain,
                    server.region,
                    membership.shard_of(server),
                ).key,
                server,
            )
            for server in membership.registry.servers(service)
            if server.region == membership.region
            and server.kind is VmKind.ENGINE
            and server.state is not ServerState.LEAVING
        ]
