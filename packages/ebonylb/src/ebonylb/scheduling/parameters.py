"""Scheduling parameters derived from the policy and its profile."""

from dataclasses import dataclass

from ..settings import Policy


@dataclass(frozen=True, slots=True)
class SchedulingParameters:
    """Limits and ratios that the scheduler applies.

    Parameters
    ----------
    max_gap_ratio : float
        Ratio of token gap to baseline above which a window shrinks.
    long_share : float
        Maximum part of a server's window for long work while short work arrives.
    long_floor : float
        Minimum part of the running requests for long work while it waits.
    long_factor : float
        Work is long if its predicted tokens exceed this multiple of the median.
    group_imbalance : float
        Load of a group's server, as a multiple of the mean, that breaks affinity.
    min_hedge_speedup : float
        Minimum factor by which a hedge must be faster than the first attempt.
    hedge : bool
        Whether hedges are allowed.
    """

    max_gap_ratio: float
    long_share: float
    long_floor: float
    long_factor: float
    group_imbalance: float
    min_hedge_speedup: float
    hedge: bool


# By profile: max_gap_ratio, factor of long_share, factor of long_floor,
# min_hedge_speedup. Large windows increase throughput and so reduce idle time, but
# increase the latency of each token; a small long_share keeps capacity free for short
# work. Windows that are too small harm all profiles: requests then wait longer in the
# queue than they gain on the server.
PROFILES = {
    "balanced": (2.3, 1.0, 1.0, 2.0),
    "idle_time": (2.6, 1.6, 2.0, 3.0),
    "tail_latency": (2.2, 0.7, 1.0, 1.5),
}


def scheduling_parameters(policy: Policy) -> SchedulingParameters:
    """Return the parameters of a policy, with its shares scaled by its profile."""
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
