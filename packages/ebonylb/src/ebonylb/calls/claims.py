"""Claims on caller-made keys; at most one entry VM dispatches the call of a key."""

import asyncio
from dataclasses import dataclass

from result import Err

from ..interfaces import CallResponse, Check, Conflict, Row, Write
from ..outcomes import Outcome, Refusal, StepError
from ..peers.messages import AwaitCall, Message, NeverDispatched
from ..storage import GroupCommit
from .journal import Journal
from .peer_interface import CallPeers
from .records import TABLE, CallRecord, from_message, row_value
from .refusals import (
    holder_gone,
    holder_unreachable,
    jittered_retry_after_ms,
    key_reused,
    platform_unavailable,
    refusal_error,
    response_unavailable,
)

MAX_CLAIM_ATTEMPTS = 6  # repeated to replace claims that were never dispatched
PEER_TIMEOUT_MS = 1_000
REPLY_MARGIN_MS = 500  # lets the holder's deadline expire before the request's
UNFINISHED_REASONS = frozenset({"still_running", "claim_pending"})
# In `AwaitCall.claim_token`, selects any record of the key with this fingerprint.
FINGERPRINT_PREFIX = "fingerprint:"


@dataclass(frozen=True, slots=True)
class KnownResult:
    """Result that another entry VM or the journal holds; no dispatch is needed."""

    result: CallResponse | Refusal


class ClaimStore:
    """Acquires claims in the table ``calls``.

    Parameters
    ----------
    holder, incarnation : str
        Name and incarnation of this entry VM. Claim tokens start with the
        incarnation, so that a restarted holder never replies for its predecessor.
    retention_ms : float
        How long entry VMs keep records. While the platform is unreachable, peers can
        show that a call was not run only if none was lost within this time.
    """

    def __init__(
        self,
        group_commit: GroupCommit,
        journal: Journal,
        peers: CallPeers,
        holder: str,
        incarnation: str,
        retention_ms: float,
    ) -> None:
        self.group_commit = group_commit
        self.journal = journal
        self.peers = peers
        self.holder = holder
        self.incarnation = incarnation
        self.retention_ms = retention_ms

    async def acquire(
        self, record: CallRecord, deadline_ms: float
    ) -> KnownResult | None:
        """Claim the record's key.

        Returns
        -------
        KnownResult or None
            None if the claim was acquired and the call may be dispatched.

        Raises
        ------
        RefusedError
            The claim was not acquired and the call's result is unknown.
        """
        revision = 0
        for _ in range(MAX_CLAIM_ATTEMPTS):
            outcome = await self.group_commit.submit(
                [Check(TABLE, record.row_key, revision)],
                [Write(TABLE, record.row_key, self.build_claim_row(record))],
            )
            if isinstance(outcome, Err):
                return await self.request_from_all(record)
            if not isinstance(outcome.ok_value, Conflict):
                record.row_revision = revision + 1
                return None
            row = outcome.ok_value.rows[0]
            if row is not None and row.value["token"] == record.token:
                record.row_revision = row.revision
                return None
            if row is not None:
                known = await self.resolve_conflict(record, row, deadline_ms)
                if known is not None:
                    return known
            revision = row.revision if row else 0
        raise refusal_error(
            Outcome.MAY_HAVE_RUN,
            "claim_contended",
            "other entry VMs keep claiming this key; send it again",
            jittered_retry_after_ms(),
        )

    def build_claim_row(self, record: CallRecord) -> dict:
        """Return the table row of the record's claim."""
        value = row_value(record, "claimed", self.holder)
        return value | {"incarnation": self.incarnation}

    async def resolve_conflict(
        self, record: CallRecord, row: Row, deadline_ms: float
    ) -> KnownResult | None:
        """Return the result of an existing claim, or None if it can be replaced.

        Raises
        ------
        RefusedError
            The claim has another fingerprint, or its result cannot be obtained.
        """
        if row.value["fingerprint"] != record.fingerprint:
            raise key_reused()
        if row.value["state"] == "answered":
            return await self.load_recorded(row)
        if row.value["state"] == "released":
            return None
        if row.value["incarnation"] == self.incarnation:
            # This process has no record of its own claim: the write had an unclear
            # outcome, was refused and was committed later, or the claim was released.
            return None
        return await self.request_from_holder(record, row, deadline_ms)

    async def load_recorded(self, row: Row) -> KnownResult:
        """Return the result that an answered row records."""
        loaded = await self.journal.load_result(row)
        if isinstance(loaded, Err):
            raise response_unavailable()
        return KnownResult(loaded.ok_value)

    async def request_from_holder(
        self, record: CallRecord, row: Row, deadline_ms: float
    ) -> KnownResult | None:
        """Request the result from the holder of a claim.

        Returns
        -------
        KnownResult or None
            None if the holder never dispatched the call, or if the claim's row has
            changed since it was read.
        """
        holder, incarnation = row.value["holder"], row.value["incarnation"]
        ended = self.peers.has_incarnation_ended(holder, incarnation)
        if not ended:
            reply = await self.poll_holder(
                holder, record, row.value["token"], deadline_ms
            )
            if isinstance(reply, NeverDispatched):
                return None
            result = from_message(reply) if reply is not None else None
            if isinstance(result, Refusal) and result.reason == "holder_gone":
                ended = True
            elif result is not None:
                return KnownResult(result)
        # The holder may have recorded the result before it became unreachable.
        read = await self.journal.read_row(record.row_key)
        if isinstance(read, Err):
            raise holder_unreachable(holder)
        latest = read.ok_value
        if latest is not None and latest.value["state"] == "answered":
            return await self.load_recorded(latest)
        if latest is not None and latest.revision != row.revision:
            return None
        ended = ended or self.peers.has_incarnation_ended(holder, incarnation)
        raise holder_gone() if ended else holder_unreachable(holder)

    async def poll_holder(
        self, holder: str, record: CallRecord, token: str, deadline_ms: float
    ) -> Message | None:
        """Repeat a short request until the call has a result or the deadline expires.

        Short requests detect an unresponsive holder before the deadline of the call.
        """
        reply: Message | None = None
        while deadline_ms > 0:
            slice_ms = min(deadline_ms, PEER_TIMEOUT_MS)
            deadline_ms -= slice_ms
            message = AwaitCall(record.party, record.key, token, slice_ms)
            try:
                reply = await self.peers.request(
                    holder, message, slice_ms + REPLY_MARGIN_MS
                )
            except StepError:
                return None
            if getattr(reply, "reason", "") not in UNFINISHED_REASONS:
                return reply
        return reply

    async def request_from_all(self, record: CallRecord) -> KnownResult | None:
        """Request the key's result from all entry VMs while the platform is down.

        The call is known not to have run only if every entry VM replies that it has
        no record and none was lost within the retention.
        """
        message = AwaitCall(
            record.party,
            record.key,
            FINGERPRINT_PREFIX + record.fingerprint,
            PEER_TIMEOUT_MS,
        )

        async def request_from(entry_vm: str) -> object:
            try:
                return await self.peers.request(entry_vm, message, PEER_TIMEOUT_MS)
            except StepError:
                return None

        known_not_run = not self.peers.has_possible_loss_within(self.retention_ms)
        replies = await asyncio.gather(
            *(request_from(vm) for vm in self.peers.entry_vms())
        )
        for reply in replies:
            result = from_message(reply) if reply is not None else None
            if result is not None:
                return KnownResult(result)
        known_not_run = known_not_run and all(
            isinstance(r, NeverDispatched) for r in replies
        )
        raise platform_unavailable(known_not_run)
