"""Fair queueing, concurrency limits and size prediction for a shard owner."""

from .fair_queue import FairQueue, QueueEntry
from .fair_share import (
    ClusterShares,
    fair_weight,
    parties_of_service,
    served_tokens_by_party,
)
from .parameters import SchedulingParameters, scheduling_parameters
from .server_window import ServerWindow
from .size_predictor import SizePredictor

__all__ = [
    "ClusterShares",
    "FairQueue",
    "QueueEntry",
    "SchedulingParameters",
    "ServerWindow",
    "SizePredictor",
    "fair_weight",
    "parties_of_service",
    "scheduling_parameters",
    "served_tokens_by_party",
]
