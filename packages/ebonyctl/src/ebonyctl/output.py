"""Output of results, notices and errors as text or JSON."""

import asyncio
import json
import sys
from collections.abc import AsyncIterator, Iterable, Sequence
from contextlib import asynccontextmanager
from typing import Any

from rich import box
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from .exits import CommandError

PROGRESS_DELAY_S = 2.0
REFRESH_INTERVAL_S = 0.1
PIPE_WIDTH = 200  # characters; rich limits tables in a pipe to 80 by default


class Output:
    """Writes results to standard output, and notices to standard error.

    With `as_json`, exactly one JSON document is written to standard output.
    """

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json
        self.activity = "asking"  # text of the progress display
        width = None if sys.stdout.isatty() else PIPE_WIDTH
        self.console = Console(width=width, highlight=False)
        width = None if sys.stderr.isatty() else PIPE_WIDTH
        self.notice_console = Console(
            stderr=True, width=width, highlight=False, soft_wrap=True
        )

    def print_result(self, document: dict[str, Any], *lines: "str | Table") -> None:
        """Write a result: the document if JSON is requested, else the lines."""
        if self.as_json:
            print(json.dumps(document, indent=2))
            return
        for line in lines:
            self.console.print(escape(line) if isinstance(line, str) else line)

    def print_notice(self, message: str) -> None:
        """Write a message that is not part of the result to standard error."""
        self.notice_console.print(escape(message))

    def print_error(self, error: CommandError) -> None:
        """Write an error with its problems and the difference of the sheets."""
        if self.as_json:
            document = {"error": error.code.name.lower(), "message": error.message}
            print(json.dumps(document | error.details, indent=2))
            return
        self.print_notice(f"error: {error.message}")
        for problem in error.details.get("problems", []):
            self.print_notice(f"  {problem}")
        if error.details.get("difference"):
            self.notice_console.print(make_change_table(error.details["difference"]))

    @asynccontextmanager
    async def progress(self) -> AsyncIterator[None]:
        """Show the activity while the context is open, after `PROGRESS_DELAY_S`."""
        task = asyncio.create_task(self.show_progress())
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def show_progress(self) -> None:
        """Show a spinner on a terminal, and a line for each activity elsewhere."""
        await asyncio.sleep(PROGRESS_DELAY_S)
        if self.notice_console.is_terminal:
            with self.notice_console.status(escape(self.activity)) as spinner:
                while True:
                    spinner.update(escape(self.activity))
                    await asyncio.sleep(REFRESH_INTERVAL_S)
        printed_activity = ""
        while True:
            if self.activity != printed_activity:
                printed_activity = self.activity
                self.print_notice(f"{printed_activity} ...")
            await asyncio.sleep(REFRESH_INTERVAL_S)


def make_table(columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> Table:
    """Return a table with numeric columns aligned to the right."""
    body_rows = [list(row) for row in rows]
    result = Table(box=box.SIMPLE_HEAD, pad_edge=False)
    for index, column in enumerate(columns):
        is_numeric = all(isinstance(row[index], int | float) for row in body_rows)
        result.add_column(
            column,
            justify="right" if body_rows and is_numeric else "left",
            overflow="fold",
        )
    for row in body_rows:
        result.add_row(*("-" if cell is None else escape(str(cell)) for cell in row))
    return result


def make_change_table(changes: Sequence[dict[str, Any]]) -> Table:
    """Return a table of the changes between two sheets."""
    rows = [
        (change["kind"], change["path"], change["old"], change["new"])
        for change in changes
    ]
    return make_table(["change", "key", "current", "new"], rows)
