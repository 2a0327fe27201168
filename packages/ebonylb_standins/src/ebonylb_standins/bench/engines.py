"""In-process backend servers on the loop's time; engines batch continuously."""

import asyncio
import random
from collections import OrderedDict, deque

from result import Ok

from ebonylb.interfaces import (
    CallResponse,
    EngineChunk,
    EngineStatus,
    ModelEngine,
    PlainService,
)
from ebonylb.outcomes import StepError

CHUNK_TOKENS = 4  # tokens per chunk; one chunk per request and step
STEP_MS = 80.0  # 20 ms per token with a batch of one
STEP_GROWTH_PER_REQUEST = 0.02  # each further request lengthens a step by this share
MAX_BATCH_REQUESTS = 128  # limit of the engine's memory; further requests are queued
PREFILL_MS = 8.0  # added to the batch's step by a prompt that is not cached
CACHED_PREFILL_MS = 0.5
CACHED_PROMPTS = 64
LOAD_REPORT_LAG_MS = 1_000.0
WEIGHT_SWAP_MS = 2_000.0
CALL_MS = 20.0
CHUNK_TEXT = "abcd" * CHUNK_TOKENS


def step_ms(batch_size: int) -> float:
    """Return the duration of one step of a batch."""
    return STEP_MS * (1 + STEP_GROWTH_PER_REQUEST * (batch_size - 1))


class BenchEngine(ModelEngine):
    """Engine that admits in order of arrival; each step yields a chunk per request.

    Parameters
    ----------
    name : str
        Server name.
    lengths : dict of int to int
        Token count at which the generation of a seed ends, if before `max_tokens`.
        The policy cannot see it.
    """

    def __init__(self, name: str, lengths: dict[int, int]) -> None:
        self.name = name
        self.lengths = lengths
        self.slowdown = 1.0
        self.version = 1
        self.swapping_until_s = 0.0
        self.batch: dict[asyncio.Queue[int], None] = {}  # in order of arrival
        self.waiting: deque[tuple[asyncio.Queue[int], str]] = deque()
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.load_history: deque[tuple[float, int]] = deque([(0.0, 0)])
        self.step_task: asyncio.Task[None] | None = None

    def prefill_ms(self, prompt: str) -> float:
        """Return the prefill time of a prompt and cache the prompt."""
        cached = prompt in self.cache
        self.cache[prompt] = None
        self.cache.move_to_end(prompt)
        if len(self.cache) > CACHED_PROMPTS:
            self.cache.popitem(last=False)
        return CACHED_PREFILL_MS if cached else PREFILL_MS

    def admit_waiting(self) -> float:
        """Move waiting requests into the batch; return their total prefill time."""
        prompt_ms = 0.0
        while self.waiting and len(self.batch) < MAX_BATCH_REQUESTS:
            stream, prompt = self.waiting.popleft()
            self.batch[stream] = None
            prompt_ms += self.prefill_ms(prompt)
        return prompt_ms

    async def run_steps(self) -> None:
        """Run steps until the batch and the queue are empty."""
        loop = asyncio.get_running_loop()
        while self.batch or self.waiting:
            prompt_ms = self.admit_waiting()
            duration_ms = (step_ms(len(self.batch)) + prompt_ms) * self.slowdown
            await asyncio.sleep(duration_ms / 1000)
            await asyncio.sleep(max(0.0, self.swapping_until_s - loop.time()))
            for stream in self.batch:
                stream.put_nowait(self.version)
        self.step_task = None

    async def generate(self, request):
        """Stream chunks of `CHUNK_TOKENS`."""
        stream: asyncio.Queue[int] = asyncio.Queue()
        queue_entry = (stream, request.prompt)
        self.waiting.append(queue_entry)
        self.record_load()
        if self.step_task is None:
            self.step_task = asyncio.create_task(self.run_steps())
        generated_tokens = len(request.generated) // (len(CHUNK_TEXT) // CHUNK_TOKENS)
        total_tokens = self.lengths.get(
            request.seed, generated_tokens + request.max_tokens
        )
        remaining_tokens = min(request.max_tokens, total_tokens - generated_tokens)
        try:
            while remaining_tokens > 0:
                version = await stream.get()
                tokens = min(CHUNK_TOKENS, remaining_tokens)
                remaining_tokens -= tokens
                yield EngineChunk(CHUNK_TEXT[: 4 * tokens], tokens, version)
        finally:
            self.batch.pop(stream, None)
            if queue_entry in self.waiting:
                self.waiting.remove(queue_entry)
            self.record_load()

    def record_load(self) -> None:
        """Record the load, which `status` reports after `LOAD_REPORT_LAG_MS`."""
        now_ms = asyncio.get_running_loop().time() * 1000
        self.load_history.append((now_ms, len(self.batch) + len(self.waiting)))
        while (
            len(self.load_history) > 1
            and self.load_history[1][0] <= now_ms - LOAD_REPORT_LAG_MS
        ):
            self.load_history.popleft()

    def swap(self, version: int) -> None:
        """Load a version; no tokens are generated for `WEIGHT_SWAP_MS`."""
        self.swapping_until_s = (
            asyncio.get_running_loop().time() + WEIGHT_SWAP_MS / 1000
        )
        self.version = version

    async def load(self, order):
        """Load any version that is ordered."""
        self.swap(order.version)
        return Ok(order.version)

    async def status(self):
        """Return the status with the load of `LOAD_REPORT_LAG_MS` ago."""
        self.record_load()
        running = self.load_history[0][1]
        return Ok(EngineStatus("0", self.version, running, 0, False, True))


class BenchPlain(PlainService):
    """Plain service that fails a random share of its calls."""

    def __init__(self, name: str, failure_share: float, rng: random.Random) -> None:
        self.name = name
        self.failure_share = failure_share
        self.rng = rng
        self.call_count = 0

    async def call(self, request):
        """Return an empty response after `CALL_MS`, or raise StepError."""
        self.call_count += 1
        await asyncio.sleep(CALL_MS / 1000)
        if self.rng.random() < self.failure_share:
            raise StepError("service.answer", self.name, "simulated failure")
        return CallResponse(200, b"", "text/plain", self.name)
