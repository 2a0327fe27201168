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
class ServiceSpec:
    """A service; `engine` is set only for model services."""

    name: str
    max_connections: int
    engine: EngineShape | None = None


@dataclass(frozen=True, slots=True)
class Configuration:
    """All routes and services of one configuration version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec] = field(default_factory=dict)
    max_body_bytes: int = 33_554_432
