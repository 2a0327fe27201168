"""Prompt work of this entry VM's items on each engine, and its cost for other items.

An engine processes prompts in order of arrival, in chunks between the tokens of its
running requests. A long prompt delays the first event of every prompt sent after it,
and the next events of all running requests.
"""

import logging
import statistics
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field
from typing import Protocol

from ..fleet import ListedServer
from ..interfaces import Clock

logger = logging.getLogger(__name__)

# Rate of the slowest engines of the deployments, assumed before one was observed. With
# a rate that is too low, a long prompt waits for the first event of the one before it,
# which then shows the true rate.
DEFAULT_TOKENS_PER_MS = 437.0
# Rates outside of this range are errors of measurement: ten times below the slowest
# engines, and five times above the fastest ones (942).
MIN_TOKENS_PER_MS, MAX_TOKENS_PER_MS = 44.0, 4_700.0
# The median of this many observations is used. A disturbance of 600 ms covers at most
# four long prompts, so that it cannot move the median.
RATE_OBSERVATIONS = 9
# Four chunks of an engine. A shorter prompt never counts as long, whatever the rate:
# the deployments without long prompts have up to 2,500 tokens.
MIN_LONG_TOKENS = 8_192
# A long prompt is sent when the ones before it take no more than this many gaps, so
# that its engine has a prompt to process while the first event of the last one is on
# its way.
MAX_GAPS_BEFORE_LONG = 1.0
# A prompt without an event this many gaps after its expected first event shows that its
# engine is slower than assumed, or lost. It gets no other long prompt meanwhile.
OVERDUE_GAPS = 3.0
# Cost of a long prompt on an engine where short ones wait; larger than any other part.
SHORT_WAITING_COST = 10.0
# The item waits for its own prompt, and so do the running requests of the engine. With
# a weight of 1, a group whose prompt is being processed would spread over all engines.
OWN_PROMPT_WEIGHT = 2.0
# Outputs longer than this many events don't make the wait for the first one cheaper.
MAX_COST_EVENTS = 8.0
# While long prompts wait, the engines are checked this often: a fifth of the prefill of
# 16,000 tokens on the fastest engines is 3.4 ms, and of 64,000 on the slowest 29 ms.
RETRY_MS = 10.0
MAX_ENGINES = 4_000
LOGGED_RATE_CHANGE = 0.25  # smaller changes of a rate are not logged


class PromptNeed(Protocol):
    """What the prompt load reads of an item's requirements."""

    service: str
    due_ms: float
    remaining_events: float
    prompt_tokens: int


@dataclass(slots=True)
class PendingPrompt:
    """A prompt that was sent to an engine and has no event yet.

    Attributes
    ----------
    need : PromptNeed
        Requirements of its item.
    tokens : int
        Tokens to process; 0 if the engine has the prompt in its cache.
    work_tokens : int
        Tokens that the engine may have processed since the prompt was sent: its own,
        those before it, and those sent later.
    is_alone : bool
        Whether no other long prompt was on the engine since this one was sent.
    gap_ms : float
        Usual gap between events when it was sent.
    expected_ms : float
        Time at which its first event was expected when it was sent.
    """

    need: PromptNeed
    tokens: int
    is_long: bool
    sent_ms: float
    work_tokens: int
    is_alone: bool
    gap_ms: float
    expected_ms: float


@dataclass(slots=True)
class EnginePrompts:
    """Prompt work of one incarnation of an engine.

    Attributes
    ----------
    name : str
        Name of the engine.
    pending : dict of int to PendingPrompt
        Prompts without an event, in the order in which they were sent.
    free_at_ms : float
        Expected time at which all of them are processed.
    rates : deque of float
        Last observed rates in tokens per ms.
    logged_rate : float
        Rate in the last log line.
    """

    name: str
    pending: dict[int, PendingPrompt] = field(default_factory=dict)
    free_at_ms: float = 0.0
    rates: deque[float] = field(default_factory=lambda: deque(maxlen=RATE_OBSERVATIONS))
    logged_rate: float = DEFAULT_TOKENS_PER_MS

    @property
    def tokens_per_ms(self) -> float:
        """Observed rate, or the default before the first observation."""
        if not self.rates:
            return DEFAULT_TOKENS_PER_MS
        return statistics.median_low(self.rates)

    @property
    def has_long(self) -> bool:
        """Whether a long prompt has no event yet."""
        return any(prompt.is_long for prompt in self.pending.values())

    @property
    def has_short(self) -> bool:
        """Whether a short prompt has no event yet."""
        return any(not prompt.is_long for prompt in self.pending.values())


class PromptLoad:
    """Pending prompt tokens and prefill rate of each engine, and their consequences.

    It has no effect on a service where no long prompt waits or is sent: all costs are
    then 0, and all engines are admitted.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    long_counts : Counter of str
        Long prompts without an event by service.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.engines: OrderedDict[tuple[str, int | None], EnginePrompts] = OrderedDict()
        self.locations: dict[int, EnginePrompts] = {}
        self.long_counts: Counter[str] = Counter()

    def find(self, server: ListedServer) -> EnginePrompts | None:
        """Return the prompt work of an engine, or None if it never had any."""
        return self.engines.get((server.name, server.started_ms))

    def tokens_per_ms(self, server: ListedServer) -> float:
        """Return the prefill rate of an engine."""
        engine = self.find(server)
        return engine.tokens_per_ms if engine else DEFAULT_TOKENS_PER_MS

    def is_long(self, server: ListedServer, tokens: int, gap_ms: float) -> bool:
        """Return whether an engine needs longer than a gap for this many tokens."""
        if tokens < MIN_LONG_TOKENS:
            return False
        return tokens > self.tokens_per_ms(server) * gap_ms

    def may_be_long(self, need: PromptNeed) -> bool:
        """Return whether the prompt of an item may count as long on some engine."""
        return need.prompt_tokens >= MIN_LONG_TOKENS

    def pending_ms(self, server: ListedServer, gap_ms: float) -> float:
        """Return the time that the pending prompts of an engine will take."""
        engine = self.find(server)
        if engine is None or not engine.pending:
            return 0.0
        now = self.clock.monotonic_ms()
        pending_ms = max(0.0, engine.free_at_ms - now)
        for prompt in engine.pending.values():
            if prompt.is_long and now - prompt.expected_ms > OVERDUE_GAPS * gap_ms:
                return max(pending_ms, prompt.tokens / engine.tokens_per_ms)
        return pending_ms

    def begin(
        self, server: ListedServer, need: PromptNeed, cached: bool, gap_ms: float
    ) -> None:
        """Record that an item is sent to an engine.

        Parameters
        ----------
        cached : bool
            Whether the engine has processed the same prompt before.
        """
        key = (server.name, server.started_ms)
        engine = self.engines.get(key)
        if engine is None:
            engine = self.engines[key] = EnginePrompts(server.name)
            self.forget_idle_engines()
        now = self.clock.monotonic_ms()
        tokens = 0 if cached else need.prompt_tokens
        is_long = self.is_long(server, tokens, gap_ms)
        ahead = list(engine.pending.values())
        if is_long:
            self.long_counts[need.service] += 1
            for prompt in ahead:
                prompt.is_alone = False
        for prompt in ahead:
            prompt.work_tokens += tokens
        rate = engine.tokens_per_ms
        engine.free_at_ms = max(now, engine.free_at_ms) + tokens / rate
        engine.pending[id(need)] = PendingPrompt(
            need,
            tokens,
            is_long,
            now,
            tokens + sum(prompt.tokens for prompt in ahead),
            not engine.has_long,
            gap_ms,
            engine.free_at_ms + gap_ms,
        )
        self.locations[id(need)] = engine

    def forget_idle_engines(self) -> None:
        """Drop the oldest engines without prompts beyond `MAX_ENGINES`."""
        if len(self.engines) <= MAX_ENGINES:
            return
        for key, engine in list(self.engines.items()):
            if not engine.pending:
                del self.engines[key]
                return

    def record_first_event(self, need: PromptNeed) -> None:
        """Record the first event of an item, whose prompt has thus been processed."""
        engine = self.locations.get(id(need))
        if engine is None:
            return
        prompt = engine.pending[id(need)]
        now = self.clock.monotonic_ms()
        if prompt.is_long:
            self.observe_rate(engine, prompt, now - prompt.sent_ms - prompt.gap_ms)
        later_tokens = 0
        for other in reversed(engine.pending.values()):
            if other is prompt:
                break
            later_tokens += other.tokens
        # Prompts sent later may have been processed meanwhile, which is not known.
        later_ms = later_tokens / engine.tokens_per_ms
        engine.free_at_ms = min(engine.free_at_ms, now + later_ms)
        self.end(need)

    def observe_rate(
        self, engine: EnginePrompts, prompt: PendingPrompt, elapsed_ms: float
    ) -> None:
        """Record the rate that the time to the first event of a long prompt shows.

        If other long prompts were on the engine, that time shows only an upper bound,
        which is recorded if the assumed rate is above it.
        """
        rate = prompt.work_tokens / max(elapsed_ms, 1.0)
        rate = min(MAX_TOKENS_PER_MS, max(MIN_TOKENS_PER_MS, rate))
        if prompt.is_alone or rate < engine.tokens_per_ms:
            engine.rates.append(rate)
            if abs(engine.tokens_per_ms / engine.logged_rate - 1) > LOGGED_RATE_CHANGE:
                engine.logged_rate = engine.tokens_per_ms
                logger.info(
                    "prefill rate observed",
                    extra={
                        "server": engine.name,
                        "tokens_per_ms": round(engine.tokens_per_ms),
                        "observations": len(engine.rates),
                        "elapsed_ms": round(elapsed_ms, 1),
                    },
                )

    def end(self, need: PromptNeed) -> None:
        """Record that an item's run has ended, or that its prompt is processed."""
        engine = self.locations.pop(id(need), None)
        if engine is None:
            return
        prompt = engine.pending.pop(id(need))
        if prompt.is_long:
            self.long_counts[need.service] -= 1
        left_tokens = sum(other.tokens for other in engine.pending.values())
        engine.free_at_ms = min(
            engine.free_at_ms,
            self.clock.monotonic_ms() + left_tokens / engine.tokens_per_ms,
        )

    def is_prefilling(self, server: ListedServer) -> bool:
        """Return whether a long prompt delays the events of an engine's requests.

        Gaps between them then show nothing of the engine's speed.
        """
        engine = self.find(server)
        return engine is not None and engine.has_long

    def admits(
        self, server: ListedServer, need: PromptNeed, cached: bool, gap_ms: float
    ) -> bool:
        """Return whether an item may be sent to an engine now.

        A long prompt waits here rather than on an engine that still has prompts to
        process, where short ones would have to wait for both. The engine is not idle.
        """
        tokens = 0 if cached else need.prompt_tokens
        if not self.is_long(server, tokens, gap_ms):
            return True
        return self.pending_ms(server, gap_ms) <= MAX_GAPS_BEFORE_LONG * gap_ms

    def extra_cost(
        self, server: ListedServer, need: PromptNeed, cached: bool, gap_ms: float
    ) -> float:
        """Return the cost of an engine's pending prompts, and of the item's own prompt.

        The unit is that of `ServerSelector.engine_cost`: the time relative to the
        duration of the item, or of `MAX_COST_EVENTS` events if it is longer.
        """
        has_long = bool(self.long_counts.get(need.service))
        if need.prompt_tokens < MIN_LONG_TOKENS and not has_long:
            return 0.0
        tokens = 0 if cached else need.prompt_tokens
        is_long = self.is_long(server, tokens, gap_ms)
        if not is_long and not has_long:
            return 0.0
        own_ms = tokens / self.tokens_per_ms(server)
        wait_ms = self.pending_ms(server, gap_ms)
        events = min(MAX_COST_EVENTS, max(1.0, need.remaining_events))
        cost = (wait_ms + OWN_PROMPT_WEIGHT * own_ms) / (events * gap_ms)
        engine = self.find(server)
        if (
            engine is not None
            and is_long
            and engine.has_short
            and self.slack_ms(need, own_ms, gap_ms) > MAX_GAPS_BEFORE_LONG * gap_ms
        ):
            cost += SHORT_WAITING_COST
        return cost

    def slack_ms(self, need: PromptNeed, own_ms: float, gap_ms: float) -> float:
        """Return how long an item can wait and still be ready when it is due."""
        work_ms = own_ms + need.remaining_events * gap_ms
        return need.due_ms - self.clock.monotonic_ms() - work_ms

    def move_cost_ms(
        self, server: ListedServer, need: PromptNeed, gap_ms: float
    ) -> float:
        """Return the time that a run with a long prompt loses when it moves."""
        if not self.is_long(server, need.prompt_tokens, gap_ms):
            return 0.0
        return need.prompt_tokens / self.tokens_per_ms(server)

    def retry_ms(self, default_ms: float) -> float:
        """Return the time after which waiting items are to be placed again."""
        return RETRY_MS if any(self.long_counts.values()) else default_ms
