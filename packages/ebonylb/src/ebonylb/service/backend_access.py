"""Clients of backend servers, one adapter for each server."""

import aiohttp
from result import Err, Result

from ..adapters import HttpModelEngine, HttpPlainService
from ..backends import BackendServer
from ..interfaces import ModelEngine, PlainService, VmKind
from ..outcomes import StepError

STATUS_TIMEOUT_MS = 2_000
SILENCE_TIMEOUT_MS = 5_000  # engines send at least one line per second
CALL_TIMEOUT_MS = 60_000  # upper bound; a call's own deadline is earlier


class BackendAccess:
    """Creates and caches the adapters of backend servers.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session whose connections all adapters share.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.engines: dict[tuple[str, str], HttpModelEngine] = {}
        self.plain_services: dict[tuple[str, str], HttpPlainService] = {}

    def engine_for(self, server: BackendServer) -> ModelEngine:
        """Return the adapter of a model engine."""
        key = server.name, server.address
        if key not in self.engines:
            self.engines[key] = HttpModelEngine(
                self.session, base_url(server), SILENCE_TIMEOUT_MS, server.name
            )
        return self.engines[key]

    def plain_for(self, server: BackendServer) -> PlainService:
        """Return the adapter of a plain service."""
        key = server.name, server.address
        if key not in self.plain_services:
            self.plain_services[key] = HttpPlainService(
                self.session, base_url(server), CALL_TIMEOUT_MS, server.name
            )
        return self.plain_services[key]

    def forget(self, server: BackendServer) -> None:
        """Drop the cached adapters of a removed server."""
        self.engines.pop((server.name, server.address), None)
        self.plain_services.pop((server.name, server.address), None)

    async def probe(self, server: BackendServer) -> StepError | None:
        """Probe a suspect server; return the error, or None if it serves again."""
        if server.kind is VmKind.ENGINE:
            result = await self.engine_for(server).status()
        else:
            result = await self.read_incarnation(server)
        return result.err_value if isinstance(result, Err) else None

    async def read_incarnation(self, server: BackendServer) -> Result[str, StepError]:
        """Read the incarnation of a plain service.

        A changed incarnation distinguishes a crash from a broken connection.
        """
        endpoint = HttpPlainService(
            self.session, base_url(server), STATUS_TIMEOUT_MS, server.name
        )
        return await endpoint.read_incarnation()


def base_url(server: BackendServer) -> str:
    """Return the HTTP base URL of a server."""
    return f"http://{server.address}"
