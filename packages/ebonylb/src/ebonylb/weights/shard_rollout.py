"""Rollout of weight versions to the engines of one shard.

Engines that check the fencing number refuse orders of an earlier holder. An engine that
ignores it may receive a late order of a paused holder and revert to an older version.
This reduces efficiency but breaks no guarantee: each chunk contains the version that
generated it, and samples are checked for staleness on delivery. The current holder
reads all versions of its shard every `REPAIR_INTERVAL_MS` and orders the current
version again.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok

from ..backends import BackendServer, ServerState
from ..interfaces import Clock, EngineStatus, LoadOrder, ModelEngine, TableService
from .lease import Lease
from .sources import ancestor_ranks, first_server, shard_ranks
from .versions import CurrentVersions

logger = logging.getLogger(__name__)

WEIGHT_STORE_SOURCE = "weight-store"
INITIAL_BACKOFF_MS = 1_000
MAX_BACKOFF_MS = 30_000
POLL_INTERVAL_MS = 200
# Three transfers at the target speed of a rollout; other sources are tried afterwards.
PARENT_TIMEOUT_MS = 3_000


@dataclass(frozen=True, slots=True)
class ShardRef:
    """Identity of a shard and its location."""

    service: str
    failure_domain: str
    region: str
    shard: int

    @property
    def key(self) -> str:
        """Key of the shard's lease."""
        return f"{self.service}.{self.failure_domain}.{self.shard}"


class RegionView:
    """Live servers of this region, grouped by shard.

    Parameters
    ----------
    servers : callable
        Returns the servers of a service as (shard key, server) pairs, for all failure
        domains of this region.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        servers: Callable[[str], list[tuple[str, BackendServer]]],
        clock: Clock,
    ) -> None:
        self.servers = servers
        self.clock = clock
        self.cached: dict[str, tuple[float, dict[str, list[BackendServer]]]] = {}

    def shards(self, service: str) -> dict[str, list[BackendServer]]:
        """Return the region's live servers of a service by shard key.

        Grouping 1,333 servers takes some milliseconds, so the groups are cached for one
        polling interval.
        """
        now = self.clock.monotonic_ms()
        cached_at_ms, cached_servers = self.cached.get(service, (float("-inf"), {}))
        if now - cached_at_ms < POLL_INTERVAL_MS:
            return cached_servers
        servers_by_shard: dict[str, list[BackendServer]] = {}
        for key, server in self.servers(service):
            if server.state is ServerState.LIVE:
                servers_by_shard.setdefault(key, []).append(server)
        self.cached[service] = (now, servers_by_shard)
        return servers_by_shard


class ShardRollout:
    """Loads the current version on the servers of one owned shard, in waves.

    Parameters
    ----------
    ref : ShardRef
        The shard.
    versions : CurrentVersions
        Source of the version to load.
    region : RegionView
        Live servers of the region, which include those of the shard.
    tables, clock, engine, holder, swap_share
        See `WeightRollout`.
    """

    def __init__(
        self,
        ref: ShardRef,
        tables: TableService,
        clock: Clock,
        versions: CurrentVersions,
        region: RegionView,
        engine: Callable[[BackendServer], ModelEngine],
        holder: str,
        swap_share: float,
    ) -> None:
        self.ref = ref
        self.clock = clock
        self.versions = versions
        self.region = region
        self.engine = engine
        self.swap_share = swap_share
        self.lease = Lease(tables, clock, ref.key, holder)
        seed_key = f"seed.{ref.service}.{ref.region}"
        self.seed_lease = Lease(tables, clock, seed_key, f"{holder}/{ref.key}")
        self.failures: dict[str, tuple[int, float]] = {}
        self.caught_up_epoch = 0
        self.source_wait_start: tuple[int, float] = (0, 0.0)

    def servers(self) -> list[BackendServer]:
        """Return the shard's live servers."""
        return self.region.shards(self.ref.service).get(self.ref.key, [])

    async def read_statuses(self) -> dict[str, EngineStatus]:
        """Read the status of all live servers of the shard concurrently."""
        servers = self.servers()
        responses = await asyncio.gather(*(self.engine(s).status() for s in servers))
        return {
            server.name: response.ok_value
            for server, response in zip(servers, responses, strict=True)
            if isinstance(response, Ok)
        }

    async def run_wave(self) -> bool:
        """Run one wave of orders.

        Nothing is ordered without a lease that was confirmed immediately before.

        Returns
        -------
        bool
            Whether a server of the shard lacked the current version.
        """
        version = self.versions.get(self.ref.service)
        statuses = await self.read_statuses()
        outdated = [
            server
            for server in self.servers()
            if server.name in statuses and statuses[server.name].version < version
        ]
        if not outdated:
            await self.release()
            return False
        lease_result = await self.lease.hold()
        if isinstance(lease_result, Err) or lease_result.ok_value is None:
            return True
        if lease_result.ok_value != self.caught_up_epoch:
            # An earlier holder may have known and ordered a newer version.
            if await self.versions.catch_up(self.ref.service):
                self.caught_up_epoch = lease_result.ok_value
            return True
        loadable = [server for server in outdated if self.can_retry(server)]
        sources = [
            server.address
            for server in self.servers()
            if server.name in statuses and statuses[server.name].version >= version
        ]
        if not loadable:
            return True
        if not sources:
            await self.load_first(loadable, version)
            return True
        limit = min(len(sources), max(1, int(self.swap_share * len(self.servers()))))
        if await self.lease.check():
            pairs = zip(loadable[:limit], sources, strict=False)
            await asyncio.gather(
                *(self.order_load(s, version, src) for s, src in pairs)
            )
        return True

    async def release(self) -> None:
        """Release the leases of the region and of the shard."""
        await self.seed_lease.release()
        await self.lease.release()

    def can_retry(self, server: BackendServer) -> bool:
        """Return whether the server is not in backoff after a failed load."""
        _, until_ms = self.failures.get(server.name, (0, 0.0))
        return self.clock.monotonic_ms() >= until_ms

    async def load_first(self, loadable: list[BackendServer], version: int) -> None:
        """Load the shard's first server from another shard or from the weight store."""
        by_name = {server.name: server for server in loadable}
        server = by_name[first_server(list(by_name), version)]
        shards = self.region.shards(self.ref.service)
        ranks = shard_ranks(list(shards), version)
        rank = ranks.index(self.ref.key)
        source = await self.find_source(rank, ranks, shards, version)
        if source is not None:
            if await self.lease.check():
                await self.order_load(server, version, source)
            return
        if rank == 0 or self.source_wait_ms(version) >= PARENT_TIMEOUT_MS * 2:
            await self.load_from_store(server, version)

    def source_wait_ms(self, version: int) -> float:
        """Return the time since a source for this version was first searched for."""
        now = self.clock.monotonic_ms()
        if self.source_wait_start[0] != version:
            self.source_wait_start = (version, now)
        return now - self.source_wait_start[1]

    async def find_source(
        self,
        rank: int,
        ranks: list[str],
        shards: dict[str, list[BackendServer]],
        version: int,
    ) -> str | None:
        """Return the address of a server of the region that has the version, or None.

        At first, only the parent shard is queried. After a timeout, the other ancestors
        and up to eight other shards are queried too, because the parent may be
        unreachable.
        """
        waited_ms = self.source_wait_ms(version)
        candidates = ancestor_ranks(rank)
        if waited_ms < PARENT_TIMEOUT_MS:
            candidates = candidates[:1]
        else:
            other_ranks = [r for r in range(len(ranks)) if r not in (*candidates, rank)]
            candidates = [*candidates, *other_ranks[:8]]
        for candidate in candidates:
            servers = {server.name: server for server in shards[ranks[candidate]]}
            server = servers[first_server(list(servers), version)]
            status = await self.engine(server).status()
            if isinstance(status, Ok) and status.ok_value.version >= version:
                return server.address
        return None

    async def load_from_store(self, server: BackendServer, version: int) -> None:
        """Load from the weight store over the paid link, under the region's lease.

        The row of the lease contains the highest version that was loaded and the server
        that has it. A shard that finds its version there loads from that server
        instead.
        """
        lease_result = await self.seed_lease.hold()
        if isinstance(lease_result, Err) or lease_result.ok_value is None:
            return
        if self.seed_lease.value.get("version", 0) >= version:
            source = self.seed_lease.value["source"]
            status = await self.read_source(source)
            if status is not None and status.version >= version:
                await self.seed_lease.release()
                if await self.lease.check():
                    await self.order_load(server, version, source)
                return
        if await self.lease.check() and await self.seed_lease.check():
            async with self.seed_lease.keep_renewed():
                loaded = await self.order_load(server, version, WEIGHT_STORE_SOURCE)
            if loaded:
                await self.seed_lease.store_fields(
                    {"version": version, "source": server.address}
                )
        await self.seed_lease.release()

    async def read_source(self, address: str) -> EngineStatus | None:
        """Read the status of the server with an address in this region, if any."""
        for servers in self.region.shards(self.ref.service).values():
            for server in servers:
                if server.address == address:
                    status = await self.engine(server).status()
                    return status.ok_value if isinstance(status, Ok) else None
        return None

    async def order_load(
        self, server: BackendServer, version: int, source: str
    ) -> bool:
        """Order a server to load a version and read the version back.

        A failure starts the server's backoff.

        Returns
        -------
        bool
            Whether the server has the version.
        """
        engine = self.engine(server)
        order = LoadOrder(version, self.lease.epoch, source)
        response = await engine.load(order)
        status = await engine.status()
        if isinstance(status, Ok) and status.ok_value.version >= version:
            self.failures.pop(server.name, None)
            return True
        count, _ = self.failures.get(server.name, (0, 0.0))
        backoff_ms = min(INITIAL_BACKOFF_MS * 2**count, MAX_BACKOFF_MS)
        until_ms = self.clock.monotonic_ms() + backoff_ms
        self.failures[server.name] = (count + 1, until_ms)
        cause = (
            response.err_value
            if isinstance(response, Err)
            else "the version could not be confirmed"
        )
        logger.warning(
            "version %d was not loaded on %s: %s", version, server.name, cause
        )
        return False
