"""Software versions on which callers' streams began.

A caller takes a stream up at any entry VM and names the request that brought its first
event. The table in ``docs/design.md`` says what is known of the version of that event,
by whom, and what the caller gets.
"""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from ..fleet import ListedServer, ServerDirectory
from ..interfaces import Clock
from ..interfaces.stream_origins import OriginQuery, StreamOrigin
from ..outcomes import Outcome, StepError
from .messages import CallerRequest, CallerResponse, make_refusal
from .origin_peers import OriginPeers
from .origin_rows import OriginRows
from .version_history import STREAM_LIFETIME_MS, VersionHistory

logger = logging.getLogger(__name__)

MAX_KNOWN_ORIGINS = 20_000
# The first event of a stream waits no longer for the store while another entry VM can
# keep the origin. Most first events have some hundred milliseconds.
WRITE_TIMEOUT_MS = 150.0
# With no other entry VM in reach, a write that is under way decides. Callers wait two
# seconds for the first event.
LAST_WRITE_TIMEOUT_MS = 1_000.0
# Two reads of a store that is slowed down sixtyfold take half a second. The first event
# of a stream that is taken up has the rest of the two seconds that callers wait.
READ_TIMEOUT_MS = 600.0
# After a failed write, new streams begin on the version that needs none for this time.
RETRY_MS = 1_000.0
# A server of the missing version may be back, or the store, after this time.
REFUSAL_RETRY_AFTER_MS = 1_000
REPAIR_INTERVAL_MS = 500.0
HAND_OVER_INTERVAL_MS = 100.0
MAX_ORIGINS_PER_REPAIR = 500


@dataclass(slots=True)
class KnownOrigin:
    """Software version on which a stream began, and who else knows it.

    Parameters
    ----------
    since_ms : float
        Monotonic time since which it is known here.
    needs_row : bool
        Whether the store does not name it although it must.
    is_replicated : bool
        Whether another entry VM keeps it.
    """

    service: str
    software_version: str
    since_ms: float
    needs_row: bool = False
    is_replicated: bool = False


class StreamOrigins:
    """Software version on which each stream began.

    A stream is bound to its version before its first event is sent on, and never to
    another one afterwards. Whatever is known of a bound stream therefore stays true.

    Parameters
    ----------
    rows : OriginRows
        Versions in the platform's store.
    peers : OriginPeers
        Versions that other entry VMs keep.
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
    known : dict of str to KnownOrigin
        Bound streams of this entry VM, of others, and from the store, oldest first.
    """

    def __init__(
        self,
        rows: OriginRows,
        peers: OriginPeers,
        clock: Clock,
        directory: ServerDirectory,
        history: VersionHistory,
    ) -> None:
        self.rows = rows
        self.peers = peers
        self.clock = clock
        self.directory = directory
        self.history = history
        self.open_streams: dict[str, tuple[str, str]] = {}
        self.known: OrderedDict[str, KnownOrigin] = OrderedDict()
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

    def end(self, stream_id: str) -> None:
        """Record that a stream is no longer in progress here."""
        self.open_streams.pop(stream_id, None)

    def bind(
        self,
        stream_id: str,
        service: str,
        software_version: str,
        needs_row: bool = False,
        is_replicated: bool = False,
    ) -> str:
        """Remember the version of a stream, and return it; the first one holds."""
        known = self.known.get(stream_id)
        if known is not None:
            known.needs_row = known.needs_row and needs_row
            known.is_replicated = known.is_replicated or is_replicated
            return known.software_version
        self.known[stream_id] = KnownOrigin(
            service,
            software_version,
            self.clock.monotonic_ms(),
            needs_row,
            is_replicated,
        )
        if len(self.known) > MAX_KNOWN_ORIGINS:
            self.known.popitem(last=False)
        return software_version

    async def begin(
        self, stream_id: str, service: str, server: ListedServer
    ) -> Result[str, StepError]:
        """Bind a stream to a version before its first event is sent on.

        Returns
        -------
        Result
            The version on which the stream must run, which may be another one than
            that of the server. The error means that it must not run at all: another
            entry VM could take it for one of another version.
        """
        bound = await self.choose_version(stream_id, service, server.software_version)
        if isinstance(bound, Ok) and bound.ok_value == server.software_version:
            self.add_open(stream_id, service, server)
        return bound

    async def choose_version(
        self, stream_id: str, service: str, software_version: str
    ) -> Result[str, StepError]:
        """Return the version of a new stream, known to the store or to others."""
        if not self.history.needs_record(service):
            return Ok(self.bind(stream_id, service, software_version))
        written: asyncio.Future[Result[str, StepError]] | None = None
        stored: Result[str, StepError] = Err(
            StepError("stream.origin", "store", "not written", False)
        )
        if self.can_store():
            written = self.rows.write(stream_id, software_version)
            stored = await self.wait_for_write(written, WRITE_TIMEOUT_MS)
        if isinstance(stored, Ok):
            return Ok(self.bind(stream_id, service, stored.ok_value))
        unrecorded = self.history.unrecorded_version(service)
        if unrecorded in (None, software_version):
            return Ok(self.bind(stream_id, service, software_version, needs_row=True))
        may_be_written = stored.err_value.may_have_run
        if not may_be_written and self.directory.has_ready_version(service, unrecorded):
            return Ok(unrecorded)
        kept = await self.peers.replicate(
            [StreamOrigin(stream_id, service, software_version)]
        )
        if stream_id in kept:
            kept_version = kept[stream_id]
            return Ok(
                self.bind(
                    stream_id,
                    service,
                    kept_version,
                    needs_row=True,
                    is_replicated=True,
                )
            )
        if may_be_written and written is not None:
            stored = await self.wait_for_write(written, LAST_WRITE_TIMEOUT_MS)
            if isinstance(stored, Ok):
                return Ok(self.bind(stream_id, service, stored.ok_value))
            return stored
        if unrecorded not in self.history.listed(service):
            return Ok(self.bind(stream_id, service, software_version, needs_row=True))
        return stored

    async def wait_for_write(
        self, written: asyncio.Future[Result[str, StepError]], timeout_ms: float
    ) -> Result[str, StepError]:
        """Return the outcome of a write, or an unclear one after the timeout."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                stored = await asyncio.shield(written)
        except TimeoutError:
            stored = Err(StepError("stream.origin", "store", "no answer in time"))
        if isinstance(stored, Err):
            self.failed_ms = self.clock.monotonic_ms()
        return stored

    def store_open_streams(self, service: str) -> None:
        """Store the streams in progress when another version is listed."""
        if len(self.directory.software_versions.listed(service)) < 2:
            return
        for stream_id, (its_service, version) in self.open_streams.items():
            if its_service == service:
                self.bind(stream_id, service, version)
                self.store(stream_id, self.known[stream_id])

    def store(
        self, stream_id: str, known: KnownOrigin
    ) -> asyncio.Future[Result[str, StepError]]:
        """Write the row of a bound stream; `repair` repeats this until it is stored."""
        known.needs_row = True
        written = self.rows.write(stream_id, known.software_version)

        def record(future: asyncio.Future[Result[str, StepError]]) -> None:
            if not future.cancelled() and isinstance(future.result(), Ok):
                known.needs_row = False

        written.add_done_callback(record)
        return written

    async def find(self, stream_id: str, service: str) -> str | None:
        """Return the version on which a stream began; None if it cannot be known.

        What this entry VM knows of the service may be out of step: another version may
        have joined. Only its store, or an entry VM that ran the stream, tells.

        Parameters
        ----------
        stream_id : str
            Empty if the caller does not name the stream.
        """
        if known := self.known.get(stream_id):
            return known.software_version
        version, is_certain = await self.search(stream_id, service)
        if version is None:
            return await self.peers.find(OriginQuery(stream_id, service, True))
        if is_certain and stream_id:
            self.bind(stream_id, service, version)
        return version

    async def search(self, stream_id: str, service: str) -> tuple[str | None, bool]:
        """Return what the store or another entry VM tells, and whether it is certain.

        What is not certain must not be remembered: the row may be written later.
        """
        if not stream_id:
            return await self.read_in_time(stream_id, service)
        asking = asyncio.create_task(self.peers.find(OriginQuery(stream_id, service)))
        reading = asyncio.create_task(self.read_in_time(stream_id, service))
        try:
            await asyncio.wait((asking, reading), return_when=asyncio.FIRST_COMPLETED)
            if asking.done() and asking.result() is not None:
                return asking.result(), True
            version, is_certain = await reading
            if is_certain:
                return version, True
            told = await asking
            return (version, False) if told is None else (told, True)
        finally:
            asking.cancel()
            reading.cancel()

    async def read_in_time(
        self, stream_id: str, service: str
    ) -> tuple[str | None, bool]:
        """Return what the store tells within the timeout, as `read_version` does."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_MS / 1000):
                return await self.read_version(stream_id, service)
        except TimeoutError:
            return None, False

    async def read_version(
        self, stream_id: str, service: str
    ) -> tuple[str | None, bool]:
        """Return the version by the store as it is now, and whether that is certain.

        It is not certain for a stream without a row while its service has several
        versions: the entry VM that ran it may not have been able to store it.
        """
        if stream_id:
            row = await self.rows.read(stream_id)
            if isinstance(row, Err):
                return None, False
            if row.ok_value is not None:
                return row.ok_value, True
        if not await self.history.read():
            return None, False
        needs_record = self.history.needs_record(service)
        if not stream_id and needs_record:
            return None, False
        return self.history.unrecorded_version(service), not needs_record

    async def answer(self, query: OriginQuery) -> str | None:
        """Return the version of a stream for another entry VM; None for none."""
        if known := self.known.get(query.stream_id):
            return known.software_version
        if not query.may_read_store:
            return None
        version, _ = await self.read_in_time(query.stream_id, query.service)
        return version

    def keep(self, origins: Sequence[StreamOrigin]) -> list[StreamOrigin]:
        """Remember origins for another entry VM; return what is known of them now."""
        return [
            StreamOrigin(
                origin.stream_id,
                origin.service,
                self.bind(origin.stream_id, origin.service, origin.software_version),
            )
            for origin in origins
        ]

    async def repair(self) -> None:
        """Store and replicate what others do not know yet, until cancelled."""
        while True:
            await self.clock.sleep_ms(REPAIR_INTERVAL_MS)
            self.forget_expired()
            missing = [
                (stream_id, known)
                for stream_id, known in self.known.items()
                if known.needs_row
            ][:MAX_ORIGINS_PER_REPAIR]
            if not missing:
                continue
            await self.replicate_unknown(missing)
            if self.can_store():
                await self.write_rows(missing)

    def forget_expired(self) -> None:
        """Forget the streams that can no longer be taken up."""
        now = self.clock.monotonic_ms()
        while self.known:
            stream_id, known = next(iter(self.known.items()))
            if now - known.since_ms < STREAM_LIFETIME_MS:
                return
            if stream_id not in self.open_streams:
                del self.known[stream_id]
                continue
            known.since_ms = now
            self.known.move_to_end(stream_id)

    async def write_rows(self, missing: Sequence[tuple[str, KnownOrigin]]) -> None:
        """Write the rows of streams that could not be written before."""
        writes = [self.store(stream_id, known) for stream_id, known in missing]
        outcomes = await asyncio.gather(*writes)
        if any(isinstance(outcome, Err) for outcome in outcomes):
            self.failed_ms = self.clock.monotonic_ms()

    async def replicate_unknown(
        self, origins: Sequence[tuple[str, KnownOrigin]]
    ) -> None:
        """Have other entry VMs keep the origins of which none has a copy."""
        unknown = {
            stream_id: known for stream_id, known in origins if not known.is_replicated
        }
        if not unknown:
            return
        kept = await self.peers.replicate(
            [
                StreamOrigin(stream_id, known.service, known.software_version)
                for stream_id, known in unknown.items()
            ]
        )
        for stream_id in kept.keys() & unknown.keys():
            unknown[stream_id].is_replicated = True

    async def hand_over(self) -> None:
        """Have other entry VMs keep all origins known here, until cancelled.

        The process ends soon, and its callers take their streams up elsewhere.
        """
        while True:
            await self.replicate_unknown(list(self.known.items()))
            await self.clock.sleep_ms(HAND_OVER_INTERVAL_MS)
