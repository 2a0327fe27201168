"""Search of log files for the lines about a request."""

import json

import pytest

from ebonyctl import cli, traces

LINES = [
    ("10:00:01", "a", "batch accepted", {"batch": "b1", "holder": "a"}),
    ("10:00:02", "a", "store lost", {"table": "batches", "cause": "TimeoutError"}),
    ("10:00:02", "c", "store lost", {"table": "op"}),
    ("10:00:03", "b", "batch taken over", {"batch": "b1", "from": "a"}),
    ("10:00:04", "b", "item ended", {"item": "i1", "batch": "b1", "events": 3}),
    ("10:00:05", "b", "item ended", {"item": "i2", "batch": "b1", "events": 9}),
    (
        "10:00:05",
        "b",
        "item scored",
        {"item": "i2", "batch": "b1", "scoring_request": "s2"},
    ),
    ("10:00:06", "a", "request ended", {"request_id": "q1", "status": 503}),
]


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "all.log"
    text = ["not json"]
    for time, vm, message, fields in LINES:
        line = {"time": time, "entry_vm": vm, "message": message, "level": "INFO"}
        text.append(f"  1.5 {vm} " + json.dumps(line | fields))
    path.write_text("\n".join(text))
    return str(path)


class TestTrace:
    def test_request_finds_its_line(self, log):
        found = traces.find_related_lines(traces.read_lines([log]), "q1")
        assert [line.message for line in found] == ["request ended"]

    def test_item_finds_its_batch_and_context_lines(self, log):
        found = traces.find_related_lines(traces.read_lines([log]), "i1")
        assert [line.message for line in found] == [
            "batch accepted",
            "store lost",
            "batch taken over",
            "item ended",
        ]

    def test_scoring_request_finds_the_lines_of_its_item(self, log):
        found = traces.find_related_lines(traces.read_lines([log]), "s2")
        messages = [line.message for line in found]
        assert messages[-2:] == ["item ended", "item scored"]
        assert "batch accepted" in messages
        assert {line.fields.get("item") for line in found} == {None, "i2"}

    def test_command_prints_the_related_lines(self, log, capsys):
        assert cli.main(["trace", "i1", log]) == 0
        shown = capsys.readouterr().out
        assert "batch taken over" in shown
        assert "i2" not in shown

    def test_unknown_id_is_reported(self, log, capsys):
        assert cli.main(["trace", "nobody", log]) == 6
        assert "no line names it" in capsys.readouterr().err

    def test_missing_file_is_reported(self, capsys):
        assert cli.main(["trace", "i1", "/nowhere.log"]) == 3
        assert "cannot be read" in capsys.readouterr().err
