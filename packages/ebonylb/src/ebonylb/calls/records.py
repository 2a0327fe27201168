"""Records of calls in memory, as table rows and as peer messages."""

import asyncio
import base64
import hashlib
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any
from urllib.parse import quote

from ..interfaces import CallResponse
from ..outcomes import Outcome, Refusal
from ..peers.messages import AnswerCall, Message, Refused

TABLE = "calls"
MAX_INLINE_BYTES = 16_384  # larger response bodies go to the object store


class EvictedResult:
    """Placeholder for a result that only the journal still holds."""


class CallStage(StrEnum):
    """Progress of a call on the entry VM that runs it."""

    CLAIMING = "claiming"
    DISPATCHED = "dispatched"
    FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class RunRequest:
    """A call as its caller sent it."""

    request_id: str
    party: str
    service: str
    key: str
    body: bytes
    content_type: str
    deadline_ms: float

    @property
    def fingerprint(self) -> str:
        """Digest that detects another service, media type or body under one key."""
        header = f"{self.service}\n{self.content_type}\n".encode()
        return hashlib.sha256(header + self.body).hexdigest()


@dataclass(slots=True, eq=False)
class CallRecord:
    """A call that this entry VM runs or has run.

    Parameters
    ----------
    row_key : str
        Key of its row in the table ``calls``.
    row_revision : int
        Revision of that row that the journal's write requires; 0 if the row must be
        absent.
    result : asyncio.Future
        `CallResponse` or `Refusal` once it is final; `EvictedResult` after the body
        was evicted from memory.
    journaled : bool
        Whether the result is known to be stored on the platform.
    claim_resolved : asyncio.Event
        Set once it is decided whether this entry VM dispatches the call.
    """

    party: str
    service: str
    key: str
    fingerprint: str
    row_key: str
    token: str
    result: "asyncio.Future[CallResponse | Refusal | EvictedResult]"
    started_ms: float
    sequence: int = 0
    row_revision: int = 0
    stage: CallStage = CallStage.CLAIMING
    journaled: bool = False
    claim_resolved: asyncio.Event = field(default_factory=asyncio.Event)


def issued_row_key(entry_vm: str, incarnation: str, sequence: int) -> str:
    """Return the row key of a call with an issued key."""
    return f"issued/{entry_vm}/{incarnation}/{sequence:012d}"


def claim_row_key(party: str, key: str) -> str:
    """Return the row key of a call with a caller-made key."""
    return f"claim/{quote(party, safe='')}/{hashlib.sha256(key.encode()).hexdigest()}"


def row_value(record: CallRecord, state: str, holder: str) -> dict[str, Any]:
    """Return the fields that rows of every state have."""
    return {
        "state": state,
        "holder": holder,
        "token": record.token,
        "party": record.party,
        "service": record.service,
        "fingerprint": record.fingerprint,
    }


def result_value(result: CallResponse | Refusal, object_key: str) -> dict[str, Any]:
    """Return the fields of a row that hold the result."""
    if isinstance(result, Refusal):
        return {
            "refusal": {
                "outcome": str(result.outcome),
                "reason": result.reason,
                "message": result.message,
            }
        }
    response: dict[str, Any] = {
        "status": result.status,
        "content_type": result.content_type,
        "server": result.server,
        "size_bytes": len(result.body),
    }
    if object_key:
        response["object"] = object_key
    else:
        response["body"] = base64.b64encode(result.body).decode()
    return {"answer": response}


def to_message(result: CallResponse | Refusal) -> Message:
    """Encode a result as a message to a peer."""
    if isinstance(result, CallResponse):
        return AnswerCall(
            result.status, result.body, result.content_type, result.server
        )
    retry_after_ms = -1 if result.retry_after_ms is None else result.retry_after_ms
    return Refused(str(result.outcome), result.reason, result.message, retry_after_ms)


def from_message(message: Message) -> CallResponse | Refusal | None:
    """Decode a result from a peer; return None for any other message."""
    if isinstance(message, AnswerCall):
        return CallResponse(
            message.status, message.body, message.content_type, message.server
        )
    if isinstance(message, Refused):
        retry_after_ms = None if message.retry_after_ms < 0 else message.retry_after_ms
        return Refusal(
            Outcome(message.outcome), message.reason, message.message, retry_after_ms
        )
    return None
