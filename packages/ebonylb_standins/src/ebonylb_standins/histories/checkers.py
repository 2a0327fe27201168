"""Checkers of histories, one for each of the promises P1 to P6 of docs/design.md.

A checker takes the events in order and returns the violations, each with the events
that prove it. An empty list means that the history keeps the promise.
"""

from collections import defaultdict
from dataclasses import dataclass

from .events import (
    CallAnswered,
    CallDeclined,
    CallRan,
    CallRefused,
    CallSent,
    Event,
    SampleDelivered,
    SlotFailed,
    StepEnded,
    StepOpened,
    TokensProduced,
    VersionPublished,
)


@dataclass(frozen=True)
class Violation:
    """One case in which a history breaks a promise.

    Parameters
    ----------
    promise : str
        ``"P1"`` to ``"P6"``.
    cause : str
        What is wrong, in one phrase.
    events : tuple of Event
        Events that prove the violation.
    """

    promise: str
    cause: str
    events: tuple[Event, ...]


def check_versions(events: list[Event]) -> list[Violation]:
    """P1: each segment names the weight version that generated its text."""
    produced = {e.text: e for e in events if isinstance(e, TokensProduced)}
    violations = []
    for event in events:
        if not isinstance(event, SampleDelivered):
            continue
        for segment in event.segments:
            origin = produced.get(segment.text)
            if origin is None or origin.version != segment.version:
                cause = f"segment names version {segment.version}"
                proof = (event,) if origin is None else (origin, event)
                violations.append(Violation("P1", cause, proof))
    return violations


def check_staleness(events: list[Event]) -> list[Violation]:
    """P2: no sample lags the confirmed version by more than the staleness bound."""
    violations = []
    newest: dict[str, tuple[int, Event]] = {}
    declarations: dict[tuple[str, int], StepOpened] = {}
    for event in events:
        if isinstance(event, StepOpened):
            declarations[event.trainer, event.step] = event
        if isinstance(event, StepOpened | VersionPublished):
            number = getattr(event, "trainer_version", 0) or getattr(
                event, "version", 0
            )
            if number >= newest.get(event.trainer, (0, event))[0]:
                newest[event.trainer] = (number, event)
        if isinstance(event, SampleDelivered):
            opened = declarations[event.trainer, event.step]
            version, confirmed = newest[event.trainer]
            oldest = min((s.version for s in event.segments), default=version)
            age = version - oldest
            if age > opened.staleness_bound:
                text = f"slot {event.slot} is {age} versions old"
                violations.append(Violation("P2", text, (opened, confirmed, event)))
    return violations


def check_delivery(events: list[Event]) -> list[Violation]:
    """P3: the samples accepted in a step fill each slot exactly once.

    The trainer accepts only lines of its newest session.
    """
    violations = []
    newest: dict[tuple[str, int], StepOpened] = {}
    received: dict[tuple[str, int], dict[int, Event]] = defaultdict(dict)
    for event in events:
        key = (getattr(event, "trainer", ""), getattr(event, "step", -1))
        if isinstance(event, StepOpened):
            newest[key] = event
        elif isinstance(event, SampleDelivered | SlotFailed):
            if event.session != newest[key].session:
                continue
            if event.slot in received[key] or not 0 <= event.slot < newest[key].slots:
                first = received[key].get(event.slot, newest[key])
                text = f"slot {event.slot} reached the trainer again"
                violations.append(Violation("P3", text, (first, event)))
            received[key][event.slot] = event
        elif isinstance(event, StepEnded) and event.session == newest[key].session:
            missing = set(range(newest[key].slots)) - set(received[key])
            if missing:
                text = f"step ended without slots {sorted(missing)[:10]}"
                violations.append(Violation("P3", text, (newest[key], event)))
    return violations


def check_responses(events: list[Event]) -> list[Violation]:
    """P4: a response is complete and belongs to the work of its own request."""
    violations = []
    sent: dict[str, CallSent] = {}
    runs: dict[str, CallRan] = {}
    answered: dict[str, Event] = {}
    for event in events:
        if isinstance(event, CallSent):
            sent[event.request_id] = event
        elif isinstance(event, CallRan):
            runs[event.answer] = event
        elif isinstance(event, CallAnswered | CallRefused):
            if event.request_id in answered:
                proof = (answered[event.request_id], event)
                violations.append(Violation("P4", "request has two outcomes", proof))
            answered[event.request_id] = event
        if isinstance(event, CallAnswered):
            request = sent[event.request_id]
            ran = runs.get(event.answer)
            origin = sent.get(ran.request_id) if ran else None
            if origin is None:
                text = "response is not one that a backend server sent completely"
                violations.append(Violation("P4", text, (request, event)))
            elif work_identity(origin) != work_identity(request):
                text = "response belongs to other work"
                violations.append(Violation("P4", text, (request, ran, event)))
    return violations


def check_not_run(events: list[Event]) -> list[Violation]:
    """P5: work refused as not run had not run when the refusal was decided.

    The refusal is decided when a backend server first declines the work after the
    refused request was sent, or without such an event at the refusal itself. If a
    caller sends work twice at the same time, one request may be declined and the
    other run while the refusal is on its way to the caller.
    """
    violations = []
    sent: dict[str, tuple[int, CallSent]] = {}
    ran: dict[tuple[str, ...], tuple[int, CallRan]] = {}
    declined: dict[tuple[str, ...], list[int]] = defaultdict(list)
    refused: dict[str, Event] = {}
    for index, event in enumerate(events):
        if isinstance(event, CallSent):
            sent[event.request_id] = (index, event)
        elif isinstance(event, CallDeclined):
            declined[work_identity(sent[event.request_id][1])].append(index)
        elif isinstance(event, CallRan):
            ran.setdefault(work_identity(sent[event.request_id][1]), (index, event))
            # Each attempt has its own request id, so this is not a run of a resend.
            if event.request_id in refused:
                proof = (refused[event.request_id], event)
                violations.append(
                    Violation("P5", "request ran after its refusal as not run", proof)
                )
        elif isinstance(event, CallRefused) and event.outcome == "not_run":
            refused[event.request_id] = event
            sent_index, request = sent[event.request_id]
            work = work_identity(request)
            decided_index = min(
                (i for i in declined[work] if i > sent_index), default=index
            )
            first_index, first = ran.get(work, (index, None))
            if first is not None and first_index < decided_index:
                text = "work was refused as not run after it ran"
                violations.append(Violation("P5", text, (request, first, event)))
    return violations


def check_single_runs(events: list[Event]) -> list[Violation]:
    """P6: work that is not idempotent runs at most once."""
    violations = []
    sent = {e.request_id: e for e in events if isinstance(e, CallSent)}
    ran: dict[tuple[str, ...], CallRan] = {}
    for event in events:
        if not isinstance(event, CallRan):
            continue
        request = sent[event.request_id]
        if not request.non_idempotent:
            continue
        first = ran.setdefault(execution_key(request), event)
        if first is not event:
            text = f"key {request.key!r} ran twice"
            violations.append(Violation("P6", text, (first, event)))
    return violations


def execution_key(request: CallSent) -> tuple[str, ...]:
    """Return the unit that may run at most once: a key, or a request without a key."""
    return (request.party, request.key or "request " + request.request_id)


def work_identity(request: CallSent) -> tuple[str, ...]:
    """Return what identifies the work of a request: execution key and body."""
    return (*execution_key(request), request.body)


CHECKERS = {
    "P1": check_versions,
    "P2": check_staleness,
    "P3": check_delivery,
    "P4": check_responses,
    "P5": check_not_run,
    "P6": check_single_runs,
}


def check_all(events: list[Event]) -> list[Violation]:
    """Return the violations that all checkers find."""
    return [v for checker in CHECKERS.values() for v in checker(events)]
