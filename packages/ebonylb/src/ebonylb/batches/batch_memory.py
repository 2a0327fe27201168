"""Bound on the memory that open batches take."""

import contextlib
import math
from collections.abc import AsyncIterator, Iterable, Iterator

from ..interfaces import Clock
from ..interfaces.memory import MemoryBudget
from .model import BatchHeader, BatchItem

# Resident memory of a process without any work, and room for single requests.
PROCESS_BYTES = 60_000_000
# The rest has at least this part of the limit.
MIN_FREE_SHARE = 0.2
# Parts of the rest that all batches may take when another one is accepted, when one of
# an entry VM that was lost is taken over, and that one may take if it is alone. What is
# left is for reading the next one, for bodies of requests and for answers.
ACCEPTED_SHARE = 0.3
TAKEN_OVER_SHARE = 0.45
SINGLE_BATCH_SHARE = 0.5
# An item without its texts: objects of the item, of its state and of its run.
ITEM_BYTES = 1_500
# For batches of earlier versions of this program, which do not state their size.
UNKNOWN_ITEM_BYTES = 2_000
READ_RETRY_MS = 50.0


def measure_items(items: Iterable[BatchItem]) -> int:
    """Return the bytes of memory that items take while their batch is open."""
    size = 0
    for item in items:
        size += ITEM_BYTES + len(item.body) + len(item.target)
        size += sum(len(name) + len(value) for name, value in item.headers)
        if item.scoring is not None:
            size += ITEM_BYTES + len(item.scoring.body) + len(item.scoring.target)
    return size


def memory_of(header: BatchHeader) -> int:
    """Return the bytes of memory that a batch takes while it is open."""
    return header.held_bytes or header.total * UNKNOWN_ITEM_BYTES


def text_bytes_of(header: BatchHeader) -> int:
    """Return the part of `memory_of` that the texts of the items take."""
    if not header.held_bytes:
        return memory_of(header)
    return max(0, header.held_bytes - header.total * ITEM_BYTES)


class BatchMemory:
    """Decides which batches have room in the memory of an entry VM.

    An entry VM that exceeds its limit is killed, and its batches move to others, which
    would exceed theirs. All entry VMs of a service have the same limit.

    Parameters
    ----------
    budget : MemoryBudget
        Memory of this process.

    Attributes
    ----------
    free_bytes : float
        What batches and the work of single requests share.
    reads : int
        Number of batches that are read now.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.reads = 0
        limit_bytes = budget.memory_bytes or math.inf
        self.free_bytes = max(MIN_FREE_SHARE * limit_bytes, limit_bytes - PROCESS_BYTES)

    def has_room_beside(self, taken: int, size: int) -> bool:
        """Return whether a new batch has room beside others that take so many bytes."""
        share = ACCEPTED_SHARE if taken else SINGLE_BATCH_SHARE
        return taken + size <= share * self.free_bytes

    def may_accept(self, size: int) -> bool:
        """Return whether a new batch has room on this entry VM."""
        return self.has_room_beside(self.budget.batches, size)

    def may_take_over(self, size: int) -> bool:
        """Return whether a batch has room that was accepted already."""
        taken = self.budget.batches
        share = TAKEN_OVER_SHARE if taken else SINGLE_BATCH_SHARE
        return taken + size <= share * self.free_bytes

    @contextlib.asynccontextmanager
    async def reading(self, header: BatchHeader, clock: Clock) -> AsyncIterator[None]:
        """Count what is read of a batch, beside its items, while it is taken over.

        Where there is no room, batches are read one after the other: an entry VM that
        starts again may take over all that it held at the same time.
        """
        size = text_bytes_of(header)
        while self.reads and not self.budget.has_room(size):
            await clock.sleep_ms(READ_RETRY_MS)
        self.reads += 1
        try:
            with self.budget.hold(size):
                yield
        finally:
            self.reads -= 1

    @contextlib.contextmanager
    def hold(self, size: int) -> Iterator[None]:
        """Count a batch while it is held."""
        self.budget.batches += size
        try:
            yield
        finally:
            self.budget.batches -= size
