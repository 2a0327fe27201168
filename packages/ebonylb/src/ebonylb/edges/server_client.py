"""Requests to one backend server, seen as messages instead of bytes on a wire."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from result import Result

from ..outcomes import StepError

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class ServerAddress:
    """One incarnation of a backend server as the target of a request.

    Parameters
    ----------
    name : str
        Unique name; a server found at the address under another name refuses.
    address : str
        ``ip:port`` of its HTTP interface.
    """

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """A request to run.

    Parameters
    ----------
    method, target : str
        Method, and path with query, passed on unchanged.
    headers : tuple of (str, str)
        The caller's end-to-end headers.
    body : bytes
        Whole body.
    request_id : str
        Id that the answer has to repeat.
    deadline_ms : float
        Time that the server may spend on it.
    resume_after : int or None
        Number of the last stream event already received.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    request_id: str
    deadline_ms: float
    resume_after: int | None = None


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that a server attaches to an answer.

    Parameters
    ----------
    running, waiting, slots : int
        Requests in progress and queued, and places.
    slowdown : float
        Duration of work on its machine now, relative to the usual one.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of a stream.

    Parameters
    ----------
    number : int
        Position in the stream, from 1.
    data : str
        Payload.
    weight_version : int or None
        Set where the version changes with this event.
    """

    number: int
    data: str
    weight_version: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an answer.

    Parameters
    ----------
    not_run : bool
        The server states that it did not run the request.
    wrong_server : bool
        Another server has the address.
    sealed : bool
        The answer carries the server's seal, so that callers accept it.
    load : ServerLoad or None
        Load at that moment.
    weight_version : int or None
        Weights that the answer begins with.
    """

    status: int
    headers: Headers
    not_run: bool = False
    wrong_server: bool = False
    sealed: bool = False
    load: ServerLoad | None = None
    weight_version: int | None = None


class ServerResponse(ABC):
    """An answer that is still being received; must be closed."""

    head: ResponseHead

    @abstractmethod
    async def body(self) -> bytes:
        """Read the whole body; raises `StepError` when it ends early."""

    @abstractmethod
    def events(self) -> AsyncIterator[StreamEvent]:
        """Read the events of a stream.

        Ends normally only at the stream's regular end; raises `StepError` when the
        connection breaks or bytes cannot be read.
        """

    @abstractmethod
    def raw_events(self) -> AsyncIterator[tuple[int, bytes]]:
        """Read whole events as (number, bytes as sent), to be passed on."""

    @abstractmethod
    def close(self) -> None:
        """Give the answer up; the server stops its work."""


@dataclass(frozen=True, slots=True)
class ModelVersion:
    """Weights of one model on a server."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class ServerReport:
    """State of a model server as it reports it.

    Parameters
    ----------
    busy : bool
        An order is being carried out.
    accepted_orders : int
        Orders accepted since the server started.
    models : tuple of ModelVersion
        Weights in place.
    """

    busy: bool
    accepted_orders: int
    models: tuple[ModelVersion, ...] = field(default=())


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """Order to change the weights of one model.

    Parameters
    ----------
    model, version
        What to load.
    mode : str
        ``"wait"``, ``"truncate"`` or ``"keep"``: what happens to running streams.
    holder : str
        Name of this entry VM.
    fence : int
        Fencing number of the lease.
    accepted_orders : int or None
        Orders that the server must have accepted so far; another number refuses.
    """

    model: str
    version: int
    mode: str
    holder: str
    fence: int
    accepted_orders: int | None


class ServerClient(ABC):
    """Sends requests and orders to backend servers."""

    @abstractmethod
    async def open(
        self, server: ServerAddress, request: ServerRequest
    ) -> Result[ServerResponse, StepError]:
        """Send a request and return its answer once the head has arrived.

        The error says ``may_have_run=False`` only when no byte of it was sent.
        """

    @abstractmethod
    async def read_report(
        self, server: ServerAddress
    ) -> Result[ServerReport, StepError]:
        """Read the state of a model server."""

    @abstractmethod
    async def send_order(
        self, server: ServerAddress, order: VersionOrder
    ) -> Result[int, StepError]:
        """Give an order and return the status of the answer."""

    @abstractmethod
    async def is_reachable(self, server: ServerAddress) -> bool:
        """Tell whether the server accepts a connection."""
