"""Origins of streams that other entry VMs keep in memory."""

import asyncio
from collections.abc import Callable, Sequence

from result import Err
from xxhash import xxh64_intdigest

from ..fleet import ListedServer
from ..interfaces import Clock
from ..interfaces.stream_origins import OriginClient, OriginQuery, StreamOrigin

# Entry VMs that keep a copy of an origin.
COPIES = 3
# Entry VMs that are asked for an origin at once; a take-up costs no more messages in a
# larger deployment.
MAX_ASKED = 32
# Entry VMs that are asked to read the store for one that cannot.
MAX_STORE_READERS = 3
# The other entry VMs answer within some 30 ms, also in other regions.
TIMEOUT_MS = 250.0
# The same, and two reads of a store that is slowed down sixtyfold.
READ_STORE_TIMEOUT_MS = 850.0
# An entry VM that did not answer is the last choice for this time.
BACKOFF_MS = 5_000.0
# Streams share the ranking of the entry VMs by a hash of their ids.
BUCKETS = 64


class OriginPeers:
    """Other entry VMs, as keepers of the origins of streams.

    Each stream has its own ranking of the entry VMs, by rendezvous hashing. Its origin
    is copied to the first ones, and asked for in the same order.

    Parameters
    ----------
    client : OriginClient
        Connections to other entry VMs.
    list_entry_vms : callable
        Returns the other entry VMs that are announced.
    clock : Clock
        Source of time.

    Attributes
    ----------
    failed_ms : dict of str to float
        Time at which an entry VM did not answer, by its name.
    sending : set of asyncio.Task
        Copies under way.
    """

    def __init__(
        self,
        client: OriginClient,
        list_entry_vms: Callable[[], list[ListedServer]],
        clock: Clock,
    ) -> None:
        self.client = client
        self.list_entry_vms = list_entry_vms
        self.clock = clock
        self.failed_ms: dict[str, float] = {}
        self.sending: set[asyncio.Task[list[StreamOrigin]]] = set()

    def rank(self, bucket: int) -> list[ListedServer]:
        """Return the entry VMs in the order of one bucket, silent ones last."""
        now = self.clock.monotonic_ms()
        self.failed_ms = {
            name: failed_ms
            for name, failed_ms in self.failed_ms.items()
            if now - failed_ms < BACKOFF_MS
        }
        return sorted(
            self.list_entry_vms(),
            key=lambda entry_vm: (
                entry_vm.name in self.failed_ms,
                xxh64_intdigest(f"{bucket} {entry_vm.name}".encode()),
            ),
        )

    async def find(self, query: OriginQuery) -> str | None:
        """Return the first answer of an entry VM that knows an origin; None for none.

        Without the store, it is the memory of these entry VMs that is asked.
        """
        count = MAX_STORE_READERS if query.may_read_store else MAX_ASKED
        timeout_ms = READ_STORE_TIMEOUT_MS if query.may_read_store else TIMEOUT_MS
        asked = [
            asyncio.create_task(self.ask(entry_vm, query, timeout_ms))
            for entry_vm in self.rank(bucket_of(query.stream_id))[:count]
        ]
        try:
            for answered in asyncio.as_completed(asked):
                version = await answered
                if version is not None:
                    return version
            return None
        finally:
            for task in asked:
                task.cancel()

    async def ask(
        self, entry_vm: ListedServer, query: OriginQuery, timeout_ms: float
    ) -> str | None:
        """Return the version that one entry VM knows; None for none in time."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                answer = await self.client.find(entry_vm.endpoint, query)
        except TimeoutError:
            self.record_failure(entry_vm)
            return None
        if isinstance(answer, Err):
            self.record_failure(entry_vm)
            return None
        return answer.ok_value

    async def replicate(self, origins: Sequence[StreamOrigin]) -> dict[str, str]:
        """Have other entry VMs keep origins, and return once each has a copy.

        Returns
        -------
        dict of str to str
            Software version of each stream that at least one entry VM keeps now.
            Streams are missing if none of the first entry VMs of their rankings
            answered in time; the next call chooses others.
        """
        kept: dict[str, str] = {}
        sending = {
            asyncio.create_task(self.send(entry_vm, its_origins))
            for entry_vm, its_origins in self.choose_keepers(origins)
        }
        for task in sending:
            self.sending.add(task)
            task.add_done_callback(self.sending.discard)
        while sending and len(kept) < len(origins):
            done, sending = await asyncio.wait(
                sending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                for origin in task.result():
                    kept.setdefault(origin.stream_id, origin.software_version)
        return kept

    def choose_keepers(
        self, origins: Sequence[StreamOrigin]
    ) -> list[tuple[ListedServer, list[StreamOrigin]]]:
        """Return the entry VMs that get copies, and the origins for each."""
        rankings: dict[int, list[ListedServer]] = {}
        chosen: dict[str, tuple[ListedServer, list[StreamOrigin]]] = {}
        for origin in origins:
            bucket = bucket_of(origin.stream_id)
            if bucket not in rankings:
                rankings[bucket] = self.rank(bucket)[:COPIES]
            for entry_vm in rankings[bucket]:
                _, its_origins = chosen.setdefault(entry_vm.name, (entry_vm, []))
                its_origins.append(origin)
        return list(chosen.values())

    async def send(
        self, entry_vm: ListedServer, origins: list[StreamOrigin]
    ) -> list[StreamOrigin]:
        """Have one entry VM keep origins; return those that it keeps, in time."""
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000):
                answer = await self.client.replicate(entry_vm.endpoint, origins)
        except TimeoutError:
            self.record_failure(entry_vm)
            return []
        if isinstance(answer, Err):
            self.record_failure(entry_vm)
            return []
        return answer.ok_value

    def record_failure(self, entry_vm: ListedServer) -> None:
        """Prefer other entry VMs for some time."""
        self.failed_ms[entry_vm.name] = self.clock.monotonic_ms()


def bucket_of(stream_id: str) -> int:
    """Return the number of the ranking that a stream uses."""
    return xxh64_intdigest(stream_id.encode()) % BUCKETS
