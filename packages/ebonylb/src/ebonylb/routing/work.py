"""Work that an entry VM sends to a shard owner, and the interface that runs it."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from ..interfaces import CallResponse


@dataclass(slots=True)
class GenerateWork:
    """Payload of a generation, with the fields of `interfaces.GenerateRequest`."""

    prompt: str
    max_tokens: int
    seed: int = 0
    generated: str = ""


@dataclass(slots=True)
class CallWork:
    """Payload of a plain-service call."""

    body: bytes
    content_type: str


@dataclass(slots=True)
class Work:
    """One request on its way to a backend server.

    Parameters
    ----------
    request_id : str
        Unique per attempt; the caller's request id is its prefix.
    party : str
        Holder of the share that is charged.
    service : str
        Service that runs the work.
    payload : GenerateWork or CallWork
        Parameters of the generation or call.
    idempotent : bool
        Whether the work may be run again after an unclear outcome.
    deadline_ms : float
        Remaining time in milliseconds from receipt by the current process.
    group : str
        Requests of one group share a prefix and go to one server; empty for none.
    min_version : int
        Minimum weight version; 0 for any.
    strikes : int
        Number of server crashes that this request is suspected of.
    exclude : tuple of str
        Servers that must not get the work, such as those of earlier attempts.
    """

    request_id: str
    party: str
    service: str
    payload: GenerateWork | CallWork
    idempotent: bool = True
    deadline_ms: float = 60_000.0
    group: str = ""
    min_version: int = 0
    strikes: int = 0
    exclude: tuple[str, ...] = field(default=())

    @property
    def kind(self) -> str:
        """Kind of the payload, used to predict sizes."""
        return "generate" if isinstance(self.payload, GenerateWork) else "call"


@dataclass(frozen=True, slots=True)
class Chunk:
    """Part of a generated text, with the weight version and server it came from."""

    text: str
    tokens: int
    version: int
    server: str


class Executor(ABC):
    """Runs work.

    Implemented by the entry router for callers and by shard owners for forwarded
    work.
    """

    @abstractmethod
    def generate(self, work: Work) -> AsyncIterator[Chunk]:
        """Stream a generation; the iterator ends normally only when it is complete.

        Closing the iterator early cancels the work.

        Raises
        ------
        RefusedError
            The work was refused; no further attempt is made.
        """

    @abstractmethod
    async def call(self, work: Work) -> CallResponse:
        """Run a plain-service call.

        Raises
        ------
        RefusedError
            The work was refused; no further attempt is made.
        """
