import asyncio
import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from ebonylb_standins.demo import demo_cluster, run_demo

# Clusters run one after another, as concurrent ones starve each other of CPU time.
pytestmark = pytest.mark.xdist_group("cluster")


def run_demo_with(command, monkeypatch):
    folder = str(Path(__file__).parent)
    monkeypatch.setenv("PYTHONPATH", f"{folder}:{os.environ.get('PYTHONPATH', '')}")
    cluster = demo_cluster()
    cluster.entry_command = ("direct_entry_vm", command)
    return asyncio.run(run_demo(cluster))


class TestDemo:
    def test_parts_pass_with_an_entry_vm_that_keeps_the_promises(self, monkeypatch):
        """Guards against a demonstration that fails with a correct entry VM."""
        results = run_demo_with("serve", monkeypatch)
        assert [result for result in results if not result.passed] == []
        assert len(results) == 6

    def test_cut_streams_are_noticed(self, monkeypatch):
        """Guards against a demonstration that passes although streams are cut."""
        *others, last = run_demo_with("serve-cut-streams", monkeypatch)
        assert all(result.passed for result in others)
        assert not last.passed
        assert "stream broke" in last.detail

    def test_output_says_who_was_served_and_interrupt_leaves_no_process(self, tmp_path):
        """Guards against output without names, and processes left after Ctrl-C."""
        program = subprocess.Popen(
            [sys.executable, "-m", "ebonylb_standins.demo"],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "TMPDIR": str(tmp_path)},
        )
        served_line = re.compile(
            r"bookings through entry-[a-z0-9-]+: "
            r"\d+ tokens of version 1 by kiln-lm-[a-z0-9-]+, \d+ ms"
        )
        for line in program.stdout:
            if served_line.search(line):
                break
        else:
            raise AssertionError(program.stderr.read())
        children = Path(f"/proc/{program.pid}/task/{program.pid}/children")
        pids = children.read_text().split()
        program.send_signal(signal.SIGINT)
        output, errors = program.communicate(timeout=30)
        assert len(pids) == 9
        assert (program.returncode, errors) == (130, "")
        assert "all processes have ended" in output
        assert not any(Path(f"/proc/{pid}").exists() for pid in pids)
        assert not list(tmp_path.glob("ebonylb-*"))
