"""Record of the runs of a backend server that outlives its crash."""

import os
import time
from pathlib import Path

import msgspec


class RunEvent(msgspec.Struct):
    """One run of a request, or a later moment of it.

    Parameters
    ----------
    request_id : str
        Id that the server was given.
    work : str
        What ran: the digest of a body, or the prompt.
    server, incarnation : str
        Where it ran.
    kind : str
        ``"run"`` for its start, ``"tokens"`` for the first token of a weight
        version, ``"crash"`` when it ends the server's process, ``"order"`` when a
        version is taken into use.
    at_ms : float
        Monotonic time, which all processes of a machine share.
    seed, position, version : int
        Of ``"tokens"``: place of the token in the whole answer, and its version; of
        ``"order"``: fencing number and version.
    """

    request_id: str
    work: str
    server: str
    incarnation: str
    kind: str = "run"
    at_ms: float = 0.0
    seed: int = 0
    position: int = 0
    version: int = 0


class RunLog:
    """Appends one JSON line per run to a file, before the run starts.

    Each line is written with one unbuffered write, so that a line is whole in the
    file even when the process ends in the next moment.

    Parameters
    ----------
    path : str
        File; empty for no record.
    server, incarnation : str
        Written with each run.
    """

    def __init__(self, path: str, server: str, incarnation: str) -> None:
        self.server = server
        self.incarnation = incarnation
        self.file = -1
        if path:
            self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def write(
        self,
        request_id: str,
        work: str,
        kind: str = "run",
        seed: int = 0,
        position: int = 0,
        version: int = 0,
    ) -> None:
        """Record the start of a run, or a later moment of it."""
        if self.file >= 0:
            now_ms = time.monotonic() * 1000
            origin = (self.server, self.incarnation, kind, now_ms)
            run = RunEvent(request_id, work, *origin, seed, position, version)
            os.write(self.file, msgspec.json.encode(run) + b"\n")


def read_run_events(path: Path) -> list[RunEvent]:
    """Return the runs of a record file, oldest first."""
    if not path.exists():
        return []
    return [msgspec.json.decode(line, type=RunEvent) for line in path.open("rb")]
