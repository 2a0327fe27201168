"""Runs non-idempotent calls; the call of a key runs at most once."""

import asyncio
from collections.abc import Awaitable

from result import Err

from ..interfaces import CallResponse, Clock
from ..outcomes import Outcome, Refusal, RefusedError, StepError
from ..peers import PeerBus
from ..peers.messages import AwaitCall, Message, NeverDispatched, RunCall
from ..routing import CallWork, Executor, Work
from .claims import FINGERPRINT_PREFIX, ClaimStore
from .journal import Journal
from .keys import IssuedKey, KeyIssuer, has_issued_prefix
from .peer_interface import CallPeers
from .record_table import CallRecords
from .records import (
    CallRecord,
    CallStage,
    EvictedResult,
    RunRequest,
    claim_row_key,
    from_message,
    issued_row_key,
    to_message,
)
from .refusals import (
    MAX_KEY_LENGTH,
    claim_pending,
    holder_replaced,
    interrupted,
    invalid_key,
    issuer_unavailable,
    jittered_retry_after_ms,
    key_reused,
    not_dispatched,
    refusal_error,
    response_unavailable,
)

FORWARD_MARGIN_MS = 500  # lets the issuer's deadline expire before the request's


class CallService:
    """Runs calls of plain services for callers.

    Parameters
    ----------
    issuer : KeyIssuer
        Issues and verifies keys of this incarnation.
    claims : ClaimStore
        Acquires claims on caller-made keys.
    journal : Journal
        Stores results.
    executor : Executor
        Runs calls on backend servers.
    peers : CallPeers
        Access to other entry VMs.
    retention_ms : float
        How long a finished and journaled record stays in memory.
    """

    def __init__(
        self,
        issuer: KeyIssuer,
        claims: ClaimStore,
        journal: Journal,
        executor: Executor,
        peers: CallPeers,
        clock: Clock,
        retention_ms: float,
    ) -> None:
        self.issuer = issuer
        self.claims = claims
        self.journal = journal
        self.executor = executor
        self.peers = peers
        self.clock = clock
        self.records = CallRecords(issuer, journal, clock, retention_ms)
        self.running: set[asyncio.Task[None]] = set()

    def register(self, bus: PeerBus) -> None:
        """Register the handlers for messages of other entry VMs."""
        bus.on(RunCall, self.on_run_call)
        bus.on(AwaitCall, self.on_await_call)

    async def close(self, timeout_ms: float) -> int:
        """Wait for running calls, then flush the journal.

        Return the number of rows that were not written within `timeout_ms`.
        """
        deadline_ms = self.clock.monotonic_ms() + timeout_ms
        if self.running:
            await asyncio.wait(self.running, timeout=timeout_ms / 1000)
        return await self.journal.close(max(0, deadline_ms - self.clock.monotonic_ms()))

    async def run(
        self,
        request_id: str,
        party: str,
        service: str,
        key: str | None,
        body: bytes,
        content_type: str,
        deadline_ms: float,
    ) -> CallResponse:
        """Run one call and return its complete response.

        Raises
        ------
        RefusedError
            The call has no response; the outcome says whether it may have run.
        """
        request = RunRequest(
            request_id, party, service, key or "", body, content_type, deadline_ms
        )
        self.records.drop_expired()
        self.records.evict_bodies()
        if key is None:
            return await self.dispatch(request)
        if not has_issued_prefix(key):
            return response_or_raise(await self.run_caller_key(request))
        issued = self.issuer.verify(key, party)
        if issued is None:
            raise invalid_key()
        if self.is_issued_here(issued):
            return response_or_raise(
                await self.run_issued_here(request, issued.sequence)
            )
        return response_or_raise(await self.run_at_issuer(request, issued))

    def is_issued_here(self, key: IssuedKey) -> bool:
        """Return whether this process issued a key."""
        return (key.entry_vm, key.incarnation) == (
            self.issuer.entry_vm,
            self.issuer.incarnation,
        )

    async def dispatch(self, request: RunRequest) -> CallResponse:
        """Run the call on a backend server; every failure becomes a refusal."""
        work = Work(
            request.request_id,
            request.party,
            request.service,
            CallWork(request.body, request.content_type),
            idempotent=False,
            deadline_ms=request.deadline_ms,
        )
        try:
            return await self.executor.call(work)
        except StepError as error:
            outcome = Outcome.MAY_HAVE_RUN if error.may_have_run else Outcome.NOT_RUN
            retry_after_ms = None if error.may_have_run else jittered_retry_after_ms()
            raise refusal_error(
                outcome, "call_failed", str(error), retry_after_ms
            ) from error

    # Issued keys

    async def run_issued_here(
        self, request: RunRequest, sequence: int
    ) -> CallResponse | Refusal:
        """Run the call of a key that this process issued, or join it if it runs."""
        row_key = issued_row_key(
            self.issuer.entry_vm, self.issuer.incarnation, sequence
        )
        record = self.records.by_row.get(row_key)
        if record is None:
            if sequence <= self.issuer.expire():
                return await self.load_expired(request, row_key)
            record = self.records.open(request, row_key, sequence, len(self.running))
            record.stage = CallStage.DISPATCHED
            self.start_task(self.execute(record, request))
        elif record.fingerprint != request.fingerprint:
            raise key_reused()
        return await self.wait_for_result(record, request.deadline_ms)

    async def load_expired(
        self, request: RunRequest, row_key: str
    ) -> CallResponse | Refusal:
        """Load the result of a key after its retention from the journal.

        A record is dropped from memory only after it was stored. The call of a key
        without a row has therefore never run.
        """
        read = await self.journal.read_row(row_key)
        if isinstance(read, Err):
            raise refusal_error(
                Outcome.MAY_HAVE_RUN,
                "journal_unreachable",
                "the key's retention is over and the journal cannot be read now",
                jittered_retry_after_ms(),
            )
        if read.ok_value is None:
            raise refusal_error(
                Outcome.NOT_RUN,
                "key_expired",
                "the key was not used within its retention; ask for a new key",
            )
        return await self.load_matching(request, read.ok_value)

    async def load_matching(
        self, request: RunRequest, row: object
    ) -> CallResponse | Refusal:
        """Return the result of a row if it records the same request.

        Raises
        ------
        RefusedError
            The row has another fingerprint, or its response cannot be read.
        """
        if row.value["fingerprint"] != request.fingerprint:
            raise key_reused()
        return (await self.claims.load_recorded(row)).result

    async def run_at_issuer(
        self, request: RunRequest, key: IssuedKey
    ) -> CallResponse | Refusal:
        """Forward a call to the issuer of its key; without a reply, read the journal.

        Raises
        ------
        RefusedError
            The issuer did not reply and the journal has no result.
        """
        ended = self.peers.has_incarnation_ended(key.entry_vm, key.incarnation)
        if not ended:
            message = RunCall(
                request.request_id,
                request.party,
                request.service,
                request.key,
                request.body,
                request.content_type,
                request.deadline_ms,
            )
            try:
                reply = await self.peers.request(
                    key.entry_vm, message, request.deadline_ms + FORWARD_MARGIN_MS
                )
                result = from_message(reply)
            except StepError:
                result = None
            ended = isinstance(result, Refusal) and result.reason == "issuer_gone"
            if result is not None and not ended:
                return result
        row_key = issued_row_key(key.entry_vm, key.incarnation, key.sequence)
        read = await self.journal.read_row(row_key)
        if not isinstance(read, Err) and read.ok_value is not None:
            return await self.load_matching(request, read.ok_value)
        ended = ended or self.peers.has_incarnation_ended(key.entry_vm, key.incarnation)
        raise issuer_unavailable(key.entry_vm, ended and not isinstance(read, Err))

    # Keys made by callers

    async def run_caller_key(self, request: RunRequest) -> CallResponse | Refusal:
        """Return the result of a caller-made key; join, claim or run its call."""
        if not 0 < len(request.key) <= MAX_KEY_LENGTH:
            raise invalid_key()
        row_key = claim_row_key(request.party, request.key)
        record = self.records.by_row.get(row_key)
        if record is None:
            record = self.records.open(request, row_key, 0, len(self.running))
            self.start_task(self.claim_and_execute(record, request))
        elif record.fingerprint != request.fingerprint:
            raise key_reused()
        return await self.wait_for_result(record, request.deadline_ms)

    async def claim_and_execute(self, record: CallRecord, request: RunRequest) -> None:
        """Claim a key and run its call if the claim was acquired in time."""
        started_ms = self.clock.monotonic_ms()
        try:
            known = await self.claims.acquire(record, request.deadline_ms)
        except RefusedError as error:
            self.records.close_undispatched(record, error.refusal)
            return
        except BaseException:
            self.records.close_undispatched(record, claim_pending())
            raise
        if known is not None:
            self.records.close_undispatched(record, known.result)
            return
        if self.clock.monotonic_ms() - started_ms >= request.deadline_ms:
            # The caller's deadline has expired; its resend replaces the released claim.
            self.records.close_undispatched(record, not_dispatched())
            self.journal.add(record, None)
            return
        record.stage = CallStage.DISPATCHED
        record.claim_resolved.set()
        await self.execute(record, request)

    # Dispatch

    async def execute(self, record: CallRecord, request: RunRequest) -> None:
        """Run a record's call, then keep and journal the result."""
        try:
            result: CallResponse | Refusal = await self.dispatch(request)
        except RefusedError as error:
            result = error.refusal
            if result.outcome == Outcome.NOT_RUN:
                self.records.close_undispatched(record, result)
                if record.row_revision:
                    self.journal.add(record, None)
                return
            result = Refusal(result.outcome, result.reason, result.message)
        except BaseException as error:
            self.records.finish(record, interrupted(error))
            raise
        self.records.finish(record, result)

    def start_task(self, work: Awaitable[None]) -> None:
        """Run work in a separate task, which outlives the request of its caller."""
        task = asyncio.ensure_future(work)
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    async def wait_for_result(
        self, record: CallRecord, deadline_ms: float
    ) -> CallResponse | Refusal:
        """Wait for a record's result; load it from the journal if it was evicted.

        Raises
        ------
        RefusedError
            The deadline expired, or the recorded response cannot be read.
        """
        shielded_result = asyncio.shield(record.result)
        try:
            result = await asyncio.wait_for(shielded_result, deadline_ms / 1000)
        except TimeoutError:
            raise refusal_error(
                Outcome.MAY_HAVE_RUN,
                "still_running",
                "the call has no answer yet; send the same key again",
                jittered_retry_after_ms(),
            ) from None
        if not isinstance(result, EvictedResult):
            return result
        read = await self.journal.read_row(record.row_key)
        if isinstance(read, Err) or read.ok_value is None:
            raise response_unavailable()
        return (await self.claims.load_recorded(read.ok_value)).result

    # Messages

    async def on_run_call(self, message: RunCall) -> Message:
        """Handle a call that a peer forwards because this entry VM issued its key."""
        key = self.issuer.verify(message.key, message.party)
        request = RunRequest(
            message.request_id,
            message.party,
            message.service,
            message.key,
            message.body,
            message.content_type,
            message.deadline_ms,
        )
        try:
            if key is None:
                raise invalid_key()
            if not self.is_issued_here(key):
                raise issuer_unavailable(key.entry_vm, True)
            return to_message(await self.run_issued_here(request, key.sequence))
        except RefusedError as error:
            return to_message(error.refusal)

    async def on_await_call(self, message: AwaitCall) -> Message:
        """Reply with the result of a claim, or of any record of a key."""
        token = message.claim_token
        if token.startswith(FINGERPRINT_PREFIX):
            record = self.records.by_row.get(claim_row_key(message.party, message.key))
            if record is None:
                return NeverDispatched()
            if record.stage == CallStage.CLAIMING:
                return to_message(claim_pending())
            if record.fingerprint != token.removeprefix(FINGERPRINT_PREFIX):
                return to_message(key_reused().refusal)
        else:
            if token.split(".")[0] != self.issuer.incarnation:
                return to_message(holder_replaced())
            record = self.records.by_token.get(token)
            if record is not None:
                try:
                    timeout_s = message.deadline_ms / 1000
                    await asyncio.wait_for(record.claim_resolved.wait(), timeout_s)
                except TimeoutError:
                    return to_message(claim_pending())
                record = self.records.by_token.get(token)
        if record is None:
            return NeverDispatched()
        try:
            return to_message(await self.wait_for_result(record, message.deadline_ms))
        except RefusedError as error:
            return to_message(error.refusal)


def response_or_raise(result: CallResponse | Refusal) -> CallResponse:
    """Return the response; raise `RefusedError` if the result is a refusal."""
    if isinstance(result, Refusal):
        raise RefusedError(result)
    return result
