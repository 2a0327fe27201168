"""Interface of the rate-limited store of weight versions."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from result import Result

from ..outcomes import StepError


@dataclass(frozen=True, slots=True)
class WeightVersion:
    """Latest published version of a service's weights.

    Parameters
    ----------
    service : str
        Engine service that uses the weights.
    version : int
        Version number; increases with each publication.
    size_bytes : int
        Size of one transfer of the weights.
    """

    service: str
    version: int
    size_bytes: int


class WeightStore(ABC):
    """Client that reads publications; engines fetch the weights themselves."""

    @abstractmethod
    async def latest(self, service: str) -> Result[WeightVersion | None, StepError]:
        """Return the latest published version, or None if there is none."""
