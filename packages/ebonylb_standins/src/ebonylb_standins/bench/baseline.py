"""Plain baseline: FIFO, least outstanding, no owner, no windows, no hedges."""

import asyncio
import random
from contextlib import aclosing

from ebonylb.interfaces import CallRequest, GenerateRequest
from ebonylb.outcomes import Outcome, Refusal, RefusedError, StepError
from ebonylb.routing import Chunk, Executor

from .layout import delay_ms

TRIES = 3


class BaselineVm(Executor):
    """Entry VM that sends to the server with the fewest requests of its own."""

    def __init__(self, name, domain, servers):
        self.name, self.domain = name, domain
        self.servers = servers  # (domain, name, client)
        self.outstanding = {name: 0 for _, name, _ in servers}
        self.cross_region_bytes = 0

    def pick(self, service):
        """Return the server with the fewest outstanding requests; ties are rotated."""
        known = [s for s in self.servers if s[1].startswith(f"{service}-")]
        known.sort(key=lambda server: self.outstanding[server[1]])
        server = known[0]
        self.servers.remove(server)
        self.servers.append(server)
        return server

    async def generate(self, work):
        """Stream from one server; engines admit all."""
        domain, name, engine = self.pick(work.service)
        crosses = domain.region != self.domain.region
        self.outstanding[name] += 1
        payload = work.payload
        request = GenerateRequest(
            work.request_id, payload.prompt, "", payload.max_tokens, payload.seed
        )
        await asyncio.sleep(2 * delay_ms(self.domain, domain) / 1000)
        self.cross_region_bytes += crosses * len(payload.prompt)
        try:
            async with aclosing(engine.generate(request)) as chunks:
                async for chunk in chunks:
                    self.cross_region_bytes += crosses * len(chunk.text)
                    yield Chunk(chunk.text, chunk.tokens, chunk.version, name)
        finally:
            self.outstanding[name] -= 1

    async def call(self, work):
        """Call with a fixed number of tries."""
        for _ in range(TRIES):
            domain, name, service = self.pick(work.service)
            self.outstanding[name] += 1
            try:
                await asyncio.sleep(2 * delay_ms(self.domain, domain) / 1000)
                return await service.call(CallRequest(work.request_id, b"", "t"))
            except StepError:
                continue
            finally:
                self.outstanding[name] -= 1
        raise RefusedError(Refusal(Outcome.MAY_HAVE_RUN, "failed", "all tries failed"))


class BaselineSite:
    """All entry VMs of a site."""

    def __init__(self, domains, servers, profile, seed):
        self.domains = domains
        everywhere = [
            (domain, name, client)
            for domain in domains
            for name, client in servers[domain.name].items()
        ]
        self.vms = {}
        for domain in domains:
            for number in range(domain.entry_vms):
                name = f"{domain.name}-vm{number}"
                order = random.Random(f"{seed}/{name}")
                mixed = order.sample(everywhere, len(everywhere))
                self.vms[name] = BaselineVm(name, domain, mixed)

    def executor(self, vm):
        """Return a VM."""
        return self.vms[vm]

    def may_hedge(self, vm, party):
        """Make no second copies."""
        return False

    @property
    def cross_region_bytes(self):
        """Bytes that crossed so far."""
        return sum(vm.cross_region_bytes for vm in self.vms.values())

    async def close(self):
        """Nothing to end."""
