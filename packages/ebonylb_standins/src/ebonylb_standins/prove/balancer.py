"""Balancer that chooses entry VMs by readiness, as the platform's balancer does."""

import asyncio
import random

import aiohttp

from ..cluster import Cluster

POLL_INTERVAL_S = 0.1
READY_TIMEOUT = aiohttp.ClientTimeout(total=0.4)


class Balancer:
    """Polls ``/readyz`` of all entry VMs and chooses among the ready ones.

    Parameters
    ----------
    cluster : Cluster
        Cluster whose entry VMs are polled.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.names = [spec.name for spec in cluster.topology.entry_vms]
        self.ready = set(self.names)

    def choose(self, generator: random.Random) -> str:
        """Return the name of a random ready entry VM, or of any if none is ready."""
        return generator.choice(sorted(self.ready) or self.names)

    async def run(self) -> None:
        """Poll all entry VMs until cancelled."""
        await asyncio.gather(*(self.poll(name) for name in self.names))

    async def poll(self, name: str) -> None:
        """Poll one entry VM until cancelled."""
        while True:
            if await self.is_ready(name):
                self.ready.add(name)
            else:
                self.ready.discard(name)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def is_ready(self, name: str) -> bool:
        """Return whether an entry VM reports that it is ready."""
        url = self.cluster.url(name) + "/readyz"
        try:
            async with self.cluster.http.get(url, timeout=READY_TIMEOUT) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
