"""Health and readiness for the platform's balancer."""

from collections.abc import Callable

from aiohttp import web


def health_routes(
    lifecycle_state: Callable[[], str], is_ready: Callable[[], bool]
) -> list[web.RouteDef]:
    """Return the routes ``/healthz`` and ``/readyz``.

    Parameters
    ----------
    lifecycle : callable
        Name of the entry VM's lifecycle state.
    admits : callable
        Tells whether new work is taken; the balancer sends none while it is not.
    """

    async def healthz(request: web.Request) -> web.Response:
        return web.json_response({"lifecycle": lifecycle_state()})

    async def readyz(request: web.Request) -> web.Response:
        status = 200 if is_ready() else 503
        return web.json_response({"lifecycle": lifecycle_state()}, status=status)

    return [web.get("/healthz", healthz), web.get("/readyz", readyz)]
