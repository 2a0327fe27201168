"""Tests of the command that asks an entry VM where a request would be placed."""

import asyncio
import io

import pytest
from aiohttp import web
from rich.console import Console

from ebonyctl import cli, placements
from ebonyctl.exits import CommandError, ExitCode
from ebonylb.adapters.memory_metrics import InMemoryMetrics
from ebonylb.fleet import ServerCost
from ebonylb.service.metrics_handler import MetricsHandler
from ebonylb_standins.site.world import World


def ask_running_vm(question):
    """Return what an entry VM on loopback answers."""

    async def scenario():
        vm = World(plain_services=2).start("a")
        vm.directory.condition("p1").record_failure(vm.world.clock.monotonic_ms())
        handler = MetricsHandler(InMemoryMetrics(), dict, dict, vm.explainer.explain)
        runner = web.ServerRunner(web.Server(handler.handle))
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        try:
            host, port = runner.addresses[0][:2]
            return await placements.fetch(f"http://{host}:{port}", question)
        finally:
            await runner.cleanup()
            vm.stop()

    return asyncio.run(scenario())


class TestExplainPlacement:
    def test_candidates_are_shown_with_their_costs(self):
        explanation = ask_running_vm({"host": "site", "path": "/ask/1"})
        console = Console(file=io.StringIO(), width=120)
        for line in placements.format_lines(explanation):
            console.print(line)
        text = console.file.getvalue()
        assert "route ask, kind idempotent, service desk" in text
        assert "sent to p0" in text
        rows = [line.split() for line in text.splitlines()]
        assert ["p0", "north", "30.4", "30.0", "0.4", "-", "-"] in rows
        (excluded,) = (row for row in rows if row and row[0] == "p1")
        assert excluded[-1] == "backoff"

    def test_every_part_of_a_cost_has_a_column(self):
        """Guards against a part that is added to the cost and not shown."""
        assert placements.PARTS == ServerCost._fields

    def test_refusals_name_their_retry_after(self):
        explanation = ask_running_vm({"host": "site", "path": "/none"})
        (_, outcome) = placements.format_lines(explanation)
        assert outcome.startswith("refused with status 404 (no_route")
        refused = explanation | {"retry_after": "0.3"}
        assert placements.format_outcome(refused).endswith("Retry-After 0.3")

    def test_a_refused_question_is_reported(self):
        with pytest.raises(CommandError) as caught:
            ask_running_vm({"host": "site", "path": "/", "tokens": "many"})
        assert caught.value.code is ExitCode.REFUSED

    @pytest.mark.parametrize(
        ("arguments", "code"),
        [
            (["--host", "site"], ExitCode.USAGE),
            ([], ExitCode.USAGE),
            (["--host", "site", "--path", "/"], ExitCode.USAGE),
            (
                ["--host", "s", "--path", "/", "--endpoint", "http://127.0.0.1:1"],
                ExitCode.UNAVAILABLE,
            ),
        ],
    )
    def test_exit_code(self, arguments, code, monkeypatch):
        monkeypatch.delenv("EBONYCTL_ENDPOINTS", raising=False)
        assert cli.main(["explain", *arguments]) == code
