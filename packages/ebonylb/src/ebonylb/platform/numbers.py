"""Parsers of numbers in headers and queries.

`str.isdigit` accepts digits of other scripts and exponents, for which `int` fails, and
`float` accepts NaN, which breaks the order of the event loop's timers.
"""

import math

# Larger counts are malformed; they would not fit into a float or a row.
MAX_DIGITS = 15


def parse_count(text: str | None) -> int | None:
    """Return a non-negative integer; None if it is missing or malformed."""
    if not text or len(text) > MAX_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)


def parse_rate(text: str | None) -> float | None:
    """Return a non-negative number a second; None if it is missing or malformed."""
    number = parse_milliseconds(text)
    return number if number is not None and number >= 0 else None


def parse_milliseconds(text: str | None) -> float | None:
    """Return a finite number; None if it is missing or malformed."""
    try:
        number = float(text) if text else None
    except ValueError:
        return None
    return number if number is not None and math.isfinite(number) else None
