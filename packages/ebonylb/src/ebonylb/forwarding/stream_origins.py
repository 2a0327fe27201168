"""Software versions on which callers' streams began, shared through the store.

A caller takes a stream up at any entry VM and names the request that brought its first
event. While a service has servers of several software versions, the version of that
request is stored before its first event is sent on. A stream that is not stored began
before that, on the version that the service had alone, which `VersionHistory` keeps.
"""

import asyncio
import logging
from collections import OrderedDict, deque

from result import Err, Ok, Result
from xxhash import xxh64_intdigest

from ..fleet import ListedServer, ServerDirectory
from ..interfaces import Clock
from ..interfaces.row_store import Put, RowKey, RowStore, next_key
from ..outcomes import Outcome
from .messages import CallerRequest, CallerResponse, make_refusal
from .version_history import VersionHistory

logger = logging.getLogger(__name__)

TABLE = "stream-origins"
# Each partition accepts 200 transactions a second.
PARTITIONS = 8
MAX_ROWS_PER_WRITE = 90
MAX_KNOWN_ORIGINS = 20_000
# The first event of a stream waits no longer for the store. Most first events have some
# hundred milliseconds.
WRITE_TIMEOUT_MS = 150.0
# Two reads of a store that is slowed down sixtyfold take half a second. The first event
# of a stream that is taken up has the rest of the two seconds that callers wait.
READ_TIMEOUT_MS = 600.0
# After a failed write, new streams begin on the version that needs none for this time.
RETRY_MS = 1_000.0
# A server of the missing version may be back, or the store, after this time.
REFUSAL_RETRY_AFTER_MS = 1_000
# Rows are deleted after this time, longer than any stream lasts.
RETENTION_MS = 120_000.0
DELETE_INTERVAL_MS = 10_000.0


def row_key(stream_id: str) -> RowKey:
    """Return the key of a stream's row."""
    partition = xxh64_intdigest(stream_id.encode()) % PARTITIONS
    return RowKey(TABLE, f"p{partition}", stream_id[:200])


class StreamOrigins:
    """Software version on which each stream began.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    clock : Clock
        Source of time.
    directory : ServerDirectory
        Software versions of the listed servers.
    history : VersionHistory
        Software versions that were in service before.

    Attributes
    ----------
    open_streams : dict of str to (str, str)
        Service and software version of each stream in progress here, by its id.
    known : dict of str to str
        Versions that this entry VM has stored or read.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        directory: ServerDirectory,
        history: VersionHistory,
    ) -> None:
        self.store = store
        self.clock = clock
        self.directory = directory
        self.history = history
        self.open_streams: dict[str, tuple[str, str]] = {}
        self.known: OrderedDict[str, str] = OrderedDict()
        self.pending: dict[str, dict[str, Put]] = {}
        self.flushes: dict[str, asyncio.Task[bool]] = {}
        self.written: deque[tuple[float, RowKey]] = deque()
        self.failed_ms = -1e12
        directory.software_versions.listeners.append(self.store_open_streams)

    def can_store(self) -> bool:
        """Return whether the last write has succeeded, or is long ago."""
        return self.clock.monotonic_ms() - self.failed_ms >= RETRY_MS

    async def required_version(
        self, request: CallerRequest, service: str
    ) -> Result[str | None, CallerResponse]:
        """Return the only version on which a stream may run; None for any.

        The error is the refusal of a stream that began on an unknown version.
        """
        if not request.resume_after:
            return Ok(self.version_for_new_stream(service))
        version = await self.find(request.resumes, service)
        if version is not None:
            return Ok(version)
        return Err(
            make_refusal(
                Outcome.NOT_RUN,
                "unknown_software_version",
                "the software version on which the stream began is not known here; "
                "it may be begun again at its first event",
                REFUSAL_RETRY_AFTER_MS,
            )
        )

    def version_for_new_stream(self, service: str) -> str | None:
        """Return the only version on which a new stream may begin; None for any.

        Without the store, that is the version of the streams that are not stored.
        """
        if self.can_store() or not self.history.needs_record(service):
            return None
        unrecorded = self.history.unrecorded_version(service)
        if unrecorded is None or not self.directory.has_ready_version(
            service, unrecorded
        ):
            return None
        return unrecorded

    def add_open(self, stream_id: str, service: str, server: ListedServer) -> None:
        """Record that a stream is in progress here."""
        self.open_streams[stream_id] = (service, server.software_version)

    async def begin(self, stream_id: str, service: str, server: ListedServer) -> bool:
        """Record a stream before its first event is sent on.

        Returns
        -------
        bool
            False if another entry VM could take the stream for one of another version.
        """
        self.add_open(stream_id, service, server)
        software_version = server.software_version
        if not self.history.needs_record(service):
            return True
        if self.can_store() and await self.write(stream_id, software_version):
            return True
        unrecorded = self.history.unrecorded_version(service)
        return unrecorded in (
            None,
            software_version,
        ) or not self.directory.has_ready_version(service, unrecorded)

    def end(self, stream_id: str) -> None:
        """Record that a stream is no longer in progress here."""
        self.open_streams.pop(stream_id, None)

    def store_open_streams(self, service: str) -> None:
        """Store the streams in progress when another version is listed."""
        if len(self.directory.software_versions.listed(service)) < 2:
            return
        for stream_id, (its_service, version) in self.open_streams.items():
            if its_service == service and stream_id not in self.known:
                self.enqueue(stream_id, version)

    def enqueue(self, stream_id: str, software_version: str) -> asyncio.Task[bool]:
        """Add a row to the next write of its partition; return the write."""
        key = row_key(stream_id)
        self.pending.setdefault(key.part, {})[stream_id] = Put(
            key, software_version.encode()
        )
        self.remember(stream_id, software_version)
        flush = self.flushes.get(key.part)
        if flush is None or flush.done():
            flush = asyncio.create_task(self.flush(key.part))
            self.flushes[key.part] = flush
        return flush

    async def write(self, stream_id: str, software_version: str) -> bool:
        """Store the version of a stream and return whether that is confirmed."""
        flush = self.enqueue(stream_id, software_version)
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_MS / 1000):
                return await asyncio.shield(flush)
        except TimeoutError:
            self.failed_ms = self.clock.monotonic_ms()
            return False

    async def flush(self, part: str) -> bool:
        """Write the pending rows of a partition; return whether all are stored."""
        all_stored = True
        # Requests that begin at the same moment share a transaction.
        await asyncio.sleep(0)
        while pending := self.pending.get(part):
            batch = [
                pending.pop(stream_id)
                for stream_id in list(pending)[:MAX_ROWS_PER_WRITE]
            ]
            stored = await self.store.transact([], batch)
            now = self.clock.monotonic_ms()
            if isinstance(stored, Err):
                self.failed_ms, all_stored = now, False
                logger.warning(
                    "software versions of streams not stored",
                    extra={"streams": len(batch), "cause": str(stored.err_value)},
                )
                continue
            self.written.extend((now, put.row_key) for put in batch)
        return all_stored

    def remember(self, stream_id: str, software_version: str) -> None:
        """Keep the version of a stream in memory; the oldest is dropped."""
        self.known[stream_id] = software_version
        self.known.move_to_end(stream_id)
        if len(self.known) > MAX_KNOWN_ORIGINS:
            self.known.popitem(last=False)

    async def find(self, stream_id: str, service: str) -> str | None:
        """Return the version on which a stream began; None if it cannot be known.

        Parameters
        ----------
        stream_id : str
            Empty if the caller does not name the stream.
        """
        if stream_id in self.known:
            return self.known[stream_id]
        if stream_id in self.open_streams:
            return self.open_streams[stream_id][1]
        try:
            async with asyncio.timeout(READ_TIMEOUT_MS / 1000):
                return await self.read_version(stream_id, service)
        except TimeoutError:
            return None

    async def read_version(self, stream_id: str, service: str) -> str | None:
        """Return the version on which a stream began, by the store as it is now.

        What this entry VM knows without it may be out of step: another version may have
        joined, with streams that are stored.
        """
        if stream_id:
            key = row_key(stream_id)
            page = await self.store.read(
                key.table, key.part, key.key, next_key(key.key)
            )
            if isinstance(page, Err):
                return None
            for row in page.ok_value.rows:
                if row.row_key.key == key.key:
                    version = row.value.decode("utf-8", "replace")
                    self.remember(stream_id, version)
                    return version
        if not await self.history.read():
            return None
        if not stream_id and self.history.needs_record(service):
            return None
        return self.history.unrecorded_version(service)

    async def delete_expired(self) -> None:
        """Delete the rows of streams that ended long ago, until cancelled."""
        while True:
            await self.clock.sleep_ms(DELETE_INTERVAL_MS)
            latest_ms = self.clock.monotonic_ms() - RETENTION_MS
            keys_by_part: dict[str, list[RowKey]] = {}
            while self.written and self.written[0][0] < latest_ms:
                _, key = self.written.popleft()
                keys_by_part.setdefault(key.part, []).append(key)
            for keys in keys_by_part.values():
                for first in range(0, len(keys), MAX_ROWS_PER_WRITE):
                    chunk = keys[first : first + MAX_ROWS_PER_WRITE]
                    await self.store.transact([], [Put(key, None) for key in chunk])
