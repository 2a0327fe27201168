import asyncio
import difflib
import os
from pathlib import Path

import pytest

from ebonylb_standins.cluster import Cluster
from ebonylb_standins.sessions import SESSIONS, run_session
from ebonylb_standins.sessions.catalogue import golden_path
from ebonylb_standins.sessions.fault_session import CRASH_MARKER
from ebonylb_standins.sessions.script import Script, sheet_text
from ebonylb_standins.topology import ABAY, reduce_site

# Clusters run one after another, since many at once starve each other of CPU time.
pytestmark = pytest.mark.xdist_group("edges")


def diff_lines(name, transcript):
    golden = golden_path(name).read_text(encoding="utf-8").splitlines()
    changes = difflib.unified_diff(golden, transcript.splitlines(), lineterm="", n=0)
    return [line for line in changes if not line.startswith(("---", "+++", "@@"))]


class TestSessions:
    @pytest.mark.parametrize("name", SESSIONS)
    def test_session_equals_its_golden_file(self, name):
        """Guards against a change in what callers, trainers and operators receive."""
        assert diff_lines(name, asyncio.run(run_session(name))) == []

    def test_changed_behaviour_is_noticed(self, monkeypatch):
        """Guards against transcripts that do not show a change in behaviour."""
        path = f"{Path(__file__).parent}:{os.environ.get('PYTHONPATH', '')}"
        monkeypatch.setenv("PYTHONPATH", path)
        command = ("changed_entry_vm", "serve")
        transcript = asyncio.run(run_session("abay_morning", command))
        golden, changed = diff_lines("abay_morning", transcript)[:2]
        action = "trainer-lime: book without a share -> "
        assert golden == f"-{action}403 not_run no_share, final"
        assert changed.startswith(f"+{action}"), changed


def run_on_cluster(scenario):
    async def main():
        topology = reduce_site(ABAY, 4, 4)
        options = {"crash_marker": CRASH_MARKER}
        async with Cluster(topology, sheet_text(topology), options) as cluster:
            script = Script(cluster)
            await script.wait_ready()
            return await scenario(script)

    return asyncio.run(asyncio.wait_for(main(), 40))


class TestPromises:
    def test_crashing_request_sent_again_at_once_in_another_domain(self):
        """Guards against a third run of a request that crashes backend servers."""

        async def scenario(script):
            first, other = script.running_entry_vms[:2]
            runs = []
            for number in range(6):
                prompt = f"{CRASH_MARKER} {number}"
                await script.generate(script.desk, prompt, "ask", first)
                await script.generate(script.desk, prompt, "ask again", other)
                runs.append(sum(r.work == prompt for r in script.cluster.runs()))
                for spec in script.topology.engines:
                    if not script.cluster.processes[spec.name].is_running:
                        await script.cluster.restart(spec.name)
                await script.wait_ready()
            return runs

        runs = run_on_cluster(scenario)
        assert max(runs) <= 2, runs

    def test_shares_show_served_tokens(self):
        """Guards against statistics that show no served tokens for an active party."""

        async def scenario(script):
            for number in range(4):
                await script.generate(script.desk, f"question {number}", "ask")

            async def served():
                _, shown = await script.send_as_operator(
                    script.running_entry_vms[0], "GET", "/admin/shares"
                )
                parties = shown["services"][script.topology.engine_service]
                return parties[script.desk]["served_tokens"] >= 4

            await script.cluster.until(served, 10_000, "served tokens")

        run_on_cluster(scenario)

    def test_call_that_a_draining_server_did_not_run_is_not_lost(self):
        """Guards against "may have run" for a call that a draining server refused."""

        async def scenario(script):
            desk = script.topology.plain_services[0].name
            await script.cluster.control(desk, draining=True)
            return await script.book("load-1", "key-1")

        status, body = run_on_cluster(scenario)
        assert (status, body["outcome"]) == (503, "not_run"), body
