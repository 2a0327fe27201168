import asyncio
import contextlib
import json
import os
import signal
import sys
import time

import aiohttp
import pytest

from ebonylb.interfaces import GenerateRequest
from ebonylb_standins.processes import ends_within
from ebonylb_standins.records import read_run_events

# Clusters run one after another, as concurrent ones starve each other of CPU time.
pytestmark = pytest.mark.xdist_group("cluster")

BLOCKED_S = 40  # a busy thread of the executor


async def start(name, *options):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"ebonylb_standins.{name}",
        *options,
        stdout=asyncio.subprocess.PIPE,
    )
    line = json.loads(await asyncio.wait_for(process.stdout.readline(), 20))
    return process, "http://" + line["address"]


async def stop(process):
    if process.returncode is None:
        # process.terminate() polls first. If the process has just ended by itself,
        # asyncio then loses the exit code and reports 255.
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, signal.SIGTERM)
    return await asyncio.wait_for(process.wait(), 10)


class TestProcesses:
    def test_engine_crashes_on_the_marker_and_its_record_stays(self, tmp_path):
        """Guards against run logs that lose the run that crashed the server."""
        path = tmp_path / "runs"
        request = GenerateRequest("r-1", "a poison prompt", "", 100, 0)

        async def scenario():
            process, url = await start(
                "engine", "--crash-marker", "poison", "--record-file", str(path)
            )
            body = {field: getattr(request, field) for field in request.__slots__}
            try:
                async with aiohttp.ClientSession() as session:
                    answer = await session.post(url + "/generate", json=body)
                    await answer.read()
            except aiohttp.ClientError:
                pass
            return await stop(process)

        assert asyncio.run(scenario()) == 70
        runs = [run.request_id for run in read_run_events(path) if run.kind == "run"]
        assert runs == ["r-1"]

    def test_control_refuses_unknown_settings(self):
        """Guards against a misspelt fault that is silently ignored."""

        async def scenario():
            process, url = await start("platform", "--control", '{"slow_ms": 1}')
            try:
                async with aiohttp.ClientSession() as session:
                    wrong = await session.post(url + "/control", json={"slow": 1})
                    right = await session.post(url + "/control", json={"down": True})
                    vms = await session.get(url + "/vms")
                    return wrong.status, await right.json(), vms.status
            finally:
                assert await stop(process) == 0

        wrong, right, vms = asyncio.run(scenario())
        assert (wrong, vms) == (400, 503)
        assert right["settings"]["slow_ms"] == 1


class TestEndsWithin:
    """The end of a process is judged by the kernel's notice, not by a late loop."""

    def check(self, lifetime_s, limit_s, stall_s):
        """Return the verdict on a child while the event loop stands still."""

        async def scenario():
            program = f"import time; time.sleep({lifetime_s})"
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", program
            )
            verdict = asyncio.create_task(ends_within(process.pid, limit_s))
            await asyncio.sleep(0.1)
            asyncio.get_running_loop().call_soon(time.sleep, stall_s)
            ended = await verdict
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
            await process.wait()
            return ended

        return asyncio.run(scenario())

    def test_a_process_that_ends_in_time_passes_beside_a_late_loop(self):
        assert self.check(lifetime_s=0.2, limit_s=5.0, stall_s=6.0)

    def test_a_process_that_outlives_the_limit_is_reported(self):
        assert not self.check(lifetime_s=60, limit_s=0.5, stall_s=0.1)


class TestSiteProgramEnd:
    def test_a_busy_executor_thread_does_not_delay_the_end(self):
        """Guards against a process that outlives its grace period after `close`."""
        program = f"""
import asyncio, time
from unittest import mock
from result import Ok
from ebonylb.service import site_process

async def run_site(settings, read_again, handler):
    asyncio.get_running_loop().run_in_executor(None, time.sleep, {BLOCKED_S})
    await asyncio.sleep(0)

settings = mock.Mock()
settings.ok_value.name = "vm"
with mock.patch.multiple(
    site_process, run_site=run_site, read_node_settings=lambda path: Ok(settings)
):
    site_process.run()
"""

        async def scenario():
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", program
            )
            ended = await ends_within(process.pid, BLOCKED_S / 2)
            if not ended:
                process.kill()
            return ended, await process.wait()

        assert asyncio.run(scenario()) == (True, 0)
