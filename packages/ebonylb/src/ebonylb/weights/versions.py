"""Current weight version of each service, as stored on the platform."""

import logging
from collections.abc import Callable

from result import Err

from ..interfaces import Check, Clock, Committed, TableService, WeightStore, Write
from ..outcomes import new_token
from ..storage import transact_settled

logger = logging.getLogger(__name__)

TABLE = "weights"
WRITE_TIMEOUT_MS = 2_000


class CurrentVersions:
    """Highest known version of each service; it never decreases.

    Parameters
    ----------
    tables : TableService
        Tables; the table `weights` has one row for each service.
    store : WeightStore
        Store to which trainers publish. Its rate is limited, so only the owner of shard
        0 in each failure domain reads it; all others read the row.
    clock : Clock
        Source of time.
    """

    def __init__(self, tables: TableService, store: WeightStore, clock: Clock) -> None:
        self.tables = tables
        self.store = store
        self.clock = clock
        self.versions: dict[str, int] = {}
        self.listeners: list[Callable[[str, int], None]] = []

    def get(self, service: str) -> int:
        """Return the highest known version of a service, or 0 if there is none."""
        return self.versions.get(service, 0)

    def record_version(self, service: str, version: int) -> None:
        """Record a version and notify the listeners if it is higher."""
        if version > self.get(service):
            self.versions[service] = version
            logger.info("current weight version of %s is %d", service, version)
            for listener in self.listeners:
                listener(service, version)

    async def refresh(self, service: str, read_store: bool) -> None:
        """Read the row and, if requested, the weight store."""
        response = await self.tables.read(TABLE, service)
        if isinstance(response, Err):
            return
        row = response.ok_value
        if row is not None:
            self.record_version(service, row.value["version"])
        if not read_store:
            return
        latest = await self.store.latest(service)
        if isinstance(latest, Err) or latest.ok_value is None:
            return
        published = latest.ok_value
        if published.version > self.get(service):
            await self.advance(service, published.version, published.size_bytes)

    async def catch_up(self, service: str) -> bool:
        """Read the row with a strong read and return whether that succeeded."""
        response = await self.tables.read(TABLE, service, strong=True)
        if isinstance(response, Err):
            return False
        if response.ok_value is not None:
            self.record_version(service, response.ok_value.value["version"])
        return True

    async def advance(self, service: str, version: int, size_bytes: int) -> None:
        """Write a published version into the row, unless the row has a higher one."""
        response = await self.tables.read(TABLE, service, strong=True)
        if isinstance(response, Err):
            return
        row = response.ok_value
        if row is not None and row.value["version"] >= version:
            self.record_version(service, row.value["version"])
            return
        written = await transact_settled(
            self.tables,
            self.clock,
            new_token(),
            [Check(TABLE, service, row.revision if row is not None else 0)],
            [Write(TABLE, service, {"version": version, "size_bytes": size_bytes})],
            WRITE_TIMEOUT_MS,
        )
        if not isinstance(written, Err) and isinstance(written.ok_value, Committed):
            self.record_version(service, version)
