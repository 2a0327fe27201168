"""Batch jobs: kept in the platform's store, run by whichever entry VM holds them."""

from .board import BatchBoard
from .custody import BatchCustody
from .duty import BatchDuty, ResultsPage
from .holder import BatchHolder
from .item_run import ItemRunner
from .model import Batch, BatchHeader, BatchItem, ItemResult
from .placement import ItemPlacement
from .repository import BatchRepository

__all__ = [
    "Batch",
    "BatchBoard",
    "BatchCustody",
    "BatchDuty",
    "BatchHeader",
    "BatchHolder",
    "BatchItem",
    "BatchRepository",
    "ItemPlacement",
    "ItemResult",
    "ItemRunner",
    "ResultsPage",
]
