"""Callers and trainers that record everything they send and read."""

import asyncio
import hashlib
import json
import random
from contextlib import suppress

import aiohttp

from .. import trainer
from ..cluster import Cluster
from ..histories.events import (
    CallAnswered,
    CallRefused,
    CallSent,
    SampleDelivered,
    Segment,
    SlotFailed,
    StepEnded,
    StepOpened,
    VersionPublished,
)
from .balancer import Balancer
from .events import (
    CallBroken,
    CallThrough,
    GenerationAnswered,
    SampleRead,
    SegmentRead,
    StepFinished,
    StreamCut,
)
from .recorder import Recorder, now_ms

DEADLINE_MS = 4_000
# A caller gives up on a connection this long after the deadline that it stated.
CONNECTION_MARGIN_S = 4.0
ATTEMPTS = 12
FIRST_PAUSE_MS = 60
TWICE_AT_ONCE = 0.1  # share of sendings with a key that go to two entry VMs at once
LONG_TOKENS = 900  # runs longer than the second that a closing server leaves
STEP_LIMIT_MS = 60_000
SILENCE_MS = 4_000  # a trainer leaves a frozen entry VM after this


class RecordingCaller:
    """Sends works one after another; each until its final answer.

    Parameters
    ----------
    cluster : Cluster
        What to talk to.
    recorder : Recorder
        Where everything is noted.
    balancer : Balancer
        Choice of the entry VM for each sending.
    name : str
        First part of the request ids.
    kind : str
        ``own``, ``issued`` or ``none`` (bookings by their key), ``plain`` or
        ``stream`` (generations).
    seed : int
        Seed of its choices.
    """

    def __init__(
        self,
        cluster: Cluster,
        recorder: Recorder,
        balancer: Balancer,
        name: str,
        kind: str,
        seed: int,
    ) -> None:
        self.cluster, self.recorder, self.balancer = cluster, recorder, balancer
        self.name, self.kind = name, kind
        self.random = random.Random(f"{seed} {name}")
        self.party = cluster.topology.parties[-1]
        self.pace_s = 0.03
        self.final: dict[str, int] = {}

    async def run(self, session: aiohttp.ClientSession, stop: asyncio.Event) -> None:
        """Send works until told to stop; the last one is followed to its end."""
        self.http = session
        number = 0
        while not stop.is_set():
            number += 1
            outcome = await self.work(number)
            self.final[outcome] = self.final.get(outcome, 0) + 1
            await asyncio.sleep(self.pace_s * self.random.uniform(0.5, 1.5))

    async def work(self, number: int, prompt: str = "") -> str:
        """Send one work through changing entry VMs; return its last outcome."""
        booking = self.kind in ("own", "issued", "none")
        key = f"{self.name}-key-{number}" if self.kind == "own" else ""
        body = self.booking(number) if booking else self.generation(number, prompt)
        outcome = "unsent"
        for attempt in range(ATTEMPTS):
            if self.kind == "issued" and not key:
                key = await self.issue_key()
                if not key:
                    await asyncio.sleep(FIRST_PAUSE_MS / 1000)
                    continue
            copies = 1 + (bool(key) and self.random.random() < TWICE_AT_ONCE)
            results = await asyncio.gather(
                *(
                    self.send(f"{self.name}-{number}-{attempt}-{copy}", key, body)
                    for copy in range(copies)
                )
            )
            outcome, pause_ms = min(results, key=lambda result: RANK[result[0]])
            if not self.may_repeat(outcome, pause_ms, bool(key) or not booking):
                break
            await asyncio.sleep((pause_ms or FIRST_PAUSE_MS) / 1000)
        return outcome

    def may_repeat(self, outcome: str, pause_ms: float, repeatable: bool) -> bool:
        """Tell whether to send again."""
        if outcome == "unsent":
            return True
        if outcome == "not_run":
            return pause_ms > 0
        if outcome == "may_have_run":
            return repeatable and pause_ms > 0
        return outcome == "broken" and repeatable

    def booking(self, number: int) -> dict:
        """Return the body of a booking, which no other work has."""
        return {"caller": self.name, "slot": number}

    def generation(self, number: int, prompt: str) -> dict:
        """Return the body of a generation."""
        lengths = (8, 20, 60, 200)
        if self.kind == "stream":
            lengths = (8, 60, 200, LONG_TOKENS)
        length = self.random.choice(lengths)
        return {
            "service": self.cluster.topology.engine_service,
            "prompt": prompt or f"{self.name} question {number} len={length}",
            "max_tokens": LONG_TOKENS,
            "seed": number,
            "stream": self.kind == "stream",
        }

    async def issue_key(self) -> str:
        """Ask an entry VM for a key; empty when it gave none."""
        limit = aiohttp.ClientTimeout(total=2)
        url = self.cluster.url(self.balancer.choose(self.random)) + "/v1/keys"
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with self.http.post(
                url, headers=self.headers, timeout=limit
            ) as answer:
                if answer.status == 200:
                    return (await answer.json())["keys"][0]
        return ""

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers of every request."""
        token = self.cluster.party_tokens[self.party]
        return {"Authorization": f"Bearer {token}"}

    async def send(self, request_id: str, key: str, body: dict) -> tuple[str, float]:
        """Send once; return the outcome and the pause that the answer asks for."""
        entry_vm = self.balancer.choose(self.random)
        content = json.dumps(body)
        booking = "slot" in body
        service = self.cluster.topology.plain_service
        path = f"/v1/call/{service}" if booking else "/v1/generate"
        headers = self.headers | {
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
            "Content-Type": "application/json",
        }
        if key:
            headers["Idempotency-Key"] = key
        self.recorder.note(CallSent, request_id, self.party, key, content, booking)
        self.recorder.note(CallThrough, request_id, entry_vm)
        limits = aiohttp.ClientTimeout(
            total=DEADLINE_MS / 1000 + CONNECTION_MARGIN_S, sock_connect=2
        )
        answering = False
        try:
            async with self.http.post(
                self.cluster.url(entry_vm) + path,
                data=content.encode(),
                headers=headers,
                timeout=limits,
            ) as answer:
                answering = True
                raw = await answer.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            cause = "timeout" if isinstance(error, TimeoutError) else repr(error)
            if isinstance(error, aiohttp.ClientConnectorError):
                self.recorder.note(CallBroken, request_id, entry_vm, "unsent", False)
                return "unsent", 0.0
            self.recorder.note(CallBroken, request_id, entry_vm, cause, answering)
            return "broken", 0.0
        if answer.status != 200:
            return self.refused(request_id, raw, str(answer.status))
        if booking:
            return self.booked(request_id, content, raw)
        return self.generated(request_id, entry_vm, body, raw)

    def refused(self, request_id: str, raw: bytes, status: str) -> tuple[str, float]:
        """Note a refusal."""
        try:
            refusal = json.loads(raw)
            outcome, reason = refusal["outcome"], refusal["reason"]
        except (ValueError, KeyError, TypeError):
            self.recorder.note(CallRefused, request_id, f"status {status}", "")
            return "status", 0.0
        self.recorder.note(CallRefused, request_id, outcome, reason)
        return outcome, float(refusal.get("retry_after_ms") or 0)

    def booked(self, request_id: str, content: str, raw: bytes) -> tuple[str, float]:
        """Note the answer of a booking by the run that gave it."""
        try:
            answer = json.loads(raw)
            own = hashlib.sha256(content.encode()).hexdigest() == answer["body_sha256"]
            origin = f"{answer['request_id']}@{answer['server']}"
        except (ValueError, KeyError, TypeError):
            own, origin = False, ""
        text = origin if own else f"foreign or cut: {raw[:200]!r}"
        self.recorder.note(CallAnswered, request_id, text)
        return "answered", 0.0

    def generated(
        self, request_id: str, entry_vm: str, body: dict, raw: bytes
    ) -> tuple[str, float]:
        """Note a generation; a stream without its last line broke."""
        if body["stream"]:
            lines = [json.loads(line) for line in raw.splitlines()]
            last = lines[-1] if lines else {}
            if last.get("type") == "refused":
                return self.refused(request_id, raw.splitlines()[-1], "200")
            if last.get("type") != "end":
                cause = "stream without its last line"
                self.recorder.note(CallBroken, request_id, entry_vm, cause, True)
                return "broken", 0.0
            text = "".join(line.get("text", "") for line in lines)
        else:
            text = json.loads(raw)["text"]
        wanted = (body["prompt"], body["seed"], body["max_tokens"])
        self.recorder.note(GenerationAnswered, request_id, *wanted, text)
        return "answered", 0.0


# Outcomes of sendings at the same time, the one that counts first.
RANK = {
    "answered": 0,
    "given_up": 1,
    "may_have_run": 2,
    "broken": 3,
    "not_run": 4,
    "unsent": 5,
    "status": 6,
}


class RecordingTrainer(trainer.Trainer):
    """Trainer whose sessions, samples and versions are recorded.

    Parameters
    ----------
    options, session
        As for `trainer.Trainer`; the entries are chosen by `balancer`.
    recorder : Recorder
        Where everything is noted.
    balancer : Balancer
        Choice of the entry VM for each session.
    """

    def __init__(
        self,
        options: trainer.Options,
        session: aiohttp.ClientSession,
        recorder: Recorder,
        balancer: Balancer,
    ) -> None:
        super().__init__(options, session)
        self.recorder, self.balancer = recorder, balancer

    async def read_session(
        self, entry: str, number: int, line_received: asyncio.Event
    ) -> bool:
        """Read a session through an entry VM that is ready."""
        vm = self.balancer.choose(self.random)
        opened_ms = now_ms()
        whole = await super().read_session(
            self.balancer.cluster.url(vm), number, line_received
        )
        # A stream that the trainer left for a newer session ends with a `moved` that
        # it no longer reads.
        if not whole and number == self.session_number:
            self.recorder.note(StreamCut, self.options.trainer, vm, opened_ms)
        return whole

    def build_request(self, number: int) -> dict:
        """Note the opening of a session."""
        body = super().build_request(number)
        held = tuple(
            slot for slot in range(self.slot_count) if self.is_acknowledged(slot)
        )
        options = self.options
        self.recorder.note(
            StepOpened,
            options.trainer,
            options.step,
            number,
            held,
            self.slot_count,
            self.checked_version,
            options.staleness,
        )
        return body

    def handle_line(self, line: trainer.Line, number: int) -> bool:
        """Note what the newest session reads, before it is acknowledged."""
        options = self.options
        place = (options.trainer, options.step, number)
        if number == self.session_number and line.type == "sample":
            segments = tuple(Segment("", part.version) for part in line.segments)
            self.recorder.note(SampleDelivered, *place, line.slot, segments)
            prompt = self.prompts[line.slot // options.samples]
            parts = tuple(
                SegmentRead(part.version, part.tokens, part.server)
                for part in line.segments
            )
            subject = (prompt, options.seed + line.slot, options.max_tokens)
            place = (options.trainer, options.step, line.slot)
            self.recorder.note(SampleRead, *place, *subject, line.text, parts)
        elif number == self.session_number and line.type == "failed":
            self.recorder.note(SlotFailed, *place, line.slot)
        elif number == self.session_number and line.type == "end":
            self.recorder.note(StepEnded, *place)
        return super().handle_line(line, number)

    async def roll_out_version(self, version: int) -> None:
        """Publish a version and note when lines must keep to it."""
        await super().roll_out_version(version)
        self.recorder.note(VersionPublished, self.options.trainer, version)


class TrainerLoad:
    """Runs a trainer's steps one after another, with new versions during them.

    Parameters
    ----------
    cluster, recorder, balancer
        As for `RecordingCaller`.
    party : str
        Name of the trainer.
    seed : int
        Seed of its choices.
    """

    def __init__(
        self,
        cluster: Cluster,
        recorder: Recorder,
        balancer: Balancer,
        party: str,
        seed: int,
    ) -> None:
        self.cluster, self.recorder, self.balancer = cluster, recorder, balancer
        self.party, self.seed = party, seed
        self.summaries: list[trainer.Summary] = []
        self.version = 1

    async def run(self, session: aiohttp.ClientSession, stop: asyncio.Event) -> None:
        """Run steps until told to stop; the last one is run to its end."""
        step = 0
        while not stop.is_set():
            step += 1
            options = trainer.Options(
                entries=[self.cluster.url(self.cluster.topology.entry_vms[0].name)],
                trainer=self.party,
                token=self.cluster.party_tokens[self.party],
                service=self.cluster.topology.engine_service,
                step=step,
                groups=4,
                samples=4,
                length=60,
                seed=self.seed * 1_000 + step * 100,
                version=self.version,
                advance_every=6,
                weights_url=self.cluster.url("platform") + "/weights",
                silence_ms=SILENCE_MS,
                limit_ms=STEP_LIMIT_MS,
            )
            run = RecordingTrainer(options, session, self.recorder, self.balancer)
            summary = await run.run()
            self.summaries.append(summary)
            self.version = run.version
            missing = run.slot_count - summary.samples - sum(summary.failed.values())
            place = (self.party, step, missing)
            self.recorder.note(StepFinished, *place, summary.elapsed_ms)
