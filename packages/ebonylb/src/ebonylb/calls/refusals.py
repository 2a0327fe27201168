"""Refusals of calls; docs/idempotency.md lists the conditions of each."""

import random

from ..outcomes import Outcome, Refusal, RefusedError

MAX_KEY_LENGTH = 255
RETRY_AFTER_MS = 2_000


def refusal_error(
    outcome: Outcome, reason: str, message: str, retry_after_ms: int | None = None
) -> RefusedError:
    """Return an error that carries a refusal."""
    return RefusedError(Refusal(outcome, reason, message, retry_after_ms))


def key_reused() -> RefusedError:
    """Return the refusal of a key reused with another service, media type or body."""
    return refusal_error(
        Outcome.NOT_RUN,
        "key_reused",
        "the key was used with another service, media type or body; this body was "
        "not run; use a new key for a new call",
    )


def jittered_retry_after_ms() -> int:
    """Return a retry delay with jitter, so that callers do not all return at once."""
    return int(RETRY_AFTER_MS * random.uniform(0.75, 1.25))


def invalid_key() -> RefusedError:
    """Return the refusal of a key that is malformed or was not issued to the party."""
    return refusal_error(
        Outcome.NOT_RUN,
        "key_invalid",
        f"the key is empty, longer than {MAX_KEY_LENGTH} characters, or starts with "
        "vk1. and was not issued to this party",
    )


def issuer_unavailable(entry_vm: str, ended: bool) -> RefusedError:
    """Return the refusal of an issued key whose issuer cannot be reached.

    It is final if the issuing incarnation has `ended`.
    """
    if ended:
        return refusal_error(
            Outcome.MAY_HAVE_RUN,
            "issuer_gone",
            f"entry VM {entry_vm}, which issued this key, ended without a recorded "
            "answer",
        )
    return refusal_error(
        Outcome.MAY_HAVE_RUN,
        "issuer_unreachable",
        f"entry VM {entry_vm}, which issued this key, does not answer",
        jittered_retry_after_ms(),
    )


def not_dispatched() -> Refusal:
    """Return the refusal of a call whose deadline expired before its dispatch."""
    return Refusal(
        Outcome.NOT_RUN,
        "not_dispatched",
        "the call was not dispatched before its deadline",
        jittered_retry_after_ms(),
    )


def interrupted(error: BaseException) -> Refusal:
    """Return the final refusal of a call that was interrupted after its dispatch."""
    return Refusal(
        Outcome.MAY_HAVE_RUN, "interrupted", f"the call was interrupted: {error!r}"
    )


def holder_replaced() -> Refusal:
    """Return the refusal for a claim of an earlier incarnation."""
    return Refusal(
        Outcome.MAY_HAVE_RUN,
        "holder_gone",
        "the claim's incarnation has ended without a recorded answer",
    )


def platform_unavailable(known_not_run: bool) -> RefusedError:
    """Return the refusal of a caller-made key while the platform is unreachable.

    `known_not_run` means that all entry VMs replied that they have no record of the
    key and that none was lost within the retention.
    """
    if known_not_run:
        return refusal_error(
            Outcome.NOT_RUN,
            "platform_unavailable",
            "the platform cannot record a claim on this key; send it again, or use a "
            "key from POST /v1/keys, which works without the platform",
            jittered_retry_after_ms(),
        )
    return refusal_error(
        Outcome.MAY_HAVE_RUN,
        "platform_unavailable",
        "this request was not run, but an earlier one with this key may have been, "
        "and neither the platform nor all entry VMs can be asked; send the same key "
        "again; for a call never sent before use a key from POST /v1/keys",
        jittered_retry_after_ms(),
    )


def holder_gone() -> RefusedError:
    """Return the final refusal of a call whose holder ended without a result."""
    return refusal_error(
        Outcome.MAY_HAVE_RUN,
        "holder_gone",
        "the entry VM that claimed this key ended before it recorded an answer",
    )


def holder_unreachable(holder: str) -> RefusedError:
    """Return the refusal of a call while the holder of its claim does not reply."""
    return refusal_error(
        Outcome.MAY_HAVE_RUN,
        "holder_unreachable",
        f"entry VM {holder} claimed this key and does not answer; send it again",
        jittered_retry_after_ms(),
    )


def response_unavailable() -> RefusedError:
    """Return the refusal of a call whose recorded response cannot be read."""
    return refusal_error(
        Outcome.MAY_HAVE_RUN,
        "answer_unavailable",
        "the call ran, and its recorded answer cannot be read now; send it again",
        jittered_retry_after_ms(),
    )


def claim_pending() -> Refusal:
    """Return the refusal of a call while its claim is neither acquired nor refused."""
    return Refusal(
        Outcome.MAY_HAVE_RUN,
        "claim_pending",
        "it is not yet known whether the key is claimed; send it again",
        jittered_retry_after_ms(),
    )
