"""Requests that crash the servers that run them."""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Sequence

from result import Err
from xxhash import xxh128

from ..edges import Clock
from ..edges.row_store import Condition, Put, RowKey, RowStore, StoredRow
from ..outcomes import new_token
from ..storage.follower import TableReader

logger = logging.getLogger(__name__)

TABLE = "strikes"
# The platform counts from the third crash on; a request is given up at the second.
MAX_STRIKES = 2
MAX_FINGERPRINTS = 20_000  # fingerprints; about 5 MB


def request_fingerprint(method: str, host: str, target: str, body: bytes) -> str:
    """Return digits that are equal for all sendings of one request.

    Ids and headers change between sendings; path and body do not.
    """
    digest = xxh128(f"{method} {host} {target}\0".encode())
    digest.update(body)
    return digest.hexdigest()


class CrashStrikes(TableReader):
    """Crashes by fingerprint, shared by all entry VMs through the store.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    clock : Clock
        Source of time.
    """

    def __init__(self, store: RowStore, clock: Clock) -> None:
        self.store = store
        self.clock = clock
        self.crashes: OrderedDict[str, set[str]] = OrderedDict()
        self.tasks: set[asyncio.Task[None]] = set()

    def is_blocked(self, fingerprint: str) -> bool:
        """Tell whether a request may no longer reach a server."""
        return len(self.crashes.get(fingerprint, ())) >= MAX_STRIKES

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a request has crashed a server."""
        return fingerprint in self.crashes

    def add(self, fingerprint: str, crash: str) -> None:
        """Count a crash."""
        self.crashes.setdefault(fingerprint, set()).add(crash)
        self.crashes.move_to_end(fingerprint)
        if len(self.crashes) > MAX_FINGERPRINTS:
            self.crashes.popitem(last=False)

    def record_crash(self, fingerprint: str, crash: str) -> None:
        """Count a crash here and tell the other entry VMs."""
        self.add(fingerprint, crash)
        logger.warning(
            "request was running on a server that crashed",
            extra={"fingerprint": fingerprint, "crash": crash},
        )
        task = asyncio.create_task(self.store_crash(fingerprint, crash))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def store_crash(self, fingerprint: str, crash: str) -> None:
        """Write the crash as a row of its own."""
        key = RowKey(TABLE, "", f"{fingerprint}.{new_token()[:8]}")
        stored = await self.store.transact(
            [Condition(key, 0)], [Put(key, crash.encode())]
        )
        if isinstance(stored, Err):
            logger.warning(
                "crash not recorded; it counts on this entry VM only",
                extra={"fingerprint": fingerprint, "cause": str(stored.err_value)},
            )

    def replace_rows(self, rows: Sequence[StoredRow]) -> None:
        """Add all recorded crashes; crashes are never taken back."""
        self.change_rows(rows)

    def change_rows(self, rows: Sequence[StoredRow]) -> None:
        """Add recorded crashes."""
        for row in rows:
            if not row.deleted:
                fingerprint = row.at.key.partition(".")[0]
                self.add(fingerprint, row.value.decode("utf-8", "replace"))
