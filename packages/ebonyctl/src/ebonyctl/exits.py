"""Exit codes of the program, and the error that ends a command with one."""

from enum import IntEnum
from typing import Any


class ExitCode(IntEnum):
    """Exit codes of the program, as in docs/sheet.md and `ebonyctl --help`."""

    OK = 0
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    NOT_FOUND = 6
    UNAUTHORISED = 7
    INTERRUPTED = 130


class CommandError(Exception):
    """Error that ends a command with an exit code.

    Parameters
    ----------
    code : ExitCode
        Exit code of the program.
    message : str
        What happened, and what to do about it.
    details : dict
        Further keys of the JSON output, such as ``problems`` or ``difference``.
    """

    def __init__(self, code: ExitCode, message: str, **details: Any) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.details = details
