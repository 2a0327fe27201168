"""Routes, services and the configuration that holds them."""

from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class Target:
    """A service with its share of a split route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Rule for requests of one host and path prefix.

    Parameters
    ----------
    timeout_ms : float
        Longest time that a caller is kept waiting.
    target_latency_ms : float
        Answers within it are on time.
    attempts : int
        Servers that one request may be sent to.
    retention_ms : float
        Age at which items of a batch may be given up.
    result_deadline_ms : float
        Age at which all results of a batch are due.
    single_version : bool
        All events of a result must come from one weight version.
    resumable : bool
        A stream may be continued on another server.
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
    """Size of the engines of a model service.

    Parameters
    ----------
    slots : int
        Requests in the batch at once.
    kv_tokens : int
        Tokens that fit into the memory.
    tokens_per_event : int
        Tokens of one stream event.
    models : tuple of str
        Models that every engine of the service serves.
    """

    slots: int
    kv_tokens: int
    tokens_per_event: int
    models: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service; `engine` is set for model services."""

    name: str
    max_connections: int
    engine: EngineShape | None = None


@dataclass(frozen=True, slots=True)
class Configuration:
    """All routes and services of one version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec] = field(default_factory=dict)
    max_body_bytes: int = 33_554_432
