"""Tests of the lead that the steps of a waiting trainer get.

The load pattern: after an outage one trainer is behind its schedule and asks for each
step as soon as it has trained on one before, while others keep their schedule; all of
them share engines that are full.
"""

import asyncio

import pytest

from ebonylb.batches import BatchHeader
from ebonylb.batches.pace import LEAD_MS, WAITED_FOR_VERSION_MS, TrainerPace
from ebonylb.interfaces.server_client import ModelVersion
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.manual_clock import ManualClock
from ebonylb_standins.site.world import World, read_all


def header(step=3, model="m"):
    return BatchHeader("b", "r", 1, 0, model=model, step=step)


class TestTrainerPace:
    @pytest.fixture
    def clock(self):
        return ManualClock(100_000.0)

    @pytest.fixture
    def pace(self, clock):
        pace = TrainerPace(clock)
        pace.record_version(ModelVersion("m", 3))
        return pace

    def test_a_trainer_that_waited_for_its_version_leads(self, pace, clock):
        pace.record_version(ModelVersion("m", 4))
        now = clock.monotonic_ms()
        assert pace.lead_ms(header(), now + 10) == LEAD_MS
        assert pace.lead_ms(header(), now + WAITED_FOR_VERSION_MS + 1) == 0

    def test_other_trainers_and_other_work_do_not(self, pace, clock):
        pace.record_version(ModelVersion("m", 4))
        now = clock.monotonic_ms()
        assert pace.lead_ms(header(model="other"), now) == 0
        assert pace.lead_ms(header(step=-1), now) == 0

    def test_the_first_version_seen_says_nothing(self, pace, clock):
        assert pace.lead_ms(header(), clock.monotonic_ms()) == 0

    def test_an_older_version_says_nothing(self, pace, clock):
        pace.record_version(ModelVersion("m", 2))
        assert pace.lead_ms(header(), clock.monotonic_ms()) == 0


class TestLateTrainer:
    @staticmethod
    async def duration_of_late_step(waited):
        """Return how long a step takes that is asked for behind a full backlog."""
        world = World(engines=2)
        vm = world.start("a")
        for version in (1, 2):
            vm.set_target_version(ModelVersion("other", version))
        await world.clock.sleep_ms(WAITED_FOR_VERSION_MS + 100)
        backlog = world.batch("x", [30] * 96, step=1)
        assert await vm.batches.submit(backlog) is None
        await world.clock.sleep_ms(1_000)
        if waited:
            vm.set_target_version(ModelVersion("m", 1))
            vm.set_target_version(ModelVersion("m", 2))
        began_ms = world.clock.monotonic_ms()
        assert await vm.batches.submit(world.batch("y", [30] * 16, step=2)) is None
        backlog_read = asyncio.create_task(read_all(vm, "x", 96))
        await read_all(vm, "y", 16)
        elapsed_ms = world.clock.monotonic_ms() - began_ms
        await backlog_read
        return elapsed_ms

    def test_its_step_does_not_wait_behind_those_with_time(self):
        waiting = run_virtual(self.duration_of_late_step(True))
        on_time = run_virtual(self.duration_of_late_step(False))
        assert waiting < on_time - 700
