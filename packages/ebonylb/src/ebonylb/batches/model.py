"""Data types of batches: requests submitted together whose results are stored.

Items and results hold only texts and numbers and are never part of a cycle. The garbage
collector passes over them (``gc=False``): with tens of thousands of them, each full
collection would hold up the event loop.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import StrEnum

import msgspec

from ..interfaces.server_client import Headers


class ScoringRequest(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Request whose response scores the finished text of an item.

    Attributes
    ----------
    request_id : str
        Id of the request, each time it is sent.
    host, target : str
        Host, and path with query, that select its route.
    body : bytes
        Body of the request.
    headers : tuple of (str, str)
        Headers of the request without the host.
    """

    request_id: str
    host: str
    target: str
    body: bytes
    headers: Headers = ()


class BatchItem(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One request of a batch.

    Attributes
    ----------
    item_id : str
        Id of the item, and of each request sent for it.
    target : str
        Path with query.
    headers : tuple of (str, str)
        Headers of the request, including the host.
    body : bytes
        Body of the request.
    model : str
        Model that generates the text; empty for other work.
    group : str
        Items of one group share their prompt and count as one complete group.
    tokens : int
        Prompt tokens plus the maximum of output tokens.
    length_hint : int
        The caller's estimate of output tokens; 0 if there is none.
    scoring : ScoringRequest or None
        Request that scores the text; the item is complete only with its score.
    prompt_tokens : int
        Length of the prompt; 0 if it is unknown, as in rows of earlier versions.
    """

    item_id: str
    target: str
    headers: Headers
    body: bytes
    model: str = ""
    group: str = ""
    tokens: int = 0
    length_hint: int = 0
    scoring: ScoringRequest | None = None
    prompt_tokens: int = 0


class BatchHeader(msgspec.Struct, frozen=True):
    """Part of a batch that does not change after its submission.

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
        Oldest weight version that may generate the text.
    groups_wanted : int
        Number of complete groups that the trainer waits for; 0 for all.
    total : int
        Number of items.
    submitted_unix_ms : int
        Time of the submission.
    customer : str
        Name of the customer whose key submitted it; empty for a batch that was
        submitted without a key.
    held_bytes : int
        Memory that it takes while it is open; 0 in rows of earlier versions.
    """

    batch_id: str
    route: str
    total: int
    submitted_unix_ms: int
    model: str = ""
    step: int = -1
    min_version: int = 0
    groups_wanted: int = 0
    customer: str = ""
    held_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Batch:
    """A batch with its items."""

    header: BatchHeader
    items: tuple[BatchItem, ...]


class ResultState(StrEnum):
    """Final state of an item."""

    SUCCEEDED = "succeeded"
    ERRORED = "errored"


class ItemResult(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Result of an item; immutable once it is stored.

    Attributes
    ----------
    item_id : str
        Id of the item.
    succeeded : bool
        Whether the item was completed; False if it was abandoned.
    text : str
        Data of all events in order, separated by line feeds.
    versions : tuple of int
        Weight versions that generated an event, in order of their first event.
    score : str
        Seal of the response to the scoring request; empty for an item without one.
    scoring_id : str
        Id of the scoring request that was answered.
    """

    item_id: str
    succeeded: bool
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""
    scoring_id: str = ""


class Progress(msgspec.Struct, frozen=True):
    """Progress row of a batch, the only mutable row; commits replace it conditionally.

    Attributes
    ----------
    header : BatchHeader
        Immutable part of the batch.
    holder, incarnation : str
        Name and incarnation of the entry VM that runs the batch; the name is empty
        after a release.
    listed : int
        Number of stored results.
    ended : bool
        Whether the caller ended the batch or all results are stored.
    closed : bool
        Whether the caller ended the batch.
    token : str
        Random text of the write, which identifies it when its outcome is unclear.
    written_ms : float
        Time of the store at the last write by the holder or by the entry VM that chose
        the holder; 0 if unknown.
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
        """Return a copy with changes and the token of the write that stores it."""
        return msgspec.structs.replace(self, token=token, **changes)


@dataclass(frozen=True, slots=True)
class Partial:
    """Events of an unfinished item.

    Parameters
    ----------
    events : tuple of str
        Data of the events, starting with the first one.
    versions : tuple of int
        Weight version of each event.
    complete : bool
        Whether these are all events, so that only the score is missing.
    software_version : str or None
        Version of the servers' software that made the events; None if unknown.
    """

    events: tuple[str, ...] = ()
    versions: tuple[int, ...] = ()
    complete: bool = False
    software_version: str | None = None

    @property
    def can_continue(self) -> bool:
        """Whether the rest of the text may follow these events, if any is missing."""
        return self.complete or self.software_version is not None

    def extended(
        self, events: tuple[str, ...], versions: tuple[int, ...], complete: bool = False
    ) -> "Partial":
        """Return a copy with further events appended."""
        return replace(
            self,
            events=self.events + events,
            versions=self.versions + versions,
            complete=complete,
        )


def are_versions_allowed(
    versions: Iterable[int], min_version: int, single_version: bool
) -> bool:
    """Return whether a text may have been made by these weight versions.

    Parameters
    ----------
    min_version : int
        Oldest version that the batch allows.
    single_version : bool
        Whether the route allows only one version in a text.
    """
    distinct = set(versions)
    if single_version and len(distinct) > 1:
        return False
    return all(version >= min_version for version in distinct)


def distinct_versions(versions: tuple[int, ...] | list[int]) -> tuple[int, ...]:
    """Return the distinct versions in the order of their first event."""
    return tuple(dict.fromkeys(versions))
