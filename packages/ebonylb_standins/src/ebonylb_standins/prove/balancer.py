"""Choice of an entry VM as the platform's balancer makes it: by readiness."""

import asyncio
import random

import aiohttp

from ..cluster import Cluster

POLL_INTERVAL_S = 0.1
READY_TIMEOUT = aiohttp.ClientTimeout(total=0.4)


class Balancer:
    """Follows ``/readyz`` of all entry VMs.

    Parameters
    ----------
    cluster : Cluster
        Whose entry VMs.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.names = [spec.name for spec in cluster.topology.entry_vms]
        self.ready = set(self.names)

    def choose(self, generator: random.Random) -> str:
        """Return a ready entry VM; any when none is ready."""
        return generator.choice(sorted(self.ready) or self.names)

    async def run(self) -> None:
        """Poll all entry VMs until cancelled."""
        await asyncio.gather(*(self.poll(name) for name in self.names))

    async def poll(self, name: str) -> None:
        """Poll one entry VM."""
        while True:
            if await self.is_ready(name):
                self.ready.add(name)
            else:
                self.ready.discard(name)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def is_ready(self, name: str) -> bool:
        """Ask an entry VM once."""
        url = self.cluster.url(name) + "/readyz"
        try:
            async with self.cluster.http.get(url, timeout=READY_TIMEOUT) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
