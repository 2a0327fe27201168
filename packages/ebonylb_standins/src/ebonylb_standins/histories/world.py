"""Simulated platform and network of many entry VMs in one process, with faults."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from ebonylb.interfaces import (
    Check,
    Committed,
    Conflict,
    ObjectStore,
    Row,
    TableService,
    Write,
)
from ebonylb.outcomes import StepError
from ebonylb.peers.messages import Failed, Message, decode, encode

from .events import Event

Handler = Callable[[Message], Awaitable[Message | None]]


@dataclass(eq=False)
class SimulatedVM:
    """One incarnation of an entry VM; a restart replaces it with a new object.

    `not_frozen` is cleared while the VM is frozen. `services` holds the service under
    test by name.
    """

    name: str
    incarnation: str
    handlers: dict[type, Handler] = field(default_factory=dict)
    tasks: set[asyncio.Task] = field(default_factory=set)
    not_frozen: asyncio.Event = field(default_factory=asyncio.Event)
    killed: bool = False
    services: dict[str, Any] = field(default_factory=dict)

    def on(self, message_type: type, handler: Handler) -> None:
        """Register the handler of a message type, as `peers.PeerBus.on` does."""
        self.handlers[message_type] = handler

    def start(self, awaitable: Awaitable) -> asyncio.Task:
        """Start a task that is cancelled when the VM is killed."""
        task = asyncio.ensure_future(awaitable)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


class World:
    """State that all simulated VMs share, and the faults in force.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    lost_share, delayed_share : float
        Share of platform writes whose response is lost after they took effect, and
        share of platform writes that take effect only after their caller saw a
        failure.
    max_delay_s : float
        Longest time from that failure until a delayed write takes effect.
    """

    def __init__(
        self,
        seed: int,
        lost_share: float = 0.0,
        delayed_share: float = 0.0,
        max_delay_s: float = 6.0,
    ) -> None:
        self.random = random.Random(seed)
        self.lost_share = lost_share
        self.delayed_share = delayed_share
        self.max_delay_s = max_delay_s
        self.events: list[Event] = []
        self.vms: dict[str, SimulatedVM] = {}
        self.killed_at_ms: dict[tuple[str, str], float] = {}
        self.platform_down = False
        # Pairs of names between which the network is cut.
        self.cuts: set[frozenset[str]] = set()
        self.rows: dict[tuple[str, str], Row] = {}
        self.objects: dict[str, bytes] = {}
        self.write_ids: set[str] = set()
        self.delayed_writes: set[asyncio.Task] = set()

    @property
    def now_ms(self) -> float:
        """Return the time in milliseconds for recorded events."""
        return asyncio.get_running_loop().time() * 1000

    def add(self, vm: SimulatedVM) -> SimulatedVM:
        """Add a VM to the network; it replaces an earlier one of the same name."""
        vm.not_frozen.set()
        self.vms[vm.name] = vm
        return vm

    def kill(self, name: str) -> None:
        """Kill a VM: cancel its tasks and remove it from the network."""
        vm = self.vms.pop(name)
        vm.killed = True
        self.killed_at_ms[name, vm.incarnation] = self.now_ms
        for task in list(vm.tasks):
            task.cancel()

    def are_connected(self, first: str, second: str) -> bool:
        """Return whether two VMs, or a VM and ``platform``, are connected."""
        return frozenset((first, second)) not in self.cuts

    async def pause(self, low_s: float = 0.0005, high_s: float = 0.01) -> None:
        """Sleep for a random time between two bounds."""
        await asyncio.sleep(self.random.uniform(low_s, high_s))

    async def request(
        self, sender: SimulatedVM, name: str, message: Message, timeout_ms: float
    ) -> Message:
        """Deliver a message to a VM and return the reply, as the peer bus does.

        Raises
        ------
        StepError
            The VM is unreachable, does not reply in time or failed.
        """
        await sender.not_frozen.wait()
        await self.pause()
        target = self.vms.get(name)
        if target is None or not self.are_connected(sender.name, name):
            raise StepError("peer.connect", name, "no link", may_have_run=False)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                task = target.start(self.handle(target, decode(encode(message))))
                reply = await task
        except TimeoutError:
            raise StepError("peer.answer", name, "no answer") from None
        except asyncio.CancelledError:
            if not target.killed:
                raise
            raise StepError("peer.connection", name, "connection broke") from None
        await self.pause()
        await sender.not_frozen.wait()
        if not self.are_connected(sender.name, name):
            raise StepError("peer.connection", name, "cut off")
        if isinstance(reply, Failed):
            raise StepError(reply.step, name, reply.message)
        return reply

    async def handle(self, target: SimulatedVM, message: Message) -> Message:
        """Run the handler of a message on the VM that receives it."""
        await target.not_frozen.wait()
        reply = await target.handlers[type(message)](message)
        await target.not_frozen.wait()
        return decode(encode(reply))

    def apply(
        self, write_id: str, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Committed | Conflict:
        """Apply a transaction now; a repeated write id has no further effect."""
        if write_id in self.write_ids:
            return Committed(write_id)
        rows = tuple(self.rows.get((check.table, check.key)) for check in checks)
        for check, row in zip(checks, rows, strict=True):
            if (row.revision if row else 0) != check.revision:
                return Conflict(rows)
        self.write_ids.add(write_id)
        for write in writes:
            row_key = (write.table, write.key)
            revision = self.rows[row_key].revision if row_key in self.rows else 0
            self.rows[row_key] = Row(write.key, write.value, revision + 1, write_id)
        return Committed(write_id)

    async def apply_delayed(self, *transaction: Any) -> None:
        """Apply a transaction after a delay; its sender has already seen a failure."""
        await self.pause(0.05, self.max_delay_s)
        self.apply(*transaction)


class Platform(TableService, ObjectStore):
    """Platform services of the world, used by one VM over the simulated network."""

    def __init__(self, world: World, vm: SimulatedVM) -> None:
        self.world = world
        self.vm = vm

    async def cross_network(self) -> StepError | None:
        """Wait for one message to or from the platform; return an error if it fails."""
        await self.vm.not_frozen.wait()
        await self.world.pause()
        await self.vm.not_frozen.wait()
        if self.world.platform_down or not self.world.are_connected(
            self.vm.name, "platform"
        ):
            return StepError("platform", "platform", "down", may_have_run=False)
        return None

    async def transact(
        self, write_id: str, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[Committed | Conflict, StepError]:
        """Apply a transaction under the faults in force."""
        error = await self.cross_network()
        if error:
            return Err(error)
        world = self.world
        transaction = (write_id, tuple(checks), tuple(writes))
        draw = world.random.random()
        if draw < world.delayed_share:
            task = asyncio.ensure_future(world.apply_delayed(*transaction))
            world.delayed_writes.add(task)
            task.add_done_callback(world.delayed_writes.discard)
            return Err(StepError("platform.transact", "platform", "timeout"))
        result = world.apply(*transaction)
        if draw < world.delayed_share + world.lost_share or await self.cross_network():
            return Err(StepError("platform.transact", "platform", "response lost"))
        return Ok(result)

    async def find_write(self, write_id: str) -> Result[bool, StepError]:
        """Return whether a transaction took effect."""
        error = await self.cross_network()
        return Err(error) if error else Ok(write_id in self.world.write_ids)

    async def read(
        self, table: str, key: str, strong: bool = False
    ) -> Result[Row | None, StepError]:
        """Return a row, or None without one."""
        error = await self.cross_network()
        return Err(error) if error else Ok(self.world.rows.get((table, key)))

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 500
    ) -> Result[list[Row], StepError]:
        """Return rows of a table in key order."""
        later_keys = sorted(k for t, k in self.world.rows if t == table and k > after)
        keys = [key for key in later_keys if key.startswith(prefix)][:limit]
        return Ok([self.world.rows[table, key] for key in keys])

    async def put(self, key: str, body: bytes) -> Result[None, StepError]:
        """Store an object; an existing one is kept."""
        error = await self.cross_network()
        if error:
            return Err(error)
        self.world.objects.setdefault(key, body)
        return Ok(None)

    async def get(self, key: str) -> Result[bytes | None, StepError]:
        """Return an object, or None without one."""
        error = await self.cross_network()
        return Err(error) if error else Ok(self.world.objects.get(key))
