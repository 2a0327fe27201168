"""Interface for what entry VMs tell each other about the origins of streams."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from result import Result

from ..outcomes import StepError
from .server_client import ServerAddress


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Software version that brought the first event of a stream.

    Parameters
    ----------
    stream_id : str
        Id of the caller's request that brought the first event.
    """

    stream_id: str
    service: str
    software_version: str


@dataclass(frozen=True, slots=True)
class OriginQuery:
    """Question for the origin of a stream.

    Parameters
    ----------
    stream_id : str
        Empty if the caller does not name the stream.
    may_read_store : bool
        Whether the other entry VM may read the store for the answer, and not only its
        own memory.
    """

    stream_id: str
    service: str
    may_read_store: bool = False


class OriginClient(ABC):
    """Client that shares the origins of streams with other entry VMs."""

    @abstractmethod
    async def find(
        self, entry_vm: ServerAddress, query: OriginQuery
    ) -> Result[str | None, StepError]:
        """Return the software version that an entry VM knows; None for none."""

    @abstractmethod
    async def replicate(
        self, entry_vm: ServerAddress, origins: Sequence[StreamOrigin]
    ) -> Result[list[StreamOrigin], StepError]:
        """Have an entry VM keep origins in memory.

        Returns
        -------
        Result
            The origins that it keeps: for a stream that it knew, the one known before.
        """
