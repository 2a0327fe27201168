"""Batches: many requests handed in at once, whose results are kept for the caller."""

from dataclasses import dataclass, replace
from enum import StrEnum

import msgspec

from ..edges.server_port import Headers


class BatchItem(msgspec.Struct, frozen=True, array_like=True):
    """One request of a batch.

    Attributes
    ----------
    item_id : str
        Id, also of the request that runs it.
    target : str
        Path with query.
    headers : tuple of (str, str)
        Headers of the request, with its host.
    body : bytes
        Body of the request.
    model : str
        Model that generates its text; empty for other work.
    group : str
        Items of one group share their prompt and count together.
    tokens : int
        Prompt tokens and most output tokens.
    length_hint : int
        The caller's estimate of output tokens; 0 when there is none.
    """

    item_id: str
    target: str
    headers: Headers
    body: bytes
    model: str = ""
    group: str = ""
    tokens: int = 0
    length_hint: int = 0


class BatchHeader(msgspec.Struct, frozen=True):
    """What is fixed about a batch from its submission on.

    Attributes
    ----------
    batch_id : str
        Id given by the caller.
    route : str
        Name of its route.
    model : str
        Model of all its items; empty for other work.
    step : int
        Training step; -1 for batches that belong to none.
    min_version : int
        Oldest weights that may generate its text.
    groups_wanted : int
        Complete groups that the trainer waits for; 0 for all.
    total : int
        Number of items.
    submitted_unix_ms : int
        Time of the submission.
    """

    batch_id: str
    route: str
    total: int
    submitted_unix_ms: int
    model: str = ""
    step: int = -1
    min_version: int = 0
    groups_wanted: int = 0


@dataclass(frozen=True, slots=True)
class Batch:
    """A batch with its items."""

    header: BatchHeader
    items: tuple[BatchItem, ...]


class ResultState(StrEnum):
    """How an item ended."""

    SUCCEEDED = "succeeded"
    ERRORED = "errored"


class ItemResult(msgspec.Struct, frozen=True, array_like=True):
    """Result of an item; never changes once it is stored.

    Attributes
    ----------
    item_id : str
        The item.
    succeeded : bool
        False when it was given up.
    text : str
        Data of all events in order, separated by line feeds.
    versions : tuple of int
        Weight versions that generated an event.
    """

    item_id: str
    succeeded: bool
    text: str = ""
    versions: tuple[int, ...] = ()


class Progress(msgspec.Struct, frozen=True):
    """The one row of a batch that changes; every commit replaces it conditionally.

    Attributes
    ----------
    header : BatchHeader
        Fixed part.
    holder, incarnation : str
        Entry VM that runs the batch, empty when it was released, and its start.
    listed : int
        Number of results stored.
    ended : bool
        The caller ended the batch, or all results are listed.
    closed : bool
        The caller ended the batch.
    token : str
        Random text of the write, by which an unclear write is recognised.
    written_ms : float
        Time of the store when the holder, or who chose it, wrote last; 0 if unknown.
    """

    header: BatchHeader
    holder: str
    incarnation: str
    listed: int = 0
    ended: bool = False
    closed: bool = False
    token: str = ""
    written_ms: float = 0.0

    def next_state(self, token: str, **changes: object) -> "Progress":
        """Return the next state."""
        return msgspec.structs.replace(self, token=token, **changes)


@dataclass(frozen=True, slots=True)
class Partial:
    """Events of an unfinished item.

    Parameters
    ----------
    events : tuple of str
        Data of the events from the first one on.
    versions : tuple of int
        Weight version of each event.
    """

    events: tuple[str, ...] = ()
    versions: tuple[int, ...] = ()

    def extended(self, events: tuple[str, ...], versions: tuple[int, ...]) -> "Partial":
        """Return it with further events."""
        return replace(
            self, events=self.events + events, versions=self.versions + versions
        )


def distinct_versions(versions: tuple[int, ...] | list[int]) -> tuple[int, ...]:
    """Return the versions in order of their first event."""
    return tuple(dict.fromkeys(versions))
