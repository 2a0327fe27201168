"""Autoscaling: how many servers each service needs, and the orders for them."""

from .controller import ScalingDuties, ServiceStatus
from .model import Pool, ScalingPlan, ScalingSituation
from .plan import plan_servers

__all__ = [
    "Pool",
    "ScalingDuties",
    "ScalingPlan",
    "ScalingSituation",
    "ServiceStatus",
    "plan_servers",
]
