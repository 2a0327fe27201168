"""Log of a backend server's runs that survives a crash of the server."""

import os
import time
from pathlib import Path

import msgspec


class RunEvent(msgspec.Struct):
    """Start of a run of a request, or a later event of the run.

    Parameters
    ----------
    request_id : str
        Request id that the server received.
    work : str
        Digest of the body that ran, or the prompt.
    server, incarnation : str
        Server and incarnation that ran it.
    kind : str
        ``"run"`` for the start, ``"tokens"`` for the first token of a weight version,
        ``"crash"`` if the run ends the server's process, ``"order"`` if the server
        switches to a version.
    at_ms : float
        Monotonic time, which is the same for all processes of a machine.
    seed, position, version : int
        For ``"tokens"``: seed, position of the token in the complete text, and
        version. For ``"order"``: fencing number as `position`, and version.
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
    """Appends a JSON line per event to a file; a run is logged before it starts.

    Each line is a single unbuffered write, so that the file has the complete line
    even if the process crashes right after it.

    Parameters
    ----------
    path : str
        Path of the file; empty to log nothing.
    server, incarnation : str
        Written with each event.
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
        """Append the start of a run or a later event."""
        if self.file >= 0:
            now_ms = time.monotonic() * 1000
            origin = (self.server, self.incarnation, kind, now_ms)
            run = RunEvent(request_id, work, *origin, seed, position, version)
            os.write(self.file, msgspec.json.encode(run) + b"\n")


def read_run_events(path: Path) -> list[RunEvent]:
    """Return the run events in a file, oldest first."""
    if not path.exists():
        return []
    return [msgspec.json.decode(line, type=RunEvent) for line in path.open("rb")]
