"""Settings of an entry VM on the users' platform."""

import msgspec


class Bounds(msgspec.Struct, frozen=True):
    """Time limits agreed with the platform; the defaults are those of current sites.

    Attributes
    ----------
    drain_ms : float
        A leaving backend server receives no new work after this.
    grace_ms : float
        Time between SIGTERM and SIGKILL.
    lease_ms : float
        Two entry VMs must not send orders to the same server within this time.
    cancel_ms : float
        No item starts later than this after the end of its batch is acknowledged.
    settle_ms : float
        An accepted batch can be read at every entry VM after this.
    result_retention_ms : float
        Results stay readable this long after the submission.
    config_apply_ms : float
        A stored configuration is in force at every entry VM after this.
    stable_window_ms : float
        Time after a fault until an entry VM must keep the limits again.
    strict_revoke : bool
        Whether no request may run with a key that was taken away longer than
        `revoke_ms` ago, also at an entry VM that is cut off from the store.
    revoke_ms : float
        Time between the acknowledgement of a configuration and the last request that
        may run with a key that it takes away.
    report_window_ms : float
        Length of the windows of usage reports; 0 if no usage is reported.
    usage_late_ms : float
        The usage of a window is due this long after its end.
    """

    drain_ms: float = 2_500
    grace_ms: float = 8_000
    lease_ms: float = 3_000
    cancel_ms: float = 3_000
    settle_ms: float = 1_000
    result_retention_ms: float = 120_000
    config_apply_ms: float = 2_500
    stable_window_ms: float = 4_000
    strict_revoke: bool = False
    revoke_ms: float = 5_000
    report_window_ms: float = 0
    usage_late_ms: float = 10_000


class SiteSettings(msgspec.Struct, frozen=True):
    """Identity and addresses of this entry VM.

    Attributes
    ----------
    name, failure_domain, region : str
        Name and location of this entry VM.
    caller_address, ready_address : str
        ``ip:port`` for callers, and for the balancer's readiness check.
    store_address : str
        ``ip:port`` of the platform's store.
    regions : dict of str to str
        Region of each failure domain.
    relay_address : str
        ``ip:port`` for requests that other entry VMs pass on; empty to accept none.
    metrics_address : str
        ``ip:port`` of the metrics page; empty to disable it.
    row_bytes : int
        Maximum size of a row value in the store.
    memory_bytes : int
        Memory limit of the process; 0 if unknown.
    bounds : Bounds
        Time limits agreed with the platform.
    control_plane_address : str
        ``ip:port`` for usage reports and orders of servers; empty if there are none.
    duties : tuple of str
        Duties of the entry VMs towards that address: ``"usage_report"``,
        ``"autoscale"``.
    duty_calls_per_s : float
        Calls a second that it accepts from all entry VMs together.
    """

    name: str
    failure_domain: str
    region: str
    caller_address: str
    ready_address: str
    store_address: str
    regions: dict[str, str] = {}
    relay_address: str = ""
    metrics_address: str = ""
    row_bytes: int = 65_536
    memory_bytes: int = 0
    bounds: Bounds = Bounds()
    control_plane_address: str = ""
    duties: tuple[str, ...] = ()
    duty_calls_per_s: float = 50.0
