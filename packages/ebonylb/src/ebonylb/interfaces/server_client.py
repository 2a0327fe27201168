"""Interface for requests and orders to backend servers, as parsed messages."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from result import Result

from ..outcomes import Refusal, StepError

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class ServerAddress:
    """Address of one incarnation of a backend server.

    Parameters
    ----------
    name : str
        Unique name; a server with another name at the address refuses requests.
    address : str
        ``ip:port`` of its HTTP interface.
    started_ms : int or None
        Unix time of the start of this incarnation; None if unknown.
    """

    name: str
    address: str
    started_ms: int | None = None


@dataclass(slots=True)
class ServerActivity:
    """What the connections to all servers together have received; set by the client.

    Attributes
    ----------
    last_received_ms : float
        Monotonic time of the last byte from any server.
    """

    last_received_ms: float = -1e12


@dataclass(slots=True, eq=False)
class SendProgress:
    """How far the sending of one request has come; updated by the client.

    Attributes
    ----------
    connected : bool
        Whether the request had a connection, so that bytes of it may have been sent.
    """

    connected: bool = False


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """Request to a backend server.

    Parameters
    ----------
    method, target : str
        Method, and path with query, forwarded unchanged.
    headers : tuple of (str, str)
        The caller's end-to-end headers.
    body : bytes
        Complete body.
    request_id : str
        Id that the response must repeat.
    deadline_ms : float
        Time that the server may spend on the request.
    resume_after : int or None
        Number of the last stream event already received; None for a new stream.
    progress : SendProgress
        Shows a sender that gives up whether the request may have run.
    customer : str
        Customer whose usage includes the request; empty if it is not counted.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    request_id: str
    deadline_ms: float
    resume_after: int | None = None
    progress: SendProgress = field(default_factory=SendProgress, compare=False)
    customer: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that a server reports with a response.

    Parameters
    ----------
    running, waiting, slots : int
        Number of requests in progress, of queued requests and of slots.
    slowdown : float
        Current duration of work on the server's machine relative to the usual one.
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
        New weight version if it changes with this event.
    """

    number: int
    data: str
    weight_version: int | None = None


@dataclass(frozen=True, slots=True)
class AnsweringServer:
    """Server that answered a request which another entry VM has sent to it."""

    address: ServerAddress
    software_version: str


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        End-to-end headers.
    not_run : bool
        Whether the server states that it did not run the request.
    wrong_server : bool
        Whether another server has the address.
    seal : str or None
        The server's seal on the response, without which callers reject it.
    load : ServerLoad or None
        Load of the server at the time of the response.
    weight_version : int or None
        Weight version with which the response begins.
    leaving : bool
        Whether the server states that it leaves and takes no new work.
    limit_per_s : float or None
        Requests a second that the server accepts from all entry VMs together; None if
        it names no limit.
    refusal : Refusal or None
        Set when another entry VM has refused the request in place of a server.
    answered_by : AnsweringServer or None
        Set when another entry VM has sent the request to the server.
    """

    status: int
    headers: Headers
    not_run: bool = False
    wrong_server: bool = False
    seal: str | None = None
    load: ServerLoad | None = None
    weight_version: int | None = None
    leaving: bool = False
    limit_per_s: float | None = None
    refusal: Refusal | None = None
    answered_by: AnsweringServer | None = None

    @property
    def sealed(self) -> bool:
        """Whether the response has the server's seal."""
        return self.seal is not None


class ServerResponse(ABC):
    """Response that is still being received; must be closed."""

    head: ResponseHead

    @abstractmethod
    async def body(self) -> bytes:
        """Read the complete body; raise `StepError` if it ends early."""

    @abstractmethod
    def events(self) -> AsyncIterator[StreamEvent]:
        """Iterate over the events of a stream.

        The iterator ends without an error only at the stream's regular end. It raises
        `StepError` if the connection breaks or the bytes cannot be decoded.
        """

    @abstractmethod
    def raw_events(self) -> AsyncIterator[tuple[int, bytes]]:
        """Iterate over complete events as (number, bytes as sent), for forwarding."""

    @abstractmethod
    def close(self) -> None:
        """Abandon the response; the server stops working on the request."""


@dataclass(frozen=True, slots=True)
class ModelVersion:
    """Weight version of one model."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class ServerReport:
    """State that a model server reports.

    Parameters
    ----------
    busy : bool
        Whether the server is executing an order.
    accepted_orders : int
        Number of orders accepted since the server started.
    models : tuple of ModelVersion
        Loaded weights.
    leaving : bool
        Whether the server states that it leaves and takes no new work.
    limit_per_s : float or None
        Limit as in `ResponseHead`.
    """

    busy: bool
    accepted_orders: int
    models: tuple[ModelVersion, ...] = field(default=())
    leaving: bool = False
    limit_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """Order to a server to change the weights of one model.

    Parameters
    ----------
    model : str
        Model to change.
    version : int
        Weight version to load.
    mode : str
        Treatment of running streams: ``"wait"``, ``"truncate"`` or ``"keep"``.
    holder : str
        Name of this entry VM.
    fence : int
        Fencing number of the lease.
    accepted_orders : int or None
        Number of orders that the server must have accepted so far; it refuses the
        order if the number differs. None omits the check.
    """

    model: str
    version: int
    mode: str
    holder: str
    fence: int
    accepted_orders: int | None


@dataclass(frozen=True, slots=True)
class OrderResponse:
    """Response to a weight order.

    Parameters
    ----------
    status : int
        HTTP status.
    leaving : bool
        Whether the server states that it leaves and takes no new work.
    limit_per_s : float or None
        Limit as in `ResponseHead`.
    """

    status: int
    leaving: bool = False
    limit_per_s: float | None = None


class ServerClient(ABC):
    """Client that sends requests and orders to backend servers."""

    @abstractmethod
    async def open(
        self, server: ServerAddress, request: ServerRequest
    ) -> Result[ServerResponse, StepError]:
        """Send a request and return its response once the head has arrived.

        The error has ``may_have_run=False`` only if no byte of the request was sent.
        """

    @abstractmethod
    async def read_report(
        self, server: ServerAddress
    ) -> Result[ServerReport, StepError]:
        """Read the state of a model server."""

    @abstractmethod
    async def send_order(
        self, server: ServerAddress, order: VersionOrder
    ) -> Result[OrderResponse, StepError]:
        """Send an order and return the response."""

    @abstractmethod
    async def is_reachable(self, server: ServerAddress) -> bool:
        """Return whether the server accepts a connection."""
