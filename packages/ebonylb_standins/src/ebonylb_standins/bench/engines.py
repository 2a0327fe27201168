"""In-process backend servers with continuous batching, on the loop's time."""

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
STEP_SLOPE = 0.02  # each further request lengthens a step by this part
BATCH = 128  # requests that fit into the engine's memory; others wait in its queue
PREFILL_MS = 8.0  # added to the batch's step by a prompt that is not cached
CACHED_PREFILL_MS = 0.5
CACHED_PROMPTS = 64
LOAD_LAG_MS = 1_000.0
SWAP_MS = 2_000.0
CALL_MS = 20.0
CHUNK_TEXT = "abcd" * CHUNK_TOKENS


def step_ms(batch: int) -> float:
    """Return the duration of one step of a batch."""
    return STEP_MS * (1 + STEP_SLOPE * (batch - 1))


class BenchEngine(ModelEngine):
    """Admits in order of arrival; each step gives each request one chunk.

    Parameters
    ----------
    name : str
        Server name.
    lengths : dict
        Tokens after which the answer for a seed ends, where that is before
        `max_tokens`. The policy cannot see it.
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
        self.loads: deque[tuple[float, int]] = deque([(0.0, 0)])
        self.loop_task: asyncio.Task[None] | None = None

    def prefill_ms(self, prompt: str) -> float:
        """Return the time for a prompt, which is cached afterwards."""
        cached = prompt in self.cache
        self.cache[prompt] = None
        self.cache.move_to_end(prompt)
        if len(self.cache) > CACHED_PROMPTS:
            self.cache.popitem(last=False)
        return CACHED_PREFILL_MS if cached else PREFILL_MS

    def admit(self) -> float:
        """Move waiting requests into the batch; return the time for their prompts."""
        extra_ms = 0.0
        while self.waiting and len(self.batch) < BATCH:
            stream, prompt = self.waiting.popleft()
            self.batch[stream] = None
            extra_ms += self.prefill_ms(prompt)
        return extra_ms

    async def step(self) -> None:
        """Run steps while there are requests."""
        loop = asyncio.get_running_loop()
        while self.batch or self.waiting:
            extra_ms = self.admit()
            duration_ms = (step_ms(len(self.batch)) + extra_ms) * self.slowdown
            await asyncio.sleep(duration_ms / 1000)
            await asyncio.sleep(max(0.0, self.swapping_until_s - loop.time()))
            for stream in self.batch:
                stream.put_nowait(self.version)
        self.loop_task = None

    async def generate(self, request):
        """Stream chunks of `CHUNK_TOKENS`."""
        stream: asyncio.Queue[int] = asyncio.Queue()
        item = (stream, request.prompt)
        self.waiting.append(item)
        self.note_load()
        if self.loop_task is None:
            self.loop_task = asyncio.create_task(self.step())
        done = len(request.generated) // (len(CHUNK_TEXT) // CHUNK_TOKENS)
        length = self.lengths.get(request.seed, done + request.max_tokens)
        left = min(request.max_tokens, length - done)
        try:
            while left > 0:
                version = await stream.get()
                tokens = min(CHUNK_TOKENS, left)
                left -= tokens
                yield EngineChunk(CHUNK_TEXT[: 4 * tokens], tokens, version)
        finally:
            self.batch.pop(stream, None)
            if item in self.waiting:
                self.waiting.remove(item)
            self.note_load()

    def note_load(self) -> None:
        """Record the load for reports that lag."""
        now_ms = asyncio.get_running_loop().time() * 1000
        self.loads.append((now_ms, len(self.batch) + len(self.waiting)))
        while len(self.loads) > 1 and self.loads[1][0] <= now_ms - LOAD_LAG_MS:
            self.loads.popleft()

    def swap(self, version: int) -> None:
        """Load a version; no tokens come meanwhile."""
        self.swapping_until_s = asyncio.get_running_loop().time() + SWAP_MS / 1000
        self.version = version

    async def load(self, order):
        """Accept any version."""
        self.swap(order.version)
        return Ok(order.version)

    async def status(self):
        """Report the load of a second ago."""
        self.note_load()
        running = self.loads[0][1]
        return Ok(EngineStatus("0", self.version, running, 0, False, True))


class BenchPlain(PlainService):
    """Plain service that fails a part of its calls."""

    def __init__(self, name: str, failing: float, rng: random.Random) -> None:
        self.name = name
        self.failing = failing
        self.rng = rng
        self.calls = 0

    async def call(self, request):
        """Answer, or break."""
        self.calls += 1
        await asyncio.sleep(CALL_MS / 1000)
        if self.rng.random() < self.failing:
            raise StepError("service.answer", self.name, "broke")
        return CallResponse(200, b"", "text/plain", self.name)
