"""Interface of the platform's object store, for values too large for a table row."""

from abc import ABC, abstractmethod

from result import Result

from ..outcomes import StepError


class ObjectStore(ABC):
    """Client of a store of write-once objects."""

    @abstractmethod
    async def put(self, key: str, body: bytes) -> Result[None, StepError]:
        """Store an object; storing the same key again has no effect."""

    @abstractmethod
    async def get(self, key: str) -> Result[bytes | None, StepError]:
        """Return an object, or None if there is none."""
