"""The results of a batch that its holder keeps in memory."""

from collections import deque
from collections.abc import Iterable

from .model import ItemResult

# A trainer reads new results about twice a second; the store has what is older.
MAX_BYTES = 2_000_000
# A result without its text.
RESULT_BYTES = 300


class RecentResults:
    """The last stored results of a batch, in the order of their positions.

    Attributes
    ----------
    results : deque of ItemResult
        Results that are kept; at least one, if there is any.
    first : int
        Position of the first of them, counted from 0.
    size : int
        Bytes that they take.
    """

    def __init__(self) -> None:
        self.results: deque[ItemResult] = deque()
        self.first = self.size = 0

    def extend(self, results: Iterable[ItemResult]) -> None:
        """Add results at the end, and forget the first ones that are too much."""
        for result in results:
            self.results.append(result)
            self.size += measure(result)
            while self.size > MAX_BYTES and len(self.results) > 1:
                self.size -= measure(self.results.popleft())
                self.first += 1

    def since(self, position: int) -> list[ItemResult]:
        """Return the results from a position on; empty if that one is not kept."""
        if position < self.first:
            return []
        return list(self.results)[position - self.first :]


def measure(result: ItemResult) -> int:
    """Return the bytes that a result takes."""
    return len(result.text) + RESULT_BYTES
