"""Stand-in for a caller: sends bookings and generations and checks responses."""

import asyncio
import hashlib
import json
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Annotated

import aiohttp
import cappa
import msgspec

from ebonylb.outcomes import new_token

from .server import option
from .text import complete_text

DEFAULT_RETRY_DELAY_MS = 50  # used when a refusal has no retry_after_ms


@dataclass
class Options:
    """Stand-in for a caller; prints a JSON summary."""

    entries: Annotated[list[str], option("base URL of an entry VM; repeat", "entry")]
    token: Annotated[str, option("bearer token of the party")] = ""
    name: Annotated[str, option("first part of the request ids")] = "caller"
    bookings: Annotated[int, option("bookings to send")] = 0
    booking_service: Annotated[str, option("plain service")] = "booking-desk"
    generations: Annotated[int, option("generations to send")] = 0
    engine_service: Annotated[str, option("engine service")] = "lm"
    length: Annotated[int, option("tokens of each generation; 0 for varied")] = 0
    max_tokens: Annotated[int, option("limit of a generation")] = 256
    stream: Annotated[bool, option("read generations as streams")] = False
    keys: Annotated[str, option("Idempotency-Key of bookings: own, issued or none")] = (
        "own"
    )
    attempts: Annotated[int, option("attempts of one request")] = 10
    concurrency: Annotated[int, option("requests at once")] = 8
    deadline_ms: Annotated[int, option("X-Deadline-Ms of each attempt")] = 10_000
    seed: Annotated[int, option("seed of the choice of entry VMs")] = 0


@dataclass
class Summary:
    """Results of the requests.

    Parameters
    ----------
    answered : int
        Complete responses that belong to their request.
    mismatched : int
        Responses that are incomplete or belong to another request.
    unanswered : dict
        Requests without a response, by their last outcome.
    refusals : dict
        Refusals by outcome and reason, over all attempts.
    broken : int
        Attempts whose connection failed.
    attempts : int
        Attempts of all requests.
    p50_ms, p99_ms : float
        Latency percentiles of requests with a response, including retries.
    answers : dict
        Booking or text of the last response by request id.
    """

    answered: int = 0
    mismatched: int = 0
    unanswered: dict[str, int] = field(default_factory=Counter)
    refusals: dict[str, int] = field(default_factory=Counter)
    broken: int = 0
    attempts: int = 0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    answers: dict[str, str] = field(default_factory=dict)


@dataclass
class Attempt:
    """Result of one attempt.

    Parameters
    ----------
    body : bytes or None
        Body of a successful response; otherwise None.
    outcome : str
        ``"answered"``, the outcome of a refusal, or ``"unsent"`` or ``"broken"``.
    retry_after_ms : float
        Delay before the next attempt.
    """

    body: bytes | None
    outcome: str
    retry_after_ms: float = DEFAULT_RETRY_DELAY_MS


class Caller:
    """Sends requests and retries as refusals allow.

    Parameters
    ----------
    options : Options
        Requests to send and entry VMs to use.
    session : aiohttp.ClientSession
        Client session, which the owner of the object closes.
    """

    def __init__(self, options: Options, session: aiohttp.ClientSession) -> None:
        self.options = options
        self.http = session
        self.random = random.Random(options.seed)
        self.summary = Summary()
        self.latencies: list[float] = []

    async def run(self) -> Summary:
        """Send all requests, up to `concurrency` at once."""
        slots = asyncio.Semaphore(self.options.concurrency)

        async def send_limited(kind: str, number: int) -> None:
            async with slots:
                await self.send(kind, number)

        requests = [send_limited("booking", n) for n in range(self.options.bookings)]
        requests += [
            send_limited("generation", n) for n in range(self.options.generations)
        ]
        await asyncio.gather(*requests)
        if self.latencies:
            ordered = sorted(self.latencies)
            self.summary.p50_ms = ordered[len(ordered) // 2]
            self.summary.p99_ms = ordered[len(ordered) * 99 // 100]
        return self.summary

    async def send(self, kind: str, number: int) -> None:
        """Send a request until it succeeds or no further attempt is allowed."""
        request_id = f"{self.options.name}-{kind}-{number}"
        path, body = self.build_request(kind, number)
        headers = {
            "Authorization": f"Bearer {self.options.token}",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(self.options.deadline_ms),
        }
        key = ""
        if kind == "booking" and self.options.keys == "own":
            key = new_token()
        start = time.monotonic()
        attempt = Attempt(None, "unsent")
        for _ in range(self.options.attempts):
            entry = self.random.choice(self.options.entries)
            if kind == "booking" and self.options.keys == "issued" and not key:
                key = await self.issue_key(entry)
            if key:
                headers["Idempotency-Key"] = key
            attempt = await self.send_attempt(entry + path, body, headers)
            is_repeatable = bool(key) or kind == "generation"
            if not self.can_retry(attempt, is_repeatable):
                break
            await asyncio.sleep(attempt.retry_after_ms / 1000)
        if attempt.body is None:
            self.summary.unanswered[attempt.outcome] += 1
            return
        self.latencies.append((time.monotonic() - start) * 1000)
        self.check_response(kind, number, request_id, body, attempt.body)

    def can_retry(self, attempt: Attempt, is_repeatable: bool) -> bool:
        """Return whether the request may be sent again."""
        if attempt.outcome in ("not_run", "unsent"):
            return True
        return attempt.outcome in ("may_have_run", "broken") and is_repeatable

    def build_request(self, kind: str, number: int) -> tuple[str, dict]:
        """Return the path and the body of a request."""
        options = self.options
        if kind == "booking":
            body = {"desk": options.name, "slot": number}
            return f"/v1/call/{options.booking_service}", body
        length = f" len={options.length}" if options.length else ""
        return "/v1/generate", {
            "service": options.engine_service,
            "prompt": f"{options.name} question {number}{length}",
            "max_tokens": options.max_tokens,
            "seed": number,
            "stream": options.stream,
        }

    async def issue_key(self, entry: str) -> str:
        """Return a key issued by an entry VM, or an empty string if it issues none."""
        headers = {"Authorization": f"Bearer {self.options.token}"}
        try:
            async with self.http.post(entry + "/v1/keys", headers=headers) as response:
                if response.status == 200:
                    return (await response.json())["keys"][0]
        except (aiohttp.ClientError, OSError):
            pass
        return ""

    async def send_attempt(self, url: str, body: dict, headers: dict) -> Attempt:
        """Send a request once and read the whole response."""
        self.summary.attempts += 1
        limits = aiohttp.ClientTimeout(
            total=self.options.deadline_ms / 1000 + 5, sock_connect=2
        )
        try:
            async with self.http.post(
                url,
                data=json.dumps(body).encode(),
                headers={**headers, "Content-Type": "application/json"},
                timeout=limits,
            ) as response:
                raw_body = await response.read()
        except (aiohttp.ClientError, OSError) as error:
            self.summary.broken += 1
            unsent = isinstance(error, aiohttp.ClientConnectorError)
            return Attempt(None, "unsent" if unsent else "broken")
        if response.status == 200:
            return self.parse_response(raw_body, body.get("stream", False))
        return self.parse_refusal(response, raw_body)

    def parse_response(self, raw_body: bytes, stream: bool) -> Attempt:
        """Return a successful attempt; a stream must have its end line."""
        if not stream:
            return Attempt(raw_body, "answered")
        lines = [json.loads(line) for line in raw_body.splitlines()]
        last = lines[-1] if lines else {}
        if last.get("type") != "end":
            outcome = last.get("outcome", "broken")
            self.summary.refusals[f"{outcome} {last.get('reason', '')}"] += 1
            delay_ms = last.get("retry_after_ms") or DEFAULT_RETRY_DELAY_MS
            return Attempt(None, outcome, delay_ms)
        text = "".join(line.get("text", "") for line in lines)
        return Attempt(json.dumps({"text": text}).encode(), "answered")

    def parse_refusal(
        self, response: aiohttp.ClientResponse, raw_body: bytes
    ) -> Attempt:
        """Return a refused attempt with the delay before the next one."""
        try:
            refusal = json.loads(raw_body)
            outcome, reason = refusal["outcome"], refusal["reason"]
        except (ValueError, KeyError, TypeError):
            outcome, reason, refusal = f"status {response.status}", "", {}
        self.summary.refusals[f"{outcome} {reason}".strip()] += 1
        delay_ms = refusal.get("retry_after_ms")
        if delay_ms is None:
            delay_ms = float(response.headers.get("Retry-After", "0")) * 1000
        return Attempt(None, outcome, delay_ms or DEFAULT_RETRY_DELAY_MS)

    def check_response(
        self, kind: str, number: int, request_id: str, body: dict, raw_body: bytes
    ) -> None:
        """Check that a response is complete and belongs to its request."""
        try:
            response = json.loads(raw_body)
            if kind == "booking":
                digest = hashlib.sha256(json.dumps(body).encode()).hexdigest()
                matches = response["body_sha256"] == digest
                self.summary.answers[request_id] = response["booking"]
            else:
                text = complete_text(body["prompt"], number, body["max_tokens"])
                matches = response["text"] == text
                self.summary.answers[request_id] = response["text"]
        except (ValueError, KeyError, TypeError):
            matches = False
        self.summary.answered += int(matches)
        self.summary.mismatched += int(not matches)


async def run_caller(options: Options) -> Summary:
    """Send all requests with their own client session."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        return await Caller(options, session).run()


def main() -> None:
    """Run the caller; exit with 1 if a response is missing or wrong."""
    options = cappa.parse(Options)
    summary = asyncio.run(run_caller(options))
    print(json.dumps(msgspec.to_builtins(summary)), flush=True)
    requested = options.bookings + options.generations
    raise SystemExit(0 if summary.answered == requested else 1)


if __name__ == "__main__":
    main()
