"""Configuration in force on this entry VM."""

import logging
from collections.abc import Callable

from .sheet import EMPTY_SHEET, Sheet

logger = logging.getLogger(__name__)

Subscriber = Callable[[int, Sheet], None]


class ConfigurationState:
    """Highest configuration revision known to this entry VM, which never decreases.

    `ready` becomes true once a revision was read or the platform confirmed that there
    is none.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.sheet = EMPTY_SHEET
        self.author = ""
        self.ready = False
        self.subscribers: list[Subscriber] = []

    def entitled_share(self, service: str, party: str) -> float:
        """Return a party's fraction of a service; 0 when it has no share."""
        return self.sheet.entitled_share(service, party)

    def staleness_cap(self, service: str) -> int:
        """Return the staleness bound of a service in weight versions; 0 if unknown."""
        service_entry = self.sheet.services.get(service)
        return service_entry.staleness_limit if service_entry is not None else 0

    def cross_region_rate(self, service: str, party: str) -> int | None:
        """Return a party's cross-region budget in bytes/s; None means no limit."""
        service_entry = self.sheet.services.get(service)
        return (
            service_entry.cross_region_bytes_per_s.get(party)
            if service_entry is not None
            else None
        )

    def subscribe(self, subscriber: Subscriber) -> Callable[[], None]:
        """Register a function for new revisions; return a function to unregister it."""
        self.subscribers.append(subscriber)
        return lambda: self.subscribers.remove(subscriber)

    def advance(self, revision: int, sheet: Sheet, author: str = "") -> bool:
        """Replace the configuration if the revision is higher; return whether it was.

        A lower revision results from a stale read or from a peer that is behind.
        """
        if revision <= self.revision:
            return False
        self.revision, self.sheet, self.author = revision, sheet, author
        self.ready = True
        for subscriber in list(self.subscribers):
            try:
                subscriber(revision, sheet)
            except Exception:
                # The revision is in force, so the other subscribers must be called.
                logger.exception("subscriber to the configuration failed")
        return True

    def confirm_absent(self) -> None:
        """Become ready after the platform confirmed that no sheet was ever applied."""
        self.ready = True
