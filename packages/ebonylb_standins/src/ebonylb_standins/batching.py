"""Continuous batching and prefix cache of the engine stand-in."""

import asyncio
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from ebonylb.interfaces import EngineChunk, GenerateRequest

from .text import count_tokens, hash64, hash_prompt, natural_length, token

BLOCK_WORDS = 16  # prompts are cached in blocks of this many words


@dataclass(slots=True)
class Pacing:
    """Durations of the engine's work.

    Parameters
    ----------
    token_ms, sequence_ms : float
        A step takes ``token_ms + sequence_ms * running`` for each of its tokens.
    prefill_ms : float
        Time for each prompt word that is not cached.
    chunk_tokens : int
        Tokens of a stream in one step.
    swap_ms : float
        Pause of all streams while the weight version is switched.
    slowdown : float
        Factor on all durations.
    """

    token_ms: float
    sequence_ms: float
    prefill_ms: float
    chunk_tokens: int
    swap_ms: float
    slowdown: float


class PrefixCache:
    """Cache of prompt blocks that evicts the least recently used ones.

    Each block is identified by a hash of the prompt up to its end.

    Parameters
    ----------
    capacity : int
        Maximum number of blocks.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.blocks: OrderedDict[int, None] = OrderedDict()

    def admit(self, words: list[str]) -> int:
        """Cache a prompt; return how many of its leading words were already cached."""
        cached, prefix_hash, is_prefix_cached = 0, 0, True
        for start in range(0, len(words), BLOCK_WORDS):
            block = words[start : start + BLOCK_WORDS]
            prefix_hash = hash64(f"{prefix_hash} {' '.join(block)}")
            is_prefix_cached = is_prefix_cached and prefix_hash in self.blocks
            cached += len(block) if is_prefix_cached else 0
            self.blocks[prefix_hash] = None
            self.blocks.move_to_end(prefix_hash)
        while len(self.blocks) > self.capacity:
            self.blocks.popitem(last=False)
        return cached


@dataclass(slots=True, eq=False)
class Stream:
    """One generation at the engine.

    Attributes
    ----------
    position, end_position : int
        Numbers of tokens generated so far and at the end of the stream.
    chunks : asyncio.Queue
        Generated chunks, followed by None.
    """

    request: GenerateRequest
    position: int
    end_position: int
    prompt_digest: int
    chunks: "asyncio.Queue[EngineChunk | None]" = field(default_factory=asyncio.Queue)

    @classmethod
    def from_request(cls, request: GenerateRequest) -> "Stream":
        """Return a stream that resumes a request after its generated text."""
        position = count_tokens(request.generated)
        natural_end = natural_length(request.prompt, request.seed)
        end_position = max(position, min(natural_end, position + request.max_tokens))
        return cls(request, position, end_position, hash_prompt(request.prompt))

    def generate(self, tokens: int, version: int) -> None:
        """Generate a chunk of up to `tokens` tokens."""
        chunk_end = min(self.position + tokens, self.end_position)
        text = "".join(
            token(self.prompt_digest, self.request.seed, index)
            for index in range(self.position, chunk_end)
        )
        self.chunks.put_nowait(EngineChunk(text, chunk_end - self.position, version))
        self.position = chunk_end


class Batcher:
    """Runs streams in steps; admits in order of arrival, without priorities.

    Parameters
    ----------
    pacing : Pacing
        Durations, which may change between steps.
    slots : int
        Maximum number of streams in the batch.
    cache_blocks : int
        Capacity of the prefix cache in blocks.
    version : int
        Initial weight version.

    Attributes
    ----------
    cached_words, prefilled_words : int
        Prompt words found in the cache, and computed, so far.
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
        self.pending_switch: tuple[int, asyncio.Future[None]] | None = None
        self.work_available = asyncio.Event()
        self.cached_words = 0
        self.prefilled_words = 0

    def submit(self, stream: Stream) -> None:
        """Append a stream to the queue."""
        self.waiting.append(stream)
        self.work_available.set()

    def cancel(self, stream: Stream) -> None:
        """Remove a stream from the queue or the batch, if it is in either."""
        if stream in self.running:
            self.running.remove(stream)
        elif stream in self.waiting:
            self.waiting.remove(stream)

    async def switch(self, version: int) -> None:
        """Switch the weight version between two steps; running streams continue."""
        self.pending_switch = (version, asyncio.get_running_loop().create_future())
        self.work_available.set()
        await self.pending_switch[1]

    async def run(self) -> None:
        """Run steps until cancelled."""
        while True:
            if self.pending_switch is not None:
                await self.pause(self.pacing.swap_ms)
                self.version, switched = self.pending_switch
                self.pending_switch = None
                switched.set_result(None)
            prefill_ms = self.admit_waiting()
            if not self.running:
                self.work_available.clear()
                await self.work_available.wait()
                continue
            step_ms = self.pacing.token_ms
            step_ms += self.pacing.sequence_ms * len(self.running)
            await self.pause(prefill_ms + step_ms * self.pacing.chunk_tokens)
            for stream in list(self.running):
                self.advance(stream)

    async def pause(self, duration_ms: float) -> None:
        """Sleep for a duration, multiplied by the slowdown."""
        await asyncio.sleep(duration_ms * self.pacing.slowdown / 1000)

    def admit_waiting(self) -> float:
        """Move waiting streams into free slots; return their total prefill time."""
        duration_ms = 0.0
        while self.waiting and len(self.running) < self.slots:
            stream = self.waiting.popleft()
            if stream.position >= stream.end_position:
                stream.chunks.put_nowait(None)
                continue
            text = stream.request.prompt + " " + stream.request.generated
            words = text.split()
            cached = self.cache.admit(words)
            self.cached_words += cached
            self.prefilled_words += len(words) - cached
            duration_ms += (len(words) - cached) * self.pacing.prefill_ms
            self.running.append(stream)
        return duration_ms

    def advance(self, stream: Stream) -> None:
        """Generate one chunk of a stream and remove it when it is complete."""
        stream.generate(self.pacing.chunk_tokens, self.version)
        if stream.position >= stream.end_position:
            stream.chunks.put_nowait(None)
            self.running.remove(stream)
