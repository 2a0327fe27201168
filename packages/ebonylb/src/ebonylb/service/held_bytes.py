"""Bytes that are held for callers and servers which take them slowly."""

import asyncio
import contextlib
import logging
import math
from collections.abc import Callable, Iterator

from ..interfaces import Clock, Metrics
from ..interfaces.memory import MemoryBudget
from .incoming_bodies import LARGE_BYTES, IncomingBody, UnsizedUpload

logger = logging.getLogger(__name__)

# Part of the memory limit that may be held for slow callers before new uploads wait.
HELD_SHARE = 0.25
# Part of it that may be held together with the answers that are received, before these
# wait, and that these may take alone, before some are given up. An answer exists twice
# for a moment when it is whole.
MAX_HELD_SHARE = 0.4
# Events of a stream that are read on for a slow caller. A second of a stream has a few
# kilobytes, and a server cuts off a response that stays unread for some seconds.
STREAM_BYTES = 1_048_576
# Part of it that answers may take while they are received, before one at a time is
# read on.
RECEIVED_SHARE = 0.0625
# Part of it that uploads may have which wait for room. What has arrived of them is in
# memory already; further ones are refused at once.
WAITING_SHARE = 0.25
# Time that an upload waits for room.
MAX_WAIT_MS = 1_500.0
# Time for which one answer is read on alone while others wait, which have to have their
# turn before their servers cut them off, after seconds.
MAX_TURN_MS = 500.0
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


class HeldBytes(MemoryBudget):
    """Counts and bounds what is held for connections that are slow.

    Each stream holds at most `STREAM_BYTES` in the write buffer of its caller, and each
    plain answer its body. When the sum exceeds its limit, streams hold no more than the
    usual buffer, so that their servers have to wait. A body that was read is never
    dropped.

    Answers that are being received count from the arrival of their bytes on, and have
    room of their own. When they exceed it, one at a time is read on, so that one
    without an end does not take the room of others. Which one comes first depends on
    the length that it states, but what counts is what has arrived.

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
    bodies, received, buffered, batches : int
        Bytes of large bodies that are whole, of large answers that are received, of
        write buffers of watched connections, and of open batches.
    waiting : int
        Bytes of uploads that wait for room.
    incoming : set of IncomingBody
        Answers that are being received.
    turn : IncomingBody or None
        Answer that is read on although all together exceed their room.
    turn_end_ms : float
        Monotonic time at which another one may have the turn.
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
        self.memory_bytes = memory_bytes
        self.limit_bytes = memory_bytes * HELD_SHARE or math.inf
        self.max_bytes = memory_bytes * MAX_HELD_SHARE or math.inf
        self.waiting_limit_bytes = memory_bytes * WAITING_SHARE or math.inf
        self.waiting = 0
        self.received_limit_bytes = memory_bytes * RECEIVED_SHARE or math.inf
        self.idle_timeout_ms = idle_timeout_ms
        self.bodies = self.received = self.buffered = self.batches = 0
        self.released = asyncio.Event()
        self.incoming: set[IncomingBody] = set()
        self.turn: IncomingBody | None = None
        self.turn_end_ms = -math.inf
        self.connections: set[WatchedConnection] = set()

    @property
    def total(self) -> int:
        """Number of bytes that are held."""
        return self.bodies + self.received + self.buffered + self.batches

    def has_room(self, size: int) -> bool:
        """Return whether more bytes may be held for slow callers."""
        held = self.bodies + self.buffered + size
        return held <= self.limit_bytes and held + self.batches <= self.max_bytes

    async def wait_for_upload(self, size: int) -> bool:
        """Wait until a body of a caller may be read; return False if it may not."""
        if size < LARGE_BYTES or self.has_room(size):
            return True
        self.metrics.incr("held.waits")
        if self.waiting + size > self.waiting_limit_bytes:
            self.metrics.incr("held.refused")
            return False
        self.waiting += size
        try:
            return await self.wait_for_room(size)
        finally:
            self.waiting -= size

    async def wait_for_room(self, size: int) -> bool:
        """Wait until there is room; return False if there is none in time."""
        end_ms = self.clock.monotonic_ms() + MAX_WAIT_MS
        while not self.has_room(size):
            if self.clock.monotonic_ms() >= end_ms:
                self.metrics.incr("held.refused")
                return False
            await self.clock.sleep_ms(CHECK_INTERVAL_MS)
        return True

    @contextlib.contextmanager
    def upload(self) -> Iterator["UnsizedUpload"]:
        """Count a body of a caller from the arrival of its bytes on."""
        upload = UnsizedUpload(self)
        try:
            yield upload
        finally:
            upload.count(0)

    @contextlib.contextmanager
    def receive(
        self, close: Callable[[], None], stated_bytes: float = math.inf
    ) -> Iterator[IncomingBody]:
        """Count an answer while it is received; see `IncomingBody`."""
        body = IncomingBody(self, close, stated_bytes)
        self.incoming.add(body)
        try:
            yield body
        finally:
            self.incoming.discard(body)
            body.count(0)
            if self.turn is body:
                self.turn = None
            self.released.set()
            self.released = asyncio.Event()

    async def wait_for_release(self) -> None:
        """Wait until an answer is not received any more, for a short time at most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CHECK_INTERVAL_MS / 1000):
                await self.released.wait()

    def has_room_for_answers(self) -> bool:
        """Return whether all answers may be read on."""
        return self.has_room(0) and self.received <= self.received_limit_bytes

    def may_read_on(self, body: IncomingBody) -> bool:
        """Return whether more of an answer may be read."""
        if self.has_room_for_answers():
            return True
        now_ms = self.clock.monotonic_ms()
        if self.turn is None or now_ms >= self.turn_end_ms:
            waiting = (
                other
                for other in self.incoming
                if other.is_waiting and not other.is_given_up
            )
            self.turn = min(
                waiting, key=lambda other: (other.missing_bytes, other.read_bytes)
            )
            self.turn_end_ms = now_ms + MAX_TURN_MS
        return self.turn is body and self.total <= self.max_bytes

    def make_room(self) -> None:
        """Give answers up while all together take too much.

        Those with most to come are first, then those that take much and for long. The
        one that is read on comes last.
        """
        wanted = [body for body in self.incoming if body.size and not body.is_given_up]
        size = sum(body.size for body in wanted)
        if size <= self.max_bytes:
            return
        now_ms = self.clock.monotonic_ms()
        wanted.sort(
            key=lambda body: (
                body is not self.turn,
                body.missing_bytes,
                body.size * (now_ms - body.began_ms),
            )
        )
        while wanted and size > self.max_bytes:
            body = wanted.pop()
            size -= body.size
            self.metrics.incr("held.given_up")
            body.give_up()

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
            "held.body_bytes": float(self.bodies + self.received),
            "held.buffered_bytes": float(self.buffered),
            "held.batch_bytes": float(self.batches),
        }
