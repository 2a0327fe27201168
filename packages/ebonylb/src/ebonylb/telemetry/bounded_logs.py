"""Logging to standard output with a bounded rate and without blocking."""

import logging
import os
import time

from pythonjsonlogger.json import JsonFormatter

# Sustained rate and burst. A line has about 400 bytes, so the logs of one process stay
# under 100 KB/s in the long run, whatever goes wrong.
MAX_LINES_PER_S = 250.0
MAX_BURST_LINES = 1_000.0
STDOUT_DESCRIPTOR = 1


class BoundedLineHandler(logging.Handler):
    """Writes whole lines to a file descriptor without waiting for its reader.

    Lines above the rate limit, and lines that the reader is too slow for, are dropped.
    The next written line reports the number in its field `dropped_lines`. Warnings and
    errors have a token bucket of their own of the same size, so that a flood of other
    lines does not suppress them.

    Parameters
    ----------
    descriptor : int
        File descriptor that lines are written to; it is set to non-blocking.
    lines_per_s, burst_lines : float
        Refill rate and size of each token bucket.
    """

    def __init__(
        self,
        descriptor: int = STDOUT_DESCRIPTOR,
        lines_per_s: float = MAX_LINES_PER_S,
        burst_lines: float = MAX_BURST_LINES,
    ) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.lines_per_s = lines_per_s
        self.burst_lines = burst_lines
        self.available_lines = {False: burst_lines, True: burst_lines}
        self.last_refill_s = time.monotonic()
        self.dropped_count = 0
        self.unwritten = b""
        os.set_blocking(descriptor, False)

    def try_consume(self, important: bool) -> bool:
        """Consume one line of the rate limit; return False if none is available."""
        now_s = time.monotonic()
        refill = (now_s - self.last_refill_s) * self.lines_per_s
        self.last_refill_s = now_s
        for importance, available in self.available_lines.items():
            self.available_lines[importance] = min(self.burst_lines, available + refill)
        if self.available_lines[important] < 1:
            return False
        self.available_lines[important] -= 1
        return True

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as a line, or count it as dropped."""
        if not self.try_consume(record.levelno >= logging.WARNING):
            self.dropped_count += 1
            return
        if self.dropped_count:
            record.dropped_lines = self.dropped_count
        try:
            line = self.format(record).encode() + b"\n"
        except (TypeError, ValueError):
            self.handleError(record)
            return
        if self.write(line):
            self.dropped_count = 0
        else:
            self.dropped_count += 1

    def write(self, line: bytes) -> bool:
        """Write a line after the unwritten rest of the last one.

        The rest of a partially written line is kept for the next call, so that lines
        are never interleaved.

        Returns
        -------
        bool
            False if the line was dropped.
        """
        try:
            if self.unwritten:
                self.unwritten = self.unwritten[
                    os.write(self.descriptor, self.unwritten) :
                ]
            if self.unwritten:
                return False
            self.unwritten = line[os.write(self.descriptor, line) :]
        except OSError:
            # The reader is slow or gone. Requests must not wait for the log.
            return False
        return True


def configure_bounded_logs(entry_vm: str, level: str) -> BoundedLineHandler:
    """Send all log records to standard output as rate-limited JSON lines."""
    handler = BoundedLineHandler()
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"entry_vm": entry_vm},
        )
    )
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    return handler
