import asyncio
from types import SimpleNamespace

import pytest
from aiohttp.test_utils import TestClient, TestServer
from aiohttp.web import Application
from result import Err, Ok

from ebonylb.api.operators import OperatorApi, OperatorProviders
from ebonylb.configuration import (
    EMPTY_SHEET,
    Applied,
    ApplyConflict,
    ApplyRefused,
    ApplyUnavailable,
    Change,
    ChangeKind,
)
from ebonylb.outcomes import StepError
from ebonylb.telemetry import Decision

CHANGE = Change(ChangeKind.CHANGED, "day", "2026-03-02", "2026-03-03")
ANN = {"Authorization": "Bearer ann-secret"}


class FakeStore:
    audited = ()

    async def read_audit(self, limit, before):
        if before:
            return Err(StepError("scan", "platform", "down"))
        return Ok([{"key": "k", "limit": limit}])

    async def write_audit_row(self, *arguments):
        self.audited = arguments


def call(method, path, body=None, headers=ANN, result=None, ready=True):
    calls = []

    async def apply(*arguments):
        calls.append(arguments)
        return result

    async def explain(request_id):
        return [Decision(1, "route", "vm-2")] if request_id == "r-1" else []

    async def drain(server, leaving, operator):
        if server == "kiln-2":
            raise StepError("drain.entrust", server, "not confirmed")
        return server == "kiln-1"

    async def scenario():
        state = SimpleNamespace(ready=ready, revision=0, sheet=EMPTY_SHEET)
        propagator = SimpleNamespace(apply=apply, state=state, store=FakeStore())
        providers = OperatorProviders(None, None, explain, drain)
        app = Application()
        api = OperatorApi({"ben": "", "ann": "ann-secret"}, propagator, providers)
        app.add_routes(api.routes())
        async with TestClient(TestServer(app)) as client:
            response = await client.request(method, path, json=body, headers=headers)
            return (
                response.status,
                await response.json(),
                calls,
                propagator.store.audited,
            )

    return asyncio.run(scenario())


class TestOperatorApi:
    @pytest.mark.parametrize("value", ["", "Bearer ", "Bearer ann", "Basic ann-secret"])
    def test_other_tokens_are_refused(self, value):
        """Guards against an empty configured token granting access to everybody."""
        headers = {"Authorization": value}
        assert call("GET", "/admin/sheet", headers=headers)[0] == 401

    @pytest.mark.parametrize(
        ("result", "status", "part"),
        [
            (Applied(4, EMPTY_SHEET, []), 200, {"revision": 4}),
            (
                ApplyConflict(4, "ben", [CHANGE]),
                409,
                {"current_revision": 4, "author": "ben",
                 "difference": [CHANGE.document()]},
            ),
            (ApplyRefused(["line 1: x"]), 422, {"problems": ["line 1: x"]}),
            (ApplyUnavailable("lost", True), 503, {"outcome": "may_have_run"}),
            (ApplyUnavailable("down", False), 503, {"outcome": "not_run"}),
        ],
    )  # fmt: skip
    def test_apply_responses(self, result, status, part):
        """Guards against an unknown outcome reported as not run."""
        body = {"sheet": "{}", "base_revision": 3}
        response = call("POST", "/admin/apply", body, result=result)
        assert response[0] == status and part.items() <= response[1].items()
        assert response[2] == [("{}", 3, "ann")]

    @pytest.mark.parametrize(
        ("path", "body"),
        [
            ("/admin/apply", {"sheet": "{}", "base_revision": True}),
            ("/admin/apply", {"sheet": "{}"}),
            ("/admin/apply", {"sheet": {}, "base_revision": None}),
            ("/admin/apply", {"sheet": "{}", "base": 3, "base_revision": None}),
            ("/admin/apply", [1]),
            ("/admin/drain", {"server": "kiln-1", "leaving": "false"}),
        ],
    )
    def test_malformed_bodies_change_nothing(self, path, body):
        """Guards against a misspelt base revision taken as the current one."""
        status, response, calls, audited = call("POST", path, body)
        assert status == 422 and response["problems"] and not calls and not audited

    @pytest.mark.parametrize(
        ("path", "ready", "status"),
        [
            ("/admin/sheet", False, 503),
            ("/admin/sheet", True, 200),
            ("/admin/audit?limit=0", True, 422),
            ("/admin/audit?limit=7", True, 200),
            ("/admin/audit?before=k", True, 503),
            ("/admin/explain/r-1", True, 200),
            ("/admin/explain/r-2", True, 404),
        ],
    )
    def test_read_requests(self, path, ready, status):
        """Guards against an empty response where the data could not be read."""
        assert call("GET", path, ready=ready)[0] == status

    def test_drain_is_audited(self):
        """Guards against a drain that is not audited or names an unknown server."""
        body = {"server": "kiln-1", "leaving": True}
        status, _, _, audited = call("POST", "/admin/drain", body)
        assert status == 200 and audited[0] == "ann" and audited[3] == "drain"
        assert call("POST", "/admin/drain", body | {"server": "x"})[0] == 404

    def test_drain_that_may_be_lost_is_not_acknowledged(self):
        """Guards against a mark that is lost with the entry VM that accepted it."""
        body = {"server": "kiln-2", "leaving": True}
        status, response, _, audited = call("POST", "/admin/drain", body)
        assert status == 503 and response["outcome"] == "may_have_run"
        assert response["retry_after_ms"] and not audited
