"""System-wide configuration: sheet, revisions, storage and propagation."""

from .differences import Change, ChangeKind, diff
from .propagation import ConfigurationPropagator
from .sheet import EMPTY_SHEET, Party, Service, Sheet, load_sheet, parse_sheet
from .state import ConfigurationState
from .store import (
    Applied,
    ApplyConflict,
    ApplyRefused,
    ApplyResult,
    ApplyUnavailable,
    ConfigurationStore,
)

__all__ = [
    "EMPTY_SHEET",
    "Applied",
    "ApplyConflict",
    "ApplyRefused",
    "ApplyResult",
    "ApplyUnavailable",
    "Change",
    "ChangeKind",
    "ConfigurationPropagator",
    "ConfigurationState",
    "ConfigurationStore",
    "Party",
    "Service",
    "Sheet",
    "diff",
    "load_sheet",
    "parse_sheet",
]
