"""Interface to the memory of the process that its parts share."""

from abc import ABC, abstractmethod
from contextlib import AbstractContextManager, nullcontext


class MemoryBudget(ABC):
    """Memory that is shared by what is held for callers, servers and batches.

    Attributes
    ----------
    memory_bytes : int
        Memory limit of the process; 0 if unknown, so that nothing is bounded.
    batches : int
        Bytes of the batches that run here or are being accepted.
    """

    memory_bytes: int = 0
    batches: int = 0

    @abstractmethod
    def has_room(self, size: int) -> bool:
        """Return whether further bytes may be held."""

    @abstractmethod
    def hold(self, size: int) -> AbstractContextManager[None]:
        """Count bytes while they are held."""


class UnlimitedMemory(MemoryBudget):
    """Memory without a limit."""

    def has_room(self, size: int) -> bool:
        """Return whether further bytes may be held."""
        return True

    def hold(self, size: int) -> AbstractContextManager[None]:
        """Count nothing."""
        return nullcontext()
