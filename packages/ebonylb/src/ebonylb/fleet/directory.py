"""All backend servers that are listed, with their conditions."""

import logging
from collections.abc import Callable, Iterable, Sequence

from ..edges import Clock
from .condition import ServerCondition
from .model import ListedServer, ServerStage

logger = logging.getLogger(__name__)

# Live servers whose entries lapsed during an outage of the list are back within this
# time of its return; the platform says about two seconds.
RETURN_MS = 2_000
MISSING_CHECK_MS = 200
# Names in one log line. A line for each of 3,000 servers in a first reading took 37 ms
# of processor time while an entry VM started.
NAMES_LOGGED = 100


def log_listed(servers: Sequence[ListedServer], restarted: bool) -> None:
    """Log servers that are new in the list, some in each line."""
    groups: dict[tuple[str, ServerStage], list[str]] = {}
    for server in servers:
        groups.setdefault((server.service, server.stage), []).append(server.name)
    for (service, stage), names in groups.items():
        for first in range(0, len(names), NAMES_LOGGED):
            logger.info(
                "backend servers listed",
                extra={
                    "servers": names[first : first + NAMES_LOGGED],
                    "service": service,
                    "stage": stage,
                    "restarted": restarted,
                },
            )


class ServerDirectory:
    """Listed servers by name and by service.

    A server whose entry disappears is gone, except while the list itself has just
    been away: entries then lapse although their servers live.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.servers: dict[str, ListedServer] = {}
        self.conditions: dict[str, ServerCondition] = {}
        self.missing: dict[str, float] = {}
        self.list_returned_ms = -1e12
        self.ready_of: dict[str, list[ListedServer]] = {}
        self.listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a function after each change."""
        self.listeners.append(listener)

    def note_list_returned(self) -> None:
        """Record that the list answers again after an outage."""
        self.list_returned_ms = self.clock.monotonic_ms()
        # Entries that went missing during the outage get the same time to return.
        for name in self.missing:
            self.missing[name] = self.list_returned_ms

    def replace_all(self, listed: Iterable[ListedServer]) -> None:
        """Take over a whole reading of the list."""
        found = {server.name: server for server in listed}
        for name in [name for name in self.servers if name not in found]:
            self.remove(name, notify=False)
        new = [server for name, server in found.items() if name not in self.servers]
        for server in found.values():
            self.put(server, notify=False)
        log_listed(new, restarted=False)
        self.notify()

    def put(self, server: ListedServer, notify: bool = True) -> None:
        """Add or change a server; a new start makes all observations void."""
        known = self.servers.get(server.name)
        self.missing.pop(server.name, None)
        restarted = known is not None and (
            known.started_ms != server.started_ms or known.address != server.address
        )
        if known is None or restarted:
            self.conditions[server.name] = ServerCondition()
        if notify and known is None:
            log_listed([server], restarted=False)
        elif known is not None and (restarted or known.stage is not server.stage):
            log_listed([server], restarted)
        self.servers[server.name] = server
        self.ready_of.clear()
        if notify:
            self.notify()

    def remove(self, name: str, notify: bool = True) -> None:
        """Drop a server, or wait for its return while the list has just been away."""
        if name not in self.servers:
            return
        now = self.clock.monotonic_ms()
        held = now - self.list_returned_ms < RETURN_MS
        logger.info("backend server unlisted", extra={"server": name, "held": held})
        if held:
            self.missing[name] = self.list_returned_ms
            return
        self.forget(name)
        if notify:
            self.notify()

    def forget(self, name: str) -> None:
        """Drop a server."""
        self.servers.pop(name, None)
        self.ready_of.clear()
        self.conditions.pop(name, None)
        self.missing.pop(name, None)

    def drop_missing(self) -> None:
        """Drop servers that did not return in time."""
        now = self.clock.monotonic_ms()
        late = [name for name, at in self.missing.items() if now - at >= RETURN_MS]
        for name in late:
            logger.info("backend server did not return", extra={"server": name})
            self.forget(name)
        if late:
            self.notify()

    async def watch_missing(self) -> None:
        """Drop servers that do not return, until cancelled."""
        while True:
            await self.clock.sleep_ms(MISSING_CHECK_MS)
            self.drop_missing()

    def notify(self) -> None:
        """Report a change."""
        for listener in self.listeners:
            listener()

    def get(self, name: str) -> ListedServer | None:
        """Return a server by name."""
        return self.servers.get(name)

    def condition(self, name: str) -> ServerCondition:
        """Return the condition of a server; a spare one for a server that has gone."""
        found = self.conditions.get(name)
        return found if found is not None else ServerCondition()

    def ready(self, service: str) -> list[ListedServer]:
        """Return the servers of a service that take new work; not to be changed.

        Each choice of a server asks for them, between changes of the list.
        """
        found = self.ready_of.get(service)
        if found is None:
            found = self.ready_of[service] = [
                server
                for server in self.servers.values()
                if server.service == service and server.stage is ServerStage.READY
            ]
        return found

    def version_of(self, server: ListedServer, model: str) -> int:
        """Return the newest version known of a model on a server."""
        seen = self.condition(server.name).versions.get(model, 0)
        return max(seen, server.version_of(model))
