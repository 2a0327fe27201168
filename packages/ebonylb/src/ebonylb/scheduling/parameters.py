"""Effect of the policy's profile on the scheduler's limits."""

from dataclasses import dataclass

from ..settings import Policy


@dataclass(frozen=True, slots=True)
class SchedulingParameters:
    """Limits that the scheduler applies.

    Parameters
    ----------
    gap_limit : float
        Token gap, as a multiple of the base, above which a window shrinks.
    long_share : float
        Part of a server's window that long work may hold while short work arrives.
    long_floor : float
        Part of the slots that waiting long work gets at least.
    long_factor : float
        Long work has more predicted tokens than this multiple of the median.
    group_imbalance : float
        Load of a group's server, as a multiple of the mean, that breaks affinity.
    hedge_gain : float
        Factor by which a copy must be faster than the first attempt.
    hedge : bool
        Copies are allowed.
    """

    max_gap_ratio: float
    long_share: float
    long_floor: float
    long_factor: float
    group_imbalance: float
    min_hedge_speedup: float
    hedge: bool


# Per profile: gap_limit, factor on long_share, factor on long_floor, hedge_gain.
# Wide windows raise throughput and so cut idle time, at the cost of each token's
# latency; a small long share keeps slots free for short work. Windows that are too
# narrow harm all profiles: requests then wait in the queue for longer than they gain.
PROFILES = {
    "balanced": (2.3, 1.0, 1.0, 2.0),
    "idle_time": (2.6, 1.6, 2.0, 3.0),
    "tail_latency": (2.2, 0.7, 1.0, 1.5),
}


def scheduling_parameters(policy: Policy) -> SchedulingParameters:
    """Return the limits for a policy; its profile scales its shares."""
    max_gap_ratio, share_factor, floor_factor, gain = PROFILES[policy.profile]
    long_share = min(1.0, policy.long_share * share_factor)
    return SchedulingParameters(
        max_gap_ratio=max_gap_ratio,
        long_share=long_share,
        long_floor=min(long_share, policy.long_floor * floor_factor),
        long_factor=policy.long_factor,
        group_imbalance=policy.group_imbalance,
        min_hedge_speedup=gain,
        hedge=policy.hedge,
    )
