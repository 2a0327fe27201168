"""Bounded in-memory table of the calls that this entry VM runs or has run."""

import asyncio
from collections import OrderedDict

from ..interfaces import CallResponse, Clock
from ..outcomes import Outcome, Refusal, new_token
from .journal import Journal
from .keys import KeyIssuer
from .records import CallRecord, CallStage, EvictedResult, RunRequest
from .refusals import jittered_retry_after_ms, refusal_error


class CallRecords:
    """Records indexed by row key and by claim token.

    A record is dropped only after its result is known to be stored and its retention
    has expired. Above the journal's byte limit, stored response bodies are evicted
    earlier.

    Parameters
    ----------
    retention_ms : float
        How long a finished and journaled record stays in memory.
    """

    def __init__(
        self, issuer: KeyIssuer, journal: Journal, clock: Clock, retention_ms: float
    ) -> None:
        self.issuer = issuer
        self.journal = journal
        self.clock = clock
        self.retention_ms = retention_ms
        self.by_row: dict[str, CallRecord] = {}
        self.by_token: dict[str, CallRecord] = {}
        self.finish_times_ms: OrderedDict[str, float] = OrderedDict()  # row key: time
        self.body_sizes: OrderedDict[str, int] = OrderedDict()  # row key: bytes
        self.body_bytes = 0

    def open(
        self, request: RunRequest, row_key: str, sequence: int, running_calls: int
    ) -> CallRecord:
        """Create the record of a call.

        Raises
        ------
        RefusedError
            The journal or this table is at its limit.
        """
        if (
            not self.journal.has_capacity(running_calls)
            or len(self.by_row) >= self.journal.max_rows
        ):
            # Only the issuer of a key knows that the key's call has not run before.
            raise refusal_error(
                Outcome.NOT_RUN if sequence else Outcome.MAY_HAVE_RUN,
                "journal_full",
                "this entry VM holds as many recorded answers as it may; this request "
                "was not run",
                jittered_retry_after_ms(),
            )
        token = f"{self.issuer.incarnation}.{new_token()}"
        record = CallRecord(
            request.party,
            request.service,
            request.key,
            request.fingerprint,
            row_key,
            token,
            asyncio.get_running_loop().create_future(),
            self.clock.monotonic_ms(),
            sequence,
        )
        self.by_row[row_key] = record
        self.by_token[token] = record
        return record

    def close_undispatched(
        self, record: CallRecord, result: CallResponse | Refusal
    ) -> None:
        """Drop a record whose call was not dispatched and never will be."""
        if self.by_row.get(record.row_key) is record:
            del self.by_row[record.row_key]
        self.by_token.pop(record.token, None)
        record.claim_resolved.set()
        record.result.set_result(result)

    def finish(self, record: CallRecord, result: CallResponse | Refusal) -> None:
        """Keep a final result in memory and add it to the journal."""
        record.stage = CallStage.FINISHED
        record.result.set_result(result)
        self.finish_times_ms[record.row_key] = self.clock.monotonic_ms()
        if isinstance(result, CallResponse):
            self.body_sizes[record.row_key] = len(result.body)
            self.body_bytes += len(result.body)
        self.journal.add(record, result)

    def drop_expired(self) -> None:
        """Drop journaled records whose retention has expired, oldest first."""
        now_ms = self.clock.monotonic_ms()
        expired_sequence = self.issuer.expire()
        while self.finish_times_ms:
            row_key, finished_ms = next(iter(self.finish_times_ms.items()))
            record = self.by_row[row_key]
            if (
                not record.journaled
                or now_ms - finished_ms < self.retention_ms
                or record.sequence > expired_sequence
            ):
                return
            del self.finish_times_ms[row_key], self.by_row[row_key]
            del self.by_token[record.token]
            self.body_bytes -= self.body_sizes.pop(row_key, 0)

    def evict_bodies(self) -> None:
        """Evict journaled bodies, oldest first, down to the journal's byte limit."""
        while self.body_bytes > self.journal.max_bytes:
            record = self.by_row[next(iter(self.body_sizes))]
            if not record.journaled:
                return
            self.body_bytes -= self.body_sizes.pop(record.row_key)
            record.result = asyncio.get_running_loop().create_future()
            record.result.set_result(EvictedResult())
