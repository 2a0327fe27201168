"""Processor time and memory of a process, read from ``/proc``."""

import os
from dataclasses import dataclass
from pathlib import Path

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor seconds since the process started and its current private memory."""

    cpu_s: float
    memory_mb: float


def read_usage(pid: int) -> Usage:
    """Return the usage of a process, including all its threads."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return Usage(ticks / CLOCK_TICKS_PER_S, read_private_memory_mb(pid))


def read_private_memory_mb(pid: int) -> float:
    """Return the resident anonymous memory, which excludes pages mapped from files."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0
