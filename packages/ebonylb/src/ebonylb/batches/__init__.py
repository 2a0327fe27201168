"""Batch jobs in the platform's store, run by the entry VM that holds them."""

from .batch_memory import BatchMemory, measure_items
from .holder import BatchHolder
from .holder_shares import HolderShares
from .item_run import ItemRunner
from .lengths import LengthEstimate
from .model import Batch, BatchHeader, BatchItem, ItemResult, ScoringRequest
from .move_policy import MovePolicy
from .open_batches import OpenBatches
from .ownership import BatchOwnership
from .placement import ItemPlacement
from .progress_view import BatchProgressView
from .repository import BatchRepository
from .scoring import ItemScorer
from .scoring_queue import ScoringQueue
from .service import BatchService, ResultsPage

__all__ = [
    "Batch",
    "BatchHeader",
    "BatchHolder",
    "BatchItem",
    "BatchMemory",
    "BatchOwnership",
    "BatchProgressView",
    "BatchRepository",
    "BatchService",
    "HolderShares",
    "ItemPlacement",
    "ItemResult",
    "ItemRunner",
    "ItemScorer",
    "LengthEstimate",
    "MovePolicy",
    "OpenBatches",
    "ResultsPage",
    "ScoringQueue",
    "ScoringRequest",
    "measure_items",
]
