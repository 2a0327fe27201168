"""Marks on backend servers: who is leaving, in an order that all VMs agree on."""

from ..peers.messages import ServerMark

MAX_RETIRED_INCARNATIONS = 8  # per server, enough for a lagging list
MAX_MARKED_INCARNATIONS = 8  # marked incarnations kept per server


def mark_order(mark: ServerMark) -> tuple[int, bool, str]:
    """Return the sort key of marks on one incarnation; the highest is in force.

    Two VMs may give out the same number at the same moment. Leaving then wins,
    since a server that wrongly gets no work costs less than lost work.
    """
    return mark.number, mark.leaving, mark.reason


class MarkTable:
    """Highest mark of each server's incarnation.

    The table is a join of maxima: any order and any repetition of the same marks
    gives the same table. Marks of different incarnations are not compared.
    """

    def __init__(self) -> None:
        self.by_server: dict[str, dict[str, ServerMark]] = {}
        self.retired: dict[str, list[str]] = {}

    def get(self, server: str, incarnation: str) -> ServerMark | None:
        """Return the mark in force on an incarnation."""
        return self.by_server.get(server, {}).get(incarnation)

    def merge(self, mark: ServerMark) -> bool:
        """Take a mark over; return False when it changes nothing."""
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
        """Create the next mark of an incarnation and take it over."""
        current = self.get(server, incarnation)
        number = current.number + 1 if current is not None else 1
        mark = ServerMark(server, incarnation, number, reason, leaving)
        self.merge(mark)
        return mark

    def retire(self, server: str, incarnation: str) -> None:
        """Note that a newer incarnation replaced this one.

        Its mark stays, in case a list that went back shows the incarnation again.
        """
        retired = self.retired.setdefault(server, [])
        if incarnation not in retired:
            retired.append(incarnation)
            del retired[:-MAX_RETIRED_INCARNATIONS]

    def restore(self, server: str, incarnation: str) -> None:
        """Undo `retire` for an incarnation that turned out to be the current one."""
        self.retired[server].remove(incarnation)

    def is_retired(self, server: str, incarnation: str) -> bool:
        """Tell whether a newer incarnation replaced this one."""
        return incarnation in self.retired.get(server, ())

    def forget(self, server: str) -> None:
        """Drop all that is known of a server that no longer exists."""
        self.by_server.pop(server, None)
        self.retired.pop(server, None)

    def current_marks(self) -> list[ServerMark]:
        """Return all marks in force on incarnations that were not replaced."""
        return [
            mark
            for marks in self.by_server.values()
            for mark in marks.values()
            if not self.is_retired(mark.server, mark.incarnation)
        ]
