"""Models of the settings file, with defaults for current site sizes."""

from pydantic import BaseModel, ConfigDict, Field


class StrictModel(BaseModel):
    """Immutable base model that rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class PeerSeed(StrictModel):
    """Entry VM that is contacted at startup to find the others."""

    name: str
    address: str = Field(pattern=r"^[0-9.]+:\d+$")


class PlatformEndpoints(StrictModel):
    """Base URLs of the platform's services."""

    tables: str = Field(pattern=r"^https?://")
    objects: str = Field(pattern=r"^https?://")
    weights: str = Field(pattern=r"^https?://")
    vms: str = Field(pattern=r"^https?://")
    timeout_ms: int = Field(1_000, ge=10, le=60_000)


class CurveKeyPair(StrictModel):
    """Z85-encoded CURVE keys of the site; the same on all its entry VMs."""

    public: str = Field(min_length=40, max_length=40)
    secret: str = Field(min_length=40, max_length=40)


class Tokens(StrictModel):
    """Bearer tokens: of operators by name, of callers and trainers by party."""

    operators: dict[str, str] = {}
    parties: dict[str, str] = {}


class Tls(StrictModel):
    """Files of the TLS certificate presented to callers and of its private key."""

    certificate: str
    private_key: str


class Limits(StrictModel):
    """Size limits and default timeouts of one entry VM."""

    body_bytes: int = Field(8_000_000, ge=1_000)
    queue_requests: int = Field(2_000, ge=1)
    window_start: int = Field(24, ge=1)
    window_max: int = Field(64, ge=1)
    default_deadline_ms: int = Field(60_000, ge=100)
    header_timeout_ms: int = Field(10_000, ge=100)
    journal_rows: int = Field(50_000, ge=1)
    journal_bytes: int = Field(64_000_000, ge=1_000)


class Policy(StrictModel):
    """Parameters of the scheduling policy; see docs/settings.md for each key."""

    profile: str = Field("balanced", pattern="^(balanced|idle_time|tail_latency)$")
    long_factor: float = Field(4.0, gt=1)
    long_share: float = Field(0.5, gt=0, le=1)
    long_floor: float = Field(0.2, ge=0, le=1)
    group_imbalance: float = Field(1.5, ge=1)
    swap_share: float = Field(0.25, gt=0, le=1)
    hedge: bool = True


class Timing(StrictModel):
    """Intervals and timeouts in milliseconds."""

    heartbeat_ms: int = Field(500, ge=20)
    poll_ms: int = Field(1_000, ge=20)
    vm_list_ms: int = Field(1_000, ge=20)
    gossip_ms: int = Field(5_000, ge=50)
    balancer_grace_ms: int = Field(2_000, ge=0)
    shutdown_limit_ms: int = Field(900_000, ge=0)
    stall_ms: int = Field(2_000, ge=100)
    journal_flush_ms: int = Field(50, ge=1)
    key_retention_ms: int = Field(900_000, ge=1_000)


class Settings(StrictModel):
    """Settings of one entry VM process."""

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9-]*$")
    failure_domain: str = Field(pattern=r"^[a-z0-9][a-z0-9-]*$")
    region: str = Field(pattern=r"^[a-z0-9][a-z0-9-]*$")
    http_address: str = Field(pattern=r"^[0-9.]+:\d+$")
    peer_address: str = Field(pattern=r"^[0-9.]+:\d+$")
    peers: list[PeerSeed] = []
    platform: PlatformEndpoints
    curve: CurveKeyPair
    key_secret: str = Field(min_length=16)
    tokens: Tokens = Tokens()
    tls: Tls | None = None
    statsd_address: str | None = None
    log_level: str = Field("info", pattern="^(debug|info|warning|error)$")
    allow_fault_injection: bool = False
    limits: Limits = Limits()
    policy: Policy = Policy()
    timing: Timing = Timing()
