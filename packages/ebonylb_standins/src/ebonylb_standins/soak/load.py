"""Callers and trainers of a soak, and what they check while it runs."""

import asyncio
import json
import random
from typing import TYPE_CHECKING

import aiohttp

from ..site.http_servers import event_text

if TYPE_CHECKING:
    from .run import SoakSite

# Results may be late while faults last; after the last fault all must come.
SETTLE_S = 30.0


class Trainer:
    """Hands in batches, reads them, and remembers every position it has read."""

    def __init__(self, site: "SoakSite", name: str, rng: random.Random) -> None:
        self.site = site
        self.name = name
        self.random = rng
        self.accepted: dict[str, list[int]] = {}
        self.ended: set[str] = set()
        self.seen: dict[str, dict[int, dict]] = {}

    async def run(self, until_s: float) -> None:
        """Hand in and read batches."""
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < until_s:
            batch_id = f"{self.name}-{number}"
            lengths = [self.random.choice([1, 3, 8, 25, 60]) for _ in range(8)]
            if await self.submit(batch_id, lengths, until_s):
                self.accepted[batch_id] = lengths
                ends = min(until_s, loop.time() + 4)
                await self.read(batch_id, ends)
                if self.random.random() < 0.2:
                    await self.end(batch_id)
            number += 1

    async def call(self, method: str, path: str, request_id: str = "", body=b"", **h):
        """Call any entry VM; None when there was no whole answer."""
        vm = self.random.choice(list(self.site.vms.values()))
        try:
            return await self.site.call(vm, method, path, request_id, body, **h)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def submit(self, batch_id: str, lengths: list[int], until_s: float) -> bool:
        """Hand in a batch again and again, as trainers do."""
        body = self.site.batch_body(batch_id, lengths)
        statuses = []
        while asyncio.get_running_loop().time() < until_s:
            answer = await self.call("POST", "/batch/x", batch_id, body)
            if answer and answer[0] == 202:
                return True
            statuses.append(answer[0] if answer else None)
            await asyncio.sleep(0.2)
        if all(status == 503 for status in statuses):
            self.site.refused_batches.add(batch_id)
        return False

    async def read(self, batch_id: str, until_s: float) -> bool:
        """Read a batch from a drawn position; True when it is whole."""
        total = len(self.accepted[batch_id])
        after = 0
        while asyncio.get_running_loop().time() < until_s:
            answer = await self.call(
                "GET", f"/api/lots/{batch_id}?After={after}", Ebonylb_Wait_Ms="500"
            )
            if answer is None or answer[0] != 200:
                if answer and answer[0] in (404, 410):
                    self.site.fail("lost batch", f"{batch_id}: status {answer[0]}")
                await asyncio.sleep(0.1)
                continue
            page = json.loads(answer[1])
            for offset, result in enumerate(page["Results"]):
                self.check(batch_id, after + offset, result)
            after = page["Next"]
            if after >= total:
                return True
            if self.random.random() < 0.1:
                after = self.random.randint(0, after)
        return False

    def check(self, batch_id: str, position: int, result: dict) -> None:
        """Check one result against what was read and what must stand there."""
        known = self.seen.setdefault(batch_id, {})
        before = known.setdefault(position, result)
        if before != result:
            self.site.fail("changed position", f"{batch_id}[{position}]")
        ids = [r["Id"] for r in known.values()]
        if len(set(ids)) != len(ids):
            self.site.fail("item listed twice", f"{batch_id}: {result['Id']}")
        events = self.accepted[batch_id][int(result["Id"].rsplit("-", 1)[1])]
        text = "\n".join(event_text(result["Id"], n) for n in range(1, events + 1))
        if result["State"] != "succeeded" or result["Text"] != text:
            self.site.fail("wrong text", f"{batch_id}[{position}] {result['State']}")

    async def end(self, batch_id: str) -> None:
        """End a batch."""
        answer = await self.call("DELETE", f"/api/lots/{batch_id}")
        if answer and answer[0] == 200:
            self.ended.add(batch_id)

    async def read_rest(self) -> None:
        """After the last fault: every accepted batch that was not ended is whole."""
        ends = asyncio.get_running_loop().time() + SETTLE_S
        for batch_id in self.accepted:
            if batch_id not in self.ended and not await self.read(batch_id, ends):
                self.site.fail("batch not whole", batch_id)


class Caller:
    """Sends single requests and keeps its connections open."""

    def __init__(self, site: "SoakSite", name: str, rng: random.Random) -> None:
        self.site = site
        self.name = name
        self.random = rng
        self.served = 0

    async def run(self, until_s: float) -> None:
        """Send requests one after the other."""
        number = 0
        async with aiohttp.ClientSession() as session:
            while asyncio.get_running_loop().time() < until_s:
                number += 1
                path = self.random.choice(["/ask/1", "/book/1"])
                await self.send(session, f"{self.name}-{number}", path)
                await asyncio.sleep(self.random.uniform(0, 0.1))

    async def send(
        self, session: aiohttp.ClientSession, request_id: str, path: str
    ) -> None:
        """Send one request and check its answer."""
        vm = self.random.choice(list(self.site.vms.values()))
        headers = {
            "Host": "site.example",
            "Ebonylb-Request-Id": request_id,
            "Ebonylb-Deadline-Ms": "2000",
        }
        body = request_id.encode() * self.random.randint(1, 50)
        try:
            async with session.post(
                f"http://{vm.front_address}{path}",
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=3),
            ) as answer:
                content = await answer.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return
        if answer.status == 200:
            self.served += 1
            if content != f"{request_id}:".encode() + body:
                self.site.fail("wrong answer", request_id)
        elif answer.status == 503:
            self.site.refused.add(request_id)
        elif answer.status == 404:
            self.site.fail("denied", request_id)
