"""Rows that cannot be read: each costs itself alone, and is logged once."""

import logging
from collections.abc import Callable
from typing import TypeVar

from ..interfaces.row_store import StoredRow
from ..outcomes import DECODING_ERRORS

logger = logging.getLogger(__name__)

Content = TypeVar("Content")


class UnreadableRows:
    """Decodes rows and remembers those that it cannot decode.

    Attributes
    ----------
    causes : dict of str to str
        Why each unreadable row cannot be read, by its key.
    """

    def __init__(self) -> None:
        self.causes: dict[str, str] = {}

    def __len__(self) -> int:
        """Return the number of rows that cannot be read now."""
        return len(self.causes)

    def decode(
        self, row: StoredRow, decode: Callable[[bytes], Content]
    ) -> Content | None:
        """Return the content of a row's value; None, logged once, if it has none."""
        return self.read(row, lambda: decode(row.value))

    def read(self, row: StoredRow, decode: Callable[[], Content]) -> Content | None:
        """Return what a function reads from a row; None, logged once, if it fails."""
        try:
            content = decode()
        except DECODING_ERRORS as error:
            self.record(row, error)
            return None
        self.causes.pop(row.row_key.key, None)
        return content

    def record(self, row: StoredRow, error: Exception) -> None:
        """Log a row that cannot be used, unless that is known."""
        key, cause = row.row_key.key, f"{type(error).__name__}: {error}"[:300]
        if self.causes.get(key) != cause:
            self.causes[key] = cause
            logger.warning(
                "row cannot be read",
                extra={"table": row.row_key.table, "key": key, "cause": cause},
            )

    def forget(self, key: str) -> None:
        """Forget a row that was deleted."""
        self.causes.pop(key, None)
