"""Software versions that the servers of each service have side by side."""

from collections import Counter
from collections.abc import Callable

from ..interfaces import Clock
from .model import ListedServer

# Longer than a stream lasts, with all tries of its caller.
SEVERAL_MEMORY_MS = 60_000.0


class SoftwareVersions:
    """Counts of the listed servers by service and software version.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    former : dict of str to str
        Version that was the only one of a service before several were listed.
    listeners : list of callable
        Called with a service when several versions are listed for it, after one.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.counts: dict[str, Counter[str]] = {}
        self.former: dict[str, str] = {}
        self.several_ms: dict[str, float] = {}
        self.listeners: list[Callable[[str], None]] = []

    def replace(
        self, previous: ListedServer | None, server: ListedServer | None
    ) -> None:
        """Count a change of one server's entry; None for no entry."""
        if previous is not None and server is not None:
            same_service = previous.service == server.service
            if same_service and previous.software_version == server.software_version:
                return
        if server is not None:
            self.add(server.service, server.software_version)
        if previous is not None:
            counts = self.counts[previous.service]
            if len(counts) > 1:
                self.several_ms[previous.service] = self.clock.monotonic_ms()
            counts[previous.software_version] -= 1
            if not counts[previous.software_version]:
                del counts[previous.software_version]

    def add(self, service: str, software_version: str) -> None:
        """Count one more server; the first one of a second version is reported."""
        counts = self.counts.setdefault(service, Counter())
        is_second = len(counts) == 1 and software_version not in counts
        if is_second:
            (self.former[service],) = counts
        counts[software_version] += 1
        if is_second:
            for listener in self.listeners:
                listener(service)

    def forget_former(self) -> None:
        """Forget which version was alone: a first listing has no order in time."""
        self.former.clear()

    def has_several(self, service: str) -> bool:
        """Return whether several versions are listed, or were a short time ago."""
        if len(self.counts.get(service, ())) > 1:
            return True
        several_ms = self.several_ms.get(service)
        return (
            several_ms is not None
            and self.clock.monotonic_ms() - several_ms < SEVERAL_MEMORY_MS
        )
