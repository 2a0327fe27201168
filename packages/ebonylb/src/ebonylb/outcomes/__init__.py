"""Refusals, step errors and identifiers that all components share."""

from .errors import StepError
from .identifiers import new_request_id, new_token
from .refusal import Outcome, Refusal, RefusedError

__all__ = [
    "Outcome",
    "Refusal",
    "RefusedError",
    "StepError",
    "new_request_id",
    "new_token",
]
