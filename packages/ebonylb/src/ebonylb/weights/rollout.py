"""Rollout of weight versions onto the engines of owned shards.

Engines that check the fencing number refuse orders of an earlier holder. An engine
that ignores it may get a late order of a paused holder and go back to an older
version. This costs efficiency and no promise: each chunk names the version that
made it, and samples are checked for staleness on delivery. The present holder reads
all versions of its shard every `repair_ms` and orders the current version again.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok

from ..backends import BackendServer, ServerState
from ..edges import Clock, EngineStatus, LoadOrder, ModelEngine, TableService
from .lease import Lease
from .sources import ancestor_ranks, first_server, shard_ranks
from .versions import CurrentVersions

logger = logging.getLogger(__name__)

WEIGHT_STORE_SOURCE = "weight-store"
INITIAL_BACKOFF_MS = 1_000
MAX_BACKOFF_MS = 30_000
POLL_INTERVAL_MS = 200
PARENT_TIMEOUT_MS = 3_000  # three transfers of a target rollout; then ask an ancestor


@dataclass(frozen=True, slots=True)
class ShardRef:
    """An owned shard."""

    service: str
    failure_domain: str
    region: str
    shard: int

    @property
    def key(self) -> str:
        """Return the key of its lease."""
        return f"{self.service}.{self.failure_domain}.{self.shard}"


class RegionView:
    """What the rollout asks the registry and membership.

    Parameters
    ----------
    servers : callable
        Returns the live servers of a service as (shard key, server) pairs, for all
        failure domains of this region.
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
        """Return the region's servers of a service by shard key.

        Grouping 1,333 servers takes some milliseconds, so the answer is kept for
        one polling interval.
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
    """Brings one owned shard to the current version, wave by wave.

    Parameters
    ----------
    ref : ShardRef
        The shard.
    tables, clock, versions, region, engine, holder, swap_share
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
        """Read the state of all live servers of the shard at once."""
        servers = self.servers()
        responses = await asyncio.gather(*(self.engine(s).status() for s in servers))
        return {
            server.name: response.ok_value
            for server, response in zip(servers, responses, strict=True)
            if isinstance(response, Ok)
        }

    async def run_wave(self) -> bool:
        """Run one wave; return True while a server lacks the current version.

        Nothing is ordered without a lease that was confirmed just before.
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
            # An earlier holder may know, and have ordered, a newer version.
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
        """Give the leases of the region and of the shard up."""
        await self.seed_lease.release()
        await self.lease.release()

    def can_retry(self, server: BackendServer) -> bool:
        """Tell whether the server's back-off has passed."""
        _, until_ms = self.failures.get(server.name, (0, 0.0))
        return self.clock.monotonic_ms() >= until_ms

    async def load_first(self, loadable: list[BackendServer], version: int) -> None:
        """Load the shard's first server from another shard or the weight store."""
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
        """Return for how long no source for this version was found."""
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
        """Return the address of a server of the region that has the version.

        The parent is asked alone at first. After a while, the other ancestors are
        asked too, and then all other shards, since the parent may be cut off.
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
        """Load over the paid link, under the lease of the region.

        The row keeps the highest version that was loaded and from where. A shard
        that finds its version there loads from that server instead.
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
        """Read the state of the server at an address of this region."""
        for servers in self.region.shards(self.ref.service).values():
            for server in servers:
                if server.address == address:
                    status = await self.engine(server).status()
                    return status.ok_value if isinstance(status, Ok) else None
        return None

    async def order_load(
        self, server: BackendServer, version: int, source: str
    ) -> bool:
        """Order a version and read it back; a failure starts a back-off."""
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
        cause = response.err_value if isinstance(response, Err) else "read back differs"
        logger.warning("version %d not on %s: %s", version, server.name, cause)
        return False
