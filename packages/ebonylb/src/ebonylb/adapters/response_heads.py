"""Check of the heads of HTTP responses by the grammar of RFC 9112.

aiohttp parses responses leniently, and its lenience cannot be switched off for one
client. What it accepts beyond the grammar reaches whoever reads the response.
"""

import re

LINE_END = b"\n"
# Characters of a malformed line that an error shows.
MAX_SHOWN_BYTES = 100
# Text of values and reasons, which has no control bytes but tabs.
TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
# The status is one of RFC 9110: others are invalid, and 101 answers a request to change
# the protocol, which nobody sends. A missing blank before an empty reason is accepted.
STATUS_LINE = re.compile(rb"HTTP/1\.[01] (?!101)([1-5][0-9]{2})(?: %b)?\r?\n" % TEXT)
# A line that begins with a blank continues the line before it in older versions of the
# protocol, and is refused as RFC 9112 allows.
FIELD_LINE = re.compile(rb"%b:%b\r?\n" % (TOKEN, TEXT))
FIRST_FINAL_STATUS = 200


class MalformedHeadError(ValueError):
    """A response has a head that is none by the grammar."""

    def __init__(self, part: str, line: bytes) -> None:
        super().__init__(f"malformed {part}: {line[:MAX_SHOWN_BYTES]!r}")


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
    is_over : bool
        Whether the head of the final response is complete.
    """

    def __init__(self) -> None:
        self.incomplete_line = b""
        self.status: int | None = None
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
        *lines, self.incomplete_line = (self.incomplete_line + data).split(LINE_END)
        for line in lines:
            self.check_line(line + LINE_END)
            if self.is_over:
                self.incomplete_line = b""
                return

    def check_line(self, line: bytes) -> None:
        """Check one complete line."""
        is_empty = not line.strip(b"\r\n")
        if self.status is None:
            if not is_empty:
                self.status = self.read_status(line)
        elif is_empty:
            self.is_over = self.status >= FIRST_FINAL_STATUS
            self.status = None
        elif FIELD_LINE.fullmatch(line) is None:
            raise MalformedHeadError("field line", line)

    def read_status(self, line: bytes) -> int:
        """Return the status in a status line."""
        match = STATUS_LINE.fullmatch(line)
        if match is None:
            raise MalformedHeadError("status line", line)
        return int(match[1])
