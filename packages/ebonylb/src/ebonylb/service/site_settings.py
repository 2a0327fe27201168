"""What a process on the users' platform learns from its settings."""

import msgspec


class Bounds(msgspec.Struct, frozen=True):
    """Time limits agreed with the platform; the defaults are today's sites'.

    Attributes
    ----------
    drain_ms : float
        A leaving backend server gets no new work after this.
    grace_ms : float
        Time between SIGTERM and SIGKILL.
    lease_ms : float
        Two entry VMs may not order one server within this time.
    cancel_ms : float
        After the acknowledged end of a batch none of its items starts later.
    settle_ms : float
        An accepted batch can be read everywhere after this.
    result_retention_ms : float
        Results stay readable this long after the submission.
    config_apply_ms : float
        A stored configuration is in force everywhere after this.
    stable_window_ms : float
        Time after which an entry VM is held to the limits again after a fault.
    """

    drain_ms: float = 2_500
    grace_ms: float = 8_000
    lease_ms: float = 3_000
    cancel_ms: float = 3_000
    settle_ms: float = 1_000
    result_retention_ms: float = 120_000
    config_apply_ms: float = 2_500
    stable_window_ms: float = 4_000


class SiteSettings(msgspec.Struct, frozen=True):
    """Identity and addresses of this entry VM.

    Attributes
    ----------
    name, failure_domain, region : str
        This entry VM and where it is.
    caller_address, ready_address : str
        ``ip:port`` for callers, and for the balancer's readiness check.
    store_address : str
        ``ip:port`` of the platform's store.
    regions : dict of str to str
        Region of each failure domain.
    metrics_address : str
        ``ip:port`` of the metrics page; empty for none.
    row_bytes : int
        Largest row value that the store takes.
    bounds : Bounds
        Agreed time limits.
    """

    name: str
    failure_domain: str
    region: str
    caller_address: str
    ready_address: str
    store_address: str
    regions: dict[str, str] = {}
    metrics_address: str = ""
    row_bytes: int = 65_536
    bounds: Bounds = Bounds()
