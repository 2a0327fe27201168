"""Conversion of work, chunks, responses and refusals to peer messages and back."""

from ..interfaces import CallResponse
from ..outcomes import Outcome, Refusal, RefusedError, StepError
from ..peers.messages import (
    AnswerCall,
    AnswerChunk,
    ForwardCall,
    ForwardGenerate,
    Message,
    Refused,
)
from .work import CallWork, Chunk, GenerateWork, Work


def generate_message(work: Work, shard: int) -> ForwardGenerate:
    """Return the message that forwards a generation."""
    payload = work.payload
    if not isinstance(payload, GenerateWork):
        raise TypeError(f"{work.request_id} is not a generation")
    return ForwardGenerate(
        request_id=work.request_id,
        party=work.party,
        service=work.service,
        shard=shard,
        prompt=payload.prompt,
        max_tokens=payload.max_tokens,
        seed=payload.seed,
        generated=payload.generated,
        deadline_ms=work.deadline_ms,
        group=work.group,
        min_version=work.min_version,
        strikes=work.strikes,
        exclude=list(work.exclude),
        idempotent=work.idempotent,
    )


def call_message(work: Work, shard: int) -> ForwardCall:
    """Return the message that forwards a plain-service call."""
    payload = work.payload
    if not isinstance(payload, CallWork):
        raise TypeError(f"{work.request_id} is not a call")
    return ForwardCall(
        request_id=work.request_id,
        party=work.party,
        service=work.service,
        shard=shard,
        body=payload.body,
        content_type=payload.content_type,
        idempotent=work.idempotent,
        deadline_ms=work.deadline_ms,
        strikes=work.strikes,
        exclude=list(work.exclude),
    )


def chunk_from_message(message: AnswerChunk) -> Chunk:
    """Return the chunk that a message carries."""
    return Chunk(message.text, message.tokens, message.version, message.server)


def response_from_message(message: Message, peer: str) -> CallResponse:
    """Return the response that a message carries.

    Raises
    ------
    RefusedError
        The owner refused the call.
    StepError
        The message is of an unexpected type.
    """
    if isinstance(message, AnswerCall):
        return CallResponse(
            message.status, message.body, message.content_type, message.server
        )
    if isinstance(message, Refused):
        raise RefusedError(refusal_from_message(message))
    raise StepError("route.answer", peer, f"unexpected {type(message).__name__}")


def refusal_from_message(message: Refused) -> Refusal:
    """Return the refusal that a message carries."""
    retry_after_ms = message.retry_after_ms if message.retry_after_ms >= 0 else None
    return Refusal(
        Outcome(message.outcome), message.reason, message.message, retry_after_ms
    )


def refused_message(refusal: Refusal) -> Refused:
    """Return the message that carries a refusal."""
    retry_after_ms = -1 if refusal.retry_after_ms is None else refusal.retry_after_ms
    return Refused(refusal.outcome, refusal.reason, refusal.message, retry_after_ms)
