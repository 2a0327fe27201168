"""Decoders of the rows that the operator, trainers and backend servers write."""

import msgspec

from ..fleet.model import ListedServer, ServerStage
from ..interfaces.row_store import StoredRow
from ..interfaces.server_client import ModelVersion
from ..routes.model import (
    Configuration,
    Customer,
    EngineShape,
    Route,
    RouteKind,
    ScalingSpec,
    ServiceSpec,
    Target,
)
from . import value_types, wire_names
from .value_types import (
    Count,
    Milliseconds,
    Seconds,
    UnixMilliseconds,
    check_address,
    check_header_text,
)

ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAMING,
    "rollout": RouteKind.BATCH,
    "batch": RouteKind.BATCH,
}
SERVER_STAGES = {"ready": ServerStage.READY, "draining": ServerStage.LEAVING}


class WireTarget(msgspec.Struct):
    """Service of a split route, with its weight."""

    Service: str
    Weight: value_types.Weight = 1.0


class WireRoute(msgspec.Struct):
    """Route; `Backends` splits its requests among several services."""

    Name: str
    Host: str
    Prefix: str
    Kind: str
    Service: str = ""
    Backends: list[WireTarget] = []
    TimeoutMs: Milliseconds = 10_000
    TargetLatencyMs: Milliseconds = 1_000
    Priority: Count = 0
    Attempts: Count = 1
    RetentionS: Seconds = 60.0
    ResultDeadlineMs: Milliseconds = 10_000
    SingleVersion: bool = False
    Resumable: bool = False
    Public: bool = False

    def decode(self) -> Route:
        """Return the route as the internal type."""
        targets = tuple(Target(t.Service, t.Weight) for t in self.Backends)
        if not targets:
            targets = (Target(self.Service, 1.0),)
        return Route(
            name=self.Name,
            host=self.Host.lower(),
            prefix=self.Prefix,
            kind=ROUTE_KINDS.get(self.Kind, RouteKind.NON_IDEMPOTENT),
            targets=targets,
            timeout_ms=self.TimeoutMs,
            target_latency_ms=self.TargetLatencyMs,
            priority=self.Priority,
            attempts=max(1, self.Attempts),
            retention_ms=self.RetentionS * 1_000,
            result_deadline_ms=self.ResultDeadlineMs,
            single_version=self.SingleVersion,
            resumable=self.Resumable,
            public=self.Public,
        )


class WireEngineModel(msgspec.Struct):
    """Model of an engine service."""

    Name: str


class WireEngine(msgspec.Struct):
    """Engine of a service; `Stride` is the number of tokens per stream event."""

    Slots: Count = 1
    KvCapacity: Count = 0
    Stride: Count = 1
    Models: list[WireEngineModel] = []


class WireScaling(msgspec.Struct):
    """Bounds and prices of a service's servers, per failure domain.

    `SpotPrice` is relative to the price of the other servers; `ZonePrices` are prices
    of a server second.
    """

    Min: Count = 0
    Max: Count = 1
    BootS: Seconds = 0.0
    SpotPrice: value_types.Weight | None = None
    ZonePrices: dict[str, value_types.Weight] = {}

    def decode(self) -> ScalingSpec:
        """Return the bounds and prices as the internal type."""
        return ScalingSpec(
            min_servers=max(0, self.Min),
            max_servers=max(0, self.Min, self.Max),
            boot_ms=self.BootS * 1_000,
            reclaimable_price=self.SpotPrice,
            domain_prices=dict(self.ZonePrices),
        )


class WireTenant(msgspec.Struct):
    """Customer; 0 is the highest priority."""

    Name: str
    ApiKeys: list[str] = []
    Priority: Count | None = None

    def __repr__(self) -> str:
        """Return a text without the keys."""
        return f"{type(self).__name__}(Name={self.Name!r})"


class WireService(msgspec.Struct):
    """Service; only model services have an engine."""

    Name: str
    MaxConns: Count = 100
    Engine: WireEngine | None = None
    Scaling: WireScaling | None = None

    def decode(self) -> ServiceSpec:
        """Return the service as the internal type."""
        engine = None
        if self.Engine is not None:
            engine = EngineShape(
                slots=self.Engine.Slots,
                kv_tokens=self.Engine.KvCapacity,
                tokens_per_event=self.Engine.Stride,
                models=tuple(model.Name for model in self.Engine.Models),
            )
        scaling = self.Scaling.decode() if self.Scaling is not None else None
        return ServiceSpec(self.Name, self.MaxConns, engine, scaling)


class WireLimits(msgspec.Struct, frozen=True):
    """Limits for requests of callers."""

    MaxBodyBytes: Count = 33_554_432
    IdleTimeoutMs: Milliseconds = 15_000


class WireConfiguration(msgspec.Struct):
    """Complete configuration written by the operator."""

    Version: Count
    Routes: list[WireRoute]
    Services: list[WireService] = []
    Limits: WireLimits = WireLimits()
    Tenants: list[WireTenant] = []


class WireServer(msgspec.Struct):
    """Row that a backend server writes.

    `Version` is the version of its software. `UseSpot` says that the platform may
    reclaim it, and `leaves_ms` is the remaining time of one that leaves.
    """

    Service: str
    Address: str
    Zone: str
    State: str
    Version: str = ""
    Slots: value_types.Slots = 1
    ColdRemainingMs: Milliseconds = 0
    Models: list["WireModelVersion"] = []
    born: UnixMilliseconds | None = None
    UseSpot: bool = False
    leaves_ms: Milliseconds | None = None


class WireModelVersion(msgspec.Struct):
    """Loaded weight version of a model."""

    Name: str
    Version: Count = 0


class WireWeightVersion(msgspec.Struct):
    """Row in which a trainer announces the newest weight version of a model."""

    Model: str
    Version: Count


def decode_customers(
    tenants: list[WireTenant],
) -> tuple[dict[str, Customer], dict[str, Customer]]:
    """Return the customers by name and by key.

    Raises
    ------
    msgspec.ValidationError
        If two customers have the same name or key. The text contains no key.
    """
    by_name: dict[str, Customer] = {}
    by_key: dict[str, Customer] = {}
    for tenant in tenants:
        if not tenant.Name or not tenant.Name.isprintable():
            raise msgspec.ValidationError(
                f"customer name {tenant.Name!r} cannot be sent in a header"
            )
        customer = Customer(tenant.Name, tenant.Priority)
        if tenant.Name in by_name:
            raise msgspec.ValidationError(f"customer {tenant.Name!r} stands twice")
        by_name[tenant.Name] = customer
        for key in tenant.ApiKeys:
            owner = by_key.setdefault(key, customer)
            if owner is not customer:
                raise msgspec.ValidationError(
                    f"customers {owner.name!r} and {customer.name!r} have the same key"
                )
    return by_name, by_key


def decode_configuration(value: bytes) -> Configuration:
    """Return a configuration; raise `msgspec.MsgspecError` if it is malformed."""
    wire = msgspec.json.decode(value, type=WireConfiguration)
    customers, customers_by_key = decode_customers(wire.Tenants)
    services = {service.Name: service.decode() for service in wire.Services}
    return Configuration(
        version=wire.Version,
        routes=tuple(route.decode() for route in wire.Routes),
        services=services,
        max_body_bytes=wire.Limits.MaxBodyBytes,
        idle_timeout_ms=wire.Limits.IdleTimeoutMs,
        customers=customers,
        customers_by_key=customers_by_key,
    )


def decode_server(row: StoredRow) -> ListedServer:
    """Return a listed server; raise `msgspec.MsgspecError` if it is malformed."""
    wire = msgspec.json.decode(row.value, type=WireServer)
    stage = SERVER_STAGES.get(wire.State)
    if stage is None:
        raise msgspec.ValidationError(f"unknown state {wire.State!r}")
    return ListedServer(
        name=check_header_text(row.row_key.key, "name"),
        service=wire.Service,
        address=check_address(wire.Address),
        failure_domain=wire.Zone,
        stage=stage,
        slots=max(1, wire.Slots),
        cold_ms=wire.ColdRemainingMs,
        models=tuple(ModelVersion(m.Name, m.Version) for m in wire.Models),
        started_ms=wire.born,
        software_version=wire.Version,
        reclaimable=wire.UseSpot,
        leaves_in_ms=wire.leaves_ms,
    )


def decode_weight_version(row: StoredRow) -> ModelVersion:
    """Return an announced version; raise `msgspec.MsgspecError` if it is malformed."""
    wire = msgspec.json.decode(row.value, type=WireWeightVersion)
    return ModelVersion(wire.Model, wire.Version)


def is_configuration(row: StoredRow) -> bool:
    """Return whether a row of the operator's table is the configuration."""
    return row.row_key.key == wire_names.CONFIG_KEY


def is_weight_version(row: StoredRow) -> bool:
    """Return whether a row of the operator's table announces a weight version."""
    return row.row_key.key.startswith(wire_names.WEIGHT_VERSION_PREFIX)
