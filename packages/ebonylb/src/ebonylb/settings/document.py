"""Parser for JSON with comments that records the line of each key."""

import json
import re
from dataclasses import dataclass, field
from typing import Any

import jsonc

KeyPath = tuple[str | int, ...]

STRING = r'"(?:\\.|[^"\\])*"'
COMMENT = re.compile(rf"({STRING})|(//[^\r\n]*|/\*.*?\*/)", re.DOTALL)
TRAILING_COMMA = re.compile(rf"({STRING})|,(?=\s*[\]}}])", re.DOTALL)
TOKEN = re.compile(rf"{STRING}|[{{}}\[\]:,]|[^\s{{}}\[\]:,]+", re.DOTALL)


@dataclass(frozen=True, slots=True)
class DuplicateKey:
    """Repeated occurrence of a key in one object."""

    path: KeyPath
    line: int
    first_line: int


@dataclass(slots=True)
class Document:
    """Parsed JSON text with line numbers.

    Parameters
    ----------
    value : object
        Decoded value; the last of duplicate keys wins.
    lines : dict
        Line number of each key and array element by its path, starting at 1.
    duplicates : list of DuplicateKey
        Keys that occur more than once in an object.
    """

    value: Any
    lines: dict[KeyPath, int] = field(default_factory=dict)
    duplicates: list[DuplicateKey] = field(default_factory=list)

    def find_line(self, path: KeyPath) -> int:
        """Return the line of a path, or of its nearest ancestor in the document."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


def read_document(text: str) -> Document:
    """Parse text in JSON with comments.

    Raises
    ------
    ValueError
        The text is not valid; the message names the line and column.
    """
    # jsonc removes comments together with their line ends, which would shift the
    # line numbers of syntax errors. Comments are therefore replaced with spaces, and
    # line ends are kept.
    text = COMMENT.sub(
        lambda match: match[1] or re.sub(r"[^\r\n]", " ", match[2]), text
    )
    text = TRAILING_COMMA.sub(lambda match: match[1] or " ", text)
    try:
        document = Document(jsonc.loads(text))
    except RecursionError:
        raise ValueError("the values are nested too deeply") from None
    Scanner(document).scan(text)
    return document


class Scanner:
    """Scans the tokens of valid text and records line numbers and duplicate keys."""

    def __init__(self, document: Document) -> None:
        self.document = document
        self.path: list[str | int] = []
        # For each open bracket, whether it opened an object (True) or an array.
        self.bracket_is_object: list[bool] = []
        self.expects_key = False

    def scan(self, text: str) -> None:
        """Record the line numbers of all keys and array elements."""
        line, position = 1, 0
        for match in TOKEN.finditer(text):
            line += text.count("\n", position, match.start())
            position = match.start()
            self.process_token(match[0], line)

    def process_token(self, token: str, line: int) -> None:
        """Update the current path and the recorded lines for one token."""
        if token in ("}", "]"):
            self.bracket_is_object.pop()
            self.path.pop()
            self.expects_key = False
        elif token == ",":
            self.expects_key = self.bracket_is_object[-1]
            if not self.expects_key:
                self.path[-1] += 1
        elif self.expects_key:
            self.expects_key = False
            self.path[-1] = json.loads(token)
            self.record_key(tuple(self.path), line)
        elif token != ":":
            self.document.lines.setdefault(tuple(self.path), line)
            if token in ("{", "["):
                self.bracket_is_object.append(token == "{")
                self.path.append("" if token == "{" else 0)
                self.expects_key = token == "{"

    def record_key(self, path: KeyPath, line: int) -> None:
        """Record the line of a key, and a duplicate if its object already has it."""
        first_line = self.document.lines.get(path)
        if first_line is not None:
            self.document.duplicates.append(DuplicateKey(path, line, first_line))
        self.document.lines[path] = line
