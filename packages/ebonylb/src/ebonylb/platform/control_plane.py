"""HTTP client of the platform's API for usage reports and orders of servers."""

from collections.abc import Mapping
from types import SimpleNamespace

import aiohttp
import msgspec
from result import Err, Ok, Result

from ..adapters.http import NOT_SENT_ERRORS, TRANSPORT_ERRORS, describe_error
from ..interfaces import Clock
from ..interfaces.control_plane import (
    CallOutcome,
    ControlPlane,
    DutyAuthority,
    ServerCount,
)
from ..outcomes import StepError
from . import wire_names

# A permit is used up to 0.7 s after its lease row was written. With this timeout, the
# call has ended 2.1 s before another entry VM may take the lease over.
CALL_TIMEOUT_S = 1.0
# A call whose connection comes later is not sent: the process may have been suspended
# meanwhile, and the permit was checked before the connect.
MAX_CONNECT_MS = 400.0
OUTCOMES = {
    200: CallOutcome.ACCEPTED,
    409: CallOutcome.UNAVAILABLE,
    429: CallOutcome.BUSY,
}


class LateConnectionError(aiohttp.ClientError):
    """The connection came too late to send the call."""


def trace_lateness(clock: Clock) -> aiohttp.TraceConfig:
    """Return the tracing with which a session sends no call late.

    The time includes suspension, during which the timeouts of the library do not run.
    """

    async def check(
        session: aiohttp.ClientSession, context: SimpleNamespace, params: object
    ) -> None:
        started_boot_ms = context.trace_request_ctx
        if clock.boot_ms() - started_boot_ms > MAX_CONNECT_MS:
            raise LateConnectionError("the connection came too late")

    tracing = aiohttp.TraceConfig()
    tracing.on_connection_create_end.append(check)
    tracing.on_connection_reuseconn.append(check)
    return tracing


class HttpControlPlane(ControlPlane):
    """Client that makes each call once.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Owned by the caller; must be traced with `trace_lateness` and must not repeat
        requests by itself.
    address : str
        ``ip:port`` of the API.
    clock : Clock
        The clock of the tracing.
    """

    def __init__(
        self, session: aiohttp.ClientSession, address: str, clock: Clock
    ) -> None:
        self.session = session
        self.address = address
        self.clock = clock

    async def report_usage(
        self, authority: DutyAuthority, window: int, counts: Mapping[str, int]
    ) -> Result[CallOutcome, StepError]:
        """Report the number of requests of each customer in a window."""
        body = {"Window": window, "Counts": dict(counts)}
        return await self.call(wire_names.USAGE_PATH, authority, body)

    async def order_servers(
        self, authority: DutyAuthority, order: ServerCount
    ) -> Result[CallOutcome, StepError]:
        """Order a number of servers."""
        body: dict[str, object] = {
            "Service": order.service,
            "Zone": order.failure_domain,
            "TargetGroups": order.count,
        }
        if order.reclaimable:
            body["UseSpot"] = True
        return await self.call(wire_names.SCALE_PATH, authority, body)

    async def call(
        self, path: str, authority: DutyAuthority, body: dict[str, object]
    ) -> Result[CallOutcome, StepError]:
        """Make one call; the connection is closed when it times out."""
        try:
            async with self.session.post(
                f"http://{self.address}{path}",
                data=msgspec.json.encode(body),
                headers={
                    "Content-Type": "application/json",
                    wire_names.LEASE_HOLDER: authority.holder,
                    wire_names.FENCING_TOKEN: str(authority.fence),
                },
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
                allow_redirects=False,
                trace_request_ctx=self.clock.boot_ms(),
            ) as response:
                return Ok(OUTCOMES.get(response.status, CallOutcome.REJECTED))
        except TRANSPORT_ERRORS as error:
            was_sent = not isinstance(error, (*NOT_SENT_ERRORS, LateConnectionError))
            step = "platform" + path.replace("/", ".")
            return Err(StepError(step, self.address, describe_error(error), was_sent))
