"""Servers that have said themselves that they leave.

The platform's list shows a leaving server late, or never before its entry is removed.
Its responses state it at once. From then on this entry VM sends it no new work,
whatever the list says, until the same name is a new incarnation.
"""

from collections import OrderedDict

from ..interfaces.server_client import ServerAddress

# A name is rarely used by a second incarnation, so that announcements are dropped only
# by this limit.
MAX_DEPARTURES = 4_000


class Departures:
    """Incarnations of servers that have announced their departure.

    An announcement outlives the server's entry in the list, which may lapse and return
    during an outage of the list.
    """

    def __init__(self) -> None:
        self.announced: OrderedDict[str, ServerAddress] = OrderedDict()

    def add(self, server: ServerAddress) -> bool:
        """Record a departure and return whether it was unknown."""
        if self.includes(server):
            return False
        self.announced[server.name] = server
        if len(self.announced) > MAX_DEPARTURES:
            self.announced.popitem(last=False)
        return True

    def includes(self, server: ServerAddress) -> bool:
        """Return whether this incarnation of a server has announced its departure."""
        return self.announced.get(server.name) == server
