"""Check of the heads of HTTP responses by the grammar of RFC 9112.

aiohttp parses responses leniently, and its lenience cannot be switched off for one
client. What it accepts beyond the grammar reaches whoever reads the response.
"""

import re
from collections.abc import Iterable

LINE_END = b"\n"
EMPTY_LINES = (b"\r\n", b"\n")
# Characters of a malformed line that an error shows.
MAX_SHOWN_BYTES = 100
# Text of values and reasons, which has no control bytes but tabs.
TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
# The status is one of RFC 9110: others are invalid, and 101 answers a request to change
# the protocol, which nobody sends. A missing blank before an empty reason is accepted.
STATUS_LINE = re.compile(rb"HTTP/1\.[01] (?!101)([1-5][0-9]{2})(?: %b)?\r?\n" % TEXT)
FIRST_VERSION = b"HTTP/1.0"
# A line that begins with a blank continues the line before it in older versions of the
# protocol, and is refused as RFC 9112 allows.
FIELD_LINE = re.compile(rb"(%b):(%b)\r?\n" % (TOKEN, TEXT))
CODING_NAME = b"transfer-encoding"
FIRST_FINAL_STATUS = 200
# Servers send a few for each request; each one costs more than its bytes.
MAX_INTERIM_RESPONSES = 100
FINAL_STATUSES = range(FIRST_FINAL_STATUS, 600)


class MalformedHeadError(ValueError):
    """A response has a head that is none by the grammar."""

    def __init__(self, part: str, line: bytes) -> None:
        super().__init__(f"malformed {part}: {line[:MAX_SHOWN_BYTES]!r}")


def check_decoded_head(status: int, fields: Iterable[tuple[str, str]]) -> None:
    """Check the head of a final response that came decoded, by the same grammar.

    Raises
    ------
    MalformedHeadError
        The status is invalid, or a field could not be sent as one line.
    """
    if status not in FINAL_STATUSES:
        raise MalformedHeadError("status", str(status).encode())
    for name, value in fields:
        line = f"{name}:{value}\n".encode("utf-8", "surrogateescape")
        if FIELD_LINE.fullmatch(line) is None:
            raise MalformedHeadError("field", line)


class HeadCheck:
    """Checks the head of a response, and of its interim responses, line by line.

    A malformed line is an error once it is complete, also if the rest of the head does
    not come.

    Attributes
    ----------
    incomplete_line : bytes
        Bytes after the last complete line.
    status : int or None
        Status of the head that is being received; None before its status line.
    may_be_chunked : bool
        Whether the head that is being received may still state that its body comes in
        chunks, as it may once. Nobody asks servers for another transfer coding, and
        version 1.0 of the protocol has none.
    interim_responses : int
        Number of interim responses so far.
    is_over : bool
        Whether the head of the final response is complete.
    """

    def __init__(self) -> None:
        self.incomplete_line = b""
        self.status: int | None = None
        self.may_be_chunked = False
        self.interim_responses = 0
        self.is_over = False

    def feed(self, data: bytes) -> None:
        """Check received bytes up to the end of the final head.

        Raises
        ------
        MalformedHeadError
            A line does not match the grammar.
        """
        if self.is_over:
            return
        buffer, start = self.incomplete_line + data, 0
        while not self.is_over and (end := buffer.find(LINE_END, start) + 1):
            self.check_line(buffer[start:end])
            start = end
        self.incomplete_line = b"" if self.is_over else buffer[start:]

    def check_line(self, line: bytes) -> None:
        """Check one complete line."""
        is_empty = line in EMPTY_LINES
        if self.status is None:
            if not is_empty:
                self.status = self.read_status(line)
        elif is_empty:
            self.is_over = self.status >= FIRST_FINAL_STATUS
            self.status = None
        else:
            self.check_field(line)

    def read_status(self, line: bytes) -> int:
        """Return the status in a status line."""
        match = STATUS_LINE.fullmatch(line)
        if match is None:
            raise MalformedHeadError("status line", line)
        self.may_be_chunked = not line.startswith(FIRST_VERSION)
        status = int(match[1])
        self.interim_responses += status < FIRST_FINAL_STATUS
        if self.interim_responses > MAX_INTERIM_RESPONSES:
            raise MalformedHeadError("sequence of interim responses", line)
        return status

    def check_field(self, line: bytes) -> None:
        """Check the line of a field."""
        match = FIELD_LINE.fullmatch(line)
        if match is None:
            raise MalformedHeadError("field line", line)
        if match[1].lower() != CODING_NAME:
            return
        if not self.may_be_chunked or match[2].strip(b" \t").lower() != b"chunked":
            raise MalformedHeadError("transfer coding", line)
        self.may_be_chunked = False
