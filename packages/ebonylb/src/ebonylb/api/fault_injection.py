"""Fault injection for tests; served only with setting ``allow_fault_injection``."""

from aiohttp import web

from ..peers import PeerBus


def fault_routes(bus: PeerBus) -> list[web.RouteDef]:
    """Return the route that cuts the connections of this entry VM to peers.

    ``POST /faults`` takes ``{"cut_peers": [names]}``; an empty list restores all
    connections.
    """

    async def set_faults(request: web.Request) -> web.Response:
        body = await request.json()
        bus.block(set(body["cut_peers"]))
        return web.json_response({"cut_peers": sorted(bus.blocked_peers)})

    return [web.post("/faults", set_faults)]
