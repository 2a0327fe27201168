"""Registry of strikes by request fingerprint."""

from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterable

from ..outcomes import StepError
from ..peers.messages import StrikeReport
from .run_registry import RunRegistry
from .strike_table import StrikeTable

MAX_STRIKES = 2
MAX_FINGERPRINTS = 50_000  # about 15 MB

Publish = Callable[[StrikeReport], Awaitable[bool]]


class StrikeRegistry:
    """Server crashes during which each fingerprint was running.

    A crash is identified by the server and its incarnation, so it counts once even if
    several owners and streams report it.

    When a server crashes, every request that was running there gets a strike, even if
    one of them was already suspected. Any of them may have caused the crash, and only
    this rule ensures that no request crashes more than two servers. With one crashing
    request in the system, other requests get at most one strike, because requests with
    strikes never share a server. With two crashing requests on one server at the same
    time, each of them crashes one more server alone: three crashes in total, two per
    request. A bystander is refused only after it shared a server with a crashing
    request twice, which requires at least two crashing requests, the second one without
    a strike.

    Strikes do not expire. Beyond `capacity`, the fingerprints with the least recent
    strikes are dropped, those with one strike first.

    Parameters
    ----------
    publish : callable
        Sends a report to the reachable peers. Returns True when all of them have
        acknowledged it, and False when there is no reachable peer.
    table : StrikeTable or None
        Persistent record; with None, strikes are kept only in memory and at the peers.
    capacity : int
        Maximum number of fingerprints.
    """

    def __init__(
        self,
        publish: Publish,
        table: StrikeTable | None = None,
        capacity: int = MAX_FINGERPRINTS,
    ) -> None:
        self.publish = publish
        self.table = table
        self.capacity = capacity
        self.single_strikes: OrderedDict[str, frozenset[str]] = OrderedDict()
        self.repeated_strikes: OrderedDict[str, frozenset[str]] = OrderedDict()
        self.listeners: set[Callable[[list[str]], None]] = set()
        self.runs = RunRegistry(self.strikes, MAX_STRIKES)
        if table is not None:
            table.on_report = self.apply

    def strikes(self, fingerprint: str) -> int:
        """Return the number of crashes during which a fingerprint was running."""
        if fingerprint in self.repeated_strikes:
            return len(self.repeated_strikes[fingerprint])
        return 1 if fingerprint in self.single_strikes else 0

    def apply(self, report: StrikeReport) -> None:
        """Count a crash; it may be reported repeatedly or in parts."""
        for fingerprint in report.fingerprints:
            crash_ids = self.repeated_strikes.pop(fingerprint, None)
            if crash_ids is None:
                crash_ids = self.single_strikes.pop(fingerprint, frozenset())
            if len(crash_ids) < MAX_STRIKES:
                crash_ids = crash_ids | {report.crash_id}
            strikes_by_fingerprint = (
                self.repeated_strikes
                if len(crash_ids) >= MAX_STRIKES
                else self.single_strikes
            )
            strikes_by_fingerprint[fingerprint] = crash_ids
        while len(self.single_strikes) + len(self.repeated_strikes) > self.capacity:
            (self.single_strikes or self.repeated_strikes).popitem(last=False)
        for listener in list(self.listeners):
            listener(report.fingerprints)

    async def report_crash(self, crash_id: str, fingerprints: Iterable[str]) -> None:
        """Count a crash here and return after it is propagated.

        The peers have acknowledged it then, or it is stored in the platform's table if
        no peer is reachable. While this entry VM can reach neither, the strike is kept
        only here.
        """
        report = StrikeReport(crash_id, sorted(set(fingerprints)))
        self.apply(report)
        if self.table is not None:
            self.table.add(report)
        try:
            acknowledged = await self.publish(report)
        except StepError:
            acknowledged = False
        if not acknowledged and self.table is not None:
            await self.table.flush()
