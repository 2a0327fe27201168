"""In-memory platform and network of many entry VMs in one process, with faults."""

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
class Machine:
    """One entry VM as the world sees it; a replacement is a new object."""

    name: str
    incarnation: str
    handlers: dict[type, Handler] = field(default_factory=dict)
    tasks: set[asyncio.Task] = field(default_factory=set)
    awake: asyncio.Event = field(default_factory=asyncio.Event)
    dead: bool = False
    parts: dict[str, Any] = field(default_factory=dict)

    def on(self, message_type: type, handler: Handler) -> None:
        """Register a handler, as `peers.PeerBus.on` does."""
        self.handlers[message_type] = handler

    def start(self, work: Awaitable) -> asyncio.Task:
        """Run something that dies with the machine."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


class World:
    """State shared by all machines, and the faults of a seed.

    Parameters
    ----------
    seed : int
        Source of all random choices.
    lost, delayed : float
        Share of platform writes whose answer is lost after the effect, or that
        take effect up to `delay_s` after their caller saw a failure.
    """

    def __init__(
        self, seed: int, lost: float = 0.0, delayed: float = 0.0, delay_s: float = 6.0
    ) -> None:
        self.random = random.Random(seed)
        self.lost = lost
        self.delayed = delayed
        self.delay_s = delay_s
        self.events: list[Event] = []
        self.machines: dict[str, Machine] = {}
        self.deaths: dict[tuple[str, str], float] = {}
        self.down = False
        self.cuts: set[frozenset[str]] = set()
        self.rows: dict[tuple[str, str], Row] = {}
        self.objects: dict[str, bytes] = {}
        self.write_ids: set[str] = set()
        self.late: set[asyncio.Task] = set()

    @property
    def now_ms(self) -> float:
        """Time for events."""
        return asyncio.get_running_loop().time() * 1000

    def add(self, machine: Machine) -> Machine:
        """Start a machine, in place of the earlier one of its name."""
        machine.awake.set()
        self.machines[machine.name] = machine
        return machine

    def kill(self, name: str) -> None:
        """End a machine with all its memory."""
        machine = self.machines.pop(name)
        machine.dead = True
        self.deaths[name, machine.incarnation] = self.now_ms
        for task in list(machine.tasks):
            task.cancel()

    def connected(self, one: str, other: str) -> bool:
        """Tell whether two machines, or a machine and ``platform``, are connected."""
        return frozenset((one, other)) not in self.cuts

    async def pause(self, low_s: float = 0.0005, high_s: float = 0.01) -> None:
        """Wait for a random time."""
        await asyncio.sleep(self.random.uniform(low_s, high_s))

    async def request(
        self, sender: Machine, name: str, message: Message, timeout_ms: float
    ) -> Message:
        """Deliver a message and its answer as the peer bus does."""
        await sender.awake.wait()
        await self.pause()
        target = self.machines.get(name)
        if target is None or not self.connected(sender.name, name):
            raise StepError("peer.connect", name, "no link", may_have_run=False)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                task = target.start(self.handle(target, decode(encode(message))))
                answer = await task
        except TimeoutError:
            raise StepError("peer.answer", name, "no answer") from None
        except asyncio.CancelledError:
            if not target.dead:
                raise
            raise StepError("peer.connection", name, "connection broke") from None
        await self.pause()
        await sender.awake.wait()
        if not self.connected(sender.name, name):
            raise StepError("peer.connection", name, "cut off")
        if isinstance(answer, Failed):
            raise StepError(answer.step, name, answer.message)
        return answer

    async def handle(self, target: Machine, message: Message) -> Message:
        """Run a handler at its machine."""
        await target.awake.wait()
        answer = await target.handlers[type(message)](message)
        await target.awake.wait()
        return decode(encode(answer))

    def apply(
        self, write_id: str, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Committed | Conflict:
        """Apply a transaction at once."""
        if write_id in self.write_ids:
            return Committed(write_id)
        rows = tuple(self.rows.get((check.table, check.key)) for check in checks)
        for check, row in zip(checks, rows, strict=True):
            if (row.revision if row else 0) != check.revision:
                return Conflict(rows)
        self.write_ids.add(write_id)
        for write in writes:
            place = (write.table, write.key)
            revision = self.rows[place].revision if place in self.rows else 0
            self.rows[place] = Row(write.key, write.value, revision + 1, write_id)
        return Committed(write_id)

    async def apply_late(self, *transaction: Any) -> None:
        """Apply a transaction that its sender believes to have failed."""
        await self.pause(0.05, self.delay_s)
        self.apply(*transaction)


class Platform(TableService, ObjectStore):
    """The platform as one machine reaches it."""

    def __init__(self, world: World, machine: Machine) -> None:
        self.world = world
        self.machine = machine

    async def reach(self) -> StepError | None:
        """Travel to the platform or back; return why that failed."""
        await self.machine.awake.wait()
        await self.world.pause()
        await self.machine.awake.wait()
        if self.world.down or not self.world.connected(self.machine.name, "platform"):
            return StepError("platform", "platform", "down", may_have_run=False)
        return None

    async def transact(
        self, write_id: str, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[Committed | Conflict, StepError]:
        """Apply a transaction, under the world's faults."""
        error = await self.reach()
        if error:
            return Err(error)
        world = self.world
        transaction = (write_id, tuple(checks), tuple(writes))
        chance = world.random.random()
        if chance < world.delayed:
            task = asyncio.ensure_future(world.apply_late(*transaction))
            world.late.add(task)
            task.add_done_callback(world.late.discard)
            return Err(StepError("platform.transact", "platform", "timeout"))
        answer = world.apply(*transaction)
        if chance < world.delayed + world.lost or await self.reach():
            return Err(StepError("platform.transact", "platform", "answer lost"))
        return Ok(answer)

    async def find_write(self, write_id: str) -> Result[bool, StepError]:
        """Tell whether a transaction took effect."""
        error = await self.reach()
        return Err(error) if error else Ok(write_id in self.world.write_ids)

    async def read(
        self, table: str, key: str, strong: bool = False
    ) -> Result[Row | None, StepError]:
        """Read a row."""
        error = await self.reach()
        return Err(error) if error else Ok(self.world.rows.get((table, key)))

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 500
    ) -> Result[list[Row], StepError]:
        """Read rows in key order."""
        found = sorted(k for t, k in self.world.rows if t == table and k > after)
        keys = [key for key in found if key.startswith(prefix)][:limit]
        return Ok([self.world.rows[table, key] for key in keys])

    async def put(self, key: str, body: bytes) -> Result[None, StepError]:
        """Store an object."""
        error = await self.reach()
        if error:
            return Err(error)
        self.world.objects.setdefault(key, body)
        return Ok(None)

    async def get(self, key: str) -> Result[bytes | None, StepError]:
        """Read an object."""
        error = await self.reach()
        return Err(error) if error else Ok(self.world.objects.get(key))
