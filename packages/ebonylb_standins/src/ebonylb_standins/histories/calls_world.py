"""Entry VMs that run calls, with callers and random faults."""

import asyncio
import random

from ebonylb.calls import CallPeers, CallService, ClaimStore, Journal, KeyIssuer
from ebonylb.interfaces import CallResponse
from ebonylb.outcomes import RefusedError, StepError
from ebonylb.routing import Executor
from ebonylb.storage import GroupCommit

from .events import CallAnswered, CallDeclined, CallRan, CallRefused, CallSent
from .virtual_time import LoopClock, run_virtual
from .world import Machine, Platform, World

RETENTION_MS = 30_000


class Backend(Executor):
    """Backend server that records each run."""

    def __init__(self, world, unclear=0.0, refused=0.0):
        self.world, self.unclear, self.refused = world, unclear, refused
        self.gate = asyncio.Event()
        self.gate.set()

    def generate(self, work):
        """Generate nothing; calls only."""
        raise NotImplementedError

    async def call(self, work):
        """Decline, or run and answer."""
        chance = self.world.random.random()
        if chance < self.refused:
            self.world.events.append(CallDeclined(self.world.now_ms, work.request_id))
            raise StepError("service.connect", "b", "refused", may_have_run=False)
        body = work.payload.body.decode()
        answer = f"{body}#{work.request_id}"
        now = self.world.now_ms
        self.world.events.append(
            CallRan(now, work.party, work.request_id, body, answer)
        )
        await self.gate.wait()
        await self.world.pause(0.01, 0.5)
        if chance > 1 - self.unclear:
            raise StepError("service.answer", "b", "connection broke")
        return CallResponse(200, answer.encode(), "text/plain", "b")


class Reach(CallPeers):
    """Other entry VMs over the network of the world."""

    def __init__(self, world, machine):
        self.world, self.machine = world, machine

    async def request(self, entry_vm, message, timeout_ms):
        """Send a message."""
        return await self.world.request(self.machine, entry_vm, message, timeout_ms)

    def has_incarnation_ended(self, entry_vm, incarnation):
        """Know of a death after a second, as from a lagging list."""
        died = self.world.deaths.get((entry_vm, incarnation))
        return died is not None and self.world.now_ms - died > 1_000

    def entry_vms(self):
        """Return the others."""
        return [name for name in self.world.machines if name != self.machine.name]

    def has_possible_loss_within(self, duration_ms):
        """Tell of recent deaths."""
        deaths = self.world.deaths.values()
        return any(self.world.now_ms - died < duration_ms for died in deaths)


async def start_vm(world, name, backend, claim_type=ClaimStore, **limits):
    """Start an entry VM, in place of the earlier one of its name."""
    incarnation = f"{name}{world.random.randrange(10**9)}"
    machine = world.add(Machine(name, incarnation))
    platform, clock, peers = (
        Platform(world, machine),
        LoopClock(),
        Reach(world, machine),
    )
    group = GroupCommit(platform, clock)
    rows, size = limits.get("rows", 1_000), limits.get("size", 10**6)
    journal = Journal(group, platform, platform, clock, name, rows, size)
    issuer = KeyIssuer(name, incarnation, "s" * 16, clock, RETENTION_MS)
    claims = claim_type(group, journal, peers, name, incarnation, RETENTION_MS)
    service = CallService(issuer, claims, journal, backend, peers, clock, RETENTION_MS)
    service.register(machine)
    await group.start()
    await journal.start()
    machine.parts["calls"] = service
    return machine


def kill(world, name):
    """End an entry VM with its memory and its tasks."""
    service = world.machines[name].parts["calls"]
    world.kill(name)
    group = service.journal.group_commit
    for task in [*service.running, *group.transactions, group.flush_task]:
        task.cancel()
    service.journal.task.cancel()


async def send(world, name, request_id, key, body="x", deadline_ms=3_000, party="p"):
    """Send one call; return the answer, the refusal, or None if cut off."""
    world.events.append(CallSent(world.now_ms, request_id, party, key or "", body))
    machine = world.machines[name]
    service = machine.parts["calls"]
    task = machine.start(
        service.run(
            request_id, party, "desk", key, body.encode(), "text/plain", deadline_ms
        )
    )
    try:
        answer = await asyncio.wait_for(task, deadline_ms / 1000 + 8)
    except RefusedError as error:
        refusal = error.refusal
        world.events.append(
            CallRefused(world.now_ms, request_id, refusal.outcome, refusal.reason)
        )
        return refusal
    except (TimeoutError, asyncio.CancelledError):
        return None
    text = answer.body.decode()
    world.events.append(CallAnswered(world.now_ms, request_id, text))
    return text


async def caller(world, number):
    """Send one call until it has a final answer, at times twice at once."""
    choice = world.random
    await world.pause(0, 20)
    key, name = f"k{number}", choice.choice(sorted(world.machines))
    if choice.random() < 0.5:
        key = world.machines[name].parts["calls"].issuer.issue("p")
    for attempt in range(6):
        names = choice.choices(sorted(world.machines), k=1 + (choice.random() < 0.3))
        answers = await asyncio.gather(
            *(
                send(world, name, f"r{number}.{attempt}.{i}", key, f"b{number}")
                for i, name in enumerate(names)
            )
        )
        if any(isinstance(answer, str) for answer in answers):
            return True
        await world.pause(0.1, 3)
    return False


async def faults(world, backend, claim_type):
    """Inject random faults until cancelled."""
    while True:
        await world.pause(0.1, 2)
        name = world.random.choice(sorted(world.machines))
        fault = world.random.choice(["kill", "freeze", "cut", "down", "platform"])
        if fault == "kill":
            kill(world, name)
            await world.pause(0, 2)
            await start_vm(world, name, backend, claim_type)
        elif fault == "freeze":
            machine = world.machines[name]
            machine.awake.clear()
            await world.pause(0.5, 6)
            machine.awake.set()
        elif fault == "down":
            world.down = True
            await world.pause(0.5, 6)
            world.down = False
        else:
            other = world.random.choice([*sorted(world.machines), "platform"])
            other = "platform" if fault == "platform" else other
            world.cuts.add(frozenset((name, other)))
            await world.pause(0.5, 6)
            world.cuts.clear()


def random_history(seed, claim_type=ClaimStore, callers=60):
    """Return the events of a random run, and how many callers got answers."""
    random.seed(seed)  # the code's own pauses

    async def main():
        world = World(seed, lost=0.05, delayed=0.05)
        backend = Backend(world, unclear=0.05, refused=0.1)
        for name in "abcdef":
            await start_vm(world, name, backend, claim_type)
        injector = asyncio.ensure_future(faults(world, backend, claim_type))
        answered = await asyncio.gather(*(caller(world, i) for i in range(callers)))
        injector.cancel()
        return world.events, sum(answered)

    return run_virtual(main())
