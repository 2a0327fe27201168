"""Scope of the weight rollout, derived from membership and configuration."""

from ..backends import BackendServer, ServerState
from ..configuration import ConfigurationState
from ..interfaces import VmKind
from ..membership import Membership
from ..weights import ShardRef


class WeightScope:
    """Shards that this entry VM rolls weights out to, and servers that hold weights.

    Parameters
    ----------
    membership : Membership
        Ownership of shards, and the registry of backend servers.
    configuration : ConfigurationState
        Configuration in force.
    """

    def __init__(
        self, membership: Membership, configuration: ConfigurationState
    ) -> None:
        self.membership = membership
        self.configuration = configuration

    def engine_services(self) -> list[str]:
        """Return the engine services of the sheet in force."""
        return [
            name
            for name, service in self.configuration.sheet.services.items()
            if service.kind == "engine"
        ]

    def owned_shards(self) -> list[ShardRef]:
        """Return the shards of engine services that this entry VM owns."""
        engines = set(self.engine_services())
        membership = self.membership
        return [
            ShardRef(service, membership.failure_domain, membership.region, shard)
            for service, shard in membership.owned_shards()
            if service in engines
        ]

    def region_servers(self, service: str) -> list[tuple[str, BackendServer]]:
        """Return ``(shard key, server)`` for the engines of a service in this region.

        Leaving servers are excluded.
        """
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
