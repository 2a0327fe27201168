"""Data types of autoscaling."""

from collections.abc import Mapping
from dataclasses import dataclass

from ..routes.model import ScalingSpec
from .demand import Demand


@dataclass(frozen=True, slots=True, order=True)
class Pool:
    """Servers of one service and kind in one failure domain.

    Parameters
    ----------
    reclaimable : bool
        Whether the platform may take these servers back at any time.
    """

    failure_domain: str
    reclaimable: bool = False

    def __str__(self) -> str:
        """Return the text for log lines and reasons."""
        return self.failure_domain + (" (reclaimable)" if self.reclaimable else "")


@dataclass(frozen=True, slots=True)
class ScalingSituation:
    """Everything that the plan of one service depends on.

    Parameters
    ----------
    spec : ScalingSpec
        Bounds and prices.
    demand : Demand
        Demand of the last seconds.
    slots_per_server : int
        Fewest slots of any server of the service.
    models : int
        Number of models; each needs a server of its own.
    listed, wanted : mapping of Pool to int
        Servers that take work, and the present wanted numbers.
    unavailable : frozenset of Pool
        Pools that recently got no server.
    since_change_ms, since_raise_ms : float
        Time since any wanted number changed, and since one was raised for callers.
    """

    spec: ScalingSpec
    demand: Demand
    slots_per_server: int
    listed: Mapping[Pool, int]
    wanted: Mapping[Pool, int]
    unavailable: frozenset[Pool] = frozenset()
    models: int = 1
    since_change_ms: float = float("inf")
    since_raise_ms: float = float("inf")


@dataclass(frozen=True, slots=True)
class ScalingPlan:
    """Wanted number of each pool, and why.

    Parameters
    ----------
    reasons : mapping of Pool to str
        Reason of each changed number.
    summary : str
        Reason of the plan as a whole, such as why it changes nothing.
    is_raise : bool
        Whether numbers were raised because callers need more servers.
    """

    wanted: Mapping[Pool, int]
    reasons: Mapping[Pool, str]
    summary: str
    is_raise: bool = False
