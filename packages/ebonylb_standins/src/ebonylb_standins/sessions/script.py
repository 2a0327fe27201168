"""Actions of a session, each recorded as one line of its transcript.

A line holds only what is the same in each run. Times, ids, addresses and the choice
among equivalent backend servers are left out.
"""

import asyncio
import hashlib
import json
import time
from collections import Counter
from collections.abc import Awaitable, Callable

import aiohttp

from .. import trainer
from ..cluster import Cluster
from ..text import complete_text, count_tokens
from ..topology import ServerSpec, Topology

Response = tuple[int, dict]

IN_FORCE_TIMEOUT_MS = 8_000
SETTLE_TIMEOUT_MS = 12_000
DRAIN_LIMIT_MS = 3_000
# A call whose key was issued by a killed entry VM waits for it until this deadline.
DEADLINE_MS = 3_000
MAX_SHOWN_CHARACTERS = 30  # of a generated text in a line of the transcript


def sheet_text(
    topology: Topology, desk_weight: float = 1.0, role: str = "desk", mark: str = ""
) -> str:
    """Return the text of a sheet for a site's two trainers and one desk or kiosk."""
    *trainers, desk = topology.parties
    shares = {name: 2.0 for name in trainers} | {desk: desk_weight}
    document = {
        "day": "2026-01-05",
        "parties": {name: {"role": "trainer"} for name in trainers}
        | {desk: {"role": role}},
        "services": {
            topology.engine_service: {
                "kind": "engine",
                "shares": shares,
                "staleness_bound": 1,
            },
            topology.plain_service: {"kind": "plain", "shares": {desk: 1.0}},
        },
    }
    return f"// {mark or 'A session.'}\n{json.dumps(document, indent=2)}\n"


def describe_outcome(status: int, body: dict) -> str:
    """Return the status and refusal of a response and whether it has a retry time."""
    text = str(status)
    if "outcome" in body:
        text += f" {body['outcome']} {body.get('reason', '')}"
        text += ", with a time" if body.get("retry_after_ms") else ", final"
    return text


class Script:
    """Sends the requests of one session and keeps the transcript.

    Parameters
    ----------
    cluster : Cluster
        Started cluster of the site.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.topology = cluster.topology
        self.lines: list[str] = []
        self.bookings: dict[str, str] = {}
        self.steps = 0

    @property
    def desk(self) -> str:
        """Return the party that sends bookings: the desk or kiosk."""
        return self.topology.parties[-1]

    @property
    def running_entry_vms(self) -> list[str]:
        """Return the names of the entry VMs whose process runs."""
        return [
            vm.name
            for vm in self.topology.entry_vms
            if self.cluster.processes[vm.name].is_running
        ]

    def entry_vms_in(self, domain: str) -> list[str]:
        """Return the names of the entry VMs of a failure domain."""
        specs = self.topology.entry_vms
        return [vm.name for vm in specs if vm.failure_domain == domain]

    def record(self, actor: str, action: str, result: object) -> None:
        """Append a line to the transcript."""
        self.lines.append(f"{actor}: {action} -> {result}")

    def record_heading(self, text: str) -> None:
        """Append the heading of a part to the transcript."""
        self.lines += ["", f"# {text}"]

    async def wait_ready(self) -> None:
        """Wait until each running entry VM serves both services.

        Readiness alone is not enough: a new entry VM learns the owners of other shards
        only with its first heartbeats.
        """
        plain = f"/v1/call/{self.topology.plain_service}"
        engine = {"service": self.topology.engine_service, "prompt": "len=1"}

        async def serves(name: str) -> bool:
            first, _ = await self.send(self.desk, "/v1/generate", engine, name)
            second, _ = await self.send(self.desk, plain, {}, name, X_Idempotent="true")
            return first == second == 200

        for name in self.running_entry_vms:
            await self.cluster.wait_until_ok(name, "/readyz")
            await self.cluster.until(lambda n=name: serves(n), SETTLE_TIMEOUT_MS, name)

    async def send(
        self, party: str, path: str, body: dict, entry_vm: str = "", **headers: str
    ) -> Response:
        """Send a POST request as a party.

        Return the status and body of the response; status 0 means a broken connection.
        Underscores in the names of headers become hyphens.
        """
        name = entry_vm or self.running_entry_vms[0]
        base_headers = {
            "Authorization": f"Bearer {self.cluster.party_tokens[party]}",
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        extra_headers = {key.replace("_", "-"): value for key, value in headers.items()}
        timeout = aiohttp.ClientTimeout(total=15)
        try:
            async with self.cluster.http.post(
                self.cluster.url(name) + path,
                json=body,
                headers=base_headers | extra_headers,
                timeout=timeout,
            ) as response:
                return response.status, await response.json(content_type=None)
        except (aiohttp.ClientError, OSError) as error:
            return 0, {"error": repr(error)}

    async def book(
        self, slot: str, key: str, entry_vm: str = "", party: str = ""
    ) -> Response:
        """Send a booking with an idempotency key."""
        path = f"/v1/call/{self.topology.plain_service}"
        headers = {"Idempotency_Key": key}
        return await self.send(
            party or self.desk, path, {"slot": slot}, entry_vm, **headers
        )

    def describe_booking(self, slot: str, response: Response) -> str:
        """Return the result of a booking, compared with the first one of its slot."""
        status, body = response
        if status != 200:
            return describe_outcome(status, body)
        digest = hashlib.sha256(json.dumps({"slot": slot}).encode()).hexdigest()
        ownership = "own answer" if body["body_sha256"] == digest else "FOREIGN ANSWER"
        first = self.bookings.setdefault(slot, body["booking"])
        runs = sum(run.work == digest for run in self.cluster.runs())
        identity = "same booking" if first == body["booking"] else "ANOTHER BOOKING"
        return f"200 {ownership}, {identity}, ran {runs} time(s)"

    async def book_and_record(
        self, slot: str, key: str, action: str, entry_vm: str = ""
    ) -> str:
        """Send a booking and record its result."""
        result = self.describe_booking(slot, await self.book(slot, key, entry_vm))
        self.record(self.desk, f"{action} {slot}", result)
        return result

    async def book_until(
        self, slot: str, key: str, action: str, is_awaited: Callable[[Response], bool]
    ) -> None:
        """Repeat a booking until its response is the awaited one, and record that."""

        async def awaited_response() -> object:
            response = await self.book(slot, key)
            return response if is_awaited(response) else None

        response = await self.cluster.until(awaited_response, SETTLE_TIMEOUT_MS, action)
        self.record(
            self.desk, f"{action} {slot}", self.describe_booking(slot, response)
        )

    async def issue_keys(self, count: int, entry_vm: str) -> list[str]:
        """Return keys issued by an entry VM, and record their number."""
        _, body = await self.send(self.desk, "/v1/keys", {"count": count}, entry_vm)
        self.record(self.desk, f"ask for {count} keys", f"{len(body['keys'])} keys")
        return body["keys"]

    async def generate(
        self, party: str, prompt: str, action: str, entry_vm: str = "", tokens: int = 24
    ) -> Response:
        """Request a generation and record its text and weight versions."""
        body = {
            "service": self.topology.engine_service,
            "prompt": prompt,
            "max_tokens": tokens,
            "seed": 1,
        }
        status, response = await self.send(party, "/v1/generate", body, entry_vm)
        result = describe_outcome(status, response)
        if status == 200:
            versions: Counter[int] = Counter()
            for part in response["segments"]:
                versions[part["version"]] += part["tokens"]
            is_complete = complete_text(prompt, 1, tokens) == response["text"]
            result = (
                f"200 {'whole' if is_complete else 'NOT WHOLE'}, "
                f"{count_tokens(response['text'])} tokens, versions {dict(versions)}, "
                f"text {response['text'][:MAX_SHOWN_CHARACTERS]!r}"
            )
        self.record(party, action, result)
        return status, response

    async def run_step(
        self, party: str, action: str, version: int = 1, **changes: object
    ) -> trainer.Summary:
        """Run a step of a trainer and record its counts."""
        self.steps += 1
        values = {
            "entries": self.cluster.entry_urls,
            "trainer": party,
            "token": self.cluster.party_tokens[party],
            "service": self.topology.engine_service,
            "step": self.steps,
            "groups": 3,
            "samples": 3,
            "version": version,
            "limit_ms": 12_000,
        }
        summary = await trainer.run_step(trainer.Options(**(values | changes)))
        tokens = dict(sorted(summary.versions.items()))
        self.record(
            party,
            action,
            f"{'complete' if summary.complete else 'INCOMPLETE'}, "
            f"{summary.samples} samples, failed {dict(summary.failed)}, "
            f"repeated {summary.repeated}, too old {summary.too_old}, "
            f"inconsistent {summary.inconsistent}, tokens by version {tokens}",
        )
        return summary

    async def apply(
        self, sheet: str, base: int | None, action: str, entry_vm: str = ""
    ) -> Response:
        """Apply a sheet and record the response; wait until it is in force."""
        body = {"sheet": sheet, "base_revision": base}
        name = entry_vm or self.running_entry_vms[0]
        status, response = await self.send_as_operator(
            name, "POST", "/admin/apply", body
        )
        self.record("operator", action, self.describe_apply(status, response))
        if status == 200:
            await self.wait_in_force(response["revision"])
        return status, response

    def describe_apply(self, status: int, response: dict) -> str:
        """Return the result of applying a sheet."""
        if status == 200:
            return f"200 revision {response['revision']}"
        if status == 409:
            paths = sorted(change["path"] for change in response["difference"])
            current = response["current_revision"]
            return f"409 current revision {current}, difference {paths}"
        if status == 422:
            return f"422 {response['problems']}"
        return describe_outcome(status, response)

    async def wait_in_force(self, revision: int) -> None:
        """Wait until a revision is in force on all running entry VMs; record that."""
        names = self.running_entry_vms

        async def is_in_force_everywhere() -> bool:
            _, response = await self.send_as_operator(names[0], "GET", "/admin/status")
            shown = {vm["name"]: vm["revision"] for vm in response["entry_vms"]}
            return all(shown.get(name, 0) >= revision for name in names)

        await self.cluster.until(
            is_in_force_everywhere, IN_FORCE_TIMEOUT_MS, f"revision {revision}"
        )
        self.record(
            "operator", "status", f"revision {revision} on {len(names)} entry VMs"
        )

    async def drain(self, spec: ServerSpec, leaving: bool) -> int:
        """Drain a backend server, or undo that; return the status once it is in force.

        A leaving backend server may get new work for 3 s after the first sign, so a
        drain returns only after that time.
        """
        start = time.monotonic()
        body = {"server": spec.name, "leaving": leaving}
        names = [
            n
            for n in self.entry_vms_in(spec.failure_domain)
            if n in self.running_entry_vms
        ]
        status, _ = await self.send_as_operator(names[0], "POST", "/admin/drain", body)

        async def is_in_force() -> bool:
            for name in names:
                _, response = await self.send_as_operator(name, "GET", "/admin/status")
                states = {
                    server["name"]: server["state"] for server in response["servers"]
                }
                if (states.get(spec.name) == "leaving") != leaving:
                    return False
            return True

        await self.cluster.until(is_in_force, DRAIN_LIMIT_MS, f"mark on {spec.name}")
        if leaving:
            elapsed_s = time.monotonic() - start
            await asyncio.sleep(max(0.0, DRAIN_LIMIT_MS / 1000 - elapsed_s))
        return status

    async def send_as_operator(
        self, name: str, method: str, path: str, body: object = None
    ) -> Response:
        """Send a request as an operator and return the status and body of the response.

        The timeout allows for applying a sheet, which takes longer than other requests.
        """
        async with asyncio.timeout(15):
            headers = {"Authorization": f"Bearer {self.cluster.operator_token}"}
            async with self.cluster.http.request(
                method,
                self.cluster.url(name) + path,
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=15),
            ) as response:
                return response.status, await response.json(content_type=None)

    async def record_audit(self) -> None:
        """Record the audit rows, oldest first.

        The winner of two concurrent applies is recorded before the loser.
        """
        _, response = await self.send_as_operator(
            self.running_entry_vms[0], "GET", "/admin/audit"
        )
        rows = response["rows"][::-1]
        for index, row in enumerate(rows[:-1]):
            next_row = rows[index + 1]
            raced = row["from_revision"] == next_row["from_revision"]
            if raced and (row["outcome"], next_row["outcome"]) == (
                "conflict",
                "applied",
            ):
                rows[index : index + 2] = next_row, row
        for row in rows:
            parts = [row["outcome"], f"{row['from_revision']} to {row['to_revision']}"]
            if "changes" in row:
                parts.append(str(sorted(change["path"] for change in row["changes"])))
            if "server" in row:
                parts.append(row["server"])
            self.record("audit", row["author"], ", ".join(parts))

    async def record_shares(self) -> None:
        """Record the share to which each party is entitled.

        Served tokens are left out: they depend on the choice among equivalent backend
        servers and on hedges.
        """
        _, response = await self.send_as_operator(
            self.running_entry_vms[0], "GET", "/admin/shares"
        )
        for service, parties in sorted(response["services"].items()):
            for party, share in sorted(parties.items()):
                self.record("shares", f"{service} {party}", f"{share['entitled']:.3f}")

    def record_run_counts(self) -> None:
        """Record how many bookings of the session ran once, twice and so on."""
        works = Counter(
            run.work
            for run in self.cluster.runs()
            if run.server.startswith(self.topology.plain_service)
            and run.work != hashlib.sha256(b"{}").hexdigest()
        )
        counts = dict(sorted(Counter(works.values()).items()))
        self.record("records", "bookings by number of runs", counts)

    async def run_concurrently(self, *work: Awaitable[object]) -> list:
        """Await several awaitables concurrently and return their results."""
        return list(await asyncio.gather(*work))
