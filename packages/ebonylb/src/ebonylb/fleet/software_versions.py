"""Software versions that the servers of each service have side by side."""

from collections import Counter
from collections.abc import Callable

from .model import ListedServer


class SoftwareVersions:
    """Counts of the listed servers by service and software version.

    Attributes
    ----------
    listeners : list of callable
        Called with a service when a version appears in its list or disappears from it.
    """

    def __init__(self) -> None:
        self.counts: dict[str, Counter[str]] = {}
        self.listeners: list[Callable[[str], None]] = []

    def listed(self, service: str) -> tuple[str, ...]:
        """Return the versions of the listed servers of a service, in order."""
        return tuple(sorted(self.counts.get(service, ())))

    def replace(
        self, previous: ListedServer | None, server: ListedServer | None
    ) -> None:
        """Count a change of one server's entry; None for no entry."""
        if previous is not None and server is not None:
            same_service = previous.service == server.service
            if same_service and previous.software_version == server.software_version:
                return
        changed = set()
        if server is not None:
            counts = self.counts.setdefault(server.service, Counter())
            if not counts[server.software_version]:
                changed.add(server.service)
            counts[server.software_version] += 1
        if previous is not None:
            counts = self.counts[previous.service]
            counts[previous.software_version] -= 1
            if not counts[previous.software_version]:
                del counts[previous.software_version]
                changed.add(previous.service)
        for service in changed:
            for listener in self.listeners:
                listener(service)
