"""Interfaces of duties: calls to the platform that one entry VM at a time makes."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from result import Result

from ..interfaces.control_plane import CallOutcome, DutyAuthority
from ..outcomes import StepError


class Duty(ABC):
    """Calls on one subject, each under a permit of the subject's lease.

    Attributes
    ----------
    subject : str
        Subject of the lease; the same on all entry VMs.
    """

    subject: str

    @abstractmethod
    def is_due(self) -> bool:
        """Return whether a call is due now, whoever holds the subject."""

    async def prepare(self) -> bool:
        """Do what has to precede the call, such as reading rows; may take long.

        Runs after the subject was claimed and before the permit for the call is
        written, possibly many times.

        Returns
        -------
        bool
            Whether the call may be made; if not, it is tried again later.
        """
        return True

    @abstractmethod
    async def perform(self, authority: DutyAuthority) -> Result[CallOutcome, StepError]:
        """Make the call at once, and return its outcome.

        The permit was checked right before. Nothing may be awaited before the call.
        An error says that the call got no answer, whatever its cause.
        """


class DutySource(ABC):
    """Names duties, which may appear and vanish as it goes."""

    @abstractmethod
    def due_duties(self) -> Sequence[Duty]:
        """Return the duties that may be due now.

        The same duty may be returned as a new object each time, since its state is kept
        by subject. Two duties of one subject must not be returned at once.
        """
