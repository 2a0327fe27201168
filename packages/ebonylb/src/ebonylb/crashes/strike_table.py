"""Persistent record of crashes in the platform's table ``strikes``."""

import asyncio
import logging
from collections.abc import Callable

from result import Ok

from ..interfaces import Clock, TableService, Write
from ..outcomes import new_token
from ..peers.messages import StrikeReport
from ..storage import transact_settled

logger = logging.getLogger(__name__)

TABLE = "strikes"
COMMIT_INTERVAL_MS = 50
FLUSH_TIMEOUT_MS = 2_000
# A failure domain without a connection to its peers learns of strikes only from this
# table. With 340 entry VMs, the scans take 170 of the platform's 2,000 reads/s.
SCAN_INTERVAL_MS = 2_000
PAGE_SIZE = 500
BUCKET_MS = 10_000
# A scan starts this many buckets before the last row read, because a writer's clock may
# lag and a row may be committed after rows with later keys.
OVERLAP_BUCKETS = 12
MAX_PENDING_REPORTS = 1_000  # kept while the platform is unavailable


class StrikeTable:
    """Stores crash reports in groups and reads those of other entry VMs.

    Each report is a row whose key consists of its time and a token. Rows are read by an
    incremental scan of the newest ones: reading by fingerprint would take one read per
    new request, and the platform's limit is about 2,000 reads/s.

    Parameters
    ----------
    tables : TableService
        Platform tables.
    clock : Clock
        Wall clock for the keys, and source of pauses.
    """

    def __init__(self, tables: TableService, clock: Clock) -> None:
        self.tables = tables
        self.clock = clock
        self.on_report: Callable[[StrikeReport], None] = lambda report: None
        self.pending: list[StrikeReport] = []
        self.committing = asyncio.Lock()
        self.last_bucket = 0

    def add(self, report: StrikeReport) -> None:
        """Queue a report for the next commit; the oldest is dropped at the limit."""
        self.pending.append(report)
        del self.pending[:-MAX_PENDING_REPORTS]

    async def flush(self, timeout_ms: float = FLUSH_TIMEOUT_MS) -> bool:
        """Commit all queued reports in one transaction.

        Returns
        -------
        bool
            False if the transaction failed; its reports are then queued again.
        """
        async with self.committing:
            reports, self.pending = self.pending, []
            if not reports:
                return True
            bucket = self.clock.wall_ms() // BUCKET_MS
            writes = [
                Write(
                    TABLE,
                    f"{bucket:012d}.{new_token()}",
                    {"crash_id": r.crash_id, "fingerprints": list(r.fingerprints)},
                )
                for r in reports
            ]
            response = await transact_settled(
                self.tables, self.clock, new_token(), [], writes, timeout_ms
            )
            if isinstance(response, Ok):
                return True
            logger.warning("strikes not recorded: %s", response.err_value)
            self.pending = [*reports, *self.pending][-MAX_PENDING_REPORTS:]
            return False

    async def read(self) -> bool:
        """Pass the reports of new rows to `on_report`; of all rows on the first scan.

        Returns
        -------
        bool
            False if the table could not be read to its end.
        """
        after = f"{max(0, self.last_bucket - OVERLAP_BUCKETS):012d}"
        if self.last_bucket == 0:
            after = ""
        while True:
            response = await self.tables.scan(TABLE, after=after, limit=PAGE_SIZE)
            if not isinstance(response, Ok):
                return False
            for row in response.ok_value:
                self.on_report(
                    StrikeReport(row.value["crash_id"], row.value["fingerprints"])
                )
                after = row.key
                self.last_bucket = max(self.last_bucket, int(row.key.split(".")[0]))
            if len(response.ok_value) < PAGE_SIZE:
                return True

    async def run(self) -> None:
        """Commit queued reports and scan the table until cancelled."""
        scanned_ms: float | None = None
        while True:
            now = self.clock.monotonic_ms()
            if scanned_ms is None or now - scanned_ms >= SCAN_INTERVAL_MS:
                if await self.read():
                    scanned_ms = now
            if self.pending and not await self.flush():
                await self.clock.sleep_ms(COMMIT_INTERVAL_MS * 20)
            await self.clock.sleep_ms(COMMIT_INTERVAL_MS)
