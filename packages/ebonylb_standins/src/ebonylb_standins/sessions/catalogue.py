"""The sessions by name, and how one is run."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from ..cluster import Cluster
from ..topology import ABAY, SONG_HUONG, Topology, reduce_site
from .mornings import abay_morning, song_huong_morning
from .nights import CRASH_MARKER, bad_night
from .script import Script

LIMIT_S = 25
# Of each entry VM's log in a failed session: the stages of a shutdown have 2,000.
LOG_END_CHARACTERS = 3_000
GOLDENS = Path(__file__).parents[3] / "tests" / "goldens"


@dataclass(frozen=True, slots=True)
class SessionPlan:
    """One session.

    Parameters
    ----------
    topology : Topology
        Site.
    play : callable
        Drives the session.
    engine_options : dict
        Options of the engines.
    """

    topology: Topology
    play: Callable[[Script], Awaitable[None]]
    engine_options: dict[str, object] = field(default_factory=dict)


SESSIONS = {
    "abay_morning": SessionPlan(reduce_site(ABAY, 4), abay_morning),
    "song_huong_morning": SessionPlan(reduce_site(SONG_HUONG, 4), song_huong_morning),
    "bad_night": SessionPlan(
        reduce_site(ABAY, 4, 4), bad_night, {"crash_marker": CRASH_MARKER}
    ),
}


async def run_session(
    name: str, entry_command: tuple[str, ...] = ("ebonylb", "serve")
) -> str:
    """Run a session and return its transcript.

    Raises
    ------
    TimeoutError
        The session took over 25 s, or a wait in it passed its limit.
    """
    plan = SESSIONS[name]
    cluster = Cluster(
        plan.topology,
        engine_options=plan.engine_options,
        settings={"timing": {"balancer_grace_ms": 300}},
        entry_command=entry_command,
    )
    script = Script(cluster)
    ends_of_logs = ""
    try:
        async with asyncio.timeout(LIMIT_S), cluster:
            try:
                await plan.play(script)
            except BaseException:
                # A session at its limit is cancelled; the logs go with the cluster.
                ends_of_logs = entry_vm_logs(cluster)
                raise
    except Exception as error:
        error.add_note("transcript until then:\n" + "\n".join(script.lines))
        error.add_note(ends_of_logs)
        raise
    title = (plan.play.__doc__ or name).splitlines()[0]
    return "\n".join([title, *script.lines]) + "\n"


def entry_vm_logs(cluster: Cluster) -> str:
    """Return the ends of the entry VMs' logs, with what still runs."""
    parts = []
    for vm in cluster.topology.entry_vms:
        process = cluster.processes.get(vm.name)
        if process is None:
            parts.append(f"{vm.name}: not started")
            continue
        state = "running" if process.is_running else "ended"
        parts.append(f"{vm.name} ({state}):\n{process.log()[-LOG_END_CHARACTERS:]}")
    return "\n".join(parts)


def golden_file(name: str) -> Path:
    """Return the path of a session's golden file."""
    return GOLDENS / f"{name}.txt"
