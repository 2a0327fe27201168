"""Search of log files for the lines about a request: ``ebonyctl trace``.

It needs no running system.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .exits import CommandError, ExitCode

# Fields with the id of a batch, an item or a request, by which lines are related.
ID_FIELDS = ("batch", "item", "request_id")
# Fields of every log line, which are not shown again as extra fields.
COMMON_FIELDS = frozenset({"time", "level", "logger", "message", "entry_vm"})
# Messages about lost dependencies, starts, stops and configurations. They are shown if
# they were logged by an entry VM of the request between its first and last line.
CONTEXT_MESSAGES = frozenset(
    {
        "store lost",
        "store regained",
        "no backend server is reachable",
        "backend servers are reachable again",
        "entry VM started",
        "entry VM leaving",
        "entry VM stopped",
        "configuration in force",
        "keys honoured",
        "keys not honoured",
        "settings read again",
        "settings refused",
    }
)


@dataclass(frozen=True)
class LogLine:
    """One decoded log line."""

    time: str
    entry_vm: str
    message: str
    fields: dict[str, Any]

    def has_any_id(self, ids: set[str]) -> bool:
        """Return whether the line is about one of the ids."""
        return any(self.fields.get(field_name) in ids for field_name in ID_FIELDS)


def read_lines(paths: Iterable[str]) -> Iterator[LogLine]:
    """Yield the decoded lines of log files.

    Text before the JSON object and lines without one are skipped.

    Raises
    ------
    CommandError
        A file cannot be read.
    """
    for path in paths:
        try:
            text = Path(path).read_text(errors="replace")
        except OSError as error:
            raise CommandError(
                ExitCode.REFUSED, f"{path}: cannot be read: {error}"
            ) from error
        for line in text.splitlines():
            start = line.find("{")
            if start < 0:
                continue
            try:
                fields = json.loads(line[start:])
            except json.JSONDecodeError:
                continue
            if isinstance(fields, dict) and "message" in fields:
                yield LogLine(
                    str(fields.get("time", "")),
                    str(fields.get("entry_vm", "")),
                    str(fields["message"]),
                    {
                        name: value
                        for name, value in fields.items()
                        if name not in COMMON_FIELDS
                    },
                )


def find_related_lines(lines: Iterable[LogLine], requested_id: str) -> list[LogLine]:
    """Return the lines about an id and its batch, and the context lines between them.

    The lines about an item's batch are included, because they show the batch's holder.
    The lines about a batch's items are not. The id of a scoring request stands for its
    item.
    """
    all_lines = sorted(lines, key=lambda line: line.time)
    item_ids = {requested_id}
    for line in all_lines:
        if line.fields.get("scoring_request") == requested_id:
            item_ids.add(line.fields["item"])
    ids = set(item_ids)
    for line in all_lines:
        if line.fields.get("item") in item_ids and "batch" in line.fields:
            ids.add(line.fields["batch"])
    direct_lines = [
        line
        for line in all_lines
        if line.has_any_id(ids) and line.fields.get("item") in (None, *item_ids)
    ]
    if not direct_lines:
        return []
    start_time, end_time = direct_lines[0].time, direct_lines[-1].time
    entry_vms = {line.entry_vm for line in direct_lines}
    context_lines = [
        line
        for line in all_lines
        if line.message in CONTEXT_MESSAGES
        and line.entry_vm in entry_vms
        and start_time <= line.time <= end_time
    ]
    return sorted([*direct_lines, *context_lines], key=lambda line: line.time)


def format_line(line: LogLine) -> str:
    """Return a log line as readable text."""
    fields = " ".join(
        f"{name}={json.dumps(value) if not isinstance(value, str) else value}"
        for name, value in line.fields.items()
        if value not in (None, [], "")
    )
    return f"{line.time} {line.entry_vm}: {line.message} {fields}".rstrip()
