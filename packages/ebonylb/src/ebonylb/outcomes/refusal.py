"""Refusals, which tell a caller whether work without a response may have run."""

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """Whether refused work may have run, and whether it was abandoned for good."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    GIVEN_UP = "given_up"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Final negative response to one request.

    Parameters
    ----------
    outcome : Outcome
        Whether the work was not run, may have run, or was abandoned for good.
    reason : str
        Stable machine-readable cause, such as ``"overloaded"``.
    message : str
        Cause in one sentence for people.
    retry_after_ms : int or None
        Time after which the caller should retry; None if a retry cannot succeed.
    """

    outcome: Outcome
    reason: str
    message: str
    retry_after_ms: int | None = None


class RefusedError(Exception):
    """Raised to end a stream or a call with a refusal.

    Parameters
    ----------
    refusal : Refusal
        Response for the caller.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.outcome} ({refusal.reason}): {refusal.message}")
        self.refusal = refusal
