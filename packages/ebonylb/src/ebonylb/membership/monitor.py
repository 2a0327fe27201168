"""Heartbeats with one peer of the failure domain."""

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from ..outcomes import StepError
from ..peers.messages import Heartbeat
from ..tasks import cancel_and_wait
from .delta import HeartbeatDelta

if TYPE_CHECKING:
    from .duty import Membership

logger = logging.getLogger(__name__)

MAX_MISSED_HEARTBEATS = 3
RETRY_TIMEOUT_MS = 250  # a restarted or reachable process answers well within it
MAX_SILENT_INTERVALS = 1.5  # the passive side asks by itself after this
# Peers come back over this span after a healed cut, so that they do not all
# exchange their state in the same moment.
RECONNECT_JITTER_MS = 5_000
BREAK_WATCH_KEY = b"watch"  # key of a link's waiting operations that no call uses


def log_failure(task: "asyncio.Task[None]") -> None:
    """Report a task that ended by a fault, which nothing else awaits."""
    if not task.cancelled() and task.exception() is not None:
        logger.error("task %s failed", task.get_name(), exc_info=task.exception())


class PeerMonitor:
    """Exchange of heartbeats with one member, and suspicion of its failure.

    One side of each pair, the one with the lower name, sends its heartbeat as a
    request and gets the other's as the answer. That halves the messages of a full
    mesh of notifications, each of which would be acknowledged.

    Parameters
    ----------
    membership : Membership
        Owner of the view and of this VM's heartbeat.
    peer : str
        Name of the member.
    """

    def __init__(self, membership: "Membership", peer: str) -> None:
        self.membership = membership
        self.peer = peer
        self.is_initiator = membership.name < peer
        self.delta = HeartbeatDelta()
        self.missed_heartbeats = 0
        self.last_heard_ms = membership.clock.monotonic_ms()
        self.attempted = False
        self.connection_broken = False
        self.wake_up = asyncio.Event()
        self.tasks = [
            asyncio.create_task(self.run(), name=f"heartbeat-{peer}"),
            asyncio.create_task(self.watch_connection(), name=f"break-{peer}"),
        ]
        for task in self.tasks:
            task.add_done_callback(log_failure)

    async def run(self) -> None:
        """Exchange heartbeats until cancelled."""
        while True:
            started = self.membership.clock.monotonic_ms()
            if self.connection_broken:
                await self.check_broken_connection()
            elif self.is_initiator or not self.is_alive() or self.is_silent():
                await self.exchange(self.membership.heartbeat_interval_ms())
            self.attempted = True
            elapsed = self.membership.clock.monotonic_ms() - started
            await self.pause(self.next_delay_ms() - elapsed)

    def next_delay_ms(self) -> float:
        """Return the time to the next exchange; spread for a peer that is away."""
        interval = self.membership.heartbeat_interval_ms()
        if self.is_alive():
            return interval
        return max(interval, random.uniform(0.1, 1.0) * RECONNECT_JITTER_MS)

    async def pause(self, duration_ms: float) -> None:
        """Wait, but no longer than until the connection breaks."""
        try:
            # Not wait_for, which in Python 3.11 can drop a cancellation.
            async with asyncio.timeout(max(0.0, duration_ms) / 1000):
                await self.wake_up.wait()
        except TimeoutError:
            return
        self.wake_up.clear()

    async def check_broken_connection(self) -> None:
        """Retry once after a broken connection; a second failure is final."""
        self.connection_broken = False
        if self.is_alive() and not await self.exchange(RETRY_TIMEOUT_MS):
            self.suspect("connection broke and the retry failed")

    def is_alive(self) -> bool:
        """Tell whether the view counts the peer as alive."""
        vm = self.membership.view.vms.get(self.peer)
        return vm is not None and vm.alive

    def is_silent(self) -> bool:
        """Tell whether the active side missed its turn."""
        silence = self.membership.clock.monotonic_ms() - self.last_heard_ms
        return silence > MAX_SILENT_INTERVALS * self.membership.heartbeat_interval_ms()

    async def exchange(self, timeout_ms: float) -> bool:
        """Send a heartbeat and take the answer over; return whether it came.

        A message after a failure is full, since the peer may lack the last one; so
        is one out of turn, since the answers of the usual direction are unaware
        of it.
        """
        if not self.is_initiator:
            self.delta.reset()
        try:
            reply = await self.send(timeout_ms)
        except StepError as error:
            self.delta.reset()
            if error.step == "membership.base":
                return await self.exchange(timeout_ms)
            if error.step == "membership.superseded":
                self.membership.on_own_newer_incarnation(error.message)
            self.missed_heartbeats += 1
            if self.missed_heartbeats >= MAX_MISSED_HEARTBEATS and self.is_alive():
                self.suspect(f"{self.missed_heartbeats} heartbeats missed, {error}")
            return False
        if isinstance(reply, Heartbeat):
            self.membership.receive_heartbeat(reply)
            return True
        return False

    async def send(self, timeout_ms: float):
        """Send the current heartbeat, as a difference where the peer has a base."""
        membership = self.membership
        current = membership.own_heartbeat()
        now = membership.clock.monotonic_ms()
        message = self.delta.encode(current, now, membership.served_interval_ms())
        return await membership.bus.request(self.peer, message, timeout_ms)

    def reply(self, request: Heartbeat) -> Heartbeat:
        """Return the heartbeat that answers the peer's request.

        The base moves with answers only while the peer is the active side; it
        resends in full when an answer was lost.
        """
        if self.is_initiator or request.address:
            self.delta.reset()
        membership = self.membership
        message = self.delta.encode(
            membership.own_heartbeat(),
            membership.clock.monotonic_ms(),
            membership.served_interval_ms(),
        )
        if self.is_initiator:
            self.delta.reset()
        return message

    def record_heard(self) -> None:
        """Note a sign of life."""
        self.missed_heartbeats = 0
        self.last_heard_ms = self.membership.clock.monotonic_ms()

    def suspect(self, cause: str) -> None:
        """Count the peer as failed until it is heard again."""
        logger.warning("entry VM %s is suspected: %s", self.peer, cause)
        self.membership.set_alive(self.peer, False)

    async def watch_connection(self) -> None:
        """Wake the exchange as soon as the connection to the peer breaks."""
        while True:
            link = self.membership.bus.links.get(self.peer)
            if link is None:
                await self.membership.clock.sleep_ms(
                    self.membership.heartbeat_interval_ms()
                )
                continue
            failures: asyncio.Queue = asyncio.Queue()
            link.waiting[BREAK_WATCH_KEY] = failures
            while self.membership.bus.links.get(self.peer) is link:
                await failures.get()
                self.connection_broken = True
                self.wake_up.set()

    async def close(self) -> None:
        """Stop both tasks."""
        await cancel_and_wait(self.tasks)
