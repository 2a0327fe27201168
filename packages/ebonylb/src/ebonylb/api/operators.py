"""HTTP handlers for operators, under ``/admin``."""

import hmac
import json
import math
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import asdict, dataclass
from typing import Any

from aiohttp import web
from result import Err

from ..configuration import (
    Applied,
    ApplyConflict,
    ApplyRefused,
    ApplyUnavailable,
    ConfigurationPropagator,
)
from ..outcomes import Outcome, Refusal, StepError, new_request_id
from ..telemetry import Decision
from .http_messages import read_body

RETRY_AFTER_MS = 2_000
MAX_AUDIT_PAGE_ROWS = 500  # one scan of the platform returns no more
DEFAULT_AUDIT_PAGE_ROWS = 50

Handler = Callable[[web.Request, str], Awaitable[web.Response]]


@dataclass(frozen=True, slots=True)
class OperatorProviders:
    """Functions of other components that the handlers call.

    Parameters
    ----------
    status : callable
        Returns the body of ``GET /admin/status``.
    shares : callable
        Returns the body of ``GET /admin/shares``.
    explain : callable
        Takes a request id; returns its decisions, or an empty list if it is unknown.
    drain : callable
        Takes the name of a server, whether it is leaving, and the operator; returns
        whether the server is known. Raises `StepError` if the mark would be lost
        when this entry VM ends.
    """

    status: Callable[[], Awaitable[dict[str, Any]]]
    shares: Callable[[], Awaitable[dict[str, Any]]]
    explain: Callable[[str], Awaitable[list[Decision]]]
    drain: Callable[[str, bool, str], Awaitable[bool]]


class OperatorApi:
    """Handlers of the ``/admin`` paths.

    Parameters
    ----------
    operators : mapping
        Bearer token by name of the operator.
    configuration_propagator : ConfigurationPropagator
        Applies sheets; gives access to the sheet in force and the audit rows.
    providers : OperatorProviders
        Functions of other components.
    """

    def __init__(
        self,
        operators: Mapping[str, str],
        configuration_propagator: ConfigurationPropagator,
        providers: OperatorProviders,
    ) -> None:
        self.operators = operators
        self.configuration_propagator = configuration_propagator
        self.providers = providers

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of this interface."""
        return [
            web.get("/admin/status", self.require_operator(self.status)),
            web.get("/admin/shares", self.require_operator(self.shares)),
            web.get("/admin/audit", self.require_operator(self.audit)),
            web.get("/admin/sheet", self.require_operator(self.sheet)),
            web.get("/admin/explain/{request_id}", self.require_operator(self.explain)),
            web.post("/admin/apply", self.require_operator(self.apply)),
            web.post("/admin/drain", self.require_operator(self.drain)),
        ]

    def require_operator(
        self, handler: Handler
    ) -> Callable[..., Awaitable[web.Response]]:
        """Wrap a handler so that it runs only for requests of an operator."""

        async def handle(request: web.Request) -> web.Response:
            operator = self.find_operator(request.headers.get("Authorization", ""))
            if operator is None:
                message = "no operator has this bearer token"
                return web.json_response({"message": message}, status=401)
            return await handler(request, operator)

        return handle

    def find_operator(self, authorization: str) -> str | None:
        """Return the operator that a bearer token belongs to, or None.

        All tokens are compared, each in constant time, so that the duration of a
        request reveals nothing about them.
        """
        scheme, _, token = authorization.partition(" ")
        presented = token.strip().encode()
        operator_name = None
        for name, operator_token in self.operators.items():
            if hmac.compare_digest(presented, operator_token.encode()):
                operator_name = name
        return operator_name if presented and scheme.lower() == "bearer" else None

    async def status(self, request: web.Request, operator: str) -> web.Response:
        """Return the state of the entry VMs and backend servers."""
        return web.json_response(await self.providers.status())

    async def shares(self, request: web.Request, operator: str) -> web.Response:
        """Return the entitled and the served shares."""
        return web.json_response(await self.providers.shares())

    async def sheet(self, request: web.Request, operator: str) -> web.Response:
        """Return the sheet in force, or null if none was ever applied."""
        state = self.configuration_propagator.state
        if not state.ready:
            return unavailable_response(
                request, "no_configuration", "no sheet was found yet"
            )
        sheet = state.sheet.document() if state.revision else None
        return web.json_response({"revision": state.revision, "sheet": sheet})

    async def audit(self, request: web.Request, operator: str) -> web.Response:
        """Return audit rows, newest first."""
        text = request.query.get("limit", str(DEFAULT_AUDIT_PAGE_ROWS))
        is_valid = text.isascii() and text.isdigit() and len(text) < 6
        if not is_valid or not 1 <= int(text) <= MAX_AUDIT_PAGE_ROWS:
            problem = f"limit: {text!r} is not valid: 1 to {MAX_AUDIT_PAGE_ROWS}"
            return unprocessable_response([problem])
        before = request.query.get("before", "")
        rows = await self.configuration_propagator.store.read_audit(int(text), before)
        if isinstance(rows, Err):
            return unavailable_response(request, "platform", str(rows.err_value))
        return web.json_response({"rows": rows.ok_value})

    async def explain(self, request: web.Request, operator: str) -> web.Response:
        """Return the decisions on a request."""
        request_id = request.match_info["request_id"]
        decisions = await self.providers.explain(request_id)
        if not decisions:
            message = f"no recent request {request_id!r} is known on this entry VM"
            return web.json_response({"message": message}, status=404)
        entries = [asdict(decision) for decision in decisions]
        return web.json_response({"request_id": request_id, "decisions": entries})

    async def apply(self, request: web.Request, operator: str) -> web.Response:
        """Apply a sheet; a conflict with the current revision has status 409."""
        body = await read_object(request)
        base = body.get("base_revision")
        problems = unknown_keys(body, "sheet", "base_revision")
        if not isinstance(body.get("sheet"), str):
            problems.append("sheet: give the text of the sheet")
        if "base_revision" not in body:
            problems.append("base_revision: missing; give the revision, or null")
        if base is not None and (type(base) is not int or base < 0):
            problems.append(f"base_revision: {base!r} is not valid: a revision or null")
        if problems:
            return unprocessable_response(problems)
        result = await self.configuration_propagator.apply(
            body["sheet"], base, operator
        )
        match result:
            case Applied():
                return web.json_response({"revision": result.revision})
            case ApplyConflict():
                content = {
                    "current_revision": result.current_revision,
                    "author": result.author,
                    "difference": [change.document() for change in result.difference],
                }
                return web.json_response(content, status=409)
            case ApplyRefused():
                return unprocessable_response(result.problems)
            case ApplyUnavailable():
                return unavailable_response(
                    request, "platform", result.message, result.may_have_applied
                )

    async def drain(self, request: web.Request, operator: str) -> web.Response:
        """Mark a backend server as leaving, or revoke the mark."""
        body = await read_object(request)
        server, leaving = body.get("server"), body.get("leaving")
        problems = unknown_keys(body, "server", "leaving")
        if not isinstance(server, str):
            problems.append("server: give the name of a backend server")
        if not isinstance(leaving, bool):
            problems.append(f"leaving: {leaving!r} is not valid: true or false")
        if problems:
            return unprocessable_response(problems)
        try:
            is_known = await self.providers.drain(server, leaving, operator)
        except StepError as error:
            return unavailable_response(
                request, "leaving", error.message, may_have_run=True
            )
        outcome = "drain" if leaving else "drain_undone"
        if not is_known:
            message = f"no backend server {server!r} is known; see `ebonyctl status`"
            return web.json_response({"message": message}, status=404)
        await self.configuration_propagator.store.write_audit_row(
            operator, None, None, outcome, {"server": server}
        )
        return web.json_response({"server": server, "leaving": leaving})


async def read_object(request: web.Request) -> dict[str, Any]:
    """Return the JSON object in a request's body, or an empty one if it has none."""
    try:
        body = json.loads(await read_body(request))
    except (ValueError, RecursionError):
        return {}
    return body if isinstance(body, dict) else {}


def unknown_keys(body: dict[str, Any], *valid_keys: str) -> list[str]:
    """Return one problem for each unknown key."""
    return [
        f"{key}: unknown key; valid: {', '.join(valid_keys)}"
        for key in body
        if key not in valid_keys
    ]


def unprocessable_response(problems: list[str]) -> web.Response:
    """Return the response to invalid input, with status 422."""
    return web.json_response({"problems": problems}, status=422)


def unavailable_response(
    request: web.Request, reason: str, message: str, may_have_run: bool = False
) -> web.Response:
    """Return the response with status 503 while an operation is not possible."""
    outcome = Outcome.MAY_HAVE_RUN if may_have_run else Outcome.NOT_RUN
    refusal = Refusal(outcome, reason, message, RETRY_AFTER_MS)
    request_id = request.headers.get("X-Request-Id") or new_request_id()
    return web.json_response(
        asdict(refusal) | {"request_id": request_id},
        status=503,
        headers={"Retry-After": str(math.ceil(RETRY_AFTER_MS / 1000))},
    )
