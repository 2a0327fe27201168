"""Leaving marks on backend servers, ordered the same way on all entry VMs."""

from ..peers.messages import ServerMark

MAX_RETIRED_INCARNATIONS = 8  # per server, enough for a VM list that lags
MAX_MARKED_INCARNATIONS = 8  # marked incarnations per server


def mark_order(mark: ServerMark) -> tuple[int, bool, str]:
    """Return the sort key of marks on one incarnation; the highest is in effect.

    Two VMs may issue the same number concurrently. Leaving then wins, because a
    server that wrongly gets no work costs less than lost work.
    """
    return mark.number, mark.leaving, mark.reason


class MarkTable:
    """Highest mark of each incarnation of each server.

    Merging is commutative and idempotent: the same marks in any order and any number
    give the same table. Marks of different incarnations are not compared.
    """

    def __init__(self) -> None:
        self.by_server: dict[str, dict[str, ServerMark]] = {}
        self.retired: dict[str, list[str]] = {}

    def get(self, server: str, incarnation: str) -> ServerMark | None:
        """Return the mark in effect on an incarnation, or None."""
        return self.by_server.get(server, {}).get(incarnation)

    def merge(self, mark: ServerMark) -> bool:
        """Merge a mark; return False if it changes nothing."""
        marks = self.by_server.setdefault(mark.server, {})
        current = marks.get(mark.incarnation)
        if current is not None and mark_order(current) >= mark_order(mark):
            return False
        marks[mark.incarnation] = mark
        if len(marks) > MAX_MARKED_INCARNATIONS:
            del marks[next(iter(marks))]
        return True

    def issue(
        self, server: str, incarnation: str, leaving: bool, reason: str
    ) -> ServerMark:
        """Create the next mark on an incarnation and merge it."""
        current = self.get(server, incarnation)
        number = current.number + 1 if current is not None else 1
        mark = ServerMark(server, incarnation, number, reason, leaving)
        self.merge(mark)
        return mark

    def retire(self, server: str, incarnation: str) -> None:
        """Record that a newer incarnation replaced this one.

        Its mark is kept, because a reading from an older copy of the VM list may show
        the incarnation again.
        """
        retired = self.retired.setdefault(server, [])
        if incarnation not in retired:
            retired.append(incarnation)
            del retired[:-MAX_RETIRED_INCARNATIONS]

    def restore(self, server: str, incarnation: str) -> None:
        """Undo `retire` for an incarnation that turned out to be the current one."""
        self.retired[server].remove(incarnation)

    def is_retired(self, server: str, incarnation: str) -> bool:
        """Return whether a newer incarnation replaced this one."""
        return incarnation in self.retired.get(server, ())

    def forget(self, server: str) -> None:
        """Drop the marks and retired incarnations of a server that no longer exists."""
        self.by_server.pop(server, None)
        self.retired.pop(server, None)

    def current_marks(self) -> list[ServerMark]:
        """Return the marks in effect on incarnations that were not replaced."""
        return [
            mark
            for marks in self.by_server.values()
            for mark in marks.values()
            if not self.is_retired(mark.server, mark.incarnation)
        ]
