"""Plain baseline: FIFO, least outstanding requests, no owners, windows or hedges."""

import asyncio
import random
from contextlib import aclosing

from ebonylb.interfaces import CallRequest, GenerateRequest
from ebonylb.outcomes import Outcome, Refusal, RefusedError, StepError
from ebonylb.routing import Chunk, Executor

from .layout import delay_ms

MAX_ATTEMPTS = 3


class BaselineVm(Executor):
    """Entry VM that sends to the server with its fewest own outstanding requests."""

    def __init__(self, name, domain, servers):
        self.name, self.domain = name, domain
        self.servers = servers  # (domain, name, client)
        self.outstanding_requests = {name: 0 for _, name, _ in servers}
        self.cross_region_bytes = 0

    def choose_server(self, service):
        """Return the server with the fewest outstanding requests; rotate equal ones."""
        candidates = [s for s in self.servers if s[1].startswith(f"{service}-")]
        candidates.sort(key=lambda server: self.outstanding_requests[server[1]])
        server = candidates[0]
        self.servers.remove(server)
        self.servers.append(server)
        return server

    async def generate(self, work):
        """Stream from one server; engines accept every request."""
        domain, name, engine = self.choose_server(work.service)
        crosses_region = domain.region != self.domain.region
        self.outstanding_requests[name] += 1
        payload = work.payload
        request = GenerateRequest(
            work.request_id, payload.prompt, "", payload.max_tokens, payload.seed
        )
        await asyncio.sleep(2 * delay_ms(self.domain, domain) / 1000)
        self.cross_region_bytes += crosses_region * len(payload.prompt)
        try:
            async with aclosing(engine.generate(request)) as chunks:
                async for chunk in chunks:
                    self.cross_region_bytes += crosses_region * len(chunk.text)
                    yield Chunk(chunk.text, chunk.tokens, chunk.version, name)
        finally:
            self.outstanding_requests[name] -= 1

    async def call(self, work):
        """Call a server, with up to `MAX_ATTEMPTS` attempts.

        Raises
        ------
        RefusedError
            All attempts failed.
        """
        for _ in range(MAX_ATTEMPTS):
            domain, name, service = self.choose_server(work.service)
            self.outstanding_requests[name] += 1
            try:
                await asyncio.sleep(2 * delay_ms(self.domain, domain) / 1000)
                return await service.call(CallRequest(work.request_id, b"", "t"))
            except StepError:
                continue
            finally:
                self.outstanding_requests[name] -= 1
        raise RefusedError(Refusal(Outcome.MAY_HAVE_RUN, "failed", "all tries failed"))


class BaselineSite:
    """All entry VMs of a site with baseline routing; the profile is ignored."""

    def __init__(self, domains, servers, profile, seed):
        self.domains = domains
        all_servers = [
            (domain, name, client)
            for domain in domains
            for name, client in servers[domain.name].items()
        ]
        self.vms = {}
        for domain in domains:
            for number in range(domain.entry_vms):
                name = f"{domain.name}-vm{number}"
                rng = random.Random(f"{seed}/{name}")
                shuffled_servers = rng.sample(all_servers, len(all_servers))
                self.vms[name] = BaselineVm(name, domain, shuffled_servers)

    def executor(self, vm):
        """Return the entry VM of a name, which runs work itself."""
        return self.vms[vm]

    def try_spend_hedge(self, vm, party):
        """Return False: the baseline never hedges."""
        return False

    @property
    def cross_region_bytes(self):
        """Return the bytes sent between regions so far."""
        return sum(vm.cross_region_bytes for vm in self.vms.values())

    async def close(self):
        """Do nothing; the baseline has no background tasks."""
