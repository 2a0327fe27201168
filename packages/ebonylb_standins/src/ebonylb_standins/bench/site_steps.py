"""Steps of trainers on the users' platform, under the loads that its sites have.

Real batches, placement, orders and forwarding of three entry VMs run on virtual time
against engines without a network. A trainer submits a batch, reads results until enough
groups are complete, ends the batch and submits the next one at once.
"""

import asyncio
import random
from dataclasses import replace

from ebonylb.batches import Batch
from ebonylb.batches.placement import ItemPlacement, ItemRequirements
from ebonylb.fleet import ListedServer
from ebonylb.interfaces.server_client import ModelVersion

from ..histories.virtual_time import run_virtual
from ..site.world import EntryVm, World
from .trial import quantile

# Engines, and groups of 8 items in a step, of the two sites' smallest shapes.
SHAPES = {"abay": (6, 5), "song-huong": (5, 7)}
GROUP_SIZE = 8
TRAINERS = 2
STEPS = 4
USUAL_EVENTS, SPREAD_OF_LENGTHS, MOST_EVENTS = 24, 0.6, 150
ENTRY_VMS = ("a", "b", "c")
READ_WAIT_MS = 500
# One engine in five slows four times, half a second into the first step.
SLOWED_MS, SLOWDOWN = 500, 4.0
# A third of the engines is away between these times.
LOST_MS, BACK_MS = 300, 2_500
# A version is named as often as a step is submitted on the sites.
VERSION_EVERY_MS = 4_000


class FewestOwnPlacement(ItemPlacement):
    """Baseline: in order of arrival, to the server with the fewest own requests."""

    async def acquire(self, need: ItemRequirements) -> ListedServer:
        """Wait for a server, whatever is due and however long the item is."""
        return await super().acquire(
            replace(need, due_ms=0.0, length_hint=0, group="", avoid=None)
        )

    def choose(
        self, need: ItemRequirements, forced: bool = False
    ) -> ListedServer | None:
        """Return the server with the fewest requests of this entry VM."""
        room = [
            server
            for server in self.directory.ready(need.service)
            if self.fits(server, need, forced)
            and (
                forced
                or self.directory.condition(server.name).own_requests < server.slots
            )
        ]
        own = {s.name: self.directory.condition(s.name).own_requests for s in room}
        return min(room, key=lambda server: own[server.name], default=None)

    def should_move(
        self, server: ListedServer, need: ItemRequirements, long: bool = False
    ) -> bool:
        """Leave each run where it began."""
        return False


class SiteTrial:
    """Two trainers, three entry VMs and the engines of one site.

    Parameters
    ----------
    place : str
        Name of the site.
    kind : str
        ``"policy"`` or ``"baseline"``.
    profile : str
        Not used: batches have no profiles.
    seed : int
        Seed of the items' lengths.
    engines_part : float
        Part of the site's engines that there are.
    """

    def __init__(
        self,
        place: str,
        kind: str,
        profile: str,
        seed: int,
        engines_part: float = 1.0,
    ) -> None:
        engines, self.groups = SHAPES[place]
        self.kind = kind
        self.rng = random.Random(seed)
        self.world = World(engines=max(1, round(engines * engines_part)), plain=0)
        self.vms: list[EntryVm] = []
        self.step_s: list[float] = []
        self.items = 0

    @property
    def servers(self) -> list:
        """Engines in the order of their names."""
        return list(self.world.port.servers.values())

    def start(self) -> None:
        """Start the entry VMs on the running loop."""
        self.vms = [self.world.start(name) for name in ENTRY_VMS]
        if self.kind == "baseline":
            for vm in self.vms:
                vm.custody.runner.placement = FewestOwnPlacement(
                    vm.directory, vm.placement.choice, self.world.clock
                )

    def lengths(self) -> list[int]:
        """Return the lengths of a step's items in events; a few are long."""
        return [
            min(
                MOST_EVENTS,
                max(
                    1,
                    round(self.rng.lognormvariate(0, SPREAD_OF_LENGTHS) * USUAL_EVENTS),
                ),
            )
            for _ in range(self.groups * GROUP_SIZE)
        ]

    async def train(self, trainer: int) -> None:
        """Run all steps of one trainer."""
        for step in range(STEPS):
            batch = self.world.batch(
                f"t{trainer}s{step}", self.lengths(), GROUP_SIZE, step=step
            )
            vm = self.vms[(trainer + step) % len(self.vms)]
            began = self.world.clock.monotonic_ms()
            refusal = await vm.batches.submit(batch)
            if refusal is not None:
                raise RuntimeError(f"step refused: {refusal}")
            await self.read_groups(vm, batch)
            self.step_s.append((self.world.clock.monotonic_ms() - began) / 1000)
            await vm.batches.end(batch.header.batch_id)
            self.items += len(batch.items)

    async def read_groups(self, vm: EntryVm, batch: Batch) -> None:
        """Read results until nine groups in ten are complete."""
        wanted = -(-9 * self.groups // 10)
        left = {item.item_id: item.group for item in batch.items}
        position = 0
        while len(set(left.values())) > self.groups - wanted:
            page = await vm.batches.read(batch.header.batch_id, position, READ_WAIT_MS)
            results = page.ok_value.results
            position += len(results)
            for result in results:
                left.pop(result.item_id)

    def figures(self, disturbance=None) -> dict[str, float]:
        """Return the steps' durations, and the runs that each item took."""

        async def scenario() -> None:
            self.start()
            tasks = [] if disturbance is None else [disturbance(self)]
            disturbing = [asyncio.create_task(task) for task in tasks]
            async with asyncio.TaskGroup() as group:
                for trainer in range(TRAINERS):
                    group.create_task(self.train(trainer))
            for task in disturbing:
                task.cancel()

        run_virtual(scenario())
        runs = sum(len(server.ran) for server in self.servers)
        return {
            "median_s": quantile(self.step_s, 0.5),
            "longest_s": max(self.step_s),
            "runs": runs / self.items,
        }


async def slow_one(trial: SiteTrial) -> None:
    """Slow one engine."""
    await trial.world.clock.sleep_ms(SLOWED_MS)
    trial.servers[0].slowdown = SLOWDOWN


async def lose_a_third(trial: SiteTrial) -> None:
    """Lose a failure domain's engines, and bring them back."""
    await trial.world.clock.sleep_ms(LOST_MS)
    lost = trial.servers[::3]
    for server in lost:
        server.mode = "absent"
    await trial.world.clock.sleep_ms(BACK_MS - LOST_MS)
    for server in lost:
        server.mode = "serves"


async def name_versions(trial: SiteTrial) -> None:
    """Name a version now and then, so that engines load while groups run there."""
    version = 1
    while True:
        await trial.world.clock.sleep_ms(VERSION_EVERY_MS)
        version += 1
        for vm in trial.vms:
            vm.orders.set_target_version(ModelVersion("m", version))
            vm.refresh()


def compared(make, disturbance) -> dict[str, float]:
    """Return figures under a disturbance, and the longest step over the calm one."""
    calm = make().figures()
    disturbed = make().figures(disturbance)
    return disturbed | {"ratio": disturbed["longest_s"] / calm["longest_s"]}


def step_with_slow_engine(make) -> dict[str, float]:
    """Pattern: the last group of a step waits for one slow engine."""
    return compared(make, slow_one)


def step_with_lost_engines(make) -> dict[str, float]:
    """Pattern: a third of the engines is lost in the middle and comes back."""
    return compared(make, lose_a_third)


def step_with_loads(make) -> dict[str, float]:
    """Pattern: an engine that has a group's prompt is ordered to load weights."""
    return compared(make, name_versions)


def steps_due_together(make) -> dict[str, float]:
    """Pattern: two trainers are due in the same second, slots are short."""
    return make(engines_part=0.5).figures()
