import asyncio
import contextlib
import json
import os
import signal
import sys

import aiohttp
import pytest

from ebonylb.interfaces import GenerateRequest
from ebonylb_standins.records import read_run_events

# Clusters run one after another, as concurrent ones starve each other of CPU time.
pytestmark = pytest.mark.xdist_group("cluster")


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
