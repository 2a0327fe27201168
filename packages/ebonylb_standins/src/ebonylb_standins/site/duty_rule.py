"""Checkers of the users' rule ONE over the calls that the platform has received.

Each returns a text for each fault that it finds; none if the rule is kept.
"""

from collections.abc import Iterable

from .control_plane import RecordedCall


def by_subject(calls: Iterable[RecordedCall]) -> dict[str, list[RecordedCall]]:
    """Return the calls on each subject, in order of their arrival."""
    grouped: dict[str, list[RecordedCall]] = {}
    for call in sorted(calls, key=lambda call: call.at_ms):
        grouped.setdefault(call.subject, []).append(call)
    return grouped


def find_differing_reports(calls: Iterable[RecordedCall]) -> list[str]:
    """Return the windows for which two reports with different counts arrived."""
    first: dict[int, object] = {}
    faults = []
    for call in calls:
        if call.window is None:
            continue
        if first.setdefault(call.window, call.content) != call.content:
            faults.append(f"window {call.window}: {call.content}")
    return faults


def find_falling_tokens(calls: Iterable[RecordedCall]) -> list[str]:
    """Return the calls whose token is lower than an earlier one of the subject."""
    faults = []
    for subject, own_calls in by_subject(calls).items():
        highest = 0
        for call in own_calls:
            if call.fence < highest:
                faults.append(f"{subject}: {call.fence} after {highest}")
            highest = max(highest, call.fence)
    return faults


def find_shared_tokens(calls: Iterable[RecordedCall]) -> list[str]:
    """Return the tokens of a subject that two holders have sent."""
    holders: dict[tuple[str, int], str] = {}
    faults = []
    for call in calls:
        holder = holders.setdefault((call.subject, call.fence), call.holder)
        if holder != call.holder:
            faults.append(f"{call.subject}: {call.fence} of {holder}, {call.holder}")
    return faults


def find_alternations(calls: Iterable[RecordedCall], lease_ms: float) -> list[str]:
    """Return where a holder acted, then another one, and it again within the term."""
    faults = []
    for subject, own_calls in by_subject(calls).items():
        for position, call in enumerate(own_calls):
            others = False
            for later in own_calls[position + 1 :]:
                if later.at_ms - call.at_ms >= lease_ms:
                    break
                others = others or later.holder != call.holder
                if others and later.holder == call.holder:
                    faults.append(f"{subject}: {call.holder} at {later.at_ms:.0f} ms")
                    break
    return faults


def find_faults(calls: Iterable[RecordedCall], lease_ms: float) -> list[str]:
    """Return all faults against the rule."""
    calls = list(calls)
    return [
        *find_differing_reports(calls),
        *find_falling_tokens(calls),
        *find_shared_tokens(calls),
        *find_alternations(calls, lease_ms),
    ]
