"""Processes that end with the process that started them."""

import ctypes
import json
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

from .waiting import until

LIBC = ctypes.CDLL(None)  # loaded before a fork, because loading after it can hang
PR_SET_PDEATHSIG = 1

# Below the range from which the system takes ports of outgoing connections, so that
# none of those occupies a port between its choice and its use.
MIN_PORT, PORT_END = 12_000, 30_000
START_TIMEOUT_MS = 20_000


def die_with_parent() -> None:
    """Ask the kernel to kill this process when its parent ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class PortLease:
    """A free port on loopback, reserved among the processes that use this class.

    The reservation is an abstract Unix socket named for the port; the kernel frees
    it with the process. The port itself stays unbound for the process that needs it.
    """

    def __init__(self) -> None:
        while True:
            self.port = random.randrange(MIN_PORT, PORT_END)
            self.lock = socket.socket(socket.AF_UNIX)
            try:
                self.lock.bind(f"\0ebonylb-port-{self.port}")
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", self.port))
                return
            except OSError:
                self.lock.close()

    @property
    def address(self) -> str:
        """Return ``ip:port``."""
        return f"127.0.0.1:{self.port}"

    def close(self) -> None:
        """Free the reservation."""
        self.lock.close()


class ManagedProcess:
    """A Python module that runs as a process of its own, with its output in files.

    Parameters
    ----------
    name : str
        Name of the machine that the process stands for.
    arguments : list of str
        Module and options after ``python -m``.
    folder : Path
        Folder of ``<name>.out`` and ``<name>.err``; restarts append to them.
    """

    def __init__(self, name: str, arguments: list[str], folder: Path) -> None:
        self.name = name
        self.arguments = arguments
        self.output_path = folder / f"{name}.out"
        self.errors_path = folder / f"{name}.err"
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.output_offset = 0

    def start(self) -> None:
        """Start the process, which must not be running."""
        assert self.process is None or self.process.poll() is not None, self.name
        self.output_path.touch()
        self.output_offset = self.output_path.stat().st_size
        self.starts += 1
        with (
            self.output_path.open("ab") as output,
            self.errors_path.open("ab") as errors,
        ):
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=errors,
                start_new_session=True,  # Ctrl-C reaches only the owner
                preexec_fn=die_with_parent,
            )

    @property
    def is_running(self) -> bool:
        """Tell whether the process exists, also while it is frozen."""
        return self.process is not None and self.process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, negative for a signal, or None."""
        return self.process.poll() if self.process else None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process exists."""
        if self.process is not None:
            self.process.send_signal(number)

    async def wait_until_ready(self) -> str:
        """Wait for the line with the address that a stand-in prints when ready."""
        line = await self.wait_for(self.read_first_line, START_TIMEOUT_MS, "ready line")
        return json.loads(line)["address"]

    def read_first_line(self) -> str:
        """Return the first line of output since the last start, empty before it."""
        with self.output_path.open("rb") as output:
            output.seek(self.output_offset)
            line = output.readline()
        return line.decode() if line.endswith(b"\n") else ""

    async def wait_for(
        self, condition: object, timeout_ms: float, description: str
    ) -> object:
        """Wait for a condition; fail at once when the process ends before it."""

        async def check_condition() -> object:
            value = condition()
            if hasattr(value, "__await__"):
                value = await value
            if not value and not self.is_running:
                raise RuntimeError(
                    f"{self.name} ended with {self.exit_code} before {description}:\n"
                    + self.log()[-2_000:]
                )
            return value

        return await until(check_condition, timeout_ms, f"{self.name}: {description}")

    async def wait_exit(self, timeout_ms: float) -> int:
        """Wait for the end and return the exit code."""
        await until(lambda: not self.is_running, timeout_ms, f"{self.name}: exit")
        return self.process.returncode

    def log(self) -> str:
        """Return all of standard error."""
        if not self.errors_path.exists():
            return ""
        return self.errors_path.read_text(errors="replace")

    def destroy(self) -> None:
        """Kill the process, also a frozen one, and wait for its end."""
        if self.is_running:
            os.kill(self.process.pid, signal.SIGKILL)
            self.process.wait()
