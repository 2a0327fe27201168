"""Tests of the commands that show the state of running entry VMs."""

import asyncio
import json

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from ebonyctl.cli import main

REMOVAL = {"removed": 1, "version": 4, "at_unix_ms": 1_800_000_000_250}


def make_state(name, fence=2, **fields):
    duty = {
        "subject": "scale/lm/north",
        "holder": "vm-1",
        "incarnation": "i",
        "fence": fence,
        "unchanged_ms": 40,
        "term_ended": False,
    }
    pool = {
        "service": "lm",
        "failure_domain": "north",
        "reclaimable": False,
        "listed": 2,
        "wanted": 3,
        "is_unavailable": True,
        "reason": "3 servers for the peak",
    }
    service = {
        "service": "lm",
        "summary": "the peak of 40 slots needs 3 servers",
        "peak_slots": 40.0,
        "batch_slots": 30.0,
        "known_ms": None,
        "pools": [pool],
    }
    customers = [
        {"customer": "acme", "keys": 2, "last_removal": REMOVAL},
        {"customer": "bolt", "keys": 0, "last_removal": None},
    ]
    report = {"window": 7, "state": "accepted", "counts": {"bolt": 3, "acme": 12}}
    return {
        "entry_vm": name,
        "configuration": 4,
        "keys": {"honoured": False, "view_age_ms": 4_600, "customers": customers},
        "duties": [duty],
        "usage": {"next_window": 8, "last_summed": report, "last_accepted": None},
        "scaling": [service],
    } | fields


def run(command, *states, options=()):
    """Run a command against entry VMs with these states; None is a missing page."""

    async def scenario():
        servers, addresses = [], []
        for state in states:

            async def respond(request, state=state):
                if state is None:
                    return web.Response(status=404)
                return web.json_response(state)

            app = web.Application()
            app.router.add_get("/state", respond)
            servers.append(TestServer(app))
            await servers[-1].start_server()
            addresses.append(f"127.0.0.1:{servers[-1].port}")
        code = await asyncio.to_thread(main, [command, *addresses, *options])
        for server in servers:
            await server.close()
        return code

    return asyncio.run(scenario())


class TestTables:
    @pytest.mark.parametrize(
        ("command", "expected_rows"),
        [
            (
                "keys",
                [
                    "vm-0 acme 2 no 4600 1 at 08:00:00.250 by configuration 4",
                    "vm-0 bolt 0 no 4600 -",
                ],
            ),
            ("duties", ["scale/lm/north vm-1 2 40 runs -"]),
            ("usage", ["vm-0 8 7 (accepted): acme=12 bolt=3 -"]),
            (
                "scaling",
                [
                    "vm-0 lm north other 3 2 3 servers for the peak yes "
                    "the peak of 40 slots needs 3 servers"
                ],
            ),
        ],
    )
    def test_rows_have_all_fields(self, command, expected_rows, capsys):
        assert run(command, make_state("vm-0")) == 0
        rows = [" ".join(r.split()) for r in capsys.readouterr().out.splitlines()]
        assert [row for row in rows if row][2:] == expected_rows

    def test_newest_lease_wins_and_the_others_are_named(self, capsys):
        """Guards against a former holder that one entry VM still shows."""
        states = make_state("vm-0", fence=2), make_state("vm-1", fence=3)
        assert run("duties", *states, options=["--json"]) == 0
        (duty,) = json.loads(capsys.readouterr().out)["duties"]
        assert (duty["fence"], duty["seen_by"]) == (3, ["vm-1"])
        assert duty["not_seen_by"] == ["vm-0"]

    def test_the_plan_of_the_holder_is_marked(self, capsys):
        states = make_state("vm-0"), make_state("vm-1")
        assert run("scaling", *states, options=["--json"]) == 0
        pools = json.loads(capsys.readouterr().out)["pools"]
        assert [pool["is_holder"] for pool in pools] == [False, True]


class TestFailures:
    def test_unreadable_entry_vms_are_named_beside_the_others(self, capsys):
        assert run("usage", make_state("vm-0", usage=None), None) == 0
        assert "status 404" in capsys.readouterr().err

    @pytest.mark.parametrize(("addresses", "code"), [([], 2), (["a:b"], 2)])
    def test_wrong_addresses_are_refused(self, addresses, code):
        assert main(["keys", *addresses]) == code

    def test_no_entry_vm_answers(self):
        assert run("keys", None) == 5
