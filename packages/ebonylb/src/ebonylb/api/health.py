"""Health and readiness endpoints for the platform's balancer."""

from collections.abc import Callable

from aiohttp import web


def health_routes(
    lifecycle_state: Callable[[], str], is_ready: Callable[[], bool]
) -> list[web.RouteDef]:
    """Return the routes ``/healthz`` and ``/readyz``.

    Parameters
    ----------
    lifecycle_state : callable
        Returns the name of the entry VM's lifecycle state.
    is_ready : callable
        Returns whether the balancer should send new requests to this entry VM.
    """

    async def healthz(request: web.Request) -> web.Response:
        return web.json_response({"lifecycle": lifecycle_state()})

    async def readyz(request: web.Request) -> web.Response:
        status = 200 if is_ready() else 503
        return web.json_response({"lifecycle": lifecycle_state()}, status=status)

    return [web.get("/healthz", healthz), web.get("/readyz", readyz)]
