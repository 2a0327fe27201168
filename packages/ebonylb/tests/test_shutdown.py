import asyncio
import time

import pytest
from aiohttp import web
from aiohttp.test_utils import make_mocked_request
from transitions import MachineError

from ebonylb.api.admission import Admission
from ebonylb.interfaces import Clock
from ebonylb.shutdown import (
    EntryVmLifecycle,
    ShutdownStages,
    StageKind,
    sequence,
    shutdown,
)


class RealClock(Clock):
    def monotonic_ms(self):
        return time.monotonic() * 1000

    def wall_ms(self):
        return int(time.time() * 1000)

    async def sleep_ms(self, duration_ms):
        await asyncio.sleep(duration_ms / 1000)


def run_shutdown(behaviour, limit_ms=60_000, grace_ms=1):
    """Run a shutdown in which `behaviour` maps stages to asynchronous functions.

    Return the lifecycle, the state at the start of each stage, and the reports.
    """
    lifecycle, stage_calls = EntryVmLifecycle(), []
    lifecycle.become_ready()
    stages = ShutdownStages()
    for kind in StageKind:

        async def stage(kind=kind):
            stage_calls.append((kind, lifecycle.state, lifecycle.can_admit_requests()))
            if kind in behaviour:
                await behaviour[kind]()

        stages.add(kind, stage)
    reports = asyncio.run(shutdown(lifecycle, stages, RealClock(), grace_ms, limit_ms))
    return lifecycle, stage_calls, reports


async def hang():
    await asyncio.Event().wait()


async def fail():
    raise OSError("broken")


class TestLifecycle:
    def test_states_only_move_forward(self):
        """Guards against a leaving entry VM that returns to ready."""
        lifecycle = EntryVmLifecycle()
        assert not lifecycle.can_admit_requests()
        lifecycle.become_ready()
        lifecycle.leave()
        with pytest.raises(MachineError):
            lifecycle.become_ready()

    def test_starting_vm_never_admits(self):
        """Guards against requests admitted without a configuration.

        An entry VM that is stopped while it starts has not read a configuration.
        """
        lifecycle = EntryVmLifecycle()
        lifecycle.leave()
        assert not lifecycle.can_admit_requests()


class TestShutdown:
    def test_admits_until_the_grace_has_passed(self):
        """Guards against refusal of requests that the balancer still sends."""
        lifecycle, stage_calls, reports = run_shutdown({})
        assert [kind for kind, _, _ in stage_calls] == list(StageKind)
        assert [admits for _, _, admits in stage_calls] == [True] * 2 + [False] * 4
        assert {report.outcome for report in reports} == {"done"}
        assert lifecycle.state == "stopped"

    def test_failed_stage_does_not_stop_the_rest(self):
        """Guards against a lost journal because a peer cannot be notified."""
        lifecycle, stage_calls, reports = run_shutdown({StageKind.TELL_PEERS: fail})
        assert reports[0].outcome == "failed"
        assert len(stage_calls) == 6 and lifecycle.state == "stopped"

    def test_hanging_work_leaves_time_for_steps_and_journal(self):
        """Guards against an exit without `moved` lines or without a journal flush."""

        async def short():
            await asyncio.sleep(0.001)

        _, _, reports = run_shutdown(
            {
                StageKind.WAIT_IN_FLIGHT: hang,
                StageKind.END_STEPS: short,
                StageKind.FLUSH_JOURNAL: short,
            },
            limit_ms=2_000,
        )
        outcomes = [report.outcome for report in reports]
        assert outcomes == ["done"] * 3 + ["timed_out", "done", "done"]
        assert sum(report.duration_ms for report in reports) <= 2_500

    def test_second_signal_is_ignored(self):
        """Guards against stages that run twice after a second signal."""
        lifecycle, _, _ = run_shutdown({})
        second_shutdown = shutdown(lifecycle, ShutdownStages(), RealClock(), 0, 1_000)
        assert asyncio.run(second_shutdown) == []


class TestWaitDescriptions:
    def test_unfinished_stage_logs_what_it_waits_for(self, monkeypatch, caplog):
        """Guards against a shutdown that hangs without a reason in the log."""
        monkeypatch.setattr(sequence, "PROGRESS_LOG_INTERVAL_MS", 20.0)
        lifecycle = EntryVmLifecycle()
        lifecycle.become_ready()
        stages = ShutdownStages()
        stages.add(StageKind.WAIT_IN_FLIGHT, hang, lambda: "request r-1")
        with caplog.at_level("INFO"):
            asyncio.run(shutdown(lifecycle, stages, RealClock(), 1, 200))
        assert (
            "shutdown stage WAIT_IN_FLIGHT still runs, waits for: request r-1"
            in caplog.messages
        )

    def test_requests_in_flight_are_listed(self):
        """Guards against a log line with only a count of requests.

        The request ids are needed to find the log lines of these requests.
        """

        async def scenario():
            admission = Admission(lambda: True)
            descriptions = []

            async def handler(request):
                descriptions.append(admission.describe_in_flight())
                return web.Response()

            headers = {"X-Request-Id": "r-1"}
            request = make_mocked_request("POST", "/v1/generate", headers)
            await admission.middleware(request, handler)
            return descriptions, admission.describe_in_flight(), admission.idle.is_set()

        descriptions, description_after, idle = asyncio.run(scenario())
        assert descriptions == ["1 requests in flight: POST /v1/generate r-1"]
        assert description_after == "0 requests in flight: " and idle
