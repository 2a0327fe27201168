"""Strikes by fingerprint."""

from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterable

from ..outcomes import StepError
from ..peers.messages import StrikeReport
from .run_registry import RunRegistry
from .strike_table import StrikeTable

MAX_STRIKES = 2
MAX_FINGERPRINTS = 50_000  # fingerprints; about 15 MB

Publish = Callable[[StrikeReport], Awaitable[bool]]


class StrikeRegistry:
    """Crashes that each fingerprint was running in.

    A crash is identified by the server and the incarnation that crashed, so it
    counts once however many owners and streams report it.

    When a server crashes, every request that ran there gets a strike, also when
    one of them was already a suspect: the crash may be due to any of them, and only
    so does no request crash more than two servers. With one crashing request in the
    system, others get one strike at most, because struck requests never share a
    server. With two crashing requests at once on one server, each of them crashes
    one more server by itself: three crashes in all, two per request. A bystander is
    refused only after sharing a server with a crashing request twice, which takes
    at least two crashing requests, the second of them not yet struck.

    Strikes do not expire by time. Beyond `capacity` the fingerprints struck least
    recently are forgotten, those with one strike first.

    Parameters
    ----------
    publish : callable
        Sends a report to the reachable peers and returns True once all of them
        acknowledged it, False when there was none.
    table : StrikeTable or None
        Lasting record; None keeps strikes in memory and at the peers only.
    capacity : int
        Fingerprints kept at most.
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
        """Return the number of crashes that a fingerprint was running in."""
        if fingerprint in self.repeated_strikes:
            return len(self.repeated_strikes[fingerprint])
        return 1 if fingerprint in self.single_strikes else 0

    def apply(self, report: StrikeReport) -> None:
        """Count a crash; reports of the same crash may repeat or be partial."""
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
        """Count a crash here and return once others know of it.

        Peers acknowledge it, or the platform's table has it when no peer is
        reachable. While this entry VM is cut off from both, the strike is kept here
        alone.
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
