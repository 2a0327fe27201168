"""Mutable state of an item while the holder runs it."""

from dataclasses import dataclass, field

from .model import BatchItem, ItemResult, Partial, distinct_versions


@dataclass(slots=True)
class ItemState:
    """Events received so far and statistics of the attempts to run an item.

    Attributes
    ----------
    events, versions : list
        Data and weight version of each event.
    stored_events : int
        Number of events stored by a checkpoint.
    failed_attempts : int
        Attempts to which a server responded with an internal error.
    moves : int
        Times the run was moved away from a slow server.
    attempts : int
        Number of attempts, each on one server.
    waited_ms : float
        Total time spent waiting for a server.
    servers : list of str
        Name of the server of each attempt.
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
        """Replace the events by those of a checkpoint."""
        self.events = list(partial.events)
        self.versions = list(partial.versions)
        self.stored_events = len(self.events)

    def restart(self) -> None:
        """Discard all received events."""
        self.events.clear()
        self.versions.clear()
        self.stored_events = 0

    def result(self) -> ItemResult:
        """Return the result of a completed item."""
        return ItemResult(
            self.item.item_id,
            True,
            "\n".join(self.events),
            distinct_versions(self.versions),
        )
