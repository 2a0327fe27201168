"""Batch jobs in the platform's store, run by the entry VM that holds them."""

from .board import BatchProgressView
from .custody import BatchOwnership
from .duty import BatchService, ResultsPage
from .holder import BatchHolder
from .item_run import ItemRunner
from .model import Batch, BatchHeader, BatchItem, ItemResult
from .placement import ItemPlacement
from .repository import BatchRepository

__all__ = [
    "Batch",
    "BatchHeader",
    "BatchHolder",
    "BatchItem",
    "BatchOwnership",
    "BatchProgressView",
    "BatchRepository",
    "BatchService",
    "ItemPlacement",
    "ItemResult",
    "ItemRunner",
    "ResultsPage",
]
