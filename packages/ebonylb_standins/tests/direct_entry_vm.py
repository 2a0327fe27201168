"""Entry VM without queues or peers, for tests of the demonstration's parts.

Each request is forwarded to one backend server through the adapters. Run as
``python -m direct_entry_vm serve --settings FILE``.
"""

import argparse
import asyncio
import base64
import json
import signal

import aiohttp
from aiohttp import web

from ebonylb.adapters import HttpModelEngine, HttpPlainService, HttpVmList
from ebonylb.interfaces import CallRequest, GenerateRequest
from ebonylb.settings import load_settings
from ebonylb_standins.server import open_server

TIMEOUT_MS = 5_000
CONCURRENT_SAMPLES = 4  # so that a step of the demonstration takes several rounds
# Command suffix: breaks the connections of streams after SIGTERM.
FAULT_CUT_STREAMS = "cut-streams"


class DirectEntryVm:
    def __init__(self, settings, session, fault):
        self.settings = settings
        self.session = session
        self.fault = fault
        self.revision = 0
        self.stopping = asyncio.Event()
        self.streams = set()
        self.turn = 0

    def application(self):
        app = web.Application()
        for path in ("/healthz", "/readyz"):
            app.router.add_get(path, self.health)
        app.router.add_get("/admin/status", self.status)
        app.router.add_post("/admin/apply", self.apply)
        app.router.add_post("/v1/call/{service}", self.call)
        app.router.add_post("/v1/generate", self.generate)
        app.router.add_post("/v1/steps", self.steps)
        return app

    async def health(self, request):
        return web.Response()

    async def status(self, request):
        own = {"name": self.settings.name, "revision": self.revision}
        return web.json_response({"entry_vms": [own], "servers": []})

    async def apply(self, request):
        """Count a revision and relay it to peers unless X-Relayed is set."""
        self.revision += 1
        if "X-Relayed" not in request.headers:
            for peer in json.loads(request.app["others"]):
                url = f"http://{peer}/admin/apply"
                await self.session.post(url, headers={"X-Relayed": "1"})
        return web.json_response({"revision": self.revision})

    async def backends(self, kind):
        vms = HttpVmList(self.session, self.settings.platform.vms, TIMEOUT_MS)
        entries = (await vms.entries()).ok_value
        return [vm for vm in entries if vm.kind == kind]

    async def engine(self):
        engines = await self.backends("engine")
        self.turn += 1
        vm = engines[self.turn % len(engines)]
        url = f"http://{vm.address}"
        return HttpModelEngine(self.session, url, TIMEOUT_MS, vm.name)

    async def call(self, request):
        vm = (await self.backends("plain"))[0]
        desk = HttpPlainService(self.session, f"http://{vm.address}", TIMEOUT_MS)
        request_id = request.headers["X-Request-Id"]
        body = await request.read()
        response = await desk.call(CallRequest(request_id, body, request.content_type))
        return web.Response(body=response.body, content_type=response.content_type)

    async def generate(self, request):
        body = await request.json()
        generate_request = GenerateRequest(
            "g", body["prompt"], "", body["max_tokens"], body["seed"]
        )
        if not body.get("stream"):
            engine = await self.engine()
            chunks = [chunk async for chunk in engine.generate(generate_request)]
            parts = [
                {"version": c.version, "tokens": c.tokens, "server": engine.name}
                for c in chunks
            ]
            text = "".join(chunk.text for chunk in chunks)
            return web.json_response({"text": text, "segments": parts})
        response = await self.open(request)
        async for chunk in (await self.engine()).generate(generate_request):
            line = {"type": "chunk", "text": chunk.text, "version": chunk.version}
            await send(response, line)
            if self.stopping.is_set() and self.fault == FAULT_CUT_STREAMS:
                request.transport.abort()
        await send(response, {"type": "end"})
        return response

    async def open(self, request):
        self.streams.add(asyncio.current_task())
        asyncio.current_task().add_done_callback(self.streams.discard)
        response = web.StreamResponse()
        await response.prepare(request)
        return response

    async def steps(self, request):
        body = await request.json()
        response = await self.open(request)
        done = base64.b64decode(body["acknowledged"])
        count = len(body["prompts"]) * body["samples_per_group"]
        missing = [n for n in range(count) if not done[n // 8] >> n % 8 & 1]
        for start in range(0, len(missing), CONCURRENT_SAMPLES):
            if self.stopping.is_set():
                await send(response, {"type": "moved"})
                return response
            slots = missing[start : start + CONCURRENT_SAMPLES]
            for line in await asyncio.gather(*(self.sample(body, n) for n in slots)):
                await send(response, line)
        await send(response, {"type": "end"})
        return response

    async def sample(self, body, slot):
        prompt = body["prompts"][slot // body["samples_per_group"]]
        generate_request = GenerateRequest(
            f"s{slot}", prompt, "", body["max_tokens"], body["seed"] + slot
        )
        engine = await self.engine()
        chunks = [chunk async for chunk in engine.generate(generate_request)]
        segments = [
            {"version": chunk.version, "tokens": chunk.tokens, "server": engine.name}
            for chunk in chunks
        ]
        return {
            "type": "sample",
            "slot": slot,
            "text": "".join(chunk.text for chunk in chunks),
            "tokens": sum(chunk.tokens for chunk in chunks),
            "segments": segments,
        }


async def send(response, line):
    await response.write(json.dumps(line).encode() + b"\n")


async def serve(path, fault):
    settings = load_settings(path).ok_value
    async with aiohttp.ClientSession() as session:
        vm = DirectEntryVm(settings, session, fault)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, vm.stopping.set)
        app = vm.application()
        app["others"] = json.dumps(peer_http_addresses(path, settings))
        async with open_server(app, settings.http_address):
            await vm.stopping.wait()
            while vm.streams:
                await asyncio.wait(set(vm.streams))


def peer_http_addresses(path, settings):
    """Return the HTTP addresses of the other entry VMs from their settings files."""
    folder = path.rsplit("/", 1)[0]
    files = [f"{folder}/{peer.name}.jsonc" for peer in settings.peers]
    return [load_settings(file).ok_value.http_address for file in files]


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("command", choices=["serve", "serve-" + FAULT_CUT_STREAMS])
    parser.add_argument("--settings", required=True)
    options = parser.parse_args()
    asyncio.run(serve(options.settings, options.command[len("serve-") :]))
