"""Trainer steps on the users' platform, under the loads of its sites.

The product's batches, placement, orders and forwarding of three entry VMs run on
virtual time against engines without a network. A trainer submits a batch, reads results
until enough groups are complete, ends the batch and submits the next one at once.
"""

import asyncio
import random
from dataclasses import replace

from ebonylb.batches import Batch, MovePolicy
from ebonylb.batches.placement import ItemPlacement, ItemRequirements
from ebonylb.fleet import ListedServer
from ebonylb.interfaces.server_client import ModelVersion

from ..histories.virtual_time import run_virtual
from ..site.world import EntryVm, World
from .trial import quantile

# Engines, and groups of 8 items per step, of the smallest shape of each site.
SHAPES = {"abay": (6, 5), "song-huong": (5, 7)}
GROUP_SIZE = 8
TRAINERS = 2
STEPS = 4
MEDIAN_EVENTS, LENGTH_SIGMA, MAX_EVENTS = 24, 0.6, 150
ENTRY_VMS = ("a", "b", "c")
READ_WAIT_MS = 500
# One engine becomes four times slower, half a second into the first step.
SLOWDOWN_AT_MS, SLOWDOWN = 500, 4.0
# A third of the engines accepts no connections between these times.
LOSS_AT_MS, RECOVERY_AT_MS = 300, 2_500
# Versions are published as often as steps are submitted on the sites.
VERSION_INTERVAL_MS = 4_000


class FewestOwnRequestsPlacement(ItemPlacement):
    """Baseline: in order of arrival to the server with the fewest own requests."""

    async def acquire(self, need: ItemRequirements) -> ListedServer:
        """Wait for a server, ignoring due time, length, group and server to avoid."""
        return await super().acquire(
            replace(need, due_ms=0.0, remaining_events=0.0, group="", avoid=None)
        )

    def choose(
        self, need: ItemRequirements, forced: bool = False
    ) -> ListedServer | None:
        """Return the server with the fewest requests of this entry VM."""
        available_servers = [
            server
            for server in self.directory.ready(need.service)
            if self.fits(server, need, forced)
            and (
                forced
                or self.directory.condition(server.name).own_requests < server.slots
            )
        ]
        own_requests = {
            s.name: self.directory.condition(s.name).own_requests
            for s in available_servers
        }
        return min(
            available_servers,
            key=lambda server: own_requests[server.name],
            default=None,
        )


class NeverMove(MovePolicy):
    """Baseline: runs are not moved because of their server's speed."""

    def should_move(
        self, server: ListedServer, need: ItemRequirements, long: bool = False
    ) -> bool:
        """Return False: runs stay on the server where they began."""
        return False


class SiteTrial:
    """Two trainers, three entry VMs and the engines of one site.

    Parameters
    ----------
    site_name : str
        Name of the site.
    kind : str
        ``"policy"`` or ``"baseline"``.
    profile : str
        Not used: batches have no profiles.
    seed : int
        Seed of the items' lengths.
    engine_share : float
        Share of the site's engines that exist.
    """

    def __init__(
        self,
        site_name: str,
        kind: str,
        profile: str,
        seed: int,
        engine_share: float = 1.0,
    ) -> None:
        engines, self.groups = SHAPES[site_name]
        self.kind = kind
        self.rng = random.Random(seed)
        self.world = World(
            engines=max(1, round(engines * engine_share)), plain_services=0
        )
        self.vms: list[EntryVm] = []
        self.step_durations_s: list[float] = []
        self.item_count = 0

    @property
    def servers(self) -> list:
        """Engines in the order of their names."""
        return list(self.world.port.servers.values())

    def start(self) -> None:
        """Start the entry VMs on the running loop, with the trial's placement."""
        self.vms = [self.world.start(name) for name in ENTRY_VMS]
        if self.kind == "baseline":
            for vm in self.vms:
                placement = FewestOwnRequestsPlacement(
                    vm.directory, vm.placement.selector, self.world.clock
                )
                vm.ownership.runner.placement = placement
                vm.ownership.runner.attempts.placement = placement
                vm.ownership.runner.attempts.move_policy = NeverMove(placement)

    def draw_lengths(self) -> list[int]:
        """Return log-normal lengths of a step's items in events; a few are long."""
        return [
            min(
                MAX_EVENTS,
                max(
                    1,
                    round(self.rng.lognormvariate(0, LENGTH_SIGMA) * MEDIAN_EVENTS),
                ),
            )
            for _ in range(self.groups * GROUP_SIZE)
        ]

    async def run_trainer(self, trainer: int) -> None:
        """Run all steps of one trainer and record their durations.

        Raises
        ------
        RuntimeError
            A step was refused.
        """
        for step in range(STEPS):
            batch = self.world.batch(
                f"t{trainer}s{step}", self.draw_lengths(), GROUP_SIZE, step=step
            )
            vm = self.vms[(trainer + step) % len(self.vms)]
            started_ms = self.world.clock.monotonic_ms()
            refusal = await vm.batches.submit(batch)
            if refusal is not None:
                raise RuntimeError(f"step refused: {refusal}")
            await self.read_required_groups(vm, batch)
            self.step_durations_s.append(
                (self.world.clock.monotonic_ms() - started_ms) / 1000
            )
            await vm.batches.end(batch.header.batch_id)
            self.item_count += len(batch.items)

    async def read_required_groups(self, vm: EntryVm, batch: Batch) -> None:
        """Read results until 90% of the groups are complete."""
        required_groups = -(-9 * self.groups // 10)
        pending_groups = {item.item_id: item.group for item in batch.items}
        position = 0
        while len(set(pending_groups.values())) > self.groups - required_groups:
            page = await vm.batches.read(batch.header.batch_id, position, READ_WAIT_MS)
            results = page.ok_value.results
            position += len(results)
            for result in results:
                pending_groups.pop(result.item_id)

    def measure(self, disturbance=None) -> dict[str, float]:
        """Run the trainers; return step durations and the mean runs per item."""

        async def scenario() -> None:
            self.start()
            disturbances = [] if disturbance is None else [disturbance(self)]
            disturbance_tasks = [asyncio.create_task(task) for task in disturbances]
            async with asyncio.TaskGroup() as group:
                for trainer in range(TRAINERS):
                    group.create_task(self.run_trainer(trainer))
            for task in disturbance_tasks:
                task.cancel()

        run_virtual(scenario())
        runs = sum(len(server.started_request_ids) for server in self.servers)
        return {
            "median_s": quantile(self.step_durations_s, 0.5),
            "longest_s": max(self.step_durations_s),
            "runs": runs / self.item_count,
        }


async def slow_one_engine(trial: SiteTrial) -> None:
    """Slow one engine down."""
    await trial.world.clock.sleep_ms(SLOWDOWN_AT_MS)
    trial.servers[0].slowdown = SLOWDOWN


async def lose_third_of_engines(trial: SiteTrial) -> None:
    """Take down the engines of one failure domain and bring them back."""
    await trial.world.clock.sleep_ms(LOSS_AT_MS)
    lost = trial.servers[::3]
    for server in lost:
        server.mode = "absent"
    await trial.world.clock.sleep_ms(RECOVERY_AT_MS - LOSS_AT_MS)
    for server in lost:
        server.mode = "serves"


async def publish_versions(trial: SiteTrial) -> None:
    """Publish versions periodically, so that engines load while groups run there."""
    version = 1
    while True:
        await trial.world.clock.sleep_ms(VERSION_INTERVAL_MS)
        version += 1
        for vm in trial.vms:
            vm.orders.set_target_version(ModelVersion("m", version))
            vm.refresh()


def compare(make, disturbance) -> dict[str, float]:
    """Return the metrics under a disturbance.

    `ratio` is the longest step relative to the longest one without the disturbance.
    """
    undisturbed = make().measure()
    disturbed = make().measure(disturbance)
    return disturbed | {"ratio": disturbed["longest_s"] / undisturbed["longest_s"]}


def step_with_slow_engine(make) -> dict[str, float]:
    """Measure steps whose last group may wait for one slow engine."""
    return compare(make, slow_one_engine)


def step_with_lost_engines(make) -> dict[str, float]:
    """Measure steps during which a third of the engines is lost and comes back."""
    return compare(make, lose_third_of_engines)


def step_with_loads(make) -> dict[str, float]:
    """Measure steps while engines that hold a group's prompt must load weights."""
    return compare(make, publish_versions)


def steps_due_together(make) -> dict[str, float]:
    """Measure steps of two trainers due in the same second, with half the engines."""
    return make(engine_share=0.5).measure()
