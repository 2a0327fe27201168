"""Connections to backend servers, one adapter object for each server."""

import aiohttp
from result import Err, Result

from ..adapters import HttpModelEngine, HttpPlainService
from ..backends import BackendServer
from ..interfaces import ModelEngine, PlainService, VmKind
from ..outcomes import StepError

STATUS_TIMEOUT_MS = 2_000
SILENCE_TIMEOUT_MS = 5_000  # engines send a line at least once a second
CALL_TIMEOUT_MS = 60_000  # the deadline of a call ends it earlier


class BackendAccess:
    """Makes and keeps adapters.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Shared connections.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.engines: dict[tuple[str, str], HttpModelEngine] = {}
        self.plains: dict[tuple[str, str], HttpPlainService] = {}

    def engine(self, server: BackendServer) -> ModelEngine:
        """Return the adapter of an engine."""
        key = server.name, server.address
        if key not in self.engines:
            self.engines[key] = HttpModelEngine(
                self.session, base_url(server), SILENCE_TIMEOUT_MS, server.name
            )
        return self.engines[key]

    def plain(self, server: BackendServer) -> PlainService:
        """Return the adapter of a plain service."""
        key = server.name, server.address
        if key not in self.plains:
            self.plains[key] = HttpPlainService(
                self.session, base_url(server), CALL_TIMEOUT_MS, server.name
            )
        return self.plains[key]

    def forget(self, server: BackendServer) -> None:
        """Drop the adapters of a server that left."""
        self.engines.pop((server.name, server.address), None)
        self.plains.pop((server.name, server.address), None)

    async def probe(self, server: BackendServer) -> StepError | None:
        """Ask a suspect server whether it serves again."""
        if server.kind is VmKind.ENGINE:
            answer = await self.engine(server).status()
        else:
            answer = await self.incarnation(server)
        return answer.err_value if isinstance(answer, Err) else None

    async def incarnation(self, server: BackendServer) -> Result[str, StepError]:
        """Read the incarnation of a plain service, to tell a crash from a cut."""
        endpoint = HttpPlainService(
            self.session, base_url(server), STATUS_TIMEOUT_MS, server.name
        )
        return await endpoint.read_incarnation()


def base_url(server: BackendServer) -> str:
    """Return the HTTP base URL of a server."""
    return f"http://{server.address}"
