"""Failure detection of one peer of the failure domain by heartbeats."""

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from ..outcomes import StepError
from ..peers.messages import Heartbeat
from ..tasks import cancel_and_wait
from .delta import HeartbeatDelta

if TYPE_CHECKING:
    from .controller import Membership

logger = logging.getLogger(__name__)

MAX_MISSED_HEARTBEATS = 3
RETRY_TIMEOUT_MS = 250  # a restarted or reachable process replies well within it
MAX_SILENT_INTERVALS = 1.5  # the passive side then sends a request itself
# Retries of suspected peers are distributed over this time, so that after a network
# partition heals not all of them exchange their state at the same moment.
RECONNECT_JITTER_MS = 5_000
BREAK_WATCH_KEY = b"watch"  # key in `PeerLink.pending_calls` that no call uses


def log_failure(task: "asyncio.Task[None]") -> None:
    """Log the exception of a failed background task, which nothing awaits."""
    if not task.cancelled() and task.exception() is not None:
        logger.error("task %s failed", task.get_name(), exc_info=task.exception())


class PeerMonitor:
    """Exchanges heartbeats with one member and detects its failure.

    The initiator of each pair, which is the VM with the lower name, sends its
    heartbeat as a request and receives the other's as the reply. That takes half the
    messages of a full mesh of notifications, each of which would be acknowledged.

    Parameters
    ----------
    membership : Membership
        Provides the view, the bus and this VM's heartbeat.
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
        self.has_attempted_exchange = False
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
            started_ms = self.membership.clock.monotonic_ms()
            if self.connection_broken:
                await self.check_broken_connection()
            elif self.is_initiator or not self.is_alive() or self.is_silent():
                await self.exchange(self.membership.heartbeat_interval_ms())
            self.has_attempted_exchange = True
            elapsed_ms = self.membership.clock.monotonic_ms() - started_ms
            await self.pause(self.next_delay_ms() - elapsed_ms)

    def next_delay_ms(self) -> float:
        """Return the time to the next exchange, with jitter for a peer not alive."""
        interval_ms = self.membership.heartbeat_interval_ms()
        if self.is_alive():
            return interval_ms
        return max(interval_ms, random.uniform(0.1, 1.0) * RECONNECT_JITTER_MS)

    async def pause(self, duration_ms: float) -> None:
        """Wait for a duration, or until the connection breaks."""
        try:
            # asyncio.wait_for in Python 3.11 can swallow a cancellation.
            async with asyncio.timeout(max(0.0, duration_ms) / 1000):
                await self.wake_up.wait()
        except TimeoutError:
            return
        self.wake_up.clear()

    async def check_broken_connection(self) -> None:
        """Retry once after a broken connection; suspect the peer if that fails."""
        self.connection_broken = False
        if self.is_alive() and not await self.exchange(RETRY_TIMEOUT_MS):
            self.suspect("connection broke and the retry failed")

    def is_alive(self) -> bool:
        """Return whether the peer is alive in the view."""
        vm = self.membership.view.vms.get(self.peer)
        return vm is not None and vm.alive

    def is_silent(self) -> bool:
        """Return whether no heartbeat came for `MAX_SILENT_INTERVALS` intervals."""
        silence_ms = self.membership.clock.monotonic_ms() - self.last_heard_ms
        return (
            silence_ms > MAX_SILENT_INTERVALS * self.membership.heartbeat_interval_ms()
        )

    async def exchange(self, timeout_ms: float) -> bool:
        """Send a heartbeat and merge the reply; return whether one came.

        The heartbeat is sent in full after a failure, because the peer may not have
        received the last one. It is also full when the passive side sends it, because
        the deltas of its regular replies do not take it into account.
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
        """Send the current heartbeat, as a delta if the peer has a base."""
        membership = self.membership
        current = membership.own_heartbeat()
        now_ms = membership.clock.monotonic_ms()
        message = self.delta.encode(current, now_ms, membership.served_interval_ms())
        return await membership.bus.request(self.peer, message, timeout_ms)

    def reply(self, request: Heartbeat) -> Heartbeat:
        """Return the heartbeat that replies to the peer's request.

        Replies become the base for deltas only while the peer is the initiator,
        which sends a full heartbeat after a lost reply.
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
        """Record that a heartbeat of the peer arrived."""
        self.missed_heartbeats = 0
        self.last_heard_ms = self.membership.clock.monotonic_ms()

    def suspect(self, cause: str) -> None:
        """Regard the peer as failed until it is heard again."""
        logger.warning("entry VM %s is suspected: %s", self.peer, cause)
        self.membership.set_alive(self.peer, False)

    async def watch_connection(self) -> None:
        """Trigger an exchange as soon as the connection to the peer breaks."""
        while True:
            link = self.membership.bus.links.get(self.peer)
            if link is None:
                await self.membership.clock.sleep_ms(
                    self.membership.heartbeat_interval_ms()
                )
                continue
            failures: asyncio.Queue = asyncio.Queue()
            link.pending_calls[BREAK_WATCH_KEY] = failures
            while self.membership.bus.links.get(self.peer) is link:
                await failures.get()
                self.connection_broken = True
                self.wake_up.set()

    async def close(self) -> None:
        """Stop both tasks."""
        await cancel_and_wait(self.tasks)
