"""Rollout of the current weight versions to all shards that this entry VM owns."""

import asyncio
import logging
from collections.abc import Callable

from ..backends import BackendServer
from ..interfaces import Clock, ModelEngine, TableService, WeightStore
from ..tasks import cancel_and_wait
from .shard_rollout import POLL_INTERVAL_MS, RegionView, ShardRef, ShardRollout
from .versions import CurrentVersions

logger = logging.getLogger(__name__)

RELEASE_TIMEOUT_S = 3.0  # for a wave in progress and the release of its leases
# 12,000 servers / 340 entry VMs / 5 s is 7 status reads/s.
REPAIR_INTERVAL_MS = 5_000


class WeightRollout:
    """Rolls out the current weight versions to all shards that this entry VM owns.

    Two concurrent holders of a shard are harmless: both order the same or a newer
    version, and a version that a server already has is not ordered. While the platform
    is down, servers keep their versions, because nothing is ordered without a confirmed
    lease.

    Parameters
    ----------
    tables : TableService
        Tables of the leases and the current versions.
    store : WeightStore
        Store to which trainers publish versions.
    clock : Clock
        Source of time.
    engine : callable
        Returns the `ModelEngine` of a server.
    region_servers : callable
        Returns the (shard key, server) pairs of an engine service in this region.
    owned_shards : callable
        Returns the owned shards of engine services as `ShardRef`.
    services : callable
        Returns the engine services whose versions this entry VM follows.
    holder : str
        Name and incarnation of this entry VM.
    swap_share : float
        Maximum share of a shard's servers that swap their weights concurrently.
    poll_ms : float
        Interval at which versions are read.
    """

    def __init__(
        self,
        tables: TableService,
        store: WeightStore,
        clock: Clock,
        engine: Callable[[BackendServer], ModelEngine],
        region_servers: Callable[[str], list[tuple[str, BackendServer]]],
        owned_shards: Callable[[], list[ShardRef]],
        services: Callable[[], list[str]],
        holder: str,
        swap_share: float,
        poll_ms: float,
    ) -> None:
        self.tables = tables
        self.clock = clock
        self.engine = engine
        self.region = RegionView(region_servers, clock)
        self.owned_shards = owned_shards
        self.services = services
        self.holder = holder
        self.swap_share = swap_share
        self.poll_ms = poll_ms
        self.versions = CurrentVersions(tables, store, clock)
        self.shard_tasks: dict[ShardRef, asyncio.Task[None]] = {}
        self.active_shards: set[ShardRef] = set()

    def current_version(self, service: str) -> int:
        """Return the highest known version of a service, or 0 if there is none."""
        return self.versions.get(service)

    def subscribe(self, listener: Callable[[str, int], None]) -> None:
        """Register a function that is called with (service, version) on a change."""
        self.versions.listeners.append(listener)

    async def run(self) -> None:
        """Follow versions and ownership until cancelled."""
        try:
            while True:
                await self.poll_once()
                waited_ms = 0.0
                while waited_ms < self.poll_ms:
                    await self.clock.sleep_ms(POLL_INTERVAL_MS)
                    waited_ms += POLL_INTERVAL_MS
                    # Ownership is checked between polls, because a leaving entry VM has
                    # little time to release its leases.
                    self.active_shards &= set(self.owned_shards())
        finally:
            self.active_shards = set()
            tasks = list(self.shard_tasks.values())
            if tasks:
                await asyncio.wait(tasks, timeout=RELEASE_TIMEOUT_S)
            await cancel_and_wait(tasks)

    async def poll_once(self) -> None:
        """Read the versions once, then start rollouts of newly owned shards."""
        owned_shards = set(self.owned_shards())
        polling_services = {ref.service for ref in owned_shards if ref.shard == 0}
        for service in self.services():
            await self.versions.refresh(service, service in polling_services)
        self.active_shards = owned_shards
        for ref in [ref for ref, task in self.shard_tasks.items() if task.done()]:
            del self.shard_tasks[ref]
        for ref in owned_shards:
            if ref not in self.shard_tasks:
                self.shard_tasks[ref] = asyncio.create_task(
                    self.run_shard_rollout(ref), name=f"weights-{ref.key}"
                )

    async def run_shard_rollout(self, ref: ShardRef) -> None:
        """Keep one shard at the current version while this entry VM owns it.

        The leases are released after a wave in progress has ended, so that the next
        owner doesn't have to wait for the end of their terms.
        """
        rollout = self.create_rollout(ref)
        while ref in self.active_shards:
            version = self.versions.get(ref.service)
            try:
                incomplete = await rollout.run_wave()
            except Exception:
                # An error must not prevent the rollout of later versions to the shard.
                logger.exception("weight rollout to shard %s failed", ref.key)
                incomplete = True
            if incomplete:
                await self.clock.sleep_ms(POLL_INTERVAL_MS)
                continue
            waited_ms = 0.0
            while (
                waited_ms < REPAIR_INTERVAL_MS
                and ref in self.active_shards
                and self.versions.get(ref.service) == version
            ):
                await self.clock.sleep_ms(POLL_INTERVAL_MS)
                waited_ms += POLL_INTERVAL_MS
        await rollout.release()

    def create_rollout(self, ref: ShardRef) -> ShardRollout:
        """Return a new rollout for one shard."""
        return ShardRollout(
            ref,
            self.tables,
            self.clock,
            self.versions,
            self.region,
            self.engine,
            self.holder,
            self.swap_share,
        )
