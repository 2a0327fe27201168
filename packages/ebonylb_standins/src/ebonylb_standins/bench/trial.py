"""Trial of one site: its servers, callers and arrivals."""

import asyncio
import itertools
import random

from ebonylb.outcomes import RefusedError
from ebonylb.routing import CallWork, GenerateWork, Work

from .baseline import BaselineSite
from .engines import CHUNK_TOKENS, PREFILL_MS, BenchEngine, BenchPlain, step_ms
from .entry_vms import PolicySite
from .layout import CLIENT_MS, SITES

KINDS = {"policy": PolicySite, "baseline": BaselineSite}
FULL_LOAD_BATCH = 48  # batch size that counts as 100% load in a scenario
PROMPT_BYTES = 800
FIRST_CALLER_SEED = 1_000_000  # lower seeds are trainers', whose lengths are set
FINISH_TIMEOUT_S = 60.0


class Trial:
    """A site under one kind of routing.

    Parameters
    ----------
    site_name : str
        Name of the site.
    kind : str
        ``"policy"`` or ``"baseline"``.
    profile : str
        Profile of the policy.
    seed : int
        Seed of all random choices.
    failure_share : float
        Share of the plain calls that fail.
    """

    def __init__(self, site_name, kind, profile, seed, failure_share=0.0):
        self.rng = random.Random(seed)
        self.domains = SITES[site_name]
        self.lengths = {}
        self.engines, self.plain_services, servers = [], [], {}
        for domain in self.domains:
            domain_servers = servers[domain.name] = {}
            for number in range(domain.engines):
                name = f"lm-{domain.name}-{number}"
                domain_servers[name] = BenchEngine(name, self.lengths)
                self.engines.append(domain_servers[name])
            for number in range(domain.plain_services):
                name = f"plain-{domain.name}-{number}"
                domain_servers[name] = BenchPlain(name, failure_share, self.rng)
                self.plain_services.append(domain_servers[name])
        self.site = KINDS[kind](self.domains, servers, profile, seed)
        self.request_numbers = itertools.count()
        self.payload_bytes = 0
        self.vms = list(self.site.vms)
        # Arrivals follow local capacity, so that no region needs servers of another.
        self.vm_weights = [
            domain.engines / domain.entry_vms
            for domain in self.domains
            for _ in range(domain.entry_vms)
        ]

    def full_load_per_s(self, tokens):
        """Return the requests per s that keep all batches at `FULL_LOAD_BATCH`."""
        started_per_step = FULL_LOAD_BATCH * CHUNK_TOKENS / tokens
        duration_ms = step_ms(FULL_LOAD_BATCH) + started_per_step * PREFILL_MS
        return len(self.engines) * 1000 * started_per_step / duration_ms

    def work(self, party, tokens):
        """Return a generation with a unique prompt."""
        number = next(self.request_numbers)
        prompt = f"{number} ".ljust(PROMPT_BYTES, ".")
        payload = GenerateWork(prompt, tokens, FIRST_CALLER_SEED + number)
        return Work(f"r{number}", party, "lm", payload, deadline_ms=60_000.0)

    def call_work(self, party):
        """Return a plain call."""
        number = next(self.request_numbers)
        return Work(f"c{number}", party, "plain", CallWork(b"%d" % number, "t"))

    def choose_vm(self):
        """Return a random entry VM for the next request, weighted by capacity."""
        return self.rng.choices(self.vms, self.vm_weights)[0]

    async def send(self, work, vm, on_tokens=None):
        """Send a generation; return the wait for its first token and its latency in ms.

        Returns None if it was refused.
        """
        loop = asyncio.get_running_loop()
        started_s, first_token_s = loop.time(), None
        await asyncio.sleep(2 * CLIENT_MS / 1000)
        self.payload_bytes += len(work.payload.prompt)
        try:
            async for chunk in self.site.executor(vm).generate(work):
                first_token_s = first_token_s or loop.time()
                self.payload_bytes += len(chunk.text)
                if on_tokens is not None:
                    on_tokens(chunk.tokens)
        except RefusedError:
            return None
        return 1000 * ((first_token_s or loop.time()) - started_s), 1000 * (
            loop.time() - started_s
        )

    async def send_arrivals(self, party, tokens, per_s, end_s, results):
        """Send generations at random times until `end_s`; return their tasks.

        `results` receives pairs of the arrival in s and the result of `send`.
        """
        loop = asyncio.get_running_loop()
        tasks = []

        async def send_one(work, vm, started_s):
            results.append((started_s, await self.send(work, vm)))

        while loop.time() < end_s:
            await asyncio.sleep(self.rng.expovariate(per_s))
            work, vm = self.work(party, tokens), self.choose_vm()
            tasks.append(asyncio.create_task(send_one(work, vm, loop.time())))
        return tasks

    async def finish(self, tasks):
        """Wait for the requests in flight and close."""
        if tasks:
            await asyncio.wait(tasks, timeout=FINISH_TIMEOUT_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.site.close()


def quantile(values, fraction):
    """Return a quantile, or NaN if there are no values (all requests refused)."""
    if not values:
        return float("nan")
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


def response_times(results, since_s, value_index):
    """Return waits (`value_index` 0) or latencies (1) in ms of requests since then."""
    return [
        response[value_index]
        for started_s, response in results
        if response and started_s >= since_s
    ]


def refused_share(results):
    """Return the share of refused requests."""
    return sum(response is None for _, response in results) / max(1, len(results))
