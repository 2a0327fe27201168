"""Detection of requests that crash the servers that run them."""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Sequence

from result import Err
from xxhash import xxh128

from ..interfaces import Clock
from ..interfaces.row_store import Condition, Put, RowKey, RowStore, StoredRow
from ..outcomes import new_token
from ..storage.follower import TableReader

logger = logging.getLogger(__name__)

TABLE = "strikes"
# The platform counts a request's crashes from the third one on, so it is blocked after
# the second one.
MAX_STRIKES = 2
MAX_FINGERPRINTS = 20_000  # about 5 MB


def request_fingerprint(method: str, host: str, target: str, body: bytes) -> str:
    """Return a digest that is equal each time the same request is sent.

    Ids and headers change when a caller repeats a request, but path and body don't.
    """
    digest = xxh128(f"{method} {host} {target}\0".encode())
    digest.update(body)
    return digest.hexdigest()


class CrashStrikes(TableReader):
    """Server crashes by request fingerprint, shared by all entry VMs through the store.

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

    def is_blocked(self, fingerprint: str | None) -> bool:
        """Return whether a request must not be sent to servers any more."""
        if fingerprint is None:
            return False
        return len(self.crashes.get(fingerprint, ())) >= MAX_STRIKES

    def is_suspect(self, fingerprint: str | None) -> bool:
        """Return whether a request was running on a server that crashed."""
        return fingerprint in self.crashes

    def add(self, fingerprint: str, crash: str) -> None:
        """Add a crash; the oldest fingerprint is dropped at the limit."""
        self.crashes.setdefault(fingerprint, set()).add(crash)
        self.crashes.move_to_end(fingerprint)
        if len(self.crashes) > MAX_FINGERPRINTS:
            self.crashes.popitem(last=False)

    def record_crash(self, fingerprint: str, crash: str) -> None:
        """Add a crash here and store it for the other entry VMs."""
        self.add(fingerprint, crash)
        logger.warning(
            "request was running on a server that crashed",
            extra={"fingerprint": fingerprint, "crash": crash},
        )
        task = asyncio.create_task(self.store_crash(fingerprint, crash))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def store_crash(self, fingerprint: str, crash: str) -> None:
        """Write a crash into the store as a separate row."""
        key = RowKey(TABLE, "", f"{fingerprint}.{new_token()[:8]}")
        stored = await self.store.transact(
            [Condition(key, 0)], [Put(key, crash.encode())]
        )
        if isinstance(stored, Err):
            logger.warning(
                "crash was not stored; it counts on this entry VM only",
                extra={"fingerprint": fingerprint, "cause": str(stored.err_value)},
            )

    def replace_rows(self, rows: Sequence[StoredRow]) -> None:
        """Add all stored crashes; crashes that are missing in the table are kept."""
        self.change_rows(rows)

    def change_rows(self, rows: Sequence[StoredRow]) -> None:
        """Add stored crashes."""
        for row in rows:
            if not row.deleted:
                fingerprint = row.row_key.key.partition(".")[0]
                self.add(fingerprint, row.value.decode("utf-8", "replace"))
