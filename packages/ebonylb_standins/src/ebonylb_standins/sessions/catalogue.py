"""Sessions by name, and the function that runs one."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from ..cluster import Cluster
from ..topology import ABAY, SONG_HUONG, Topology, reduce_site
from .fault_session import CRASH_MARKER, bad_night
from .ordinary_sessions import abay_morning, song_huong_morning
from .script import Script

SESSION_TIMEOUT_S = 25
# End of each entry VM's log to show for a failed session. The log lines of the stages
# of a shutdown alone take 2,000 characters.
LOG_TAIL_CHARACTERS = 3_000
GOLDEN_DIRECTORY = Path(__file__).parents[3] / "tests" / "goldens"


@dataclass(frozen=True, slots=True)
class SessionPlan:
    """Site and scenario of one session.

    Parameters
    ----------
    topology : Topology
        Topology of the site.
    scenario : callable
        Sends the requests of the session. The first line of its docstring is the title
        of the transcript.
    engine_options : dict
        Options of the engine stand-ins.
    """

    topology: Topology
    scenario: Callable[[Script], Awaitable[None]]
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
    """Run a session on a new cluster and return its transcript.

    Raises
    ------
    TimeoutError
        The session took longer than `SESSION_TIMEOUT_S`, or a wait in it timed out.
    """
    plan = SESSIONS[name]
    cluster = Cluster(
        plan.topology,
        engine_options=plan.engine_options,
        settings={"timing": {"balancer_grace_ms": 300}},
        entry_command=entry_command,
    )
    script = Script(cluster)
    log_tails = ""
    try:
        async with asyncio.timeout(SESSION_TIMEOUT_S), cluster:
            try:
                await plan.scenario(script)
            except BaseException:
                # The logs are deleted with the cluster. At the timeout the session is
                # cancelled, so this also catches the cancellation.
                log_tails = collect_log_tails(cluster)
                raise
    except Exception as error:
        error.add_note("transcript up to the failure:\n" + "\n".join(script.lines))
        error.add_note(log_tails)
        raise
    title = (plan.scenario.__doc__ or name).splitlines()[0]
    return "\n".join([title, *script.lines]) + "\n"


def collect_log_tails(cluster: Cluster) -> str:
    """Return the end of each entry VM's log and whether its process still runs."""
    log_parts = []
    for vm in cluster.topology.entry_vms:
        process = cluster.processes.get(vm.name)
        if process is None:
            log_parts.append(f"{vm.name}: not started")
            continue
        state = "running" if process.is_running else "ended"
        log_parts.append(
            f"{vm.name} ({state}):\n{process.log()[-LOG_TAIL_CHARACTERS:]}"
        )
    return "\n".join(log_parts)


def golden_path(name: str) -> Path:
    """Return the path of the golden file of a session."""
    return GOLDEN_DIRECTORY / f"{name}.txt"
