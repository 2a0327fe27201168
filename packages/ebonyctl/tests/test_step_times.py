"""Tests of the table that shows where the time of each batch went."""

import json

import pytest

from ebonyctl import cli, step_times, traces


def log_line(second, message, **fields):
    time = f"2026-10-07 18:49:{second:06.3f}".replace(".", ",")
    return json.dumps({"time": time, "message": message, "entry_vm": "vm-0", **fields})


def item_line(second, item, waited_ms, elapsed_ms):
    return log_line(
        second,
        "item ended",
        batch="b1",
        item=item,
        events=40,
        tries=2,
        waited_ms=waited_ms,
        elapsed_ms=elapsed_ms,
    )


@pytest.fixture
def log(tmp_path):
    lines = [
        log_line(1, "batch accepted", batch="b1", step=3, items=2),
        log_line(1, "batch accepted", batch="unfinished", step=4, items=9),
        item_line(2, "short", 0, 900),
        log_line(4.1, "item scored", batch="b1", item="long", elapsed_ms=100),
        item_line(4, "long", 500, 2_900),
        log_line(2.5, "item scored", batch="b1", item="short", elapsed_ms=400),
        log_line(3, "batch left", batch="b1", listed=1, total=2, ended=False),
        log_line(4.25, "batch left", batch="b1", listed=2, total=2, ended=True),
    ]
    path = tmp_path / "vm.log"
    path.write_text("\n".join(["not JSON", *lines]))
    return str(path)


class TestSteps:
    def test_the_time_of_a_batch_is_that_of_its_last_item(self, log):
        (step,) = step_times.measure_batches(traces.read_lines([log]))
        assert (step.batch, step.step, step.items) == ("b1", 3, 2)
        assert (step.took_ms, step.waited_ms, step.ran_ms) == (3_250, 500, 2_400)
        assert (step.scored_ms, step.stored_ms) == (100, 150)
        assert (step.events, step.tries) == (40, 2)

    def test_command_prints_a_row_for_each_finished_batch(self, log, capsys):
        assert cli.main(["steps", log]) == 0
        header, row = capsys.readouterr().out.splitlines()
        assert header.split()[:3] == ["accepted", "batch", "step"]
        assert row.split()[:5] == ["18:49:01,000", "b1", "3", "2", "3250"]

    def test_logs_without_batches_are_reported(self, tmp_path):
        path = tmp_path / "vm.log"
        path.write_text(log_line(1, "entry VM started"))
        assert cli.main(["steps", str(path)]) == 6
