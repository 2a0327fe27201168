"""Directory of the listed backend servers and their conditions."""

import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from ..interfaces import Clock
from ..interfaces.server_client import ServerAddress
from .condition import ServerCondition
from .departures import Departures
from .model import ListedServer, ServerStage
from .software_versions import SoftwareVersions

logger = logging.getLogger(__name__)

# Live servers whose entries expired during an outage of the list are listed again
# within this time of its recovery; the platform states about two seconds.
RELIST_TIMEOUT_MS = 2_000
MISSING_CHECK_INTERVAL_MS = 200
# A log line for each of 3,000 servers in the first listing took 37 ms of processor time
# during the start of an entry VM.
MAX_NAMES_PER_LOG_LINE = 100


def log_listed(servers: Sequence[ListedServer], restarted: bool) -> None:
    """Log new or changed servers, many names in one line."""
    names_by_group: dict[tuple[str, ServerStage, str], list[str]] = {}
    for server in servers:
        group = (server.service, server.stage, server.software_version)
        names_by_group.setdefault(group, []).append(server.name)
    for (service, stage, software_version), names in names_by_group.items():
        for first in range(0, len(names), MAX_NAMES_PER_LOG_LINE):
            logger.info(
                "backend servers listed",
                extra={
                    "servers": names[first : first + MAX_NAMES_PER_LOG_LINE],
                    "service": service,
                    "stage": stage,
                    "software_version": software_version,
                    "restarted": restarted,
                },
            )


class ServerDirectory:
    """Listed servers by name and by service.

    A server is dropped when its entry disappears, except shortly after an outage of the
    list: entries of live servers expire during an outage and are listed again. A server
    that has said itself that it leaves counts as leaving, whatever the list says.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.servers: dict[str, ListedServer] = {}
        self.conditions: dict[str, ServerCondition] = {}
        self.missing_since_ms: dict[str, float] = {}
        self.list_recovered_ms = -1e12
        self.ready_by_service: dict[str, list[ListedServer]] = {}
        self.departures = Departures()
        self.software_versions = SoftwareVersions()
        self.listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a function that is called after each change."""
        self.listeners.append(listener)

    def record_list_recovery(self) -> None:
        """Record that the list responds again after an outage."""
        self.list_recovered_ms = self.clock.monotonic_ms()
        # Servers that went missing during the outage get the same time to be relisted.
        for name in self.missing_since_ms:
            self.missing_since_ms[name] = self.list_recovered_ms

    def replace_all(self, listed: Iterable[ListedServer]) -> None:
        """Replace all servers by a complete listing."""
        listed_by_name = {server.name: server for server in listed}
        for name in [name for name in self.servers if name not in listed_by_name]:
            self.remove(name, notify=False)
        new = [
            server
            for name, server in listed_by_name.items()
            if name not in self.servers
        ]
        for server in listed_by_name.values():
            self.put(server, notify=False)
        log_listed(new, restarted=False)
        self.notify()

    def put(self, server: ListedServer, notify: bool = True) -> None:
        """Add or update a server; a restart discards its observed condition."""
        if self.departures.includes(server.endpoint):
            server = replace(server, stage=ServerStage.LEAVING)
        previous = self.servers.get(server.name)
        self.missing_since_ms.pop(server.name, None)
        restarted = previous is not None and (
            previous.started_ms != server.started_ms
            or previous.address != server.address
        )
        if previous is None or restarted:
            self.conditions[server.name] = ServerCondition()
        if notify and previous is None:
            log_listed([server], restarted=False)
        elif previous is not None and (restarted or previous.stage is not server.stage):
            log_listed([server], restarted)
        self.servers[server.name] = server
        self.software_versions.replace(previous, server)
        self.ready_by_service.clear()
        if notify:
            self.notify()

    def record_departure(self, endpoint: ServerAddress) -> None:
        """Record that an incarnation of a server has said that it leaves."""
        if not self.departures.add(endpoint):
            return
        logger.info(
            "backend server says that it leaves", extra={"server": endpoint.name}
        )
        server = self.servers.get(endpoint.name)
        if server is not None and server.endpoint == endpoint:
            self.servers[server.name] = replace(server, stage=ServerStage.LEAVING)
            self.ready_by_service.clear()
            self.notify()

    def remove(self, name: str, notify: bool = True) -> None:
        """Drop a server, or mark it missing shortly after an outage of the list."""
        if name not in self.servers:
            return
        now = self.clock.monotonic_ms()
        awaits_return = now - self.list_recovered_ms < RELIST_TIMEOUT_MS
        logger.info(
            "backend server unlisted", extra={"server": name, "held": awaits_return}
        )
        if awaits_return:
            self.missing_since_ms[name] = self.list_recovered_ms
            return
        self.discard(name)
        if notify:
            self.notify()

    def discard(self, name: str) -> None:
        """Delete a server and its condition without a notification."""
        self.software_versions.replace(self.servers.pop(name, None), None)
        self.ready_by_service.clear()
        self.conditions.pop(name, None)
        self.missing_since_ms.pop(name, None)

    def drop_missing(self) -> None:
        """Drop missing servers that were not listed again in time."""
        now = self.clock.monotonic_ms()
        expired = [
            name
            for name, at in self.missing_since_ms.items()
            if now - at >= RELIST_TIMEOUT_MS
        ]
        for name in expired:
            logger.info("backend server did not return", extra={"server": name})
            self.discard(name)
        if expired:
            self.notify()

    async def drop_missing_periodically(self) -> None:
        """Check for missing servers at regular intervals until cancelled."""
        while True:
            await self.clock.sleep_ms(MISSING_CHECK_INTERVAL_MS)
            self.drop_missing()

    def notify(self) -> None:
        """Call all listeners; one that fails keeps no other from the change."""
        for listener in self.listeners:
            try:
                listener()
            except Exception:
                logger.exception("listener of the server list failed")

    def get(self, name: str) -> ListedServer | None:
        """Return a server by name, or None if it is not listed."""
        return self.servers.get(name)

    def condition(self, name: str) -> ServerCondition:
        """Return the condition of a server.

        A server that is no longer listed gets a new condition that is not stored.
        """
        condition = self.conditions.get(name)
        return condition if condition is not None else ServerCondition()

    def forget_failures(self) -> None:
        """Forget failures of all servers that a cut of this entry VM has caused."""
        for condition in self.conditions.values():
            condition.forget_failures()

    def ready(self, service: str) -> list[ListedServer]:
        """Return the servers of a service that take new work.

        The list is cached until the next change, because each selection of a server
        reads it. Callers must not modify it.
        """
        ready_servers = self.ready_by_service.get(service)
        if ready_servers is None:
            ready_servers = self.ready_by_service[service] = [
                server
                for server in self.servers.values()
                if server.service == service and server.stage is ServerStage.READY
            ]
        return ready_servers

    def has_ready_version(
        self, service: str, software_version: str, besides: str | None = None
    ) -> bool:
        """Return whether any ready server, besides one, has a software version."""
        return any(
            server.software_version == software_version and server.name != besides
            for server in self.ready(service)
        )

    def is_ready(self, server: ListedServer) -> bool:
        """Return whether this incarnation of a server takes new work."""
        listed = self.servers.get(server.name)
        return (
            listed is not None
            and listed.stage is ServerStage.READY
            and listed.endpoint == server.endpoint
        )

    def version_of(self, server: ListedServer, model: str) -> int:
        """Return the newest weight version observed or listed for a model."""
        observed_version = self.condition(server.name).versions.get(model, 0)
        return max(observed_version, server.version_of(model))
