"""Entry VMs that hold steps, with a trainer, engines and random faults."""

import asyncio
import random
from contextlib import aclosing

from ebonylb.outcomes import Outcome, Refusal, RefusedError
from ebonylb.routing import Chunk, Executor
from ebonylb.steps import (
    End,
    Failed,
    HolderOptions,
    Sample,
    StepDeclaration,
    StepHolder,
    StepPeers,
    StepService,
    encode_acknowledged,
)

from .events import (
    SampleDelivered,
    Segment,
    SlotFailed,
    StepEnded,
    StepOpened,
    TokensProduced,
    VersionPublished,
)
from .virtual_time import LoopClock, run_virtual
from .world import Machine, Platform, World

PROMPTS, PER_GROUP, BOUND = 6, 4, 1


class Engines(Executor):
    """Engines that swap versions in the middle of streams."""

    def __init__(self, world, refused=0.0, slow=None):
        self.world, self.refused, self.slow = world, refused, slow
        self.version = 0
        self.groups, self.active, self.peak, self.closed = {}, 0, 0, 0

    async def call(self, work):
        """Call nothing; generations only."""
        raise NotImplementedError

    async def generate(self, work):
        """Refuse, or stream chunks of the versions in place."""
        if "poison" in work.payload.prompt:
            raise RefusedError(Refusal(Outcome.GIVEN_UP, "crashes", "two strikes"))
        if self.world.random.random() < self.refused:
            raise RefusedError(Refusal(Outcome.NOT_RUN, "overloaded", "full", 200))
        server = "e2" if "e1" in work.exclude else "e1"
        self.groups.setdefault(work.group, []).append(server)
        self.active += 1
        self.peak = max(self.peak, self.active)
        finished = False
        try:
            yield Chunk("", 0, self.version, server)  # bound, no token yet
            for number in range(self.world.random.randint(2, 6)):
                slow = self.slow and server == "e1" and self.slow in work.request_id
                await asyncio.sleep(60 if slow else self.world.random.uniform(0, 0.4))
                text = f"{work.request_id}:{number}"
                now = self.world.now_ms
                self.world.events.append(TokensProduced(now, text, self.version))
                yield Chunk(text + ";", 1, self.version, server)
            finished = True
        finally:
            self.active -= 1
            self.closed += not finished


class Reach(StepPeers):
    """Other entry VMs over the network of the world."""

    def __init__(self, world, machine):
        self.world, self.machine = world, machine

    async def request(self, entry_vm, message, timeout_ms):
        """Send a message."""
        return await self.world.request(self.machine, entry_vm, message, timeout_ms)

    def entry_vms(self):
        """Return the others."""
        return [name for name in self.world.machines if name != self.machine.name]


def start_vm(world, name, engines, holder_type=StepHolder, **options):
    """Start an entry VM, in place of the earlier one of its name."""
    machine = world.add(Machine(name, f"{name}{world.random.random()}"))
    service = StepService(
        name,
        engines,
        Reach(world, machine),
        Platform(world, machine),
        LoopClock(),
        staleness_cap=lambda trainer: BOUND,
        spend_hedge_budget=lambda party, service: True,
        spend_retry_budget=lambda party, service: world.random.random() < 0.5,
        options=HolderOptions(**{"concurrency": 8, **options}),
    )
    service.holder_type = holder_type
    service.register(machine)
    machine.parts["steps"] = service
    return machine


def declare(session=1, held=(), version=0, **changes):
    """Return a declaration of the step, with changes."""
    return StepDeclaration(
        **{
            "trainer": "t",
            "step": 1,
            "session": session,
            "acknowledged": encode_acknowledged(set(held)),
            "prompts": [f"p{i}" for i in range(PROMPTS)],
            "samples_per_group": PER_GROUP,
            "max_tokens": 10,
            "trainer_version": version,
            "staleness_bound": 9,
            "service": "lm",
            **changes,
        }
    )


class Trainer:
    """Trainer that reads a step through any entry VM, and moves its version on."""

    def __init__(self, world, any_session=False):
        self.world, self.any_session = world, any_session
        self.session = self.version = 0
        self.held, self.tasks, self.ended = set(), [], False

    def record(self, kind, session, *values):
        """Record an event of a session."""
        session = self.session if self.any_session else session
        self.world.events.append(kind(self.world.now_ms, "t", 1, session, *values))

    async def run(self, limit=200):
        """Open sessions until one of them ends; older ones are read on."""
        for _ in range(limit):
            self.session += 1
            name = self.world.random.choice(sorted(self.world.machines))
            machine = self.world.machines[name]
            self.record(
                StepOpened,
                self.session,
                tuple(self.held),
                PROMPTS * PER_GROUP,
                self.version,
                BOUND,
            )
            prompts = [f"p{i}" for i in range(PROMPTS - 1)] + ["poison"]
            declared = declare(self.session, self.held, self.version, prompts=prompts)
            reading = machine.start(self.read(machine, declared))
            patience = self.world.random.uniform(0.5, 6)
            await asyncio.wait([reading], timeout=patience)
            if self.ended:
                return True
            await self.world.pause(0, 0.3)
        return False

    async def read(self, machine, declared):
        """Read one stream to its end."""
        service, session = machine.parts["steps"], declared.session
        await machine.awake.wait()
        try:
            holder = service.open(declared)
        except RefusedError:
            return
        async with aclosing(holder.lines()) as lines:
            async for line in lines:
                if isinstance(line, Sample):
                    self.keep(session, line)
                elif isinstance(line, Failed):
                    self.record(SlotFailed, session, line.slot)
                    self.accept(session, line.slot)
                elif isinstance(line, End):
                    self.record(StepEnded, session)
                    self.ended = self.ended or session == self.session
                await machine.awake.wait()
                await self.world.pause(0, 0.05)
        service.close(holder)

    def keep(self, session, line):
        """Record a sample with the version of each token."""
        texts = line.text.rstrip(";").split(";")
        versions = [s.version for s in line.segments for _ in range(s.tokens)]
        segments = tuple(map(Segment, texts, versions))
        self.record(SampleDelivered, session, line.slot, segments)
        self.accept(session, line.slot)

    def accept(self, session, slot):
        """Count a line of the newest session only."""
        if session == self.session:
            self.held.add(slot)

    async def publish(self, engines):
        """Publish versions; engines follow after a while."""
        while True:
            await self.world.pause(0.3, 1.5)
            name = self.world.random.choice(sorted(self.world.machines))
            session = self.session if self.world.random.random() < 0.7 else None
            step = None if session is None else 1
            machine = self.world.machines[name]
            work = machine.parts["steps"].set_version(
                "t", self.version + 1, step, session
            )
            try:
                await asyncio.wait_for(machine.start(work), 4)
            except (TimeoutError, RefusedError):
                continue
            except asyncio.CancelledError:
                if machine.dead:
                    continue
                raise
            self.version += 1
            published = VersionPublished(self.world.now_ms, "t", self.version)
            self.world.events.append(published)
            engines.version = max(engines.version, self.version - 1)
            engines.version += self.world.random.random() < 0.7


async def faults(world, engines, holder_type):
    """Inject random faults until cancelled."""
    while True:
        await world.pause(0.5, 3)
        name = world.random.choice(sorted(world.machines))
        fault = world.random.choice(["kill", "freeze", "cut", "down", "drain"])
        if fault == "kill":
            world.kill(name)
            start_vm(world, name, engines, holder_type)
        elif fault == "drain":
            await world.machines[name].parts["steps"].drain(500)
            world.kill(name)
            start_vm(world, name, engines, holder_type)
        elif fault == "freeze":
            machine = world.machines[name]
            machine.awake.clear()
            await world.pause(0.5, 4)
            machine.awake.set()
        elif fault == "down":
            world.down = True
            await world.pause(0.5, 4)
            world.down = False
        else:
            other = world.random.choice(sorted(world.machines))
            world.cuts.add(frozenset((name, other)))
            await world.pause(0.5, 4)
            world.cuts.clear()


def random_history(seed, holder_type=StepHolder, any_session=False):
    """Return the events of a random run, and whether its step ended."""
    random.seed(seed)

    async def main():
        world = World(seed, lost=0.05, delayed=0.05)
        engines, trainer = Engines(world, refused=0.1), Trainer(world, any_session)
        for name in "abcd":
            start_vm(world, name, engines, holder_type)
        background = [
            asyncio.ensure_future(trainer.publish(engines)),
            asyncio.ensure_future(faults(world, engines, holder_type)),
        ]
        finished = await trainer.run()
        for task in background:
            task.cancel()
        return world.events, finished

    return run_virtual(main())
