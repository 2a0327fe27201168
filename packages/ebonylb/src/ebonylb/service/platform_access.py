"""Adapters of the platform's services and their shared connections."""

from contextlib import AsyncExitStack

import aiohttp

from ..adapters import (
    HttpObjectStore,
    HttpTableService,
    HttpVmList,
    HttpWeightStore,
    NullMetrics,
    StatsdMetrics,
)
from ..adapters.connections import StrictConnector
from ..interfaces import Metrics
from ..settings import Settings


class PlatformAccess:
    """Adapters of tables, objects, weights, VM list and metrics.

    Parameters
    ----------
    settings : Settings
        Endpoints and failure domain.

    Attributes
    ----------
    http : aiohttp.ClientSession
        Connections to the platform and to backend servers.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.exit_stack = AsyncExitStack()
        self.metrics: Metrics = NullMetrics()

    async def open(self) -> None:
        """Create the adapters, which connect on their first request."""
        settings = self.settings
        if settings.statsd_address:
            metrics = StatsdMetrics(settings.statsd_address)
            self.exit_stack.callback(metrics.close)
            self.metrics = metrics
        self.http = await self.exit_stack.enter_async_context(
            aiohttp.ClientSession(
                connector=StrictConnector(limit=0),
                headers={"X-Failure-Domain": settings.failure_domain},
                auto_decompress=False,
            )
        )
        urls, timeout_ms = settings.platform, settings.platform.timeout_ms
        self.tables = HttpTableService(self.http, urls.tables, timeout_ms)
        self.objects = HttpObjectStore(self.http, urls.objects, timeout_ms)
        self.weights = HttpWeightStore(self.http, urls.weights, timeout_ms)
        self.vm_list = HttpVmList(self.http, urls.vms, timeout_ms)

    async def close(self) -> None:
        """Close the connections."""
        await self.exit_stack.aclose()
