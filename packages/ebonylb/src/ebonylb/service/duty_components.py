"""Components of an entry VM that perform duties towards the platform."""

from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any

from ..duties import CallBudget, DutyRunner, DutySource
from ..interfaces import Clock, Metrics
from ..interfaces.control_plane import ControlPlane
from ..interfaces.row_store import RowStore
from ..leases import LeaseTable, claim_delay_ms
from ..limits import LimitShares
from ..relay import EntryVms
from ..storage.follower import TableFollower
from ..storage.store_time import StoreTime
from ..usage import (
    AgreedTime,
    CountTable,
    ReportTable,
    UsageCounter,
    UsageReporter,
    UsageRows,
    WindowCounts,
)
from ..usage.report_table import TABLE as REPORTS_TABLE
from ..usage.reporter import SUBJECT as USAGE_SUBJECT
from .site_settings import Bounds

USAGE_DUTY = "usage_report"
SCALING_DUTY = "autoscale"
# All entry VMs follow the reports, a few rows for each window. With these intervals it
# costs each of them one call in a few seconds.
REPORTS_FEED_PAUSE_MS = 500.0
REPORTS_FEED_WAIT_MS = 10_000


@dataclass(frozen=True, slots=True)
class DutyPlan:
    """Duties of the entry VMs, and how many calls they may make.

    Parameters
    ----------
    duties : tuple of str
        Names of the duties.
    calls_per_s : float
        Calls a second that the platform accepts from all entry VMs together.
    """

    duties: tuple[str, ...]
    calls_per_s: float


@dataclass(frozen=True, slots=True)
class DutyDependencies:
    """Components that the duties share with the rest of the entry VM.

    Parameters
    ----------
    count_servers : callable
        Returns the number of known servers.
    """

    name: str
    incarnation: str
    control_plane: ControlPlane
    store: RowStore
    clock: Clock
    metrics: Metrics
    store_time: StoreTime
    leases: LeaseTable
    limit_shares: LimitShares
    entry_vms: EntryVms
    count_servers: Callable[[], int]


def sound_for_ms(follower: TableFollower, clock: Clock) -> float:
    """Return the time since the store last failed a follower; 0 while it does."""
    if follower.healthy_since_ms is None:
        return 0.0
    return clock.monotonic_ms() - follower.healthy_since_ms


def follow_reports(
    dependencies: DutyDependencies, reports: ReportTable
) -> TableFollower:
    """Return the follower of the reports of all entry VMs."""
    return TableFollower(
        dependencies.store,
        dependencies.clock,
        REPORTS_TABLE,
        reports,
        dependencies.store_time,
        lambda: REPORTS_FEED_PAUSE_MS,
        wait_ms=REPORTS_FEED_WAIT_MS,
    )


class UsageComponents:
    """Counts of this entry VM, and the reports of all."""

    def __init__(self, dependencies: DutyDependencies, bounds: Bounds) -> None:
        store, clock = dependencies.store, dependencies.clock
        shares = dependencies.limit_shares
        self.agreed_time = AgreedTime(
            dependencies.name, clock, dependencies.store_time, shares.clock_offsets
        )
        shares.observe_clock_offset = self.agreed_time.observe_offset
        self.counts = WindowCounts(bounds.report_window_ms)
        self.counter = UsageCounter(self.counts, self.agreed_time, clock)
        self.reports = ReportTable(store)
        self.follower = follow_reports(dependencies, self.reports)
        self.reporter = UsageReporter(
            dependencies.control_plane,
            self.reports,
            CountTable(store),
            self.agreed_time,
            self.counts,
            bounds.usage_late_ms,
            clock,
            dependencies.metrics,
            lambda: sound_for_ms(shares.follower, clock),
            lambda: claim_delay_ms(
                USAGE_SUBJECT, dependencies.name, dependencies.count_servers()
            ),
        )
        self.rows = UsageRows(
            dependencies.incarnation,
            store,
            clock,
            self.counter,
            self.agreed_time,
            self.reporter.kept_ms,
            dependencies.metrics,
            lambda: len(dependencies.entry_vms.known),
        )

    async def start(self) -> None:
        """Name the first window once the rows are read."""
        await self.follower.loaded.wait()
        await self.reporter.start()


class DutyComponents:
    """Runner of the duties that the settings name, and their components.

    Parameters
    ----------
    plan : DutyPlan
        Duties to perform.
    sources : sequence of DutySource
        Further duties.

    Attributes
    ----------
    usage : UsageComponents or None
        None if no usage is reported.
    """

    def __init__(
        self,
        plan: DutyPlan,
        dependencies: DutyDependencies,
        bounds: Bounds,
        sources: Sequence[DutySource] = (),
    ) -> None:
        entry_vms = dependencies.entry_vms
        self.usage: UsageComponents | None = None
        if USAGE_DUTY in plan.duties and bounds.report_window_ms > 0:
            self.usage = UsageComponents(dependencies, bounds)
            sources = [*sources, self.usage.reporter]
        self.runner = DutyRunner(
            dependencies.name,
            sources,
            dependencies.leases,
            dependencies.clock,
            dependencies.metrics,
            # A subject has one holder, so that there are no more than either.
            CallBudget(
                plan.calls_per_s,
                lambda: min(len(entry_vms.known), len(self.runner.known_subjects)),
            ),
            dependencies.count_servers,
            lambda: len(entry_vms.known) > 1,
        )

    def background_tasks(self) -> dict[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Return the functions that run until the process ends, by name."""
        tasks: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
            "duties": self.runner.run
        }
        if self.usage is not None:
            tasks |= {
                f"follow {REPORTS_TABLE}": self.usage.follower.run,
                "usage start": self.usage.start,
                "usage rows": self.usage.rows.run,
            }
        return tasks

    def leave(self) -> None:
        """Start no further call, since this entry VM shuts down."""
        self.runner.leaving = True

    async def finish(self) -> None:
        """Store the counts that are left before the process ends."""
        if self.usage is not None:
            await self.usage.rows.finish()

    def read_gauges(self) -> dict[str, float]:
        """Return the current values of the gauges by name."""
        gauges = self.runner.read_gauges()
        if self.usage is not None:
            gauges |= self.usage.reporter.read_gauges()
        return gauges
