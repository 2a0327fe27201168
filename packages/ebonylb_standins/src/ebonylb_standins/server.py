"""HTTP server with settable faults, shared by the stand-ins."""

import asyncio
import json
import signal
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Annotated

import cappa
import msgspec
from aiohttp import web

# Time left for open requests at exit; the stand-ins have nothing to save.
SHUTDOWN_TIMEOUT_S = 0.2
# A silent cut holds requests this long, well beyond the clients' timeouts.
SILENT_CUT_DURATION_S = 30


def option(text: str, name: str | bool = True) -> cappa.Arg:
    """Return a long option of the command line; its name is by default the field's."""
    return cappa.Arg(long=name, help=text)


Address = Annotated[str, option("ip:port to listen on; port 0 picks a free one")]
Control = Annotated[str, option("first settings of /control, as a JSON object")]


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of ``/control`` that every stand-in has.

    Parameters
    ----------
    down : bool
        Every request gets 503 and does nothing.
    slow_ms : float
        Extra time before each request is handled.
    cut : list of str
        Failure domains whose requests get no answer and do nothing.
    cut_silent : bool
        Cut requests hang; without it their connection breaks at once.
    """

    down: bool = False
    slow_ms: float = 0.0
    cut: list[str] = []
    cut_silent: bool = False


class StandInServer:
    """Base of the stand-ins' servers.

    Parameters
    ----------
    faults : Faults
        First settings of ``/control``.
    control : str
        JSON object that replaces some of them, from the command line.
    """

    def __init__(self, faults: Faults, control: str = "{}") -> None:
        self.faults = self.merge_settings(faults, json.loads(control))
        self.counters: Counter[str] = Counter()

    @staticmethod
    def merge_settings(faults: Faults, changes: dict) -> Faults:
        """Return settings with changes; unknown keys and wrong types are errors."""
        return msgspec.convert(
            {**msgspec.to_builtins(faults), **changes}, type=type(faults)
        )

    def application(self) -> web.Application:
        """Return the application with the faults and ``/control`` in place."""
        app = web.Application(
            middlewares=[self.apply_faults], client_max_size=64_000_000
        )
        app.router.add_get("/control", self.read_control)
        app.router.add_post("/control", self.change_control)
        return app

    @web.middleware
    async def apply_faults(
        self, request: web.Request, handler: web.RequestHandler
    ) -> web.StreamResponse:
        """Apply the shared faults to every request but those to ``/control``."""
        if request.path == "/control":
            return await handler(request)
        self.counters["requests"] += 1
        if request.headers.get("X-Failure-Domain", "") in self.faults.cut:
            if self.faults.cut_silent:
                await asyncio.sleep(SILENT_CUT_DURATION_S)
            return drop_connection(request)
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        if self.faults.down:
            return web.json_response(
                {"error": "unavailable"}, status=503, headers={"X-Not-Run": "refused"}
            )
        return await handler(request)

    def describe_state(self) -> dict:
        """Return what ``/control`` shows beside the settings."""
        return {}

    def apply_settings(self) -> None:
        """React to new settings."""

    async def read_control(self, request: web.Request) -> web.Response:
        """Return settings, counters and the report."""
        return web.json_response(
            {
                "settings": msgspec.to_builtins(self.faults),
                "counters": dict(self.counters),
                **self.describe_state(),
            }
        )

    async def change_control(self, request: web.Request) -> web.Response:
        """Change settings; the body names the keys to change."""
        try:
            self.faults = self.merge_settings(self.faults, await request.json())
        except (ValueError, TypeError, msgspec.ValidationError) as error:
            return web.json_response({"error": str(error)}, status=400)
        self.apply_settings()
        return await self.read_control(request)


def drop_connection(request: web.Request) -> web.Response:
    """Break the client's connection; the returned answer is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


@asynccontextmanager
async def open_server(
    app: web.Application, address: str, cancel_on_disconnect: bool = False
) -> AsyncIterator[str]:
    """Serve an application inside the context; yields the bound ``ip:port``."""
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=cancel_on_disconnect,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    try:
        host, port = address.rsplit(":", 1)
        await web.TCPSite(runner, host, int(port), backlog=1024).start()
        bound = runner.addresses[0]
        yield f"{bound[0]}:{bound[1]}"
    finally:
        await runner.cleanup()


async def serve(
    app: web.Application,
    address: str,
    name: str,
    cancel_on_disconnect: bool = False,
) -> None:
    """Serve until SIGTERM or SIGINT; print one JSON line with the address first."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    async with open_server(app, address, cancel_on_disconnect) as bound:
        print(json.dumps({"ready": name, "address": bound}), flush=True)
        await stop_requested.wait()
