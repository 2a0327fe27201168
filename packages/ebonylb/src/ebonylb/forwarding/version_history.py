"""Software versions that were in service, kept in the store over restarts.

A stream without a row of its own began while its service had a single version. An entry
VM that has started since then cannot tell from the list of servers which one that was:
the servers may have been replaced in the meantime. The row of a service says so.
"""

import asyncio
import logging
import random

import msgspec
from result import Err

from ..fleet import ServerDirectory
from ..interfaces import Clock
from ..interfaces.row_store import Condition, Mismatch, Put, RowKey, RowStore, StoredRow
from ..storage.store_time import StoreTime
from ..storage.unreadable import UnreadableRows

logger = logging.getLogger(__name__)

TABLE = "service-versions"
# Longer than a stream lasts, with all tries of its caller.
STREAM_LIFETIME_MS = 60_000.0
# All entry VMs see a change of the list at about the same time. One of them writes it,
# and the others find it written.
MAX_UPDATE_DELAY_MS = 500.0
RETRY_MS = 300.0
MAX_ROWS_PER_WRITE = 90
MAX_KEY_CHARACTERS = 200


class ServiceVersions(msgspec.Struct, frozen=True, array_like=True):
    """Software versions of a service.

    Attributes
    ----------
    listed : tuple of str
        Versions of its listed servers, in order.
    since_ms : float
        Time of the store since which these versions are listed.
    unrecorded : str or None
        Version of the streams without a row that began before `since_ms`; None if it
        is not known.
    """

    listed: tuple[str, ...]
    since_ms: float
    unrecorded: str | None

    def settled_version(self, now_ms: float) -> str | None:
        """Return the version that all streams have that are still in progress.

        None while streams of several versions may be in progress.
        """
        if len(self.listed) != 1 or now_ms - self.since_ms < STREAM_LIFETIME_MS:
            return None
        return self.listed[0]

    def unrecorded_version(self, now_ms: float) -> str | None:
        """Return the version of streams without a row; None if it is not known."""
        settled = self.settled_version(now_ms)
        return settled if settled is not None else self.unrecorded

    def advance(self, listed: tuple[str, ...], now_ms: float) -> "ServiceVersions":
        """Return the row once other versions are listed.

        Streams without a row may have begun on the others while the version of those
        without a row had no server. Nobody can tell them apart once it is back.
        """
        unrecorded = self.unrecorded_version(now_ms)
        is_back = unrecorded in listed and unrecorded not in self.listed
        return ServiceVersions(listed, now_ms, None if is_back else unrecorded)


versions_decoder = msgspec.json.Decoder(ServiceVersions)


def first_row(listed: tuple[str, ...]) -> ServiceVersions:
    """Return the row of a service that has none, which has had no streams yet."""
    only_version = listed[0] if len(listed) == 1 else None
    return ServiceVersions(listed, -STREAM_LIFETIME_MS, only_version)


def row_key(service: str) -> RowKey:
    """Return the key of a service's row."""
    return RowKey(TABLE, "", service[:MAX_KEY_CHARACTERS])


class VersionHistory:
    """Keeps the rows of the services in step with the listed servers.

    Parameters
    ----------
    name : str
        Name of this entry VM, from which its pauses are drawn.
    store : RowStore
        The platform's store.
    clock : Clock
        Source of time.
    store_time : StoreTime
        Clock that all entry VMs share.
    directory : ServerDirectory
        Listed servers.

    Attributes
    ----------
    known : dict of RowKey to (ServiceVersions, int)
        Each row as last read or written, and its version in the store.
    """

    def __init__(
        self,
        name: str,
        store: RowStore,
        clock: Clock,
        store_time: StoreTime,
        directory: ServerDirectory,
    ) -> None:
        self.random = random.Random(name)
        self.store = store
        self.clock = clock
        self.store_time = store_time
        self.directory = directory
        self.known: dict[RowKey, tuple[ServiceVersions, int]] = {}
        self.unreadable = UnreadableRows()
        self.changed = asyncio.Event()
        directory.software_versions.listeners.append(lambda _: self.changed.set())

    def needs_record(self, service: str) -> bool:
        """Return whether a stream that begins now needs a row of its own.

        It needs none while its service has, and for the lifetime of a stream has had,
        the one version that the stored row names.
        """
        row = self.find(service)
        settled = row.settled_version(self.store_time.now_ms()) if row else None
        return settled is None or self.listed(service) != (settled,)

    def unrecorded_version(self, service: str) -> str | None:
        """Return the version of streams without a row; None if it is not known."""
        row = self.find(service)
        return row.unrecorded_version(self.store_time.now_ms()) if row else None

    def find(self, service: str) -> ServiceVersions | None:
        """Return the row of a service as last read or written; None for none."""
        row, _ = self.known.get(row_key(service), (None, 0))
        return row

    def listed(self, service: str) -> tuple[str, ...]:
        """Return the versions of the listed servers of a service, in order."""
        return self.directory.software_versions.listed(service)

    def find_outdated(self) -> list[str]:
        """Return the services whose rows differ from the list.

        A service without any listed server keeps its row.
        """
        outdated = []
        for service in self.directory.software_versions.counts:
            listed, row = self.listed(service), self.find(service)
            if listed and (row is None or row.listed != listed):
                outdated.append(service)
        return outdated

    async def run(self) -> None:
        """Read the rows and write changes, until cancelled."""
        while not await self.read():
            await self.clock.sleep_ms(RETRY_MS)
        while True:
            self.changed.clear()
            if not self.find_outdated():
                await self.changed.wait()
            await self.clock.sleep_ms(self.random.uniform(0, MAX_UPDATE_DELAY_MS))
            if not await self.read() or not await self.write():
                await self.clock.sleep_ms(RETRY_MS)

    async def read(self) -> bool:
        """Read all rows; return whether that succeeded."""
        page = await self.store.read(TABLE)
        if isinstance(page, Err):
            logger.info(
                "software versions of services not read",
                extra={"cause": str(page.err_value)},
            )
            return False
        self.store_time.record(page.ok_value.store_ms)
        for row in page.ok_value.rows:
            self.apply(row)
        return True

    def apply(self, row: StoredRow) -> None:
        """Use a row of the store; one that cannot be read counts as missing."""
        versions = self.unreadable.decode(row, versions_decoder.decode)
        if versions is None:
            versions = ServiceVersions((), 0.0, None)
        self.known[row.row_key] = (versions, row.version)

    async def write(self) -> bool:
        """Write the rows that differ from the list; return whether all are stored."""
        now_ms = self.store_time.now_ms()
        rows: dict[RowKey, ServiceVersions] = {}
        for service in self.find_outdated()[:MAX_ROWS_PER_WRITE]:
            listed, row = self.listed(service), self.find(service)
            rows[row_key(service)] = (
                row.advance(listed, now_ms) if row else first_row(listed)
            )
        if not rows:
            return True
        stored = await self.store.transact(
            [Condition(key, self.known.get(key, (None, 0))[1]) for key in rows],
            [Put(key, msgspec.json.encode(row)) for key, row in rows.items()],
        )
        if isinstance(stored, Err) or isinstance(stored.ok_value, Mismatch):
            return False
        for key, row in rows.items():
            self.known[key] = (row, stored.ok_value.version)
            logger.info(
                "software versions of a service stored",
                extra={
                    "service": key.key,
                    "software_versions": row.listed,
                    "unrecorded": row.unrecorded,
                },
            )
        return True
