"""Interface of the platform's API for usage reports and orders of servers."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from result import Result

from ..outcomes import StepError


@dataclass(frozen=True, slots=True)
class DutyAuthority:
    """Entry VM that performs a duty, and the fencing token of its lease."""

    holder: str
    fence: int


@dataclass(frozen=True, slots=True)
class ServerCount:
    """Wanted number of servers of one kind.

    Parameters
    ----------
    service, failure_domain : str
        Service, and where its servers run.
    reclaimable : bool
        Whether the platform may take these servers back at any time.
    count : int
        Wanted number of servers of this kind.
    """

    service: str
    failure_domain: str
    reclaimable: bool
    count: int


class CallOutcome(Enum):
    """Response to a call under a duty."""

    ACCEPTED = "accepted"
    UNAVAILABLE = "unavailable"  # no such server can be had there now
    BUSY = "busy"  # all entry VMs together make too many calls
    REJECTED = "rejected"


class ControlPlane(ABC):
    """Client of the platform's API; each call is the duty of one entry VM at a time."""

    @abstractmethod
    async def report_usage(
        self, authority: DutyAuthority, window: int, counts: Mapping[str, int]
    ) -> Result[CallOutcome, StepError]:
        """Report the number of requests of each customer in a window."""

    @abstractmethod
    async def order_servers(
        self, authority: DutyAuthority, order: ServerCount
    ) -> Result[CallOutcome, StepError]:
        """Order a number of servers."""
