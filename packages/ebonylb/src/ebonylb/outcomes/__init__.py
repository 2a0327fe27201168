"""Refusals, step errors and identifiers that all components share."""

from .decoding import DECODING_ERRORS
from .errors import StepError
from .identifiers import new_request_id, new_token
from .refusal import Outcome, Refusal, RefusedError

__all__ = [
    "DECODING_ERRORS",
    "Outcome",
    "Refusal",
    "RefusedError",
    "StepError",
    "new_request_id",
    "new_token",
]
