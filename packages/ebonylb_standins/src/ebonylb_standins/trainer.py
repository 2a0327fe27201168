"""Stand-in for a trainer that declares a step and collects its samples."""

import asyncio
import base64
import itertools
import json
import random
import time
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Annotated

import aiohttp
import cappa
import msgspec

from .server import option
from .tasks import end_task
from .text import complete_text, count_tokens

# Used when a refusal has no `retry_after_ms`.
RECONNECT_DELAY_MS = 100
# Time that announcements under way get after the last session.
ANNOUNCEMENT_TIMEOUT_S = 5
# Lines sent before a version was confirmed can still be in the stream's buffers when
# the confirmation arrives over another connection. Lines are therefore checked
# against the new version only after this delay.
VERSION_GRACE_MS = 250


class Segment(msgspec.Struct):
    """Tokens of a sample that one server generated with one weight version."""

    version: int
    tokens: int
    server: str


class Line(msgspec.Struct):
    """Line of a step's stream: ``sample``, ``failed``, ``moved`` or ``end``."""

    type: str
    slot: int = -1
    outcome: str = ""
    reason: str = ""
    text: str = ""
    tokens: int = 0
    segments: list[Segment] = []


class RefusalBody(msgspec.Struct):
    """Body of a refusal."""

    outcome: str
    reason: str = ""
    message: str = ""
    retry_after_ms: int | None = None


@dataclass
class Options:
    """Stand-in for a trainer; runs one step and prints a JSON summary."""

    entries: Annotated[list[str], option("base URL of an entry VM; repeat", "entry")]
    trainer: Annotated[str, option("name of the trainer")] = "trainer"
    token: Annotated[str, option("bearer token of the party")] = ""
    service: Annotated[str, option("engine service")] = "lm"
    step: Annotated[int, option("number of the step")] = 1
    session: Annotated[int, option("number of the first session")] = 1
    groups: Annotated[int, option("groups of the step")] = 4
    samples: Annotated[int, option("samples per group")] = 4
    max_tokens: Annotated[int, option("limit of a sample")] = 256
    length: Annotated[int, option("tokens of each sample; 0 for varied")] = 0
    seed: Annotated[int, option("seed of the first slot, and of the reconnects")] = 0
    first_entry: Annotated[
        int, option("place of the entry VM to start with; -1 for any")
    ] = -1
    version: Annotated[int, option("the trainer's weight version")] = 1
    staleness: Annotated[int, option("versions that a sample may be behind")] = 1
    advance_every: Annotated[
        int, option("samples after which the trainer's version grows; 0 for never")
    ] = 0
    weights_url: Annotated[
        str, option("weight store that each new version is published in")
    ] = ""
    weights_bytes: Annotated[int, option("size of a published version")] = 100_000
    silence_ms: Annotated[int, option("a silent stream is replaced after this")] = (
        30_000
    )
    limit_ms: Annotated[int, option("time for the whole step")] = 60_000


@dataclass
class Summary:
    """Result of a step.

    Parameters
    ----------
    complete : bool
        Each slot has a sample or has failed permanently.
    ended : bool
        The stream's end line was received.
    samples : int
        Slots with a sample.
    failed : dict
        Permanently failed slots by outcome and reason.
    repeated : int
        Lines of the newest session for slots that were already acknowledged.
    old_session : int
        Lines of older sessions, which are dropped.
    too_old : int
        Samples that exceeded the staleness bound when they arrived.
    inconsistent : int
        Samples whose segments, token count and text disagree, or whose text does not
        belong to their prompt.
    sessions : int
        Sessions opened.
    moved : int
        Sessions ended by a ``moved`` line.
    broken : int
        Streams that broke or ended without a closing line.
    refusals : dict
        Refused sessions by reason or outcome.
    versions, servers : dict
        Tokens by weight version and by backend server.
    """

    trainer: str
    step: int
    complete: bool = False
    ended: bool = False
    samples: int = 0
    failed: dict[str, int] = field(default_factory=Counter)
    repeated: int = 0
    old_session: int = 0
    too_old: int = 0
    inconsistent: int = 0
    sessions: int = 0
    moved: int = 0
    broken: int = 0
    refusals: dict[str, int] = field(default_factory=Counter)
    versions: dict[str, int] = field(default_factory=Counter)
    servers: dict[str, int] = field(default_factory=Counter)
    elapsed_ms: float = 0.0


class Trainer:
    """Runs one step.

    Parameters
    ----------
    options : Options
        Step to run and entry VMs to use.
    session : aiohttp.ClientSession
        Client session, which the caller closes.
    """

    def __init__(self, options: Options, session: aiohttp.ClientSession) -> None:
        self.options = options
        self.http = session
        self.random = random.Random(options.seed)
        self.session_number = options.session - 1
        self.version = options.version
        self.checked_version = options.version
        self.acknowledged = bytearray((self.slot_count + 7) // 8)
        self.summary = Summary(options.trainer, options.step)
        length = f" len={options.length}" if options.length else ""
        self.prompts = [
            f"{options.trainer} step {options.step} group {group}{length}"
            for group in range(options.groups)
        ]
        self.announcements: set[asyncio.Task[None]] = set()

    @property
    def slot_count(self) -> int:
        """Return the number of slots of the step, one per sample."""
        return self.options.groups * self.options.samples

    def is_acknowledged(self, slot: int) -> bool:
        """Return whether a slot is acknowledged."""
        return bool(self.acknowledged[slot // 8] >> slot % 8 & 1)

    @property
    def is_finished(self) -> bool:
        """Return whether every slot has a sample or has failed."""
        return (
            self.summary.samples + sum(self.summary.failed.values()) == self.slot_count
        )

    async def run(self) -> Summary:
        """Run sessions until the step is complete or `limit_ms` has passed."""
        start = time.monotonic()
        entries = self.options.entries
        first_index = self.options.first_entry
        if first_index < 0:
            first_index = self.random.randrange(len(entries))
        async with AsyncExitStack() as stack:
            try:
                async with asyncio.timeout(self.options.limit_ms / 1000):
                    for index in itertools.count(first_index):
                        if self.is_finished:
                            break
                        await self.run_session(entries[index % len(entries)], stack)
            except TimeoutError:
                pass  # the summary shows which slots are missing
            if self.announcements:
                # A begun announcement belongs to this step, however short the step.
                await asyncio.wait(self.announcements, timeout=ANNOUNCEMENT_TIMEOUT_S)
            for task in self.announcements:
                stack.push_async_callback(end_task, task)
        self.summary.complete = self.is_finished
        self.summary.elapsed_ms = (time.monotonic() - start) * 1000
        return self.summary

    async def run_session(self, entry: str, stack: AsyncExitStack) -> None:
        """Open a session; return when its stream ends, breaks or falls silent.

        A silent stream stays open, so that its late lines arrive and are dropped as
        lines of an older session.
        """
        self.session_number += 1
        self.summary.sessions += 1
        line_received = asyncio.Event()
        task = asyncio.create_task(
            self.read_session(entry, self.session_number, line_received)
        )
        stack.push_async_callback(end_task, task)
        while not task.done():
            line_received.clear()
            line_task = asyncio.create_task(line_received.wait())
            try:
                await asyncio.wait(
                    {task, line_task},
                    timeout=self.options.silence_ms / 1000,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                is_silent = not line_task.done() and not task.done()
            finally:
                line_task.cancel()
            if is_silent:
                return
        task.result()

    def build_request(self, session_number: int) -> dict:
        """Return the request body that opens or resumes the step."""
        return {
            "trainer": self.options.trainer,
            "step": self.options.step,
            "session": session_number,
            "service": self.options.service,
            "acknowledged": base64.b64encode(self.acknowledged).decode(),
            "prompts": self.prompts,
            "samples_per_group": self.options.samples,
            "max_tokens": self.options.max_tokens,
            "seed": self.options.seed,
            "trainer_version": self.version,
            "staleness_bound": self.options.staleness,
        }

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers of every request to an entry VM."""
        return {"Authorization": f"Bearer {self.options.token}"}

    async def read_session(
        self, entry: str, session_number: int, line_received: asyncio.Event
    ) -> bool:
        """Read a session's stream; return whether it was refused or properly closed."""
        limits = aiohttp.ClientTimeout(total=None, sock_connect=2)
        try:
            async with self.http.post(
                entry + "/v1/steps",
                json=self.build_request(session_number),
                headers=self.headers,
                timeout=limits,
            ) as response:
                if response.status != 200:
                    await self.handle_refusal(await response.read())
                    return True
                async for raw in response.content:
                    line_received.set()
                    line = msgspec.json.decode(raw, type=Line)
                    if self.handle_line(line, session_number):
                        return True
            self.summary.broken += 1  # ended without ``moved`` or ``end``
        except (aiohttp.ClientError, OSError, msgspec.MsgspecError):
            self.summary.broken += 1
        await asyncio.sleep(RECONNECT_DELAY_MS / 1000)
        return False

    async def handle_refusal(self, body: bytes) -> None:
        """Count a refusal and wait for its `retry_after_ms`."""
        try:
            refusal = msgspec.json.decode(body, type=RefusalBody)
        except msgspec.MsgspecError:
            refusal = RefusalBody("unreadable")
        self.summary.refusals[refusal.reason or refusal.outcome] += 1
        delay_ms = refusal.retry_after_ms or RECONNECT_DELAY_MS
        await asyncio.sleep(delay_ms / 1000)

    def handle_line(self, line: Line, session_number: int) -> bool:
        """Process a line; return whether it closes the stream."""
        if session_number != self.session_number:
            self.summary.old_session += 1
            return False
        if line.type == "moved":
            self.summary.moved += 1
            return True
        if line.type == "end":
            self.summary.ended = True
            return True
        if line.type in ("sample", "failed"):
            self.settle_slot(line)
        return False

    def settle_slot(self, line: Line) -> None:
        """Acknowledge the slot of a sample or failure."""
        if self.is_acknowledged(line.slot):
            self.summary.repeated += 1
            return
        self.acknowledged[line.slot // 8] |= 1 << line.slot % 8
        if line.type == "failed":
            self.summary.failed[f"{line.outcome} {line.reason}"] += 1
        else:
            self.record_sample(line)

    def record_sample(self, line: Line) -> None:
        """Count and check a sample; roll out the next version when it is due."""
        self.summary.samples += 1
        self.summary.inconsistent += int(not self.is_consistent(line))
        oldest_version = min((segment.version for segment in line.segments), default=0)
        self.summary.too_old += int(
            self.checked_version - oldest_version > self.options.staleness
        )
        for segment in line.segments:
            self.summary.versions[str(segment.version)] += segment.tokens
            self.summary.servers[segment.server] += segment.tokens
        interval = self.options.advance_every
        if interval and self.summary.samples % interval == 0 and not self.is_finished:
            task = asyncio.create_task(self.roll_out_version(self.version + 1))
            self.announcements.add(task)
            task.add_done_callback(self.announcements.discard)

    def is_consistent(self, line: Line) -> bool:
        """Return whether a sample is complete and belongs to its slot."""
        prompt = self.prompts[line.slot // self.options.samples]
        seed = self.options.seed + line.slot
        text = complete_text(prompt, seed, self.options.max_tokens)
        total = sum(segment.tokens for segment in line.segments)
        return line.text == text and total == line.tokens == count_tokens(text)

    async def roll_out_version(self, version: int) -> None:
        """Publish a new version and announce it until an entry VM confirms it."""
        options = self.options
        if options.weights_url:
            body = {
                "service": options.service,
                "version": version,
                "size_bytes": options.weights_bytes,
            }
            for _ in itertools.count():
                if await self.publish_version(body):
                    break
                await asyncio.sleep(RECONNECT_DELAY_MS / 1000)
        for entry in itertools.cycle(options.entries):
            if await self.announce_version(entry, version):
                break
            await asyncio.sleep(RECONNECT_DELAY_MS / 1000)
        self.version = max(self.version, version)
        await asyncio.sleep(VERSION_GRACE_MS / 1000)
        self.checked_version = max(self.checked_version, version)

    async def publish_version(self, body: dict) -> bool:
        """Publish a version once; return whether it, or a newer one, is in the store.

        Status 409 means that the store already has it. A version that engines cannot
        load must not be announced, because all samples would become too old.
        """
        url = self.options.weights_url + "/publish"
        try:
            async with self.http.post(url, json=body) as response:
                return response.status in (200, 409)
        except (aiohttp.ClientError, OSError):
            return False

    async def announce_version(self, entry: str, version: int) -> bool:
        """Announce a version through an entry VM; return whether it is in force."""
        url = f"{entry}/v1/trainers/{self.options.trainer}/version"
        body = {
            "version": version,
            "step": self.options.step,
            "session": self.session_number,
        }
        try:
            async with self.http.post(url, json=body, headers=self.headers) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError):
            return False


async def run_step(options: Options) -> Summary:
    """Run a step with its own client session."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        return await Trainer(options, session).run()


def main() -> None:
    """Run a step and print its summary; exit with 1 if it is incomplete."""
    summary = asyncio.run(run_step(cappa.parse(Options)))
    print(json.dumps(msgspec.to_builtins(summary)), flush=True)
    raise SystemExit(0 if summary.complete else 1)


if __name__ == "__main__":
    main()
