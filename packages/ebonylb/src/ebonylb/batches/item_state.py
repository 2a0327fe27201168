"""Mutable state of an item while the holder runs it."""

from dataclasses import dataclass, field

import msgspec

from .model import BatchItem, ItemResult, Partial, distinct_versions


@dataclass(slots=True)
class ItemState:
    """Events received so far and statistics of the attempts to run an item.

    Attributes
    ----------
    events, versions : list
        Data and weight version of each event.
    complete : bool
        Whether all events were received, so that only the score is missing.
    finished_text : ItemResult or None
        Text of an earlier step in place of the events.
    stored_events : int
        Number of events stored by a checkpoint.
    stored_complete : bool
        Whether a checkpoint has stored that the text is complete.
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
    software_versions : list of str
        Versions of the servers' software that made the events, without repetitions.
    """

    item: BatchItem
    events: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    complete: bool = False
    finished_text: ItemResult | None = None
    stored_events: int = 0
    stored_complete: bool = False
    failed_attempts: int = 0
    moves: int = 0
    attempts: int = 0
    waited_ms: float = 0.0
    servers: list[str] = field(default_factory=list)
    software_versions: list[str] = field(default_factory=list)

    def restore(self, partial: Partial) -> None:
        """Replace the events by those of a checkpoint."""
        self.events = list(partial.events)
        self.versions = list(partial.versions)
        self.complete = partial.complete
        if partial.events and partial.software_version is not None:
            self.software_versions = [partial.software_version]
        self.mark_stored(len(self.events), self.complete)

    def restore_text(self, result: ItemResult) -> None:
        """Use the text of an earlier result, which needs a score of its own."""
        self.finished_text = msgspec.structs.replace(result, score="", scoring_id="")
        self.complete = True

    def restart(self) -> None:
        """Discard the text."""
        self.complete = self.stored_complete = False
        self.finished_text = None
        self.events.clear()
        self.versions.clear()
        self.software_versions.clear()
        self.stored_events = 0

    @property
    def software_version(self) -> str | None:
        """Version of the servers' software that began the text; None before that."""
        return self.software_versions[0] if self.software_versions else None

    def add_event(self, data: str, weight_version: int, software_version: str) -> None:
        """Append an event and the versions of the weights and software that made it."""
        self.events.append(data)
        self.versions.append(weight_version)
        if software_version not in self.software_versions:
            self.software_versions.append(software_version)

    def mark_stored(self, events: int, complete: bool) -> None:
        """Record what checkpoints have stored."""
        self.stored_events = min(events, len(self.events))
        self.stored_complete = complete

    @property
    def has_unstored_text(self) -> bool:
        """Whether a checkpoint would store anything new."""
        if self.finished_text is not None:
            return False
        return len(self.events) > self.stored_events or (
            self.complete and not self.stored_complete
        )

    def result(self) -> ItemResult:
        """Return the result of an item whose text is complete, without a score."""
        if self.finished_text is not None:
            return self.finished_text
        return ItemResult(
            self.item.item_id,
            True,
            "\n".join(self.events),
            distinct_versions(self.versions),
        )
