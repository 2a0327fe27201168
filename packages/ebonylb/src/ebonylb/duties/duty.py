"""Interfaces of duties: calls that one entry VM at a time makes under a lease."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from result import Result

from ..interfaces.control_plane import CallOutcome, DutyAuthority
from ..outcomes import StepError


class Duty(ABC):
    """A call that may be due.

    Attributes
    ----------
    subject : str
        Name of the lease under which the call is made.
    """

    subject: str

    @abstractmethod
    def is_due(self) -> bool:
        """Return whether the call should be made now."""

    async def prepare(self) -> bool:
        """Do the work between claiming the lease and the call.

        Returns
        -------
        bool
            Whether the call should still be made.
        """
        return True

    @abstractmethod
    async def perform(self, authority: DutyAuthority) -> Result[CallOutcome, StepError]:
        """Make the call under a lease that the caller holds."""


class DutySource(ABC):
    """Provider of duties."""

    @abstractmethod
    def due_duties(self) -> Sequence[Duty]:
        """Return the duties whose call is due."""
