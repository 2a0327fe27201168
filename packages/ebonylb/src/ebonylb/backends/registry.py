"""Registry of backend servers, updated by VM list, call results, marks and probes."""

import asyncio
import logging
import random
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, replace

from transitions import Machine

from ..interfaces import Clock, VmEntry, VmKind, VmState
from ..outcomes import StepError
from ..peers.messages import MarksQuery, Message, ServerMark
from ..tasks import cancel_and_wait
from .marks import MarkTable
from .model import BackendServer, ServerState

logger = logging.getLogger(__name__)

ABSENCE_TIMEOUT_MS = 30_000  # the VM list may be incomplete just after an outage
# An earlier incarnation is accepted once the VM list has shown it for this long.
ROLLBACK_CONFIRM_MS = 60_000
# Marks are kept after a server's removal, because the VM list may show it again.
MARK_RETENTION_MS = 3_600_000
MIN_PROBE_DELAY_MS = 100
MAX_PROBE_DELAY_MS = 5_000
CONNECTION_FAILURE_STEPS = (".connect", ".stream", ".answer")

Probe = Callable[[BackendServer], Awaitable[StepError | None]]
SendMark = Callable[[ServerMark], None]

# One state machine is shared by all records through its events, because a machine or
# bound triggers for each of 12,000 servers would exceed the memory budget.
LIFECYCLE = Machine(
    model=None,
    states=ServerState,
    initial=ServerState.LIVE,
    auto_transitions=False,
    ignore_invalid_triggers=True,
    transitions=[
        {"trigger": "fail", "source": ServerState.LIVE, "dest": ServerState.SUSPECT},
        {"trigger": "clear", "source": ServerState.SUSPECT, "dest": ServerState.LIVE},
        {
            "trigger": "leave",
            "source": [ServerState.LIVE, ServerState.SUSPECT],
            "dest": ServerState.LEAVING,
        },
        {"trigger": "revive", "source": "*", "dest": ServerState.LIVE},
    ],
)


@dataclass(slots=True)
class ServerRecord:
    """Registry entry of one server, whose `state` is managed by `LIFECYCLE`."""

    server: BackendServer
    state: ServerState = ServerState.LIVE
    absent_since_ms: float | None = None
    outdated_since_ms: float | None = None


class BackendRegistry:
    """All backend servers that this entry VM knows.

    Suspicion is local: it results from this VM's own connections and is cleared by
    its own probes. Marks are shared: they propagate to all peers, and their numbers
    only grow. The VM list adds servers and new incarnations, and can set a mark but
    never revoke one.

    Parameters
    ----------
    clock : Clock
        Source of time.
    probe : callable
        Checks whether a server accepts work; returns None or the failure.
    broadcast : callable
        Sends a mark to all peers of the failure domain concurrently.
    gossip : callable
        Sends a mark to peers of other failure domains.
    failure_domain : str
        Failure domain of this entry VM.
    """

    def __init__(
        self,
        clock: Clock,
        probe: Probe,
        broadcast: SendMark,
        gossip: SendMark,
        failure_domain: str,
    ) -> None:
        self.clock = clock
        self.probe = probe
        self.broadcast = broadcast
        self.gossip = gossip
        self.failure_domain = failure_domain
        self.records: dict[str, ServerRecord] = {}
        self.by_service: dict[str, dict[str, BackendServer]] = {}
        self.mark_table = MarkTable()
        self.listeners: list[Callable[[BackendServer], None]] = []
        self.removed_at_ms: dict[str, float] = {}
        self.probe_tasks: dict[str, asyncio.Task[None]] = {}
        self.last_entries: list[VmEntry] | None = None

    def get(self, name: str) -> BackendServer | None:
        """Return a server by name."""
        record = self.records.get(name)
        return record.server if record is not None else None

    def services(self) -> list[str]:
        """Return the names of all services that have servers, sorted."""
        return sorted(name for name, servers in self.by_service.items() if servers)

    def servers(self, service: str) -> list[BackendServer]:
        """Return all servers of a service, in any state."""
        return list(self.by_service.get(service, {}).values())

    def assignable(self, service: str, failure_domain: str) -> list[BackendServer]:
        """Return the live servers of a service in a failure domain."""
        return [
            server
            for server in self.by_service.get(service, {}).values()
            if server.failure_domain == failure_domain
            and server.state is ServerState.LIVE
        ]

    def subscribe(self, listener: Callable[[BackendServer], None]) -> None:
        """Register a listener for added and changed servers.

        A removed server is reported one last time, as leaving.
        """
        self.listeners.append(listener)

    def apply_list(self, entries: list[VmEntry]) -> None:
        """Apply one successful, non-empty reading of the VM list.

        The entries are not compared again if the reading is the same list object as
        the last one.
        """
        if entries is self.last_entries and not self.has_outdated_records():
            present = {
                name
                for name, record in self.records.items()
                if record.absent_since_ms is None
            }
        else:
            present = set()
            for entry in entries:
                if entry.kind is not VmKind.ENTRY_VM:
                    present.add(entry.name)
                    self.refresh_or_apply(entry)
            self.last_entries = entries
        if present:
            self.remove_absent(present)

    def has_outdated_records(self) -> bool:
        """Return whether the list shows a retired incarnation that may be restored."""
        return any(
            record.outdated_since_ms is not None for record in self.records.values()
        )

    def refresh_or_apply(self, entry: VmEntry) -> None:
        """Apply one entry, with a fast path because most entries are unchanged."""
        record = self.records.get(entry.name)
        if (
            record is not None
            and record.server.incarnation == entry.incarnation
            and entry.state is VmState.LIVE
        ):
            record.absent_since_ms = record.outdated_since_ms = None
        else:
            self.apply_entry(entry)

    def apply_entry(self, entry: VmEntry) -> None:
        """Add a server, replace its incarnation, or mark it as leaving."""
        record = self.records.get(entry.name)
        if record is not None and self.is_outdated(record, entry):
            record.absent_since_ms = None
            return
        if record is None:
            self.records[entry.name] = record = ServerRecord(server_from_entry(entry))
            self.publish_new(record)
        elif record.server.incarnation != entry.incarnation:
            self.mark_table.retire(entry.name, record.server.incarnation)
            self.by_service[record.server.service].pop(entry.name, None)
            self.stop_probe(entry.name)
            record.server = server_from_entry(entry)
            LIFECYCLE.events["revive"].trigger(record)
            self.publish_new(record)
        record.absent_since_ms = None
        unmarked = self.mark_table.get(entry.name, entry.incarnation) is None
        if entry.state is VmState.LEAVING and unmarked:
            # The list sets only the first mark, because it continues to show the
            # state after an operator has revoked the mark.
            self.mark(entry.name, True, "vm list")

    def is_outdated(self, record: ServerRecord, entry: VmEntry) -> bool:
        """Return whether an entry lags behind a replacement that is already known.

        Readings may come from replicas of the list that lag by different amounts, so
        an entry VM may see the newer incarnation first. If the list shows the other
        one for `ROLLBACK_CONFIRM_MS`, that one is accepted.
        """
        if not self.mark_table.is_retired(entry.name, entry.incarnation):
            record.outdated_since_ms = None
            return False
        now_ms = self.clock.monotonic_ms()
        if record.outdated_since_ms is None:
            record.outdated_since_ms = now_ms
        if now_ms - record.outdated_since_ms < ROLLBACK_CONFIRM_MS:
            return True
        record.outdated_since_ms = None
        self.mark_table.restore(entry.name, entry.incarnation)
        return False

    def publish_new(self, record: ServerRecord) -> None:
        """Publish a new server or incarnation, with a mark that arrived before it."""
        mark = self.mark_table.get(record.server.name, record.server.incarnation)
        if mark is not None and mark.leaving:
            LIFECYCLE.events["leave"].trigger(record)
        self.publish(record)

    def remove_absent(self, present: set[str]) -> None:
        """Remove servers absent from all readings for `ABSENCE_TIMEOUT_MS`.

        Marks of removed servers are dropped after `MARK_RETENTION_MS`.
        """
        now_ms = self.clock.monotonic_ms()
        for name in [name for name in self.records if name not in present]:
            record = self.records[name]
            if record.absent_since_ms is None:
                record.absent_since_ms = now_ms
            elif now_ms - record.absent_since_ms >= ABSENCE_TIMEOUT_MS:
                self.remove(name)
        for name, removed_ms in list(self.removed_at_ms.items()):
            if name in self.records:
                del self.removed_at_ms[name]
            elif now_ms - removed_ms >= MARK_RETENTION_MS:
                del self.removed_at_ms[name]
                self.mark_table.forget(name)

    def remove(self, name: str) -> None:
        """Remove a server and report it to the listeners as leaving."""
        record = self.records.pop(name)
        self.stop_probe(name)
        self.by_service[record.server.service].pop(name, None)
        self.removed_at_ms[name] = self.clock.monotonic_ms()
        removed_server = replace(record.server, state=ServerState.LEAVING)
        for listener in self.listeners:
            listener(removed_server)

    def report(self, server: BackendServer | str, error: StepError | None) -> None:
        """Update a server's state from the result of an operation on it.

        An error with a ``*.draining`` step marks the server as leaving, a connection
        failure makes it suspect, and a success clears the suspicion. A result from an
        earlier incarnation is ignored.
        """
        name = server if isinstance(server, str) else server.name
        record = self.records.get(name)
        if record is None or (
            not isinstance(server, str)
            and server.incarnation != record.server.incarnation
        ):
            return
        if error is None:
            if record.state is ServerState.SUSPECT:
                self.stop_probe(name)
                self.fire_trigger(record, "clear")
        elif error.step.endswith(".draining"):
            if record.state is not ServerState.LEAVING:
                self.mark(name, True, "draining answer")
        elif error.step.endswith(CONNECTION_FAILURE_STEPS):
            self.fire_trigger(record, "fail")
            if record.state is ServerState.SUSPECT and name not in self.probe_tasks:
                task = asyncio.create_task(
                    self.probe_until_clear(record), name=f"probe-{name}"
                )
                self.probe_tasks[name] = task

    def mark(self, name: str, leaving: bool, reason: str) -> ServerMark | None:
        """Mark a server and propagate the mark; return None for an unknown server.

        With ``leaving=False`` an operator revokes an earlier mark.
        """
        record = self.records.get(name)
        if record is None:
            return None
        mark = self.mark_table.issue(name, record.server.incarnation, leaving, reason)
        self.apply_mark(record, mark)
        self.broadcast(mark)
        self.gossip(mark)
        return mark

    async def accept_mark(self, mark: Message) -> None:
        """Merge a peer's mark, and forward it if it is new; handler of `ServerMark`.

        Each member of the failure domain forwards it once, so that a member that the
        first sender cannot reach still gets it.
        """
        assert isinstance(mark, ServerMark)
        if not self.mark_table.merge(mark):
            return
        record = self.records.get(mark.server)
        if record is not None and record.server.incarnation == mark.incarnation:
            self.apply_mark(record, mark)
        if record is None or record.server.failure_domain == self.failure_domain:
            self.broadcast(mark)
        self.gossip(mark)

    def marks(self) -> list[ServerMark]:
        """Return all current marks, to be sent to a new or reconnected peer."""
        return self.mark_table.current_marks()

    async def stream_marks(self, message: Message) -> AsyncIterator[ServerMark]:
        """Yield all marks for an entry VM that starts; handler of `MarksQuery`."""
        assert isinstance(message, MarksQuery)
        for mark in self.marks():
            yield mark

    def apply_mark(self, record: ServerRecord, mark: ServerMark) -> None:
        """Change the server's state according to a newly effective mark."""
        if mark.leaving:
            self.stop_probe(mark.server)
            self.fire_trigger(record, "leave")
        elif record.state is ServerState.LEAVING:
            self.fire_trigger(record, "revive")
        logger.info(
            "mark %d on %s: leaving=%s, %s",
            mark.number,
            mark.server,
            mark.leaving,
            mark.reason,
        )

    def fire_trigger(self, record: ServerRecord, trigger: str) -> None:
        """Fire a lifecycle trigger, and publish the server if its state changed."""
        previous_state = record.state
        LIFECYCLE.events[trigger].trigger(record)
        if record.state is not previous_state:
            self.publish(record)

    def publish(self, record: ServerRecord) -> None:
        """Replace the server's published value and notify the listeners."""
        record.server = replace(record.server, state=record.state)
        self.by_service.setdefault(record.server.service, {})[record.server.name] = (
            record.server
        )
        for listener in self.listeners:
            listener(record.server)

    async def probe_until_clear(self, record: ServerRecord) -> None:
        """Probe a suspect server with backoff until it responds or drains."""
        name = record.server.name
        delay_ms = MIN_PROBE_DELAY_MS
        while record.state is ServerState.SUSPECT:
            await self.clock.sleep_ms(delay_ms * random.uniform(0.5, 1.0))
            delay_ms = min(delay_ms * 2, MAX_PROBE_DELAY_MS)
            error = await self.probe(record.server)
            if error is None or error.step.endswith(".draining"):
                self.probe_tasks.pop(name, None)
                self.report(record.server, error)
                return

    def stop_probe(self, name: str) -> None:
        """Cancel a server's probe."""
        task = self.probe_tasks.pop(name, None)
        if task is not None:
            task.cancel()

    async def close(self) -> None:
        """Cancel all probes."""
        tasks, self.probe_tasks = list(self.probe_tasks.values()), {}
        await cancel_and_wait(tasks)


def server_from_entry(entry: VmEntry) -> BackendServer:
    """Return the server of a VM list entry, with shared strings interned."""
    return BackendServer(
        name=entry.name,
        kind=entry.kind,
        service=sys.intern(entry.service),
        address=entry.address,
        failure_domain=sys.intern(entry.failure_domain),
        region=sys.intern(entry.region),
        incarnation=entry.incarnation,
    )
