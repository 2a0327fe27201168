"""Simulation of entry VMs that hold steps, with a trainer, engines and faults."""

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
from .world import Platform, SimulatedVM, World

PROMPTS, SAMPLES_PER_GROUP, STALENESS_BOUND = 6, 4, 1


class Engines(Executor):
    """Engines ``e1`` and ``e2``, which swap weight versions in the middle of streams.

    Parameters
    ----------
    world : World
        Where generated tokens are recorded.
    refused_share : float
        Share of generations that are refused.
    slow_id : str, optional
        Part of the ids of requests that stall on ``e1``.
    """

    def __init__(self, world, refused_share=0.0, slow_id=None):
        self.world, self.refused_share, self.slow_id = world, refused_share, slow_id
        self.version = 0
        self.group_servers, self.active, self.peak, self.closed_early = {}, 0, 0, 0

    async def call(self, work):
        """Raise: engines run generations only."""
        raise NotImplementedError

    async def generate(self, work):
        """Refuse a generation, or stream chunks of the version loaded at the time."""
        if "poison" in work.payload.prompt:
            raise RefusedError(Refusal(Outcome.GIVEN_UP, "crashes", "two strikes"))
        if self.world.random.random() < self.refused_share:
            raise RefusedError(Refusal(Outcome.NOT_RUN, "overloaded", "full", 200))
        server = "e2" if "e1" in work.exclude else "e1"
        self.group_servers.setdefault(work.group, []).append(server)
        self.active += 1
        self.peak = max(self.peak, self.active)
        finished = False
        try:
            yield Chunk("", 0, self.version, server)  # engine chosen, no token yet
            for number in range(self.world.random.randint(2, 6)):
                slow = (
                    self.slow_id and server == "e1" and self.slow_id in work.request_id
                )
                await asyncio.sleep(60 if slow else self.world.random.uniform(0, 0.4))
                text = f"{work.request_id}:{number}"
                now = self.world.now_ms
                self.world.events.append(TokensProduced(now, text, self.version))
                yield Chunk(text + ";", 1, self.version, server)
            finished = True
        finally:
            self.active -= 1
            self.closed_early += not finished


class SimulatedPeers(StepPeers):
    """Access to other entry VMs over the simulated network."""

    def __init__(self, world, vm):
        self.world, self.vm = world, vm

    async def request(self, entry_vm, message, timeout_ms):
        """Send a message and return the reply."""
        return await self.world.request(self.vm, entry_vm, message, timeout_ms)

    def entry_vms(self):
        """Return the names of all other entry VMs."""
        return [name for name in self.world.vms if name != self.vm.name]


def start_vm(world, name, engines, holder_type=StepHolder, **options):
    """Start an entry VM; it replaces an earlier one of the same name."""
    vm = world.add(SimulatedVM(name, f"{name}{world.random.random()}"))
    service = StepService(
        name,
        engines,
        SimulatedPeers(world, vm),
        Platform(world, vm),
        LoopClock(),
        staleness_cap=lambda trainer: STALENESS_BOUND,
        spend_hedge_budget=lambda party, service: True,
        spend_retry_budget=lambda party, service: world.random.random() < 0.5,
        options=HolderOptions(**{"concurrency": 8, **options}),
    )
    service.holder_type = holder_type
    service.register(vm)
    vm.services["steps"] = service
    return vm


def declare_step(session=1, acknowledged_slots=(), version=0, **changes):
    """Return a declaration of the simulated step; `changes` replace its fields."""
    return StepDeclaration(
        **{
            "trainer": "t",
            "step": 1,
            "session": session,
            "acknowledged": encode_acknowledged(set(acknowledged_slots)),
            "prompts": [f"p{i}" for i in range(PROMPTS)],
            "samples_per_group": SAMPLES_PER_GROUP,
            "max_tokens": 10,
            "trainer_version": version,
            "staleness_bound": 9,
            "service": "lm",
            **changes,
        }
    )


class Trainer:
    """Trainer that reads a step through random entry VMs and publishes versions.

    Parameters
    ----------
    world : World
        Where the trainer's events are recorded.
    accept_any_session : bool
        Whether lines of older sessions are recorded as lines of the newest one.
    """

    def __init__(self, world, accept_any_session=False):
        self.world, self.accept_any_session = world, accept_any_session
        self.session = self.version = 0
        self.acknowledged_slots, self.tasks, self.ended = set(), [], False

    def record_event(self, kind, session, *values):
        """Record an event with the number of its session."""
        session = self.session if self.accept_any_session else session
        self.world.events.append(kind(self.world.now_ms, "t", 1, session, *values))

    async def run(self, max_sessions=200):
        """Open sessions until one of them ends; older sessions continue to be read.

        Return whether the step ended within `max_sessions` sessions.
        """
        for _ in range(max_sessions):
            self.session += 1
            name = self.world.random.choice(sorted(self.world.vms))
            vm = self.world.vms[name]
            self.record_event(
                StepOpened,
                self.session,
                tuple(self.acknowledged_slots),
                PROMPTS * SAMPLES_PER_GROUP,
                self.version,
                STALENESS_BOUND,
            )
            prompts = [f"p{i}" for i in range(PROMPTS - 1)] + ["poison"]
            declaration = declare_step(
                self.session, self.acknowledged_slots, self.version, prompts=prompts
            )
            reading = vm.start(self.read(vm, declaration))
            read_limit_s = self.world.random.uniform(0.5, 6)
            await asyncio.wait([reading], timeout=read_limit_s)
            if self.ended:
                return True
            await self.world.pause(0, 0.3)
        return False

    async def read(self, vm, declaration):
        """Read the stream of one session to its end."""
        service, session = vm.services["steps"], declaration.session
        await vm.not_frozen.wait()
        try:
            holder = service.open(declaration)
        except RefusedError:
            return
        async with aclosing(holder.lines()) as lines:
            async for line in lines:
                if isinstance(line, Sample):
                    self.record_sample(session, line)
                elif isinstance(line, Failed):
                    self.record_event(SlotFailed, session, line.slot)
                    self.acknowledge(session, line.slot)
                elif isinstance(line, End):
                    self.record_event(StepEnded, session)
                    self.ended = self.ended or session == self.session
                await vm.not_frozen.wait()
                await self.world.pause(0, 0.05)
        service.close(holder)

    def record_sample(self, session, line):
        """Record a sample with one segment per token."""
        texts = line.text.rstrip(";").split(";")
        versions = [s.version for s in line.segments for _ in range(s.tokens)]
        segments = tuple(map(Segment, texts, versions))
        self.record_event(SampleDelivered, session, line.slot, segments)
        self.acknowledge(session, line.slot)

    def acknowledge(self, session, slot):
        """Acknowledge a slot if its line came from the newest session."""
        if session == self.session:
            self.acknowledged_slots.add(slot)

    async def publish(self, engines):
        """Publish versions until cancelled; engines load them with a lag."""
        while True:
            await self.world.pause(0.3, 1.5)
            name = self.world.random.choice(sorted(self.world.vms))
            session = self.session if self.world.random.random() < 0.7 else None
            step = None if session is None else 1
            vm = self.world.vms[name]
            work = vm.services["steps"].set_version(
                "t", self.version + 1, step, session
            )
            try:
                await asyncio.wait_for(vm.start(work), 4)
            except (TimeoutError, RefusedError):
                continue
            except asyncio.CancelledError:
                if vm.killed:
                    continue
                raise
            self.version += 1
            published = VersionPublished(self.world.now_ms, "t", self.version)
            self.world.events.append(published)
            engines.version = max(engines.version, self.version - 1)
            engines.version += self.world.random.random() < 0.7


async def inject_faults(world, engines, holder_type):
    """Inject random faults until cancelled."""
    while True:
        await world.pause(0.5, 3)
        name = world.random.choice(sorted(world.vms))
        fault = world.random.choice(["kill", "freeze", "cut", "down", "drain"])
        if fault == "kill":
            world.kill(name)
            start_vm(world, name, engines, holder_type)
        elif fault == "drain":
            await world.vms[name].services["steps"].drain(500)
            world.kill(name)
            start_vm(world, name, engines, holder_type)
        elif fault == "freeze":
            vm = world.vms[name]
            vm.not_frozen.clear()
            await world.pause(0.5, 4)
            vm.not_frozen.set()
        elif fault == "down":
            world.platform_down = True
            await world.pause(0.5, 4)
            world.platform_down = False
        else:
            other = world.random.choice(sorted(world.vms))
            world.cuts.add(frozenset((name, other)))
            await world.pause(0.5, 4)
            world.cuts.clear()


def record_random_history(seed, holder_type=StepHolder, accept_any_session=False):
    """Return the events of a random run and whether its step ended."""
    random.seed(seed)

    async def main():
        world = World(seed, lost_share=0.05, delayed_share=0.05)
        engines, trainer = (
            Engines(world, refused_share=0.1),
            Trainer(world, accept_any_session),
        )
        for name in "abcd":
            start_vm(world, name, engines, holder_type)
        background = [
            asyncio.ensure_future(trainer.publish(engines)),
            asyncio.ensure_future(inject_faults(world, engines, holder_type)),
        ]
        finished = await trainer.run()
        for task in background:
            task.cancel()
        return world.events, finished

    return run_virtual(main())
