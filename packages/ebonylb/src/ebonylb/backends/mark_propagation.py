"""Propagation of marks within the failure domain and to other domains."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from ..outcomes import StepError
from ..peers import PeerBus
from ..peers.messages import MarksQuery, ServerMark
from ..tasks import cancel_and_wait

logger = logging.getLogger(__name__)

MAX_ATTEMPTS = 3
ATTEMPT_TIMEOUT_MS = 800  # three attempts fit into the 3 s until a drain takes effect
GOSSIP_ROUNDS = 3  # six sends from each VM; anti-entropy covers the few VMs missed
MAX_GOSSIP_MARKS = 20  # marks per message, which limits a burst to about 2 KB


class MarkPropagator:
    """Sends marks to peers over the peer bus.

    Parameters
    ----------
    bus : PeerBus
        Links to peers.
    members : callable
        Returns the names of the other live entry VMs of the failure domain.
    """

    def __init__(self, bus: PeerBus, members: Callable[[], list[str]]) -> None:
        self.bus = bus
        self.members = members
        self.tasks: set[asyncio.Task[None]] = set()
        self.pending_gossip: dict[tuple[str, str], tuple[ServerMark, int]] = {}

    def broadcast(self, mark: ServerMark) -> None:
        """Send a mark to all members concurrently, with retries for each."""
        for peer in self.members():
            self.spawn(self.send(peer, [mark]))

    def gossip(self, mark: ServerMark) -> None:
        """Queue a mark for the next gossip rounds to other failure domains."""
        self.pending_gossip[(mark.server, mark.incarnation)] = (mark, GOSSIP_ROUNDS)

    def send_gossip_round(self, partners: list[str]) -> None:
        """Send queued marks to the partners of one gossip round."""
        batch = list(self.pending_gossip.items())[:MAX_GOSSIP_MARKS]
        for key, (mark, rounds) in batch:
            if rounds > 1:
                self.pending_gossip[key] = (mark, rounds - 1)
            else:
                del self.pending_gossip[key]
        if batch:
            for partner in partners:
                self.spawn(self.send(partner, [mark for _, (mark, _) in batch]))

    def send_all(self, peer: str, marks: list[ServerMark]) -> None:
        """Send marks to a new or reconnected peer."""
        if marks:
            self.spawn(self.send(peer, marks))

    async def replicate(self, mark: ServerMark, peers: list[str]) -> bool:
        """Send a mark to peers concurrently; return whether any peer acknowledged it.

        Returns at the first acknowledgement, or False once all sends have failed. The
        other sends continue in the background; `flush` waits for them.
        """
        send_tasks = [self.spawn(self.send(peer, [mark])) for peer in peers]
        for completed in asyncio.as_completed(send_tasks):
            if await completed:
                return True
        return False

    async def pull_marks(
        self, peer: str, accept: Callable[[ServerMark], Awaitable[None]]
    ) -> bool:
        """Read and accept all marks of a peer; return False if the stream failed."""
        try:
            async for mark in self.bus.stream(peer, MarksQuery(), ATTEMPT_TIMEOUT_MS):
                if isinstance(mark, ServerMark):
                    await accept(mark)
        except StepError as error:
            logger.info("cannot read marks of a peer: %s", error)
            return False
        return True

    async def flush(self) -> None:
        """Wait for all sends in progress."""
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def spawn(self, coroutine: Coroutine[Any, Any, bool]) -> asyncio.Task[bool]:
        """Run a send in a background task, referenced until it ends."""
        task = asyncio.create_task(coroutine, name="marks")
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def send(self, peer: str, marks: list[ServerMark]) -> bool:
        """Send marks in order; stop and return False if one is not acknowledged."""
        for mark in marks:
            for attempt in range(1, MAX_ATTEMPTS + 1):
                try:
                    await self.bus.request(peer, mark, ATTEMPT_TIMEOUT_MS)
                    break
                except StepError as error:
                    if attempt == MAX_ATTEMPTS:
                        logger.warning("marks not sent: %s", error)
                        return False
        return True

    async def close(self) -> None:
        """Cancel all sends."""
        await cancel_and_wait(self.tasks)
