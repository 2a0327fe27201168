"""Errors with which the decoder of a received value fails."""

import msgspec

# For malformed values, wrong types, values out of range, and lists that are nested more
# deeply than the interpreter's stack.
DECODING_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    OverflowError,
    RecursionError,
)
