"""Shard owners of this entry VM and handling of work forwarded by peers."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

from ..interfaces import Clock
from ..outcomes import RefusedError
from ..peers import PeerBus
from ..peers.messages import (
    AnswerCall,
    AnswerChunk,
    AnswerEnd,
    ForwardCall,
    ForwardGenerate,
    Message,
    ShardDigest,
)
from .entry_router import LocalOwners
from .forward import refused_message
from .owner import ShardOwner
from .work import CallWork, GenerateWork, Work

IDLE_TIMEOUT_MS = 60_000
MAX_LISTED_JOBS = 5  # in the log text about the jobs that delay a shutdown


class OwnerTable(LocalOwners):
    """Creates the owner of a shard on first use and closes idle ones.

    Parameters
    ----------
    make_owner : callable
        ``make_owner(service, shard)`` returns a new `ShardOwner`.
    clock : Clock
        Time source for the idle timeout.
    owned : callable
        Returns the (service, shard) pairs that this entry VM owns.
    idle_timeout_ms : float
        Time without work after which the owner of a shard that this entry VM does
        not own is closed.
    """

    def __init__(
        self,
        make_owner: Callable[[str, int], ShardOwner],
        clock: Clock,
        owned: Callable[[], list[tuple[str, int]]] = list,
        idle_timeout_ms: float = IDLE_TIMEOUT_MS,
    ) -> None:
        self.make_owner = make_owner
        self.clock = clock
        self.owned = owned
        self.idle_timeout_ms = idle_timeout_ms
        self.owners: dict[tuple[str, int], ShardOwner] = {}
        self.closed_owners_served: Counter[str] = Counter()
        self.draining = False

    def owner(self, service: str, shard: int) -> ShardOwner:
        """Return the owner of a shard, creating it on first use."""
        key = (service, shard)
        if key not in self.owners:
            self.owners[key] = self.make_owner(service, shard)
            self.owners[key].draining = self.draining
        return self.owners[key]

    def register(self, bus: PeerBus) -> None:
        """Register the handlers of forwarded work."""
        bus.on(ForwardGenerate, self.on_generate)
        bus.on(ForwardCall, self.on_call)

    async def on_generate(self, message: ForwardGenerate) -> AsyncIterator[Message]:
        """Run a forwarded generation; yield its chunks and an end or a refusal."""
        owner = self.owner(message.service, message.shard)
        tokens = 0
        try:
            async with aclosing(owner.generate(work_from_message(message))) as chunks:
                async for chunk in chunks:
                    tokens += chunk.tokens
                    yield AnswerChunk(
                        chunk.text, chunk.tokens, chunk.version, chunk.server
                    )
        except RefusedError as error:
            yield refused_message(error.refusal)
            return
        yield AnswerEnd(tokens)

    async def on_call(self, message: ForwardCall) -> Message:
        """Run a forwarded call; return its response or refusal as a message."""
        owner = self.owner(message.service, message.shard)
        try:
            response = await owner.call(work_from_message(message))
        except RefusedError as error:
            return refused_message(error.refusal)
        return AnswerCall(
            response.status, response.body, response.content_type, response.server
        )

    def digests(self) -> list[ShardDigest]:
        """Return the load of all shards that have an owner here."""
        return [owner.digest() for owner in self.owners.values()]

    @property
    def served(self) -> dict[str, int]:
        """Tokens served by ``service/party`` since process start, over all owners."""
        total = Counter(self.closed_owners_served)
        for owner in self.owners.values():
            total.update(served_by_service_party(owner))
        return dict(total)

    @property
    def backlogged(self) -> list[str]:
        """Sorted ``service/party`` keys with work waiting at any owner."""
        return sorted(
            {
                f"{owner.service}/{party}"
                for owner in self.owners.values()
                for party in owner.backlogged
            }
        )

    def create_owned(self) -> None:
        """Create the owners of all owned shards; to be called periodically.

        This publishes the load of a shard to peers, and the state of its servers to
        operators, before the first request arrives.
        """
        if self.draining:
            return
        for service, shard in self.owned():
            self.owner(service, shard)

    async def drop_idle(self) -> None:
        """Close idle owners of shards not owned here; to be called periodically."""
        now = self.clock.monotonic_ms()
        owned = set(self.owned())
        for key, owner in list(self.owners.items()):
            if (
                key not in owned
                and not owner.jobs
                and now - owner.last_used_ms > self.idle_timeout_ms
            ):
                del self.owners[key]
                self.closed_owners_served.update(served_by_service_party(owner))
                await owner.close()

    async def drain(self) -> None:
        """Refuse queued work as moved and wait for running work of all owners."""
        self.draining = True
        await asyncio.gather(*(owner.drain() for owner in self.owners.values()))

    def describe_jobs(self) -> str:
        """Return a text with the number of jobs and the servers of the first few."""
        jobs = [job for owner in self.owners.values() for job in owner.jobs]
        descriptions = [
            f"{job.work.request_id} on "
            + (", ".join(a.slot.name for a in job.attempts) or "no server")
            for job in jobs[:MAX_LISTED_JOBS]
        ]
        return f"{len(jobs)} jobs: {'; '.join(descriptions)}"

    async def close(self) -> None:
        """Close all owners."""
        self.draining = True
        owners, self.owners = list(self.owners.values()), {}
        for owner in owners:
            self.closed_owners_served.update(served_by_service_party(owner))
        await asyncio.gather(*(owner.close() for owner in owners))


def served_by_service_party(owner: ShardOwner) -> dict[str, int]:
    """Return an owner's served tokens by ``service/party``."""
    return {f"{owner.service}/{party}": n for party, n in owner.served.items()}


def work_from_message(message: ForwardGenerate | ForwardCall) -> Work:
    """Return the work that a forwarding message describes."""
    common = (message.request_id, message.party, message.service)
    if isinstance(message, ForwardCall):
        return Work(
            *common,
            CallWork(message.body, message.content_type),
            idempotent=message.idempotent,
            deadline_ms=message.deadline_ms,
            strikes=message.strikes,
            exclude=tuple(message.exclude),
        )
    return Work(
        *common,
        GenerateWork(
            message.prompt, message.max_tokens, message.seed, message.generated
        ),
        idempotent=message.idempotent,
        deadline_ms=message.deadline_ms,
        group=message.group,
        min_version=message.min_version,
        strikes=message.strikes,
        exclude=tuple(message.exclude),
    )
