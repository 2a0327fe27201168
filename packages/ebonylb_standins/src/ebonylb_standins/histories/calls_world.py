"""Simulation of entry VMs that run calls, with callers and random faults."""

import asyncio
import random

from ebonylb.calls import CallPeers, CallService, ClaimStore, Journal, KeyIssuer
from ebonylb.interfaces import CallResponse
from ebonylb.outcomes import RefusedError, StepError
from ebonylb.routing import Executor
from ebonylb.storage import GroupCommit

from .events import CallAnswered, CallDeclined, CallRan, CallRefused, CallSent
from .virtual_time import LoopClock, run_virtual
from .world import Platform, SimulatedVM, World

RETENTION_MS = 30_000


class Backend(Executor):
    """Backend server that records each run.

    Parameters
    ----------
    world : World
        Where runs are recorded.
    broken_share : float
        Share of calls whose connection breaks after the run.
    declined_share : float
        Share of calls that are declined before they run.
    """

    def __init__(self, world, broken_share=0.0, declined_share=0.0):
        self.world, self.broken_share, self.declined_share = (
            world,
            broken_share,
            declined_share,
        )
        self.responses_allowed = asyncio.Event()
        self.responses_allowed.set()

    def generate(self, work):
        """Raise: this server runs calls only."""
        raise NotImplementedError

    async def call(self, work):
        """Decline a call, or run it and return its response.

        Clearing `responses_allowed` holds the responses of all runs back.
        """
        draw = self.world.random.random()
        if draw < self.declined_share:
            self.world.events.append(CallDeclined(self.world.now_ms, work.request_id))
            raise StepError("service.connect", "b", "refused", may_have_run=False)
        body = work.payload.body.decode()
        response = f"{body}#{work.request_id}"
        now = self.world.now_ms
        self.world.events.append(
            CallRan(now, work.party, work.request_id, body, response)
        )
        await self.responses_allowed.wait()
        await self.world.pause(0.01, 0.5)
        if draw > 1 - self.broken_share:
            raise StepError("service.answer", "b", "connection broke")
        return CallResponse(200, response.encode(), "text/plain", "b")


class SimulatedPeers(CallPeers):
    """Access to other entry VMs over the simulated network."""

    def __init__(self, world, vm):
        self.world, self.vm = world, vm

    async def request(self, entry_vm, message, timeout_ms):
        """Send a message and return the reply."""
        return await self.world.request(self.vm, entry_vm, message, timeout_ms)

    def has_incarnation_ended(self, entry_vm, incarnation):
        """Return whether an incarnation was killed over 1 s ago.

        The delay stands for the lag of the platform's VM list.
        """
        killed_at_ms = self.world.killed_at_ms.get((entry_vm, incarnation))
        return killed_at_ms is not None and self.world.now_ms - killed_at_ms > 1_000

    def entry_vms(self):
        """Return the names of all other entry VMs."""
        return [name for name in self.world.vms if name != self.vm.name]

    def has_possible_loss_within(self, duration_ms):
        """Return whether any VM was killed within the last `duration_ms`."""
        deaths = self.world.killed_at_ms.values()
        return any(
            self.world.now_ms - killed_at_ms < duration_ms for killed_at_ms in deaths
        )


async def start_vm(world, name, backend, claim_type=ClaimStore, **limits):
    """Start an entry VM; it replaces an earlier one of the same name."""
    incarnation = f"{name}{world.random.randrange(10**9)}"
    vm = world.add(SimulatedVM(name, incarnation))
    platform, clock, peers = (
        Platform(world, vm),
        LoopClock(),
        SimulatedPeers(world, vm),
    )
    group_commit = GroupCommit(platform, clock)
    max_rows, max_bytes = limits.get("max_rows", 1_000), limits.get("max_bytes", 10**6)
    journal = Journal(
        group_commit, platform, platform, clock, name, max_rows, max_bytes
    )
    issuer = KeyIssuer(name, incarnation, "s" * 16, clock, RETENTION_MS)
    claims = claim_type(group_commit, journal, peers, name, incarnation, RETENTION_MS)
    service = CallService(issuer, claims, journal, backend, peers, clock, RETENTION_MS)
    service.register(vm)
    await group_commit.start()
    await journal.start()
    vm.services["calls"] = service
    return vm


def kill(world, name):
    """Kill an entry VM, with the tasks of its call service."""
    service = world.vms[name].services["calls"]
    world.kill(name)
    group_commit = service.journal.group_commit
    for task in [*service.running, *group_commit.transactions, group_commit.flush_task]:
        task.cancel()
    service.journal.task.cancel()


async def send(world, name, request_id, key, body="x", deadline_ms=3_000, party="p"):
    """Send one call; return the response, the refusal, or None if neither came."""
    world.events.append(CallSent(world.now_ms, request_id, party, key or "", body))
    vm = world.vms[name]
    service = vm.services["calls"]
    task = vm.start(
        service.run(
            request_id, party, "desk", key, body.encode(), "text/plain", deadline_ms
        )
    )
    try:
        response = await asyncio.wait_for(task, deadline_ms / 1000 + 8)
    except RefusedError as error:
        refusal = error.refusal
        world.events.append(
            CallRefused(world.now_ms, request_id, refusal.outcome, refusal.reason)
        )
        return refusal
    except (TimeoutError, asyncio.CancelledError):
        return None
    text = response.body.decode()
    world.events.append(CallAnswered(world.now_ms, request_id, text))
    return text


async def run_caller(world, number):
    """Send one call until it has a response, sometimes twice at the same time.

    Return whether a response came within 6 attempts.
    """
    generator = world.random
    await world.pause(0, 20)
    key, name = f"k{number}", generator.choice(sorted(world.vms))
    if generator.random() < 0.5:
        key = world.vms[name].services["calls"].issuer.issue("p")
    for attempt in range(6):
        names = generator.choices(sorted(world.vms), k=1 + (generator.random() < 0.3))
        responses = await asyncio.gather(
            *(
                send(world, name, f"r{number}.{attempt}.{i}", key, f"b{number}")
                for i, name in enumerate(names)
            )
        )
        if any(isinstance(response, str) for response in responses):
            return True
        await world.pause(0.1, 3)
    return False


async def inject_faults(world, backend, claim_type):
    """Inject random faults until cancelled."""
    while True:
        await world.pause(0.1, 2)
        name = world.random.choice(sorted(world.vms))
        fault = world.random.choice(["kill", "freeze", "cut", "down", "platform"])
        if fault == "kill":
            kill(world, name)
            await world.pause(0, 2)
            await start_vm(world, name, backend, claim_type)
        elif fault == "freeze":
            vm = world.vms[name]
            vm.not_frozen.clear()
            await world.pause(0.5, 6)
            vm.not_frozen.set()
        elif fault == "down":
            world.platform_down = True
            await world.pause(0.5, 6)
            world.platform_down = False
        else:
            other = world.random.choice([*sorted(world.vms), "platform"])
            other = "platform" if fault == "platform" else other
            world.cuts.add(frozenset((name, other)))
            await world.pause(0.5, 6)
            world.cuts.clear()


def record_random_history(seed, claim_type=ClaimStore, callers=60):
    """Return the events of a random run and the number of calls with a response."""
    random.seed(seed)  # the code under test draws its pauses from the global generator

    async def main():
        world = World(seed, lost_share=0.05, delayed_share=0.05)
        backend = Backend(world, broken_share=0.05, declined_share=0.1)
        for name in "abcdef":
            await start_vm(world, name, backend, claim_type)
        injector = asyncio.ensure_future(inject_faults(world, backend, claim_type))
        answered_calls = await asyncio.gather(
            *(run_caller(world, i) for i in range(callers))
        )
        injector.cancel()
        return world.events, sum(answered_calls)

    return run_virtual(main())
