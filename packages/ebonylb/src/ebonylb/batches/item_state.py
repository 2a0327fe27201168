"""What has been received of one item."""

from dataclasses import dataclass, field

from .model import BatchItem, ItemResult, Partial, distinct_versions


@dataclass(slots=True)
class ItemState:
    """Events received so far, and failed attempts.

    Attributes
    ----------
    events, versions : list
        Data and weight version of each event.
    stored : int
        Events that a checkpoint has stored.
    """

    item: BatchItem
    events: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    stored_events: int = 0
    failed_attempts: int = 0
    moves: int = 0
    attempts: int = 0
    waited_ms: float = 0.0
    servers: list[str] = field(default_factory=list)

    def restore(self, partial: Partial) -> None:
        """Start from stored events."""
        self.events = list(partial.events)
        self.versions = list(partial.versions)
        self.stored_events = len(self.events)

    def restart(self) -> None:
        """Drop what was received."""
        self.events.clear()
        self.versions.clear()
        self.stored_events = 0

    def result(self) -> ItemResult:
        """Return the result of a whole run."""
        return ItemResult(
            self.item.item_id,
            True,
            "\n".join(self.events),
            distinct_versions(self.versions),
        )
