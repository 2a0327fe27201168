"""Reports of the usage of each window, the duty of one entry VM at a time."""

import logging
from collections.abc import Callable, Sequence

from result import Err, Ok, Result

from ..duties import Duty, DutySource
from ..interfaces import Clock, Metrics
from ..interfaces.control_plane import CallOutcome, ControlPlane, DutyAuthority
from ..outcomes import StepError
from .agreed_time import SETTLE_MS, AgreedTime
from .count_table import CountTable
from .report_table import ReportState, ReportTable, StoredProgress, StoredReport
from .window_counts import WindowCounts

logger = logging.getLogger(__name__)

SUBJECT = "usage"
# A window is summed after this share of the time until its report is due: 6 s of 10 s.
# The rest is for another entry VM to take over.
SUM_SHARE = 0.6
# After an outage of the store, all entry VMs store the counts that they kept. A call
# that times out takes 1.5 s, and changed counts are stored every 0.4 s.
STORE_SOUND_MS = 2_500.0
# A report that was not accepted within this time is given up.
REPORT_FOR_MS = 60_000.0
# Rows of windows that nobody reported are searched for after this many reports.
CLEANING_INTERVAL = 12
START_RETRY_MS = 500.0


class UsageReporter(Duty, DutySource):
    """Sums the counts of each window, stores the sum and sends exactly that.

    Parameters
    ----------
    control_plane : ControlPlane
        Receives the reports.
    reports : ReportTable
        Sums, followed by all entry VMs.
    count_table : CountTable
        Counts of all entry VMs.
    agreed_time : AgreedTime
        Tells when a window has ended.
    windows : WindowCounts
        Length of the windows.
    late_ms : float
        A report is due this long after the end of its window.
    store_sound_for_ms : callable
        Returns the time since the last failure of the store.
    start_delay_ms : callable
        Returns the delay before this entry VM names the first window, different for
        each.

    Attributes
    ----------
    pending : StoredReport or None
        Report that the next call sends.
    """

    subject = SUBJECT

    def __init__(
        self,
        control_plane: ControlPlane,
        reports: ReportTable,
        count_table: CountTable,
        agreed_time: AgreedTime,
        windows: WindowCounts,
        late_ms: float,
        clock: Clock,
        metrics: Metrics,
        store_sound_for_ms: Callable[[], float],
        start_delay_ms: Callable[[], float],
    ) -> None:
        self.control_plane = control_plane
        self.reports = reports
        self.count_table = count_table
        self.agreed_time = agreed_time
        self.windows = windows
        self.sum_delay_ms = late_ms * SUM_SHARE
        self.clock = clock
        self.metrics = metrics
        self.store_sound_for_ms = store_sound_for_ms
        self.start_delay_ms = start_delay_ms
        self.pending: StoredReport | None = None

    @property
    def kept_ms(self) -> float:
        """Time after the end of a window in which its counts may be summed."""
        return self.sum_delay_ms + REPORT_FOR_MS

    async def start(self) -> None:
        """Name the first window at the first start of the whole system.

        To be called once the rows of the reports have been read.
        """
        started_ms = self.clock.monotonic_ms()
        await self.clock.sleep_ms(SETTLE_MS + self.start_delay_ms())
        true_start_ms = self.agreed_time.true_ms(started_ms)
        first_window = self.windows.window_of(true_start_ms) + 1
        while self.reports.progress is None:
            if not await self.reports.begin(first_window):
                await self.clock.sleep_ms(START_RETRY_MS)

    def due_ms(self, window: int) -> float:
        """Return the true time from which a window is summed."""
        return self.windows.end_ms(window) + self.sum_delay_ms

    def is_overdue(self, window: int) -> bool:
        """Return whether a window is not reported any more."""
        return self.agreed_time.now_ms() > self.due_ms(window) + REPORT_FOR_MS

    def due_duties(self) -> Sequence[Duty]:
        """Return this duty; all windows together are one subject."""
        return (self,)

    def is_due(self) -> bool:
        """Return whether a sum is to be sent or stored, as far as is known here."""
        progress = self.reports.progress
        if progress is None:
            return False
        if self.reports.first_open() is not None:
            return True
        return self.agreed_time.now_ms() >= self.due_ms(progress.next_window)

    async def prepare(self) -> bool:
        """Find the next report, and store its sum if nobody has."""
        self.pending = None
        read = await self.reports.read()
        if isinstance(read, Err):
            logger.info("usage reports not read", extra={"cause": str(read.err_value)})
            return False
        if not await self.give_up_overdue() or self.reports.progress is None:
            return False
        report = self.reports.first_open()
        if report is None and self.is_due():
            report = await self.store_sum(self.reports.progress)
        self.pending = report
        return report is not None

    async def give_up_overdue(self) -> bool:
        """Give up what is too late to report; return whether that is stored."""
        while (report := self.reports.first_open()) is not None:
            if not self.is_overdue(report.window):
                break
            if not await self.reports.end(report, ReportState.ABANDONED):
                return False
            self.record_given_up(report.window, report.window + 1)
        progress = self.reports.progress
        if progress is None or not self.is_overdue(progress.next_window):
            return True
        now = self.agreed_time.now_ms()
        window = self.windows.window_of(now - self.kept_ms)
        if not await self.reports.skip_to(progress, window):
            return False
        self.record_given_up(progress.next_window, window)
        return True

    def record_given_up(self, first: int, end: int) -> None:
        """Record windows that are not reported any more."""
        self.metrics.incr("usage.windows_given_up", end - first)
        logger.error(
            "usage not reported: too late",
            extra={"first_window": first, "windows": end - first},
        )

    async def store_sum(self, progress: StoredProgress) -> StoredReport | None:
        """Sum the counts of a window and store the sum; None if that failed."""
        window = progress.next_window
        if self.store_sound_for_ms() < STORE_SOUND_MS:
            return None
        read = await self.count_table.read_sum(window)
        if isinstance(read, Err):
            logger.info(
                "usage counts not read",
                extra={"window": window, "cause": str(read.err_value)},
            )
            return None
        report = await self.reports.store_sum(progress, read.ok_value.counts)
        if report is None:
            return None
        delay_ms = self.agreed_time.now_ms() - self.windows.end_ms(window)
        logger.info(
            "usage summed",
            extra={
                "window": window,
                "requests": sum(report.row.counts.values()),
                "customers": len(report.row.counts),
                "entry_vms": read.ok_value.rows,
                "after_end_ms": round(delay_ms),
            },
        )
        self.metrics.incr("usage.windows_stored")
        return report

    async def perform(self, authority: DutyAuthority) -> Result[CallOutcome, StepError]:
        """Send the pending report."""
        report = self.pending
        assert report is not None
        result = await self.control_plane.report_usage(
            authority, report.window, report.row.counts
        )
        if result == Ok(CallOutcome.ACCEPTED):
            await self.record_accepted(report)
        return result

    async def record_accepted(self, report: StoredReport) -> None:
        """Store that a report was accepted, and delete the counts of its window.

        Without the first, the report is sent once more, which does no harm.
        """
        delay_ms = self.agreed_time.now_ms() - self.windows.end_ms(report.window)
        logger.info(
            "usage report accepted",
            extra={"window": report.window, "after_end_ms": round(delay_ms)},
        )
        self.metrics.incr("usage.windows_accepted")
        self.metrics.timing_ms("usage.report_delay", delay_ms)
        if not await self.reports.end(report, ReportState.ACCEPTED):
            return
        late = await self.count_table.delete(report.window, report.row.counts)
        if late:
            self.metrics.incr("usage.counts_late", late)
            logger.warning(
                "usage counts came too late",
                extra={"window": report.window, "requests": late},
            )
        if report.window % CLEANING_INTERVAL == 0:
            oldest_kept = self.windows.window_of(
                self.agreed_time.now_ms() - self.kept_ms
            )
            late = await self.count_table.delete_before(oldest_kept - 1)
            self.metrics.incr("usage.counts_late", late)

    def read_gauges(self) -> dict[str, float]:
        """Return the current values of the gauges by name."""
        progress = self.reports.progress
        return {
            "usage.last_window_stored": progress.next_window - 1 if progress else 0,
            "usage.last_window_accepted": self.reports.last_accepted() or 0,
        }
