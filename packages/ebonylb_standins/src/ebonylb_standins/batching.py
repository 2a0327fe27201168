"""Continuous batching of the engine stand-in."""

import asyncio
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from ebonylb.interfaces import EngineChunk, GenerateRequest

from .text import count_tokens, digest, hash64, natural_length, token

BLOCK_WORDS = 16  # prompts are cached in blocks of this many words


@dataclass(slots=True)
class Pacing:
    """Times of the engine.

    Parameters
    ----------
    token_ms, sequence_ms : float
        A step takes ``token_ms + sequence_ms * running`` for each of its tokens.
    prefill_ms : float
        Time for each prompt word that is not cached.
    chunk_tokens : int
        Tokens of a stream in one step.
    swap_ms : float
        Pause of all streams while a version is switched.
    slowdown : float
        Factor on all of them.
    """

    token_ms: float
    sequence_ms: float
    prefill_ms: float
    chunk_tokens: int
    swap_ms: float
    slowdown: float


class PrefixCache:
    """Least recently used blocks of prompts, bounded in number.

    Parameters
    ----------
    capacity : int
        Blocks kept.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.blocks: OrderedDict[int, None] = OrderedDict()

    def admit(self, words: list[str]) -> int:
        """Cache a prompt and return how many of its first words were cached."""
        cached, chain, hit = 0, 0, True
        for start in range(0, len(words), BLOCK_WORDS):
            block = words[start : start + BLOCK_WORDS]
            chain = hash64(f"{chain} {' '.join(block)}")
            hit = hit and chain in self.blocks
            cached += len(block) if hit else 0
            self.blocks[chain] = None
            self.blocks.move_to_end(chain)
        while len(self.blocks) > self.capacity:
            self.blocks.popitem(last=False)
        return cached


@dataclass(slots=True, eq=False)
class Stream:
    """One generation at the engine; `chunks` ends with None."""

    request: GenerateRequest
    position: int
    last: int
    number: int
    chunks: "asyncio.Queue[EngineChunk | None]" = field(default_factory=asyncio.Queue)

    @classmethod
    def of(cls, request: GenerateRequest) -> "Stream":
        """Return the stream that continues a request after its generated text."""
        position = count_tokens(request.generated)
        whole = natural_length(request.prompt, request.seed)
        last = max(position, min(whole, position + request.max_tokens))
        return cls(request, position, last, digest(request.prompt))

    def step(self, tokens: int, version: int) -> None:
        """Generate up to `tokens` tokens."""
        end = min(self.position + tokens, self.last)
        text = "".join(
            token(self.number, self.request.seed, at)
            for at in range(self.position, end)
        )
        self.chunks.put_nowait(EngineChunk(text, end - self.position, version))
        self.position = end


class Batcher:
    """Runs streams in steps; admits in order of arrival, without priorities.

    Parameters
    ----------
    pacing : Pacing
        Times, which may change between steps.
    slots : int
        Streams in the batch at once.
    cache_blocks : int
        Size of the prefix cache.
    version : int
        First weight version.
    """

    def __init__(
        self, pacing: Pacing, slots: int, cache_blocks: int, version: int
    ) -> None:
        self.pacing = pacing
        self.slots = slots
        self.cache = PrefixCache(cache_blocks)
        self.version = version
        self.waiting: deque[Stream] = deque()
        self.running: list[Stream] = []
        self.swap: tuple[int, asyncio.Future[None]] | None = None
        self.wake = asyncio.Event()
        self.saved_words = 0
        self.prefilled_words = 0

    def submit(self, stream: Stream) -> None:
        """Admit a stream to the queue."""
        self.waiting.append(stream)
        self.wake.set()

    def cancel(self, stream: Stream) -> None:
        """Take a stream out of the queue or the batch."""
        if stream in self.running:
            self.running.remove(stream)
        elif stream in self.waiting:
            self.waiting.remove(stream)

    async def switch(self, version: int) -> None:
        """Switch the version between two steps; running streams go on with it."""
        self.swap = (version, asyncio.get_running_loop().create_future())
        self.wake.set()
        await self.swap[1]

    async def run(self) -> None:
        """Run steps for ever."""
        while True:
            if self.swap is not None:
                await self.pause(self.pacing.swap_ms)
                self.version, done = self.swap
                self.swap = None
                done.set_result(None)
            duration_ms = self.fill_batch()
            if not self.running:
                self.wake.clear()
                await self.wake.wait()
                continue
            step_ms = self.pacing.token_ms
            step_ms += self.pacing.sequence_ms * len(self.running)
            await self.pause(duration_ms + step_ms * self.pacing.chunk_tokens)
            for stream in list(self.running):
                self.advance(stream)

    async def pause(self, duration_ms: float) -> None:
        """Take time, slowed down as set."""
        await asyncio.sleep(duration_ms * self.pacing.slowdown / 1000)

    def fill_batch(self) -> float:
        """Move streams into free slots; return the time of their prefill."""
        duration_ms = 0.0
        while self.waiting and len(self.running) < self.slots:
            stream = self.waiting.popleft()
            if stream.position >= stream.last:
                stream.chunks.put_nowait(None)
                continue
            text = stream.request.prompt + " " + stream.request.generated
            words = text.split()
            cached = self.cache.admit(words)
            self.saved_words += cached
            self.prefilled_words += len(words) - cached
            duration_ms += (len(words) - cached) * self.pacing.prefill_ms
            self.running.append(stream)
        return duration_ms

    def advance(self, stream: Stream) -> None:
        """Generate one step of a stream and end it when it is whole."""
        stream.step(self.pacing.chunk_tokens, self.version)
        if stream.position >= stream.last:
            stream.chunks.put_nowait(None)
            self.running.remove(stream)
