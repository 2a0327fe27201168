"""Processes that must come back, and the proof that everything serves again."""

import asyncio

import aiohttp

from ..cluster import Cluster
from ..waiting import until
from .events import Recovered
from .faults import FaultInjector
from .load import RecordingCaller
from .recorder import Recorder, now_ms

# Stated time until everything serves after the last fault: a suspect backend server
# is probed at least every 5 s, digests and marks cross domains every 5 s.
HEAL_LIMIT_MS = 10_000
WATCH_S = 0.05
RETRY_S = 0.2


class EngineKeeper:
    """Starts engines again that a request has crashed.

    Parameters
    ----------
    cluster : Cluster
        Whose engines.
    injector : FaultInjector
        Knows the engines that a fault has stopped.
    """

    def __init__(self, cluster: Cluster, injector: FaultInjector) -> None:
        self.cluster, self.injector = cluster, injector

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await asyncio.sleep(WATCH_S)
            for spec in self.cluster.topology.engines:
                process = self.cluster.processes[spec.name]
                if spec.name not in self.injector.busy and not process.is_running:
                    await self.cluster.restart(spec.name)


async def check_recovery(
    cluster: Cluster, recorder: Recorder, callers: list[RecordingCaller]
) -> None:
    """Send work through each entry VM until it is answered, or the limit is over."""
    names = [spec.name for spec in cluster.topology.entry_vms]
    checks = []
    for name in names:
        checks.append(
            served(cluster, recorder, name, f"ready {name}", "GET", "/readyz")
        )
        for kind in ("booking", "generation"):
            path, body = probe(cluster, kind, name)
            what = f"{kind} through {name}"
            checks.append(served(cluster, recorder, name, what, "POST", path, body))
    for spec in cluster.topology.engines:
        checks.append(loaded(cluster, recorder, spec.name))
    await asyncio.gather(*checks)


async def loaded(cluster: Cluster, recorder: Recorder, name: str) -> None:
    """Note how long it takes until an engine has a version published before."""
    start, seen = now_ms(), "no answer"
    path = f"/weights/latest/{cluster.topology.engine_service}"
    _, published = await cluster.send_request("platform", "GET", path)
    version = published["latest"]["version"]

    async def has_version() -> bool:
        nonlocal seen
        await asyncio.sleep(RETRY_S)
        try:
            _, shown = await cluster.send_request(name, "GET", "/status")
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            seen = repr(error)
            return False
        seen = f"version {shown['version']} of {version}"
        return shown["version"] >= version

    what = f"weights of {name}"
    try:
        await until(has_version, HEAL_LIMIT_MS, what)
        recorder.note(Recovered, what, now_ms() - start, True, seen)
    except TimeoutError:
        recorder.note(Recovered, what, now_ms() - start, False, seen)


def probe(cluster: Cluster, kind: str, name: str) -> tuple[str, dict]:
    """Return path and body of a request that shows service."""
    if kind == "booking":
        return f"/v1/call/{cluster.topology.plain_service}", {"probe": name}
    return "/v1/generate", {
        "service": cluster.topology.engine_service,
        "prompt": f"probe {name} len=8",
        "max_tokens": 8,
    }


async def served(
    cluster: Cluster,
    recorder: Recorder,
    name: str,
    what: str,
    method: str,
    path: str,
    body: dict | None = None,
) -> None:
    """Note how long it takes until a request is answered."""
    start, seen = now_ms(), "no answer"
    party = cluster.topology.parties[-1]
    headers = {"Authorization": f"Bearer {cluster.party_tokens[party]}"}

    async def answered() -> bool:
        nonlocal seen
        try:
            async with cluster.http.request(
                method, cluster.url(name) + path, json=body, headers=headers
            ) as answer:
                seen = f"{answer.status} {(await answer.text())[:200]}"
                if answer.status == 200:
                    return True
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            seen = repr(error)
        await asyncio.sleep(RETRY_S)
        return False

    try:
        await until(answered, HEAL_LIMIT_MS, what)
        recorder.note(Recovered, what, now_ms() - start, True, seen[:3])
    except TimeoutError:
        recorder.note(Recovered, what, now_ms() - start, False, seen)
