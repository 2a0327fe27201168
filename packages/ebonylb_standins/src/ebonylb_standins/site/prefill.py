"""Chunked prefill of a stand-in engine.

An engine processes prompts in order of arrival, one chunk between two tokens of the
requests that are being generated. A long prompt therefore delays the first event of
every prompt behind it, and each event of the running requests.
"""

import asyncio
from collections import OrderedDict

from ebonylb.interfaces import Clock

CHUNK_TOKENS = 2_048
TOKEN_MS = 0.75  # one token of each running request, generated between two chunks
MAX_CACHED_PROMPTS = 64


class ChunkedPrefill:
    """Prefill of one engine.

    Parameters
    ----------
    clock : Clock
        Source of time.
    tokens_per_ms : float
        Prompt tokens that the engine processes in a millisecond.

    Attributes
    ----------
    busy_ms : float
        Time spent on chunks, in which no token was generated.
    generating : int
        Requests whose prompt has been processed and that are still running.
    waiting : int
        Prompts that are not processed yet.
    """

    def __init__(self, clock: Clock, tokens_per_ms: float) -> None:
        self.clock = clock
        self.tokens_per_ms = tokens_per_ms
        self.busy_ms = 0.0
        self.generating = 0
        self.waiting = 0
        self.turn = asyncio.Lock()  # wakes its waiters in order of arrival
        self.cached_prompts: OrderedDict[str, None] = OrderedDict()

    async def process(self, prompt: str, tokens: int, slowdown: float) -> None:
        """Process a prompt when its turn comes; a cached prompt takes no time."""
        self.waiting += 1
        try:
            await self.process_in_turn(prompt, tokens, slowdown)
        finally:
            self.waiting -= 1

    async def process_in_turn(self, prompt: str, tokens: int, slowdown: float) -> None:
        """Process a prompt after those that arrived before it."""
        async with self.turn:
            if prompt in self.cached_prompts:
                return
            while tokens > 0:
                chunk_ms = min(tokens, CHUNK_TOKENS) / self.tokens_per_ms * slowdown
                token_ms = TOKEN_MS * slowdown if self.generating else 0.0
                await self.clock.sleep_ms(chunk_ms + token_ms)
                self.busy_ms += chunk_ms
                tokens -= CHUNK_TOKENS
            if prompt:
                self.cached_prompts[prompt] = None
                if len(self.cached_prompts) > MAX_CACHED_PROMPTS:
                    self.cached_prompts.popitem(last=False)

    async def generate(self, duration_ms: float) -> None:
        """Wait for tokens that take `duration_ms` without any prefill."""
        while duration_ms > 0:
            busy_before_ms = self.busy_ms
            await self.clock.sleep_ms(duration_ms)
            duration_ms = self.busy_ms - busy_before_ms
