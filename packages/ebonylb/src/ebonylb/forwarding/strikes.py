"""Detection of requests that crash the servers that run them."""

import asyncio
import logging
import random
from collections import OrderedDict
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass

from result import Err
from xxhash import xxh64, xxh128

from ..interfaces import Clock
from ..interfaces.row_store import Condition, Put, RowKey, RowStore, StoredRow
from ..routes import RouteKind
from ..storage.follower import TableReader

logger = logging.getLogger(__name__)

TABLE = "strikes"
# The platform counts a request's crashes from the third one on, so it is blocked after
# the second one.
MAX_STRIKES = 2
# A crash breaks up to all streams that a server runs, nearly all of them sound, so that
# a stream may meet several crashes by chance. It is blocked after the first number if
# it was the only suspect of one of them, and after the second one in any case: the
# platform allows three more sendings after the third crash.
MAX_STREAM_STRIKES = 3
MAX_SHARED_STREAM_STRIKES = 6
MAX_FINGERPRINTS = 20_000  # about 5 MB
MAX_COMPLETED_FINGERPRINTS = 10_000  # about 2 MB
# Least interval between two attempts to store a crash, or to delete rows.
RETRY_INTERVAL_MS = 500.0
# All entry VMs learn of a crash at once. The first one to delete its row spares the
# others the call.
MAX_DELETE_DELAY_MS = 300.0
MAX_DELETED_ROWS = 50  # in one transaction


def request_fingerprint(method: str, host: str, target: str, body: bytes) -> str:
    """Return a digest that is equal each time the same request is sent.

    Ids and headers change when a caller repeats a request, but path and body don't.
    """
    digest = xxh128(f"{method} {host} {target}\0".encode())
    digest.update(body)
    return digest.hexdigest()


def row_key(fingerprint: str, strike_id: str) -> RowKey:
    """Return the key of the row of a strike."""
    return RowKey(TABLE, "", f"{fingerprint}.{strike_id}")


@dataclass(frozen=True, slots=True)
class Strike:
    """Crash of a server that was running a request.

    Parameters
    ----------
    crash : str
        Server that crashed, and its start.
    version : int
        Version of the stored row; 0 before the table has shown it.
    """

    crash: str
    version: int = 0


class CrashStrikes(TableReader):
    """Server crashes by request fingerprint, shared by all entry VMs through the store.

    A request that crashes each server that runs it never completes. So the crashes of a
    fingerprint no longer count once a request with it has completed, here or at another
    entry VM: they were chance, and their rows are deleted.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    clock : Clock
        Source of time.

    Attributes
    ----------
    crashes : dict of str to dict of str to Strike
        Strikes by their ids, by fingerprint; the fingerprint of the last one is last.
    suspects : dict of str to set of str
        Fingerprints of the requests that each crash counts against.
    completed : dict of str to None
        Fingerprints of the last requests that completed here.
    clearing : set of str
        Fingerprints whose rows are being deleted.
    """

    def __init__(self, store: RowStore, clock: Clock) -> None:
        self.store = store
        self.clock = clock
        self.crashes: OrderedDict[str, dict[str, Strike]] = OrderedDict()
        self.suspects: dict[str, set[str]] = {}
        self.completed: OrderedDict[str, None] = OrderedDict()
        self.clearing: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def is_blocked(self, fingerprint: str | None, kind: RouteKind) -> bool:
        """Return whether a request must not be sent to servers any more.

        Parameters
        ----------
        kind : RouteKind
            Kind of the request's route.
        """
        count = self.count(fingerprint)
        if kind is not RouteKind.STREAMING:
            return count >= MAX_STRIKES
        if count < MAX_STREAM_STRIKES:
            return False
        return count >= MAX_SHARED_STREAM_STRIKES or any(
            len(self.suspects[strike.crash]) == 1
            for strike in self.crashes[fingerprint].values()
        )

    def is_suspect(self, fingerprint: str | None) -> bool:
        """Return whether a request was running on a server that crashed."""
        return self.count(fingerprint) > 0

    def count(self, fingerprint: str | None) -> int:
        """Return the number of crashes that count against a request."""
        if fingerprint is None or fingerprint in self.completed:
            return 0
        strikes = self.crashes.get(fingerprint, {})
        return len({strike.crash for strike in strikes.values()})

    def add(self, fingerprint: str, strike_id: str, strike: Strike) -> None:
        """Add a strike; those of the oldest fingerprint are dropped at the limit."""
        self.crashes.setdefault(fingerprint, {})[strike_id] = strike
        self.crashes.move_to_end(fingerprint)
        self.suspects.setdefault(strike.crash, set()).add(fingerprint)
        if len(self.crashes) > MAX_FINGERPRINTS:
            oldest = next(iter(self.crashes))
            for each in list(self.crashes[oldest]):
                self.drop(oldest, each)

    def drop(self, fingerprint: str, strike_id: str) -> None:
        """Forget a strike."""
        strikes = self.crashes.get(fingerprint, {})
        strike = strikes.pop(strike_id, None)
        if strike is None:
            return
        if not strikes:
            del self.crashes[fingerprint]
        if strike.crash not in {each.crash for each in strikes.values()}:
            suspects = self.suspects[strike.crash]
            suspects.discard(fingerprint)
            if not suspects:
                del self.suspects[strike.crash]

    def record_crash(self, fingerprint: str, crash: str) -> None:
        """Add a crash here and store it for the other entry VMs."""
        if fingerprint in self.completed:
            return
        if fingerprint not in self.crashes and len(self.crashes) >= MAX_FINGERPRINTS:
            oldest = self.stored_rows(next(iter(self.crashes)))
            self.start(self.delete_rows(oldest))
        strike_id = xxh64(crash.encode()).hexdigest()
        self.add(fingerprint, strike_id, Strike(crash))
        logger.warning(
            "request was running on a server that crashed",
            extra={"fingerprint": fingerprint, "crash": crash},
        )
        self.start(self.store_crash(fingerprint, strike_id, crash))

    def record_completed(self, fingerprint: str | None) -> None:
        """Note that a server has run a request to its end."""
        if fingerprint is None:
            return
        self.completed[fingerprint] = None
        self.completed.move_to_end(fingerprint)
        if len(self.completed) > MAX_COMPLETED_FINGERPRINTS:
            self.completed.popitem(last=False)
        for strike_id, strike in list(self.crashes.get(fingerprint, {}).items()):
            if not strike.version:
                self.drop(fingerprint, strike_id)
        self.clear(fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Begin to delete the rows of a request that has completed."""
        if fingerprint in self.crashes and fingerprint not in self.clearing:
            self.clearing.add(fingerprint)
            self.start(self.delete_strikes(fingerprint))

    def start(self, work: Coroutine[None, None, None]) -> None:
        """Run work with the store in the background."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def store_crash(self, fingerprint: str, strike_id: str, crash: str) -> None:
        """Write a crash into the store as a separate row, and again until it is there.

        Other entry VMs that had the same request on the server write the same row.
        """
        key = row_key(fingerprint, strike_id)
        put = Put(key, crash.encode())
        while strike_id in self.crashes.get(fingerprint, ()):
            stored = await self.store.transact([Condition(key, 0)], [put])
            if not isinstance(stored, Err):
                return
            logger.warning(
                "crash was not stored; it counts on this entry VM only for now",
                extra={"fingerprint": fingerprint, "cause": str(stored.err_value)},
            )
            await self.clock.sleep_ms(RETRY_INTERVAL_MS * random.uniform(1, 2))

    def stored_rows(self, fingerprint: str) -> list[Condition]:
        """Return the rows of a request that the table has shown."""
        return [
            Condition(row_key(fingerprint, strike_id), strike.version)
            for strike_id, strike in self.crashes.get(fingerprint, {}).items()
            if strike.version
        ]

    async def delete_rows(self, rows: Sequence[Condition]) -> None:
        """Delete rows, as far as no other entry VM has."""
        rows = rows[:MAX_DELETED_ROWS]
        if not rows:
            return
        deleted = await self.store.transact(
            rows, [Put(row.row_key, None) for row in rows]
        )
        if isinstance(deleted, Err):
            cause = str(deleted.err_value)
            logger.warning("crashes were not deleted", extra={"cause": cause})

    async def delete_strikes(self, fingerprint: str) -> None:
        """Delete the rows of a request that has completed, until none is left.

        The row of a strike that the table has not shown yet is deleted once it has.
        """
        delay_ms = random.uniform(0, MAX_DELETE_DELAY_MS)
        try:
            await self.clock.sleep_ms(delay_ms)
            while rows := self.stored_rows(fingerprint):
                logger.info(
                    "crashes do not count against a request that has completed",
                    extra={"fingerprint": fingerprint, "crashes": len(rows)},
                )
                await self.delete_rows(rows)
                # The table shows what is deleted within this time.
                await self.clock.sleep_ms(RETRY_INTERVAL_MS * random.uniform(1, 2))
        finally:
            self.clearing.discard(fingerprint)

    def replace_rows(self, rows: Sequence[StoredRow]) -> None:
        """Replace the stored crashes; those that are not stored yet are kept."""
        crashes, self.crashes, self.suspects = self.crashes, OrderedDict(), {}
        for fingerprint, strikes in crashes.items():
            for strike_id, strike in strikes.items():
                if not strike.version:
                    self.add(fingerprint, strike_id, strike)
        self.change_rows(rows)

    def change_rows(self, rows: Sequence[StoredRow]) -> None:
        """Apply stored and deleted crashes."""
        for row in rows:
            fingerprint, _, strike_id = row.row_key.key.partition(".")
            if row.deleted:
                self.drop(fingerprint, strike_id)
                continue
            crash = row.value.decode("utf-8", "replace")
            self.add(fingerprint, strike_id, Strike(crash, row.version))
            if fingerprint in self.completed:
                self.clear(fingerprint)
