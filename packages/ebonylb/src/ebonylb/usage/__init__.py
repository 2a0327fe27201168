"""Usage of customers: what servers began, by window, and its reports."""

from .agreed_time import AgreedTime
from .attempts import CountingPool, UsageCounter
from .count_rows import UsageRows
from .count_table import CountTable
from .report_table import ReportTable
from .reporter import UsageReporter
from .window_counts import WindowCounts

__all__ = [
    "AgreedTime",
    "CountTable",
    "CountingPool",
    "ReportTable",
    "UsageCounter",
    "UsageReporter",
    "UsageRows",
    "WindowCounts",
]
