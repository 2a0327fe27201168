"""Comparison of two sheets."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from .sheet import EMPTY_SHEET, Sheet


class ChangeKind(StrEnum):
    """Kind of difference at a key."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class Change:
    """Difference between two sheets at one key.

    Parameters
    ----------
    kind : ChangeKind
        Whether the key was added, removed or changed.
    path : str
        Dotted key, such as ``"services.kiln-lm.shares.merchants"``.
    old, new : object
        Value in the old and the new sheet; None where the key is absent.
    """

    kind: ChangeKind
    path: str
    old: Any = None
    new: Any = None

    def document(self) -> dict[str, Any]:
        """Return the change as a JSON object."""
        return {
            "kind": str(self.kind),
            "path": self.path,
            "old": self.old,
            "new": self.new,
        }


def diff(old: Sheet, new: Sheet) -> list[Change]:
    """Return the changes from the old to the new sheet, ordered by key."""
    before, after = flatten(old), flatten(new)
    changes = []
    for path in sorted(before.keys() | after.keys()):
        if path not in before:
            changes.append(Change(ChangeKind.ADDED, path, new=after[path]))
        elif path not in after:
            changes.append(Change(ChangeKind.REMOVED, path, old=before[path]))
        elif before[path] != after[path]:
            changes.append(Change(ChangeKind.CHANGED, path, before[path], after[path]))
    return changes


def flatten(sheet: Sheet) -> dict[str, Any]:
    """Return a sheet's values by dotted key, with defaults applied."""
    values: dict[str, Any] = {}
    if sheet.day != EMPTY_SHEET.day:
        values["day"] = sheet.day.isoformat()
    for name, party in sheet.parties.items():
        values[f"parties.{name}.role"] = party.role
    for name, service in sheet.services.items():
        start = f"services.{name}"
        values[f"{start}.kind"] = service.kind
        if service.kind == "engine":
            values[f"{start}.staleness_bound"] = service.staleness_limit
        for party, weight in service.shares.items():
            values[f"{start}.shares.{party}"] = weight
        for party, budget in service.cross_region_bytes_per_s.items():
            values[f"{start}.cross_region_bytes_per_s.{party}"] = budget
    return values
