"""Checkers of P9, the promises on configurations accepted from sheets."""

from collections import defaultdict

from ..histories.checkers import Violation
from ..histories.events import Event
from .events import RevisionShown, SheetApplied, SheetStored
from .intervals import fault_intervals, overlapping

IN_FORCE_LIMIT_MS = 8_000
SERVING_LIFECYCLE = "ready"
ENTRY_VM_FAULTS = {"kill_entry", "freeze_entry", "leave_one", "leave_two"}
PLATFORM_FAULTS = {"cut_platform", "platform_down", "platform_slow", "lagging_reads"}


def check_in_force(events: list[Event]) -> list[Violation]:
    """An accepted revision is in force on each reachable entry VM within 8 s.

    An entry VM counts as reachable if it ran all the time and could reach either all
    of its peers or the platform.
    """
    intervals = fault_intervals(events)
    applied = [e for e in events if isinstance(e, SheetApplied)]
    violations = []
    for shown in events:
        if not isinstance(shown, RevisionShown) or shown.lifecycle != SERVING_LIFECYCLE:
            continue
        applied_before_ms = shown.asked_ms - IN_FORCE_LIMIT_MS
        applied_before = [e for e in applied if e.at_ms < applied_before_ms]
        newest = max(applied_before, key=lambda e: e.revision, default=None)
        if newest is None or shown.revision >= newest.revision:
            continue
        recent = overlapping(intervals, newest.at_ms, shown.asked_ms)
        own_faults = [
            i
            for i in recent
            if i.fault in ENTRY_VM_FAULTS and shown.entry_vm in i.targets
        ]
        peer_cuts = [i for i in recent if i.fault == "cut_peers"]
        platform_faults = [i for i in recent if i.fault in PLATFORM_FAULTS]
        if not own_faults and not (peer_cuts and platform_faults):
            cause = f"{shown.entry_vm} shows an older revision after 8 s"
            violations.append(Violation("P9", cause, (newest, shown)))
    return violations


def check_monotone(events: list[Event]) -> list[Violation]:
    """The revision that a serving entry VM shows never decreases, also over restarts.

    Requests overlap in time, so each response is compared only with those that came
    before its request was sent.
    """
    violations = []
    shown_by_vm: dict[str, list[RevisionShown]] = defaultdict(list)
    for shown in events:
        if not isinstance(shown, RevisionShown) or shown.lifecycle != SERVING_LIFECYCLE:
            continue
        shown_before = [
            e for e in shown_by_vm[shown.entry_vm] if e.at_ms < shown.asked_ms
        ]
        highest = max(shown_before, key=lambda e: e.revision, default=None)
        if highest is not None and highest.revision > shown.revision:
            cause = f"{shown.entry_vm} went back to revision {shown.revision}"
            violations.append(Violation("P9", cause, (highest, shown)))
        shown_by_vm[shown.entry_vm].append(shown)
    return violations


def check_race(events: list[Event]) -> list[Violation]:
    """One operator wins each revision, and the stored sheet is the winner's."""
    violations = []
    winners: dict[int, SheetApplied] = {}
    for event in events:
        if isinstance(event, SheetApplied):
            if event.revision in winners:
                proof = (winners[event.revision], event)
                violations.append(
                    Violation("P9", "two operators won the same revision", proof)
                )
            winners[event.revision] = event
        elif isinstance(event, SheetStored):
            highest = max(winners.values(), key=lambda e: e.revision, default=None)
            if highest is not None and highest.revision > event.revision:
                cause = "an accepted revision is not stored"
                violations.append(Violation("P9", cause, (highest, event)))
            winner = winners.get(event.revision)
            if winner is not None and winner.mark != event.mark:
                cause = "the stored sheet is not the winner's"
                violations.append(Violation("P9", cause, (winner, event)))
    return violations


def in_force_times(events: list[Event]) -> list[float]:
    """Return, per accepted revision, the milliseconds until all entry VMs showed it.

    A later revision counts too if it replaced the accepted one before.
    """
    shown = [e for e in events if isinstance(e, RevisionShown)]
    names = {e.entry_vm for e in shown}
    times = []
    for applied in (e for e in events if isinstance(e, SheetApplied)):
        first_shown_ms = {}
        for event in shown:
            if event.revision >= applied.revision and event.at_ms >= applied.at_ms:
                first_shown_ms.setdefault(event.entry_vm, event.at_ms)
        if first_shown_ms.keys() == names:
            times.append(max(first_shown_ms.values()) - applied.at_ms)
    return times
