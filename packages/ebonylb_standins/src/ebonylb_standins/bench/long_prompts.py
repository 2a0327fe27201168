"""Long prompts beside short ones on the same engines, on virtual time.

The product's batches and placement of one entry VM run against stand-in engines with
chunked prefill. The output is a table of the time from the submission of a batch to the
first event of each of its items, by prompt length.

Run ``python -m ebonylb_standins.bench.long_prompts [--VARIANT] [PATTERN...]``.
"""

import asyncio
import json
import random
import sys
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ..histories.virtual_time import run_virtual
from ..site.world import EntryVm, World
from .long_prompt_variants import VARIANTS
from .trial import quantile

ENGINES = 6
# The slower end of the rates that the users' engines have; the other one is 942.
PREFILL_TOKENS_PER_MS = 437.0
DURATION_MS = 20_000.0
DRAIN_MS = 15_000.0
SHORT_TOKENS = (260, 2_500)
LONG_TOKENS = (16_000, 32_000, 64_000)
SHORT_INTERVAL_MS = 60.0
GROUP_SIZE = 4
MEDIAN_EVENTS, LENGTH_SIGMA, MAX_EVENTS = 14, 0.7, 100
FLIP_MS = 5_000.0


@dataclass
class Trial:
    """One run of a load pattern.

    Parameters
    ----------
    seed : int
        Seed of arrivals and lengths, which do not depend on the placement.
    prepare : callable
        Called with the entry VM before the first batch.
    duration_ms : float
        Time in which batches are submitted.
    """

    seed: int
    prepare: Callable[[EntryVm], None] = lambda vm: None
    duration_ms: float = DURATION_MS
    world: World = field(init=False)
    vm: EntryVm = field(init=False)
    submitted_ms: dict[str, float] = field(default_factory=dict)
    prompt_tokens: dict[str, int] = field(default_factory=dict)
    idle_waits: int = 0

    def start(self) -> None:
        """Start the entry VM on the running loop."""
        self.world = World(
            ENGINES, plain_services=0, prefill_tokens_per_ms=PREFILL_TOKENS_PER_MS
        )
        self.vm = self.world.start("a")
        self.prepare(self.vm)

    def draw_events(self, rng: random.Random) -> int:
        """Return the length of an output in events."""
        events = round(rng.lognormvariate(0, LENGTH_SIGMA) * MEDIAN_EVENTS)
        return min(MAX_EVENTS, max(1, events))

    async def submit(
        self, batch_id: str, lengths: list[int], tokens: int, **options
    ) -> None:
        """Submit a batch whose groups have prompts of the given length."""
        batch = self.world.batch(batch_id, lengths, prompt_tokens=tokens, **options)
        now = self.world.clock.monotonic_ms()
        for item in batch.items:
            self.submitted_ms[item.item_id] = now
            self.prompt_tokens[item.item_id] = tokens
        if await self.vm.batches.submit(batch) is not None:
            raise RuntimeError(f"batch {batch_id} refused")

    async def send_short(self) -> None:
        """Submit groups with short prompts at random intervals."""
        rng = random.Random(self.seed)
        number = 0
        while (now := self.world.clock.monotonic_ms()) < self.duration_ms:
            lengths = [self.draw_events(rng) for _ in range(GROUP_SIZE)]
            tokens = rng.randint(*SHORT_TOKENS)
            await self.submit(f"s{number}", lengths, tokens)
            number += 1
            next_ms = now + rng.expovariate(1 / SHORT_INTERVAL_MS)
            await self.world.clock.sleep_ms(
                max(0.0, next_ms - self.world.clock.monotonic_ms())
            )

    async def send_long(
        self, interval_ms: float, burst: int = 1, samples: int = 1, **options
    ) -> None:
        """Submit `burst` groups with long prompts at regular intervals."""
        rng = random.Random(self.seed + 1_000)
        number = 0
        while self.world.clock.monotonic_ms() < self.duration_ms:
            for _ in range(burst):
                lengths = [self.draw_events(rng) for _ in range(samples)]
                tokens = rng.choice(LONG_TOKENS)
                await self.submit(
                    f"l{number}", lengths, tokens, group_size=samples, **options
                )
                number += 1
            await self.world.clock.sleep_ms(interval_ms)

    async def watch_idle_engines(self) -> None:
        """Count the checks at which an engine had no work while an item waited."""
        while True:
            await self.world.clock.sleep_ms(25.0)
            now = self.world.clock.monotonic_ms()
            waiting = [w for w in self.vm.placement.waiters if now - w.queued_ms > 25]
            servers = self.world.port.servers
            self.idle_waits += any(
                self.vm.placement.fits(server, waiter.need)
                for server in self.vm.directory.ready("lm")
                if servers[server.name].mode == "serves"
                and not servers[server.name].running
                for waiter in waiting
            )

    def delays_ms(self) -> dict[str, list[float]]:
        """Return the times to the first event by class of prompt length."""
        delays: dict[str, list[float]] = defaultdict(list)
        for item, began_ms in self.submitted_ms.items():
            tokens = self.prompt_tokens[item]
            name = "short" if tokens <= SHORT_TOKENS[1] else str(tokens)
            first_ms = self.world.port.first_event_ms.get(item, float("inf"))
            delays[name].append(first_ms - began_ms)
            if name != "short":
                last_ms = self.world.port.last_event_ms.get(item, float("inf"))
                delays["long, to the last event"].append(last_ms - began_ms)
        return delays


async def no_long_prompts(trial: Trial) -> None:
    """Send short prompts only."""
    await trial.send_short()


async def one_long_prompt(trial: Trial) -> None:
    """Send one long prompt every 400 ms."""
    await asyncio.gather(trial.send_short(), trial.send_long(400))


async def flood(trial: Trial) -> None:
    """Send 24 long prompts at once every 4 s."""
    await asyncio.gather(trial.send_short(), trial.send_long(4_000, burst=24))


async def one_domain(trial: Trial) -> None:
    """Send long prompts that only the engines of one failure domain can serve."""
    for name, server in trial.world.port.servers.items():
        if trial.world.domains[name] == "north":
            server.versions["m"] = 2
    trial.vm.refresh()
    await asyncio.gather(trial.send_short(), trial.send_long(300, min_version=2))


async def flipping_mix(trial: Trial) -> None:
    """Send many long prompts for 5 s, then none for 5 s."""

    async def send_half(start_ms: float) -> None:
        await trial.world.clock.sleep_ms(start_ms)
        rng = random.Random(trial.seed + round(start_ms))
        number = 0
        while trial.world.clock.monotonic_ms() < start_ms + FLIP_MS:
            batch_id = f"l{start_ms:.0f}-{number}"
            await trial.submit(
                batch_id, [trial.draw_events(rng)], rng.choice(LONG_TOKENS)
            )
            number += 1
            await trial.world.clock.sleep_ms(60)

    await asyncio.gather(trial.send_short(), send_half(0.0), send_half(2 * FLIP_MS))


async def shared_prompts(trial: Trial) -> None:
    """Send groups of eight samples that share one long prompt."""
    await asyncio.gather(trial.send_short(), trial.send_long(800, samples=8))


async def lost_engine(trial: Trial) -> None:
    """Lose the engine that processes most long prompts, twice, for 2 s."""

    async def lose() -> None:
        for _ in range(2):
            await trial.world.clock.sleep_ms(4_000)
            server = max(
                trial.world.port.servers.values(),
                key=lambda s: (s.prefill.waiting, s.running),
            )
            server.mode = "absent"
            await trial.world.clock.sleep_ms(2_000)
            server.mode = "serves"

    await asyncio.gather(trial.send_short(), trial.send_long(150), lose())


def use_variant(name: str) -> Callable[[EntryVm], None]:
    """Return a function that gives an entry VM another rule for long prompts."""

    def prepare(vm: EntryVm) -> None:
        vm.placement.prompt_load = VARIANTS[name](vm.placement.clock)

    return prepare


Pattern = Callable[[Trial], Awaitable[None]]
PATTERNS: dict[str, Pattern] = {
    pattern.__name__: pattern
    for pattern in (
        no_long_prompts,
        one_long_prompt,
        flood,
        one_domain,
        flipping_mix,
        shared_prompts,
        lost_engine,
    )
}


def run_trial(pattern: Pattern, trial: Trial) -> Trial:
    """Run a pattern until all outputs are complete, and return the trial."""

    async def scenario() -> None:
        trial.start()
        watch = asyncio.create_task(trial.watch_idle_engines())
        await pattern(trial)
        limit_ms = trial.world.clock.monotonic_ms() + DRAIN_MS
        while (
            len(trial.world.port.first_event_ms) < len(trial.submitted_ms)
            or trial.vm.ownership.holders
        ) and trial.world.clock.monotonic_ms() < limit_ms:
            await trial.world.clock.sleep_ms(50)
        watch.cancel()
        trial.vm.stop()

    run_virtual(scenario())
    return trial


def measure(pattern: Pattern, seeds: int = 3, prepare=lambda vm: None) -> dict:
    """Return count, p50 and p99 of the delays by class, over several seeds."""
    delays: dict[str, list[float]] = defaultdict(list)
    idle_waits = 0
    for seed in range(seeds):
        trial = run_trial(pattern, Trial(seed, prepare))
        idle_waits += trial.idle_waits
        for name, values in trial.delays_ms().items():
            delays[name].extend(values)
    rows = {
        name: {
            "items": len(values),
            "p50_ms": round(quantile(values, 0.5), 1),
            "p99_ms": round(quantile(values, 0.99), 1),
        }
        for name, values in sorted(delays.items())
    }
    return {"rows": rows, "idle_waits": idle_waits}


def main(arguments: list[str]) -> None:
    """Print the delays under each pattern, or under the named ones.

    An argument such as ``--baseline`` names one of the `VARIANTS`.
    """
    variants = [name for name in VARIANTS if f"--{name}" in arguments]
    prepare = use_variant(variants[0] if variants else "chosen")
    names = [name for name in arguments if name in PATTERNS] or list(PATTERNS)
    for name in names:
        figures = measure(PATTERNS[name], prepare=prepare)
        if "--json" in arguments:
            print(json.dumps({name: figures}))
            continue
        print(f"{name} (idle engine while an item waited: {figures['idle_waits']})")
        for kind, row in figures["rows"].items():
            print(
                f"  {kind:>24} {row['items']:6} items"
                f" p50 {row['p50_ms']:8} ms p99 {row['p99_ms']:8} ms"
            )


if __name__ == "__main__":
    main(sys.argv[1:])
