"""Stand-in for the platform's API for usage reports and orders of servers."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

from result import Err, Ok, Result

from ebonylb.interfaces import Clock
from ebonylb.interfaces.control_plane import (
    CallOutcome,
    ControlPlane,
    DutyAuthority,
    ServerCount,
)
from ebonylb.outcomes import StepError

# Timeout of the client, as in the adapter of the users' platform.
CALL_TIMEOUT_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class RecordedCall:
    """One call that has arrived.

    Parameters
    ----------
    at_ms : float
        Time of the arrival.
    subject : str
        Subject to which the platform's rule of one holder at a time applies.
    content : object
        Counts of a usage report, or the order of servers.
    window : int or None
        Window of a usage report.
    """

    at_ms: float
    subject: str
    holder: str
    fence: int
    content: object
    window: int | None = None


@dataclass
class FakeControlPlane:
    """State of the API, shared by the clients of all entry VMs.

    Attributes
    ----------
    calls : list of RecordedCall
        All calls that arrived, accepted or not.
    outcome : CallOutcome
        Answer to calls.
    down : bool
        Calls time out and do not arrive.
    lost_answers : int
        Number of next calls that arrive and whose answer is lost.
    delay_ms : float
        Duration of a call.
    cut_off : set of str
        Entry VMs whose calls do not arrive.
    called : asyncio.Event
        Set, and replaced, when a call has arrived.
    """

    clock: Clock
    calls: list[RecordedCall] = field(default_factory=list)
    outcome: CallOutcome = CallOutcome.ACCEPTED
    down: bool = False
    lost_answers: int = 0
    delay_ms: float = 4.0
    cut_off: set[str] = field(default_factory=set)
    called: asyncio.Event = field(default_factory=asyncio.Event)

    def reports(self) -> dict[int, dict[str, int]]:
        """Return the counts of the windows in the order of their first reports."""
        return {
            call.window: call.content
            for call in reversed(self.calls)
            if call.window is not None
        }

    async def receive(
        self, entry_vm: str, call: RecordedCall
    ) -> Result[CallOutcome, StepError]:
        """Record one call and return its answer, according to the faults."""
        if self.down or entry_vm in self.cut_off:
            await self.clock.sleep_ms(CALL_TIMEOUT_MS)
            return Err(StepError("platform", "memory", "no connection", False))
        self.calls.append(call)
        self.called.set()
        self.called = asyncio.Event()
        if self.lost_answers or self.delay_ms >= CALL_TIMEOUT_MS:
            self.lost_answers = max(0, self.lost_answers - 1)
            await self.clock.sleep_ms(CALL_TIMEOUT_MS)
            return Err(StepError("platform", "memory", "no answer in time"))
        await self.clock.sleep_ms(self.delay_ms)
        return Ok(self.outcome)


class FakeControlPlaneClient(ControlPlane):
    """Client of one entry VM."""

    def __init__(self, platform: FakeControlPlane, entry_vm: str) -> None:
        self.platform = platform
        self.entry_vm = entry_vm

    async def report_usage(
        self, authority: DutyAuthority, window: int, counts: Mapping[str, int]
    ) -> Result[CallOutcome, StepError]:
        """Report the number of requests of each customer in a window."""
        return await self.send("usage", authority, dict(counts), window)

    async def order_servers(
        self, authority: DutyAuthority, order: ServerCount
    ) -> Result[CallOutcome, StepError]:
        """Order a number of servers."""
        subject = f"scale/{order.service}/{order.failure_domain}"
        return await self.send(subject, authority, order)

    async def send(
        self,
        subject: str,
        authority: DutyAuthority,
        content: object,
        window: int | None = None,
    ) -> Result[CallOutcome, StepError]:
        """Send one call."""
        call = RecordedCall(
            self.platform.clock.monotonic_ms(),
            subject,
            authority.holder,
            authority.fence,
            content,
            window,
        )
        return await self.platform.receive(self.entry_vm, call)
