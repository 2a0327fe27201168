"""Stand-in for a model engine, with continuous batching and injected faults."""

import asyncio
import os
import random
import time
from collections import Counter, deque
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Annotated

import aiohttp
import cappa
import msgspec
from aiohttp import web

from ebonylb.adapters.model_engine import StreamLine
from ebonylb.interfaces import EngineChunk, EngineStatus, GenerateRequest, LoadOrder
from ebonylb.outcomes import new_token

from .batching import Batcher, Pacing, Stream
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
from .tasks import end_task
from .text import count_tokens

KEEP_ALIVE_INTERVAL_S = 0.5  # between waiting lines of a stream without chunks
# Load samples let the status report the load as of `load_lag_ms` ago.
LOAD_SAMPLE_INTERVAL_S = 0.02
TRANSFER_BLOCK_BYTES = 65_536
STALL_DURATION_S = 600  # longer than any client's timeout


class EngineFaults(Faults):
    """Settings of ``/control`` for the engine.

    Parameters
    ----------
    slowdown : float
        Factor on all durations of the engine.
    draining : bool
        New streams are refused; running ones continue.
    checks_fence : bool
        Orders whose fencing number is below the highest received are refused.
    load_lag_ms : float
        Age of the load values in the status.
    fail_swaps : int
        Number of next version swaps that fail; the engine then keeps its version.
    refuse_share : float
        Share of streams that are refused as not run.
    truncate_share : float
        Share of streams whose body ends without the end marker.
    break_share : float
        Share of streams whose connection breaks.
    stall_share : float
        Share of streams that stall after their first chunk.
    stale_share : float
        Share of streams whose first line belongs to an earlier request.
    """

    slowdown: float = 1.0
    draining: bool = False
    checks_fence: bool = True
    load_lag_ms: float = 0.0
    fail_swaps: int = 0
    refuse_share: float = 0.0
    truncate_share: float = 0.0
    break_share: float = 0.0
    stall_share: float = 0.0
    stale_share: float = 0.0


class Engine(StandInServer):
    """HTTP server of the engine stand-in.

    Parameters
    ----------
    options : Options
        Options of the command line.
    session : aiohttp.ClientSession
        Client session for transfers of weights.
    """

    def __init__(self, options: "Options", session: aiohttp.ClientSession) -> None:
        super().__init__(EngineFaults(), options.control)
        self.options = options
        self.session = session
        self.incarnation = new_token()
        self.random = random.Random(options.seed)
        self.batcher = Batcher(
            self.make_pacing(), options.batch, options.cache_blocks, options.version
        )
        self.run_log = RunLog(options.record_file, options.name, self.incarnation)
        self.runs_by_request: Counter[str] = Counter()
        self.runs_by_prompt: Counter[str] = Counter()
        self.previous_request_id = "none"
        self.highest_fence = 0
        self.weight_sizes = {options.version: options.weights_bytes}
        self.load_lock = asyncio.Lock()
        self.load_samples: deque[tuple[float, int, int]] = deque(maxlen=5_000)

    def make_pacing(self) -> Pacing:
        """Return the durations of the options with the current slowdown."""
        options = self.options
        return Pacing(
            options.token_ms,
            options.sequence_ms,
            options.prefill_ms,
            options.chunk_tokens,
            options.swap_ms,
            self.faults.slowdown,
        )

    def apply_settings(self) -> None:
        """Apply the slowdown from the next step of the batch on."""
        self.batcher.pacing = self.make_pacing()

    def application(self) -> web.Application:
        """Return the application with all routes."""
        app = super().application()
        app.router.add_post("/generate", self.generate)
        app.router.add_post("/load", self.load)
        app.router.add_get("/status", self.status)
        app.router.add_get("/runs", self.runs)
        app.router.add_get("/weights/{version}", self.send_weights)
        return app

    async def generate(self, request: web.Request) -> web.StreamResponse:
        """Admit a generation and stream its chunks."""
        try:
            generate_request = msgspec.json.decode(
                await request.read(), type=GenerateRequest
            )
        except msgspec.MsgspecError as error:
            return web.json_response({"error": str(error)}, status=400)
        if self.faults.draining:
            return web.json_response({"error": "draining"}, status=503)
        if self.random.random() < self.faults.refuse_share:
            self.counters["refused"] += 1
            return web.json_response({"error": "refused"}, status=503)
        self.counters["runs"] += 1
        self.runs_by_request[generate_request.request_id] += 1
        self.runs_by_prompt[generate_request.prompt] += 1
        self.run_log.write(generate_request.request_id, generate_request.prompt)
        stream = Stream.from_request(generate_request)
        self.batcher.submit(stream)
        try:
            return await self.send_stream(request, stream)
        except ConnectionError:
            self.counters["cancelled"] += 1
            return drop_connection(request)
        except asyncio.CancelledError:
            self.counters["cancelled"] += 1
            raise
        finally:
            self.batcher.cancel(stream)

    async def send_stream(
        self, request: web.Request, stream: Stream
    ) -> web.StreamResponse:
        """Send the lines of a stream, with faults as configured."""
        response = web.StreamResponse()
        response.content_type = "application/x-ndjson"
        response.enable_chunked_encoding()
        await response.prepare(request)
        request_id, sent = stream.request.request_id, 0
        if self.random.random() < self.faults.stale_share:
            self.counters["stale_lines"] += 1
            await response.write(
                encode_line(StreamLine(self.previous_request_id, 0, "old ", 1, 1))
            )
        self.previous_request_id = request_id
        fault = self.choose_fault()
        version = 0
        while (chunk := await self.next_chunk(response, stream)) is not None:
            if chunk.version != version:
                version = chunk.version
                self.record_version(stream.request, sent, version)
            line = StreamLine(request_id, sent, chunk.text, chunk.tokens, version)
            await response.write(encode_line(line))
            sent += chunk.tokens
            self.counters["tokens"] += chunk.tokens
            self.crash_if_marked(stream, sent)
            if fault:
                return await self.inject_fault(fault, request, response)
        await response.write(encode_line(StreamLine(request_id, sent, end=True)))
        await response.write_eof()
        self.counters["finished"] += 1
        return response

    def record_version(self, request: GenerateRequest, sent: int, version: int) -> None:
        """Log the position in the complete text from which a version generates."""
        position = count_tokens(request.generated) + sent
        subject = (request.request_id, request.prompt, "tokens", request.seed)
        self.run_log.write(*subject, position, version)

    def choose_fault(self) -> str:
        """Return the fault to inject into a stream, or an empty string."""
        draw = self.random.random()
        for fault in ("truncate", "break", "stall"):
            share = getattr(self.faults, f"{fault}_share")
            if draw < share:
                self.counters[f"{fault}_faults"] += 1
                return fault
            draw -= share
        return ""

    async def inject_fault(
        self, fault: str, request: web.Request, response: web.StreamResponse
    ) -> web.StreamResponse:
        """End a stream without its end marker, break its connection or stall it."""
        if fault == "stall":
            await asyncio.sleep(STALL_DURATION_S)
        if fault == "truncate":
            await response.write_eof()
        elif request.transport is not None:
            request.transport.abort()
        return response

    async def next_chunk(
        self, response: web.StreamResponse, stream: Stream
    ) -> EngineChunk | None:
        """Return the next chunk; send waiting lines until it is available."""
        while True:
            try:
                return await asyncio.wait_for(
                    stream.chunks.get(), KEEP_ALIVE_INTERVAL_S
                )
            except TimeoutError:
                line = StreamLine(stream.request.request_id, waiting=True)
                await response.write(encode_line(line))

    def crash_if_marked(self, stream: Stream, sent: int) -> None:
        """Exit at once after enough tokens if the prompt has the crash marker."""
        marker, prompt = self.options.crash_marker, stream.request.prompt
        if marker and marker in prompt:
            if sent >= self.options.crash_after_tokens:
                self.run_log.write(stream.request.request_id, prompt, "crash")
                os._exit(70)

    async def load(self, request: web.Request) -> web.Response:
        """Execute a load order; respond with the version in use afterwards."""
        order = msgspec.json.decode(await request.read(), type=LoadOrder)
        self.counters["orders"] += 1
        if self.observe_fence(order):
            return self.refuse_old_fence()
        async with self.load_lock:
            error = await self.fetch_weights(order)
            if self.observe_fence(order):
                return self.refuse_old_fence()
            if not error and self.faults.fail_swaps > 0:
                self.faults.fail_swaps -= 1
                self.counters["failed_swaps"] += 1
                error = "swap failed"
            if not error and order.version != self.batcher.version:
                self.run_log.write("", "", "order", 0, order.fence, order.version)
                await self.batcher.switch(order.version)
                self.counters["swaps"] += 1
        return web.json_response({"version": self.batcher.version, "error": error})

    def observe_fence(self, order: LoadOrder) -> bool:
        """Record the fencing number of an order; return whether to refuse the order."""
        is_old = order.fence < self.highest_fence
        self.highest_fence = max(self.highest_fence, order.fence)
        self.counters["old_fences"] += int(is_old)
        return is_old and self.faults.checks_fence

    def refuse_old_fence(self) -> web.Response:
        """Return the response that refuses an order with an old fencing number."""
        return web.json_response(
            {"error": "old fencing number", "fence": self.highest_fence}, status=409
        )

    async def fetch_weights(self, order: LoadOrder) -> str:
        """Transfer a version unless present; return the error, or an empty string."""
        if order.version in self.weight_sizes:
            return ""
        if order.source == "weight-store":
            url = f"{self.options.weights_url}/data/{self.options.service}"
        else:
            url = f"http://{order.source}/weights"
        try:
            async with self.session.get(f"{url}/{order.version}") as response:
                response.raise_for_status()
                size = 0
                async for block in response.content.iter_chunked(TRANSFER_BLOCK_BYTES):
                    size += len(block)
        except (aiohttp.ClientError, OSError) as error:
            self.counters["failed_transfers"] += 1
            return f"transfer failed: {error}"
        self.weight_sizes[order.version] = size
        self.counters["transfers_from_" + source_kind(order.source)] += 1
        return ""

    async def send_weights(self, request: web.Request) -> web.StreamResponse:
        """Send the weights of a version to another engine."""
        size = self.weight_sizes.get(int(request.match_info["version"]))
        if size is None:
            return web.Response(status=404)
        response = web.StreamResponse()
        response.content_length = size
        await response.prepare(request)
        for start in range(0, size, TRANSFER_BLOCK_BYTES):
            await response.write(bytes(min(TRANSFER_BLOCK_BYTES, size - start)))
        domain = request.headers.get("X-Failure-Domain", "")
        self.counters[f"weight_bytes_to_{domain}"] += size
        return response

    async def sample_load(self) -> None:
        """Sample the load periodically for a status with `load_lag_ms`."""
        while True:
            running, queued = len(self.batcher.running), len(self.batcher.waiting)
            self.load_samples.append((time.monotonic() * 1000, running, queued))
            await asyncio.sleep(LOAD_SAMPLE_INTERVAL_S)

    async def status(self, request: web.Request) -> web.Response:
        """Return the status; its load values are `load_lag_ms` old."""
        running, queued = len(self.batcher.running), len(self.batcher.waiting)
        if self.faults.load_lag_ms > 0:
            latest_ms = time.monotonic() * 1000 - self.faults.load_lag_ms
            older_samples = (
                sample
                for sample in reversed(self.load_samples)
                if sample[0] <= latest_ms
            )
            _, running, queued = next(older_samples, (0.0, 0, 0))
        status = EngineStatus(
            self.incarnation,
            self.batcher.version,
            running,
            queued,
            self.faults.draining,
            self.faults.checks_fence,
        )
        return web.Response(
            body=msgspec.json.encode(status), content_type="application/json"
        )

    async def runs(self, request: web.Request) -> web.Response:
        """Return the number of runs by request id and by prompt."""
        return web.json_response(
            {"by_request": self.runs_by_request, "by_prompt": self.runs_by_prompt}
        )

    def describe_state(self) -> dict:
        """Return the version, the fencing number, the load and the cache statistics."""
        return {
            "incarnation": self.incarnation,
            "version": self.batcher.version,
            "fence": self.highest_fence,
            "running": len(self.batcher.running),
            "queued": len(self.batcher.waiting),
            "saved_words": self.batcher.cached_words,
            "prefilled_words": self.batcher.prefilled_words,
        }


def encode_line(line: StreamLine) -> bytes:
    """Encode a line as NDJSON."""
    return msgspec.json.encode(line) + b"\n"


def source_kind(source: str) -> str:
    """Return the part of a counter name that stands for a transfer source."""
    return "weight_store" if source == "weight-store" else "engine"


@dataclass
class Options:
    """Stand-in for a model engine."""

    name: Annotated[str, option("server name in records")] = "engine"
    service: Annotated[str, option("service whose weights are loaded")] = "lm"
    failure_domain: Annotated[str, option("sent with transfers of weights")] = ""
    weights_url: Annotated[str, option("base URL of the weight store")] = ""
    address: Address = "127.0.0.1:0"
    control: Control = "{}"
    batch: Annotated[int, option("streams in the batch")] = 16
    version: Annotated[int, option("first weight version")] = 1
    weights_bytes: Annotated[int, option("size of the first version")] = 100_000
    token_ms: Annotated[float, option("time of a step per token")] = 2.0
    sequence_ms: Annotated[float, option("more time per stream in the batch")] = 0.05
    prefill_ms: Annotated[float, option("time per uncached prompt word")] = 0.05
    chunk_tokens: Annotated[int, option("tokens of a stream per step")] = 1
    swap_ms: Annotated[float, option("pause of streams during a swap")] = 20.0
    cache_blocks: Annotated[int, option("blocks of 16 words in the cache")] = 4_096
    crash_marker: Annotated[str, option("prompts with it end the process")] = ""
    crash_after_tokens: Annotated[int, option("tokens sent before that")] = 1
    record_file: Annotated[str, option("file to which runs are appended")] = ""
    seed: Annotated[int, option("seed of the faults")] = 0


async def run_server(options: Options) -> None:
    """Serve until SIGTERM or SIGINT."""
    async with AsyncExitStack() as stack:
        session = aiohttp.ClientSession(
            headers={"X-Failure-Domain": options.failure_domain}
        )
        await stack.enter_async_context(session)
        engine = Engine(options, session)
        for coroutine in (engine.batcher.run(), engine.sample_load()):
            task = asyncio.create_task(coroutine)
            stack.push_async_callback(end_task, task)
        await serve(engine.application(), options.address, options.name, True)


def main() -> None:
    """Run the engine."""
    asyncio.run(run_server(cappa.parse(Options)))


if __name__ == "__main__":
    main()
