import asyncio
import json
import socket
from pathlib import Path

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from ebonyctl import output
from ebonyctl.cli import main

EXAMPLES = Path(__file__).parents[3] / "examples"
SHEET = str(EXAMPLES / "morning_sheet.jsonc")
NO_SHEET = (200, {"revision": 0, "sheet": None})
APPLIED = (200, {"revision": 1})
NOT_RUN = (503, {"outcome": "not_run", "message": "platform down"})
UNCLEAR = (503, {"outcome": "may_have_run", "message": "answer lost"})
CONFLICT = (409, {"current_revision": 4, "author": "ben", "difference": [
    {"kind": "changed", "path": "day", "old": "2026-03-01", "new": "2026-03-02"}]},
)  # fmt: skip


def status_response(*revisions):
    vms = [{"name": f"vm-{n}", "revision": r} for n, r in enumerate(revisions)]
    return 200, {"entry_vms": vms, "servers": []}


class EntryVm:
    """Responds by the path; the last response of a list is repeated."""

    def __init__(self, **responses_by_path):
        self.responses_by_path = {
            name: list(responses) for name, responses in responses_by_path.items()
        }
        self.calls = []

    async def handle(self, request):
        name = request.path.split("/")[2]
        self.calls.append((name, await request.read()))
        responses = self.responses_by_path[name]
        response = responses.pop(0) if len(responses) > 1 else responses[0]
        if response == "drop":
            request.transport.close()
            return web.Response()
        if isinstance(response, str):
            return web.Response(status=502, text=response)
        return web.json_response(response[1], status=response[0])


def ctl(*arguments, vms=()):
    """Run the program against entry VMs; None is an unreachable one."""

    async def scenario():
        servers, options = [], []
        for vm in vms:
            if vm is None:
                with socket.create_server(("127.0.0.1", 0)) as free:
                    port = free.getsockname()[1]
                options += ["--endpoint", f"http://127.0.0.1:{port}"]
                continue
            app = web.Application()
            app.router.add_route("*", "/admin/{tail:.*}", vm.handle)
            servers.append(TestServer(app))
            await servers[-1].start_server()
            options += ["--endpoint", str(servers[-1].make_url(""))]
        options += ["--token", "t"] if vms else []
        code = await asyncio.to_thread(main, [*arguments, *options])
        for server in servers:
            await server.close()
        return code

    return asyncio.run(scenario())


class TestCheck:
    @pytest.mark.parametrize("name", ["morning_sheet", "song_huong_sheet"])
    def test_examples_are_valid(self, name):
        """Guards against examples that no longer fit the sheet's model."""
        assert ctl("check", str(EXAMPLES / f"{name}.jsonc")) == 0

    def test_documented_example_is_valid(self, tmp_path):
        """Guards against documentation with keys of an earlier model."""
        page = (EXAMPLES.parent / "docs" / "sheet.md").read_text("utf-8")
        sheet = tmp_path / "sheet.jsonc"
        sheet.write_text(page.split("```jsonc\n")[1].split("```")[0], "utf-8")
        assert ctl("check", str(sheet)) == 0

    def test_all_mistakes_are_reported(self, capsys):
        """Guards against reporting only the first of several mistakes."""
        path = str(EXAMPLES / "sheet_with_mistakes.jsonc")
        assert ctl("check", path, "--settings", path, "--json") == 3
        problems = json.loads(capsys.readouterr().out)["problems"]
        lines = [p.split(": ")[1:3] for p in problems if "sheet" in p][:5]
        assert lines == [
            ["line 3", "day"],
            ["line 6", "parties.fuel-trainer.role"],
            ["line 12", "services.kiln-lm.shares.merchant"],
            ["line 13", "services.kiln-lm.shares.fuel-trainer"],
            ["line 19", "services.booking-desk.staleness_bound"],
        ]
        assert any("line 8: services: unknown key" in p for p in problems)


class TestApply:
    @pytest.mark.parametrize("unclear", ["drop", UNCLEAR, "bad gateway"])
    def test_unclear_outcome_is_reported_and_not_sent_again(self, unclear, capsys):
        """Guards against a second apply over a first one that took effect."""
        first = EntryVm(sheet=[NO_SHEET], apply=[unclear])
        second = EntryVm(sheet=[NO_SHEET], apply=[APPLIED])
        assert ctl("apply", SHEET, vms=[first, second]) == 5
        assert not second.calls
        assert "may have been applied" in capsys.readouterr().err

    def test_next_entry_vm_is_tried_when_known_not_run(self):
        """Guards against an outage of one entry VM stopping an apply."""
        first = EntryVm(sheet=["no gateway"], apply=[NOT_RUN])
        second = EntryVm(
            sheet=[NO_SHEET], apply=[APPLIED], status=[status_response(1, 1)]
        )
        assert ctl("apply", SHEET, vms=[None, first, second]) == 0
        body = json.loads(dict(second.calls)["apply"])
        assert body == {"sheet": Path(SHEET).read_text("utf-8"), "base_revision": 0}

    def test_waits_until_in_force_everywhere(self, capsys, monkeypatch):
        """Guards against success while an entry VM still has the old shares."""
        monkeypatch.setattr(output, "PROGRESS_DELAY_S", 0)
        statuses = [status_response(1, 0), status_response(), status_response(1, 2)]
        vm = EntryVm(sheet=[NO_SHEET], apply=[APPLIED], status=statuses)
        assert ctl("apply", SHEET, "--json", vms=[vm]) == 0
        assert [name for name, _ in vm.calls].count("status") == 3
        written = capsys.readouterr()
        assert json.loads(written.out)["in_force"] is True
        assert "waiting until revision 1" in written.err

    def test_wait_limit_error_names_outdated_entry_vms(self, capsys):
        """Guards against waiting forever for an unreachable entry VM."""
        vm = EntryVm(sheet=[NO_SHEET], apply=[APPLIED], status=[status_response(1, 0)])
        assert ctl("apply", SHEET, "--wait-limit", "0", vms=[vm]) == 5
        assert "not yet in force on vm-1" in capsys.readouterr().err

    def test_conflict_shows_the_difference(self, capsys):
        """Guards against a conflict that doesn't show the changes to merge."""
        vm = EntryVm(sheet=[NO_SHEET], apply=[CONFLICT])
        assert ctl("apply", SHEET, "--base", "3", vms=[vm]) == 4
        written = capsys.readouterr().err
        assert "2026-03-01" in written and "--base 4" in written

    def test_mistakes_are_not_sent(self):
        """Guards against sending a sheet that has mistakes."""
        vm = EntryVm()
        path = str(EXAMPLES / "sheet_with_mistakes.jsonc")
        assert ctl("apply", path, vms=[vm]) == 3
        assert not vm.calls


class TestOtherCommands:
    @pytest.mark.parametrize(
        ("arguments", "vms", "code"),
        [
            (["status"], [EntryVm(status=[status_response(1)])], 0),
            (["diff", SHEET], [EntryVm(sheet=[NO_SHEET])], 0),
            (["shares"], [EntryVm(shares=[(200, {"services": {"lm": {"a": {
                "entitled": 0.3, "served_tokens": 7, "served_share": 0.28}}}})])], 0),
            (["audit"], [EntryVm(audit=[(200, {"rows": [{"at_ms": 1, "author": "ann",
                "outcome": "applied", "from_revision": 0, "to_revision": 1,
                "entry_vm": "vm-1", "changes": [{"path": "day"}]}]})])], 0),
            (["explain", "r-1"], [EntryVm(explain=[(404, {})]), EntryVm(explain=[
                (200, {"decisions": [{"at_ms": 1, "step": "s", "detail": "d"}]})])], 0),
            (["explain", "r-1"], [EntryVm(explain=[(404, {})]), None], 5),
            (["drain", "x"], [EntryVm(drain=[(404, {})])], 6),
            (["drain", "x", "--undo"], [None, EntryVm(drain=[APPLIED])], 0),
            (["audit", "--limit", "0"], [EntryVm(audit=[(422, {})])], 3),
            (["status"], [EntryVm(status=[(401, {"message": "no"})])], 7),
            (["status"], [None, None], 5),
            (["status"], [], 2),
        ],
    )  # fmt: skip
    def test_exit_code(self, arguments, vms, code, monkeypatch):
        """Guards against exit codes that make a script take a failure for success."""
        monkeypatch.delenv("EBONYCTL_ENDPOINTS", raising=False)
        assert ctl(*arguments, vms=vms) == code

    @pytest.mark.parametrize(
        "command",
        ["check", "apply", "diff", "status", "shares", "audit", "drain", "explain"],
    )
    def test_help_has_an_example(self, command, capsys):
        """Guards against a command without an example in its help."""
        with pytest.raises(SystemExit):
            main([command, "--help"])
        assert f"Example: ebonyctl {command}" in capsys.readouterr().out
