import asyncio
import base64
import json
import os

import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer
from pydantic import ValidationError

from ebonylb.api.trainers import TrainerApi
from ebonylb.outcomes import RefusedError
from ebonylb.routing import Chunk
from ebonylb.steps import End, Failed, Moved, Sample, StepHolder, encode_acknowledged
from ebonylb.steps.attempts import Attempt
from ebonylb_standins.histories import CHECKERS, check_all, run_virtual
from ebonylb_standins.histories.steps_world import (
    PROMPTS,
    SAMPLES_PER_GROUP,
    STALENESS_BOUND,
    Engines,
    declare_step,
    record_random_history,
    start_vm,
)
from ebonylb_standins.histories.world import World

SEEDS = [int(s) for s in os.environ.get("SEEDS", "1,2,3,4,5,6").split(",")]


class NoDeliveryCheck(StepHolder):
    """Broken variant: delivers samples of any age."""

    def is_fresh(self, oldest):
        return True

    def set_version(self, version):
        self.trainer_version = max(version, self.trainer_version)


class RequestedVersionAttempt(Attempt):
    """Attempt that records the requested version instead of the chunk's."""

    def add(self, chunk):
        version = self.work.min_version + STALENESS_BOUND
        super().add(Chunk(chunk.text, chunk.tokens, version, chunk.server))


class ReportsRequestedVersion(StepHolder):
    """Broken variant: reports the requested version instead of the chunk's."""

    attempt_type = RequestedVersionAttempt


class NoFencing(StepHolder):
    """Broken variant: continues after a newer session.

    Its trainer accepts lines of every stream.
    """

    def stop(self, moved):
        if moved.reason != "superseded":
            super().stop(moved)


class IgnoresBitmap(StepHolder):
    """Broken variant: sends samples that the trainer already has."""

    def __init__(self, declaration, *others):
        super().__init__(declaration.model_copy(update={"acknowledged": ""}), *others)


class DropsSamples(StepHolder):
    """Broken variant: ends without the samples of some slots."""

    def make_line(self, item):
        line = super().make_line(item)
        if isinstance(line, Sample) and line.slot % 5 == 0:
            return None
        return line


class TestHistories:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_promises_hold_under_random_faults(self, seed):
        """Guards against broken promises under any mix of faults.

        P1: a segment has the version that produced its text. P2: no sample is older
        than the staleness bound. P3: each slot gets exactly one sample.
        """
        print("seed", seed)
        events, finished = record_random_history(seed)
        assert check_all(events) == []
        assert finished

    @pytest.mark.parametrize(
        ("variant", "promise"),
        [
            (ReportsRequestedVersion, "P1"),
            (NoDeliveryCheck, "P2"),
            (IgnoresBitmap, "P3"),
            (DropsSamples, "P3"),
            (NoFencing, "P3"),
        ],
    )
    def test_checkers_report_broken_variants(self, variant, promise):
        """Guards against a checker that accepts every history."""
        violations = []
        for seed in range(1, 7):
            events = record_random_history(seed, variant, variant is NoFencing)[0]
            violations += CHECKERS[promise](events)
        if violations:
            print(variant.__name__, len(violations), violations[0])
        assert violations


def run_scenario(scenario, holder_type=StepHolder, names="ab", **options):
    """Run a scenario in a simulated site of entry VMs and return its result."""

    async def main():
        world = World(1)
        engines = Engines(world)
        for name in names:
            start_vm(world, name, engines, holder_type, **options)
        return await asyncio.wait_for(scenario(world, engines), 3_600)

    return run_virtual(main())


def step_service(world, name="a"):
    """Return the step service of an entry VM."""
    return world.vms[name].services["steps"]


class TestHolder:
    def test_permanently_failed_slot_does_not_keep_the_step_open(self):
        """Guards against a step that never ends because a prompt crashes servers."""

        async def scenario(world, engines):
            declared = declare_step(prompts=["p", "poison"])
            return [line async for line in step_service(world).open(declared).lines()]

        lines = run_scenario(scenario)
        failed = [line for line in lines if isinstance(line, Failed)]
        assert sorted(line.slot for line in failed) == [4, 5, 6, 7]
        assert failed[0].outcome == "given_up"
        assert lines[-1] == End(4, 4, 0, 0)

    def test_straggler_gets_a_copy_elsewhere_and_the_slow_one_is_cancelled(self):
        """Guards against a slow server that delays the end of a step."""

        async def scenario(world, engines):
            engines.slow_id = ".1.17."
            holder = step_service(world).open(declare_step())
            lines = [line async for line in holder.lines()]
            return lines, holder.hedged, engines.closed_early, world.now_ms

        lines, hedged, closed, now_ms = run_scenario(scenario)
        last = [line for line in lines if isinstance(line, Sample)][-1]
        assert (last.slot, last.segments[0].server) == (17, "e2")
        assert (hedged, closed) == (1, 1) and now_ms < 30_000

    def test_samples_of_a_group_name_one_group(self):
        """Guards against a prompt's prefix being computed on several servers."""

        async def scenario(world, engines):
            async for _ in step_service(world).open(declare_step()).lines():
                pass
            return engines.group_servers

        groups = run_scenario(scenario)
        assert {len(servers) for servers in groups.values()} == {SAMPLES_PER_GROUP}
        assert len(groups) == PROMPTS

    def test_slow_trainer_stops_new_work(self):
        """Guards against samples that a slow trainer leaves unread in memory."""

        async def scenario(world, engines):
            lines = step_service(world).open(declare_step()).lines()
            await anext(lines)
            await asyncio.sleep(100)
            started = sum(len(servers) for servers in engines.group_servers.values())
            await lines.aclose()
            return started, engines.active

        started, active = run_scenario(scenario, concurrency=3)
        assert started <= 3 + 1 and active == 0

    def test_version_cancels_work_that_became_too_old(self):
        """Guards against engines that finish samples too old to be delivered."""

        async def scenario(world, engines):
            holder = step_service(world).open(declare_step())
            lines = holder.lines()
            await anext(lines)
            engines.version = 5
            await step_service(world, "b").set_version("t", 5)
            rest = [line async for line in lines]
            oldest = min(s.version for sample in rest[:-1] for s in sample.segments)
            return oldest, rest[-1], engines.closed_early

        oldest, end, closed = run_scenario(scenario)
        assert oldest >= 4 and closed > 0
        assert end.delivered == PROMPTS * SAMPLES_PER_GROUP and end.cancelled > 0

    def test_drain_delivers_whole_samples_then_moves(self):
        """Guards against a shutdown that discards finished samples."""

        async def scenario(world, engines):
            lines = []

            async def read():
                async for line in step_service(world).open(declare_step()).lines():
                    lines.append(line)

            reading = asyncio.ensure_future(read())
            await asyncio.sleep(0.5)
            running = engines.active
            before = len(lines)
            await step_service(world).drain(60_000)
            await reading
            with pytest.raises(RefusedError):
                step_service(world).open(declare_step(2))
            return lines, before + running, engines.closed_early

        lines, expected, closed = run_scenario(scenario)
        assert lines[-1] == Moved("draining") and closed == 0
        assert len(lines) - 1 >= expected


class TestSessions:
    def test_newer_session_elsewhere_ends_the_older_stream(self):
        """Guards against two holders that work on one step."""

        async def scenario(world, engines):
            older = step_service(world, "a").open(declare_step(1)).lines()
            await anext(older)
            newer = step_service(world, "b").open(declare_step(2)).lines()
            await anext(newer)
            rest = [line async for line in older]
            with pytest.raises(RefusedError, match="session 2"):
                step_service(world, "a").open(declare_step(2))
            await newer.aclose()
            return rest[-1], world.rows["steps", "t/1"].value["session"]

        assert run_scenario(scenario) == (Moved("superseded"), 2)

    def test_version_waits_for_the_holder(self):
        """Guards against a version confirmed while its holder applies an older one."""

        async def scenario(world, engines):
            lines = step_service(world, "b").open(declare_step()).lines()
            await anext(lines)
            await asyncio.sleep(0.1)
            world.cuts.add(frozenset("ab"))
            for stream in ((1, 1), (None, None)):
                with pytest.raises(RefusedError, match="entry VM b"):
                    await step_service(world, "a").set_version("t", 3, *stream)
            world.cuts.clear()
            await step_service(world, "a").set_version("t", 3, 1, 1)
            await lines.aclose()
            return step_service(world, "b").versions["t"]

        assert run_scenario(scenario) == 3


class TestDeclaration:
    @pytest.mark.parametrize(
        ("changes", "message"),
        [
            ({"acknowledged": "?"}, "standard base64"),
            ({"acknowledged": base64.b64encode(b"\0\0\0\1").decode()}, "0 to 23"),
            ({"samples_per_group": 60_000}, "at most 65536"),
            ({"sesion": 1}, "sesion"),
        ],
    )
    def test_mistakes_name_what_is_valid(self, changes, message):
        """Guards against an error message that does not name the valid values."""
        with pytest.raises(ValidationError, match=message):
            declare_step(**changes)

    def test_bitmap_round_trip(self):
        """Guards against slots numbered from the wrong end of a byte."""
        assert encode_acknowledged({0, 9}) == base64.b64encode(b"\1\2").decode()
        assert declare_step(acknowledged_slots={0, 9, 23}).acknowledged_slots() == {
            0,
            9,
            23,
        }


class TestTrainerApi:
    def test_stream_and_refusals_over_http(self):
        """Guards against steps of other parties, vague errors and truncated streams."""

        async def main():
            world = World(1)
            service = start_vm(world, "a", Engines(world)).services["steps"]
            app = web.Application()
            api = TrainerApi(service, lambda request: request.headers["party"])
            app.add_routes(api.routes())
            own_headers, other_headers = {"party": "t"}, {"party": "u"}
            text = declare_step(prompts=["p"]).model_dump_json()
            async with TestClient(TestServer(app)) as client:

                async def post(path, data, headers):
                    response = await client.post(path, data=data, headers=headers)
                    return response.status, await response.text()

                results = [
                    await post("/v1/steps", text, own_headers),
                    await post("/v1/steps", text, own_headers),
                    await post("/v1/steps", text, other_headers),
                    await post("/v1/steps", '{"trainer": 1, "sesion": 2}', own_headers),
                    await post("/v1/trainers/t/version", '{"version": 4}', own_headers),
                    await post(
                        "/v1/trainers/t/version", '{"version": 4}', other_headers
                    ),
                ]
            return results

        results = asyncio.run(main())
        assert [status for status, _ in results] == [200, 409, 403, 422, 200, 403]
        lines = [json.loads(line) for line in results[0][1].splitlines()]
        assert [fields["type"] for fields in lines] == ["sample"] * 4 + ["end"]
        assert "unknown key; valid keys are acknowledged" in results[3][1]
