"""Explaining a request from log files alone: ``ebonyctl trace``."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .exits import CommandError, ExitCode

# Fields of a line that name something whose other lines belong to the story too.
LINKS = ("batch", "item", "request_id")
# Fields that stand in every line and explain nothing.
COMMON = frozenset({"time", "level", "logger", "message", "entry_vm"})
# Lines about the surroundings within this time of a line of the request: lost
# dependencies, starts, ends, configurations.
NEARBY_MESSAGES = frozenset(
    {
        "store lost",
        "store regained",
        "entry VM started",
        "entry VM leaving",
        "entry VM stopped",
        "configuration in force",
        "settings read again",
        "settings refused",
    }
)


@dataclass(frozen=True)
class LogLine:
    """One decoded line."""

    time: str
    entry_vm: str
    message: str
    fields: dict[str, Any]

    def names(self, wanted: set[str]) -> bool:
        """Tell whether the line is about one of the ids."""
        return any(self.fields.get(link) in wanted for link in LINKS)


def read_lines(paths: Iterable[str]) -> Iterator[LogLine]:
    """Decode the lines of log files; text around the JSON is passed over."""
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
                    {k: v for k, v in fields.items() if k not in COMMON},
                )


def trace(lines: Iterable[LogLine], wanted_id: str) -> list[LogLine]:
    """Return the lines about an id, its batch, and what happened around them.

    An item leads to its batch, so that the lines about the batch's holder are shown;
    a batch does not lead to all its items.
    """
    every = sorted(lines, key=lambda line: line.time)
    wanted = {wanted_id}
    for line in every:
        if line.fields.get("item") == wanted_id and "batch" in line.fields:
            wanted.add(line.fields["batch"])
    own = [
        line
        for line in every
        if line.names(wanted) and line.fields.get("item") in (None, wanted_id)
    ]
    if not own:
        return []
    first, last = own[0].time, own[-1].time
    hosts = {line.entry_vm for line in own}
    around = [
        line
        for line in every
        if line.message in NEARBY_MESSAGES
        and line.entry_vm in hosts
        and first <= line.time <= last
    ]
    return sorted([*own, *around], key=lambda line: line.time)


def show(line: LogLine) -> str:
    """Return a line for people."""
    fields = " ".join(
        f"{name}={json.dumps(value) if not isinstance(value, str) else value}"
        for name, value in line.fields.items()
        if value not in (None, [], "")
    )
    return f"{line.time} {line.entry_vm}: {line.message} {fields}".rstrip()
