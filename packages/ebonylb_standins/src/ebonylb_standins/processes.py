"""Child processes that the kernel kills when their parent ends."""

import asyncio
import ctypes
import json
import os
import random
import select
import signal
import socket
import subprocess
import sys
from pathlib import Path

from .waiting import until

LIBC = ctypes.CDLL(None)  # loaded before the fork, as loading after it can hang
PR_SET_PDEATHSIG = 1

# Below the system's range of ephemeral ports, so that no outgoing connection takes a
# port between its reservation and its use. `PORT_END` is exclusive.
MIN_PORT, PORT_END = 12_000, 30_000
START_TIMEOUT_MS = 20_000


def die_with_parent() -> None:
    """Make the kernel kill this process when its parent ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def poll_process_end(pid: int, limit_s: float) -> bool:
    """Wait for a process to end and return whether it did within a limit."""
    try:
        descriptor = os.pidfd_open(pid)
    except ProcessLookupError:
        return True
    try:
        poller = select.poll()
        poller.register(descriptor, select.POLLIN)
        return bool(poller.poll(limit_s * 1_000))
    finally:
        os.close(descriptor)


async def ends_within(pid: int, limit_s: float) -> bool:
    """Return whether a process ends within a limit, as the kernel sees it.

    The wait runs in a thread. A timeout of the event loop would expire together with
    the notice of the end if the loop itself is late, as on a busy machine.
    """
    return await asyncio.to_thread(poll_process_end, pid, limit_s)


class PortLease:
    """Free loopback port, reserved among the processes that use this class.

    The reservation is an abstract Unix socket named after the port, which the kernel
    releases when the process ends. The port itself stays unbound, so that another
    process can listen on it.
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
        """Release the reservation."""
        self.lock.close()


class ManagedProcess:
    """Python module that runs as a child process, with its output in files.

    Parameters
    ----------
    name : str
        Name of the machine that the process stands for.
    arguments : list of str
        Module and options after ``python -m``.
    folder : Path
        Folder of ``<name>.out`` and ``<name>.err``, to which restarts append.
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
                start_new_session=True,  # so that Ctrl-C reaches only the parent
                preexec_fn=die_with_parent,
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process exists, running or frozen."""
        return self.process is not None and self.process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, negative after a signal, or None while it runs."""
        return self.process.poll() if self.process else None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process was started."""
        if self.process is not None:
            self.process.send_signal(number)

    async def wait_until_ready(self) -> str:
        """Wait for a stand-in's ready line and return its address."""
        line = await self.wait_for(self.read_first_line, START_TIMEOUT_MS, "ready line")
        return json.loads(line)["address"]

    def read_first_line(self) -> str:
        """Return the first output line since the last start, or an empty string."""
        with self.output_path.open("rb") as output:
            output.seek(self.output_offset)
            line = output.readline()
        return line.decode() if line.endswith(b"\n") else ""

    async def wait_for(
        self, condition: object, timeout_ms: float, description: str
    ) -> object:
        """Poll a condition until it is true and return its value.

        Raises
        ------
        RuntimeError
            The process ended first. The message has the end of its log.
        TimeoutError
            The condition was still false after `timeout_ms`.
        """

        async def check_condition() -> object:
            value = condition()
            if hasattr(value, "__await__"):
                value = await value
            if not value and not self.is_running:
                raise RuntimeError(
                    f"{self.name} ended with exit code {self.exit_code} "
                    f"before {description}:\n" + self.log()[-2_000:]
                )
            return value

        return await until(check_condition, timeout_ms, f"{self.name}: {description}")

    async def wait_exit(self, timeout_ms: float) -> int:
        """Wait until the process ends and return the exit code."""
        await until(lambda: not self.is_running, timeout_ms, f"{self.name}: exit")
        return self.process.returncode

    def log(self) -> str:
        """Return the standard error of all starts."""
        if not self.errors_path.exists():
            return ""
        return self.errors_path.read_text(errors="replace")

    def destroy(self) -> None:
        """Kill the process, even if frozen, and wait until it ends."""
        if self.is_running:
            os.kill(self.process.pid, signal.SIGKILL)
            self.process.wait()
