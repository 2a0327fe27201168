"""Load by callers and trainers that record what they send and receive."""

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
# A caller abandons a connection this long after the deadline of its request.
CONNECTION_MARGIN_S = 4.0
MAX_ATTEMPTS = 12
DEFAULT_PAUSE_MS = 60
DUPLICATE_SHARE = 0.1  # share of attempts with a key that go to two entry VMs at once
LONG_TOKENS = 900  # runs longer than the second that a closing server allows
STEP_LIMIT_MS = 60_000
SILENCE_LIMIT_MS = 4_000  # a trainer leaves a silent entry VM after this


class RecordingCaller:
    """Sends units of work one after another, each until its final response.

    Parameters
    ----------
    cluster : Cluster
        Cluster to which requests are sent.
    recorder : Recorder
        Where requests and responses are recorded.
    balancer : Balancer
        Chooses the entry VM of each attempt.
    name : str
        Prefix of the request ids.
    kind : str
        ``own``, ``issued`` or ``none`` for bookings with a key of the caller, an issued
        key or no key; ``plain`` or ``stream`` for generations.
    seed : int
        Seed of the caller's random choices.
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
        self.pause_s = 0.03
        self.outcome_counts: dict[str, int] = {}

    async def run(self, session: aiohttp.ClientSession, stop: asyncio.Event) -> None:
        """Send work until `stop` is set; the last unit is completed."""
        self.http = session
        number = 0
        while not stop.is_set():
            number += 1
            outcome = await self.run_work(number)
            self.outcome_counts[outcome] = self.outcome_counts.get(outcome, 0) + 1
            await asyncio.sleep(self.pause_s * self.random.uniform(0.5, 1.5))

    async def run_work(self, number: int, prompt: str = "") -> str:
        """Send one unit of work, with retries; return the last attempt's outcome."""
        booking = self.kind in ("own", "issued", "none")
        key = f"{self.name}-key-{number}" if self.kind == "own" else ""
        body = (
            self.booking_body(number)
            if booking
            else self.generation_body(number, prompt)
        )
        outcome = "unsent"
        for attempt in range(MAX_ATTEMPTS):
            if self.kind == "issued" and not key:
                key = await self.issue_key()
                if not key:
                    await asyncio.sleep(DEFAULT_PAUSE_MS / 1000)
                    continue
            copies = 1 + (bool(key) and self.random.random() < DUPLICATE_SHARE)
            results = await asyncio.gather(
                *(
                    self.send(f"{self.name}-{number}-{attempt}-{copy}", key, body)
                    for copy in range(copies)
                )
            )
            outcome, pause_ms = min(results, key=lambda result: OUTCOME_RANK[result[0]])
            if not self.should_retry(outcome, pause_ms, bool(key) or not booking):
                break
            await asyncio.sleep((pause_ms or DEFAULT_PAUSE_MS) / 1000)
        return outcome

    def should_retry(self, outcome: str, pause_ms: float, repeatable: bool) -> bool:
        """Return whether to send the work again after an outcome."""
        if outcome == "unsent":
            return True
        if outcome == "not_run":
            return pause_ms > 0
        if outcome == "may_have_run":
            return repeatable and pause_ms > 0
        return outcome == "broken" and repeatable

    def booking_body(self, number: int) -> dict:
        """Return the body of a booking, which is unique in the run."""
        return {"caller": self.name, "slot": number}

    def generation_body(self, number: int, prompt: str) -> dict:
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
        """Return a key issued by an entry VM, or an empty string if that failed."""
        timeout = aiohttp.ClientTimeout(total=2)
        url = self.cluster.url(self.balancer.choose(self.random)) + "/v1/keys"
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with self.http.post(
                url, headers=self.headers, timeout=timeout
            ) as response:
                if response.status == 200:
                    return (await response.json())["keys"][0]
        return ""

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers that all requests share."""
        token = self.cluster.party_tokens[self.party]
        return {"Authorization": f"Bearer {token}"}

    async def send(self, request_id: str, key: str, body: dict) -> tuple[str, float]:
        """Send one request; return its outcome and the requested pause in ms."""
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
        self.recorder.record(CallSent, request_id, self.party, key, content, booking)
        self.recorder.record(CallThrough, request_id, entry_vm)
        timeout = aiohttp.ClientTimeout(
            total=DEADLINE_MS / 1000 + CONNECTION_MARGIN_S, sock_connect=2
        )
        status_received = False
        try:
            async with self.http.post(
                self.cluster.url(entry_vm) + path,
                data=content.encode(),
                headers=headers,
                timeout=timeout,
            ) as response:
                status_received = True
                raw = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            cause = "timeout" if isinstance(error, TimeoutError) else repr(error)
            if isinstance(error, aiohttp.ClientConnectorError):
                self.recorder.record(CallBroken, request_id, entry_vm, "unsent", False)
                return "unsent", 0.0
            self.recorder.record(
                CallBroken, request_id, entry_vm, cause, status_received
            )
            return "broken", 0.0
        if response.status != 200:
            return self.record_refusal(request_id, raw, str(response.status))
        if booking:
            return self.record_booking(request_id, content, raw)
        return self.record_generation(request_id, entry_vm, body, raw)

    def record_refusal(
        self, request_id: str, raw: bytes, status: str
    ) -> tuple[str, float]:
        """Record a refusal; return its outcome and the requested pause."""
        try:
            refusal = json.loads(raw)
            outcome, reason = refusal["outcome"], refusal["reason"]
        except (ValueError, KeyError, TypeError):
            self.recorder.record(CallRefused, request_id, f"status {status}", "")
            return "status", 0.0
        self.recorder.record(CallRefused, request_id, outcome, reason)
        return outcome, float(refusal.get("retry_after_ms") or 0)

    def record_booking(
        self, request_id: str, content: str, raw: bytes
    ) -> tuple[str, float]:
        """Record the response to a booking, identified by the run that produced it."""
        try:
            booking = json.loads(raw)
            has_own_body = (
                hashlib.sha256(content.encode()).hexdigest() == booking["body_sha256"]
            )
            origin = f"{booking['request_id']}@{booking['server']}"
        except (ValueError, KeyError, TypeError):
            has_own_body, origin = False, ""
        text = origin if has_own_body else f"foreign or cut: {raw[:200]!r}"
        self.recorder.record(CallAnswered, request_id, text)
        return "answered", 0.0

    def record_generation(
        self, request_id: str, entry_vm: str, body: dict, raw: bytes
    ) -> tuple[str, float]:
        """Record a generation; a stream without its last line counts as broken."""
        if body["stream"]:
            lines = [json.loads(line) for line in raw.splitlines()]
            last = lines[-1] if lines else {}
            if last.get("type") == "refused":
                return self.record_refusal(request_id, raw.splitlines()[-1], "200")
            if last.get("type") != "end":
                cause = "stream without its last line"
                self.recorder.record(CallBroken, request_id, entry_vm, cause, True)
                return "broken", 0.0
            text = "".join(line.get("text", "") for line in lines)
        else:
            text = json.loads(raw)["text"]
        request_parameters = (body["prompt"], body["seed"], body["max_tokens"])
        self.recorder.record(GenerationAnswered, request_id, *request_parameters, text)
        return "answered", 0.0


# Precedence of the outcomes of copies that were sent at once; the lowest rank counts.
OUTCOME_RANK = {
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
        As for `trainer.Trainer`, except that `balancer` chooses the entry VMs.
    recorder : Recorder
        Where sessions, samples and versions are recorded.
    balancer : Balancer
        Chooses the entry VM of each session.
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
        """Read a session through a ready entry VM; return whether it was complete."""
        vm = self.balancer.choose(self.random)
        opened_ms = now_ms()
        complete = await super().read_session(
            self.balancer.cluster.url(vm), number, line_received
        )
        # A stream that the trainer left for a newer session ends with a `moved` line,
        # which the trainer no longer reads.
        if not complete and number == self.session_number:
            self.recorder.record(StreamCut, self.options.trainer, vm, opened_ms)
        return complete

    def build_request(self, number: int) -> dict:
        """Return the body that opens a session, and record the opening."""
        body = super().build_request(number)
        acknowledged = tuple(
            slot for slot in range(self.slot_count) if self.is_acknowledged(slot)
        )
        options = self.options
        self.recorder.record(
            StepOpened,
            options.trainer,
            options.step,
            number,
            acknowledged,
            self.slot_count,
            self.checked_version,
            options.staleness,
        )
        return body

    def handle_line(self, line: trainer.Line, number: int) -> bool:
        """Record a line of the newest session before the trainer acknowledges it."""
        options = self.options
        session_key = (options.trainer, options.step, number)
        if number == self.session_number and line.type == "sample":
            segments = tuple(Segment("", segment.version) for segment in line.segments)
            self.recorder.record(SampleDelivered, *session_key, line.slot, segments)
            prompt = self.prompts[line.slot // options.samples]
            read_segments = tuple(
                SegmentRead(segment.version, segment.tokens, segment.server)
                for segment in line.segments
            )
            generation = (prompt, options.seed + line.slot, options.max_tokens)
            slot_key = (options.trainer, options.step, line.slot)
            self.recorder.record(
                SampleRead, *slot_key, *generation, line.text, read_segments
            )
        elif number == self.session_number and line.type == "failed":
            self.recorder.record(SlotFailed, *session_key, line.slot)
        elif number == self.session_number and line.type == "end":
            self.recorder.record(StepEnded, *session_key)
        return super().handle_line(line, number)

    async def roll_out_version(self, version: int) -> None:
        """Publish a version; record it once lines must respect its staleness bound."""
        await super().roll_out_version(version)
        self.recorder.record(VersionPublished, self.options.trainer, version)


class TrainerLoad:
    """Runs a trainer's steps one after another, with new versions during them.

    Parameters
    ----------
    cluster, recorder, balancer
        As for `RecordingCaller`.
    party : str
        Party of the trainer.
    seed : int
        Seed of the trainer's random choices.
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
        """Run steps until `stop` is set; the last one is completed."""
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
                silence_ms=SILENCE_LIMIT_MS,
                limit_ms=STEP_LIMIT_MS,
            )
            run = RecordingTrainer(options, session, self.recorder, self.balancer)
            summary = await run.run()
            self.summaries.append(summary)
            self.version = run.version
            missing = run.slot_count - summary.samples - sum(summary.failed.values())
            step_result = (self.party, step, missing)
            self.recorder.record(StepFinished, *step_result, summary.elapsed_ms)
