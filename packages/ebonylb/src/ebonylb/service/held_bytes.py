"""Bytes that are held for callers and servers which take them slowly."""

import asyncio
import contextlib
import logging
import math
from collections.abc import Callable, Iterator

from ..interfaces import Clock, Metrics

logger = logging.getLogger(__name__)

# Part of the memory limit that may be held before new uploads and large answers wait,
# and before answers that a server has ready are not read any more.
HELD_SHARE = 0.25
MAX_HELD_SHARE = 0.5
# Bodies below this size are not counted: a write buffer takes them without a wait.
LARGE_BYTES = 65_536
# Events of a stream that are read on for a slow caller. A second of a stream has a few
# kilobytes, and a server cuts off a response that stays unread for some seconds.
STREAM_BYTES = 1_048_576
# Time that an upload waits for room, and after which an answer is read although the
# first limit is exceeded: less than the seconds after which servers cut it off.
MAX_WAIT_MS = 1_500.0
CHECK_INTERVAL_MS = 50.0
SWEEP_INTERVAL_MS = 250.0
RETRY_AFTER_MS = 500


class Connection:
    """Connection of a caller; nothing is known of what it takes."""

    def writing(self, size: int) -> None:
        """Count bytes that are about to be written."""

    def refresh(self) -> None:
        """Look at how much the caller has taken."""

    def finish(self) -> None:
        """Let the rest of a response wait for the caller to take what is held."""


class WatchedConnection(Connection):
    """Connection of a caller with a bounded write buffer.

    Attributes
    ----------
    size : int
        Bytes in the write buffer when it was last looked at.
    progress_ms : float
        Monotonic time at which the caller last took something, or nothing was left.
    """

    def __init__(self, held: "HeldBytes", transport: asyncio.WriteTransport) -> None:
        self.held = held
        self.transport = transport
        self.size = self.written = 0
        self.taken = -math.inf
        self.progress_ms = held.clock.monotonic_ms()
        self.is_deep = False

    def writing(self, size: int) -> None:
        """Count bytes that are about to be written."""
        self.written += size

    def refresh(self) -> None:
        """Look at how much the caller has taken, and bound what it is given ahead."""
        size = self.transport.get_write_buffer_size()
        self.held.buffered += size - self.size
        self.size = size
        if not size or self.written - size > self.taken:
            self.taken = self.written - size
            self.progress_ms = self.held.clock.monotonic_ms()
        self.set_depth(self.held.has_room(0))

    def set_depth(self, is_deep: bool) -> None:
        """Set whether the write buffer takes more than usual."""
        if is_deep != self.is_deep:
            self.is_deep = is_deep
            self.transport.set_write_buffer_limits(STREAM_BYTES if is_deep else None)

    def finish(self) -> None:
        """Let the rest of a response wait for the caller to take what is held."""
        self.set_depth(is_deep=False)


class HeldBytes:
    """Counts and bounds what is held for connections that are slow.

    Each stream holds at most `STREAM_BYTES` in the write buffer of its caller, and each
    plain answer its body. When the sum exceeds its limit, streams hold no more than the
    usual buffer, so that their servers have to wait, and large bodies wait before they
    are read. A body that was read is never dropped.

    Parameters
    ----------
    clock : Clock
        Source of time.
    metrics : Metrics
        Receiver of counters.
    memory_bytes : int
        Memory limit of the process; 0 if unknown, so that the sum is not bounded.
    idle_timeout_ms : callable
        Returns the time after which a caller that takes nothing is disconnected.

    Attributes
    ----------
    bodies, buffered : int
        Bytes of large bodies, and of write buffers of watched connections.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        memory_bytes: int,
        idle_timeout_ms: Callable[[], float],
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.limit_bytes = memory_bytes * HELD_SHARE or math.inf
        self.max_bytes = memory_bytes * MAX_HELD_SHARE or math.inf
        self.idle_timeout_ms = idle_timeout_ms
        self.bodies = self.buffered = 0
        self.connections: set[WatchedConnection] = set()

    @property
    def total(self) -> int:
        """Number of bytes that are held."""
        return self.bodies + self.buffered

    def has_room(self, size: int) -> bool:
        """Return whether more bytes may be held."""
        return self.total + size <= self.limit_bytes

    async def wait_for_upload(self, size: int) -> bool:
        """Wait until a body of a caller may be read; return False if it may not."""
        if size < LARGE_BYTES or self.has_room(size):
            return True
        self.metrics.incr("held.waits")
        end_ms = self.clock.monotonic_ms() + MAX_WAIT_MS
        while not self.has_room(size):
            if self.clock.monotonic_ms() >= end_ms:
                self.metrics.incr("held.refused")
                return False
            await self.clock.sleep_ms(CHECK_INTERVAL_MS)
        return True

    async def wait_for_answer(self, size: int) -> None:
        """Wait until a body of a server may be read.

        After a while it is read unless too much is held: the request has run.
        """
        if size < LARGE_BYTES or self.has_room(size):
            return
        self.metrics.incr("held.waits")
        end_ms = self.clock.monotonic_ms() + MAX_WAIT_MS
        while not self.has_room(size):
            is_late = self.clock.monotonic_ms() >= end_ms
            if is_late and self.total + size <= self.max_bytes:
                return
            await self.clock.sleep_ms(CHECK_INTERVAL_MS)

    @contextlib.contextmanager
    def hold(self, size: int) -> Iterator[None]:
        """Count a body while it is held; small ones are not counted."""
        counted = size if size >= LARGE_BYTES else 0
        self.bodies += counted
        try:
            yield
        finally:
            self.bodies -= counted

    @contextlib.contextmanager
    def watch(self, transport: asyncio.WriteTransport) -> Iterator[WatchedConnection]:
        """Watch what a caller takes while a response is written."""
        connection = WatchedConnection(self, transport)
        self.connections.add(connection)
        connection.refresh()
        try:
            yield connection
        finally:
            self.connections.discard(connection)
            connection.finish()
            self.buffered -= connection.size

    async def disconnect_idle(self) -> None:
        """Disconnect callers that take nothing for a long time, until cancelled."""
        while True:
            await self.clock.sleep_ms(SWEEP_INTERVAL_MS)
            self.sweep()

    def sweep(self) -> None:
        """Look at all connections and abort the idle ones."""
        timeout_ms = self.idle_timeout_ms()
        for connection in list(self.connections):
            connection.refresh()
            idle_ms = self.clock.monotonic_ms() - connection.progress_ms
            if idle_ms > timeout_ms:
                self.metrics.incr("held.disconnected")
                logger.info(
                    "caller that takes nothing disconnected",
                    extra={
                        "idle_ms": round(idle_ms),
                        "held_bytes": connection.size,
                        "all_held_bytes": self.total,
                    },
                )
                connection.transport.abort()
                self.connections.discard(connection)

    def gauges(self) -> dict[str, float]:
        """Return what is held."""
        return {
            "held.body_bytes": float(self.bodies),
            "held.buffered_bytes": float(self.buffered),
        }
