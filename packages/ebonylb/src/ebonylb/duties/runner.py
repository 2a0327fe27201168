"""Runner that makes the calls of due duties, one at a time for each subject."""

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from result import Err, Result

from ..interfaces import Clock, Metrics
from ..interfaces.control_plane import CallOutcome, DutyAuthority
from ..leases import LeaseTable, SendPermit, claim_delay_ms
from ..outcomes import StepError
from .call_budget import CallBudget
from .duty import Duty, DutySource

logger = logging.getLogger(__name__)

STEP_INTERVAL_MS = 100.0
# An entry VM that is not the holder of a subject waits this long for the holder, as for
# weight orders.
HOLDER_GRACE_MS = 1_200.0
# Pause after a failed step; it doubles up to the maximum and varies by half, so that
# the entry VMs do not return at once. The longest one is below the lease term: a holder
# that backs off stays the holder.
INITIAL_BACKOFF_MS = 200.0
MAX_BACKOFF_MS = 1_600.0
BACKOFF_JITTER = 0.5
# After this many calls without an answer, one after the other, the fault may be on this
# entry VM's own path, and the duties are left to others.
MAX_FAILED_CALLS = 3
# Time for another entry VM to claim after the lease term: its grace for the holder and
# the longest claim delay of 2 s.
TAKEOVER_ALLOWANCE_MS = HOLDER_GRACE_MS + 2_500.0


@dataclass(slots=True)
class DutyState:
    """State of this entry VM's calls on one subject.

    Attributes
    ----------
    due_since_ms : float or None
        Monotonic time since which a call has been due; None while none is due.
    not_before_ms : float
        Monotonic time before which nothing is tried.
    backoff_ms : float
        Pause after the next failure.
    task : asyncio.Task or None
        Call in progress, with its preparation.
    has_called : bool
        Whether that task has made its call.
    """

    due_since_ms: float | None = None
    not_before_ms: float = -1e12
    backoff_ms: float = INITIAL_BACKOFF_MS
    task: asyncio.Task[None] | None = None
    has_called: bool = False

    @property
    def is_running(self) -> bool:
        """Whether a call or its preparation is in progress."""
        return self.task is not None and not self.task.done()


class DutyRunner:
    """Makes the calls of duties whose subjects this entry VM holds or can claim.

    Parameters
    ----------
    name : str
        Name of this entry VM, the holder in its calls.
    sources : sequence of DutySource
        Name the duties.
    leases : LeaseTable
        Leases of the subjects.
    clock : Clock
        Source of time.
    metrics : Metrics
        Destination of counters.
    budget : CallBudget
        Limits the calls of this entry VM.
    count_servers : callable
        Returns the number of known servers, a measure of the size of the site.
    has_others : callable
        Returns whether other entry VMs could take duties over.

    Attributes
    ----------
    states : dict of str to DutyState
        State by subject.
    known_subjects : set of str
        Subjects of all duties since the start, due or not.
    failed_calls : int
        Calls on any subject without an answer since the last answer.
    avoid_until_ms : float
        Monotonic time until which the duties are left to other entry VMs.
    leaving : bool
        Whether this entry VM is shutting down and starts nothing further.
    """

    def __init__(
        self,
        name: str,
        sources: Sequence[DutySource],
        leases: LeaseTable,
        clock: Clock,
        metrics: Metrics,
        budget: CallBudget,
        count_servers: Callable[[], int],
        has_others: Callable[[], bool],
    ) -> None:
        self.name = name
        self.sources = list(sources)
        self.leases = leases
        self.clock = clock
        self.metrics = metrics
        self.budget = budget
        self.count_servers = count_servers
        self.has_others = has_others
        self.states: dict[str, DutyState] = {}
        self.known_subjects: set[str] = set()
        self.failed_calls = 0
        self.avoid_until_ms = -1e12
        self.leaving = False

    async def run(self) -> None:
        """Start due calls periodically until cancelled."""
        while True:
            await self.clock.sleep_ms(STEP_INTERVAL_MS)
            if not self.leaving:
                self.step()

    def step(self) -> None:
        """Start the calls that are due and may start now."""
        now = self.clock.monotonic_ms()
        named = [duty for source in self.sources for duty in source.due_duties()]
        self.known_subjects.update(duty.subject for duty in named)
        duties = {duty.subject: duty for duty in named if duty.is_due()}
        for subject in [s for s in self.states if s not in duties]:
            state = self.states[subject]
            state.due_since_ms = None
            if not state.is_running and now >= state.not_before_ms:
                del self.states[subject]
        for subject, duty in duties.items():
            state = self.states.setdefault(subject, DutyState())
            if state.due_since_ms is None:
                state.due_since_ms = now
            if self.may_start(subject, state, now) and self.budget.take(now):
                state.task = asyncio.create_task(self.run_duty(duty, state))

    def may_start(self, subject: str, state: DutyState, now_ms: float) -> bool:
        """Return whether this entry VM should act on a subject that is due now."""
        if state.is_running or now_ms < max(state.not_before_ms, self.avoid_until_ms):
            return False
        if not self.leases.can_claim(subject):
            return False
        if self.leases.is_holder(subject):
            return True
        waited_ms = now_ms - (state.due_since_ms or now_ms)
        if self.leases.has_lease(subject):
            # The claim delays of all entry VMs count from the end of the holder's term,
            # however long the call has been due.
            waited_ms = min(
                waited_ms - HOLDER_GRACE_MS, self.leases.claimable_for_ms(subject)
            )
        return waited_ms >= claim_delay_ms(subject, self.name, self.count_servers())

    async def run_duty(self, duty: Duty, state: DutyState) -> None:
        """Prepare one call and make it under a valid permit."""
        state.has_called = False
        try:
            has_ended_well = await self.try_call(duty, state)
        except Exception:
            logger.exception("duty failed", extra={"subject": duty.subject})
            self.metrics.incr("duties.failed")
            has_ended_well = False
        if not state.has_called:
            self.budget.give_back()
        if has_ended_well:
            state.backoff_ms = INITIAL_BACKOFF_MS
            return
        jitter = random.uniform(1 - BACKOFF_JITTER, 1 + BACKOFF_JITTER)
        state.not_before_ms = self.clock.monotonic_ms() + state.backoff_ms * jitter
        state.backoff_ms = min(MAX_BACKOFF_MS, state.backoff_ms * 2)

    async def try_call(self, duty: Duty, state: DutyState) -> bool:
        """Prepare a call and make it; return whether it needs no pause."""
        permit = None
        if not self.leases.is_holder(duty.subject):
            # Of all entry VMs that claim a subject at once, only the new holder reads
            # the rows of the duty.
            permit = await self.claim(duty.subject)
            if permit is None:
                return False
        if not await duty.prepare():
            return False
        if permit is None or not self.leases.is_valid(permit):
            permit = await self.leases.request_permit(duty.subject)
        if permit is None:
            self.metrics.incr("duties.permits_refused")
            return False
        if self.leaving:
            return False
        if not self.leases.is_valid(permit):
            logger.warning(
                "duty call not made: its permit has expired",
                extra={"subject": duty.subject, "fence": permit.fence},
            )
            self.metrics.incr("duties.permits_expired")
            return False
        state.has_called = True
        result = await duty.perform(DutyAuthority(self.name, permit.fence))
        return self.handle_result(duty.subject, permit, result)

    async def claim(self, subject: str) -> SendPermit | None:
        """Take a subject over and return a permit; None if another one has it."""
        previous = self.leases.holder_of(subject)
        permit = await self.leases.request_permit(subject)
        logger.info(
            "duty claimed" if permit else "duty not claimed",
            extra={
                "subject": subject,
                "previous_holder": previous,
                "holder": self.leases.holder_of(subject),
                "fence": permit and permit.fence,
            },
        )
        self.metrics.incr("duties.claimed" if permit else "duties.permits_refused")
        return permit

    def handle_result(
        self, subject: str, permit: SendPermit, result: Result[CallOutcome, StepError]
    ) -> bool:
        """Record the outcome of a call and return whether it needs no pause."""
        cause = None
        if isinstance(result, Err):
            outcome, cause = "no_answer", str(result.err_value)
            self.failed_calls += 1
            if self.failed_calls >= MAX_FAILED_CALLS and self.has_others():
                self.leave_to_others()
        else:
            outcome = result.ok_value.value
            self.failed_calls = 0
        self.metrics.incr(f"duties.calls.{outcome}")
        logger.info(
            "duty call made",
            extra={
                "subject": subject,
                "fence": permit.fence,
                "outcome": outcome,
                "cause": cause,
            },
        )
        # A duty that cannot be fulfilled now (409) knows by itself when to try again.
        return outcome in (CallOutcome.ACCEPTED.value, CallOutcome.UNAVAILABLE.value)

    def leave_to_others(self) -> None:
        """Claim nothing until another entry VM had time to take the duties over."""
        pause_ms = self.leases.term_ms + TAKEOVER_ALLOWANCE_MS
        self.avoid_until_ms = self.clock.monotonic_ms() + pause_ms
        self.metrics.incr("duties.left_to_others")
        logger.warning(
            "duties left to other entry VMs: calls get no answer",
            extra={"failed_calls": self.failed_calls, "pause_ms": pause_ms},
        )
        # With the next failure after the pause, they are left to others again.
        self.failed_calls = MAX_FAILED_CALLS - 1

    def read_gauges(self) -> dict[str, float]:
        """Return the current values of the gauges by name."""
        due = [s for s in self.states.values() if s.due_since_ms is not None]
        held = [s for s in self.known_subjects if self.leases.is_holder(s)]
        is_avoiding = self.clock.monotonic_ms() < self.avoid_until_ms
        return {
            "duties.due": float(len(due)),
            "duties.held": float(len(held)),
            "duties.left_to_others": float(is_avoiding),
        }
