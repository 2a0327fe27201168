"""Requests that other entry VMs pass on to this one."""

import asyncio
import logging
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass

from ..fleet import ServerReachability
from ..forwarding.deadline import RESPONSE_MARGIN_MS, run_within_deadline
from ..forwarding.messages import CallerRequest, CallerResponse, CallerStream
from ..forwarding.request_log import RequestLog
from ..forwarding.request_runs import RequestRuns
from ..forwarding.request_state import RequestState
from ..forwarding.strikes import CrashStrikes, request_fingerprint
from ..interfaces import Clock
from ..interfaces.relay import RelayedRequest
from ..interfaces.server_client import AnsweringServer, ResponseHead
from ..outcomes import Outcome, Refusal

logger = logging.getLogger(__name__)

# With these, the request may be passed on to another entry VM.
CANNOT_HELP_REASONS = ("relay_leaving", "relay_cut_off")
LEAVING = Refusal(Outcome.NOT_RUN, "relay_leaving", "this entry VM leaves", 50)
CUT_OFF = Refusal(
    Outcome.NOT_RUN, "relay_cut_off", "this entry VM reaches no server either", 500
)


@dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """Answer to a request that another entry VM passed on.

    Parameters
    ----------
    body : bytes
        Complete body; empty for a stream.
    chunks : async generator of bytes or None
        Complete events of a stream; None for a plain answer.
    abandon : callable
        To be called at the end of a stream, as for `CallerStream`.
    """

    head: ResponseHead
    body: bytes = b""
    chunks: AsyncGenerator[bytes, None] | None = None
    abandon: Callable[[], None] = lambda: None


def refuse(refusal: Refusal, status: int = 503) -> RelayedAnswer:
    """Return the answer for a request that is refused here."""
    return RelayedAnswer(ResponseHead(status, (), refusal=refusal))


class RelayReceiver:
    """Runs requests of other entry VMs on servers, and never passes them on again.

    Parameters
    ----------
    runs : RequestRuns
        Runs requests on the servers that this entry VM reaches itself.
    strikes : CrashStrikes
        Requests that crashed servers.
    reachability : ServerReachability
        Whether this entry VM reaches servers.
    clock : Clock
        Source of time.
    log : RequestLog
        Logs the end of each request.

    Attributes
    ----------
    leaving : bool
        Set when this entry VM shuts down and accepts no further request.
    """

    def __init__(
        self,
        runs: RequestRuns,
        strikes: CrashStrikes,
        reachability: ServerReachability,
        clock: Clock,
        log: RequestLog,
    ) -> None:
        self.runs = runs
        self.strikes = strikes
        self.reachability = reachability
        self.clock = clock
        self.log = log
        self.leaving = False

    async def serve(self, request: RelayedRequest) -> RelayedAnswer:
        """Run a request and return its answer, which may be a refusal."""
        if self.leaving:
            return refuse(LEAVING)
        if self.reachability.is_cut_off:
            return refuse(CUT_OFF)
        # Where one entry VM is cut off, others may be and not have noticed it.
        self.reachability.suspect_unless_heard()
        state = self.begin(request)
        cut_off = asyncio.create_task(self.reachability.wait_cut_off())
        run = asyncio.create_task(
            run_within_deadline(self.runs, self.strikes, self.clock, state)
        )
        try:
            await asyncio.wait((cut_off, run), return_when=asyncio.FIRST_COMPLETED)
            if not run.done() and not state.may_have_run:
                return refuse(CUT_OFF)
            response = await run
        finally:
            run.cancel()
            cut_off.cancel()
        self.log.log_end(state, response)
        return self.make_answer(response)

    def begin(self, request: RelayedRequest) -> RequestState:
        """Return the state of a request that another entry VM passed on."""
        now = self.clock.monotonic_ms()
        caller_request = CallerRequest(
            request.request_id,
            request.method,
            request.host,
            request.path,
            request.target,
            request.headers,
            request.body,
            now,
            request.deadline_ms,
            request.resume_after,
            request.stream_id if request.resume_after else "",
            request.customer,
        )
        fingerprint = request_fingerprint(
            request.method, request.host, request.target, request.body
        )
        return RequestState(
            caller_request,
            request.route,
            request.service,
            now + request.deadline_ms - RESPONSE_MARGIN_MS,
            fingerprint if request.counts_crashes else None,
            spare_slots=request.spare_slots,
            software_version=request.software_version,
            relayed_for=request.entry_vm,
        )

    def make_answer(self, response: CallerResponse | CallerStream) -> RelayedAnswer:
        """Return the answer to the other entry VM."""
        if isinstance(response, CallerResponse) and response.refusal is not None:
            return refuse(response.refusal, response.status)
        source = response.source
        assert source is not None
        head = ResponseHead(
            response.status,
            response.headers,
            seal=source.head.seal,
            leaving=source.head.leaving,
            limit_per_s=source.head.limit_per_s,
            weight_version=source.head.weight_version,
            answered_by=AnsweringServer(
                source.server.endpoint, source.server.software_version
            ),
        )
        if isinstance(response, CallerStream):
            return RelayedAnswer(head, chunks=response.chunks, abandon=response.abandon)
        return RelayedAnswer(head, response.body)
