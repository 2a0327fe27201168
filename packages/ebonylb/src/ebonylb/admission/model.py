"""What entry VMs tell one another of the requests of customers."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

import msgspec


class CustomerShare(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one customer for one service at one entry VM.

    Attributes
    ----------
    in_progress : float
        Average number of requests in progress.
    offered : float
        Average number that would be in progress if all arrivals were admitted.
    """

    in_progress: float
    offered: float


class ToldLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests for one service at one entry VM.

    Attributes
    ----------
    level : float
        Requests in progress that each customer may have at all entry VMs together, in
        the opinion of this one; 0 if it has none.
    customers : dict of str to CustomerShare
        Load by customer.
    """

    level: float
    customers: dict[str, CustomerShare]


class OtherEntryVms(ABC):
    """What the other entry VMs told a short time ago."""

    @abstractmethod
    def loads_of(self, service: str) -> Sequence[ToldLoad]:
        """Return the loads of a service, one for each entry VM that has told any."""


class NoOtherEntryVms(OtherEntryVms):
    """Other entry VMs of which nothing is known."""

    def loads_of(self, service: str) -> Sequence[ToldLoad]:
        """Return nothing."""
        return ()


class RoomObserver(ABC):
    """Is told whether servers had room for the requests that were sent to them."""

    @abstractmethod
    def record_attempt(self, service: str, refused: bool) -> None:
        """Record an attempt, and whether its server refused it for lack of room."""


class IgnoredRoom(RoomObserver):
    """Observer where nobody asks whether servers have room."""

    def record_attempt(self, service: str, refused: bool) -> None:
        """Do nothing."""
