"""HTTP server base of the stand-ins, with faults that ``/control`` changes."""

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

# Short, because the stand-ins have nothing to save for open requests at exit.
SHUTDOWN_TIMEOUT_S = 0.2
# A silent cut holds each request well beyond the clients' timeouts.
SILENT_CUT_DURATION_S = 30


def option(text: str, name: str | bool = True) -> cappa.Arg:
    """Return a long command line option, named after its field by default."""
    return cappa.Arg(long=name, help=text)


Address = Annotated[str, option("ip:port to listen on; port 0 picks a free one")]
Control = Annotated[str, option("first settings of /control, as a JSON object")]


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of ``/control`` that all stand-ins share.

    Parameters
    ----------
    down : bool
        Every request gets status 503 without effect.
    slow_ms : float
        Delay before each request is handled.
    cut : list of str
        Failure domains whose requests get no response and have no effect.
    cut_silent : bool
        Requests from `cut` domains hang; otherwise their connection breaks at once.
    """

    down: bool = False
    slow_ms: float = 0.0
    cut: list[str] = []
    cut_silent: bool = False


class StandInServer:
    """HTTP server with shared faults, counters and ``/control``.

    Parameters
    ----------
    faults : Faults
        Initial settings of ``/control``.
    control : str
        JSON object of changes to these settings, from the command line.
    """

    def __init__(self, faults: Faults, control: str = "{}") -> None:
        self.faults = self.merge_settings(faults, json.loads(control))
        self.counters: Counter[str] = Counter()

    @staticmethod
    def merge_settings(faults: Faults, changes: dict) -> Faults:
        """Return settings with changes applied.

        Raises
        ------
        msgspec.ValidationError
            A key is unknown or a value has the wrong type.
        """
        return msgspec.convert(
            {**msgspec.to_builtins(faults), **changes}, type=type(faults)
        )

    def application(self) -> web.Application:
        """Return the application with the fault middleware and ``/control``."""
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
        """Apply the shared faults to every request except those to ``/control``."""
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
        """Return further fields of ``/control`` beside settings and counters."""
        return {}

    def apply_settings(self) -> None:
        """Update state that depends on the settings."""

    async def read_control(self, request: web.Request) -> web.Response:
        """Return settings, counters and the described state."""
        return web.json_response(
            {
                "settings": msgspec.to_builtins(self.faults),
                "counters": dict(self.counters),
                **self.describe_state(),
            }
        )

    async def change_control(self, request: web.Request) -> web.Response:
        """Change the settings whose keys are in the body."""
        try:
            self.faults = self.merge_settings(self.faults, await request.json())
        except (ValueError, TypeError, msgspec.ValidationError) as error:
            return web.json_response({"error": str(error)}, status=400)
        self.apply_settings()
        return await self.read_control(request)


def drop_connection(request: web.Request) -> web.Response:
    """Abort the client's connection; the returned response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


@asynccontextmanager
async def open_server(
    app: web.Application, address: str, cancel_on_disconnect: bool = False
) -> AsyncIterator[str]:
    """Serve an application within the context; yield the bound ``ip:port``."""
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
    """Print a JSON line with the bound address and serve until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    async with open_server(app, address, cancel_on_disconnect) as bound:
        print(json.dumps({"ready": name, "address": bound}), flush=True)
        await stop_requested.wait()
