"""Routes, services, and the configuration that contains them."""

from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """Kind of a route, which decides whether its requests may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer whose callers identify themselves with a key.

    Parameters
    ----------
    priority : int or None
        Takes precedence over the priority of the route; 0 is the highest. None for a
        customer without a priority of its own.
    """

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class Target:
    """A service and its weight in a route that is split between services."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Rule for requests to one host and path prefix.

    Parameters
    ----------
    timeout_ms : float
        Maximum time until the response to a caller.
    target_latency_ms : float
        Maximum latency of a response that is on time.
    attempts : int
        Maximum number of servers that may run one request.
    retention_ms : float
        Age of a batch from which its items may be abandoned.
    result_deadline_ms : float
        Age of a batch at which all of its results are due.
    single_version : bool
        Whether all events of a result must come from one weight version.
    resumable : bool
        Whether a stream may be resumed on another server.
    public : bool
        Whether requests need no key where the configuration has customers.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_ms: float = 10_000
    target_latency_ms: float = 1_000
    priority: int = 0
    attempts: int = 1
    retention_ms: float = 60_000
    result_deadline_ms: float = 10_000
    single_version: bool = False
    resumable: bool = False
    public: bool = False


@dataclass(frozen=True, slots=True)
class EngineShape:
    """Capacity of each engine of a model service.

    Parameters
    ----------
    slots : int
        Maximum number of requests in an engine's batch.
    kv_tokens : int
        Number of tokens that fit into the KV cache.
    tokens_per_event : int
        Number of tokens in one stream event.
    models : tuple of str
        Models that every engine of the service serves.
    """

    slots: int
    kv_tokens: int
    tokens_per_event: int
    models: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ScalingSpec:
    """Bounds and prices for the number of servers of a service.

    Parameters
    ----------
    min_servers, max_servers : int
        Bounds on the number of servers in each failure domain, reclaimable ones
        included.
    boot_ms : float
        Time from an order until a new server serves.
    reclaimable_price : float or None
        Price of a reclaimable server relative to another one in the same failure
        domain; None if there are no reclaimable servers.
    domain_prices : dict of str to float
        Price of a server second by failure domain.
    """

    min_servers: int
    max_servers: int
    boot_ms: float
    reclaimable_price: float | None = None
    domain_prices: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service; `engine` is set only for model services.

    Parameters
    ----------
    scaling : ScalingSpec or None
        Set for a service whose number of servers the system chooses.
    """

    name: str
    max_connections: int
    engine: EngineShape | None = None
    scaling: ScalingSpec | None = None


@dataclass(frozen=True, slots=True)
class Configuration:
    """All routes, services and customers of one configuration version.

    Parameters
    ----------
    idle_timeout_ms : float
        Time after which a caller that takes nothing of a response is disconnected.
    customers : dict of str to Customer
        Customers by name; empty where callers need no key.
    customers_by_key : dict of str to Customer
        Customer of each key. Keys are secret and appear in no text.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec] = field(default_factory=dict)
    max_body_bytes: int = 33_554_432
    customers: dict[str, Customer] = field(default_factory=dict)
    customers_by_key: dict[str, Customer] = field(default_factory=dict, repr=False)
    idle_timeout_ms: float = 15_000

    @property
    def has_customers(self) -> bool:
        """Whether callers have to identify themselves with a key."""
        return bool(self.customers)
