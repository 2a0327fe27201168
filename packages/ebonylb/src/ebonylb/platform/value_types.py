"""Types of the values in rows that other writers put into the store.

A value out of its range is malformed. Python's integers have no limit, so that a number
of hundreds of digits would otherwise pass the decoder and fail in the middle of a
computation. The ranges are wider than any sound value.
"""

import re
from typing import Annotated

import msgspec

from .numbers import parse_count

MAX_INTEGER = 2**53  # the largest range in which each integer has a float of its own
MAX_MILLISECONDS = 1e12  # some 30 years
MAX_SECONDS = 1e9
MAX_PORT = 65_535

Count = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Slots = Annotated[int, msgspec.Meta(ge=-1_000_000, le=1_000_000)]
UnixMilliseconds = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Milliseconds = Annotated[float, msgspec.Meta(ge=-MAX_MILLISECONDS, le=MAX_MILLISECONDS)]
Seconds = Annotated[float, msgspec.Meta(ge=-MAX_SECONDS, le=MAX_SECONDS)]
Weight = Annotated[float, msgspec.Meta(ge=-1e9, le=1e9)]

# Hosts of RFC 3986, section 3.2.2: an address in brackets, or a name or IPv4 address.
HOST = re.compile(
    r"\[[0-9A-Fa-f:.]+\]|(?:[A-Za-z0-9\-._~!$&'()*+,;=]|%[0-9A-Fa-f]{2})+"
)


def check_address(address: str) -> str:
    """Return an address of the form ``host:port``.

    Raises
    ------
    msgspec.ValidationError
        It is no host of RFC 3986 with a port from 1 to 65535.
    """
    host, _, port = address.rpartition(":")
    number = parse_count(port)
    if not HOST.fullmatch(host) or number is None or not 1 <= number <= MAX_PORT:
        raise msgspec.ValidationError(f"unknown address {address[:100]!r}")
    return address


def check_header_text(text: str, what: str) -> str:
    """Return a text that can be sent as the value of a header.

    Raises
    ------
    msgspec.ValidationError
        It is empty or has other characters than printable ones of ASCII.
    """
    if not text or not text.isascii() or not text.isprintable():
        raise msgspec.ValidationError(f"{what} {text[:100]!r} cannot be sent")
    return text
