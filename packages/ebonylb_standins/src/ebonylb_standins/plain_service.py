"""Stand-in for a plain service: a booking desk with limited concurrency."""

import asyncio
import hashlib
import json
import os
import random
from collections import Counter
from dataclasses import dataclass
from typing import Annotated

import cappa
from aiohttp import web

from ebonylb.outcomes import new_token

from .records import RunLog
from .server import (
    Address,
    Control,
    Faults,
    StandInServer,
    drop_connection,
    option,
    serve,
)


class PlainServiceFaults(Faults):
    """Settings of ``/control`` for the plain service.

    Parameters
    ----------
    service_ms : float
        Duration of a call.
    draining : bool
        New calls are refused as not run.
    drop_answer_share : float
        Share of calls that run but whose connection then breaks.
    short_answer_share : float
        Share of calls that run but whose response ends before its Content-Length.
    refuse_share : float
        Share of calls that are refused as not run.
    """

    service_ms: float = 2.0
    draining: bool = False
    drop_answer_share: float = 0.0
    short_answer_share: float = 0.0
    refuse_share: float = 0.0


class BookingDesk(StandInServer):
    """HTTP server of the plain service stand-in.

    Parameters
    ----------
    options : Options
        Options of the command line.
    """

    def __init__(self, options: "Options") -> None:
        super().__init__(PlainServiceFaults(), options.control)
        self.options = options
        self.incarnation = new_token()
        self.random = random.Random(options.seed)
        self.slots = asyncio.Semaphore(options.capacity)
        self.running = 0
        self.run_log = RunLog(options.record_file, options.name, self.incarnation)
        self.runs_by_request: Counter[str] = Counter()
        self.runs_by_body: Counter[str] = Counter()

    def application(self) -> web.Application:
        """Return the application with all routes."""
        app = super().application()
        app.router.add_post("/call", self.call)
        app.router.add_get("/status", self.status)
        app.router.add_get("/runs", self.runs)
        return app

    async def call(self, request: web.Request) -> web.StreamResponse:
        """Run a booking and return its result, or inject a fault."""
        body = await request.read()
        if self.faults.draining:
            return refuse("draining")
        if self.random.random() < self.faults.refuse_share:
            self.counters["refused"] += 1
            return refuse("refused")
        async with self.slots:
            self.running += 1
            try:
                content = await self.run_booking(request, body)
            finally:
                self.running -= 1
        if self.random.random() < self.faults.drop_answer_share:
            self.counters["dropped_answers"] += 1
            return drop_connection(request)
        if self.random.random() < self.faults.short_answer_share:
            self.counters["short_answers"] += 1
            return await self.send_truncated(request, content)
        return web.Response(body=content, content_type="application/json")

    async def run_booking(self, request: web.Request, body: bytes) -> bytes:
        """Log the run, wait for the service time and return the JSON result."""
        request_id = request.headers.get("X-Request-Id", "")
        digest = hashlib.sha256(body).hexdigest()
        self.counters["runs"] += 1
        self.runs_by_request[request_id] += 1
        self.runs_by_body[digest] += 1
        self.run_log.write(request_id, digest)
        if self.options.crash_marker and self.options.crash_marker.encode() in body:
            crash()
        await asyncio.sleep(self.faults.service_ms / 1000)
        booking = {
            "booking": f"{self.options.name}-{self.counters['runs']}",
            "request_id": request_id,
            "body_sha256": digest,
            "server": self.options.name,
        }
        return json.dumps(booking).encode()

    async def send_truncated(
        self, request: web.Request, content: bytes
    ) -> web.StreamResponse:
        """Send half of the content under its full Content-Length and disconnect."""
        response = web.StreamResponse()
        response.content_type = "application/json"
        response.content_length = len(content)
        await response.prepare(request)
        await response.write(content[: len(content) // 2])
        if request.transport is not None:
            request.transport.close()
        return response

    async def status(self, request: web.Request) -> web.Response:
        """Return the incarnation, the draining state and the running calls."""
        return web.json_response(
            {
                "incarnation": self.incarnation,
                "draining": self.faults.draining,
                "running": self.running,
            }
        )

    async def runs(self, request: web.Request) -> web.Response:
        """Return the number of runs by request id and by body digest."""
        return web.json_response(
            {"by_request": self.runs_by_request, "by_body": self.runs_by_body}
        )

    def describe_state(self) -> dict:
        """Return the incarnation."""
        return {"incarnation": self.incarnation}


def refuse(cause: str) -> web.Response:
    """Return the response that states that the call was not run."""
    return web.json_response({"error": cause}, status=503, headers={"X-Not-Run": cause})


def crash() -> None:
    """Exit at once, without cleanup or responses, as in a crash."""
    os._exit(70)


@dataclass
class Options:
    """Stand-in for a plain service."""

    name: Annotated[str, option("server name in answers")] = "desk"
    address: Address = "127.0.0.1:0"
    control: Control = "{}"
    capacity: Annotated[int, option("calls run at once")] = 8
    crash_marker: Annotated[str, option("a body with this text ends the process")] = ""
    record_file: Annotated[str, option("file to which each run is appended")] = ""
    seed: Annotated[int, option("seed of the faults")] = 0


async def run_server(options: Options) -> None:
    """Serve until SIGTERM or SIGINT."""
    desk = BookingDesk(options)
    await serve(desk.application(), options.address, options.name)


def main() -> None:
    """Run the plain service."""
    asyncio.run(run_server(cappa.parse(Options)))


if __name__ == "__main__":
    main()
