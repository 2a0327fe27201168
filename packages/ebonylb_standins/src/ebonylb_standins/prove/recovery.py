"""Restart of crashed engines, and checks that everything serves after the faults."""

import asyncio

import aiohttp

from ..cluster import Cluster
from ..waiting import until
from .events import Recovered
from .faults import FaultInjector
from .load import RecordingCaller
from .recorder import Recorder, now_ms

# Longest time from the end of the last fault until everything serves: a suspect
# backend server is probed at least every 5 s, and digests and marks are sent across
# failure domains every 5 s.
RECOVERY_LIMIT_MS = 10_000
WATCH_INTERVAL_S = 0.05
RETRY_INTERVAL_S = 0.2


class EngineRestarter:
    """Restarts engines that a request has crashed.

    Parameters
    ----------
    cluster : Cluster
        Cluster whose engines are restarted.
    injector : FaultInjector
        Holds the names of the engines that faults have stopped; these are skipped.
    """

    def __init__(self, cluster: Cluster, injector: FaultInjector) -> None:
        self.cluster, self.injector = cluster, injector

    async def run(self) -> None:
        """Watch the engines until cancelled."""
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            for spec in self.cluster.topology.engines:
                process = self.cluster.processes[spec.name]
                if spec.name not in self.injector.reserved and not process.is_running:
                    await self.cluster.restart(spec.name)


async def check_recovery(
    cluster: Cluster, recorder: Recorder, callers: list[RecordingCaller]
) -> None:
    """Check readiness, each entry VM and the weights of each engine after the faults.

    Each check is repeated until it succeeds or the limit is over, and recorded.
    """
    names = [spec.name for spec in cluster.topology.entry_vms]
    checks = []
    for name in names:
        checks.append(
            check_served(cluster, recorder, name, f"ready {name}", "GET", "/readyz")
        )
        for kind in ("booking", "generation"):
            path, body = build_probe(cluster, kind, name)
            description = f"{kind} through {name}"
            checks.append(
                check_served(cluster, recorder, name, description, "POST", path, body)
            )
    for spec in cluster.topology.engines:
        checks.append(check_weights_loaded(cluster, recorder, spec.name))
    await asyncio.gather(*checks)


async def check_weights_loaded(cluster: Cluster, recorder: Recorder, name: str) -> None:
    """Record how long an engine takes to load the latest published version."""
    start_ms, last_result = now_ms(), "no answer"
    path = f"/weights/latest/{cluster.topology.engine_service}"
    _, published = await cluster.send_request("platform", "GET", path)
    version = published["latest"]["version"]

    async def has_version() -> bool:
        nonlocal last_result
        await asyncio.sleep(RETRY_INTERVAL_S)
        try:
            _, status = await cluster.send_request(name, "GET", "/status")
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            last_result = repr(error)
            return False
        last_result = f"version {status['version']} of {version}"
        return status["version"] >= version

    description = f"weights of {name}"
    try:
        await until(has_version, RECOVERY_LIMIT_MS, description)
        recorder.record(Recovered, description, now_ms() - start_ms, True, last_result)
    except TimeoutError:
        recorder.record(Recovered, description, now_ms() - start_ms, False, last_result)


def build_probe(cluster: Cluster, kind: str, name: str) -> tuple[str, dict]:
    """Return the path and body of a probe request: a booking or a generation."""
    if kind == "booking":
        return f"/v1/call/{cluster.topology.plain_service}", {"probe": name}
    return "/v1/generate", {
        "service": cluster.topology.engine_service,
        "prompt": f"probe {name} len=8",
        "max_tokens": 8,
    }


async def check_served(
    cluster: Cluster,
    recorder: Recorder,
    name: str,
    description: str,
    method: str,
    path: str,
    body: dict | None = None,
) -> None:
    """Record how long it takes until a request gets a response with status 200."""
    start_ms, last_result = now_ms(), "no answer"
    party = cluster.topology.parties[-1]
    headers = {"Authorization": f"Bearer {cluster.party_tokens[party]}"}

    async def answered() -> bool:
        nonlocal last_result
        try:
            async with cluster.http.request(
                method, cluster.url(name) + path, json=body, headers=headers
            ) as response:
                last_result = f"{response.status} {(await response.text())[:200]}"
                if response.status == 200:
                    return True
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            last_result = repr(error)
        await asyncio.sleep(RETRY_INTERVAL_S)
        return False

    try:
        await until(answered, RECOVERY_LIMIT_MS, description)
        recorder.record(
            Recovered, description, now_ms() - start_ms, True, last_result[:3]
        )
    except TimeoutError:
        recorder.record(Recovered, description, now_ms() - start_ms, False, last_result)
