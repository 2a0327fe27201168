"""Propagation of configuration revisions from the platform and between entry VMs."""

import asyncio
import json
import logging
import random
from collections.abc import Awaitable, Callable, Collection
from contextlib import AsyncExitStack

import msgspec
import xxhash
from result import Err, Result

from ..interfaces import Clock
from ..outcomes import StepError
from ..peers import PeerBus
from ..peers.messages import ConfigurationUpdate, FetchConfiguration, Message
from ..tasks import cancel_and_wait
from .sheet import Sheet
from .stall_gate import CONFIRM_TIMEOUT_MS, StallGate
from .state import ConfigurationState
from .store import Applied, ApplyResult, ConfigurationStore, StoredConfiguration

logger = logging.getLogger(__name__)

POLLERS_PER_DOMAIN = 2  # entry VMs of a failure domain that poll at the full rate
SLOW_POLL_FACTOR = 5
STARTUP_RETRY_INTERVAL_MS = 200
# Peers that confirm the revision after a stall; at the target size, requests to all
# peers would be hundreds.
MAX_CONFIRM_PEERS = 5
# A new revision is announced by the heartbeats of many peers at the same time.
MAX_CONCURRENT_FETCHES = 2


class ConfigurationPropagator:
    """Keeps this entry VM's configuration at the highest revision.

    Parameters
    ----------
    name : str
        Name of this entry VM.
    state : ConfigurationState
        Configuration state to update.
    store : ConfigurationStore
        Configuration stored on the platform.
    bus : PeerBus
        Peer bus.
    clock : Clock
        Source of time.
    entry_vms : callable
        Returns the names of the live entry VMs of this failure domain.
    peers : callable
        Returns the names of all known peers.
    poll_ms, stall_ms : float
        Poll interval at the full rate, and pause of the event loop that counts as a
        stall.
    """

    def __init__(
        self,
        name: str,
        state: ConfigurationState,
        store: ConfigurationStore,
        bus: PeerBus,
        clock: Clock,
        entry_vms: Callable[[], Collection[str]],
        peers: Callable[[], Collection[str]],
        poll_ms: float = 1_000,
        stall_ms: float = 2_000,
    ) -> None:
        self.name = name
        self.state = state
        self.store = store
        self.bus = bus
        self.clock = clock
        self.entry_vms = entry_vms
        self.peers = peers
        self.poll_ms = poll_ms
        self.gate = StallGate(clock, stall_ms)
        self.fetching: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.stack = AsyncExitStack()
        bus.on(FetchConfiguration, self.on_fetch)
        bus.on(ConfigurationUpdate, self.on_update)

    async def start(self) -> None:
        """Load the initial configuration, then start polling and stall detection.

        Returns only once a configuration was loaded; the caller may set a timeout.
        """
        self.stack.push_async_callback(self.cancel_tasks)
        self.spawn(
            self.gate.watch(lambda stall_number: self.spawn(self.confirm(stall_number)))
        )
        await self.load_initial()
        self.spawn(self.poll())

    async def close(self) -> None:
        """Stop all tasks."""
        await self.stack.aclose()

    async def cancel_tasks(self) -> None:
        """Cancel the running tasks and wait for them to end."""
        await cancel_and_wait(self.tasks)

    def spawn(self, work: "Awaitable[None]") -> None:
        """Run an awaitable in a background task."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task: "asyncio.Task[None]") -> None:
        """Remove a finished task and log its exception."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.error("configuration task failed", exc_info=error)

    def can_admit(self) -> bool:
        """Return whether work may be admitted: the configuration is known and fresh."""
        gate_open = self.gate.is_open()
        return self.state.ready and gate_open

    async def apply(
        self, sheet_text: str, base_revision: int | None, author: str
    ) -> ApplyResult:
        """Apply a sheet with `ConfigurationStore.apply` and push it to all peers."""
        result = await self.store.apply(sheet_text, base_revision, author)
        if isinstance(result, Applied):
            self.state.advance(result.revision, result.sheet, author)
            self.spawn(self.push())
        return result

    async def push(self) -> None:
        """Send the current configuration to all known peers.

        A peer that does not receive it learns of the revision from heartbeats.
        """
        await self.bus.broadcast(list(self.peers()), self.current_update())

    def current_update(self) -> ConfigurationUpdate:
        """Return the current configuration as a message."""
        if self.state.revision == 0:
            return ConfigurationUpdate(0)
        sheet = json.dumps(self.state.sheet.document()).encode()
        return ConfigurationUpdate(self.state.revision, sheet, self.state.author)

    async def on_fetch(self, message: Message) -> Message:
        """Return the configuration to a peer; handler of `FetchConfiguration`.

        Raises
        ------
        StepError
            This entry VM's own revision was not confirmed yet after a stall.
        """
        if not self.gate.is_open():
            raise StepError(
                "configuration.stalled",
                self.name,
                "not confirmed yet",
            )
        return self.current_update()

    async def on_update(self, message: Message) -> None:
        """Apply a pushed configuration; handler of `ConfigurationUpdate`."""
        self.apply_update(message)

    def apply_update(self, message: Message) -> None:
        """Apply a peer's configuration if its revision is higher.

        Raises
        ------
        StepError
            The peer sent another message, or a sheet that is not valid here.
        """
        if not isinstance(message, ConfigurationUpdate):
            kind = type(message).__name__
            raise StepError(
                "configuration.fetch", "peer", f"unexpected reply of type {kind}"
            )
        if message.revision <= self.state.revision:
            return
        try:
            sheet = Sheet.model_validate(msgspec.json.decode(message.sheet))
        except ValueError as error:
            raise StepError("configuration.decode", "peer", str(error)) from None
        self.state.advance(message.revision, sheet, message.author)

    def on_peer_revision(self, peer: str, revision: int) -> None:
        """Fetch the configuration of a peer whose heartbeat has a higher revision."""
        if revision <= self.state.revision or peer in self.fetching:
            return
        if len(self.fetching) < MAX_CONCURRENT_FETCHES:
            self.fetching.add(peer)
            self.spawn(self.fetch(peer))

    async def fetch(self, peer: str) -> None:
        """Fetch the configuration of a peer; its next heartbeat retries a failure."""
        try:
            self.apply_update(await self.bus.request(peer, FetchConfiguration()))
        except StepError as error:
            logger.info("configuration was not fetched from %s: %s", peer, error)
        finally:
            self.fetching.discard(peer)

    def is_poller(self) -> bool:
        """Return whether this entry VM polls at the full rate for its domain."""
        return self.name in choose_pollers({*self.entry_vms(), self.name})

    async def poll(self) -> None:
        """Poll the platform for new revisions; a stale read is harmless."""
        since_read_ms = 0.0
        while True:
            await self.clock.sleep_ms(self.poll_ms)
            since_read_ms += self.poll_ms
            # Pollers may leave, so they are chosen again at each interval.
            if self.is_poller() or since_read_ms >= SLOW_POLL_FACTOR * self.poll_ms:
                since_read_ms = 0.0
                await self.read_platform(strong=False)

    async def read_platform(
        self, strong: bool
    ) -> Result[StoredConfiguration, StepError]:
        """Read the platform's configuration and apply it if its revision is higher."""
        result = await self.store.read(strong)
        if isinstance(result, Err):
            logger.info("configuration was not read: %s", result.err_value)
            return result
        stored = result.ok_value
        self.state.advance(stored.revision, stored.sheet, stored.author)
        return result

    async def load_initial(self) -> None:
        """Load the highest revision of the platform and the reachable peers.

        If the platform has no row, the state becomes ready with an empty sheet, unless
        a peer has a revision. A peer without one may only not have read it yet.
        """
        while True:
            platform, _ = await asyncio.gather(
                self.read_platform(strong=True), self.fetch_all()
            )
            if not isinstance(platform, Err) and not self.state.ready:
                self.state.confirm_absent()
            if self.state.ready:
                return
            await self.clock.sleep_ms(STARTUP_RETRY_INTERVAL_MS)

    async def fetch_all(self) -> None:
        """Fetch the configurations of all known peers and apply the highest."""
        replies = await self.bus.broadcast(list(self.peers()), FetchConfiguration())
        for peer, reply in replies.items():
            try:
                if not isinstance(reply, StepError):
                    self.apply_update(reply)
            except StepError as error:
                logger.warning("configuration of %s is not usable: %s", peer, error)

    async def confirm(self, stall_number: int) -> None:
        """Confirm the revision after a stall with the first source that responds."""

        async def confirm_with_platform() -> None:
            if isinstance(await self.read_platform(strong=True), Err):
                raise StepError(
                    "configuration.confirm", "platform", "the platform did not respond"
                )

        async def confirm_with_peer(peer: str) -> None:
            known_revision = self.state.revision
            reply = await self.bus.request(
                peer, FetchConfiguration(), CONFIRM_TIMEOUT_MS
            )
            self.apply_update(reply)
            if reply.revision < known_revision:
                # A peer that is behind cannot know whether there is a higher revision.
                raise StepError(
                    "configuration.confirm", peer, "the peer has a lower revision"
                )

        peers = list(self.peers())
        peers = random.sample(peers, min(MAX_CONFIRM_PEERS, len(peers)))
        confirmations = [
            confirm_with_platform(),
            *(confirm_with_peer(peer) for peer in peers),
        ]
        tasks = [asyncio.ensure_future(work) for work in confirmations]
        try:
            for completed in asyncio.as_completed(
                tasks, timeout=CONFIRM_TIMEOUT_MS / 1000
            ):
                try:
                    await completed
                except StepError:
                    continue
                self.gate.confirm(stall_number)
                return
        except TimeoutError:
            logger.warning("revision %d was not confirmed", self.state.revision)
        finally:
            await cancel_and_wait(tasks)


def choose_pollers(entry_vms: Collection[str]) -> list[str]:
    """Return the entry VMs with the highest rendezvous scores, which poll."""

    def score(entry_vm: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(
            f"configuration-poll/{entry_vm}".encode()
        ), entry_vm

    return sorted(entry_vms, key=score, reverse=True)[:POLLERS_PER_DOMAIN]
